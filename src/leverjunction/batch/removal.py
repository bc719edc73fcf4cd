"""Deletes the items and results of removed jobs, a bounded number of rows per command.

A job of 100,000 items has about 300,000 rows. Deleting all of them in one command would delay the
other commands of the group.
"""

from __future__ import annotations

import sqlite3

from leverjunction.batch.tables import row_key

ROWS_PER_COMMAND = 4_000

_COUNT_LEASED_ITEMS = """
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
    """Return an unused number for a new job.

    Numbers of removed jobs count as used until all of their rows are deleted.
    """
    (number,) = connection.execute(
        """
        SELECT 1 + MAX((SELECT COALESCE(MAX(number), 0) FROM sm_jobs),
                       (SELECT COALESCE(MAX(job), 0) FROM sm_removals))
        """
    ).fetchone()
    return int(number)


def queue_removal(connection: sqlite3.Connection, number: int) -> None:
    """Queue the rows of a job for deletion; after this, no code may read or write them."""
    connection.execute("INSERT OR IGNORE INTO sm_removals (job) VALUES (?)", (number,))


def has_queued_rows(connection: sqlite3.Connection) -> bool:
    """Return whether any removed job still has rows to delete."""
    return connection.execute("SELECT 1 FROM sm_removals LIMIT 1").fetchone() is not None


def delete_queued_rows(connection: sqlite3.Connection, limit: int) -> int:
    """Delete up to ``limit`` rows of removed jobs and return the number of deleted rows."""
    remaining = limit
    while remaining > 0:
        row = connection.execute("SELECT job FROM sm_removals ORDER BY job LIMIT 1").fetchone()
        if row is None:
            break
        remaining -= _delete_rows(connection, int(row[0]), remaining)
        if remaining > 0:
            connection.execute("DELETE FROM sm_removals WHERE job = ?", row)
    return limit - remaining


def _delete_rows(connection: sqlite3.Connection, number: int, limit: int) -> int:
    """Delete up to ``limit`` rows of one job and return the number of deleted rows.

    A smaller number than ``limit`` means that the job has no rows left.
    """
    remaining = limit - connection.execute(_DELETE_PENDING, (number, limit)).rowcount
    remaining -= _delete_states(connection, number, remaining)
    for table, key in _KEYED_TABLES:
        remaining -= _delete_keyed(connection, number, table, key, remaining)
    return limit - remaining


def _delete_states(connection: sqlite3.Connection, number: int, limit: int) -> int:
    """Delete item states, and subtract leased items from the open items of their leases."""
    leased_counts = connection.execute(
        _COUNT_LEASED_ITEMS, (row_key(number, 0), row_key(number + 1, 0), limit)
    ).fetchall()
    connection.executemany(
        "UPDATE sm_leases SET open_items = open_items - ? WHERE number = ?",
        [(count, lease) for lease, count in leased_counts],
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
