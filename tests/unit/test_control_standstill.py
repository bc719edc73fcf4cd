"""Tests that neither a paused hub nor delayed messages between hubs restore outdated state."""

from __future__ import annotations

import queue

import pytest

from leverjunction.backends.machine_list import Machine, MachineList, MachineState
from leverjunction.backends.types import LoadReport
from leverjunction.control.hub import LIST_REFUSAL_LIMIT_S, Hub, HubIdentity
from leverjunction.control.hub_sync import HubSyncTasks
from leverjunction.control.messages import (
    HubState,
    HubSync,
    HubSyncReply,
    PlacementRecord,
    RunnerReading,
    Withdrawal,
)
from leverjunction.control.periodic import PeriodicTask
from leverjunction.control.runner_watch import RunnerWatch
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.control.warm_up import STANDSTILL_S, WARM_UP_S
from leverjunction.errors import Failure, FailureKind
from leverjunction.settings.commands import SettingsDelta
from leverjunction.wire.messages import ExchangeReply, ExchangeRequest, GatewayState, RunnerState

PEERS = {"c1": "a:1", "c2": "a:2", "c3": "a:3"}
PAUSE_S = 60.0


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return int(self.now_s * 1000)


def machine_list(state: MachineState = MachineState.LIVE) -> MachineList:
    machine = Machine(
        id="r1", address="127.0.0.1:9", zone="z", service="s", state=state, incarnation=1
    )  # fmt: skip
    return MachineList(as_of_ms=1, machines=[machine])


def reading(*models: str) -> RunnerReading:
    return RunnerReading(runner_id="r1", reachable=True, incarnation=1, models=list(models))


class Cluster:
    """Three hubs that sync only on request."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.hubs = {name: self._hub(name) for name in PEERS}
        for hub in self.hubs.values():
            hub.update_machine_list(machine_list())
            hub.update_readings([], [])

    def _hub(self, name: str) -> Hub:
        identity = HubIdentity(
            name=name, rpc_address=PEERS[name], zone="z", incarnation=1, peers=PEERS,
            zones=dict.fromkeys(PEERS, "z"), job_groups=1,
        )  # fmt: skip
        mirror = SettingsMirror(lambda _query: SettingsDelta(version=0, rows=[]))
        return Hub(identity, mirror, self.clock, lambda: 0.0)

    def state(self, name: str) -> HubState:
        return HubState(name=name, rpc_address=PEERS[name], zone="z", incarnation=1)

    def message(self, sender: str, receiver: str) -> HubSync:
        return self.hubs[sender].make_sync(receiver, self.state(sender))

    def deliver(self, message: HubSync, receiver: str) -> HubSyncReply:
        reply = self.hubs[receiver].handle_sync(message)
        self.hubs[message.hub.name].handle_sync_reply(receiver, reply)
        return reply

    def sync(self, *live: str) -> None:
        for sender in live:
            for receiver in live:
                if sender != receiver:
                    self.deliver(self.message(sender, receiver), receiver)

    def run(self, seconds: float, *live: str) -> None:
        for _ in range(int(seconds)):
            self.clock.now_s += 1.0
            for name in live:
                self.hubs[name].expire()
            self.sync(*live)

    def runner(self, hub: str) -> RunnerState:
        return self.hubs[hub].runners()[0]


def exchange(hub: Hub, stopping: bool = False) -> ExchangeReply | Failure:
    gateway = GatewayState(
        gateway_id="g1",
        address="a:8",
        rpc_address="a:9",
        zone="z",
        incarnation=1,
        stopping=stopping,
    )
    return hub.exchange(
        ExchangeRequest(gateway=gateway, settings_version=0, view_version=0, hub_incarnation=0)
    )


@pytest.fixture
def cluster() -> Cluster:
    made = Cluster()
    made.hubs["c1"].update_readings([reading("old")], [])
    made.sync(*PEERS)
    made.sync(*PEERS)
    assert isinstance(exchange(made.hubs["c1"]), ExchangeReply)
    assert made.runner("c2").models == ["old"]
    return made


def test_a_paused_hub_sends_no_outdated_readings(cluster: Cluster) -> None:
    cluster.run(PAUSE_S, "c2", "c3")
    cluster.hubs["c2"].update_readings([reading("new")], [])
    cluster.sync("c2", "c3")
    for receiver in ("c2", "c3"):
        assert cluster.message("c1", receiver).readings == []
    cluster.sync(*PEERS)
    cluster.sync(*PEERS)
    assert [cluster.runner(name).models for name in PEERS] == [["new"]] * 3


def test_a_reading_that_started_before_the_pause_is_dropped(cluster: Cluster) -> None:
    hub = cluster.hubs["c1"]
    before = hub.standstills()
    cluster.clock.now_s += PAUSE_S
    hub.update_readings([reading("old")], [], before)
    assert cluster.message("c1", "c2").readings == []
    hub.update_readings([reading("new")], [], hub.standstills())
    assert cluster.message("c1", "c2").readings == [reading("new")]


def test_a_paused_hub_serves_no_view_until_it_has_heard_the_other_hubs(
    cluster: Cluster,
) -> None:
    hub = cluster.hubs["c1"]
    cluster.run(PAUSE_S, "c2", "c3")
    refused = exchange(hub)
    assert isinstance(refused, Failure)
    assert refused.kind is FailureKind.STALE
    cluster.sync(*PEERS)
    cluster.sync(*PEERS)
    hub.update_readings([], [], hub.standstills())
    assert isinstance(exchange(hub), ExchangeReply)


def test_a_hub_that_is_partitioned_after_a_pause_serves_again_after_the_warm_up(
    cluster: Cluster,
) -> None:
    hub = cluster.hubs["c1"]
    cluster.clock.now_s += PAUSE_S
    assert isinstance(exchange(hub), Failure)
    for _ in range(int(WARM_UP_S) + 1):
        cluster.clock.now_s += STANDSTILL_S / 2
        hub.expire()
    assert isinstance(exchange(hub), ExchangeReply)


def test_a_paused_hub_reads_the_machine_list_before_it_answers(
    cluster: Cluster,
) -> None:
    """Guards against a paused hub that answers gateways with its outdated machine list."""
    hub = cluster.hubs["c1"]
    hub.begin_machine_list_read(0.5)
    cluster.clock.now_s += 1.5
    refused = exchange(hub)
    assert isinstance(refused, Failure)
    assert refused.kind is FailureKind.STALE
    asked_s = hub.begin_machine_list_read(2.0)
    hub.update_machine_list(machine_list(MachineState.LEAVING), asked_s)
    reply = exchange(hub)
    assert isinstance(reply, ExchangeReply)
    assert [runner.leaving for runner in reply.runners] == [True]


def test_a_hub_that_cannot_read_the_machine_list_answers_after_a_limit(cluster: Cluster) -> None:
    hub = cluster.hubs["c1"]
    hub.begin_machine_list_read(0.5)
    cluster.clock.now_s += 1.5
    assert isinstance(exchange(hub), Failure)
    for _ in range(4):
        cluster.clock.now_s += LIST_REFUSAL_LIMIT_S / 4
        hub.begin_machine_list_read(2.0)
    assert isinstance(exchange(hub), ExchangeReply)


class Engines:
    """Replaces ``EngineClient``; the process can be paused during a read."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.pauses_s: list[float] = []

    def load(self, _address: str, _timeout_s: float) -> LoadReport:
        self.clock.now_s += self.pauses_s.pop() if self.pauses_s else 0.0
        return LoadReport(
            as_of_ms=1, incarnation=1, running=0, waiting=0, batch_running=0, batch_waiting=0,
            kv_blocks_used=0, kv_blocks_total=1, step_ms=1.0, models=["new"],
        )  # fmt: skip


def test_runners_are_read_again_at_once_after_a_pause_during_a_reading(
    cluster: Cluster,
) -> None:
    """Guards against a hub that serves no view until the next interval of readings."""
    hub, engines = cluster.hubs["c1"], Engines(cluster.clock)
    zones = {"c1": "z", "c2": "y", "c3": "y"}
    watch = RunnerWatch(hub, engines, "c1", zones)  # type: ignore[arg-type]
    engines.pauses_s = [PAUSE_S]
    watch.tick()
    watch.close()
    assert cluster.message("c1", "c2").readings == [reading("new")]


class Peer:
    """Replaces ``RpcClient``; passes sync messages to a hub and records which of them were full."""

    def __init__(self, receiver: Hub) -> None:
        self.receiver = receiver
        self.full: list[bool] = []

    def call(self, _address: str, _kind: object, sync: HubSync, *_: object, **__: object) -> object:
        self.full.append(sync.full)
        return self.receiver.handle_sync(sync)


def test_a_hub_without_state_gets_the_full_state_at_once(cluster: Cluster) -> None:
    """Guards against a hub that serves no view until the next sync interval."""
    cluster.run(PAUSE_S, "c1", "c3")
    peer = Peer(cluster.hubs["c2"])
    tasks = HubSyncTasks(
        cluster.hubs["c1"],
        peer,  # type: ignore[arg-type]
        {},
        lambda: cluster.state("c1"),
    )
    tasks._sync_with("c2", PEERS["c2"])
    assert peer.full == [False, True]
    assert [hub.name for hub in cluster.hubs["c2"].live_hubs()] == ["c1"]


def test_a_delayed_message_of_a_hub_is_ignored(cluster: Cluster) -> None:
    late = cluster.message("c1", "c2")
    late_full = HubSync(
        hub=late.hub, from_version=0, to_version=late.to_version, full=True, gateways=[],
        gone_gateways=[], readings=[reading("older")], gone_readings=[], digests=[],
        sequence=late.sequence,
    )  # fmt: skip
    cluster.sync("c1", "c2")
    have = cluster.hubs["c2"].handle_sync(late_full).have_version
    assert have == late.to_version
    assert cluster.runner("c2").models == ["old"]


def record(term: int, revision: int) -> PlacementRecord:
    withdrawn = [Withdrawal(f"r{revision}", "m")]
    return PlacementRecord(term=term, revision=revision, withdrawn=withdrawn, orders=[])


def test_an_older_placement_record_never_replaces_a_newer_one(cluster: Cluster) -> None:
    hub = cluster.hubs["c2"]
    hub.set_placement(record(2, 5))
    for older in (record(2, 4), record(1, 9)):
        hub.set_placement(older)
        assert hub.placement_record() == record(2, 5)
    hub.set_placement(record(3, 1))
    assert hub.placement_record() == record(3, 1)


def test_placement_records_outlive_their_author_and_are_sent_once(cluster: Cluster) -> None:
    newest = record(2, 1)
    cluster.hubs["c1"].set_placement(newest)
    assert not cluster.hubs["c1"].is_placement_known_to_majority(newest.stamp)
    cluster.sync("c1", "c2")
    assert cluster.hubs["c1"].is_placement_known_to_majority(newest.stamp)
    assert not cluster.hubs["c1"].is_placement_known_to_majority(record(1, 1).stamp)
    cluster.sync("c2", "c3")
    assert cluster.hubs["c3"].placement_record() == newest
    assert cluster.message("c2", "c3").hub.placement is None


def test_own_changes_trigger_a_sync_at_once(cluster: Cluster) -> None:
    hub = cluster.hubs["c1"]
    notifications: list[str] = []
    hub.on_change = lambda: notifications.append("woken")
    exchange(hub)
    hub.update_readings([reading("old")], [])
    assert notifications == []
    hub.update_readings([reading("new")], [])
    assert len(notifications) == 1
    exchange(hub, stopping=True)
    assert len(notifications) == 2


def test_a_woken_task_runs_before_its_interval_ends() -> None:
    runs: queue.Queue[int] = queue.Queue()
    task = PeriodicTask("test", PAUSE_S, lambda: runs.put(1))
    task.start()
    runs.get(timeout=10)
    task.wake()
    task.wake()
    runs.get(timeout=10)
    task.stop()
    assert runs.empty()
