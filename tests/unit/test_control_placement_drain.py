"""Tests that a model is changed on a runner only when no request can be using it.

This must hold even if gateways, hubs or engines report late.
"""

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
from leverjunction.errors import Execution, Failure, FailureKind, Step
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
"""Far more time than sequential changes of both runners need."""


class Engine:
    """A simulated engine with its current load, and the orders that it accepted."""

    def __init__(self) -> None:
        self.running = 0
        self.is_silent = False
        self.orders: list[Order] = []

    @property
    def version(self) -> str:
        """Version of the loaded model; loads take no time."""
        return self.orders[-1].version if self.orders else "1"


class Gateway:
    """The gateway's side of the exchange, using the production ``ClusterView``."""

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


class Simulation:
    """A control process that leads placement, two runners and two gateways."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.engines = {runner_id: Engine() for runner_id in RUNNERS}
        self.gateways = {name: Gateway(name) for name in ("g1", "g2")}
        self.users_at_order: list[tuple[str, list[str]]] = []
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
            # An outdated digest that reports the runner as idle, from before any request.
            idle = [self._idle_digest(runner_id) for runner_id in RUNNERS]
            for gateway in self.gateways.values():
                gateway.exchange(self.hub, idle)
            self.placement.tick()

    def change_version(self, version: str) -> None:
        self.version = version
        self.settings_version += 1
        assert self._mirror.refresh()

    def changed_runners(self) -> list[str]:
        return [runner_id for runner_id, engine in self.engines.items() if engine.orders]

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)

    def load(self, address: str, *_timeout: float) -> LoadReport | Failure:
        """Replaces ``EngineClient.load``."""
        engine = self._engine(address)
        if engine.is_silent:
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="silent",
                step=Step.RESPONDING,
                execution=Execution.NOT_RUN,
            )
        return LoadReport(
            as_of_ms=self.wall_ms(), incarnation=1, running=engine.running, waiting=0,
            batch_running=0, batch_waiting=0, kv_blocks_used=0, kv_blocks_total=1, step_ms=1.0,
            models=[MODEL], versions={MODEL: engine.version},
        )  # fmt: skip

    def order(self, address: str, order: Order) -> OrderOutcome:
        users = [
            gateway.name
            for gateway in self.gateways.values()
            if gateway.uses(self._runner(address))
        ]
        self.users_at_order.append((self._runner(address), users))
        self._engine(address).orders.append(order)
        return OrderOutcome(accepted=True, status_code=200)

    def status(self) -> GroupStatus:
        """Replaces ``ReplicatedGroup.status`` of group root."""
        return GroupStatus(
            group="root", replica_id="c1", role=self.role, term=1, leader_address="c1:1",
            commit_index=1, applied_index=1, voters=["c1:1"], learners=[],
            leader_contact_age_s=0.0,
        )  # fmt: skip

    def propose(self, *_call: Any) -> Fence:
        """Replaces ``GroupHost.propose``: returns the next fence."""
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
        self.hub.update_machine_list(MachineList(as_of_ms=self.wall_ms(), machines=machines))
        readings = [
            RunnerReading(
                runner_id=runner_id, reachable=True, incarnation=1, models=[MODEL],
                versions={MODEL: engine.version},
            )
            for runner_id, engine in self.engines.items()
        ]  # fmt: skip
        self.hub.update_readings(readings, [], self.hub.standstills())

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
def simulation() -> Simulation:
    """A stable cluster whose operator has just requested another version of the model."""
    made = Simulation()
    made.run(10)
    assert made.placement.status().leads
    assert all(gateway.uses(runner) for gateway in made.gateways.values() for runner in RUNNERS)
    made.change_version("2")
    return made


def test_both_runners_are_changed_sequentially(simulation: Simulation) -> None:
    simulation.run(ROLLOUT_S)
    assert sorted(simulation.changed_runners()) == sorted(RUNNERS)
    assert [users for _, users in simulation.users_at_order] == [[], []]


def test_an_outdated_idle_digest_does_not_permit_a_load_on_a_busy_runner(
    simulation: Simulation,
) -> None:
    for engine in simulation.engines.values():
        engine.running = 3
    simulation.run(ROLLOUT_S)
    assert simulation.changed_runners() == []
    for engine in simulation.engines.values():
        engine.running = 0
    simulation.run(ROLLOUT_S)
    assert sorted(simulation.changed_runners()) == sorted(RUNNERS)


def test_an_engine_that_does_not_report_its_load_does_not_count_as_idle(
    simulation: Simulation,
) -> None:
    for engine in simulation.engines.values():
        engine.is_silent = True
    simulation.run(ROLLOUT_S)
    assert simulation.changed_runners() == []


def test_a_runner_that_stays_busy_is_changed_at_the_drain_limit(simulation: Simulation) -> None:
    for engine in simulation.engines.values():
        engine.running = 1
    simulation.run(DRAIN_LIMIT_S + SETTLE_S)
    assert len(simulation.changed_runners()) == 1


def test_an_order_whose_change_was_reverted_is_not_sent(simulation: Simulation) -> None:
    for engine in simulation.engines.values():
        engine.running = 1
    while not simulation.fences:
        simulation.run(ROUND_S)
    simulation.change_version("1")
    for engine in simulation.engines.values():
        engine.running = 0
    simulation.run(ROLLOUT_S)
    assert simulation.changed_runners() == []


def test_a_live_gateway_without_the_withdrawal_delays_the_change(simulation: Simulation) -> None:
    lagging = simulation.gateways["g2"]
    lagging.loses_replies = True
    simulation.run(ROLLOUT_S)
    assert simulation.changed_runners() == []
    lagging.loses_replies = False
    simulation.run(ROLLOUT_S)
    assert sorted(simulation.changed_runners()) == sorted(RUNNERS)
    assert [users for _, users in simulation.users_at_order] == [[], []]


def test_a_stopped_gateway_does_not_delay_the_change(simulation: Simulation) -> None:
    del simulation.gateways["g2"]
    simulation.run(ROLLOUT_S)
    assert sorted(simulation.changed_runners()) == sorted(RUNNERS)


def test_records_of_a_leader_that_resumes_within_its_term_are_applied(
    simulation: Simulation,
) -> None:
    """Guards against restarting revisions at 1 within a term: hubs then ignored the new records."""
    simulation.run(ROLLOUT_S)
    simulation.role = "follower"
    simulation.run(ROUND_S)
    simulation.role = "leader"
    simulation.change_version("3")
    before = len(simulation.users_at_order)
    simulation.run(ROLLOUT_S)
    assert [users for _, users in simulation.users_at_order[before:]] == [[], []]


def test_a_withdrawal_triggers_a_sync_with_the_other_hubs_at_once(simulation: Simulation) -> None:
    notified_at_s: list[float] = []
    simulation.hub.on_change = lambda: notified_at_s.append(simulation.now_s)
    simulation.run(ROUND_S)
    assert notified_at_s == [simulation.now_s]


def test_the_last_gateway_to_apply_a_withdrawal_triggers_a_sync_at_once(
    simulation: Simulation,
) -> None:
    simulation.run(ROUND_S)
    notified_at_s: list[float] = []
    simulation.hub.on_change = lambda: notified_at_s.append(simulation.now_s)
    lagging = simulation.gateways.pop("g2")
    simulation.run(2 * ROUND_S)
    assert notified_at_s == []
    lagging.exchange(simulation.hub, [])
    lagging.exchange(simulation.hub, [])
    assert len(notified_at_s) == 1
