"""Recorded events of unfinished items, kept in a table of the lots state machine.

While an item is unfinished its rows are only appended: each holds the events that follow those of
the row before it. Events that do not continue the recorded ones come from a different run and are
rejected, so that the output of two runs is never mixed. A sender that does not know the outcome of
its last command repeats events; repeated events that equal the recorded ones are skipped.

What began the output is kept in a table of its own, which older versions do not know.
"""

from __future__ import annotations

import sqlite3

from leverjunction.lots.commands import ItemProgress, ItemResult, RecordedProgress
from leverjunction.registry.origins import StreamOrigin

SCHEMA = """
CREATE TABLE IF NOT EXISTS sm_lot_part (
    lot TEXT NOT NULL, item TEXT NOT NULL, start INTEGER NOT NULL, count INTEGER NOT NULL,
    last_id TEXT NOT NULL, text TEXT NOT NULL, PRIMARY KEY (lot, item, start)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sm_lot_origin (
    lot TEXT NOT NULL, item TEXT NOT NULL, service TEXT NOT NULL, version TEXT NOT NULL,
    PRIMARY KEY (lot, item)
) WITHOUT ROWID;
"""


def recorded_progress(
    connection: sqlite3.Connection, lot_id: str, item_id: str
) -> RecordedProgress:
    """Return how many events of an item are recorded, the id of the last one, and their origin."""
    row = connection.execute(
        "SELECT start + count, last_id FROM sm_lot_part WHERE lot = ? AND item = ?"
        " ORDER BY start DESC LIMIT 1",
        (lot_id, item_id),
    ).fetchone()
    if row is None:
        return RecordedProgress()
    origin = connection.execute(
        "SELECT service, version FROM sm_lot_origin WHERE lot = ? AND item = ?", (lot_id, item_id)
    ).fetchone()
    return RecordedProgress(
        count=row[0],
        last_id=row[1],
        origin=None if origin is None else StreamOrigin(*origin),
    )


def append(connection: sqlite3.Connection, progress: ItemProgress, repeats: bool) -> bool:
    """Append events of an open item; return whether they continue the recorded ones.

    Args:
        connection: Connection to the database with the state machine's tables.
        progress: The events.
        repeats: Whether the first of the events may be recorded already.
    """
    recorded_count = recorded_progress(connection, progress.lot_id, progress.item_id).count
    text = _new_text(connection, progress, recorded_count, repeats)
    if text is None:
        return False
    count = progress.start + progress.count - recorded_count
    if not count:
        return True
    connection.execute(
        "INSERT INTO sm_lot_part VALUES (?, ?, ?, ?, ?, ?)",
        (progress.lot_id, progress.item_id, recorded_count, count, progress.last_id, text),
    )
    if progress.origin is not None and recorded_count == 0:
        origin = progress.origin
        connection.execute(
            "INSERT OR REPLACE INTO sm_lot_origin VALUES (?, ?, ?, ?)",
            (progress.lot_id, progress.item_id, origin.service, origin.version),
        )
    return True


def full_output(connection: sqlite3.Connection, result: ItemResult, repeats: bool) -> str | None:
    """Return the full output of an item, or None when the result does not continue its events.

    Args:
        connection: Connection to the database with the state machine's tables.
        result: Result of the item, with the events that were not recorded before.
        repeats: Whether the first of its events may be recorded already.
    """
    if result.start == 0:
        return result.text
    recorded_count = recorded_progress(connection, result.lot_id, result.item_id).count
    if _new_text(connection, result, recorded_count, repeats) is None:
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


def is_acceptable(connection: sqlite3.Connection, part: ItemProgress | ItemResult) -> bool:
    """Return whether the state machine would accept a part whose events may be repeated."""
    if isinstance(part, ItemResult) and part.start == 0:
        return True
    recorded_count = recorded_progress(connection, part.lot_id, part.item_id).count
    return _new_text(connection, part, recorded_count, repeats=True) is not None


def _new_text(
    connection: sqlite3.Connection,
    part: ItemProgress | ItemResult,
    recorded_count: int,
    repeats: bool,
) -> str | None:
    """Return the text that a part adds to the recorded events, None when it does not continue them.

    Args:
        connection: Connection to the database with the state machine's tables.
        part: Events of an unfinished item, or its result.
        recorded_count: Number of recorded events of the item.
        repeats: Whether the first of the part's events may be recorded already.
    """
    if recorded_count == part.start:
        return part.text
    return _text_after_repeats(connection, part, recorded_count) if repeats else None


def _text_after_repeats(
    connection: sqlite3.Connection, part: ItemProgress | ItemResult, recorded_count: int
) -> str | None:
    """Return the text that follows the repeated events of a part, or None if they differ.

    Args:
        connection: Connection to the database with the state machine's tables.
        part: Starts at another event than the next one to be recorded.
        recorded_count: Number of recorded events of the item.
    """
    rows = connection.execute(
        "SELECT start, text FROM sm_lot_part WHERE lot = ? AND item = ? AND start >= ?"
        " ORDER BY start",
        (part.lot_id, part.item_id, part.start),
    ).fetchall()
    if not rows or rows[0][0] != part.start or recorded_count > part.start + part.count:
        return None
    repeated = "\n".join(text for _, text in rows)
    if recorded_count == part.start + part.count:
        return "" if part.text == repeated else None
    repeated += "\n"
    return part.text[len(repeated) :] if part.text.startswith(repeated) else None


def delete_item(connection: sqlite3.Connection, lot_id: str, item_id: str) -> None:
    """Delete the recorded events of an item that has a result."""
    for table in ("sm_lot_part", "sm_lot_origin"):
        connection.execute(f"DELETE FROM {table} WHERE lot = ? AND item = ?", (lot_id, item_id))


def delete_lot(connection: sqlite3.Connection, lot_id: str) -> None:
    """Delete the recorded events of all items of a lot."""
    for table in ("sm_lot_part", "sm_lot_origin"):
        connection.execute(f"DELETE FROM {table} WHERE lot = ?", (lot_id,))
