"""The gateway process of a deployment with routed requests."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from random import Random

from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from leverjunction.clock import SystemClock
from leverjunction.config.machine import MachineConfig
from leverjunction.proxy.admission_gate import AdmissionGate
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_connection import (
    CallerConnection,
    CallerPort,
    CallerRequest,
    Responder,
)
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.dialect import Dialect
from leverjunction.proxy.forwarding import Forwarder, LocalHandler
from leverjunction.proxy.load_port import LoadPort
from leverjunction.proxy.metrics import ProxyMetrics
from leverjunction.proxy.quarantine import Quarantine
from leverjunction.proxy.registry_intake import RegistryIntake
from leverjunction.proxy.runner_connection import RunnerPool
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.follower import RegistryFollower, Snapshot
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.registry.run_reporter import RunReporter
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import RequestLimits
from leverjunction.wire.rpc_client import RpcClient

LISTEN_BACKLOG = 1024
ACCEPT_AFTER_STOP_S = 3.0
"""After a stop was asked for: callers are sent here until the platform has looked twice."""

STOP_MARGIN_S = 0.7
"""Left of the grace time for the end itself."""

POLL_S = 0.05

MakeLocal = Callable[[RpcClient, RegistryFollower, str], LocalHandler]
"""Makes the handler of what is no request for a back end."""


class ProxyNode:
    """One gateway: callers' port, readiness port, follower of the registry."""

    def __init__(
        self,
        config: MachineConfig,
        dialect: Dialect,
        ready_path: str,
        make_local: MakeLocal,
    ) -> None:
        self._config = config
        self._ready_path = ready_path
        self._loop = asyncio.get_running_loop()
        self._random = Random()
        clock = SystemClock()
        self._rpc = RpcClient(CLUSTER_KEY, clock.wall_ms())
        self._balancer = Balancer(config.zone, self._random, config.policies.spread_requests)
        self._pool = RunnerPool()
        self._figures = CollectorRegistry()
        self._metrics = ProxyMetrics(self._figures)
        decision_log = DecisionLog(clock, self._metrics)
        self._index: RouteIndex | None = None
        self._follower = RegistryFollower(
            self._rpc, config.seed_addresses(), "", clock, self._random, self._on_registry
        )
        self._loads = LoadPort(
            config.name,
            CLUSTER_KEY,
            clock.wall_ms(),
            self._stores,
            lambda: self._balancer.order,
            self._others_told,
        )
        self._reporter = RunReporter(self._rpc, self._follower.hubs, clock)
        self._quarantine = Quarantine(self._reporter)
        sender = Sender(self._pool, self._balancer, dialect, self._loads.runner_changed)
        self._gate = gate = AdmissionGate(self._balancer, sender, self._loads.held_changed)
        self._forwarder = Forwarder(
            sender,
            self._balancer,
            dialect,
            decision_log,
            self._random,
            make_local(self._rpc, self._follower, config.zone),
            gate if config.policies.hold_late_requests else None,
            self._quarantine,
            self._follower.table_age_s,
            config.bounds.in_force_ms / 1000,
            self._follower.is_in_doubt,
        )
        self._intake = RegistryIntake(
            {
                "route table": self._take_table,
                "back ends": self._take_back_ends,
                "suspects": self._take_suspects,
            }
        )
        self._port = CallerPort(self._forwarder.handle, self._limits)
        self._figures_port = CallerPort(self._answer_figures, RequestLimits)
        self._ready_port = CallerPort(self._answer_ready, RequestLimits)
        self._stopping = False
        self._callers: asyncio.Server | None = None
        self._ready: asyncio.Server | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop without cutting a request."""
        stop_asked = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, stop_asked.set)
        self._loop.add_signal_handler(signal.SIGHUP, lambda: logger.info("settings may change"))
        await self.start()
        await stop_asked.wait()
        await self._drain()
        self.close()
        logger.info("stopped")

    async def start(self) -> None:
        """Listen, and follow the registry."""
        self._callers = await self._listen(self._port, self._config.listen.callers)
        self._ready = await self._listen(self._ready_port, self._config.listen.ready)
        if self._config.metrics_port:
            host = self._config.listen.ready.rpartition(":")[0]
            await self._listen(self._figures_port, f"{host}:{self._config.metrics_port}")
        if self._config.policies.tell_online_loads:
            await self._loads.start(self._config.listen.rpc)
        self._follower.start()
        self._reporter.start()
        logger.info("gateway {} started", self._config.name)

    def close(self) -> None:
        """Close all, answered or not."""
        for server in (self._callers, self._ready):
            if server is not None:
                server.close()
        self._follower.stop()
        self._intake.close()
        self._reporter.stop()
        self._loads.stop()
        self._pool.close()

    async def _listen(self, port: CallerPort, address: str) -> asyncio.Server:
        host, _, number = address.rpartition(":")
        return await self._loop.create_server(
            lambda: CallerConnection(port), host, int(number), backlog=LISTEN_BACKLOG
        )

    async def _drain(self) -> None:
        """Not ready at once; take what still comes for a while; answer all."""
        logger.info("stopping")
        self._stopping = True
        self._port.draining = True
        started_s = self._loop.time()
        await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        if self._callers is not None:
            self._callers.close()
        end_s = started_s + self._config.bounds.stop_grace_s - STOP_MARGIN_S
        while self._loop.time() < end_s:
            self._port.close_idle()
            if not self._port.count_busy():
                return
            await asyncio.sleep(POLL_S)

    def _limits(self) -> RequestLimits:
        return RequestLimits() if self._index is None else self._index.table.limits

    def _stores(self) -> tuple[str, ...]:
        snapshot = self._follower.snapshot()
        return snapshot.view.voters(JOBS_GROUP) if snapshot is not None else ()

    def _others_told(self, others: dict[str, int], lag_s: float) -> None:
        self._balancer.shared(others, self._loop.time(), lag_s)

    def _on_registry(self, snapshot: Snapshot) -> None:
        """Take a newer registry (follower's thread)."""
        self._loop.call_soon_threadsafe(self._intake.take, snapshot)

    def _take_table(self, snapshot: Snapshot) -> None:
        held = self._index.table.version if self._index is not None else 0
        if snapshot.table.version > held:
            index = RouteIndex(snapshot.table)
            self._forwarder.set_table(index)
            self._index = index

    def _take_back_ends(self, snapshot: Snapshot) -> None:
        self._balancer.replace(snapshot.view.runners)

    def _take_suspects(self, snapshot: Snapshot) -> None:
        self._quarantine.replace(snapshot.view.runners, snapshot.suspects)

    async def _answer_figures(self, _request: CallerRequest, responder: Responder) -> None:
        version = self._index.table.version if self._index is not None else 0
        self._metrics.table_version.set(version)
        self._metrics.contact_age_s.set(self._follower.age_s())
        self._metrics.table_age_s.set(self._follower.table_age_s())
        self._metrics.standstills.set(self._follower.standstills)
        self._metrics.failing_receivers.set(self._intake.failing())
        suspects, refused = self._quarantine.counts()
        self._metrics.suspects.labels("suspect").set(suspects - refused)
        self._metrics.suspects.labels("refused").set(refused)
        self._metrics.ended_runs.set(self._quarantine.ended_runs)
        for service, (held, oldest_s) in self._gate.waiting().items():
            self._metrics.held.labels(service).set(held)
            self._metrics.oldest_held_s.labels(service).set(oldest_s)
        headers = [(b"Content-Type", CONTENT_TYPE_LATEST.encode())]
        responder.respond(200, headers, generate_latest(self._figures))

    async def _answer_ready(self, request: CallerRequest, responder: Responder) -> None:
        if request.path != self._ready_path:
            responder.respond(404, [], b"")
            return
        ready = self._index is not None and not self._stopping
        responder.respond(200 if ready else 503, [], b"")
