"""Grants and ends leases of items to gateways, and commits the outcomes of items.

The first final outcome committed for an item is kept, so each item becomes final exactly once.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator

from leverjunction.batch import job_spread, pending
from leverjunction.batch.commands import (
    CompletedItems,
    CompleteItems,
    ExpiredLeases,
    ExpireLeases,
    GrantLease,
    ItemInput,
    ItemResult,
    ItemState,
    JobState,
    Lease,
    LeasedItem,
    ProvenRun,
)
from leverjunction.batch.job_rows import JobRow
from leverjunction.batch.tables import row_key, split_key
from leverjunction.batch.touched_jobs import TouchedJobs
from leverjunction.consensus.api import ApplyContext

LEASE_DURATION_S = 10.0
"""How long a lease is valid without renewal. Ten exchanges in a row may fail, and the items of a
dead gateway still run elsewhere before the caller of a batch would notice."""

MIN_TURN_ITEMS = 4
"""Minimum number of items that one turn of a tenant takes, if the tenant has as many. Each tenant
in a lease writes separate pages in three tables: leases of 16 items that take one item from each of
16 tenants write twice as much. The leased items of tenants with equal weight differ by at most this
number at any moment."""

MAX_LEASE_ITEMS = 512
MAX_LEASE_BYTES = 4_000_000
"""Limits on the reply to one grant: item count, and total length of the item bodies."""

LEASE_LOST_BODY = '{"error":{"message":"the runner or its gateway was lost while the item ran; it \
may not repeat","type":"outcome_unknown"}}'

SERVER_ERROR = 500
"""Lowest status code of a response that does not prove that the runner survived the request."""

_FINAL_OUTCOMES = frozenset({ItemState.DONE, ItemState.FAILED, ItemState.UNKNOWN})


def grant_lease(
    connection: sqlite3.Connection, context: ApplyContext, command: GrantLease
) -> Lease:
    """Lease pending items to a gateway.

    If the lease id exists already, the command is a resend, and the reply lists the items that are
    still leased under it.
    """
    row = connection.execute(
        "SELECT number FROM sm_leases WHERE lease_id = ?", (command.lease_id,)
    ).fetchone()
    if row is not None:
        jobs = TouchedJobs(connection)
        items = list(_leased_items(connection, int(row[0]), jobs))
        return _lease_reply(connection, context, command, items, jobs)
    (number,) = connection.execute("SELECT COALESCE(MAX(number), 0) + 1 FROM sm_leases").fetchone()
    jobs = TouchedJobs(connection)
    items = list(_choose_items(connection, context, command, number, jobs))
    connection.execute(
        """
        INSERT INTO sm_leases (number, lease_id, owner, service, granted_ms, open_items)
        VALUES (?, ?, ?, ?, ?, ?)
        """,
        (number, command.lease_id, command.owner, command.service, context.wall_ms, len(items)),
    )
    jobs.save(context.wall_ms)
    return _lease_reply(connection, context, command, items, jobs)


def complete_items(
    connection: sqlite3.Connection, context: ApplyContext, command: CompleteItems
) -> CompletedItems:
    """Commit outcomes; the first final outcome of an item wins, the others are only counted."""
    jobs = TouchedJobs(connection)
    lease = _lease_number(connection, command.lease_id)
    accepted = 0
    for result in command.results:
        accepted += _commit_result(connection, jobs, lease, result)
    _record_reports(connection, context, command, jobs, lease)
    if command.release:
        _end_lease(connection, jobs, lease)
    cancelled = sorted(
        {
            result.job_id
            for result in command.results
            if (job := jobs.by_id(result.job_id)) is not None and job.state == JobState.CANCELLED
        }
    )
    jobs.save(context.wall_ms)
    return CompletedItems(
        accepted=accepted,
        discarded=len(command.results) - accepted,
        cancelled_jobs=cancelled,
        alerts=job_spread.alerts(connection, jobs.all(), context.wall_ms),
    )


def expire_leases(
    connection: sqlite3.Connection, context: ApplyContext, command: ExpireLeases
) -> ExpiredLeases:
    """End leases that were not renewed; their items become pending again or end as UNKNOWN."""
    jobs = TouchedJobs(connection)
    returned = 0
    unknown = 0
    for lease_id in command.lease_ids:
        counts = _end_lease(connection, jobs, _lease_number(connection, lease_id))
        returned += counts.returned
        unknown += counts.unknown
    jobs.save(context.wall_ms)
    return ExpiredLeases(returned=returned, unknown=unknown)


def _record_reports(
    connection: sqlite3.Connection,
    context: ApplyContext,
    command: CompleteItems,
    jobs: TouchedJobs,
    lease: int,
) -> None:
    """Record the lost runners and the proven runs that a holder reports."""
    for run in command.proven_runs:
        job = jobs.by_id(run.job_id)
        if job is not None and _is_held(connection, job, run, lease):
            job_spread.proven(connection, job, run)
    for report in command.lost_runners:
        job = jobs.by_id(report.job_id)
        if job is not None:
            job_spread.lost(connection, job, report, lease, context.wall_ms)


def _is_held(connection: sqlite3.Connection, job: JobRow, run: ProvenRun, lease: int) -> bool:
    """Return whether the item of a run is still leased under the lease and attempt of the run."""
    row = connection.execute(
        "SELECT attempt, lease FROM sm_item_states WHERE item_key = ?",
        (row_key(job.number, run.index),),
    ).fetchone()
    return row == (run.attempt, lease)


def _choose_items(
    connection: sqlite3.Connection,
    context: ApplyContext,
    command: GrantLease,
    lease: int,
    jobs: TouchedJobs,
) -> Iterator[LeasedItem]:
    remaining = min(command.max_items, MAX_LEASE_ITEMS)
    models = sorted(set(command.models))
    # One lease takes items from several tenants in turn, so that a tenant with few items does not
    # wait until a tenant with many items has received a whole lease.
    tenants = max(1, pending.tenants_in_service(connection, command.service))
    quantum = max(MIN_TURN_ITEMS, remaining // tenants)
    closed = job_spread.closed_jobs(connection, command.owner, context.wall_ms)
    size = 0
    while remaining > 0 and models and size < MAX_LEASE_BYTES:
        tenant = pending.next_tenant(connection, command.service, models, closed)
        if tenant is None:
            return
        choice = pending.earliest_job(connection, command.service, models, tenant, closed)
        if choice is None:
            return
        job = jobs.by_number(choice[0])
        indexes = pending.dequeue_items(connection, job, choice[1], min(quantum, remaining))
        remaining -= len(indexes)
        for index in indexes:
            item = _lease_item(connection, job, index, lease)
            size += len(item.item.body)
            yield item
        job_spread.leased(connection, job, command.owner, len(indexes), context.wall_ms)


def _lease_item(connection: sqlite3.Connection, job: JobRow, index: int, lease: int) -> LeasedItem:
    key = row_key(job.number, index)
    (attempt,) = connection.execute(
        """
        INSERT INTO sm_item_states (item_key, state, attempt, lease) VALUES (?, ?, 1, ?)
        ON CONFLICT DO UPDATE SET
            state = excluded.state, attempt = attempt + 1, lease = excluded.lease
        RETURNING attempt
        """,
        (key, ItemState.LEASED, lease),
    ).fetchone()
    job.pending -= 1
    job.leased += 1
    return _read_item(connection, job, index, attempt)


def _read_item(connection: sqlite3.Connection, job: JobRow, index: int, attempt: int) -> LeasedItem:
    *item, lost_runs = connection.execute(
        """
        SELECT custom_id, model, url, body, COALESCE(lost_runs, 0)
        FROM sm_items LEFT JOIN sm_item_losses USING (item_key) WHERE item_key = ?
        """,
        (row_key(job.number, index),),
    ).fetchone()
    return LeasedItem(
        job_id=job.job_id,
        index=index,
        attempt=attempt,
        tenant=job.tenant,
        may_repeat=bool(job.may_repeat),
        deadline_ms=job.deadline_ms,
        item=ItemInput(*item),
        lost_runs=lost_runs,
    )


def _leased_items(
    connection: sqlite3.Connection, lease: int, jobs: TouchedJobs
) -> Iterator[LeasedItem]:
    """Yield the items that are still leased under a lease, in reply to a resent grant."""
    for key, attempt in _open_items(connection, lease):
        number, index = split_key(key)
        job = jobs.by_number(number)
        if not job.is_final:
            yield _read_item(connection, job, index, attempt)


def _lease_reply(
    connection: sqlite3.Connection,
    context: ApplyContext,
    command: GrantLease,
    items: list[LeasedItem],
    jobs: TouchedJobs,
) -> Lease:
    return Lease(
        lease_id=command.lease_id,
        items=items,
        duration_s=LEASE_DURATION_S,
        granted_ms=context.wall_ms,
        pending=pending.pending_in_service(connection, command.service),
        alerts=job_spread.alerts(connection, jobs.all(), context.wall_ms),
        limited_jobs=job_spread.limited(connection, jobs.all()),
    )


def _commit_result(
    connection: sqlite3.Connection, jobs: TouchedJobs, lease: int, result: ItemResult
) -> bool:
    """Apply one result and return whether it took effect; False means that it was discarded."""
    job = jobs.by_id(result.job_id)
    if job is None:
        return False
    key = row_key(job.number, result.index)
    row = connection.execute(
        "SELECT state, attempt, lease FROM sm_item_states WHERE item_key = ?", (key,)
    ).fetchone()
    if row is None:
        return _count_discarded(job)
    state, attempt, holder = row
    is_holder = state == ItemState.LEASED and holder == lease and attempt == result.attempt
    is_return = result.state == ItemState.PENDING or (
        # An item that may repeat runs again when its outcome is unknown.
        result.state == ItemState.UNKNOWN and bool(job.may_repeat)
    )
    if is_return and is_holder:
        _store_lost_runs(connection, key, result.lost_runs)
    if is_return:
        return is_holder and _return_item(connection, job, key)
    if job.is_final and is_holder:
        # The cancel command has already counted the item; only its lease entry is cleared.
        _return_item(connection, job, key)
    if job.is_final or state in _FINAL_OUTCOMES or result.state not in _FINAL_OUTCOMES:
        return _count_discarded(job)
    if state == ItemState.PENDING:
        _remove_from_queue(connection, job, result.index)
    else:
        job.leased -= 1
        _release_item(connection, job, holder)
    _store_outcome(connection, job, key, result.state, result.status_code, result.body)
    if _is_answer(result):
        job_spread.answered(connection, job, result.index)
    return True


def _is_answer(result: ItemResult) -> bool:
    """Return whether an outcome is a response to the request rather than a failure to run it."""
    is_refused = result.state == ItemState.FAILED and result.status_code < SERVER_ERROR
    return result.state == ItemState.DONE or is_refused


def _store_lost_runs(connection: sqlite3.Connection, key: int, lost_runs: int) -> None:
    """Store the number of lost runs for the next holder of the item.

    The limit on lost runs thus applies to the item across all of its holders.
    """
    if lost_runs > 0:
        connection.execute(
            "INSERT OR REPLACE INTO sm_item_losses (item_key, lost_runs) VALUES (?, ?)",
            (key, lost_runs),
        )


def _count_discarded(job: JobRow) -> bool:
    job.discarded += 1
    return False


def _store_outcome(
    connection: sqlite3.Connection,
    job: JobRow,
    key: int,
    state: ItemState,
    status_code: int,
    body: str,
) -> None:
    """Make an item final and store its outcome.

    The caller has already subtracted the item from ``job.pending`` or ``job.leased``.
    """
    connection.execute(
        "UPDATE sm_item_states SET state = ?, lease = 0 WHERE item_key = ?", (state, key)
    )
    if state == ItemState.DONE:
        job.done += 1
    elif state == ItemState.FAILED:
        job.failed += 1
    else:
        job.unknown += 1
    connection.execute(
        """
        INSERT INTO sm_results (result_key, item_index, state, status_code, body)
        VALUES (?, ?, ?, ?, ?)
        """,
        (row_key(job.number, job.stored_results), split_key(key)[1], state, status_code, body),
    )


def _remove_from_queue(connection: sqlite3.Connection, job: JobRow, index: int) -> None:
    """Remove a returned item from the queue because a late result of the item is accepted."""
    if job.closed:
        # The job is past its deadline, so the item was counted as expired and is not queued.
        job.expired -= 1
        return
    (model,) = connection.execute(
        "SELECT model FROM sm_items WHERE item_key = ?", (row_key(job.number, index),)
    ).fetchone()
    pending.remove_item(connection, job, model, index)
    job.pending -= 1


def _return_item(connection: sqlite3.Connection, job: JobRow, key: int) -> bool:
    """Clear the lease of an item and return the item to the queue.

    The item is not queued if its job is final, and is counted as expired if the job is closed.
    """
    (lease,) = connection.execute(
        "SELECT lease FROM sm_item_states WHERE item_key = ?", (key,)
    ).fetchone()
    _release_item(connection, job, lease)
    connection.execute(
        "UPDATE sm_item_states SET state = ?, lease = 0 WHERE item_key = ?",
        (ItemState.PENDING, key),
    )
    if job.is_final:
        return True
    job.leased -= 1
    if job.closed:
        job.expired += 1
        return True
    job.pending += 1
    index = split_key(key)[1]
    (model,) = connection.execute(
        "SELECT model FROM sm_items WHERE item_key = ?", (key,)
    ).fetchone()
    pending.requeue_items(connection, job, [(index, model)])
    return True


def _end_lease(connection: sqlite3.Connection, jobs: TouchedJobs, lease: int) -> ExpiredLeases:
    """End a lease and return the counts.

    Items that may repeat return to the queue. Other items end as UNKNOWN, as they may have run.
    """
    returned = 0
    unknown = 0
    for key, _attempt in _open_items(connection, lease):
        job = jobs.by_number(split_key(key)[0])
        if job.may_repeat or job.is_final:
            _return_item(connection, job, key)
            returned += 1
        else:
            job.leased -= 1
            _release_item(connection, job, lease)
            _store_outcome(connection, job, key, ItemState.UNKNOWN, 0, LEASE_LOST_BODY)
            unknown += 1
    return ExpiredLeases(returned=returned, unknown=unknown)


def _open_items(connection: sqlite3.Connection, lease: int) -> list[tuple[int, int]]:
    rows = connection.execute(
        """
        SELECT item_key, attempt FROM sm_item_states
        WHERE lease = ? AND lease > 0 ORDER BY item_key
        """,
        (lease,),
    )
    return [(int(key), int(attempt)) for key, attempt in rows]


def _lease_number(connection: sqlite3.Connection, lease_id: str) -> int:
    row = connection.execute(
        "SELECT number FROM sm_leases WHERE lease_id = ?", (lease_id,)
    ).fetchone()
    # No item is leased under -1. A result sent under a lease whose row is already deleted still
    # counts if it is the first one of its item.
    return -1 if row is None else int(row[0])


def _release_item(connection: sqlite3.Connection, job: JobRow, lease: int) -> None:
    """Count an item as no longer leased under a lease."""
    connection.execute(
        "UPDATE sm_leases SET open_items = open_items - 1 WHERE number = ?", (lease,)
    )
    job_spread.released(connection, job.number, lease)
