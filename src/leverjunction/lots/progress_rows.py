"""Events of items that are not done yet, in the state machine's tables.

Rows are only added, each behind the ones before. Events that do not follow on what is here come
from a run that did not go on from there, so they are refused: the pieces of two runs are never
joined. A sender that does not know the outcome of its last command repeats events; those that
are here already, word for word, are passed over.
"""

from __future__ import annotations

import sqlite3

from leverjunction.lots.commands import ItemProgress, ItemResult, RecordedProgress

TABLE = """
CREATE TABLE IF NOT EXISTS sm_lot_part (
    lot TEXT NOT NULL, item TEXT NOT NULL, start INTEGER NOT NULL, count INTEGER NOT NULL,
    last_id TEXT NOT NULL, text TEXT NOT NULL, PRIMARY KEY (lot, item, start)
) WITHOUT ROWID;
"""


def known(connection: sqlite3.Connection, lot_id: str, item_id: str) -> RecordedProgress:
    """Return how many events of an item are here."""
    row = connection.execute(
        "SELECT start + count, last_id FROM sm_lot_part WHERE lot = ? AND item = ?"
        " ORDER BY start DESC LIMIT 1",
        (lot_id, item_id),
    ).fetchone()
    return RecordedProgress(*row) if row is not None else RecordedProgress()


def append(connection: sqlite3.Connection, progress: ItemProgress, repeats: bool) -> bool:
    """Add events of an open item; return whether they follow on what is here.

    Args:
        connection: Has the tables.
        progress: The events.
        repeats: Whether the first ones may be here already.
    """
    here = known(connection, progress.lot_id, progress.item_id).count
    text = _rest(connection, progress, here, repeats)
    if text is None:
        return False
    count = progress.start + progress.count - here
    if not count:
        return True
    connection.execute(
        "INSERT INTO sm_lot_part VALUES (?, ?, ?, ?, ?, ?)",
        (progress.lot_id, progress.item_id, here, count, progress.last_id, text),
    )
    return True


def whole_text(connection: sqlite3.Connection, result: ItemResult, repeats: bool) -> str | None:
    """Return the whole output of an item, None when the result does not follow on what is here.

    Args:
        connection: Has the tables.
        result: How the item ended.
        repeats: Whether the first ones of its events may be here already.
    """
    if result.start == 0:
        return result.text
    here = known(connection, result.lot_id, result.item_id).count
    if _rest(connection, result, here, repeats) is None:
        return None
    texts = [
        text
        for (text,) in connection.execute(
            "SELECT text FROM sm_lot_part WHERE lot = ? AND item = ? AND start < ? ORDER BY start",
            (result.lot_id, result.item_id, result.start),
        )
    ]
    if result.count:
        texts.append(result.text)
    return "\n".join(texts)


def follows(connection: sqlite3.Connection, part: ItemProgress | ItemResult) -> bool:
    """Return whether a part that may repeat events would be taken."""
    if isinstance(part, ItemResult) and part.start == 0:
        return True
    here = known(connection, part.lot_id, part.item_id).count
    return _rest(connection, part, here, repeats=True) is not None


def _rest(
    connection: sqlite3.Connection, part: ItemProgress | ItemResult, here: int, repeats: bool
) -> str | None:
    """Return what a part adds to the events here, None when it does not follow on them."""
    if here == part.start:
        return part.text
    return _unrepeated(connection, part, here) if repeats else None


def _unrepeated(
    connection: sqlite3.Connection, part: ItemProgress | ItemResult, here: int
) -> str | None:
    """Return what a part adds to the events here, None unless it begins with just those.

    Args:
        connection: Has the tables.
        part: Begins before the end of what is here.
        here: Number of events that are here.
    """
    rows = connection.execute(
        "SELECT start, text FROM sm_lot_part WHERE lot = ? AND item = ? AND start >= ?"
        " ORDER BY start",
        (part.lot_id, part.item_id, part.start),
    ).fetchall()
    if not rows or rows[0][0] != part.start or here > part.start + part.count:
        return None
    repeated = "\n".join(text for _, text in rows)
    if here == part.start + part.count:
        return "" if part.text == repeated else None
    repeated += "\n"
    return part.text[len(repeated) :] if part.text.startswith(repeated) else None


def forget_item(connection: sqlite3.Connection, lot_id: str, item_id: str) -> None:
    """Drop the events of an item that is listed."""
    connection.execute("DELETE FROM sm_lot_part WHERE lot = ? AND item = ?", (lot_id, item_id))


def forget_lot(connection: sqlite3.Connection, lot_id: str) -> None:
    """Drop the events of a lot that is over."""
    connection.execute("DELETE FROM sm_lot_part WHERE lot = ?", (lot_id,))
