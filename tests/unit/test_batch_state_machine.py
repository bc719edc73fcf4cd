"""Tests the commands and queries of the replicated job state machine."""

from __future__ import annotations

import msgspec
import pytest
from tests.unit.batch_machine import (
    DEADLINE_MS,
    EMPTY_BACKLOG,
    START_MS,
    Machine,
    items,
    outcome,
    spec,
)

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    Backlog,
    CancelJob,
    Claim,
    ClaimRequest,
    Discarded,
    DiscardJob,
    ExpireDeadlines,
    ExpiredLeases,
    ExpireLeases,
    FinishClaim,
    GetBacklog,
    GetJob,
    ItemState,
    JobState,
    JobView,
    ListJobs,
    OpenedJob,
    OpenJob,
    SealJob,
)
from leverjunction.batch.retention import CLAIM_RETENTION_MS, LEASE_RETENTION_MS
from leverjunction.batch.submission import items_hash
from leverjunction.consensus.api import ApplyContext
from leverjunction.errors import Failure, FailureKind
from leverjunction.wire.codec import decode_reply


@pytest.fixture
def machine() -> Machine:
    return Machine()


def test_job_completes_with_results_in_order_of_commit(machine: Machine) -> None:
    machine.submit("j")
    lease = machine.grant("l")
    assert [item.index for item in lease.items] == [0, 1, 2]
    machine.complete("l", outcome(lease.items[2], body="third"))
    machine.complete("l", outcome(lease.items[0]), outcome(lease.items[1], ItemState.FAILED))
    view = machine.job("j")
    assert (view.state, view.done, view.failed) == (JobState.COMPLETED, 2, 1)
    first = machine.results("j", limit=2)
    assert [line.custom_id for line in first.lines] == ["c2", "c0"]
    assert (first.lines[0].body, first.complete) == ("third", False)
    rest = machine.results("j", after=first.next_cursor)
    assert [line.state for line in rest.lines] == [ItemState.FAILED]
    assert rest.complete
    assert machine.results("j", after=rest.next_cursor).complete


def test_first_committed_outcome_wins(machine: Machine) -> None:
    machine.submit("j", 1)
    (item,) = machine.grant("l").items
    assert machine.complete("l", outcome(item, body="first")).accepted == 1
    late = machine.complete("l", outcome(item, body="second"), outcome(item, ItemState.FAILED))
    assert (late.accepted, late.discarded) == (0, 2)
    view = machine.job("j")
    assert (view.done, view.failed, view.discarded) == (1, 0, 2)
    assert [line.body for line in machine.results("j").lines] == ["first"]


def test_late_result_of_an_expired_lease_counts_once(machine: Machine) -> None:
    machine.submit("j", 1)
    (item,) = machine.grant("old").items
    ended = machine.apply(ExpireLeases(["old"]), ExpiredLeases)
    assert ended == ExpiredLeases(returned=1, unknown=0)
    (again,) = machine.grant("new").items
    assert again.attempt == 2
    assert machine.complete("old", outcome(item, body="late")).accepted == 1
    assert machine.complete("new", outcome(again)).discarded == 1
    assert machine.job("j").state == JobState.COMPLETED
    assert machine.query(GetBacklog(), Backlog) == EMPTY_BACKLOG


def test_late_result_withdraws_the_item_from_the_queue(machine: Machine) -> None:
    machine.submit("j", 2)
    lease = machine.grant("old")
    machine.apply(ExpireLeases(["old"]), ExpiredLeases)
    machine.complete("old", outcome(lease.items[0]))
    assert [item.index for item in machine.grant("new").items] == [1]
    assert machine.job("j").pending == 0


@pytest.mark.parametrize("end", ["expiry", "release"])
def test_items_that_may_not_repeat_end_as_unknown(machine: Machine, end: str) -> None:
    machine.submit("j", 2, may_repeat=False)
    lease = machine.grant("l")
    if end == "expiry":
        machine.apply(ExpireLeases(["l"]), ExpiredLeases)
    else:
        # Item 0 was not started and is returned explicitly; the other item may have run.
        machine.complete("l", outcome(lease.items[0], ItemState.PENDING), release=True)
    view = machine.job("j")
    assert (view.unknown, view.pending) == ((2, 0) if end == "expiry" else (1, 1))
    assert machine.complete("l", outcome(lease.items[1])).discarded == 1


def test_unknown_outcome_of_a_repeatable_item_runs_again(machine: Machine) -> None:
    machine.submit("j", 1)
    (item,) = machine.grant("l").items
    machine.complete("l", outcome(item, ItemState.UNKNOWN))
    assert machine.job("j").pending == 1
    # A resend of the return under the old lease must not take the item from its next holder.
    (again,) = machine.grant("l2").items
    machine.complete("l", outcome(item, ItemState.PENDING))
    assert machine.job("j").leased == 1
    assert machine.complete("l2", outcome(again)).accepted == 1


def test_lost_runs_are_passed_to_the_next_holder_of_the_item(machine: Machine) -> None:
    machine.submit("jobs-0.a", 2)
    first = machine.grant("l1")
    given_back = outcome(first.items[0], ItemState.PENDING)
    lost = msgspec.structs.replace(given_back, lost_runs=3)
    machine.complete("l1", lost, outcome(first.items[1], ItemState.PENDING))
    second = machine.grant("l2")
    assert {item.index: item.lost_runs for item in second.items} == {0: 3, 1: 0}
    late = msgspec.structs.replace(given_back, lost_runs=9)
    machine.complete("l1", late)
    assert {item.lost_runs for item in machine.grant("l2").items} == {3, 0}, (
        "a late return changed lost_runs"
    )


def test_cancel_stops_grants_and_discards_late_results(machine: Machine) -> None:
    machine.submit("j", 4)
    lease = machine.grant("l", max_items=2)
    machine.complete("l", outcome(lease.items[0]))
    machine.apply(CancelJob("j"), JobView)
    view = machine.job("j")
    assert (view.state, view.done, view.cancelled, view.leased) == (JobState.CANCELLED, 1, 3, 0)
    assert machine.grant("l2").items == []
    late = machine.complete("l", outcome(lease.items[1]))
    assert (late.discarded, late.cancelled_jobs) == (1, ["j"])
    page = machine.results("j", limit=3)
    assert [(line.custom_id, line.state) for line in page.lines] == [
        ("c0", ItemState.DONE),
        ("c1", ItemState.CANCELLED),
        ("c2", ItemState.CANCELLED),
    ]
    rest = machine.results("j", after=page.next_cursor)
    assert [line.custom_id for line in rest.lines] == ["c3"]
    assert rest.complete
    assert machine.query(GetBacklog(), Backlog) == msgspec.structs.replace(
        EMPTY_BACKLOG, cancelled_jobs=["j"]
    )


def test_open_job_is_found_again_by_key_and_refused_for_other_content(machine: Machine) -> None:
    machine.apply(OpenJob(spec("a", idempotency_key="k")), OpenedJob)
    again = machine.apply(OpenJob(spec("b", idempotency_key="k")), OpenedJob)
    assert isinstance(again, OpenedJob)
    assert (again.existed, again.job.spec.job_id) == (True, "a")
    other = machine.apply(OpenJob(spec("c", idempotency_key="k", content_hash="x")), OpenedJob)
    assert isinstance(other, Failure)
    assert (other.kind, other.detail) == (FailureKind.KEY_REUSED, "a")
    other_tenant = OpenJob(spec("d", idempotency_key="k", tenant="hanbit", content_hash="x"))
    opened = machine.apply(other_tenant, OpenedJob)
    assert isinstance(opened, OpenedJob)
    assert not opened.existed


def test_accept_needs_all_items_and_resends_change_nothing(machine: Machine) -> None:
    machine.apply(OpenJob(spec("j")), OpenedJob)
    gap = machine.apply(AppendItems("j", 1, items(2, first=1)), JobView)
    assert isinstance(gap, Failure) and gap.kind == FailureKind.CONFLICT
    machine.apply(AppendItems("j", 0, items(2)), JobView)
    early = machine.apply(AcceptJob("j"), JobView)
    assert isinstance(early, Failure) and early.kind == FailureKind.CONFLICT
    machine.apply(AppendItems("j", 1, items(2, first=1)), JobView)
    accepted = machine.apply(AcceptJob("j"), JobView)
    assert machine.apply(AcceptJob("j"), JobView) == accepted
    assert machine.apply(AppendItems("j", 0, items(3)), JobView) == accepted
    assert machine.job("j").pending == 3


def test_streamed_upload_is_accepted_only_with_its_own_items(machine: Machine) -> None:
    machine.apply(OpenJob(spec("j", item_count=0, content_hash="")), OpenedJob)
    machine.apply(AppendItems("j", 0, items(3)), JobView)
    wrong = machine.apply(AcceptJob("j", 3, items_hash("", items(3, model="n"))), JobView)
    assert isinstance(wrong, Failure) and wrong.kind == FailureKind.KEY_REUSED
    digest = items_hash(items_hash("", items(1)), items(2, first=1))
    view = machine.apply(AcceptJob("j", 3, digest, "day", START_MS + 5, False), JobView)
    assert isinstance(view, JobView)
    parameters = (view.spec.item_count, view.spec.batch_class, view.spec.may_repeat)
    assert parameters == (3, "day", False)
    assert view.spec.deadline_ms == START_MS + 5
    other = machine.apply(AcceptJob("j", 3, "other"), JobView)
    assert isinstance(other, Failure) and other.kind == FailureKind.KEY_REUSED


def test_sealed_upload_becomes_a_job_without_stating_its_items_again(machine: Machine) -> None:
    machine.apply(OpenJob(spec("j", item_count=0, content_hash="")), OpenedJob)
    machine.apply(AppendItems("j", 0, items(3)), JobView)
    unsealed = machine.apply(AcceptJob("j"), JobView)
    assert isinstance(unsealed, Failure) and unsealed.kind == FailureKind.CONFLICT
    seal = SealJob("j", 3, items_hash("", items(3)))
    sealed = machine.apply(seal, JobView)
    assert machine.apply(seal, JobView) == sealed
    extra = machine.apply(AppendItems("j", 3, items(1)), JobView)
    assert isinstance(extra, Failure) and extra.kind == FailureKind.BAD_REQUEST
    accepted = machine.apply(AcceptJob("j"), JobView)
    assert isinstance(accepted, JobView) and accepted.state == JobState.ACCEPTED


def test_discard_frees_the_key_of_an_open_job_only(machine: Machine) -> None:
    machine.apply(OpenJob(spec("a", idempotency_key="k")), OpenedJob)
    machine.apply(AppendItems("a", 0, items(3)), JobView)
    assert machine.apply(DiscardJob("a"), Discarded) == Discarded(dropped=True)
    machine.submit("b", idempotency_key="k", content_hash="other")
    assert machine.apply(DiscardJob("b"), Discarded) == Discarded(dropped=False)
    assert machine.job("b").pending == 3


@pytest.mark.parametrize(
    "changes",
    [{"deadline_ms": START_MS}, {"item_count": 1 << 20}, {"item_count": -1}],
)
def test_open_refuses_invalid_parameters(machine: Machine, changes: dict[str, int]) -> None:
    refused = machine.apply(OpenJob(spec("j", **changes)), OpenedJob)
    assert isinstance(refused, Failure) and refused.kind == FailureKind.BAD_REQUEST


def test_resent_grant_returns_only_items_that_are_still_leased(machine: Machine) -> None:
    machine.submit("j", 3)
    lease = machine.grant("l", max_items=2)
    assert machine.grant("l", max_items=2) == lease
    machine.complete("l", outcome(lease.items[0]), outcome(lease.items[1]))
    assert machine.grant("l", max_items=2).items == []
    empty = machine.grant("none", models=("other",))
    assert (empty.items, empty.pending) == ([], 1)


def test_grant_takes_earliest_deadline_first_and_only_loaded_models(machine: Machine) -> None:
    machine.submit("late", 2)
    machine.submit("soon", 2, deadline_ms=DEADLINE_MS - 10)
    machine.apply(OpenJob(spec("other", item_count=1, deadline_ms=START_MS + 1)), OpenedJob)
    machine.apply(AppendItems("other", 0, items(1, model="n")), JobView)
    machine.apply(AcceptJob("other"), JobView)
    assert [item.job_id for item in machine.grant("l").items] == ["soon"] * 2 + ["late"] * 2


def test_grants_are_fair_between_tenants(machine: Machine) -> None:
    machine.submit("big", 100, tenant="hanbit")
    machine.grant("l0", max_items=40)
    machine.submit("small", 10, tenant="kilimo")
    served = [item.tenant for item in machine.grant("l1", max_items=10).items]
    assert served.count("kilimo") == 5
    # A tenant that joins starts at the served share of the others, without credit for the past.
    assert machine.job("big").leased == 45


def test_deadline_expires_pending_items_and_lets_leased_ones_finish(machine: Machine) -> None:
    machine.submit("j", 3)
    lease = machine.grant("l", max_items=2)
    machine.wall_ms = DEADLINE_MS
    closed = machine.apply(ExpireDeadlines(), ExpiredLeases)
    assert isinstance(closed, ExpiredLeases) and closed.expired == 1
    assert machine.job("j").state == JobState.ACCEPTED
    assert not machine.results("j").complete
    machine.complete("l", outcome(lease.items[1]), outcome(lease.items[0], ItemState.PENDING))
    view = machine.job("j")
    assert (view.state, view.done, view.expired) == (JobState.EXPIRED, 1, 2)
    page = machine.results("j")
    assert [line.index for line in page.lines] == [1, 0, 2]
    assert page.complete
    assert machine.grant("l2").items == []


def test_late_result_after_the_deadline_undoes_the_expiry(machine: Machine) -> None:
    machine.submit("j", 2)
    lease = machine.grant("l")
    machine.apply(ExpireLeases(["l"]), ExpiredLeases)
    holder = machine.grant("l2", max_items=1)
    machine.wall_ms = DEADLINE_MS
    machine.apply(ExpireDeadlines(), ExpiredLeases)
    assert machine.complete("l", outcome(lease.items[1])).accepted == 1
    machine.complete("l2", outcome(holder.items[0]))
    view = machine.job("j")
    assert (view.state, view.done, view.expired) == (JobState.COMPLETED, 2, 0)


def test_abandoned_upload_is_deleted_at_its_deadline(machine: Machine) -> None:
    machine.apply(OpenJob(spec("j")), OpenedJob)
    machine.apply(AppendItems("j", 0, items(2)), JobView)
    machine.wall_ms = DEADLINE_MS
    machine.apply(ExpireDeadlines(), ExpiredLeases)
    gone = machine.query(GetJob("j"), JobView)
    assert isinstance(gone, Failure) and gone.kind == FailureKind.NOT_FOUND
    assert machine.connection.execute("SELECT COUNT(*) FROM sm_items").fetchone() == (0,)


def test_claim_is_granted_to_one_attempt_and_keeps_its_response(machine: Machine) -> None:
    def claim(attempt: str, content: str = "h") -> Claim:
        reply = machine.apply(ClaimRequest("t", "k", content, "g", attempt), Claim)
        assert isinstance(reply, Claim)
        return reply

    assert claim("a").granted and claim("a").granted
    assert not claim("b").granted
    other_attempt = machine.apply(FinishClaim("t", "k", "b", 200, "x"), Claim)
    assert isinstance(other_attempt, Failure)
    machine.apply(FinishClaim("t", "k", "a", 200, "answer"), Claim)
    machine.apply(FinishClaim("t", "k", "a", 500, "other"), Claim)
    resend = claim("b")
    assert (resend.finished, resend.status_code, resend.body) == (True, 200, "answer")
    assert not claim("a").granted
    assert claim("c", "other").content_hash == "h"


def test_claim_that_was_not_run_is_released_and_old_claims_are_deleted(machine: Machine) -> None:
    machine.apply(ClaimRequest("t", "k", "h", "g", "a"), Claim)
    machine.apply(FinishClaim("t", "k", "a", 503, "", True), Claim)
    second = machine.apply(ClaimRequest("t", "k", "h", "g", "b"), Claim)
    assert isinstance(second, Claim) and second.granted
    machine.grant("ended")
    machine.wall_ms += max(CLAIM_RETENTION_MS, LEASE_RETENTION_MS) + 1
    machine.apply(ExpireDeadlines(), ExpiredLeases)
    for table in ("sm_claims", "sm_leases"):
        assert machine.connection.execute(f"SELECT COUNT(*) FROM {table}").fetchone() == (0,)


def test_lists_and_backlog(machine: Machine) -> None:
    machine.submit("a", 2)
    machine.submit("b", 2, tenant="hanbit")
    machine.grant("l", max_items=1)
    listed = machine.query(ListJobs(""), list[JobView])
    assert [view.spec.job_id for view in listed] == ["b", "a"]
    own = machine.query(ListJobs("kilimo"), list[JobView])
    assert [view.spec.job_id for view in own] == ["a"]
    assert machine.query(GetBacklog(), Backlog) == Backlog(
        pending_by_service={"llm": 3},
        leases_by_owner={"gateway-1": ["l"]},
        next_due_ms=DEADLINE_MS,
    )


def test_backlog_lists_the_most_recently_cancelled_jobs(machine: Machine) -> None:
    # The age of a job must not matter. A new leader notifies lease holders of a cancel, as the
    # former leader may have failed before it did.
    for number in range(150):
        machine.submit(f"j{number}", 1)
    for job_id in ("j0", "j70"):
        machine.wall_ms += 1
        machine.apply(CancelJob(job_id), JobView)
    backlog = machine.query(GetBacklog(), Backlog)
    assert isinstance(backlog, Backlog)
    assert backlog.cancelled_jobs == ["j70", "j0"]


def test_undecodable_commands_are_refused(machine: Machine) -> None:
    context = ApplyContext(index=1, term=1, wall_ms=START_MS)
    reply = decode_reply(machine.state_machine.apply(machine.connection, context, b"{}"), JobView)
    assert isinstance(reply, Failure) and reply.kind == FailureKind.CORRUPT
