"""Promise: a rollout of a model's version disturbs nobody, whatever fails in the middle of it."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import msgspec
import pytest
from pytest_bdd import given, scenarios, then, when
from tests.features.fleet_pool import FleetPool
from tests.features.strikes import carried_out, change_version, root_leader
from tests.features.world import World, now_ms

from testbed.engine.order_log import OrderRecord
from testbed.fleet.fleet import FleetError
from testbed.fleet.operator import Operator
from testbed.scenarios import Scenario, load_scenario

pytestmark = pytest.mark.fleet

RUNNERS = 4
"""The pool is changed one by one: a smaller one is enough, and quicker."""

ADAPTER = "labels"

WEIGHTS_BYTES = 750_000_000
"""A load takes 1.5 s: long enough to strike in the middle of it."""

scenarios("rollout.feature")


@pytest.fixture(scope="module")
def fleet_pool(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FleetPool]:
    """Give a fleet of its own: versions that change would disturb the other features."""
    pool = FleetPool(tmp_path_factory, one_service, {"weights_bytes": WEIGHTS_BYTES})
    yield pool
    pool.stop()


def one_service(name: str) -> Scenario:
    """Return a deployment with nothing but its online service, on a few runners."""
    scenario = load_scenario(name)
    service = scenario.services[scenario.online_service]
    pool = msgspec.structs.replace(service, runners=RUNNERS)
    return msgspec.structs.replace(scenario, services={scenario.online_service: pool})


@given("placement is at rest")
def at_rest(world: World) -> None:
    world.wait(lambda: is_at_rest(world), "placement is at rest", lambda: str(placement(world)))
    world.notes["orders_before"] = len(world.fleet.orders())


@given("online traffic of the model's adapter")
def adapter_traffic(world: World) -> Iterator[None]:
    model = f"{world.fleet.scenario.online_model()}:{ADAPTER}"
    world.notes["adapter_traffic"] = world.fleet.online_traffic(f"{world.label} adapted", model)
    with world.notes["adapter_traffic"] as traffic:
        assert traffic.wait_more(1), "the adapter gives no answers"
        yield


@when("an operator changes the model's version")
def version_changed(world: World) -> None:
    change_version(world)


@when("a runner has begun to load it")
def load_begun(world: World) -> None:
    world.wait(lambda: rollout_loads(world), "a runner has begun to load")
    world.notes["carried_out"] = len(carried_out(world))


@when("another order has been carried out")
def rollout_goes_on(world: World) -> None:
    count = world.notes["carried_out"]
    world.wait(lambda: len(carried_out(world)) > count, "the rollout goes on")


@then("every runner has the newest version and placement is at rest")
def rolled_out(world: World) -> None:
    world.wait(
        lambda: has_version_everywhere(world) and is_at_rest(world),
        "the version is everywhere",
        lambda: f"{placement(world)} {versions(world)}",
    )
    world.notes["orders_after"] = len(world.fleet.orders())
    seconds = (now_ms() - world.notes["rollout_began_ms"]) / 1000
    orders = world.notes["orders_after"] - world.notes["orders_before"]
    print(f"rollout of {len(versions(world))} runners: {seconds:.1f} s, {orders} orders")


@then("placement has given no more orders")
def no_more_orders(world: World) -> None:
    assert len(world.fleet.orders()) == world.notes["orders_after"]


@then("no request of the adapter was cut")
def adapter_not_cut(world: World) -> None:
    world.notes["adapter_traffic"].stop()
    cut = [request for request in world.notes["adapter_traffic"].sent() if request.is_cut]
    assert not cut, cut[:3]


@then("no online request was refused")
def nothing_refused(world: World) -> None:
    assert world.traffic is not None
    sent = [*world.traffic.sent(), *world.notes["adapter_traffic"].sent()]
    refused = [request for request in sent if request.is_refused]
    assert not refused, refused[:3]


@then("each engine took its orders by rising fences, and none twice")
def rising_fences(world: World) -> None:
    lives: dict[tuple[str, int], list[OrderRecord]] = {}
    for order in carried_out(world):
        lives.setdefault((order.runner_id, order.incarnation), []).append(order)
    for orders in lives.values():
        fences = [one.order.fence for one in orders]
        assert all(one < other for one, other in itertools.pairwise(fences)), orders
    ids = {(one.order.fence, one.order.order_id, one.runner_id) for one in carried_out(world)}
    assert len({fence for fence, _, _ in ids}) == len(ids), "one fence for two orders"


@then("no runner loaded a version twice, or an older one after a newer")
def no_load_twice(world: World) -> None:
    lives: dict[tuple[str, int], list[int]] = {}
    for load in rollout_loads(world):
        versions = lives.setdefault((load.runner_id, load.incarnation), [])
        versions.append(int(load.order.version))
    for versions in lives.values():
        assert all(one < other for one, other in itertools.pairwise(versions)), lives


@then("no request met a runner that was loading")
def none_met_a_load(world: World) -> None:
    executions = world.fleet.executions(world.label)
    for load in rollout_loads(world):
        assert load.held == 0, load
        end_ms = load_end_ms(world, load)
        met = [
            one
            for one in executions
            if one.runner_id == load.runner_id and load.received_ms <= one.started_ms < end_ms
        ]
        assert not met, (load, met[:3])


@then("never were two runners loading the model at once")
def one_by_one(world: World) -> None:
    loads = sorted(rollout_loads(world), key=lambda load: load.received_ms)
    for load, later in itertools.pairwise(loads):
        assert load_end_ms(world, load) <= later.received_ms, (load, later)


def rollout_loads(world: World) -> list[OrderRecord]:
    """Return the loads of the model since the version was changed."""
    model, began_ms = world.fleet.scenario.online_model(), world.notes["rollout_began_ms"]
    return [
        one
        for one in carried_out(world)
        if one.order.name == model and one.ready_ms and one.received_ms >= began_ms
    ]


def load_end_ms(world: World, load: OrderRecord) -> int:
    """Return when a load was ready, or ended because its engine was killed."""
    was_killed = world.notes.get("killed") == load
    return int(world.notes["killed_ms"]) if was_killed else load.ready_ms


def placement(world: World) -> dict[str, object]:
    """Return what placement does by the word of the process that leads it; empty without one."""
    try:
        status = Operator(world.fleet, root_leader(world)).status()["placement"]
    except FleetError:
        return {}
    return dict(status) if status["leads"] else {}


def is_at_rest(world: World) -> bool:
    """Return whether placement has nothing to do, and says so."""
    status = placement(world)
    return (
        bool(status)
        and not any(status[key] for key in ("in_progress", "withdrawn", "blocked"))
        and has_adapter_everywhere(world)
    )


def versions(world: World) -> dict[str, dict[str, str]]:
    """Return the versions on each live runner, by its own word."""
    try:
        readings = world.operator.status()["readings"]
    except FleetError:
        return {}
    return {one["runner_id"]: one["versions"] for one in readings if one["reachable"]}


def has_version_everywhere(world: World) -> bool:
    """Return whether every runner holds the newest version."""
    model, wanted = world.fleet.scenario.online_model(), world.notes["model_version"]
    held = versions(world)
    return len(held) == RUNNERS and all(one.get(model) == wanted for one in held.values())


def has_adapter_everywhere(world: World) -> bool:
    """Return whether every runner holds the model's adapter, too: nothing is left to load."""
    held = versions(world)
    return len(held) == RUNNERS and all(len(one) > 1 for one in held.values())
