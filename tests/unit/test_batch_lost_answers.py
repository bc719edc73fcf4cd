"""Tests that an item whose answer is lost is run again although its runner is alive.

They guard against jobs that never end. After a pause of a gateway, its delayed requests reached an
engine together with newer ones. The later of two submissions with the same request id replaces the
earlier one, whose connection stays open without an answer. Runs were abandoned only when their
runner stopped reporting or after ten minutes, but this runner kept reporting, and the lease of the
items was renewed all the time: 5 of 8 items were final, and runs of 23.8 s were still parking.

An abandoned run also had its cancel repeated every 0.3 s. As the runs of an item share their
request id, the cancels hit the newer runs: one item was run fifteen times in 6 s.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest
from tests.unit.batch_support import FakeEngines, FakeStream
from tests.unit.test_batch_harvest_state import REPORT, held_state
from tests.unit.test_batch_harvester import WAIT_S, World

from leverjunction.backends.head_wait import IsOutdated
from leverjunction.backends.types import EngineCall, HeldRequest
from leverjunction.batch.commands import ItemState
from leverjunction.batch.harvest_state import LOST_RUNNER_S
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step

SPEED_UP = 8.0
REFUSED = Failure(
    kind=FailureKind.NOT_FOUND, reason="HTTP 404", step=Step.RESPONDING, execution=Execution.NOT_RUN
)


class FastClock(SystemClock):
    """A clock that runs eight times as fast as real time."""

    def monotonic_s(self) -> float:
        return SPEED_UP * super().monotonic_s()


class AnswerLosingEngines(FakeEngines):
    """Engines that never answer the first request of each item, and answer later ones.

    ``lists`` is the answer to a query for the held requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.finished = threading.Event()
        self.lists: list[HeldRequest] | Failure = []
        self._asked: set[str] = set()

    def open(
        self, call: EngineCall, *, is_outdated: IsOutdated | None = None
    ) -> FakeStream | Failure:
        with self.changed:
            is_first = call.request_id not in self._asked
            self._asked.add(call.request_id)
        if not is_first:
            return super().open(call, is_outdated=is_outdated)
        self.finished.wait()
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
    monkeypatch.setattr("tests.unit.test_batch_harvester.FakeEngines", AnswerLosingEngines)
    built = World()
    yield built
    assert isinstance(built.engines, AnswerLosingEngines)
    built.engines.finished.set()
    built.harvester.stop()


def wait_for_items(world: World, seconds: float, final: int) -> int:
    """Report the runner's load until ``final`` items are done or the time is over.

    Returns:
        The number of done items.
    """
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s and world.job().done < final:
        world.harvester.observe_load("r1", REPORT)
        time.sleep(0.02)
    return world.job().done


def test_an_item_whose_answer_is_lost_is_run_again(world: World) -> None:
    world.submit(3)
    world.start()
    assert wait_for_items(world, WAIT_S, final=3) == 3
    assert len(world.engines.calls) == 3


def test_a_run_that_its_engine_lists_is_not_lost(world: World) -> None:
    assert isinstance(world.engines, AnswerLosingEngines)
    world.engines.lists = [HeldRequest(f"jobs-0.a-{index}", "o") for index in range(3)]
    world.submit(3)
    world.start()
    assert wait_for_items(world, 2.5, final=1) == 0
    assert world.engines.calls == []


def test_no_run_is_lost_if_the_engine_cannot_list_its_requests(world: World) -> None:
    assert isinstance(world.engines, AnswerLosingEngines)
    world.engines.lists = REFUSED
    world.submit(3)
    world.start()
    assert wait_for_items(world, 2.5, final=1) == 0
    assert world.engines.calls == []


def test_the_cancel_of_an_older_run_is_not_repeated_during_a_newer_one() -> None:
    state = held_state(may_repeat=True)
    older = state.plan(0.0).starts
    for run in older:
        assert state.try_begin(run, 0.0)
    # The runner is silent for a while. Its runs are abandoned, but their threads still wait.
    given_up_s = LOST_RUNNER_S + 0.1
    state.plan(given_up_s)
    assert [run.dropped for run in older] == [True, True]
    state.runners["r1"].controller.observe(REPORT, given_up_s + 0.1)
    newer = state.plan(given_up_s + 0.2).starts
    assert {run.work.key for run in newer} == {run.work.key for run in older}
    cancels = [
        run for number in range(20) for run in state.plan(given_up_s + 0.3 + 0.1 * number).cancels
    ]
    assert cancels == []


@pytest.mark.parametrize(
    ("may_repeat", "queries_s", "lost"),
    [
        (True, [1.0], 0),
        (True, [3.0], 0),
        (True, [3.0, 4.0], 0),
        (True, [3.0, 5.0], 2),
        (True, [1.0, 3.0, 5.5], 2),
        (False, [3.0, 10.0], 0),
        (False, [3.0, 33.0], 2),
    ],
    ids=["too new", "once", "too soon", "twice", "old enough", "unrepeatable", "unknown"],
)
def test_how_long_a_run_must_be_missing_from_all_lists(
    may_repeat: bool, queries_s: list[float], lost: int
) -> None:
    state = held_state(may_repeat)
    runs = state.plan(0.0).starts
    for run in runs:
        assert state.try_begin(run, 0.0)
    plans = [state.apply_request_list("r1", set(), asked_s) for asked_s in queries_s]
    assert sum(run.dropped for run in runs) == lost
    outcomes = [outcome.result.state for plan in plans for outcome in plan.outcomes]
    assert outcomes == ([] if may_repeat else [ItemState.UNKNOWN] * lost)
    assert state.work.waiting_total() == (lost if may_repeat else 0)


def test_a_run_that_is_listed_again_restarts_the_timeout() -> None:
    state = held_state(may_repeat=True)
    runs = state.plan(0.0).starts
    for run in runs:
        assert state.try_begin(run, 0.0)
    ids = {run.request_id for run in runs}
    state.apply_request_list("r1", set(), 3.0)
    state.apply_request_list("r1", ids, 4.0)
    state.apply_request_list("r1", set(), 5.5)
    assert not any(run.dropped for run in runs)


def test_a_runner_is_queried_at_intervals_and_only_while_a_run_is_old() -> None:
    state = held_state(may_repeat=True)
    for run in state.plan(0.0).starts:
        assert state.try_begin(run, 0.0)
    asked = []
    for tenth in range(100):
        state.runners["r1"].controller.observe(REPORT, tenth / 10)
        if state.plan(tenth / 10).runners_to_query:
            asked.append(tenth / 10)
    assert asked == [5.0, 7.0, 9.0]
