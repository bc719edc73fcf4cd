"""Deletes the items and results of removed jobs, a bounded number of rows a command.

A job of 100,000 items has some 300,000 rows; deleting them at once would hold up the group.
"""

from __future__ import annotations

import sqlite3

from leverjunction.batch.tables import row_key

ROWS_PER_COMMAND = 4_000

_HOLDS = """
SELECT lease, COUNT(*) FROM (
    SELECT lease FROM sm_item_states WHERE item_key >= ? AND item_key < ?
    ORDER BY item_key LIMIT ?
) WHERE lease > 0 GROUP BY lease ORDER BY lease
"""

_DELETE_PENDING = """
DELETE FROM sm_pending WHERE (job, model, item_index) IN (
    SELECT job, model, item_index FROM sm_pending WHERE job = ? ORDER BY model, item_index LIMIT ?
)
"""

_KEYED_TABLES = (
    ("sm_results", "result_key"),
    ("sm_item_losses", "item_key"),
    ("sm_items", "item_key"),
)


def next_job_number(connection: sqlite3.Connection) -> int:
    """Return a number for a new job that no job has, nor one whose rows are being deleted."""
    (number,) = connection.execute(
        """
        SELECT 1 + MAX((SELECT COALESCE(MAX(number), 0) FROM sm_jobs),
                       (SELECT COALESCE(MAX(job), 0) FROM sm_removals))
        """
    ).fetchone()
    return int(number)


def queue_removal(connection: sqlite3.Connection, number: int) -> None:
    """Have the rows of a job deleted; nothing may read or write them from now on."""
    connection.execute("INSERT OR IGNORE INTO sm_removals (job) VALUES (?)", (number,))


def has_queued_rows(connection: sqlite3.Connection) -> bool:
    """Return whether rows of removed jobs wait to be deleted."""
    return connection.execute("SELECT 1 FROM sm_removals LIMIT 1").fetchone() is not None


def delete_queued_rows(connection: sqlite3.Connection, limit: int) -> int:
    """Delete up to ``limit`` rows of removed jobs and return how many there were."""
    left = limit
    while left > 0:
        row = connection.execute("SELECT job FROM sm_removals ORDER BY job LIMIT 1").fetchone()
        if row is None:
            break
        left -= _delete_rows(connection, int(row[0]), left)
        if left > 0:
            connection.execute("DELETE FROM sm_removals WHERE job = ?", row)
    return limit - left


def _delete_rows(connection: sqlite3.Connection, number: int, limit: int) -> int:
    """Delete up to ``limit`` rows of one job; fewer mean that none is left."""
    left = limit - connection.execute(_DELETE_PENDING, (number, limit)).rowcount
    left -= _delete_states(connection, number, left)
    for table, key in _KEYED_TABLES:
        left -= _delete_keyed(connection, number, table, key, left)
    return limit - left


def _delete_states(connection: sqlite3.Connection, number: int, limit: int) -> int:
    """Delete states of items; a lease lets go of those that it still holds."""
    holds = connection.execute(
        _HOLDS, (row_key(number, 0), row_key(number + 1, 0), limit)
    ).fetchall()
    connection.executemany(
        "UPDATE sm_leases SET open_items = open_items - ? WHERE number = ?",
        [(count, lease) for lease, count in holds],
    )
    return _delete_keyed(connection, number, "sm_item_states", "item_key", limit)


def _delete_keyed(
    connection: sqlite3.Connection, number: int, table: str, key: str, limit: int
) -> int:
    if limit <= 0:
        return 0
    deleted = connection.execute(
        f"""
        DELETE FROM {table} WHERE {key} IN (
            SELECT {key} FROM {table} WHERE {key} >= ? AND {key} < ? ORDER BY {key} LIMIT ?
        )
        """,
        (row_key(number, 0), row_key(number + 1, 0), limit),
    )
    return deleted.rowcount
