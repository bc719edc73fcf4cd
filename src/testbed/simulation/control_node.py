"""A simulated control process, wired from the product's parts over the simulated network."""

from __future__ import annotations

import random
from collections.abc import Callable

from leverjunction.backends.machine_list import MachineList
from leverjunction.backends.types import LoadReport
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.hub_sync import RenewalTask
from leverjunction.control.lease_expiry import LeaseExpiry
from leverjunction.control.messages import HubState, HubSync, HubSyncReply, RenewLeases
from leverjunction.control.quorum import LocalRoot
from leverjunction.control.runner_watch import RunnerWatch, watcher_of
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import ExchangeRequest
from testbed.simulation.local_group import LocalGroup
from testbed.simulation.machine import Machine
from testbed.simulation.network import Reply
from testbed.simulation.replica import Replica
from testbed.simulation.rpc import RpcBoard, SimulatedRpc

ROOT_GROUP = "root"
HUB_SYNC_INTERVAL_S = 1.0
MACHINE_LIST_INTERVAL_S = 1.0
MIRROR_INTERVAL_S = 0.4
WATCH_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 0.5
RENEWAL_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.8


class Platform:
    """The machine list and the engines' load reports, as hubs reach them.

    Attributes:
        machine: Machine that serves the list.
        listed: Returns the list as it stands (late).
        load: Returns an engine's load report.
    """

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.listed: Callable[[], MachineList] = lambda: MachineList(as_of_ms=0, machines=[])
        self.load: Callable[[str], LoadReport] = _no_engine


class ReadAhead:
    """Stands in for the engine client of ``RunnerWatch``: gives reports that were read before."""

    def __init__(self) -> None:
        self.reports: dict[str, LoadReport] = {}

    def load(self, address: str, _timeout_s: float) -> LoadReport | Failure:
        """Return the report read ahead, or that the engine did not answer."""
        report = self.reports.get(address)
        return report if report is not None else _no_answer(address)

    @staticmethod
    def map(function: Callable[[object], object], items: list[object]) -> list[object]:
        """Stand in for the watch's thread pool: nothing blocks any more."""
        return [function(item) for item in items]

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Do nothing."""


class ControlNode:
    """One control process.

    Attributes:
        machine: Its machine.
        replicas: Its replicas by group; their disks outlive the process.
        peers: All control processes by name.
        hub: The product's hub, made anew at each start.
        mirror: The settings in force here, made anew at each start.
        expiry: The product's lease expiry, made anew at each start.
    """

    def __init__(
        self,
        machine: Machine,
        board: RpcBoard,
        replicas: dict[str, Replica],
        peers: dict[str, ControlNode],
        platform: Platform,
        generator: random.Random,
    ) -> None:
        self.machine = machine
        self.replicas = replicas
        self.peers = peers
        self._board = board
        self._network = board.network
        self._platform = platform
        self._random = generator
        self._job_groups = [group for group in replicas if group != ROOT_GROUP]

    def start(self) -> None:
        """Wire the parts and begin all periodic work; the replicas were started before."""
        rpc = SimulatedRpc(self.machine, self._board)
        groups: dict[str, ReplicatedGroup] = {
            name: LocalGroup(replica, self.machine, self._board.fibers)
            for name, replica in self.replicas.items()
        }
        jobs = {name: groups[name] for name in self._job_groups}
        self._incarnation_ms = self.machine.wall_ms()
        self.expiry = self.new_expiry(jobs)
        self.host = GroupHost(
            self.machine.name,
            groups,
            {name: sorted(self.peers) for name in groups},
            rpc,
            self.machine,
            self.expiry.committed,
        )
        self._root = LocalRoot(groups[ROOT_GROUP], self.machine)
        self.mirror = SettingsMirror(self._root.read)
        self.hub = Hub(self._identity(), self.mirror, self.machine, self._root.quorum_age_s)
        self._renewals = RenewalTask(self.hub, self.host, self.expiry, self._job_groups)
        self._start_watch()
        self._serve()
        self._begin_periodic_work()

    def restart(self) -> None:
        """Start the process again after a kill."""
        self.machine.start()
        for replica in self.replicas.values():
            replica.start()
        self.start()

    def new_expiry(self, jobs: dict[str, ReplicatedGroup]) -> LeaseExpiry:
        """Return the lease expiry of a starting process; a broken rule replaces this."""
        return LeaseExpiry(jobs, self.machine)

    def _identity(self) -> HubIdentity:
        return HubIdentity(
            name=self.machine.name,
            rpc_address=self.machine.name,
            zone=self.machine.zone,
            incarnation=self._incarnation_ms,
            peers={name: name for name in self.peers},
            zones=self._zones(),
            job_groups=len(self._job_groups),
        )

    def _zones(self) -> dict[str, str]:
        return {name: peer.machine.zone for name, peer in self.peers.items()}

    def _start_watch(self) -> None:
        self._read_ahead = ReadAhead()
        engines = self._read_ahead
        self._watch = RunnerWatch(self.hub, engines, self.machine.name, self._zones())  # type: ignore[arg-type]
        self._watch._readers.shutdown(wait=False)
        self._watch._readers = engines  # type: ignore[assignment]

    def _serve(self) -> None:
        handlers = {
            MessageKind.PROPOSE: self.host.serve_client,
            MessageKind.QUERY: self.host.serve_client,
            MessageKind.FORWARDED_PROPOSE: self.host.serve_forwarded,
            MessageKind.FORWARDED_QUERY: self.host.serve_forwarded,
        }
        quick = {MessageKind.EXCHANGE: self._on_exchange, MessageKind.RENEW_LEASES: self._on_renew}
        self._board.serve(self.machine, handlers, quick)

    def _on_exchange(self, envelope: Envelope, peer: str) -> bytes:
        request = decode(envelope.body, ExchangeRequest, peer)
        return encode_reply(request if isinstance(request, Failure) else self.hub.exchange(request))

    def _on_renew(self, envelope: Envelope, peer: str) -> bytes:
        renewals = decode(envelope.body, RenewLeases, peer)
        if isinstance(renewals, Failure):
            return encode_reply(renewals)
        return encode_reply(self.expiry.renew(envelope.group, renewals))

    def _begin_periodic_work(self) -> None:
        spread_s = self._random.random() * 0.1
        every = self.machine.every
        every(MIRROR_INTERVAL_S, self._follow_settings, spread_s)
        every(HUB_SYNC_INTERVAL_S, self._sync_hubs, spread_s)
        every(MACHINE_LIST_INTERVAL_S, self._read_machines, spread_s)
        every(WATCH_INTERVAL_S, self._read_runners, spread_s + 0.2)
        every(EXPIRY_INTERVAL_S, self._expire, spread_s)
        every(RENEWAL_INTERVAL_S, self._renew, spread_s)

    def _follow_settings(self) -> None:
        if not self.mirror.refresh():
            return
        settings = self.mirror.settings
        drains = [settings.draining_runners(name) for name in settings.names("services")]
        self.hub.set_drains(runner for names in drains for runner in names)

    def _expire(self) -> None:
        self.hub.expire()
        if any(self.replicas[group].leads for group in self._job_groups):
            self._board.fibers.spawn(self.machine, self.expiry.tick)
        else:
            self.expiry.tick()

    def _renew(self) -> None:
        for group in self._job_groups:
            if self.replicas[group].leads or self.replicas[group].core.leader_address:
                self._board.fibers.spawn(self.machine, self._renewals._loop_for(group))

    def _sync_hubs(self) -> None:
        state = HubState(
            name=self.machine.name,
            rpc_address=self.machine.name,
            zone=self.machine.zone,
            incarnation=self._incarnation_ms,
            settings_version=self.mirror.version,
            quorum_age_s=self._root.quorum_age_s(),
        )
        for name, peer in self.peers.items():
            if name != self.machine.name:
                self._sync_hub(name, peer, self.hub.make_sync(name, state))

    def _sync_hub(self, name: str, peer: ControlNode, sync: HubSync) -> None:
        hub = self.hub

        def handle(reply: Reply) -> None:
            reply(peer.hub.handle_sync(sync))

        def receive(result: object) -> None:
            assert isinstance(result, HubSyncReply | Failure)
            hub.handle_sync_reply(name, result)

        self._network.call(self.machine, name, handle, receive, CALL_TIMEOUT_S)

    def _read_machines(self) -> None:
        hub = self.hub
        asked_s = hub.begin_machine_list_read(MACHINE_LIST_INTERVAL_S)

        def handle(reply: Reply) -> None:
            reply(self._platform.listed())

        def receive(result: object) -> None:
            if isinstance(result, MachineList):
                hub.update_machine_list(result, asked_s)

        server = self._platform.machine.name
        self._network.call(self.machine, server, handle, receive, CALL_TIMEOUT_S)

    def _read_runners(self) -> None:
        """Read the engines that this hub watches, then let the product's watch take them in."""
        live = [self.machine.name, *(hub.name for hub in self.hub.live_hubs())]
        zones = self._zones()
        watched = [
            runner
            for runner in self.hub.runners()
            if watcher_of(runner, live, zones) == self.machine.name
        ]
        self._read_ahead.reports = {}
        for runner in watched:
            self._read_runner(runner.address)
        self.machine.after(CALL_TIMEOUT_S, self._watch.tick)

    def _read_runner(self, address: str) -> None:
        reports = self._read_ahead.reports

        def handle(reply: Reply) -> None:
            reply(self._platform.load(address))

        def receive(result: object) -> None:
            if isinstance(result, LoadReport):
                reports[address] = result

        self._network.call(self.machine, address, handle, receive, CALL_TIMEOUT_S)


def _no_engine(address: str) -> LoadReport:
    raise LookupError(address)


def _no_answer(address: str) -> Failure:
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason="no load report in time",
        step=Step.RESPONDING,
        peer=address,
        execution=Execution.NOT_RUN,
    )
