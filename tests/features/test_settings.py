"""Promise: an accepted configuration is in force everywhere within seconds and never reverts."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.features.strikes import strike
from tests.features.version_watch import VersionWatch
from tests.features.world import World

from leverjunction.errors import Failure
from leverjunction.settings.commands import ChangeOutcome
from testbed.fleet.fleet import FleetError
from testbed.fleet.health import settings_version
from testbed.fleet.operator import Operator

T = TypeVar("T")

pytestmark = pytest.mark.fleet

LEAF = "defaults/serving/max_queue"
FIRST_VALUE = 300
LATER_VALUE = 900

scenarios("settings.feature")


def change_leaf(world: World, value: int) -> int:
    """Set the leaf, and return the version."""
    plan = world.operator.plan({LEAF: value})
    outcome = world.operator.send(plan)
    assert isinstance(outcome, ChangeOutcome) and outcome.accepted, outcome
    world.notes.setdefault("plans", []).append((plan, outcome))
    world.notes["version"], world.notes["value"] = outcome.version, value
    return outcome.version


@when("a settings change is accepted")
def change_accepted(world: World) -> None:
    present = world.operator.value(LEAF)
    change_leaf(world, FIRST_VALUE if present != FIRST_VALUE else FIRST_VALUE + 1)


@when("a later change to the same leaf is accepted")
def later_change(world: World) -> None:
    change_leaf(world, LATER_VALUE)


@when(parsers.parse("{count:d} settings changes are accepted"))
def many_changes(world: World, count: int) -> None:
    for number in range(count):
        change_leaf(world, FIRST_VALUE + 2 + number)


@given("a watch on every gateway's version")
def version_watch(world: World) -> Iterator[None]:
    world.notes["watch"] = VersionWatch(world.fleet)
    world.notes["watch"].start()
    yield
    world.notes["watch"].stop()


@when("every control process and gateway is killed and started again")
def all_restarted(world: World) -> None:
    names = [*world.fleet.control_names(), *world.fleet.gateway_names()]
    for name in names:
        world.fleet.kill(name)
    world.fleet.recover()


@when("gateway-3 is killed and started again")
def gateway_restarted(world: World) -> None:
    world.fleet.restart("gateway-3")


@given("control-3 is cut off")
def cut_off(world: World) -> None:
    world.fleet.cut("control-3")


@when(
    parsers.parse(
        "{count:d} changes are sent, each until it is answered, and at the {number:d}th {fault}"
    )
)
def changes_under_fault(world: World, count: int, number: int, fault: str) -> None:
    world.notes["plans"] = []
    for index in range(1, count + 1):
        plan = retried(world, lambda value=FIRST_VALUE + index: world.operator.plan({LEAF: value}))
        if index == number:
            strike(world, fault)
        outcome = retried(world, lambda sent=plan: world.operator.send(sent))
        world.notes["plans"].append((plan, outcome))
        world.notes["version"], world.notes["value"] = outcome.version, FIRST_VALUE + index


def retried(world: World, call: Callable[[], T | Failure]) -> T:
    """Call again, as an operator does, until there is an answer."""
    answers: list[T] = []

    def is_answered() -> bool:
        try:
            answer = call()
        except FleetError:
            return False
        if not isinstance(answer, Failure):
            answers.append(answer)
        return bool(answers)

    world.wait(is_answered, "an operator's call is answered")
    return answers[0]


@then("each change has been accepted exactly once, in its order")
def each_once(world: World) -> None:
    plans = world.notes["plans"]
    assert all(outcome.accepted for _, outcome in plans), plans
    records = list(reversed(retried(world, lambda: world.operator.history(len(plans)))))
    assert [record.change_id for record in records] == [plan.change_id for plan, _ in plans]
    assert [record.version for record in records] == [outcome.version for _, outcome in plans]


@then("the change is in force at every gateway that is not cut off")
def in_force_where_reached(world: World) -> None:
    names = [n for n in world.fleet.gateway_names() if not world.fleet.is_cut_off(n)]
    wait_in_force(world, names)


@then("the change is in force at every gateway")
def in_force(world: World) -> None:
    wait_in_force(world, world.fleet.gateway_names())
    assert retried(world, lambda: world.operator.value(LEAF)) == world.notes["value"]


def wait_in_force(world: World, gateways: list[str]) -> None:
    """Wait until gateways have the version in force, or a later one, by their own counters."""
    assert gateways

    def versions() -> dict[str, int]:
        return {name: settings_version(world.fleet, name) for name in gateways}

    world.wait(
        lambda: min(versions().values()) >= world.notes["version"],
        f"version {world.notes['version']} is in force",
        lambda: str(versions()),
    )


@when(parsers.parse("{count:d} operators send different changes on the same base version at once"))
def operators_race(world: World, count: int) -> None:
    base = world.operator.plan({LEAF: 0}).base_version
    names = world.fleet.control_names()
    operators = [Operator(world.fleet, names[i % len(names)], f"op-{i}") for i in range(count)]
    plans = [each.plan({LEAF: 500 + i}) for i, each in enumerate(operators)]
    assert {plan.base_version for plan in plans} == {base}
    with ThreadPoolExecutor(count) as pool:
        sends = [pool.submit(each.send, plan) for each, plan in zip(operators, plans, strict=True)]
    world.notes["race"] = [send.result() for send in sends]


@then("exactly one change is accepted")
def one_wins(world: World) -> None:
    outcomes = world.notes["race"]
    assert all(isinstance(outcome, ChangeOutcome) for outcome in outcomes), outcomes
    winners = [i for i, outcome in enumerate(outcomes) if outcome.accepted]
    assert len(winners) == 1, outcomes
    world.notes["winner"] = f"op-{winners[0]}"
    world.notes["value"] = 500 + winners[0]
    world.notes["version"] = outcomes[winners[0]].version


@then("the others learn who won and what differs")
def losers_learn(world: World) -> None:
    losers = [outcome for outcome in world.notes["race"] if not outcome.accepted]
    for outcome in losers:
        assert outcome.winner == world.notes["winner"], outcome
        assert outcome.winner_ms > 0 and outcome.differing_paths == [LEAF], outcome


@when("the first change is sent again to every control process")
def resent(world: World) -> None:
    first, _ = world.notes["plans"][0]
    world.notes["resends"] = [
        Operator(world.fleet, name).send(first) for name in world.fleet.control_names()
    ]


@then("every resend gets the first outcome")
def same_outcome(world: World) -> None:
    _, first = world.notes["plans"][0]
    for outcome in world.notes["resends"]:
        assert isinstance(outcome, ChangeOutcome), outcome
        assert outcome == msgspec.structs.replace(first, replayed=True), outcome


@then("no gateway's version has ever gone back")
def never_back(world: World) -> None:
    assert not world.notes["watch"].stop()
