"""Events of items that are not done yet, in the state machine's tables.

Rows are only added, each behind the ones before. Events that do not follow on what is here come
from a run that did not go on from there, so they are refused: the pieces of two runs are never
joined.
"""

from __future__ import annotations

import sqlite3

from leverjunction.lots.commands import ItemProgress, ItemResult, KnownProgress

TABLE = """
CREATE TABLE IF NOT EXISTS sm_lot_part (
    lot TEXT NOT NULL, item TEXT NOT NULL, start INTEGER NOT NULL, count INTEGER NOT NULL,
    last_id TEXT NOT NULL, text TEXT NOT NULL, PRIMARY KEY (lot, item, start)
) WITHOUT ROWID;
"""


def known(connection: sqlite3.Connection, lot_id: str, item_id: str) -> KnownProgress:
    """Return how many events of an item are here."""
    row = connection.execute(
        "SELECT start + count, last_id FROM sm_lot_part WHERE lot = ? AND item = ?"
        " ORDER BY start DESC LIMIT 1",
        (lot_id, item_id),
    ).fetchone()
    return KnownProgress(*row) if row is not None else KnownProgress()


def append(connection: sqlite3.Connection, progress: ItemProgress) -> bool:
    """Add events of an open item; return whether they follow on what is here."""
    if known(connection, progress.lot_id, progress.item_id).count != progress.start:
        return False
    connection.execute(
        "INSERT INTO sm_lot_part VALUES (?, ?, ?, ?, ?, ?)",
        (
            progress.lot_id,
            progress.item_id,
            progress.start,
            progress.count,
            progress.last_id,
            progress.text,
        ),
    )
    return True


def whole_text(connection: sqlite3.Connection, result: ItemResult) -> str | None:
    """Return the whole output of an item, None when the result does not follow on what is here."""
    if result.start == 0:
        return result.text
    if known(connection, result.lot_id, result.item_id).count != result.start:
        return None
    texts = [
        text
        for (text,) in connection.execute(
            "SELECT text FROM sm_lot_part WHERE lot = ? AND item = ? ORDER BY start",
            (result.lot_id, result.item_id),
        )
    ]
    if result.count:
        texts.append(result.text)
    return "\n".join(texts)


def forget_item(connection: sqlite3.Connection, lot_id: str, item_id: str) -> None:
    """Drop the events of an item that is listed."""
    connection.execute("DELETE FROM sm_lot_part WHERE lot = ? AND item = ?", (lot_id, item_id))


def forget_lot(connection: sqlite3.Connection, lot_id: str) -> None:
    """Drop the events of a lot that is over."""
    connection.execute("DELETE FROM sm_lot_part WHERE lot = ?", (lot_id,))
