"""Orders across a change of the leader: sent only when most hubs know them, never doubled."""

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
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.settings.commands import Fence, GetSettings, SettingsDelta
from leverjunction.wire.messages import SettingRow
from testbed.engine.placement import Placement
from testbed.engine.types import EngineOrder, OrderFence

NAMES = ("c1", "c2", "c3")
PEERS = {name: f"{name}:1" for name in NAMES}


class World:
    """One engine, group root as a leader and a fence, and the hubs with their placement."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.leader = "c1"
        self.term = 1
        self.fences = 0
        self.rows = [SettingRow(path="services/s/models/m/version", value="2", version=1)]
        self.engine = Placement([], weights_bytes=1000, bytes_per_s=1.0)
        self.engine_incarnation = 1
        self.taken: list[Order] = []
        self.lost_answers = 0
        self.nodes = {name: Node(self, name) for name in NAMES}

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)

    def order(self, _address: str, order: Order) -> OrderOutcome | Failure:
        """Stand in for the client of the engines."""
        form = EngineOrder(
            fence=OrderFence(order.fence.term, order.fence.sequence), order_id=order.order_id,
            action=order.action.value, model=order.model, version=order.version,
        )  # fmt: skip
        answer = self.engine.order(form, self.now_s)
        self.taken.append(order)
        if self.lost_answers:
            self.lost_answers -= 1
            return Failure(kind=FailureKind.TIMEOUT, reason="lost", step=Step.RESPONDING)
        return OrderOutcome(accepted=answer.accepted, status_code=200)

    def load(self, _address: str, *_timeout: float) -> LoadReport:
        """Stand in for the client of the engines."""
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
                    self.tell(sender, receiver)

    def tell(self, sender: str, receiver: str) -> None:
        hub = self.nodes[sender].hub
        message = hub.sync_for(receiver, self.nodes[sender].state())
        hub.sync_answered(receiver, self.nodes[receiver].hub.sync_received(message))

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
    """Hub and placement of one control process."""

    def __init__(self, world: World, name: str, incarnation: int = 1) -> None:
        self.world = world
        self.name = name
        self.incarnation = incarnation
        mirror = SettingsMirror(self._settings)
        assert mirror.refresh()
        identity = HubIdentity(
            name=name, rpc_address=PEERS[name], zone="z", incarnation=incarnation, peers=PEERS,
            zones=dict.fromkeys(PEERS, "z"), job_groups=1,
        )  # fmt: skip
        self.hub = Hub(identity, mirror, world, lambda: 0.0)
        self.read()
        self.placement = PlacementRunner(
            name=name,
            replica=cast(ReplicatedGroup, self),
            host=cast(GroupHost, self),
            hub=self.hub,
            mirror=mirror,
            engines=cast(EngineClient, world),
            clock=world,
            random=random.Random(incarnation),
            counters=ControlMetrics(CollectorRegistry()),
            max_loads=4,
        )

    def read(self, reachable: bool = True) -> None:
        machine = Machine(
            id="r1", address="127.0.0.1:9", zone="z", service="s", state=MachineState.LIVE,
            incarnation=1,
        )  # fmt: skip
        self.hub.machines_listed(MachineList(as_of_ms=self.world.wall_ms(), machines=[machine]))
        self.world.engine.advance(self.world.now_s)
        reading = RunnerReading(
            runner_id="r1", reachable=reachable, incarnation=self.world.engine_incarnation,
            models=self.world.engine.models(), versions=self.world.engine.versions(),
        )  # fmt: skip
        self.hub.runners_read([reading], [], self.hub.standstills())

    def state(self) -> HubState:
        return HubState(
            name=self.name, rpc_address=PEERS[self.name], zone="z", incarnation=self.incarnation
        )

    def status(self) -> GroupStatus:
        """Stand in for the replica of group root."""
        role = "leader" if self.world.leader == self.name else "follower"
        return GroupStatus(
            group="root", replica_id=self.name, role=role, term=self.world.term,
            leader_address=PEERS[self.world.leader], commit_index=1, applied_index=1,
            voters=list(PEERS.values()), learners=[], leader_contact_age_s=0.0,
        )  # fmt: skip

    def propose(self, *_call: Any) -> Fence:
        """Stand in for the host of the groups: the next fence."""
        self.world.fences += 1
        return Fence(term=self.world.term, sequence=self.world.fences)

    def query(self, *_call: Any) -> SettingsDelta:
        return self._settings(GetSettings(after_version=0))

    def _settings(self, _query: GetSettings) -> SettingsDelta:
        return SettingsDelta(version=1, rows=self.world.rows)


@pytest.fixture
def world() -> World:
    """A cluster whose leader is about to load the model on its one, empty runner."""
    made = World()
    made.sync(*NAMES)
    made.run(int(START_GRACE_S) + 1, *NAMES)
    return made


def test_an_order_goes_out_once_most_hubs_know_it(world: World) -> None:
    world.run(2, *NAMES)
    assert len(world.taken) == 1
    assert world.loads_in_engine() == 1


def test_an_order_that_nobody_was_told_is_never_sent() -> None:
    world = World()
    world.sync(*NAMES)
    node = world.nodes["c1"]
    for _ in range(int(START_GRACE_S) + 10):
        world.now_s += 0.3
        node.read()
        node.placement.tick()
    assert world.fences > 0, "nothing was planned, the test shows nothing"
    assert world.taken == []


def test_a_message_from_before_the_plan_does_not_count_as_told() -> None:
    world = World()
    world.sync(*NAMES)
    node = world.nodes["c1"]
    while not world.fences:
        early = node.hub.sync_for("c2", node.state())
        world.now_s += 0.5
        node.read()
        node.placement.tick()
    node.hub.sync_answered("c2", world.nodes["c2"].hub.sync_received(early))
    node.placement.tick()
    assert world.taken == []
    world.tell("c1", "c2")
    node.placement.tick()
    assert len(world.taken) == 1


def test_a_successor_resends_the_same_order_and_the_engine_loads_once(world: World) -> None:
    world.lost_answers = 1
    while not world.taken:
        world.run(1, *NAMES)
    world.elect("c2")
    world.run(8, "c2", "c3")
    assert len(world.taken) > 1
    assert {(order.fence, order.order_id) for order in world.taken} == {
        (world.taken[0].fence, world.taken[0].order_id)
    }
    assert world.loads_in_engine() == 1


def test_a_successor_that_has_just_restarted_first_hears_the_others(world: World) -> None:
    """The record lives in memory: a blank process that led at once would plan anew."""
    world.lost_answers = 1
    while not world.taken:
        world.run(1, *NAMES)
    first = world.taken[0]
    world.restart("c3")
    world.elect("c3")
    for _ in range(4):
        world.now_s += 1.0
        world.nodes["c3"].read()
        world.nodes["c3"].placement.tick()
    assert not world.nodes["c3"].placement.status().leads
    world.run(10, "c2", "c3")
    assert world.nodes["c3"].placement.status().leads
    assert {order.order_id for order in world.taken} == {first.order_id}
    assert world.loads_in_engine() == 1


@pytest.mark.parametrize("is_read", [True, False], ids=["its start is known", "nobody read it yet"])
def test_an_engine_that_started_again_is_not_sent_an_order_of_its_life_before(
    world: World, is_read: bool
) -> None:
    """It takes any fence and serves at once: a load would meet its requests."""
    world.lost_answers = 1
    while not world.taken:
        world.run(1, *NAMES)
    before = len(world.taken)
    world.elect("c2")
    world.restart_engine()
    if is_read:
        world.run(8, "c2", "c3")
    else:
        for _ in range(8):
            world.now_s += 1.0
            world.sync("c2", "c3")
            world.nodes["c2"].placement.tick()
    assert world.nodes["c2"].placement.status().leads
    assert world.taken[before:] == []
    assert world.loads_in_engine() == 0


def test_a_frozen_leaders_late_order_is_refused_by_the_engine(world: World) -> None:
    world.lost_answers = 1
    while not world.taken:
        world.run(1, *NAMES)
    late = world.taken[0]
    newer = msgspec.structs.replace(
        late, fence=Fence(term=world.term + 1, sequence=99), order_id="successor"
    )
    assert isinstance(world.order("", newer), OrderOutcome)
    outcome = world.order("", late)
    assert isinstance(outcome, OrderOutcome)
    assert not outcome.accepted


def test_an_order_to_a_runner_that_died_and_stays_listed_frees_its_place_soon(world: World) -> None:
    """Four such runners held all weight loads of the fleet for 15 minutes.

    Symptom, by reading: an order that was sent ends only when its runner reports the model, starts
    anew or leaves the list. A runner that dies while it loads and stays listed does none of these,
    and its order holds one of the places for loads until a load may take no longer (900 s).
    """
    world.run(4, *PEERS)
    assert world.taken
    placement = world.nodes[world.leader].placement
    assert placement.status().in_progress

    def silent(seconds: int) -> None:
        for _ in range(seconds):
            world.now_s += 1.0
            for name in PEERS:
                world.nodes[name].hub.expire()
                world.nodes[name].read(reachable=False)
            world.sync(*PEERS)
            placement.tick()

    silent(20)
    assert placement.status().in_progress
    silent(15)
    assert not placement.status().in_progress


def test_a_runner_that_is_cut_off_for_a_moment_keeps_its_order(world: World) -> None:
    world.run(4, *PEERS)
    placement = world.nodes[world.leader].placement
    for _ in range(3):
        for _ in range(20):
            world.now_s += 1.0
            world.nodes[world.leader].read(reachable=False)
            placement.tick()
        world.nodes[world.leader].read()
        placement.tick()
        assert placement.status().in_progress
