"""What time alone ends: deadlines of jobs, abandoned uploads, old claims and ended leases.

Every limit is compared with the entry's wall clock, so all replicas delete the same rows at the
same entry. Each command deletes a bounded number of rows; the next one goes on.
"""

from __future__ import annotations

import sqlite3

from leverjunction.batch import pending
from leverjunction.batch.commands import ExpireDeadlines, ExpiredLeases, JobState
from leverjunction.batch.job_rows import JobRow, jobs_past_deadline, save_job
from leverjunction.batch.submission import delete_open_job
from leverjunction.consensus.api import ApplyContext

CLAIM_RETENTION_MS = 24 * 3600 * 1000
"""A resend of an online request is recognised for this long."""

LEASE_RETENTION_MS = 10 * 60 * 1000
"""A late resend of a grant is recognised for this long; clients give up after seconds."""

JOBS_PER_COMMAND = 20
ROWS_PER_COMMAND = 2_000


def expire_deadlines(
    connection: sqlite3.Connection, context: ApplyContext, command: ExpireDeadlines
) -> ExpiredLeases:
    """Close jobs whose deadline has passed and delete what is older than its retention."""
    expired = 0
    for job in jobs_past_deadline(connection, context.wall_ms, JOBS_PER_COMMAND):
        expired += _close_job(connection, job, context.wall_ms)
    forget_claims(connection, context.wall_ms, ROWS_PER_COMMAND)
    _forget_leases(connection, context.wall_ms)
    return ExpiredLeases(returned=0, unknown=0, expired=expired)


def forget_claims(connection: sqlite3.Connection, wall_ms: int, limit: int) -> None:
    """Delete up to ``limit`` of the claims that are older than their retention."""
    connection.execute(
        """
        DELETE FROM sm_claims WHERE rowid IN (
            SELECT rowid FROM sm_claims WHERE claimed_ms < ? ORDER BY claimed_ms, rowid LIMIT ?
        )
        """,
        (wall_ms - CLAIM_RETENTION_MS, limit),
    )


def _close_job(connection: sqlite3.Connection, job: JobRow, wall_ms: int) -> int:
    """Expire the pending items of a job; leased ones may still finish."""
    if job.state == JobState.OPEN:
        # An upload that was never accepted: nothing was promised, so nothing is kept.
        delete_open_job(connection, job)
        return 0
    count = job.pending
    pending.drop_job(connection, job)
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
