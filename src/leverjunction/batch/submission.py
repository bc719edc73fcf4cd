"""Commands that open, fill, seal, accept, cancel and discard jobs."""

from __future__ import annotations

import hashlib
import sqlite3

import msgspec

from leverjunction.batch import job_spread, pending
from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CancelJob,
    Discarded,
    DiscardJob,
    ItemInput,
    JobSpec,
    JobState,
    JobView,
    OpenedJob,
    OpenJob,
    SealJob,
)
from leverjunction.batch.job_rows import (
    JobRow,
    insert_job,
    job_by_id,
    job_by_key,
    job_not_found_failure,
    save_job,
)
from leverjunction.batch.removal import (
    ROWS_PER_COMMAND,
    delete_queued_rows,
    next_job_number,
    queue_removal,
)
from leverjunction.batch.tables import MAX_ITEMS_PER_JOB, row_key
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Execution, Failure, FailureKind, Step

MAX_CHUNK_ITEMS = 2_000
MIN_WEIGHT_MILLI = 1
MAX_RETENTION_MS = 400 * 24 * 3600 * 1000
MAX_DEADLINE_MS = 30 * 24 * 3600 * 1000
"""Latest deadline of a job, counted from the command that sets it; later deadlines are clamped."""


def items_hash(previous: str, items: list[ItemInput]) -> str:
    """Return the hash over a job's items, continued from the hash over the items before them.

    The gateway computes the hash over the lines that it reads, and the state machine computes it
    over the items that it stores. An upload is accepted only when both are equal.

    Args:
        previous: Hash over all items before these, empty at the start.
        items: The next items, in order.
    """
    for item in items:
        digest = hashlib.sha256(previous.encode())
        digest.update(msgspec.json.encode(item))
        previous = digest.hexdigest()
    return previous


def open_job(
    connection: sqlite3.Connection, context: ApplyContext, command: OpenJob
) -> OpenedJob | Failure:
    """Create a job, or return the job that has the same id, or the same tenant and key."""
    spec = command.spec
    existing = job_by_id(connection, spec.job_id) or job_by_key(
        connection, spec.tenant, spec.idempotency_key
    )
    if existing is not None:
        return _reply_for_existing(existing, spec)
    refusal = _check_spec(spec, context.wall_ms)
    if refusal is not None:
        return refusal
    job = JobRow(
        number=next_job_number(connection),
        job_id=spec.job_id,
        tenant=spec.tenant,
        idempotency_key=spec.idempotency_key,
        content_hash=spec.content_hash,
        items_hash="",
        service=spec.service,
        batch_class=spec.batch_class,
        item_count=spec.item_count,
        may_repeat=int(spec.may_repeat),
        deadline_ms=min(spec.deadline_ms, context.wall_ms + MAX_DEADLINE_MS),
        state=JobState.OPEN,
        created_ms=context.wall_ms,
    )
    insert_job(connection, job)
    return OpenedJob(job=job.view(), existed=False)


def append_items(
    connection: sqlite3.Connection, context: ApplyContext, command: AppendItems
) -> JobView | Failure:
    """Append a chunk of items; items stored already are skipped, so a resend changes nothing."""
    job = job_by_id(connection, command.job_id)
    if job is None:
        return job_not_found_failure(command.job_id)
    refusal = _check_chunk(job, command)
    if refusal is not None:
        return refusal
    new_items = command.items[max(0, job.received - command.first_index) :]
    if not new_items:
        return job.view()
    first = job.received
    connection.executemany(
        "INSERT INTO sm_items (item_key, custom_id, model, url, body) VALUES (?, ?, ?, ?, ?)",
        [
            (row_key(job.number, first + offset), item.custom_id, item.model, item.url, item.body)
            for offset, item in enumerate(new_items)
        ],
    )
    connection.executemany(
        "INSERT INTO sm_pending (job, model, item_index) VALUES (?, ?, ?)",
        [(job.number, item.model, first + offset) for offset, item in enumerate(new_items)],
    )
    job.received += len(new_items)
    job.pending += len(new_items)
    job.items_hash = items_hash(job.items_hash, new_items)
    save_job(connection, job)
    return job.view()


def accept_job(
    connection: sqlite3.Connection, context: ApplyContext, command: AcceptJob
) -> JobView | Failure:
    """Accept an open job if every item of the upload is committed."""
    job = job_by_id(connection, command.job_id)
    if job is None:
        return job_not_found_failure(command.job_id)
    if job.state != JobState.OPEN:
        return _reply_for_accepted(job, command)
    refusal = _check_acceptance(job, command)
    if refusal is not None:
        return refusal
    job.item_count = job.received
    job.content_hash = command.content_hash or job.content_hash
    job.batch_class = command.batch_class or job.batch_class
    job.deadline_ms = min(command.deadline_ms or job.deadline_ms, context.wall_ms + MAX_DEADLINE_MS)
    if command.may_repeat is not None:
        job.may_repeat = int(command.may_repeat)
    job.weight_milli = max(MIN_WEIGHT_MILLI, command.weight_milli or job.weight_milli)
    job.retention_ms = min(command.retention_ms or job.retention_ms, MAX_RETENTION_MS)
    job.state = JobState.ACCEPTED
    pending.enqueue_job(connection, job)
    save_job(connection, job)
    return job.view()


def seal_job(
    connection: sqlite3.Connection, context: ApplyContext, command: SealJob
) -> JobView | Failure:
    """Fix the items of an open job, so that AcceptJob need not give their count and hash."""
    job = job_by_id(connection, command.job_id)
    if job is None:
        return job_not_found_failure(command.job_id)
    acceptance = AcceptJob(command.job_id, command.item_count, command.content_hash)
    if job.state != JobState.OPEN:
        return _reply_for_accepted(job, acceptance)
    refusal = _check_acceptance(job, acceptance)
    if refusal is not None:
        return refusal
    job.item_count = job.received
    job.content_hash = command.content_hash
    save_job(connection, job)
    return job.view()


def cancel_job(
    connection: sqlite3.Connection, context: ApplyContext, command: CancelJob
) -> JobView | Failure:
    """Cancel a job: from this log entry on no item is leased and late results are discarded.

    The command deletes only the queue entries of the job. The rows and states of its items do not
    change, which keeps the command cheap for a job of any size: reads report the unfinished items
    of a cancelled job as cancelled and list them after the stored outcomes.
    """
    job = job_by_id(connection, command.job_id)
    if job is None:
        return job_not_found_failure(command.job_id)
    if job.is_final:
        return job.view()
    if job.state == JobState.ACCEPTED:
        pending.remove_job(connection, job)
    else:
        connection.execute("DELETE FROM sm_pending WHERE job = ?", (job.number,))
    job.cancelled += job.pending + job.leased
    job.pending = 0
    job.leased = 0
    job.finish(JobState.CANCELLED, context.wall_ms)
    save_job(connection, job)
    job_spread.forget(connection, job.number)
    return job.view()


def discard_job(
    connection: sqlite3.Connection, context: ApplyContext, command: DiscardJob
) -> Discarded:
    """Delete an open job, so that its idempotency key can be used again.

    This command deletes a bounded number of rows; later commands delete the rest.
    """
    job = job_by_id(connection, command.job_id)
    if job is None or job.state != JobState.OPEN:
        return Discarded(dropped=False)
    delete_open_job(connection, job)
    delete_queued_rows(connection, ROWS_PER_COMMAND)
    return Discarded(dropped=True)


def delete_open_job(connection: sqlite3.Connection, job: JobRow) -> None:
    """Delete the row of an open job and queue the rows of its items for deletion."""
    connection.execute("DELETE FROM sm_jobs WHERE number = ?", (job.number,))
    queue_removal(connection, job.number)


def _reply_for_existing(job: JobRow, spec: JobSpec) -> OpenedJob | Failure:
    same = not spec.content_hash or not job.content_hash or spec.content_hash == job.content_hash
    if same and job.tenant == spec.tenant:
        return OpenedJob(job=job.view(), existed=True)
    return Failure(
        kind=FailureKind.KEY_REUSED,
        reason=f"idempotency key {spec.idempotency_key!r} belongs to job {job.job_id} with other "
        "content; use a new key for new content",
        step=Step.APPLYING,
        detail=job.job_id,
        execution=Execution.NOT_RUN,
    )


def _check_spec(spec: JobSpec, wall_ms: int) -> Failure | None:
    if spec.item_count > MAX_ITEMS_PER_JOB or spec.item_count < 0:
        return _bad_request(f"{spec.item_count} items, but a job holds at most {MAX_ITEMS_PER_JOB}")
    if spec.deadline_ms <= wall_ms:
        return _bad_request(f"the deadline {spec.deadline_ms} ms has passed already")
    return None


def _check_chunk(job: JobRow, command: AppendItems) -> Failure | None:
    end = command.first_index + len(command.items)
    if end <= job.received:
        return None
    if job.state != JobState.OPEN:
        return Failure(
            kind=FailureKind.CONFLICT,
            reason=f"job {job.job_id} is {job.state} and takes no more items",
            step=Step.APPLYING,
            execution=Execution.NOT_RUN,
        )
    if command.first_index < 0 or command.first_index > job.received:
        return Failure(
            kind=FailureKind.CONFLICT,
            reason=f"items start at {command.first_index}, but {job.received} are stored; "
            "send the missing ones first",
            step=Step.APPLYING,
            detail=str(job.received),
            execution=Execution.NOT_RUN,
        )
    limit = job.item_count or MAX_ITEMS_PER_JOB
    if end > limit or len(command.items) > MAX_CHUNK_ITEMS:
        return _bad_request(
            f"items up to {end} in a chunk of {len(command.items)}, but the job holds {limit} "
            f"and a chunk {MAX_CHUNK_ITEMS}"
        )
    return None


def _check_acceptance(job: JobRow, command: AcceptJob) -> Failure | None:
    expected = command.item_count or job.item_count
    if expected == 0 or job.received != expected:
        return Failure(
            kind=FailureKind.CONFLICT,
            reason=f"job {job.job_id} has {job.received} of {expected} items; a job needs all of "
            "its items, and at least one, to be accepted",
            step=Step.APPLYING,
            detail=str(job.received),
            execution=Execution.NOT_RUN,
        )
    if command.content_hash and command.content_hash != job.items_hash:
        return Failure(
            kind=FailureKind.KEY_REUSED,
            reason=f"the items stored in job {job.job_id} are not the ones of this upload: "
            "another upload used the same key; send it again with a new key",
            step=Step.APPLYING,
            execution=Execution.NOT_RUN,
        )
    return None


def _reply_for_accepted(job: JobRow, command: AcceptJob) -> JobView | Failure:
    if command.content_hash and command.content_hash != job.content_hash:
        return Failure(
            kind=FailureKind.KEY_REUSED,
            reason=f"job {job.job_id} was accepted with other content; use a new key",
            step=Step.APPLYING,
            detail=job.job_id,
            execution=Execution.NOT_RUN,
        )
    return job.view()


def _bad_request(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.APPLYING, execution=Execution.NOT_RUN
    )
