"""Tests of the harvester's rules for runs, runners and held items, without threads."""

from __future__ import annotations

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from leverjunction.backends.head_wait import IsOutdated
from leverjunction.backends.types import EngineCall, LoadReport
from leverjunction.batch.batch_counters import HarvestCounters
from leverjunction.batch.commands import ItemInput, ItemState, Lease, LeasedItem
from leverjunction.batch.harvest import HarvestTargets
from leverjunction.batch.harvest_state import (
    LOST_RUNNER_S,
    MAX_BROKEN_RUNS,
    MAX_TRIES,
    HarvestState,
)
from leverjunction.batch.harvest_types import ItemOutcome, ReturnedItem, Run
from leverjunction.batch.held_work import SUSPECT_LOST_RUNS
from leverjunction.batch.item_run import RunEnd, RunResult, run_item
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.messages import RunnerState

RUNNER = RunnerState(runner_id="r1", address="a:1", zone="z", service="llm", models=["m"])
TARGETS = {"llm": HarvestTargets(interference=0.0, batch_floor=0, batch_max_running=4)}
GRANTED_MS = 1_000_000
REPORT = LoadReport(
    as_of_ms=0,
    incarnation=1,
    running=0,
    waiting=0,
    batch_running=0,
    batch_waiting=0,
    kv_blocks_used=0,
    kv_blocks_total=1,
    step_ms=0.0,
)


def held_state(may_repeat: bool) -> HarvestState:
    """Return a state with an idle runner and a lease of two items, granted at time 0."""
    state = HarvestState(HarvestCounters(CollectorRegistry()))
    leased = [
        LeasedItem(
            job_id="jobs-0.a",
            index=index,
            attempt=1,
            tenant="t",
            may_repeat=may_repeat,
            deadline_ms=GRANTED_MS + 60_000,
            item=ItemInput(f"c{index}", "m", "/v1/completions", "{}"),
        )
        for index in range(2)
    ]
    lease = Lease(lease_id="l", items=leased, duration_s=10.0, pending=0, granted_ms=GRANTED_MS)
    state.work.add_lease(lease, "g", "llm", valid_until_s=9e9, now_s=0.0)
    state.set_runners([RUNNER], TARGETS)
    state.runners["r1"].controller.observe(REPORT, 0.0)
    return state


@pytest.mark.parametrize(("may_repeat", "returned"), [(True, 2), (False, 0)])
def test_runs_on_a_removed_runner_are_abandoned(may_repeat: bool, returned: int) -> None:
    # The machine list no longer contains the runner, but its connections only end by their
    # timeout of several minutes.
    state = held_state(may_repeat)
    assert len(state.plan(0.0).starts) == 2
    state.set_runners([], TARGETS)
    assert state.plan(0.1).returned == []
    state.plan(0.2 + LOST_RUNNER_S)
    assert len(state.plan(0.3 + LOST_RUNNER_S).returned) == returned
    assert state.live_runs() == 2 - returned


def test_items_for_a_dead_runner_that_is_still_listed_are_returned() -> None:
    """The gateway has no other runner of the service, so the items would wait here for ever."""
    state = held_state(may_repeat=True)
    state.set_runners(
        [RUNNER], {"llm": msgspec.structs.replace(TARGETS["llm"], batch_max_running=1)}
    )
    assert len(state.plan(0.0).starts) == 1
    assert state.plan(LOST_RUNNER_S - 0.1).returned == []
    assert state.demands(LOST_RUNNER_S - 0.1) != []
    later_s = [LOST_RUNNER_S + 0.1, LOST_RUNNER_S + 0.2]
    returned = [item for now_s in later_s for item in state.plan(now_s).returned]
    assert sorted(item.work.leased.index for item in returned) == [0, 1]
    assert state.demands(LOST_RUNNER_S + 0.2) == []


@pytest.mark.parametrize(("now_s", "started", "returned"), [(59.0, 2, 0), (60.0, 0, 2)])
def test_deadline_counts_from_the_grant_by_the_monotonic_clock(
    now_s: float, started: int, returned: int
) -> None:
    # If deadlines used the local wall clock, a gateway whose clock is an hour ahead would return
    # each item immediately. The group, by whose clock there is time left, would lease it again,
    # for a whole hour.
    state = held_state(may_repeat=True)
    state.runners["r1"].controller.observe(REPORT, now_s)
    plan = state.plan(now_s)
    assert (len(plan.starts), len(plan.returned)) == (started, returned)


def end_run(state: HarvestState, run: Run, result: RunResult) -> ItemOutcome | ReturnedItem | None:
    """Record the end of a run, as its worker thread does."""
    return state.ended(run, result, now_s=1.0)


def test_parked_runs_count_neither_as_broken_nor_as_fruitless() -> None:
    # An item that was parked often must be treated like a new one: the first engine error must
    # not fail it, and it must not be returned to its job, which would lose its text.
    state = held_state(may_repeat=True)
    parked = RunResult(end=RunEnd.PARKED, status_code=200, text="so far")
    for _ in range(2 * MAX_TRIES):
        (run, _other) = state.plan(0.0).starts
        assert end_run(state, run, parked) is None
        assert end_run(state, _other, parked) is None
    (run, _other) = state.plan(0.0).starts
    broken = RunResult(end=RunEnd.BROKEN, status_code=500, body="{}")
    assert end_run(state, run, broken) is None
    assert run.work.continue_text == "so far"


def test_item_fails_after_server_errors_of_several_engines() -> None:
    state = held_state(may_repeat=True)
    broken = RunResult(end=RunEnd.BROKEN, status_code=500, body="{}")
    outcomes = []
    for round_number in range(MAX_BROKEN_RUNS):
        # Each broken run pauses its runner for a moment.
        now_s = 10.0 * round_number
        state.runners["r1"].controller.observe(REPORT, now_s)
        run = next(run for run in state.plan(now_s).starts if run.work.leased.index == 0)
        outcomes.append(state.ended(run, broken, now_s))
        for other in list(state.runs.values()):
            state.ended(other, RunResult(end=RunEnd.PARKED), now_s)
    assert outcomes[:-1] == [None] * (MAX_BROKEN_RUNS - 1)
    assert isinstance(outcomes[-1], ItemOutcome)
    assert outcomes[-1].result.state == ItemState.FAILED


MAX_LOST_RUNS = 5
LOST_RUN = RunResult(end=RunEnd.BROKEN, runner_lost=True)
DONE_RUN = RunResult(end=RunEnd.DONE, status_code=200, body="{}")


def plan_starts(state: HarvestState, now_s: float) -> list[Run]:
    state.runners["r1"].controller.observe(REPORT, now_s)
    return state.plan(now_s).starts


def test_an_item_that_crashes_its_runners_fails_and_other_items_there_do_not() -> None:
    state = held_state(may_repeat=True)
    state.set_max_lost_runs({"llm": MAX_LOST_RUNS})
    ended: list[ItemOutcome] = []
    crashed = 0
    for number in range(20):
        now_s = 2.0 * number
        runs = plan_starts(state, now_s)
        crashes = any(run.work.leased.index == 0 for run in runs)
        crashed += crashes
        outcomes = [state.ended(run, LOST_RUN if crashes else DONE_RUN, now_s) for run in runs]
        ended += [outcome for outcome in outcomes if isinstance(outcome, ItemOutcome)]
    assert crashed == MAX_LOST_RUNS
    assert {(each.result.index, each.result.state) for each in ended} == {
        (0, ItemState.FAILED),
        (1, ItemState.DONE),
    }
    assert len(ended) == 2
    failed = next(each.result for each in ended if each.result.state == ItemState.FAILED)
    assert (failed.status_code, "runner_lost" in failed.body) == (502, True)


def test_a_runner_runs_only_one_suspect_at_a_time() -> None:
    state = held_state(may_repeat=True)
    for number in range(SUSPECT_LOST_RUNS):
        runs = plan_starts(state, 2.0 * number)
        assert len(runs) == 2
        for run in runs:
            state.ended(run, LOST_RUN, 2.0 * number)
    (first,) = plan_starts(state, 10.0)
    assert plan_starts(state, 11.0) == []
    state.ended(first, DONE_RUN, 11.0)
    assert len(plan_starts(state, 12.0)) == 1


@pytest.mark.parametrize(("is_owned", "lost_runs"), [(True, 1), (False, 0)])
def test_a_silent_runner_counts_as_lost_only_for_the_gateway_that_owns_it(
    is_owned: bool, lost_runs: int
) -> None:
    state = held_state(may_repeat=True)
    assert len(state.plan(0.0).starts) == 2
    state.set_runners([RUNNER] if is_owned else [], TARGETS)
    state.plan(0.1)
    state.plan(0.2 + LOST_RUNNER_S)
    state.set_runners([], TARGETS)
    returned = state.plan(0.3 + LOST_RUNNER_S).returned
    assert [item.work.lost_runs for item in returned] == [lost_runs] * 2


class BrokenEngines:
    """Engine client whose requests all fail with the same failure."""

    def __init__(self, failure: Failure) -> None:
        self._failure = failure

    def open(self, _call: EngineCall, *, is_outdated: IsOutdated | None = None) -> Failure:
        return self._failure

    def cancel(self, _address: str, _request_id: str) -> None:
        return None


@pytest.mark.parametrize(
    ("kind", "execution", "end", "runner_lost"),
    [
        (FailureKind.BACKEND_FAILED, Execution.UNKNOWN, RunEnd.BROKEN, True),
        (FailureKind.BACKEND_MISMATCH, Execution.UNKNOWN, RunEnd.BROKEN, False),
        (FailureKind.UNREACHABLE, Execution.NOT_RUN, RunEnd.NOT_RUN, False),
    ],
)
def test_only_a_broken_connection_counts_as_a_lost_runner(
    kind: FailureKind, execution: Execution, end: RunEnd, runner_lost: bool
) -> None:
    work = held_state(may_repeat=True).work.take("llm", ["m"], 0.0)
    assert work is not None
    failure = Failure(kind=kind, reason="", step=Step.RESPONDING, execution=execution)
    result = run_item(BrokenEngines(failure), work, "a:1", 1, "")
    assert (result.end, result.runner_lost) == (end, runner_lost)


@pytest.mark.parametrize("is_in_doubt", [False, True])
def test_an_item_that_was_planned_before_a_pause_waits_for_a_new_plan(
    is_in_doubt: bool,
) -> None:
    """The process may be paused between planning a run and sending it.

    The runner may be leaving by then.
    """
    state = held_state(may_repeat=True)
    (run, _other) = state.plan(0.0).starts
    assert state.try_begin(run, 0.0, is_in_doubt=is_in_doubt) is not is_in_doubt
    assert state.work.waiting_total() == int(is_in_doubt)
