"""Tests of orders across a change of leader: sent only if a majority knows them, executed once."""

from __future__ import annotations

import random
from typing import Any, cast

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from leverjunction.backends.client import EngineClient
from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.backends.types import LoadReport, Order, OrderOutcome
from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.messages import HubState, RunnerReading
from leverjunction.control.metrics import ControlMetrics
from leverjunction.control.placement import START_GRACE_S
from leverjunction.control.placement_runner import PlacementRunner
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import Fence, GetSettings, SettingsDelta
from leverjunction.wire.messages import SettingRow
from testbed.engine.placement import Placement
from testbed.engine.types import EngineOrder, OrderFence

NAMES = ("c1", "c2", "c3")
PEERS = {name: f"{name}:1" for name in NAMES}


class Simulation:
    """One engine, a scripted group root (leader and fences), and three hubs with placement."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.leader = "c1"
        self.term = 1
        self.fences = 0
        self.rows = [SettingRow(path="services/s/models/m/version", value="2", version=1)]
        self.engine = Placement([], weights_bytes=1000, bytes_per_s=1.0)
        self.engine_incarnation = 1
        self.received_orders: list[Order] = []
        self.lost_replies = 0
        self.nodes = {name: Node(self, name) for name in NAMES}

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)

    def order(self, _address: str, order: Order) -> OrderOutcome | Failure:
        """Replaces ``EngineClient.order``."""
        form = EngineOrder(
            fence=OrderFence(order.fence.term, order.fence.sequence), order_id=order.order_id,
            action=order.action.value, model=order.model, version=order.version,
        )  # fmt: skip
        answer = self.engine.order(form, self.now_s)
        self.received_orders.append(order)
        if self.lost_replies:
            self.lost_replies -= 1
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="lost",
                step=Step.RESPONDING,
                execution=Execution.NOT_RUN,
            )
        return OrderOutcome(accepted=answer.accepted, status_code=200)

    def load(self, _address: str, *_timeout: float) -> LoadReport:
        """Replaces ``EngineClient.load``."""
        return LoadReport(
            as_of_ms=self.wall_ms(), incarnation=self.engine_incarnation, running=0, waiting=0,
            batch_running=0, batch_waiting=0, kv_blocks_used=0, kv_blocks_total=1, step_ms=1.0,
            models=self.engine.models(), versions=self.engine.versions(),
        )  # fmt: skip

    def restart_engine(self) -> None:
        self.engine = Placement(["m"], weights_bytes=1000, bytes_per_s=1.0)
        self.engine_incarnation += 1

    def loads_in_engine(self) -> int:
        return len(self.engine._loading)

    def elect(self, name: str) -> None:
        self.leader = name
        self.term += 1

    def restart(self, name: str) -> None:
        self.nodes[name] = Node(self, name, incarnation=self.wall_ms())

    def sync(self, *live: str) -> None:
        for sender in live:
            for receiver in live:
                if sender != receiver:
                    self.sync_one_way(sender, receiver)

    def sync_one_way(self, sender: str, receiver: str) -> None:
        hub = self.nodes[sender].hub
        message = hub.make_sync(receiver, self.nodes[sender].state())
        hub.handle_sync_reply(receiver, self.nodes[receiver].hub.handle_sync(message))

    def run(self, seconds: int, *live: str) -> None:
        for _ in range(seconds):
            self.now_s += 1.0
            for name in live:
                self.nodes[name].hub.expire()
                self.nodes[name].read()
            self.sync(*live)
            for name in live:
                self.nodes[name].placement.tick()


class Node:
    """The hub and the placement of one control process."""

    def __init__(self, simulation: Simulation, name: str, incarnation: int = 1) -> None:
        self.simulation = simulation
        self.name = name
        self.incarnation = incarnation
        mirror = SettingsMirror(self._settings)
        assert mirror.refresh()
        identity = HubIdentity(
            name=name, rpc_address=PEERS[name], zone="z", incarnation=incarnation, peers=PEERS,
            zones=dict.fromkeys(PEERS, "z"), job_groups=1,
        )  # fmt: skip
        self.hub = Hub(identity, mirror, simulation, lambda: 0.0)
        self.read()
        self.placement = PlacementRunner(
            name=name,
            replica=cast(ReplicatedGroup, self),
            host=cast(GroupHost, self),
            hub=self.hub,
            mirror=mirror,
            engines=cast(EngineClient, simulation),
            clock=simulation,
            random=random.Random(incarnation),
            counters=ControlMetrics(CollectorRegistry()),
            max_loads=4,
        )

    def read(self, reachable: bool = True) -> None:
        machine = Machine(
            id="r1", address="127.0.0.1:9", zone="z", service="s", state=MachineState.LIVE,
            incarnation=1,
        )  # fmt: skip
        self.hub.update_machine_list(
            MachineList(as_of_ms=self.simulation.wall_ms(), machines=[machine])
        )
        self.simulation.engine.advance(self.simulation.now_s)
        reading = RunnerReading(
            runner_id="r1", reachable=reachable, incarnation=self.simulation.engine_incarnation,
            models=self.simulation.engine.models(), versions=self.simulation.engine.versions(),
        )  # fmt: skip
        self.hub.update_readings([reading], [], self.hub.standstills())

    def state(self) -> HubState:
        return HubState(
            name=self.name, rpc_address=PEERS[self.name], zone="z", incarnation=self.incarnation
        )

    def status(self) -> GroupStatus:
        """Replaces ``ReplicatedGroup.status`` of group root."""
        role = "leader" if self.simulation.leader == self.name else "follower"
        return GroupStatus(
            group="root", replica_id=self.name, role=role, term=self.simulation.term,
            leader_address=PEERS[self.simulation.leader], commit_index=1, applied_index=1,
            voters=list(PEERS.values()), learners=[], leader_contact_age_s=0.0,
        )  # fmt: skip

    def propose(self, *_call: Any) -> Fence:
        """Replaces ``GroupHost.propose``: returns the next fence."""
        self.simulation.fences += 1
        return Fence(term=self.simulation.term, sequence=self.simulation.fences)

    def query(self, *_call: Any) -> SettingsDelta:
        return self._settings(GetSettings(after_version=0))

    def _settings(self, _query: GetSettings) -> SettingsDelta:
        return SettingsDelta(version=1, rows=self.simulation.rows)


@pytest.fixture
def simulation() -> Simulation:
    """A cluster whose leader is about to load the model on its only runner, which is empty."""
    made = Simulation()
    made.sync(*NAMES)
    made.run(int(START_GRACE_S) + 1, *NAMES)
    return made


def test_an_order_is_sent_once_a_majority_of_hubs_knows_it(simulation: Simulation) -> None:
    simulation.run(2, *NAMES)
    assert len(simulation.received_orders) == 1
    assert simulation.loads_in_engine() == 1


def test_an_order_that_was_not_announced_is_never_sent() -> None:
    simulation = Simulation()
    simulation.sync(*NAMES)
    node = simulation.nodes["c1"]
    for _ in range(int(START_GRACE_S) + 10):
        simulation.now_s += 0.3
        node.read()
        node.placement.tick()
    assert simulation.fences > 0, "no order was planned, so the test proves nothing"
    assert simulation.received_orders == []


def test_a_sync_from_before_the_plan_does_not_count_as_an_announcement() -> None:
    simulation = Simulation()
    simulation.sync(*NAMES)
    node = simulation.nodes["c1"]
    while not simulation.fences:
        early = node.hub.make_sync("c2", node.state())
        simulation.now_s += 0.5
        node.read()
        node.placement.tick()
    node.hub.handle_sync_reply("c2", simulation.nodes["c2"].hub.handle_sync(early))
    node.placement.tick()
    assert simulation.received_orders == []
    simulation.sync_one_way("c1", "c2")
    node.placement.tick()
    assert len(simulation.received_orders) == 1


def test_a_successor_resends_the_same_order_and_the_engine_loads_once(
    simulation: Simulation,
) -> None:
    simulation.lost_replies = 1
    while not simulation.received_orders:
        simulation.run(1, *NAMES)
    simulation.elect("c2")
    simulation.run(8, "c2", "c3")
    assert len(simulation.received_orders) > 1
    assert {(order.fence, order.order_id) for order in simulation.received_orders} == {
        (simulation.received_orders[0].fence, simulation.received_orders[0].order_id)
    }
    assert simulation.loads_in_engine() == 1


def test_a_successor_that_has_just_restarted_waits_for_the_other_hubs(
    simulation: Simulation,
) -> None:
    """Placement records are in memory only: a restarted leader without them would plan again."""
    simulation.lost_replies = 1
    while not simulation.received_orders:
        simulation.run(1, *NAMES)
    first = simulation.received_orders[0]
    simulation.restart("c3")
    simulation.elect("c3")
    for _ in range(4):
        simulation.now_s += 1.0
        simulation.nodes["c3"].read()
        simulation.nodes["c3"].placement.tick()
    assert not simulation.nodes["c3"].placement.status().leads
    simulation.run(10, "c2", "c3")
    assert simulation.nodes["c3"].placement.status().leads
    assert {order.order_id for order in simulation.received_orders} == {first.order_id}
    assert simulation.loads_in_engine() == 1


@pytest.mark.parametrize("is_read", [True, False], ids=["restart known", "restart not read yet"])
def test_a_restarted_engine_is_not_sent_an_order_for_its_previous_incarnation(
    simulation: Simulation, is_read: bool
) -> None:
    """A restarted engine accepts any fence and serves at once: a load would affect requests."""
    simulation.lost_replies = 1
    while not simulation.received_orders:
        simulation.run(1, *NAMES)
    before = len(simulation.received_orders)
    simulation.elect("c2")
    simulation.restart_engine()
    if is_read:
        simulation.run(8, "c2", "c3")
    else:
        for _ in range(8):
            simulation.now_s += 1.0
            simulation.sync("c2", "c3")
            simulation.nodes["c2"].placement.tick()
    assert simulation.nodes["c2"].placement.status().leads
    assert simulation.received_orders[before:] == []
    assert simulation.loads_in_engine() == 0


def test_a_delayed_order_of_a_paused_leader_is_refused_by_the_engine(
    simulation: Simulation,
) -> None:
    simulation.lost_replies = 1
    while not simulation.received_orders:
        simulation.run(1, *NAMES)
    late = simulation.received_orders[0]
    newer = msgspec.structs.replace(
        late, fence=Fence(term=simulation.term + 1, sequence=99), order_id="successor"
    )
    assert isinstance(simulation.order("", newer), OrderOutcome)
    outcome = simulation.order("", late)
    assert isinstance(outcome, OrderOutcome)
    assert not outcome.accepted


def test_an_order_to_a_dead_runner_that_stays_listed_frees_its_load_slot(
    simulation: Simulation,
) -> None:
    """Guards against dead runners that block weight loads: four could block a fleet for 15 minutes.

    A sent order ends when its runner reports the model, restarts or leaves the machine list. A
    runner that dies during a load and stays listed does none of these, so its order would occupy a
    load slot until the load limit (900 s). Found by reading the code.
    """
    simulation.run(4, *PEERS)
    assert simulation.received_orders
    placement = simulation.nodes[simulation.leader].placement
    assert placement.status().in_progress

    def run_unreachable(seconds: int) -> None:
        for _ in range(seconds):
            simulation.now_s += 1.0
            for name in PEERS:
                simulation.nodes[name].hub.expire()
                simulation.nodes[name].read(reachable=False)
            simulation.sync(*PEERS)
            placement.tick()

    run_unreachable(20)
    assert placement.status().in_progress
    run_unreachable(15)
    assert not placement.status().in_progress


def test_a_briefly_disconnected_runner_keeps_its_order(simulation: Simulation) -> None:
    simulation.run(4, *PEERS)
    placement = simulation.nodes[simulation.leader].placement
    for _ in range(3):
        for _ in range(20):
            simulation.now_s += 1.0
            simulation.nodes[simulation.leader].read(reachable=False)
            placement.tick()
        simulation.nodes[simulation.leader].read()
        placement.tick()
        assert placement.status().in_progress
