"""Checks the lease model in ``specs.lease`` and compares the state machine with it.

The model must satisfy its invariants and must fail when one of its rules is broken. The job state
machine must reach the same states as the model on random traces.
"""

from __future__ import annotations

import random
import sqlite3

import pytest
from specs.lease import LeaseModel, Rule, State, check

from leverjunction.batch.commands import (
    AcceptJob,
    AppendItems,
    CancelJob,
    CompletedItems,
    CompleteItems,
    ExpireDeadlines,
    ExpiredLeases,
    ExpireLeases,
    GetJob,
    GrantLease,
    ItemInput,
    ItemResult,
    ItemState,
    JobSpec,
    JobView,
    Lease,
    OpenedJob,
    OpenJob,
)
from leverjunction.batch.job_rows import RESULTS_RETENTION_MS
from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.consensus.api import ApplyContext
from leverjunction.wire.codec import decode_reply, encode

ITEMS = 2
ATTEMPTS = 4
WALKS = 150
PAYLOAD_TABLES = ("sm_items", "sm_item_states", "sm_results", "sm_pending")
STEPS = 30


@pytest.mark.parametrize(
    ("items", "attempts", "may_repeat"), [(1, 3, True), (1, 3, False), (2, 2, False)]
)
def test_model_holds_over_its_whole_state_space(
    items: int, attempts: int, may_repeat: bool
) -> None:
    report = check(LeaseModel(items, attempts, may_repeat))
    assert report["exhaustive"]
    assert {name for name, v in report["properties"].items() if not v["holds"]} == set()


@pytest.mark.parametrize(
    ("rule", "broken"),
    [
        (Rule.SECOND_RESULT, "one_outcome_per_item"),
        (Rule.RERUN_UNREPEATABLE, "at_most_one_run"),
        (Rule.STALE_RETURN, "at_most_one_run"),
        (Rule.START_AFTER_RETURN, "at_most_one_run"),
        (Rule.RESULT_AFTER_CANCEL, "cancel_is_final"),
        (Rule.GRANT_AFTER_CANCEL, "cancel_is_final"),
        (Rule.REMOVE_UNFINISHED, "removed_job_is_final"),
        (Rule.RESULT_AFTER_REMOVAL, "one_outcome_per_item"),
    ],
)
def test_seeded_bug_is_found(rule: Rule, broken: str) -> None:
    verdict = check(LeaseModel(1, 3, False, rule))["properties"][broken]
    assert verdict["holds"] is False
    assert verdict["counterexample"]


class RealJob:
    """A job in the real state machine that applies the steps of the model by their labels."""

    def __init__(self, may_repeat: bool) -> None:
        self._connection = sqlite3.connect(":memory:", isolation_level=None)
        self._machine = JobsStateMachine()
        self._machine.create_tables(self._connection)
        self._index = 0
        spec = JobSpec(
            job_id="j",
            tenant="t",
            idempotency_key="",
            content_hash="",
            service="s",
            batch_class="",
            item_count=ITEMS,
            may_repeat=may_repeat,
            deadline_ms=1_000,
        )
        self._apply(OpenJob(spec), OpenedJob)
        items = [ItemInput(str(i), "m", "/v1/completions", "{}") for i in range(ITEMS)]
        self._apply(AppendItems("j", 0, items), JobView)
        self._apply(AcceptJob("j"), JobView)

    def apply_step(self, label: str) -> None:
        """Apply the command that a step of the model stands for.

        A local step of a gateway has no command and changes nothing.
        """
        kind, *rest = label.split()
        if kind == "local":
            return
        if kind == "cancel":
            self._apply(CancelJob("j"), JobView)
            return
        if kind == "remove":
            self._apply(ExpireDeadlines(), ExpiredLeases, RESULTS_RETENTION_MS + 1)
            return
        gateway, index, attempt = rest[0], int(rest[1]), int(rest[2])
        lease_id = f"{gateway}-{index}-{attempt}"
        if kind in ("grant", "regrant"):
            lease = self._apply(GrantLease(lease_id, gateway, "s", ["m"], 1), Lease)
            assert isinstance(lease, Lease)
            granted = [(item.index, item.attempt) for item in lease.items]
            assert granted in ([(index, attempt)], [] if kind == "regrant" else None)
        elif kind == "expire":
            self._apply(ExpireLeases([lease_id]), ExpiredLeases)
        else:
            state = ItemState.DONE if kind == "done" else ItemState.PENDING
            result = ItemResult(
                job_id="j", index=index, attempt=attempt, state=state, status_code=200, body="{}"
            )
            self._apply(CompleteItems(lease_id, [result]), CompletedItems)

    def statuses(self) -> list[str]:
        """Return the status of each item, in index order."""
        rows = self._connection.execute("SELECT item_key, state FROM sm_item_states")
        known = {key & 1: state for key, state in rows}
        return [known.get(index, "pending") for index in range(ITEMS)]

    def count_rows_and_leased_items(self) -> int:
        """Return the number of rows of the items plus the number of leased items."""
        queries = [f"SELECT COUNT(*) FROM {name}" for name in PAYLOAD_TABLES]
        queries.append("SELECT COALESCE(SUM(open_items), 0) FROM sm_leases")
        return sum(self._connection.execute(query).fetchone()[0] for query in queries)

    def view(self) -> JobView:
        """Return the job with its counters, as callers see it."""
        view = decode_reply(self._machine.query(self._connection, encode(GetJob("j"))), JobView)
        assert isinstance(view, JobView)
        return view

    def _apply(self, command: object, reply_type: type, wall_ms: int = 1) -> object:
        self._index += 1
        context = ApplyContext(index=self._index, term=1, wall_ms=wall_ms)
        return decode_reply(
            self._machine.apply(self._connection, context, encode(command)), reply_type
        )


def _compare_random_traces(model: LeaseModel) -> set[str]:
    """Compare the model and the real state machine after each step of random traces.

    Returns:
        The kinds of the steps that were taken.
    """
    generator = random.Random(7)
    step_kinds: set[str] = set()
    for _ in range(WALKS):
        state, real = model.initial(), RealJob(model.may_repeat)
        for _ in range(STEPS):
            # A resend that does not change the model must not change the state machine either.
            resends = [
                (f"{m.kind} {m.gateway} {m.item} {m.attempt}", model.deliver(state, m))
                for m in sorted(state.sent)
            ]
            steps = [*model.transitions(state), *resends]
            if not steps:
                break
            label, state = generator.choice(steps)
            step_kinds.add(label.split()[0])
            real.apply_step(label)
            _compare(state, real)
    return step_kinds


@pytest.mark.parametrize("may_repeat", [True, False])
def test_real_state_machine_follows_the_traces_of_the_model(may_repeat: bool) -> None:
    step_kinds = _compare_random_traces(LeaseModel(ITEMS, ATTEMPTS, may_repeat))
    assert step_kinds == {
        "cancel",
        "grant",
        "regrant",
        "local",
        "done",
        "return",
        "expire",
        "remove",
    }


@pytest.mark.parametrize(
    "rule", [Rule.RERUN_UNREPEATABLE, Rule.STALE_RETURN, Rule.RESULT_AFTER_CANCEL]
)
def test_traces_of_a_broken_model_are_noticed(rule: Rule) -> None:
    with pytest.raises(AssertionError):
        _compare_random_traces(LeaseModel(ITEMS, ATTEMPTS, False, rule))


def _compare(state: State, real: RealJob) -> None:
    view = real.view()
    statuses = [item.status for item in state.items]
    assert (view.done, view.unknown) == (statuses.count("done"), statuses.count("unknown"))
    if state.removed:
        assert real.count_rows_and_leased_items() == 0
    if state.cancelled and view.finished_ms and view.state == "cancelled":
        assert (view.pending, view.leased) == (0, 0)
        assert view.cancelled == statuses.count("pending") + statuses.count("leased")
    elif state.removed:
        assert (view.pending, view.leased) == (0, 0)
    else:
        assert real.statuses() == statuses
        assert (view.pending, view.leased) == (statuses.count("pending"), statuses.count("leased"))
