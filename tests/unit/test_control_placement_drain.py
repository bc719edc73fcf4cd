"""A model is changed on a runner only when no request can be there, whoever is late with news."""

from __future__ import annotations

import random
from typing import Any, cast

import pytest
from prometheus_client import CollectorRegistry

from leverjunction.backends.client import EngineClient
from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.backends.types import LoadReport, Order, OrderOutcome
from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.messages import RunnerReading
from leverjunction.control.metrics import ControlMetrics
from leverjunction.control.placement import DRAIN_LIMIT_S, SETTLE_S
from leverjunction.control.placement_runner import PlacementRunner
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.gateway.view import ClusterView
from leverjunction.settings.commands import Fence, SettingsDelta
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    RunnerDigest,
    SettingRow,
)

RUNNERS = {"r1": "127.0.0.1:11", "r2": "127.0.0.1:12"}
MODEL = "m"
ROUND_S = 0.5
ROLLOUT_S = 20.0
"""Far more than both runners need one after the other."""


class Engine:
    """A runner's engine: what it says at once, and the orders that it took."""

    def __init__(self) -> None:
        self.running = 0
        self.is_silent = False
        self.orders: list[Order] = []

    @property
    def version(self) -> str:
        """Version of the model that it holds; loads take no time."""
        return self.orders[-1].version if self.orders else "1"


class Gateway:
    """A gateway's side of the exchange, with the product's own view."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.view = ClusterView()
        self.loses_replies = False

    def exchange(self, hub: Hub, digests: list[RunnerDigest]) -> None:
        snapshot = self.view.snapshot
        state = GatewayState(
            gateway_id=self.name, address=f"{self.name}:1", rpc_address=f"{self.name}:2", zone="z",
            incarnation=1,
        )  # fmt: skip
        request = ExchangeRequest(
            gateway=state, settings_version=1, view_version=snapshot.view_version,
            hub_incarnation=snapshot.hub_incarnation, digests=digests,
            placement=snapshot.placement,
        )  # fmt: skip
        reply = hub.exchange(request)
        if isinstance(reply, ExchangeReply) and not self.loses_replies:
            self.view.apply(reply)

    def uses(self, runner_id: str) -> bool:
        runner = self.view.snapshot.runners.get(runner_id)
        return runner is not None and MODEL in runner.models


class World:
    """One control process that leads placement, two runners, two gateways; a rollout is due."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.engines = {runner_id: Engine() for runner_id in RUNNERS}
        self.gateways = {name: Gateway(name) for name in ("g1", "g2")}
        self.used_at_order: list[tuple[str, list[str]]] = []
        self.fences = 0
        self.version = "1"
        self.settings_version = 1
        self.role = "leader"
        self._mirror = SettingsMirror(self._settings)
        assert self._mirror.refresh()
        identity = HubIdentity(
            name="c1", rpc_address="c1:1", zone="z", incarnation=1, peers={"c1": "c1:1"},
            zones={"c1": "z"}, job_groups=1,
        )  # fmt: skip
        self.hub = Hub(identity, self._mirror, self, lambda: 0.0)
        self.placement = PlacementRunner(
            name="c1",
            replica=cast(ReplicatedGroup, self),
            host=cast(GroupHost, self),
            hub=self.hub,
            mirror=self._mirror,
            engines=cast(EngineClient, self),
            clock=self,
            random=random.Random(1),
            counters=ControlMetrics(CollectorRegistry()),
            max_loads=4,
        )

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / ROUND_S)):
            self.now_s += ROUND_S
            self.hub.expire()
            self._read_engines()
            # A reading that says idle, as of a moment before any request came.
            idle = [self._idle_digest(runner_id) for runner_id in RUNNERS]
            for gateway in self.gateways.values():
                gateway.exchange(self.hub, idle)
            self.placement.tick()

    def change_version(self, version: str) -> None:
        self.version = version
        self.settings_version += 1
        assert self._mirror.refresh()

    def changed(self) -> list[str]:
        return [runner_id for runner_id, engine in self.engines.items() if engine.orders]

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)

    def load(self, address: str, *_timeout: float) -> LoadReport | Failure:
        """Stand in for the client of the engines."""
        engine = self._engine(address)
        if engine.is_silent:
            return Failure(kind=FailureKind.TIMEOUT, reason="silent", step=Step.RESPONDING)
        return LoadReport(
            as_of_ms=self.wall_ms(), incarnation=1, running=engine.running, waiting=0,
            batch_running=0, batch_waiting=0, kv_blocks_used=0, kv_blocks_total=1, step_ms=1.0,
            models=[MODEL], versions={MODEL: engine.version},
        )  # fmt: skip

    def order(self, address: str, order: Order) -> OrderOutcome:
        users = [one.name for one in self.gateways.values() if one.uses(self._runner(address))]
        self.used_at_order.append((self._runner(address), users))
        self._engine(address).orders.append(order)
        return OrderOutcome(accepted=True, status_code=200)

    def status(self) -> GroupStatus:
        """Stand in for the replica of group root."""
        return GroupStatus(
            group="root", replica_id="c1", role=self.role, term=1, leader_address="c1:1",
            commit_index=1, applied_index=1, voters=["c1:1"], learners=[],
            leader_contact_age_s=0.0,
        )  # fmt: skip

    def propose(self, *_call: Any) -> Fence:
        """Stand in for the host of the groups: the next fence."""
        self.fences += 1
        return Fence(term=1, sequence=self.fences)

    def query(self, *_call: Any) -> SettingsDelta:
        return self._settings()

    def _settings(self, *_query: object) -> SettingsDelta:
        path = f"services/s/models/{MODEL}/version"
        row = SettingRow(path=path, value=self.version, version=self.settings_version)
        return SettingsDelta(version=self.settings_version, rows=[row])

    def _read_engines(self) -> None:
        machines = [
            Machine(
                id=runner_id, address=address, zone="z", service="s", state=MachineState.LIVE,
                incarnation=1,
            )
            for runner_id, address in RUNNERS.items()
        ]  # fmt: skip
        self.hub.machines_listed(MachineList(as_of_ms=self.wall_ms(), machines=machines))
        readings = [
            RunnerReading(
                runner_id=runner_id, reachable=True, incarnation=1, models=[MODEL],
                versions={MODEL: engine.version},
            )
            for runner_id, engine in self.engines.items()
        ]  # fmt: skip
        self.hub.runners_read(readings, [], self.hub.standstills())

    def _idle_digest(self, runner_id: str) -> RunnerDigest:
        return RunnerDigest(
            runner_id=runner_id, running=0, waiting=0, batch_running=0, kv_used_ratio=0.0,
            as_of_ms=1,
        )  # fmt: skip

    def _runner(self, address: str) -> str:
        return next(runner_id for runner_id, known in RUNNERS.items() if known == address)

    def _engine(self, address: str) -> Engine:
        return self.engines[self._runner(address)]


@pytest.fixture
def world() -> World:
    """A cluster at rest whose operator has just asked for another version."""
    made = World()
    made.run(10)
    assert made.placement.status().leads
    assert all(one.uses(runner) for one in made.gateways.values() for runner in RUNNERS)
    made.change_version("2")
    return made


def test_both_runners_are_changed_one_after_the_other(world: World) -> None:
    world.run(ROLLOUT_S)
    assert sorted(world.changed()) == sorted(RUNNERS)
    assert [users for _, users in world.used_at_order] == [[], []]


def test_an_old_reading_that_says_idle_does_not_let_a_load_meet_requests(world: World) -> None:
    for engine in world.engines.values():
        engine.running = 3
    world.run(ROLLOUT_S)
    assert world.changed() == []
    for engine in world.engines.values():
        engine.running = 0
    world.run(ROLLOUT_S)
    assert sorted(world.changed()) == sorted(RUNNERS)


def test_an_engine_that_does_not_tell_its_load_is_not_taken_for_idle(world: World) -> None:
    for engine in world.engines.values():
        engine.is_silent = True
    world.run(ROLLOUT_S)
    assert world.changed() == []


def test_a_runner_that_stays_busy_is_changed_at_the_limit(world: World) -> None:
    for engine in world.engines.values():
        engine.running = 1
    world.run(DRAIN_LIMIT_S + SETTLE_S)
    assert len(world.changed()) == 1


def test_an_order_whose_change_was_taken_back_is_not_sent(world: World) -> None:
    for engine in world.engines.values():
        engine.running = 1
    while not world.fences:
        world.run(ROUND_S)
    world.change_version("1")
    for engine in world.engines.values():
        engine.running = 0
    world.run(ROLLOUT_S)
    assert world.changed() == []


def test_a_live_gateway_that_was_not_told_yet_holds_up_the_change(world: World) -> None:
    late = world.gateways["g2"]
    late.loses_replies = True
    world.run(ROLLOUT_S)
    assert world.changed() == []
    late.loses_replies = False
    world.run(ROLLOUT_S)
    assert sorted(world.changed()) == sorted(RUNNERS)
    assert [users for _, users in world.used_at_order] == [[], []]


def test_a_gateway_that_ended_holds_up_nothing(world: World) -> None:
    del world.gateways["g2"]
    world.run(ROLLOUT_S)
    assert sorted(world.changed()) == sorted(RUNNERS)


def test_a_leader_that_steps_down_and_leads_on_in_its_term_is_still_heard(world: World) -> None:
    """Its records went on from revision 1, which is older than what all knew: none was taken."""
    world.run(ROLLOUT_S)
    world.role = "follower"
    world.run(ROUND_S)
    world.role = "leader"
    world.change_version("3")
    before = len(world.used_at_order)
    world.run(ROLLOUT_S)
    assert [users for _, users in world.used_at_order[before:]] == [[], []]


def test_the_other_hubs_are_told_of_a_withdrawal_at_once(world: World) -> None:
    told: list[float] = []
    world.hub.on_news = lambda: told.append(world.now_s)
    world.run(ROUND_S)
    assert told == [world.now_s]


def test_the_other_hubs_are_told_at_once_when_its_last_gateway_has_a_withdrawal(
    world: World,
) -> None:
    world.run(ROUND_S)
    told: list[float] = []
    world.hub.on_news = lambda: told.append(world.now_s)
    late = world.gateways.pop("g2")
    world.run(2 * ROUND_S)
    assert told == []
    late.exchange(world.hub, [])
    late.exchange(world.hub, [])
    assert len(told) == 1
