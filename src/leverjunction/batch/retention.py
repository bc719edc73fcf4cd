"""Time-based expiry of jobs past their deadline, abandoned uploads, results, claims and leases.

Every time limit is compared with the wall clock in the log entry, so all replicas delete the same
rows when they apply the same entry. Each command deletes a bounded number of rows, and the next
command continues.

The row of a job whose results were removed is kept for ``REMOVED_JOB_RETENTION_MS``. Readers thus
learn why the results are missing, and a resend with the same idempotency key finds the job instead
of running it again.
"""

from __future__ import annotations

import sqlite3

from leverjunction.batch import job_spread, pending
from leverjunction.batch.commands import ExpireDeadlines, ExpiredLeases, JobState
from leverjunction.batch.job_rows import (
    JobRow,
    jobs_past_deadline,
    jobs_past_retention,
    save_job,
)
from leverjunction.batch.removal import (
    ROWS_PER_COMMAND,
    delete_queued_rows,
    has_queued_rows,
    queue_removal,
)
from leverjunction.batch.submission import delete_open_job
from leverjunction.consensus.api import ApplyContext

CLAIM_RETENTION_MS = 24 * 3600 * 1000
"""How long a resend of an online request is recognised."""

LEASE_RETENTION_MS = 10 * 60 * 1000
"""How long a resend of a grant is recognised; clients stop resending after some seconds."""

REMOVED_JOB_RETENTION_MS = 30 * 24 * 3600 * 1000
"""How long the row of a job is kept after its results were removed."""

JOBS_PER_COMMAND = 20

DUE_NOW_MS = 1
"""Returned by ``next_due_ms`` while rows are queued for deletion: a time that is always past."""


def expire_deadlines(
    connection: sqlite3.Connection, context: ApplyContext, command: ExpireDeadlines
) -> ExpiredLeases:
    """Close jobs past their deadline, and delete results, claims, leases and jobs past retention.

    Returns:
        The number of expired items, of jobs whose results were removed, and of deleted rows of
        removed jobs; the other counts are 0.
    """
    expired = 0
    for job in jobs_past_deadline(connection, context.wall_ms, JOBS_PER_COMMAND):
        expired += _close_job(connection, job, context.wall_ms)
    ended = jobs_past_retention(connection, context.wall_ms, JOBS_PER_COMMAND)
    for job in ended:
        job.removed_ms = context.wall_ms
        save_job(connection, job)
        queue_removal(connection, job.number)
    removed_rows = delete_queued_rows(connection, ROWS_PER_COMMAND)
    delete_old_claims(connection, context.wall_ms, ROWS_PER_COMMAND)
    _delete_ended_leases(connection, context.wall_ms)
    _delete_removed_jobs(connection, context.wall_ms)
    return ExpiredLeases(
        returned=0,
        unknown=0,
        expired=expired,
        removed_jobs=len(ended),
        removed_rows=removed_rows,
    )


def next_due_ms(connection: sqlite3.Connection) -> int:
    """Return the wall-clock time in milliseconds at which ``expire_deadlines`` is next needed.

    The result is 0 when nothing in the tables can expire.
    """
    if has_queued_rows(connection):
        return DUE_NOW_MS
    times = [connection.execute(query).fetchone()[0] for query in _DUE_TIME_QUERIES]
    return min((int(time) for time in times if time is not None), default=0)


def delete_old_claims(connection: sqlite3.Connection, wall_ms: int, limit: int) -> None:
    """Delete up to ``limit`` claims that are older than ``CLAIM_RETENTION_MS``, oldest first."""
    connection.execute(
        """
        DELETE FROM sm_claims WHERE rowid IN (
            SELECT rowid FROM sm_claims WHERE claimed_ms < ? ORDER BY claimed_ms, rowid LIMIT ?
        )
        """,
        (wall_ms - CLAIM_RETENTION_MS, limit),
    )


_DUE_TIME_QUERIES = (
    "SELECT MIN(deadline_ms) FROM sm_jobs WHERE closed = 0",
    "SELECT MIN(keep_until_ms) FROM sm_jobs WHERE keep_until_ms > 0 AND removed_ms = 0",
    f"SELECT MIN(removed_ms) + {REMOVED_JOB_RETENTION_MS} FROM sm_jobs WHERE removed_ms > 0",
    f"SELECT MIN(claimed_ms) + {CLAIM_RETENTION_MS} FROM sm_claims",
    f"SELECT MIN(granted_ms) + {LEASE_RETENTION_MS} FROM sm_leases WHERE open_items = 0",
)


def _close_job(connection: sqlite3.Connection, job: JobRow, wall_ms: int) -> int:
    """Expire the pending items of a job and return their number; leased items may still finish."""
    if job.state == JobState.OPEN:
        # The upload was never accepted, so its caller was not promised that any of it is kept.
        delete_open_job(connection, job)
        return 0
    count = job.pending
    pending.remove_job(connection, job)
    job.expired += count
    job.pending = 0
    job.closed = 1
    job.finish_if_complete(wall_ms)
    save_job(connection, job)
    job_spread.forget(connection, job.number)
    return count


def _delete_ended_leases(connection: sqlite3.Connection, wall_ms: int) -> None:
    connection.execute(
        """
        DELETE FROM sm_leases WHERE number IN (
            SELECT number FROM sm_leases WHERE open_items = 0 AND granted_ms < ?
            ORDER BY granted_ms, number LIMIT ?
        )
        """,
        (wall_ms - LEASE_RETENTION_MS, ROWS_PER_COMMAND),
    )


def _delete_removed_jobs(connection: sqlite3.Connection, wall_ms: int) -> None:
    connection.execute(
        """
        DELETE FROM sm_jobs WHERE number IN (
            SELECT number FROM sm_jobs WHERE removed_ms > 0 AND removed_ms < ?
            AND number NOT IN (SELECT job FROM sm_removals) ORDER BY removed_ms, number LIMIT ?
        )
        """,
        (wall_ms - REMOVED_JOB_RETENTION_MS, JOBS_PER_COMMAND),
    )
