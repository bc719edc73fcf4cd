"""What time alone ends: deadlines of jobs, abandoned uploads, old results, claims and leases.

Every limit is compared with the entry's wall clock, so all replicas delete the same rows at the
same entry. Each command deletes a bounded number of rows; the next one goes on.

A job whose results were removed keeps its row for a while: it tells readers why the results are
gone, and a resend of its key finds it instead of running it again.
"""

from __future__ import annotations

import sqlite3

from leverjunction.batch import pending
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
"""A resend of an online request is recognised for this long."""

LEASE_RETENTION_MS = 10 * 60 * 1000
"""A late resend of a grant is recognised for this long; clients give up after seconds."""

REMOVED_JOB_RETENTION_MS = 30 * 24 * 3600 * 1000
"""How long a job whose results were removed is still known."""

JOBS_PER_COMMAND = 20

DUE_NOW_MS = 1
"""``next_due_ms`` while rows wait to be deleted: any time that has passed."""


def expire_deadlines(
    connection: sqlite3.Connection, context: ApplyContext, command: ExpireDeadlines
) -> ExpiredLeases:
    """Close jobs whose deadline has passed and delete what is older than its retention."""
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
    _forget_leases(connection, context.wall_ms)
    _forget_removed_jobs(connection, context.wall_ms)
    return ExpiredLeases(
        returned=0,
        unknown=0,
        expired=expired,
        removed_jobs=len(ended),
        removed_rows=removed_rows,
    )


def next_due_ms(connection: sqlite3.Connection) -> int:
    """Return the time from which ``expire_deadlines`` has something to do, 0 for never."""
    if has_queued_rows(connection):
        return DUE_NOW_MS
    times = [connection.execute(query).fetchone()[0] for query in _DUE_TIMES]
    return min((int(time) for time in times if time is not None), default=0)


def delete_old_claims(connection: sqlite3.Connection, wall_ms: int, limit: int) -> None:
    """Delete up to ``limit`` of the claims that are older than their retention."""
    connection.execute(
        """
        DELETE FROM sm_claims WHERE rowid IN (
            SELECT rowid FROM sm_claims WHERE claimed_ms < ? ORDER BY claimed_ms, rowid LIMIT ?
        )
        """,
        (wall_ms - CLAIM_RETENTION_MS, limit),
    )


_DUE_TIMES = (
    "SELECT MIN(deadline_ms) FROM sm_jobs WHERE closed = 0",
    "SELECT MIN(keep_until_ms) FROM sm_jobs WHERE keep_until_ms > 0 AND removed_ms = 0",
    f"SELECT MIN(removed_ms) + {REMOVED_JOB_RETENTION_MS} FROM sm_jobs WHERE removed_ms > 0",
    f"SELECT MIN(claimed_ms) + {CLAIM_RETENTION_MS} FROM sm_claims",
    f"SELECT MIN(granted_ms) + {LEASE_RETENTION_MS} FROM sm_leases WHERE open_items = 0",
)


def _close_job(connection: sqlite3.Connection, job: JobRow, wall_ms: int) -> int:
    """Expire the pending items of a job; leased ones may still finish."""
    if job.state == JobState.OPEN:
        # An upload that was never accepted: nothing was promised, so nothing is kept.
        delete_open_job(connection, job)
        return 0
    count = job.pending
    pending.remove_job(connection, job)
    job.expired += count
    job.pending = 0
    job.closed = 1
    job.finish_if_complete(wall_ms)
    save_job(connection, job)
    return count


def _forget_leases(connection: sqlite3.Connection, wall_ms: int) -> None:
    connection.execute(
        """
        DELETE FROM sm_leases WHERE number IN (
            SELECT number FROM sm_leases WHERE open_items = 0 AND granted_ms < ?
            ORDER BY granted_ms, number LIMIT ?
        )
        """,
        (wall_ms - LEASE_RETENTION_MS, ROWS_PER_COMMAND),
    )


def _forget_removed_jobs(connection: sqlite3.Connection, wall_ms: int) -> None:
    connection.execute(
        """
        DELETE FROM sm_jobs WHERE number IN (
            SELECT number FROM sm_jobs WHERE removed_ms > 0 AND removed_ms < ?
            AND number NOT IN (SELECT job FROM sm_removals) ORDER BY removed_ms, number LIMIT ?
        )
        """,
        (wall_ms - REMOVED_JOB_RETENTION_MS, JOBS_PER_COMMAND),
    )
