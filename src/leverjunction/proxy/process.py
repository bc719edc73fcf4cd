"""Gateway process that proxies routed requests to back ends."""

from __future__ import annotations

import asyncio
import math
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from random import Random

from loguru import logger
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from leverjunction.clock import SystemClock
from leverjunction.config.machine import MachineConfig
from leverjunction.listener import BACKLOG, STOP_SIGNALS
from leverjunction.pause_watch import BEAT_INTERVAL_S, PauseWatch
from leverjunction.proxy.admission_gate import AdmissionGate
from leverjunction.proxy.answer_buffer import AnswerBuffer
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_connection import CallerConnection, CallerPort, Responder
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.dialect import Dialect
from leverjunction.proxy.draining import Drain, close_listener
from leverjunction.proxy.forwarding import Forwarder, LocalHandler
from leverjunction.proxy.kept_answers import KeptAnswers
from leverjunction.proxy.load_socket import LoadSocket
from leverjunction.proxy.metrics import MAX_BACK_ENDS, ProxyMetrics
from leverjunction.proxy.quarantine import Quarantine
from leverjunction.proxy.quota_link import QuotaLink
from leverjunction.proxy.request_buffer import RequestBuffer
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.proxy.share_gate import ShareGate
from leverjunction.proxy.snapshot_publisher import SnapshotPublisher
from leverjunction.proxy.stop_schedule import StopSchedule
from leverjunction.proxy.stream_origins import StreamOrigins
from leverjunction.proxy.tenant_shares import TenantShares
from leverjunction.quota.local_limiter import LocalLimiter
from leverjunction.rates.rate_exchange import RateExchange
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.follower import MAX_AGE_S, RegistryFollower, Snapshot
from leverjunction.registry.origin_client import OriginClient
from leverjunction.registry.origin_reporter import rank_holders
from leverjunction.registry.records import JOBS_GROUP, MemberRecord, MemberRole
from leverjunction.registry.run_reporter import RunReporter
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import RequestLimits
from leverjunction.stop_request import StopRequest
from leverjunction.wire.rpc_client import RpcClient

LocalHandlerFactory = Callable[[RpcClient, RegistryFollower, str], LocalHandler]
"""Creates the handler of requests that the gateway answers itself; the last argument is a zone."""


class ProxyNode:
    """A gateway process: ports for callers, readiness and metrics, and a registry follower.

    Args:
        config: Settings of the machine.
        dialect: Translates headers.
        ready_path: Path that answers 200 on the readiness port while callers may be sent here.
        make_local_handler: Creates the handler of requests that the gateway answers itself.
        callers_listener: Listening socket for callers; None to open one at the start.
        stop_request: Has listened for stop signals since the process began; None to begin now.
    """

    def __init__(
        self,
        config: MachineConfig,
        dialect: Dialect,
        ready_path: str,
        make_local_handler: LocalHandlerFactory,
        callers_listener: socket.socket | None = None,
        stop_request: StopRequest | None = None,
    ) -> None:
        self._config = config
        self._stop_request = stop_request or StopRequest()
        self._pauses = PauseWatch()
        self._ready_path = ready_path
        self._callers_listener = callers_listener
        self._loop = asyncio.get_running_loop()
        self._random = Random()
        self._clock = clock = SystemClock()
        self._rpc = RpcClient(CLUSTER_KEY, clock.wall_ms())
        self._balancer = Balancer(
            config.zone,
            self._random,
            config.policies.spread_requests,
            config.policies.weigh_rates,
        )
        self._pool = RunnerPool()
        self._metrics_registry = CollectorRegistry()
        self._metrics = ProxyMetrics(self._metrics_registry)
        self._decision_log = decision_log = DecisionLog(clock, self._metrics)
        self._index: RouteIndex | None = None
        self._replaced_until_s = math.inf
        """Earliest time up to which a state that the next one replaces was known to be complete."""
        self._follower = RegistryFollower(
            self._rpc,
            config.seed_addresses(),
            "",
            clock,
            self._random,
            self._on_snapshot,
            config.zone,
            config.name,
            self._on_confirmed,
        )
        self._confirmed_s = -math.inf
        self._schedule = StopSchedule()
        self._limiter = LocalLimiter(self._random, config.bounds.quota())
        self._shares = TenantShares(self._random) if config.policies.fair_tenants else None
        self._loads = LoadSocket(
            config.name,
            CLUSTER_KEY,
            clock.wall_ms(),
            self._store_addresses,
            lambda: self._balancer.order,
            self._set_shared_loads,
            QuotaLink(
                config.name, self._limiter, self._has_tenants, self._quota_owners, self._shares
            ),
            RateExchange(self._balancer.rates) if config.policies.weigh_rates else None,
        )
        self._reporter = RunReporter(self._rpc, self._follower.hubs, clock)
        self._quarantine = Quarantine(self._reporter)
        self._origins = StreamOrigins(
            view_age_s=self._applied_age_s,
            max_view_age_s=config.bounds.in_force_ms / 1000,
            shared=self._follower.shared_revisions,
            drain_s=config.bounds.drain_ms / 1000,
        )
        self._origin_client = OriginClient(
            self._rpc, self._origin_holders, self._controls, self._origins.live
        )
        self._origins.directory = self._origin_client
        sender = Sender(
            self._pool,
            self._balancer,
            dialect,
            self._loads.runner_changed,
            lambda owner: self._metrics.answers.labels(owner.value).inc(),
        )
        self._gate = gate = AdmissionGate(
            self._balancer, sender, self._loads.held_changed, self._share_gate()
        )
        self._forwarder = Forwarder(
            sender,
            self._balancer,
            dialect,
            decision_log,
            self._random,
            make_local_handler(self._rpc, self._follower, config.zone),
            gate if config.policies.hold_late_requests else None,
            self._quarantine,
            self._applied_age_s,
            config.bounds.in_force_ms / 1000,
            self._follower.is_in_doubt,
            self._origins,
            config.bounds.max_key_age_s(),
            self._limiter,
            self._follower.last_pause_end_s,
            self._schedule,
        )
        self._snapshot_publisher = SnapshotPublisher(
            {
                "route table": self._take_table,
                "back ends": self._take_back_ends,
                "suspects": self._take_suspects,
            }
        )
        self._kept_answers = KeptAnswers(
            AnswerBuffer.for_memory(config.memory_mb),
            lambda reason: self._metrics.dropped_answers.labels(reason).inc(),
        )
        self._request_buffer = RequestBuffer.for_memory(config.memory_mb)
        self._port = CallerPort(
            self._forwarder.handle,
            self._request_limits,
            self._kept_answers if config.policies.read_ahead else None,
            self._request_buffer,
        )
        self._metrics_caller_port = CallerPort(self._respond_metrics, RequestLimits)
        self._ready_port = CallerPort(self._respond_readiness, RequestLimits)
        self._stopping = False
        self._caller_server: asyncio.Server | None = None
        self._readiness_server: asyncio.Server | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop after the requests in progress."""
        stop_requested = asyncio.Event()

        def request_stop() -> None:
            self.note_stop()
            stop_requested.set()

        for number in STOP_SIGNALS:
            self._loop.add_signal_handler(number, request_stop)
        self._loop.add_signal_handler(signal.SIGHUP, lambda: logger.info("ignoring SIGHUP"))
        if self._stop_request.requested_s is not None:
            stop_requested.set()
        await self.start()
        await stop_requested.wait()
        await self._drain()
        self.close()
        logger.info("stopped")

    def note_stop(self) -> None:
        """Note that the process is asked to stop, unless that is known; call it on the loop."""
        self._stop_request.note(self._pauses.earliest_s(self._loop.time()))

    async def start(self) -> None:
        """Open the ports and start to follow the registry."""
        self._beat()
        self._caller_server = await self._listen(
            self._port, self._config.listen.callers, self._callers_listener
        )
        self._readiness_server = await self._listen(self._ready_port, self._config.listen.ready)
        if self._config.metrics_port:
            host = self._config.listen.ready.rpartition(":")[0]
            await self._listen(self._metrics_caller_port, f"{host}:{self._config.metrics_port}")
        if self._config.policies.tell_online_loads:
            await self._loads.start(self._config.listen.rpc)
        self._follower.start()
        self._reporter.start()
        self._origin_client.start()
        logger.info("gateway {} started", self._config.name)

    def close(self) -> None:
        """Close everything at once, also requests in progress."""
        for server in (self._caller_server, self._readiness_server):
            if server is not None:
                server.close()
        self._follower.stop()
        self._snapshot_publisher.close()
        self._reporter.stop()
        self._origin_client.stop()
        self._loads.stop()
        self._pool.close()

    def _beat(self) -> None:
        self._pauses.beat(self._loop.time())
        self._loop.call_later(BEAT_INTERVAL_S, self._beat)

    async def _listen(
        self, port: CallerPort, address: str, listener: socket.socket | None = None
    ) -> asyncio.Server:
        def connect() -> CallerConnection:
            return CallerConnection(port)

        if listener is not None:
            return await self._loop.create_server(connect, sock=listener, backlog=BACKLOG)
        host, _, number = address.rpartition(":")
        return await self._loop.create_server(connect, host, int(number), backlog=BACKLOG)

    async def _drain(self) -> None:
        """Report not ready, and answer the requests in progress within the grace period."""
        self._stopping = True
        self.note_stop()
        assert self._stop_request.requested_s is not None
        self._schedule.begin(self._stop_request.requested_s, self._config.bounds.stop_grace_s)
        self._forwarder.begin_stop()
        await Drain(self._port, self._schedule, self._stop_accepting).run()
        self._decision_log.flush()

    async def _stop_accepting(self) -> None:
        server, listener = self._caller_server, self._callers_listener
        if server is None:
            return
        if listener is None:
            server.close()
            return
        await close_listener(server, listener, lambda: CallerConnection(self._port))

    def _request_limits(self) -> RequestLimits:
        return RequestLimits() if self._index is None else self._index.table.limits

    def _has_tenants(self) -> bool:
        return self._index is not None and self._index.has_tenants

    def _share_gate(self) -> ShareGate | None:
        metrics = self._metrics
        if self._shares is None:
            return None
        return ShareGate(
            self._shares,
            lambda tenant, decision: metrics.beyond_share.labels(tenant, decision).inc(),
            lambda tenant, outcome: metrics.returned.labels(tenant, outcome).inc(),
        )

    def _store_addresses(self) -> tuple[str, ...]:
        snapshot = self._follower.snapshot()
        return snapshot.view.voters(JOBS_GROUP) if snapshot is not None else ()

    def _quota_owners(self) -> list[str]:
        # Stores of an earlier release own the limits until all of them are replaced.
        return [*self._follower.hubs(), *self._store_addresses()]

    def _origin_holders(self, number: int) -> list[str]:
        """Return the control processes that a reporter of origins uses, the best one first."""
        return rank_holders(self._config.name, self._control_members(), number)

    def _control_members(self) -> list[MemberRecord]:
        snapshot = self._follower.snapshot()
        members = () if snapshot is None else snapshot.view.members
        return [item for item in members if item.role is MemberRole.CONTROL]

    def _controls(self) -> list[str]:
        """Return the addresses of all control processes that may hold origins."""
        return [item.address for item in self._control_members()] or self._follower.hubs()

    def _set_shared_loads(self, others: dict[str, int], lag_s: float) -> None:
        self._balancer.set_other_loads(others, self._loop.time(), lag_s)

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        """Pass a newer registry snapshot to the event loop; called on the follower's thread."""
        # The follower has confirmed only the state before it by now.
        known_until_s = self._loop.time() - self._follower.verified_age_s()
        self._loop.call_soon_threadsafe(self._publish, snapshot, known_until_s)

    def _publish(self, snapshot: Snapshot, known_until_s: float) -> None:
        # A state that could not be taken is replaced together with the next one.
        self._replaced_until_s = min(self._replaced_until_s, known_until_s)
        self._snapshot_publisher.publish(snapshot)

    def _on_confirmed(self, until_s: float) -> None:
        """Tell the event loop how new its state is; called on the follower's thread.

        The follower knows of a newer state before the event loop has applied it.
        """
        # The loop has closed if the gateway stops.
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._confirm, until_s)

    def _confirm(self, until_s: float) -> None:
        self._confirmed_s = until_s
        self._origins.review()

    def _applied_age_s(self) -> float:
        """Return the upper bound of the age of the state that the event loop uses, in seconds."""
        return min(self._clock.monotonic_s() - self._confirmed_s, MAX_AGE_S)

    def _take_table(self, snapshot: Snapshot) -> None:
        current_version = self._index.table.version if self._index is not None else 0
        if snapshot.table.version > current_version:
            index = RouteIndex(snapshot.table)
            self._forwarder.set_table(index)
            self._index = index

    def _take_back_ends(self, snapshot: Snapshot) -> None:
        # Acknowledged with the next watch call, even if the balancer cannot take the back ends.
        self._origins.update(snapshot.view, self._replaced_until_s)
        self._balancer.replace(snapshot.view.runners, self._origins.reachable_departures())
        self._replaced_until_s = math.inf

    def _take_suspects(self, snapshot: Snapshot) -> None:
        self._quarantine.replace(snapshot.view.runners, snapshot.suspects)

    async def _respond_metrics(self, _request: CallerRequest, responder: Responder) -> None:
        version = self._index.table.version if self._index is not None else 0
        self._metrics.table_version.set(version)
        self._metrics.contact_age_s.set(self._follower.age_s())
        self._metrics.table_age_s.set(self._follower.table_age_s())
        self._metrics.standstills.set(self._follower.standstills)
        self._metrics.failing_receivers.set(self._snapshot_publisher.failing())
        suspects, refused = self._quarantine.counts()
        self._metrics.suspects.labels("suspect").set(suspects - refused)
        self._metrics.suspects.labels("refused").set(refused)
        self._metrics.ended_runs.set(self._quarantine.ended_runs)
        self._metrics.back_ends.clear()
        for (service, software), count in self._balancer.counts().items():
            self._metrics.back_ends.labels(service, software).set(count)
        self._kept_answers.count_all()
        self._metrics.kept_answers.set(self._kept_answers.buffer.count)
        self._metrics.kept_bytes.set(self._kept_answers.buffer.total_bytes)
        self._metrics.kept_bytes_limit.set(self._kept_answers.buffer.limit_bytes)
        self._metrics.read_pauses.set(self._port.read_pauses)
        self._metrics.refused_for_room.set(self._port.refused_for_room)
        self._metrics.request_bytes.set(self._request_buffer.total_bytes)
        self._metrics.request_bytes_limit.set(self._request_buffer.limit_bytes)
        self._show_rates()
        for service, (held, oldest_s) in self._gate.waiting().items():
            self._metrics.held.labels(service).set(held)
            self._metrics.oldest_held_s.labels(service).set(oldest_s)
        headers = [(b"Content-Type", CONTENT_TYPE_LATEST.encode())]
        responder.respond(200, headers, generate_latest(self._metrics_registry))

    def _show_rates(self) -> None:
        metrics, now_s = self._metrics, self._loop.time()
        for gauge in (metrics.back_end_speed, metrics.back_end_pace, metrics.back_end_rate_age_s):
            gauge.clear()
        for start, rate in self._balancer.uneven_rates(now_s, MAX_BACK_ENDS):
            metrics.back_end_speed.labels(start).set(rate.speed(now_s))
            metrics.back_end_pace.labels(start).set(rate.pace(now_s))
            metrics.back_end_rate_age_s.labels(start).set(rate.age_s(now_s))

    async def _respond_readiness(self, request: CallerRequest, responder: Responder) -> None:
        if request.path != self._ready_path:
            responder.respond(404, [], b"")
            return
        ready = self._index is not None and not self._stopping
        responder.respond(200 if ready else 503, [], b"")
