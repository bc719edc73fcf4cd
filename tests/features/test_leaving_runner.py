"""Promise: a leaving back end gets no new work after a few seconds."""

from __future__ import annotations

import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.features.world import World, now_ms

from testbed.engine.executions import Execution

pytestmark = pytest.mark.fleet

scenarios("leaving_runner.feature")


@given("every runner of the online service has worked")
def all_have_worked(world: World) -> None:
    """Also the one that an earlier scenario took away and that has just come back."""
    scenario = world.fleet.scenario
    count = scenario.services[scenario.online_service].runners
    runners = {f"{scenario.online_service}-{number}" for number in range(1, count + 1)}
    world.wait(
        lambda: runners <= {e.runner_id for e in world.fleet.executions(world.label)},
        "every runner has worked",
    )


@when(parsers.parse("{limit:d} s have passed"))
def limit_passed(world: World, limit: int) -> None:
    world.notes["limit_ms"] = now_ms() + limit * 1000
    world.wait_until_ms(world.notes["limit_ms"])


@when(parsers.parse("{limit:d} s are allowed from then on"))
def limit_set(world: World, limit: int) -> None:
    world.notes["limit_ms"] = now_ms() + limit * 1000


@when(parsers.parse("all processes stand still {after:g} s later, for {pause:g} s"))
def all_stand_still(world: World, after: float, pause: float) -> None:
    """A machine that is short of processor stops a whole fleet, but not who looks at it.

    Engines run on. One that stands still reads what was sent to it in time when it goes on, and
    nobody can take that back from its socket: a request that was sent 0.5 s after the mark, in the
    moment of the stop, began 5 s later.
    """
    time.sleep(after)
    with world.fleet.standing_still():
        time.sleep(pause)


@then("the runner has got no new work since")
def no_new_work(world: World) -> None:
    late = _late(world)
    limit_ms = world.notes["limit_ms"]
    assert not late, (limit_ms, [e.started_ms - limit_ms for e in late], late[:3])


@then("the runner has got new work since")
def new_work(world: World) -> None:
    assert _late(world)


def _late(world: World) -> list[Execution]:
    """Return what the runner began after the limit; it must have worked before."""
    runner = world.notes["runner"]
    executions = [e for e in world.fleet.executions(world.label) if e.runner_id == runner]
    assert executions, "the runner had no work before the event"
    return [execution for execution in executions if execution.started_ms > world.notes["limit_ms"]]
