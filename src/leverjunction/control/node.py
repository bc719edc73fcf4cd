"""Assembles and runs the components of a control process."""

from __future__ import annotations

import random as random_module
from pathlib import Path

from loguru import logger
from prometheus_client import CollectorRegistry

from leverjunction.api.operators import OperatorsApi
from leverjunction.api.operators_app import build_operators_app
from leverjunction.api.probes import ProbesApi
from leverjunction.backends.client import EngineClient
from leverjunction.backends.machine_list import MachineListClient
from leverjunction.clock import Clock
from leverjunction.config.control import ControlConfig, ControlPeer
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.consensus.group import start_replica
from leverjunction.control.group_host import GroupHost
from leverjunction.control.http_server import operators_server
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.hub_sync import HubSyncTasks, RenewalTask
from leverjunction.control.layout import ROOT_GROUP, group_names, job_group_names, voters_of
from leverjunction.control.lease_expiry import TICK_INTERVAL_S, LeaseExpiry
from leverjunction.control.machine_source import MachineSource
from leverjunction.control.messages import HubState
from leverjunction.control.metrics import ControlMetrics
from leverjunction.control.periodic import PeriodicTask, stop_all
from leverjunction.control.placement_runner import PlacementRunner
from leverjunction.control.quorum import LocalRoot, RemoteRoot
from leverjunction.control.raft_transport import RpcRaftTransport
from leverjunction.control.replicas import build_replicas
from leverjunction.control.rpc_handlers import build_endpoint
from leverjunction.control.runner_watch import WATCH_INTERVAL_S, RunnerWatch
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.control.status import ClusterStatus, cluster_status
from leverjunction.control.voter_placement import VoterPlacement
from leverjunction.wire.http_thread import HttpServer
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcServer

RPC_THREADS = 112
"""More than the proposals and queries that may wait (twice 32), so that consensus messages and
exchanges always get a thread."""

SETTINGS_INTERVAL_S = 0.1
MEMBERSHIP_INTERVAL_S = 0.5
VOTERS_INTERVAL_S = 2.0
MAX_QUORUM_AGE_S = 2.0


class ControlNode:
    """A control process. ``start`` returns once its ports listen; ``stop`` shuts it down cleanly.

    Args:
        config: Configuration of the process.
        clock: Source of time.
        registry: Prometheus registry for the metrics.
    """

    def __init__(self, config: ControlConfig, clock: Clock, registry: CollectorRegistry) -> None:
        self.config = config
        self._clock = clock
        self._metrics = ControlMetrics(registry)
        self._incarnation = clock.wall_ms()
        self._stopping = False
        self._address = _own_address(config)
        cluster_key = _read_secret(config.cluster_key_file)
        self._rpc = RpcClient(cluster_key, self._incarnation)
        self._engines = EngineClient()
        self.replicas = build_replicas(
            config, self._address, RpcRaftTransport(self._rpc), clock, random_module.Random()
        )
        wanted = {name: _addresses(voters_of(name, config)) for name in group_names(config)}
        groups: dict[str, ReplicatedGroup] = dict(self.replicas)
        jobs = {name: groups[name] for name in job_group_names(config.job_groups) if name in groups}
        self._expiry = LeaseExpiry(jobs, clock)
        self.host = GroupHost(
            self._address,
            groups,
            wanted,
            self._rpc,
            clock,
            self._expiry.committed,
        )
        self._root = self._root_reader()
        self.mirror = SettingsMirror(self._root.read)
        self.hub = Hub(self._identity(), self.mirror, clock, self._root.quorum_age_s)
        if isinstance(self._root, RemoteRoot):
            self._root.hub = self.hub
        endpoint = build_endpoint(
            cluster_key,
            self._incarnation,
            self.hub,
            self.host,
            self.replicas,
            self._expiry,
            self._metrics,
        )
        listen = config.listen
        self._rpc_server = RpcServer(listen.host, listen.rpc_port, endpoint, RPC_THREADS)
        self._http_server = self._build_http(registry)
        machines = MachineSource(
            MachineListClient(config.machine_list_url),
            self.hub,
            self._rpc,
            config.machine_list_interval_s,
        )
        peers = {peer.name: peer.rpc_address for peer in config.peers if peer.name != config.name}
        zones = {peer.name: peer.zone for peer in config.peers}
        self._sync = HubSyncTasks(self.hub, self._rpc, peers, self.state)
        self.hub.on_change = self._sync.wake
        self._watch = RunnerWatch(self.hub, self._engines, config.name, zones)
        job_names = job_group_names(config.job_groups)
        self._renewals = RenewalTask(self.hub, self.host, self._expiry, job_names)
        self._placement = PlacementRunner(
            name=config.name,
            replica=groups.get(ROOT_GROUP),
            host=self.host,
            hub=self.hub,
            mirror=self.mirror,
            engines=self._engines,
            clock=clock,
            random=random_module.Random(),
            counters=self._metrics,
            max_loads=config.max_loads_at_once,
        )
        voters = VoterPlacement(self.replicas, wanted)
        self._tasks = [
            PeriodicTask("placement", config.placement_interval_s, self._placement.tick),
            PeriodicTask("settings", SETTINGS_INTERVAL_S, self._refresh_settings),
            PeriodicTask("machine-list", config.machine_list_interval_s, machines.tick),
            PeriodicTask("runner-watch", WATCH_INTERVAL_S, self._watch.tick),
            PeriodicTask("lease-expiry", TICK_INTERVAL_S, self._expiry.tick),
            PeriodicTask("membership", MEMBERSHIP_INTERVAL_S, self._expire_members),
            PeriodicTask("voters", VOTERS_INTERVAL_S, voters.tick),
        ]

    def start(self) -> None:
        """Start all components.

        Raises:
            OSError: A port is in use.
        """
        self._rpc_server.start()
        for name, replica in self.replicas.items():
            failure = start_replica(replica)
            if failure is not None:
                logger.error("cannot start the replica of group {}: {}", name, failure.reason)
        self._http_server.start()
        for task in self._tasks:
            task.start()
        self._sync.start()
        self._renewals.start()
        logger.info(
            "control process started, incarnation {}, groups {}",
            self._incarnation,
            list(self.replicas),
        )

    def stop(self) -> None:
        """Transfer leadership, finish the calls in progress and close all files and connections."""
        self._stopping = True
        logger.info("stopping")
        stop_all(self._tasks)
        self._renewals.stop()
        self._sync.stop()
        # The replicas transfer leadership while peers and gateways can still reach this process.
        for replica in self.replicas.values():
            replica.stop()
        self._http_server.stop()
        self._rpc_server.stop()
        self._watch.close()
        self._engines.close()
        self._rpc.close()
        logger.info("stopped")

    def state(self) -> HubState:
        """Return the state of this process that is sent to the other hubs."""
        return HubState(
            name=self.config.name,
            rpc_address=self._address,
            zone=self.config.zone,
            incarnation=self._incarnation,
            settings_version=self.mirror.version,
            quorum_age_s=round(self._root.quorum_age_s(), 3),
            machine_list_as_of_ms=self.hub.machine_list_as_of_ms(),
            groups=self.host.statuses(),
        )

    def status(self) -> ClusterStatus:
        """Return the status of the cluster for the operators' API."""
        return cluster_status(
            self.state(),
            self.hub,
            self.host,
            self.mirror,
            [peer.name for peer in self.config.peers],
            job_group_names(self.config.job_groups),
            self._placement.status(),
        )

    def _root_reader(self) -> LocalRoot | RemoteRoot:
        voters = _addresses(voters_of(ROOT_GROUP, self.config))
        if self._address in voters:
            return LocalRoot(self.replicas[ROOT_GROUP], self._clock)
        # The process may still run a replica of root that the layout has moved away. That replica
        # falls behind once the group has removed it, so it is not used for reads.
        return RemoteRoot(self._rpc, voters, self._clock)

    def _identity(self) -> HubIdentity:
        config = self.config
        return HubIdentity(
            name=config.name,
            rpc_address=self._address,
            zone=config.zone,
            incarnation=self._incarnation,
            peers={peer.name: peer.rpc_address for peer in config.peers},
            zones={peer.name: peer.zone for peer in config.peers},
            job_groups=config.job_groups,
        )

    def _build_http(self, registry: CollectorRegistry) -> HttpServer:
        token = _read_secret(self.config.operator_token_file).decode()
        operators = OperatorsApi(
            self.host, job_group_names(self.config.job_groups), self.status, token
        )
        app = build_operators_app(operators, ProbesApi(registry, self._not_ready))
        return operators_server(self.config.listen.host, self.config.listen.http_port, app)

    def _not_ready(self) -> str | None:
        if self._stopping:
            return "stopping"
        age_s = self._root.quorum_age_s()
        if age_s > MAX_QUORUM_AGE_S:
            return f"no contact with the leader of group root for {age_s:.1f} s"
        return None

    def _refresh_settings(self) -> None:
        if self.mirror.refresh():
            settings = self.mirror.settings
            drains = [settings.draining_runners(name) for name in settings.names("services")]
            self.hub.set_drains(runner for names in drains for runner in names)

    def _expire_members(self) -> None:
        self.hub.expire()
        age_s = self._root.quorum_age_s()
        self._metrics.gateways.set(self.hub.gateway_count())
        self._metrics.runners.set(len(self.hub.runners()))
        self._metrics.settings_version.set(self.mirror.version)
        self._metrics.quorum_age_s.set(age_s)
        self._metrics.stale.set(1 if age_s > MAX_QUORUM_AGE_S else 0)


def _own_address(config: ControlConfig) -> str:
    """Return the RPC address of this process, as given in ``peers``."""
    for peer in config.peers:
        if peer.name == config.name:
            return peer.rpc_address
    raise OSError(f"peers does not contain this process, {config.name!r}")


def _addresses(peers: list[ControlPeer]) -> list[str]:
    return [peer.rpc_address for peer in peers]


def _read_secret(path: Path) -> bytes:
    secret = path.read_bytes().strip()
    if not secret:
        raise OSError(f"secret file {path} is empty")
    return secret
