"""Rules between runs, runners and held work, without threads."""

from __future__ import annotations

import msgspec
import pytest
from prometheus_client import CollectorRegistry

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
    """Return a state that holds two items since time 0."""
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


@pytest.mark.parametrize(("may_repeat", "given_back"), [(True, 2), (False, 0)])
def test_runs_on_a_runner_that_is_gone_are_given_up(may_repeat: bool, given_back: int) -> None:
    # The machine list has dropped it, and its connections only end by their timeout of minutes.
    state = held_state(may_repeat)
    assert len(state.plan(0.0).starts) == 2
    state.set_runners([], TARGETS)
    assert state.plan(0.1).returned == []
    state.plan(0.2 + LOST_RUNNER_S)
    assert len(state.plan(0.3 + LOST_RUNNER_S).returned) == given_back
    assert state.live_runs() == 2 - given_back


def test_items_for_a_runner_that_died_but_is_still_listed_go_back() -> None:
    """Its owner has no other runner of the service: the items would wait here for ever."""
    state = held_state(may_repeat=True)
    state.set_runners(
        [RUNNER], {"llm": msgspec.structs.replace(TARGETS["llm"], batch_max_running=1)}
    )
    assert len(state.plan(0.0).starts) == 1
    assert state.plan(LOST_RUNNER_S - 0.1).returned == []
    assert state.demands(LOST_RUNNER_S - 0.1) != []
    later_s = [LOST_RUNNER_S + 0.1, LOST_RUNNER_S + 0.2]
    given_back = [item for now_s in later_s for item in state.plan(now_s).returned]
    assert sorted(item.work.leased.index for item in given_back) == [0, 1]
    assert state.demands(LOST_RUNNER_S + 0.2) == []


@pytest.mark.parametrize(("now_s", "started", "given_back"), [(59.0, 2, 0), (60.0, 0, 2)])
def test_deadline_counts_from_the_grant_by_the_monotonic_clock(
    now_s: float, started: int, given_back: int
) -> None:
    # By its own wall clock a gateway that is an hour fast would return each item at once, and the
    # group, whose clock says that there is time, would lease it out again, for an hour.
    state = held_state(may_repeat=True)
    state.runners["r1"].controller.observe(REPORT, now_s)
    plan = state.plan(now_s)
    assert (len(plan.starts), len(plan.returned)) == (started, given_back)


def finish(state: HarvestState, run: Run, result: RunResult) -> ItemOutcome | ReturnedItem | None:
    """End a run as its thread does."""
    return state.ended(run, result, now_s=1.0)


def test_parked_runs_count_neither_as_broken_nor_as_fruitless() -> None:
    # An item that has often given way to online work is as good as a new one: the first error of
    # an engine must not fail it, and it must not be handed back, which would lose its text.
    state = held_state(may_repeat=True)
    parked = RunResult(end=RunEnd.PARKED, status_code=200, text="so far")
    for _ in range(2 * MAX_TRIES):
        (run, _other) = state.plan(0.0).starts
        assert finish(state, run, parked) is None
        assert finish(state, _other, parked) is None
    (run, _other) = state.plan(0.0).starts
    broken = RunResult(end=RunEnd.BROKEN, status_code=500, body="{}")
    assert finish(state, run, broken) is None
    assert run.work.continue_text == "so far"


def test_item_that_several_engines_break_on_fails() -> None:
    state = held_state(may_repeat=True)
    broken = RunResult(end=RunEnd.BROKEN, status_code=500, body="{}")
    outcomes = []
    for round_number in range(MAX_BROKEN_RUNS):
        # Each broken run keeps its runner free of starts for a moment.
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
LOST = RunResult(end=RunEnd.BROKEN, runner_lost=True)
DONE = RunResult(end=RunEnd.DONE, status_code=200, body="{}")


def round_of_starts(state: HarvestState, now_s: float) -> list[Run]:
    state.runners["r1"].controller.observe(REPORT, now_s)
    return state.plan(now_s).starts


def test_an_item_that_kills_its_runners_fails_and_those_beside_it_do_not() -> None:
    state = held_state(may_repeat=True)
    state.set_max_lost_runs({"llm": MAX_LOST_RUNS})
    ended: list[ItemOutcome] = []
    killed = 0
    for number in range(20):
        now_s = 2.0 * number
        runs = round_of_starts(state, now_s)
        kills = any(run.work.leased.index == 0 for run in runs)
        killed += kills
        outcomes = [state.ended(run, LOST if kills else DONE, now_s) for run in runs]
        ended += [outcome for outcome in outcomes if isinstance(outcome, ItemOutcome)]
    assert killed == MAX_LOST_RUNS
    assert {(each.result.index, each.result.state) for each in ended} == {
        (0, ItemState.FAILED),
        (1, ItemState.DONE),
    }
    assert len(ended) == 2
    failed = next(each.result for each in ended if each.result.state == ItemState.FAILED)
    assert (failed.status_code, "runner_lost" in failed.body) == (502, True)


def test_a_runner_runs_one_suspect_at_a_time() -> None:
    state = held_state(may_repeat=True)
    for number in range(SUSPECT_LOST_RUNS):
        runs = round_of_starts(state, 2.0 * number)
        assert len(runs) == 2
        for run in runs:
            state.ended(run, LOST, 2.0 * number)
    (first,) = round_of_starts(state, 10.0)
    assert round_of_starts(state, 11.0) == []
    state.ended(first, DONE, 11.0)
    assert len(round_of_starts(state, 12.0)) == 1


@pytest.mark.parametrize(("is_owned", "lost_runs"), [(True, 1), (False, 0)])
def test_a_silent_runner_counts_as_lost_while_its_reports_should_come_here(
    is_owned: bool, lost_runs: int
) -> None:
    state = held_state(may_repeat=True)
    assert len(state.plan(0.0).starts) == 2
    state.set_runners([RUNNER] if is_owned else [], TARGETS)
    state.plan(0.1)
    state.plan(0.2 + LOST_RUNNER_S)
    state.set_runners([], TARGETS)
    given_back = state.plan(0.3 + LOST_RUNNER_S).returned
    assert [item.work.lost_runs for item in given_back] == [lost_runs] * 2


class BrokenEngines:
    """Engines that answer each request with the same failure."""

    def __init__(self, failure: Failure) -> None:
        self._failure = failure

    def open(self, _call: EngineCall) -> Failure:
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
def test_only_a_broken_connection_says_that_a_runner_was_lost(
    kind: FailureKind, execution: Execution, end: RunEnd, runner_lost: bool
) -> None:
    work = held_state(may_repeat=True).work.take("llm", ["m"], 0.0)
    assert work is not None
    failure = Failure(kind=kind, reason="", step=Step.RESPONDING, execution=execution)
    result = run_item(BrokenEngines(failure), work, "a:1", 1, "")
    assert (result.end, result.runner_lost) == (end, runner_lost)


@pytest.mark.parametrize("doubted", [False, True])
def test_an_item_that_was_planned_before_a_standstill_waits_for_another_plan(
    doubted: bool,
) -> None:
    """Its runner may be leaving by now: a plan lives from the decision to the run's thread."""
    state = held_state(may_repeat=True)
    (run, _other) = state.plan(0.0).starts
    assert state.try_begin(run, 0.0, is_in_doubt=doubted) is not doubted
    assert state.work.waiting_total() == int(doubted)
