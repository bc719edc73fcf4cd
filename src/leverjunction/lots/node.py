"""Store process: hosts a replica of the lots group and the runner that executes lots.

A lot is a batch job of opaque items. The runner is active only while this replica leads the group.
"""

from __future__ import annotations

import threading
from pathlib import Path
from random import Random

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.config.machine import MachineConfig
from leverjunction.consensus.group import GroupReplica, start_replica
from leverjunction.consensus.types import GroupConfig
from leverjunction.control.group_host import GroupHost
from leverjunction.control.periodic import PeriodicTask, stop_all
from leverjunction.control.raft_transport import RpcRaftTransport, serve_raft
from leverjunction.errors import Failure
from leverjunction.lots.commands import ForgetLots, encode_command
from leverjunction.lots.group_file import read_group, write_group
from leverjunction.lots.item_report import ReadItems
from leverjunction.lots.node_watch import WATCH_INTERVAL_S, NodeWatch
from leverjunction.lots.output_budget import OutputBudget
from leverjunction.lots.recent_reads import answer_recent, no_replica
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.proxy.dialect import Dialect
from leverjunction.registry.cluster import (
    CALLS_AT_ONCE,
    CLUSTER_KEY,
    RPC_THREADS,
)
from leverjunction.registry.commands import Done, GroupMembership, JoinMember
from leverjunction.registry.follower import RegistryFollower, Snapshot
from leverjunction.registry.records import (
    JOBS_GROUP,
    REGISTRY_GROUP,
    GroupRecord,
    MemberRecord,
    MemberRole,
)
from leverjunction.registry.run_reporter import RunReporter
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

JOIN_INTERVAL_S = 0.5
MAINTENANCE_INTERVAL_S = 0.5
MEMBERSHIP_RETRY_S = 3.0
COMMAND_TIMEOUT_S = 1.0
DELETE_LOTS_INTERVAL_S = 30.0
RETENTION_MARGIN_S = 60.0
RETAINED_LOG_BYTES = 16 * 1024 * 1024


class LotsNode:
    """One store process: RPC server, replica of the lots group, runner and registry follower."""

    def __init__(
        self,
        config: MachineConfig,
        dialect: Dialect,
        clock: Clock,
        random: Random,
        started_s: float | None = None,
    ) -> None:
        """Create the components without starting them.

        Args:
            config: Settings of this machine.
            dialect: Header names and formats that the back ends use.
            clock: Source of time.
            random: Source of ids and timeouts.
            started_s: Start time of the operating system process, in monotonic seconds; None when
                several nodes share one process.
        """
        self._started_s = started_s
        self._config = config
        self._dialect = dialect
        self._clock = clock
        self._random = random
        self._address = config.listen.rpc
        self._rpc = RpcClient(CLUSTER_KEY, clock.wall_ms())
        self._voters: dict[str, list[str]] = {JOBS_GROUP: []}
        self._local: dict[str, GroupReplica] = {}
        self.host = GroupHost(
            self._address,
            self._local,
            self._voters,
            self._rpc,
            clock,
            max_concurrent_calls=CALLS_AT_ONCE,
        )
        self._follower = RegistryFollower(
            self._rpc,
            config.seed_addresses(),
            config.name,
            clock,
            random,
            self._on_registry_snapshot,
            config.zone,
        )
        self._reporter = RunReporter(self._rpc, self._follower.hubs, clock)
        host, _, port = self._address.rpartition(":")
        self._server = RpcServer(host, int(port), self._endpoint(), RPC_THREADS)
        self._runner: LotsRunner | None = None
        self._start_failure: Failure | None = None
        self._start_lock = threading.Lock()
        self._requested_voters: tuple[str, ...] = ()
        self._requested_s = 0.0
        self._lots_deleted_s = clock.monotonic_s()
        self._node_watch = NodeWatch(clock)
        self._tasks = [
            PeriodicTask("join", JOIN_INTERVAL_S, self._join),
            PeriodicTask("places", MAINTENANCE_INTERVAL_S, self._maintain_group),
            PeriodicTask("watch", WATCH_INTERVAL_S, self._check_threads),
        ]

    def start(self) -> Failure | None:
        """Start serving; the replica starts once the founding members of the group are known.

        Returns:
            Always None: the failure of a replica to start is reported by ``fault``.
        """
        self._server.start()
        saved = read_group(self._data_folder)
        if saved is not None:
            # After a restart the saved record is used without asking the registry: the control
            # processes may be starting at the same time.
            self._voters[JOBS_GROUP] = list(saved.voters)
            self._start_replica(saved)
        self._follower.start()
        self._reporter.start()
        for task in self._tasks:
            task.start()
        logger.info("store process started at {}", self._address)
        return None

    def stop(self) -> None:
        """Stop the runner, the replica (which hands over leadership) and then the server."""
        logger.info("stopping")
        stop_all(self._tasks)
        if self._runner is not None:
            self._runner.stop()
        for replica in self._local.values():
            replica.stop()
        self._follower.stop()
        self._reporter.stop()
        self._server.stop()
        self._rpc.close()
        logger.info("stopped")

    def fault(self) -> Failure | None:
        """Return the failure that keeps this process from serving, or None while it serves."""
        faults = [self._start_failure, *(replica.fault() for replica in self._local.values())]
        if self._runner is not None:
            faults.append(self._runner.fault())
        return next((fault for fault in faults if fault is not None), None)

    def groups(self) -> list[str]:
        """Return the names of the groups that have a replica in this process."""
        return list(self._local)

    def _on_registry_snapshot(self, snapshot: Snapshot) -> None:
        group = snapshot.view.group(JOBS_GROUP)
        if group is not None:
            self._voters[JOBS_GROUP] = list(group.voters)
            self._start_replica(group)
        if self._runner is not None:
            self._runner.set_registry(snapshot)

    def _start_replica(self, group: GroupRecord) -> None:
        with self._start_lock:
            if JOBS_GROUP in self._local:
                return
            machine = LotsStateMachine()
            replica = GroupReplica(
                self._group_config(group),
                machine,
                RpcRaftTransport(self._rpc),
                self._clock,
                Random(self._random.getrandbits(64)),
                silent_since_s=self._started_s,
                listener=lambda replaced: self._on_applied(machine, replaced),
            )
            fault = start_replica(replica)
            if fault is not None:
                logger.error("cannot start the replica: {}", fault.reason)
                self._start_failure = fault
                return
            self._save_group(group)
            self._runner = LotsRunner(
                replica,
                self._config.zone,
                self._dialect,
                self._clock,
                self._random,
                datagrams=self._address,
                by_rate=self._config.policies.batch_by_rate,
                report=self._reporter,
                is_in_doubt=self._follower.is_in_doubt,
                last_pause_end_s=self._follower.last_pause_end_s,
                budget=OutputBudget.for_memory(self._config.memory_mb),
            )
            self._local[JOBS_GROUP] = replica
            self._runner.start()

    def _save_group(self, group: GroupRecord) -> None:
        try:
            write_group(self._data_folder, group)
        except OSError as error:
            # The next start reads the group record from the registry instead.
            logger.warning("cannot save the group record: {}", error)

    @property
    def _data_folder(self) -> Path:
        assert self._config.data_folder is not None
        return Path(self._config.data_folder)

    def _group_config(self, group: GroupRecord) -> GroupConfig:
        folder = self._data_folder
        folder.mkdir(parents=True, exist_ok=True)
        is_founder = self._address in group.founders
        return GroupConfig(
            group=group.name,
            address=self._address,
            first_members=group.founders if is_founder else (),
            data_path=str(folder / f"{group.name}.sqlite"),
            heartbeat_interval_s=self._config.elections.heartbeat_s,
            election_timeout_min_s=self._config.elections.timeout_min_s,
            election_timeout_max_s=self._config.elections.timeout_max_s,
            log_kept_bytes=RETAINED_LOG_BYTES,
            rejoin_when_corrupt=True,
        )

    def _on_applied(self, machine: LotsStateMachine, replaced: bool) -> None:
        """Notify the runner when the set of open items may have changed.

        The flag is cleared only after the runner was notified, so that no change is missed.

        Args:
            machine: The replica's state machine.
            replaced: Whether the whole state was replaced (by a snapshot).
        """
        if self._runner is not None and (replaced or machine.open_items_changed):
            self._runner.changed()
            machine.open_items_changed = False

    def _endpoint(self) -> RpcEndpoint:
        endpoint = RpcEndpoint(CLUSTER_KEY, self._clock.wall_ms())
        endpoint.register(MessageKind.RAFT, self._on_raft)
        for kind in (MessageKind.PROPOSE, MessageKind.QUERY):
            endpoint.register(kind, self.host.serve_client)
        for kind in (MessageKind.FORWARDED_PROPOSE, MessageKind.FORWARDED_QUERY):
            endpoint.register(kind, self.host.serve_forwarded)
        endpoint.register(MessageKind.RECENT_QUERY, self._on_recent_query)
        endpoint.register(MessageKind.STATUS, self._on_status)
        endpoint.register(MessageKind.OPEN_ITEMS, self._on_open_items)
        return endpoint

    def _on_raft(self, envelope: Envelope, _peer: str) -> bytes:
        receivers = {name: replica.receive for name, replica in self._local.items()}
        return serve_raft(receivers, envelope)

    def _on_recent_query(self, envelope: Envelope, _peer: str) -> bytes:
        replica = self._local.get(envelope.group)
        if replica is None:
            return encode_reply(no_replica(envelope.group))
        return answer_recent(replica, envelope.body)

    def _on_open_items(self, envelope: Envelope, peer: str) -> bytes:
        request = decode(envelope.body, ReadItems, peer)
        if isinstance(request, Failure):
            return encode_reply(request)
        if self._runner is None:
            return encode_reply(no_replica(JOBS_GROUP))
        return encode_reply(self._runner.report_items(request))

    def _on_status(self, _envelope: Envelope, _peer: str) -> bytes:
        replica = self._local.get(JOBS_GROUP)
        if replica is None:
            return encode_reply(GroupMembership(leads=False, voters=(), members=()))
        status = replica.status()
        return encode_reply(
            GroupMembership(
                leads=status.role == "leader",
                voters=tuple(status.voters),
                members=(*status.voters, *status.learners),
            )
        )

    def _join(self) -> None:
        record = MemberRecord(
            name=self._config.name,
            role=MemberRole.STORE,
            address=self._address,
            zone=self._config.zone,
        )
        snapshot = self._follower.snapshot()
        if snapshot is not None and any(
            (item.name, item.address) == (record.name, record.address)
            for item in snapshot.view.members
        ):
            return
        # Also joins again when the other processes have removed this machine as gone.
        for hub in self._follower.hubs():
            reply = self._rpc.call(
                hub,
                MessageKind.PROPOSE,
                JoinMember(record),
                Done,
                group=REGISTRY_GROUP,
                timeout_s=COMMAND_TIMEOUT_S,
            )
            if not isinstance(reply, Failure):
                logger.info("joined the registry through {}", hub)
                return

    def _check_threads(self) -> None:
        """Log when the registry follower or the runner has made no progress for too long."""
        self._node_watch.check_registry_age(self._follower.age_s())
        runner = self._runner
        if runner is not None:
            self._node_watch.check_step_age(runner.step_age_s(), runner.describe_thread)

    def _maintain_group(self) -> None:
        """On the leader, request the voters that the registry names and delete old lots."""
        replica = self._local.get(JOBS_GROUP)
        snapshot = self._follower.snapshot()
        if replica is None or snapshot is None:
            return
        status = replica.status()
        group = snapshot.view.group(JOBS_GROUP)
        if status.role != "leader" or group is None:
            return
        now_s = self._clock.monotonic_s()
        wanted_voters = tuple(sorted(group.voters))
        if set(status.voters) != set(wanted_voters) and (
            self._requested_voters != wanted_voters
            or now_s - self._requested_s >= MEMBERSHIP_RETRY_S
        ):
            logger.info(
                "changing the group's voters to {}, currently {}", wanted_voters, status.voters
            )
            reply = replica.change_members(list(wanted_voters), COMMAND_TIMEOUT_S)
            if not isinstance(reply, Failure):
                self._requested_voters, self._requested_s = wanted_voters, now_s
        if now_s - self._lots_deleted_s >= DELETE_LOTS_INTERVAL_S:
            self._lots_deleted_s = now_s
            retention_ms = (self._config.bounds.status_s + RETENTION_MARGIN_S) * 1000
            command = ForgetLots(before_ms=self._clock.wall_ms() - int(retention_ms))
            replica.propose(encode_command(command), COMMAND_TIMEOUT_S)
