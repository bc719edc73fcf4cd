"""Rules between runs, runners and held work, without threads."""

from __future__ import annotations

import pytest
from prometheus_client import CollectorRegistry

from leverjunction.backends.types import LoadReport
from leverjunction.batch.batch_counters import HarvestCounters
from leverjunction.batch.commands import ItemInput, Lease, LeasedItem
from leverjunction.batch.harvest import HarvestTargets
from leverjunction.batch.harvest_state import LOST_RUNNER_S, HarvestState
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
    assert state.plan(0.1).give_back == []
    state.plan(0.2 + LOST_RUNNER_S)
    assert len(state.plan(0.3 + LOST_RUNNER_S).give_back) == given_back
    assert state.live_runs() == 2 - given_back


@pytest.mark.parametrize(("now_s", "started", "given_back"), [(59.0, 2, 0), (60.0, 0, 2)])
def test_deadline_counts_from_the_grant_by_the_monotonic_clock(
    now_s: float, started: int, given_back: int
) -> None:
    # By its own wall clock a gateway that is an hour fast would return each item at once, and the
    # group, whose clock says that there is time, would lease it out again, for an hour.
    state = held_state(may_repeat=True)
    state.runners["r1"].controller.observe(REPORT, now_s)
    plan = state.plan(now_s)
    assert (len(plan.starts), len(plan.give_back)) == (started, given_back)
