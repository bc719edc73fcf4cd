"""An item whose answer is lost on its way is run again, though its runner lives.

A job did not end: "accepted, 5 of 8 final". A gateway had stood still, and what it had sent before
reached the engine together with what it sent then; of two submissions under one id the later to
arrive replaces the other, whose connection stays open and hears nothing more. Items of the job
were held by a lease that was renewed to the end of the run, and by runs like these:

    runs [(job-7, 0): on llm-1 since 23.8 s, parking, not dropped], the same of items 1 and 4

A run was given up when its runner fell silent, or after ten minutes; this runner reported its load
all the time. Item 6 of the job was run fifteen times in 6 s: an older run of it, given up and still
waiting for its answer, had its cancel repeated every 0.3 s, and the runs of an item share their id.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest
from tests.unit.batch_support import FakeEngines, FakeStream
from tests.unit.test_batch_harvest_state import REPORT, held_state
from tests.unit.test_batch_harvester import WAIT_S, World

from leverjunction.backends.types import EngineCall, HeldRequest
from leverjunction.batch.commands import ItemState
from leverjunction.batch.harvest_state import LOST_RUNNER_S
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step

FASTER = 8.0
REFUSED = Failure(kind=FailureKind.NOT_FOUND, reason="HTTP 404", step=Step.RESPONDING)


class FastClock(SystemClock):
    """A clock on which the seconds of this test's waits are eight."""

    def monotonic_s(self) -> float:
        return FASTER * super().monotonic_s()


class ForgetfulEngines(FakeEngines):
    """The first answer to each item never comes, and nobody lists it; later ones do."""

    def __init__(self) -> None:
        super().__init__()
        self.over = threading.Event()
        self.lists: list[HeldRequest] | Failure = []
        self._asked: set[str] = set()

    def open(self, call: EngineCall) -> FakeStream | Failure:
        with self.changed:
            is_first = call.request_id not in self._asked
            self._asked.add(call.request_id)
        if not is_first:
            return super().open(call)
        self.over.wait()
        reason = "the test is over"
        return Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=reason,
            step=Step.RELAYING,
            execution=Execution.UNKNOWN,
        )

    def held_requests(self, _address: str) -> list[HeldRequest] | Failure:
        return self.lists


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[World]:
    monkeypatch.setattr("tests.unit.test_batch_harvester.SystemClock", FastClock)
    monkeypatch.setattr("tests.unit.test_batch_harvester.FakeEngines", ForgetfulEngines)
    built = World()
    yield built
    assert isinstance(built.engines, ForgetfulEngines)
    built.engines.over.set()
    built.harvester.stop()


def run_for(world: World, seconds: float, final: int) -> int:
    """Have the runner report its load until items are final or the time is over."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s and world.job().done < final:
        world.harvester.observe_load("r1", REPORT)
        time.sleep(0.02)
    return world.job().done


def test_an_item_whose_answer_is_lost_is_run_again(world: World) -> None:
    world.submit(3)
    world.start()
    assert run_for(world, WAIT_S, final=3) == 3
    assert len(world.engines.calls) == 3


def test_a_run_that_its_engine_lists_is_waited_for(world: World) -> None:
    assert isinstance(world.engines, ForgetfulEngines)
    world.engines.lists = [HeldRequest(f"jobs-0.a-{index}", "o") for index in range(3)]
    world.submit(3)
    world.start()
    assert run_for(world, 2.5, final=1) == 0
    assert world.engines.calls == []


def test_an_engine_that_lists_nothing_at_all_is_believed_to_run_on(world: World) -> None:
    assert isinstance(world.engines, ForgetfulEngines)
    world.engines.lists = REFUSED
    world.submit(3)
    world.start()
    assert run_for(world, 2.5, final=1) == 0
    assert world.engines.calls == []


def test_the_cancel_of_an_older_run_does_not_meet_a_newer_one() -> None:
    state = held_state(may_repeat=True)
    older = state.plan(0.0).starts
    for run in older:
        assert state.try_begin(run, 0.0)
    # The runner is silent for a while; what ran there is given up, and its threads wait on.
    given_up_s = LOST_RUNNER_S + 0.1
    state.plan(given_up_s)
    assert [run.dropped for run in older] == [True, True]
    state.runners["r1"].controller.observe(REPORT, given_up_s + 0.1)
    newer = state.plan(given_up_s + 0.2).starts
    assert {run.work.key for run in newer} == {run.work.key for run in older}
    cancels = [run for n in range(20) for run in state.plan(given_up_s + 0.3 + 0.1 * n).cancels]
    assert cancels == []


@pytest.mark.parametrize(
    ("may_repeat", "looks_s", "lost"),
    [
        (True, [1.0], 0),
        (True, [3.0], 0),
        (True, [3.0, 4.0], 0),
        (True, [3.0, 5.0], 2),
        (True, [1.0, 3.0, 5.5], 2),
        (False, [3.0, 10.0], 0),
        (False, [3.0, 33.0], 2),
    ],
    ids=["too new", "once", "too soon", "twice", "old enough", "not to repeat", "unknown"],
)
def test_how_long_all_lists_must_lack_a_run(
    may_repeat: bool, looks_s: list[float], lost: int
) -> None:
    state = held_state(may_repeat)
    runs = state.plan(0.0).starts
    for run in runs:
        assert state.try_begin(run, 0.0)
    plans = [state.apply_request_list("r1", set(), asked_s) for asked_s in looks_s]
    assert sum(run.dropped for run in runs) == lost
    outcomes = [outcome.result.state for plan in plans for outcome in plan.outcomes]
    assert outcomes == ([] if may_repeat else [ItemState.UNKNOWN] * lost)
    assert state.work.waiting_total() == (lost if may_repeat else 0)


def test_a_run_that_is_listed_again_counts_anew() -> None:
    state = held_state(may_repeat=True)
    runs = state.plan(0.0).starts
    for run in runs:
        assert state.try_begin(run, 0.0)
    ids = {run.request_id for run in runs}
    state.apply_request_list("r1", set(), 3.0)
    state.apply_request_list("r1", ids, 4.0)
    state.apply_request_list("r1", set(), 5.5)
    assert not any(run.dropped for run in runs)


def test_a_runner_is_asked_only_while_a_run_is_old_and_not_each_time() -> None:
    state = held_state(may_repeat=True)
    for run in state.plan(0.0).starts:
        assert state.try_begin(run, 0.0)
    asked = []
    for tenth in range(100):
        state.runners["r1"].controller.observe(REPORT, tenth / 10)
        if state.plan(tenth / 10).runners_to_query:
            asked.append(tenth / 10)
    assert asked == [5.0, 7.0, 9.0]
