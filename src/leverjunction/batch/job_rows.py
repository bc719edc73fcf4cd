"""Rows of ``sm_jobs``: loading and saving a job, its counters, and when it becomes final."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass, fields

from leverjunction.batch.commands import JobSpec, JobState, JobView, ListJobs
from leverjunction.errors import Execution, Failure, FailureKind, Step

RESULTS_RETENTION_MS = 7 * 24 * 3600 * 1000
"""Default time for which results can be read after the end of a job."""

MS_PER_S = 1000
WEIGHT_ONE_MILLI = 1000

FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.CANCELLED, JobState.EXPIRED})


@dataclass
class JobRow:
    """One row of ``sm_jobs``. A command changes it in memory and saves it once.

    ``closed`` is 1 when no pending item may be leased any more, because the job was cancelled, is
    past its deadline or is final. ``items_hash`` is the hash over the items received so far
    (``submission.items_hash``). ``finished_ms`` and ``keep_until_ms`` are set when the job becomes
    final, and ``removed_ms`` when its results are removed. ``JobView`` describes the counters.
    """

    number: int
    job_id: str
    tenant: str
    idempotency_key: str
    content_hash: str
    items_hash: str
    service: str
    batch_class: str
    item_count: int
    may_repeat: int
    deadline_ms: int
    state: str
    created_ms: int
    finished_ms: int = 0
    closed: int = 0
    received: int = 0
    pending: int = 0
    leased: int = 0
    done: int = 0
    failed: int = 0
    unknown: int = 0
    cancelled: int = 0
    expired: int = 0
    discarded: int = 0
    retention_ms: int = RESULTS_RETENTION_MS
    weight_milli: int = WEIGHT_ONE_MILLI
    keep_until_ms: int = 0
    removed_ms: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in FINAL_JOB_STATES

    @property
    def stored_results(self) -> int:
        """Number of stored outcomes, which is also the cursor of the last stored outcome."""
        return self.done + self.failed + self.unknown

    def finish_if_complete(self, wall_ms: int) -> None:
        """Make an accepted job final if none of its items is pending or leased."""
        if self.state != JobState.ACCEPTED or self.pending or self.leased:
            return
        self.finish(JobState.EXPIRED if self.expired else JobState.COMPLETED, wall_ms)

    def finish(self, state: JobState, wall_ms: int) -> None:
        """Make the job final in the given state at ``wall_ms`` (wall clock, milliseconds)."""
        self.state = state
        self.finished_ms = wall_ms
        self.keep_until_ms = wall_ms + self.retention_ms
        self.closed = 1

    def view(self) -> JobView:
        """Return the job as callers see it."""
        spec = JobSpec(
            job_id=self.job_id,
            tenant=self.tenant,
            idempotency_key=self.idempotency_key,
            content_hash=self.content_hash,
            service=self.service,
            batch_class=self.batch_class,
            item_count=self.item_count,
            may_repeat=bool(self.may_repeat),
            deadline_ms=self.deadline_ms,
        )
        return JobView(
            spec=spec,
            state=JobState(self.state),
            created_ms=self.created_ms,
            finished_ms=self.finished_ms,
            received=self.received,
            pending=self.pending,
            leased=self.leased,
            done=self.done,
            failed=self.failed,
            unknown=self.unknown,
            cancelled=self.cancelled,
            expired=self.expired,
            discarded=self.discarded,
            keep_until_ms=self.keep_until_ms,
            removed_ms=self.removed_ms,
        )


_COLUMNS = tuple(field.name for field in fields(JobRow))
_SELECT = f"SELECT {', '.join(_COLUMNS)} FROM sm_jobs"
_INSERT = f"INSERT INTO sm_jobs ({', '.join(_COLUMNS)}) VALUES ({', '.join('?' for _ in _COLUMNS)})"
_MUTABLE_COLUMNS = _COLUMNS[_COLUMNS.index("content_hash") :]
# Columns that are part of an index or of its WHERE clause. SQLite rewrites the index entry whenever
# a statement sets such a column, even to the same value, so they are set only when one differs.
_INDEXED_COLUMNS = ("deadline_ms", "state", "finished_ms", "closed", "keep_until_ms", "removed_ms")
_UNINDEXED_COLUMNS = tuple(column for column in _MUTABLE_COLUMNS if column not in _INDEXED_COLUMNS)
_UPDATE_UNINDEXED = (
    f"UPDATE sm_jobs SET {', '.join(f'{c} = ?' for c in _UNINDEXED_COLUMNS)} WHERE number = ?"
)
_UPDATE_INDEXED = (
    f"UPDATE sm_jobs SET {', '.join(f'{c} = ?' for c in _INDEXED_COLUMNS)} WHERE number = ?"
    f" AND ({', '.join(_INDEXED_COLUMNS)}) IS NOT ({', '.join('?' for _ in _INDEXED_COLUMNS)})"
)


def insert_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Insert the row of a new job."""
    connection.execute(_INSERT, [getattr(job, column) for column in _COLUMNS])


def save_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Save a loaded row: all columns that can change, indexed columns only if one differs."""
    unindexed = [getattr(job, column) for column in _UNINDEXED_COLUMNS]
    connection.execute(_UPDATE_UNINDEXED, [*unindexed, job.number])
    indexed = [getattr(job, column) for column in _INDEXED_COLUMNS]
    connection.execute(_UPDATE_INDEXED, [*indexed, job.number, *indexed])


def job_by_id(connection: sqlite3.Connection, job_id: str) -> JobRow | None:
    """Return the job with this id, or None."""
    row = connection.execute(f"{_SELECT} WHERE job_id = ?", (job_id,)).fetchone()
    return None if row is None else JobRow(*row)


def job_by_number(connection: sqlite3.Connection, number: int) -> JobRow:
    """Return the job with this row number, which must exist."""
    return JobRow(*connection.execute(f"{_SELECT} WHERE number = ?", (number,)).fetchone())


def job_by_key(connection: sqlite3.Connection, tenant: str, key: str) -> JobRow | None:
    """Return the job that the tenant created under this idempotency key, or None."""
    if not key:
        return None
    row = connection.execute(
        f"{_SELECT} WHERE tenant = ? AND idempotency_key = ? AND idempotency_key != ''",
        (tenant, key),
    ).fetchone()
    return None if row is None else JobRow(*row)


def newest_jobs(connection: sqlite3.Connection, query: ListJobs, limit: int) -> list[JobRow]:
    """Return up to ``limit`` jobs that match the query, newest first."""
    conditions: list[str] = []
    parameters: list[str | int] = []
    if query.tenant:
        conditions.append("tenant = ?")
        parameters.append(query.tenant)
    if query.before is not None:
        conditions.append("(created_ms, job_id) < (?, ?)")
        parameters += [query.before.created_ms, query.before.job_id]
    if query.accepted_only:
        conditions.append("state != ?")
        parameters.append(JobState.OPEN.value)
    where = f"WHERE {' AND '.join(conditions)}" if conditions else ""
    rows = connection.execute(
        f"{_SELECT} {where} ORDER BY created_ms DESC, job_id DESC LIMIT ?", [*parameters, limit]
    )
    return [JobRow(*row) for row in rows]


def jobs_past_deadline(connection: sqlite3.Connection, wall_ms: int, limit: int) -> list[JobRow]:
    """Return up to ``limit`` jobs that are past their deadline and not closed, earliest first."""
    rows = connection.execute(
        f"{_SELECT} WHERE closed = 0 AND deadline_ms <= ? ORDER BY deadline_ms, number LIMIT ?",
        (wall_ms, limit),
    )
    return [JobRow(*row) for row in rows]


def jobs_past_retention(connection: sqlite3.Connection, wall_ms: int, limit: int) -> list[JobRow]:
    """Return up to ``limit`` final jobs whose results are past their retention, oldest first."""
    rows = connection.execute(
        f"{_SELECT} WHERE keep_until_ms > 0 AND removed_ms = 0 AND keep_until_ms <= ? "
        "ORDER BY keep_until_ms, number LIMIT ?",
        (wall_ms, limit),
    )
    return [JobRow(*row) for row in rows]


def results_removed_failure(job: JobRow) -> Failure:
    """Return the failure for a read of results that were removed after their retention."""
    return Failure(
        kind=FailureKind.EXPIRED,
        reason=f"the results of job {job.job_id!r} have expired: they were kept for "
        f"{job.retention_ms // MS_PER_S} s after its end and then removed",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )


def job_not_found_failure(job_id: str) -> Failure:
    """Return the failure for a job id that does not exist in this group."""
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"no job {job_id!r}; list the jobs to see the ids",
        step=Step.APPLYING,
        execution=Execution.NOT_RUN,
    )
