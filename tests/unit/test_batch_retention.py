"""Tests the removal of results past their retention and of abandoned uploads."""

from __future__ import annotations

import msgspec
import pytest
from tests.unit.batch_machine import DEADLINE_MS, START_MS, Machine, items, outcome, spec

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    Backlog,
    CancelJob,
    ExpireDeadlines,
    ExpiredLeases,
    ExpireLeases,
    GetBacklog,
    GetResults,
    ItemState,
    JobState,
    JobView,
    OpenedJob,
    OpenJob,
    ResultPage,
)
from leverjunction.batch.job_rows import RESULTS_RETENTION_MS
from leverjunction.batch.removal import ROWS_PER_COMMAND
from leverjunction.batch.retention import DUE_NOW_MS, REMOVED_JOB_RETENTION_MS
from leverjunction.batch.submission import MAX_CHUNK_ITEMS
from leverjunction.errors import Failure, FailureKind

PAYLOAD_TABLES = (
    "sm_items",
    "sm_results",
    "sm_item_states",
    "sm_item_losses",
    "sm_pending",
    "sm_removals",
)


@pytest.fixture
def machine() -> Machine:
    return Machine()


def run_job(machine: Machine, job_id: str, count: int, **changes: object) -> None:
    machine.submit(job_id, count, **changes)
    number = 0
    while machine.job(job_id).state == JobState.ACCEPTED:
        lease = machine.grant(f"{job_id}-{number}", max_items=500)
        machine.complete(lease.lease_id, *[outcome(item) for item in lease.items])
        number += 1


def expire(machine: Machine, wall_ms: int) -> ExpiredLeases:
    machine.wall_ms = wall_ms
    reply = machine.apply(ExpireDeadlines(), ExpiredLeases)
    assert isinstance(reply, ExpiredLeases)
    return reply


def count_rows(machine: Machine) -> int:
    counts = [
        machine.connection.execute(f"SELECT COUNT(*) FROM {table}").fetchone()[0]
        for table in PAYLOAD_TABLES
    ]
    return sum(counts)


def next_due_ms(machine: Machine) -> int:
    backlog = machine.query(GetBacklog(), Backlog)
    assert isinstance(backlog, Backlog)
    return backlog.next_due_ms


def test_results_are_readable_until_their_retention_ends(machine: Machine) -> None:
    run_job(machine, "a", 3, idempotency_key="k")
    until_ms = START_MS + RESULTS_RETENTION_MS
    assert machine.job("a").keep_until_ms == until_ms
    expire(machine, until_ms - 1)
    assert len(machine.results("a").lines) == 3
    expire(machine, until_ms)
    refused = machine.query(GetResults("a", 0), ResultPage)
    assert isinstance(refused, Failure)
    assert refused.kind == FailureKind.EXPIRED
    assert "expired" in refused.reason
    assert count_rows(machine) == 0
    # The row of the job is still stored, so a resend with its key does not run it again.
    view = machine.job("a")
    assert (view.state, view.done, view.removed_ms) == (JobState.COMPLETED, 3, until_ms)
    again = spec("b", idempotency_key="k", deadline_ms=until_ms + 1000)
    reopened = machine.apply(OpenJob(again), OpenedJob)
    assert isinstance(reopened, OpenedJob)
    assert (reopened.existed, reopened.job.spec.job_id) == (True, "a")
    expire(machine, until_ms + REMOVED_JOB_RETENTION_MS + 1)
    reopened = machine.apply(OpenJob(again), OpenedJob)
    assert isinstance(reopened, Failure), "the old job was found, or a past deadline was accepted"


def test_retention_of_a_job_is_set_by_its_acceptance(machine: Machine) -> None:
    machine.apply(OpenJob(spec("a", item_count=1)), OpenedJob)
    machine.apply(AppendItems("a", 0, items(1)), JobView)
    machine.apply(AcceptJob("a", retention_ms=5_000), JobView)
    lease = machine.grant("l")
    machine.complete("l", outcome(lease.items[0]))
    assert next_due_ms(machine) == START_MS + 5_000
    assert expire(machine, START_MS + 5_000).removed_jobs == 1


def test_each_command_deletes_a_bounded_number_of_rows(machine: Machine) -> None:
    run_job(machine, "big", MAX_CHUNK_ITEMS)
    run_job(machine, "small", 3, deadline_ms=DEADLINE_MS)
    before = count_rows(machine)
    until_ms = START_MS + RESULTS_RETENTION_MS
    deleted = []
    while not deleted or deleted[-1]:
        deleted.append(expire(machine, until_ms).removed_rows)
        for job_id in ("big", "small"):
            refused = machine.query(GetResults(job_id, 0), ResultPage)
            assert isinstance(refused, Failure), "partial results were returned during the removal"
        if count_rows(machine):
            assert next_due_ms(machine) == DUE_NOW_MS
    assert max(deleted) <= ROWS_PER_COMMAND
    assert sum(deleted) == before
    assert count_rows(machine) == 0
    assert next_due_ms(machine) > until_ms


def test_lease_no_longer_holds_removed_items(machine: Machine) -> None:
    machine.submit("a", 3)
    lease = machine.grant("l")
    machine.apply(CancelJob("a"), JobView)
    expire(machine, START_MS + RESULTS_RETENTION_MS)
    backlog = machine.query(GetBacklog(), Backlog)
    assert isinstance(backlog, Backlog)
    assert backlog.leases_by_owner == {}
    assert machine.grant("l").items == [], "a resent grant returned removed items"
    late = machine.complete("l", *[outcome(item) for item in lease.items], release=True)
    assert (late.accepted, late.discarded) == (0, 3)
    assert machine.apply(ExpireLeases(["l"]), ExpiredLeases) == ExpiredLeases(returned=0, unknown=0)
    assert machine.job("a").cancelled == 3


def test_counts_of_lost_runs_are_removed_with_their_job(machine: Machine) -> None:
    machine.submit("jobs-0.a", 2)
    lease = machine.grant("l")
    returned = outcome(lease.items[0], ItemState.PENDING)
    machine.complete("l", msgspec.structs.replace(returned, lost_runs=1), release=True)
    machine.apply(CancelJob("jobs-0.a"), JobView)
    expire(machine, machine.wall_ms + RESULTS_RETENTION_MS)
    assert count_rows(machine) == 0


def test_new_job_shares_nothing_with_an_upload_that_is_being_deleted(machine: Machine) -> None:
    machine.apply(OpenJob(spec("given-up", item_count=0)), OpenedJob)
    for first in range(0, 2 * ROWS_PER_COMMAND, 500):
        machine.apply(AppendItems("given-up", first, items(500, first=first)), JobView)
    expired = expire(machine, DEADLINE_MS)
    assert expired.removed_rows == ROWS_PER_COMMAND
    run_job(machine, "new", 3, deadline_ms=DEADLINE_MS + 10_000)
    while next_due_ms(machine) == DUE_NOW_MS:
        expire(machine, DEADLINE_MS)
    assert [line.custom_id for line in machine.results("new").lines] == ["c0", "c1", "c2"]
    counts = machine.connection.execute("SELECT COUNT(*) FROM sm_items").fetchone()
    assert counts == (3,)
