"""Control process of a seeded deployment.

In a seeded deployment, machines find each other through a configured list of *seed* addresses. Each
control process has a replica of the registry, serves it to gateways and stores, and takes messages
of back ends. The process that leads the registry group also runs the reconciler.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TypeVar

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.config.machine import MachineConfig
from leverjunction.consensus.group import GroupReplica, start_replica
from leverjunction.consensus.types import GroupConfig
from leverjunction.control.group_host import GroupHost
from leverjunction.control.periodic import PeriodicTask, stop_all
from leverjunction.control.raft_transport import RpcRaftTransport, serve_raft
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.quota.owner import QuotaOwner
from leverjunction.quota.owner_socket import OwnerSocket
from leverjunction.registry.cluster import (
    CALLS_AT_ONCE,
    CLUSTER_KEY,
    MAX_WATCHERS,
    RPC_THREADS,
)
from leverjunction.registry.commands import (
    Done,
    GetTableSource,
    GroupMembership,
    JoinMember,
    LivenessReport,
    PutRunner,
    PutTable,
    RegistryCommand,
    RemoveRunner,
    StartRetirement,
    StoredTableVersion,
    TableSource,
    WatchRequest,
)
from leverjunction.registry.failures import not_leader
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.lease_exchange import LeaseExchange
from leverjunction.registry.origin_directory import OriginDirectory
from leverjunction.registry.origin_log import (
    ORIGINS_FOLDER,
    OriginLog,
    SegmentFolder,
    read_boot_id,
)
from leverjunction.registry.reconciler import Reconciler, ReconcilerLimits
from leverjunction.registry.records import (
    JOBS_GROUP,
    REGISTRY_GROUP,
    MemberRecord,
    MemberRole,
    RunnerRecord,
    RunnerState,
    runner_key,
)
from leverjunction.registry.start_liveness import StartLiveness
from leverjunction.registry.state_machine import RegistryStateMachine
from leverjunction.registry.version_leases import PENDING_INTERVAL_S
from leverjunction.routes.checks import check_table
from leverjunction.routes.types import RouteTable
from leverjunction.storage import read_founders, write_founders
from leverjunction.wire.codec import decode, encode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer
from leverjunction.wire.silent_peers import SilentPeers

T = TypeVar("T")

COMMAND_TIMEOUT_S = 0.85
"""Timeout of a proposal or query; callers switch to another control process after 1 s."""

LIVENESS_INTERVAL_S = 0.7
RECONCILE_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 0.6


class RegistryNode:
    """One control process: a replica of the registry, its RPC server and its periodic tasks.

    Attributes:
        host: Sends proposals and queries to the leader of the registry group.
        hub: Serves the registry to gateways and stores.
    """

    def __init__(
        self,
        config: MachineConfig,
        clock: Clock,
        random: Random,
        started_s: float | None = None,
    ) -> None:
        """Create the node without starting it.

        Args:
            config: Settings of the machine.
            clock: Source of time.
            random: Source of ids and timeouts.
            started_s: Start of the operating system process, in monotonic seconds; None if several
                nodes share one process.
        """
        self._config = config
        self._clock = clock
        self._address = config.listen.rpc
        incarnation = clock.wall_ms()
        self._rpc = RpcClient(CLUSTER_KEY, incarnation)
        self._replica = GroupReplica(
            _group_config(config),
            RegistryStateMachine(),
            RpcRaftTransport(self._rpc),
            clock,
            random,
            silent_since_s=started_s,
            listener=self._on_applied,
        )
        self._voters = {REGISTRY_GROUP: list(config.seed_addresses())}
        self.host = GroupHost(
            self._address,
            {REGISTRY_GROUP: self._replica},
            self._voters,
            self._rpc,
            clock,
            max_concurrent_calls=CALLS_AT_ONCE,
        )
        self.hub = RegistryHub(self._replica, self.host, clock, MAX_WATCHERS)
        self._origin_log = OriginLog(
            SegmentFolder(_data_folder(config) / ORIGINS_FOLDER), clock, read_boot_id()
        )
        self._leases = LeaseExchange(
            self._address,
            self.hub,
            clock,
            self._send_views,
            config.bounds.in_force_ms / 1000,
            config.seed_addresses(),
        )
        self._origins = OriginDirectory(
            self.hub,
            clock,
            incarnation,
            self._origin_log,
            config.seed_addresses(),
            self._leases.is_valid,
        )
        self._silent_stores = SilentPeers()
        quota_owner = QuotaOwner(config.bounds.quota(), self.hub, self.leads)
        self._quota = OwnerSocket(self._address, CLUSTER_KEY, incarnation, quota_owner, clock)
        self._live_runners: set[str] = set()
        self._live_members: set[str] = set()
        self._start_liveness = StartLiveness()
        self._start_liveness_lock = threading.Lock()
        self._reconciler: Reconciler | None = None
        self._limits = ReconcilerLimits(losses=config.losses)
        host, _, port = self._address.rpartition(":")
        self._server = RpcServer(
            host, int(port), self._endpoint(incarnation), RPC_THREADS + MAX_WATCHERS
        )
        self._tasks = [
            PeriodicTask("join", LIVENESS_INTERVAL_S, self._join),
            PeriodicTask("heard", LIVENESS_INTERVAL_S, self._report_liveness),
            PeriodicTask("leases", PENDING_INTERVAL_S, self._leases.step),
            PeriodicTask("steward", RECONCILE_INTERVAL_S, self._reconcile),
        ]

    def start(self) -> Failure | None:
        """Start the RPC server, the replica and the periodic tasks.

        Returns:
            The failure of the replica's start, None on success.
        """
        self._origins.load()
        # The server starts first and ends after the replica: peers take a refused connection as
        # proof that this process leads no group.
        self._server.start()
        fault = start_replica(self._replica)
        if fault is not None:
            self._server.stop()
            self._origin_log.close()
            return fault
        for task in self._tasks:
            task.start()
        self._quota.start()
        logger.info("control process started at {}", self._address)
        return None

    def stop(self) -> None:
        """Stop the replica, which hands over its leadership, and then the server."""
        logger.info("stopping")
        self._quota.stop()
        stop_all(self._tasks)
        self._replica.stop()
        self._server.stop()
        self._origin_log.close()
        self._rpc.close()
        logger.info("stopped")

    def put_table(self, table: RouteTable, source: str) -> StoredTableVersion | Failure:
        """Validate and replicate a route table; an older one is acknowledged without effect.

        Args:
            table: The table.
            source: The table as the operator wrote it.

        Returns:
            The version that is stored then, or why the table was rejected or not committed.
        """
        fault = check_table(table)
        if fault is not None:
            return fault
        return self._propose(PutTable(table, source), StoredTableVersion)

    def table_source(self) -> TableSource | Failure:
        """Return the newest committed table as the operator wrote it.

        Returns:
            The text and its version, or a failure if the leader could not be reached.
        """
        return self.host.query(REGISTRY_GROUP, GetTableSource(), TableSource, COMMAND_TIMEOUT_S)

    def handle_heartbeat(self, record: RunnerRecord) -> Failure | None:
        """Process a runner's message; return after the change that it causes is replicated.

        Args:
            record: State of the runner as it reports itself.

        Returns:
            Why the message was not processed; None if it was, or if it belongs to an ended start.
        """
        stale = self.hub.stale()
        if stale is not None and not self.leads():
            return stale
        # A newly elected leader may be stale itself. It then replicates every message, since it
        # cannot tell whether the message changes anything.
        known = None if stale is not None else self._known_runner(record.runner_id)
        self._live_runners.add(record.start)
        shown_alive = False
        if known is not None and record.born_ms < known.born_ms:
            shown_alive = self._is_shown_alive(record)
            if not shown_alive:
                return None
            logger.warning(
                "{} is still alive although {} has a later start time: a clock was set back",
                record.start,
                known.start,
            )
        if known is not None and _has_no_effect(record, known):
            return None
        reply = self._propose(PutRunner(record, shown_alive), Done)
        if isinstance(reply, Failure):
            return reply
        if known is not None and known.start != record.start:
            logger.info("back end restarted: {} replaces {}", record.start, known.start)
        return None

    def _known_runner(self, runner_id: str) -> RunnerRecord | None:
        runners = self.hub.view().runners
        return next((item for item in runners if item.runner_id == runner_id), None)

    def _is_shown_alive(self, record: RunnerRecord) -> bool:
        with self._start_liveness_lock:
            now_s = self._clock.monotonic_s()
            return self._start_liveness.is_alive(record.start, record.sequence, now_s)

    def handle_leave(self, runner_id: str, born_ms: int = 0) -> Failure | None:
        """Process a runner's report that it shuts down.

        Args:
            runner_id: Id of the runner.
            born_ms: Start time of the runner, in milliseconds since the Unix epoch; 0 if the runner
                does not send it.

        Returns:
            Why the removal was not replicated, None if it was.
        """
        reply = self._propose(RemoveRunner(runner_id, born_ms), Done)
        return reply if isinstance(reply, Failure) else None

    def start_retirement(self, name: str) -> Failure | None:
        """Start moving all replicas off a machine; return why not, None on success."""
        reply = self._propose(StartRetirement(name, self._limits.voters), Done)
        return reply if isinstance(reply, Failure) else None

    def is_retired(self, name: str) -> bool | Failure:
        """Return whether all replicas have left a retiring machine.

        Returns:
            A failure if the machine is not retiring, or if this process may be out of date.
        """
        stale = self.hub.stale()
        if stale is not None:
            return stale
        view = self.hub.view()
        member = next((item for item in view.members if item.name == name), None)
        if member is None or not member.retiring:
            return Failure(
                kind=FailureKind.NOT_FOUND,
                reason=f"machine {name!r} does not exist or is not retiring",
                step=Step.QUERYING,
                execution=Execution.NOT_RUN,
            )
        group = view.group(JOBS_GROUP)
        if group is None or member.address in group.voters:
            return False
        return self._holds_no_replica(member.address, group.voters)

    def fault(self) -> Failure | None:
        """Return why this process has stopped serving, None while it serves."""
        return self._replica.fault()

    def leads(self) -> bool:
        """Return whether this process leads the registry."""
        return self._replica.status().role == "leader"

    def silence_s(self, name: str) -> float | None:
        """Return the seconds since the last contact with a machine or the start of a runner.

        Only the leader knows it; None on other processes and for unknown names.
        """
        reconciler = self._reconciler
        return None if reconciler is None else reconciler.silence_s(name, self._clock.monotonic_s())

    def _holds_no_replica(self, address: str, voters: tuple[str, ...]) -> bool:
        """Return whether the group's leader reports that a machine holds no replica."""
        for voter in self._silent_stores.in_order(voters):
            status = self._rpc.call(
                voter, MessageKind.STATUS, Done(), GroupMembership, timeout_s=CALL_TIMEOUT_S
            )
            self._silent_stores.record(voter, status, self._clock.monotonic_s())
            if isinstance(status, Failure) or not status.leads:
                continue
            return address not in status.members and set(status.voters) == set(voters)
        return False

    def _propose(self, command: RegistryCommand, reply_type: type[T]) -> T | Failure:
        return self.host.propose(REGISTRY_GROUP, command, reply_type, COMMAND_TIMEOUT_S)

    def _on_applied(self, _replaced: bool) -> None:
        self.hub.notify_changed()

    def _endpoint(self, incarnation: int) -> RpcEndpoint:
        endpoint = RpcEndpoint(CLUSTER_KEY, incarnation)
        receivers = {REGISTRY_GROUP: self._replica.receive}
        endpoint.register(MessageKind.RAFT, lambda envelope, _: serve_raft(receivers, envelope))
        for kind in (MessageKind.PROPOSE, MessageKind.QUERY):
            endpoint.register(kind, self.host.serve_client)
        for kind in (MessageKind.FORWARDED_PROPOSE, MessageKind.FORWARDED_QUERY):
            endpoint.register(kind, self.host.serve_forwarded)
        endpoint.register(MessageKind.REGISTRY_WATCH, self._on_watch)
        endpoint.register(MessageKind.REGISTRY_HEARD, self._on_liveness)
        endpoint.register(MessageKind.REGISTRY_VIEWS, self._leases.handle)
        self._origins.register(endpoint)
        return endpoint

    def _on_watch(self, envelope: Envelope, peer: str) -> bytes:
        request = decode(envelope.body, WatchRequest, peer)
        if isinstance(request, Failure):
            return encode_reply(request)
        if request.member:
            self._live_members.add(request.member)
            return self.hub.watch_encoded(request)
        self._leases.followed.asked(request.gateway, request.revision)
        try:
            return self.hub.watch_encoded(request)
        finally:
            self._leases.followed.replied(request.gateway, self._clock.monotonic_s())

    def _send_views(self, body: bytes, record: Callable[[], bytes | Failure]) -> bytes | Failure:
        return self.host.run_on_leader(
            REGISTRY_GROUP, MessageKind.REGISTRY_VIEWS, body, record, CALL_TIMEOUT_S
        )

    def _on_liveness(self, envelope: Envelope, peer: str) -> bytes:
        report = decode(envelope.body, LivenessReport, peer)
        if isinstance(report, Failure):
            return encode_reply(report)
        reply = self._record_liveness(report)
        return encode_reply(reply) if isinstance(reply, Failure) else reply

    def _join(self) -> None:
        record = MemberRecord(
            name=self._config.name,
            role=MemberRole.CONTROL,
            address=self._address,
            zone=self._config.zone,
        )
        # Runs periodically: the leader may have removed this machine after a long silence.
        if record not in self.hub.view().members:
            self._propose(JoinMember(record), Done)

    def _report_liveness(self) -> None:
        """Report to the leader which runners and machines contacted this process."""
        self._origins.refresh()
        runners, self._live_runners = self._live_runners, set()
        members, self._live_members = self._live_members, set()
        report = LivenessReport(tuple(runners), (*members, self._config.name))
        body = encode(report)
        self.host.run_on_leader(
            REGISTRY_GROUP,
            MessageKind.REGISTRY_HEARD,
            body,
            lambda: self._record_liveness(report),
            CALL_TIMEOUT_S,
        )

    def _record_liveness(self, report: LivenessReport) -> bytes | Failure:
        reconciler = self._reconciler
        if reconciler is None:
            return not_leader(self._replica.status().leader_address)
        reconciler.record_contact(report, self._clock.monotonic_s())
        return encode_reply(Done())

    def _reconcile(self) -> None:
        """Update the known voters; on the leader also run the reconciler and apply its changes."""
        status = self._replica.status()
        if status.voters:
            self._voters[REGISTRY_GROUP] = list(
                dict.fromkeys([*status.voters, *self._config.seed_addresses()])
            )
        now_s = self._clock.monotonic_s()
        if status.role != "leader":
            self._reconciler = None
            return
        if self._reconciler is None:
            self._reconciler = Reconciler(self._limits, now_s)
        reconciler = self._reconciler
        view = self.hub.view()
        members = tuple(sorted({*status.voters, *status.learners}))
        for command in reconciler.step(view, members, now_s, self.hub.suspects()):
            logger.info("proposing {}", command)
            self._propose(command, Done)
        wanted = reconciler.control_voters(view, members, now_s)
        if wanted != members:
            logger.info("changing registry members from {} to {}", members, wanted)
            self._replica.change_members(list(wanted), COMMAND_TIMEOUT_S)


def _has_no_effect(record: RunnerRecord, known: RunnerRecord) -> bool:
    if record.born_ms != known.born_ms:
        return False
    if known.state is RunnerState.LEAVING and record.state is not RunnerState.LEAVING:
        # A delayed message from before the leave.
        return True
    return runner_key(record) == runner_key(known)


def _data_folder(config: MachineConfig) -> Path:
    assert config.data_folder is not None
    return Path(config.data_folder)


def _group_config(config: MachineConfig) -> GroupConfig:
    folder = _data_folder(config)
    founders = read_founders(folder)
    if config.first_start and not founders:
        founders = tuple(sorted(config.seed_addresses()))
        write_founders(folder, founders)
    return GroupConfig(
        group=REGISTRY_GROUP,
        address=config.listen.rpc,
        # Empty on a machine that joins an existing deployment: it must not found a group.
        first_members=founders,
        data_path=str(folder / f"{REGISTRY_GROUP}.sqlite"),
        heartbeat_interval_s=config.elections.heartbeat_s,
        election_timeout_min_s=config.elections.timeout_min_s,
        election_timeout_max_s=config.elections.timeout_max_s,
        rejoin_when_corrupt=True,
    )
