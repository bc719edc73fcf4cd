"""Composition of a gateway from its components, for the gateway process and the tests."""

from __future__ import annotations

import random
import threading
from pathlib import Path

from loguru import logger

from leverjunction.api.app import build_app
from leverjunction.api.batches import BatchApi
from leverjunction.api.completions import CompletionsApi
from leverjunction.api.decisions import DecisionsApi
from leverjunction.api.models import ModelsApi
from leverjunction.api.probes import ProbesApi
from leverjunction.backends.client import EngineClient
from leverjunction.clock import SystemClock, steady_s
from leverjunction.config.gateway import GatewayConfig
from leverjunction.gateway.admission_gate import AdmissionGate
from leverjunction.gateway.cache_feed import CacheFeed
from leverjunction.gateway.claims import ClaimClient
from leverjunction.gateway.crashing_requests import CrashingRequests
from leverjunction.gateway.decision_log import DecisionLog
from leverjunction.gateway.evidence_sharing import EvidenceSharing
from leverjunction.gateway.exchange import DigestOutbox, ExchangeLoop
from leverjunction.gateway.harvest import BatchHarvest
from leverjunction.gateway.http_server import StreamingServer
from leverjunction.gateway.inflight import InflightRequests
from leverjunction.gateway.internal_rpc import build_endpoint
from leverjunction.gateway.online import GatewayLocation, OnlineService
from leverjunction.gateway.orphan_sweeper import OrphanSweeper
from leverjunction.gateway.owner import RunnerPoller
from leverjunction.gateway.ownership import OwnedRunners
from leverjunction.gateway.relay import RelayLoop
from leverjunction.gateway.retry import RetryBudget
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.sender import Sender
from leverjunction.gateway.settings_store import SettingsStore
from leverjunction.gateway.stream_session import StreamDependencies
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.gateway.yielding import YieldNotifier
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionRing
from leverjunction.settings.cache import SettingsCache
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import GatewayState
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcServer

MIN_RESERVED_THREADS = 2
RESERVED_THREADS_DIVISOR = 8
"""One request thread in this many is reserved, but at least ``MIN_RESERVED_THREADS``."""

LAST_ANSWERS_S = 2.0
"""Time for the answers that are given because the drain has timed out."""


class GatewayRuntime:
    """A gateway with all its components and threads.

    ``start`` returns once the gateway listens. For a planned stop, call ``drain``, then ``stop``.

    Args:
        config: Configuration of the gateway.
    """

    def __init__(self, config: GatewayConfig) -> None:
        self.config = config
        self.clock = SystemClock()
        self.incarnation = self.clock.wall_ms()
        generator = random.Random()
        cluster_key = _read_secret(config.cluster_key_file)
        self.counters = GatewayCounters()
        self.ring = DecisionRing(random.Random())
        self.inflight = InflightRequests(
            config.request_threads - _reserved_threads(config.request_threads)
        )
        self.uploads = InflightRequests()
        self.view = ClusterView(self.clock)
        config.data_folder.mkdir(parents=True, exist_ok=True)
        self.settings = SettingsStore(SettingsCache(config.data_folder))
        self.rpc_client = RpcClient(cluster_key, self.incarnation)
        self.control = ControlClient(self.rpc_client, list(config.hubs))
        self.engines = EngineClient()
        self.pool = RunnerPool(self.view, config.zone, self.clock, generator)
        self.outbox = DigestOutbox()
        self.harvest = BatchHarvest(
            self.control,
            self.engines,
            self.clock,
            config,
            self.counters.registry,
            self.incarnation,
            self.view.is_in_doubt,
            self.view.last_pause_end_s,
        )
        self.sweeper = OrphanSweeper(
            self.engines, self.clock, self.counters, config.name, self.incarnation
        )
        self.notifier = YieldNotifier(
            config.name, self.view, self.control, self.harvest, self.clock, self.counters
        )
        self.cache_feed = CacheFeed(self.engines, self.pool, self.counters)
        self.runner_poller = RunnerPoller(
            self.engines,
            self.view,
            self.pool,
            self.outbox,
            self.harvest.observe_load,
            self.cache_feed,
            has_batch=self.harvest.holds_work,
        )
        self.exchange = ExchangeLoop(
            self.control,
            self.identity,
            self.view,
            self.settings,
            self.outbox,
            self.harvest,
            self.counters,
            config.exchange_interval_s,
            self._on_view,
        )
        self.gate = AdmissionGate(self.clock, self.counters, config.request_threads // 2)
        self.relay = RelayLoop(self.counters)
        self.crashing_requests = CrashingRequests(self.clock)
        self.evidence_sharing = self._evidence_sharing(generator)
        self.online = self._online_service()
        endpoint = build_endpoint(
            cluster_key,
            self.incarnation,
            self.harvest,
            self.counters,
            self.identity,
            self.crashing_requests,
        )
        self.rpc_server = RpcServer(config.listen.host, config.listen.rpc_port, endpoint)
        self.http_server = self._http_server()
        self._http_thread: threading.Thread | None = None
        self._known_services: set[str] = set()
        self._owned = OwnedRunners(config.name)

    @property
    def http_address(self) -> str:
        """``host:port`` of the HTTP server for callers; valid after ``start``."""
        host, port = self.http_server.bind_addr[:2]
        return f"{host}:{port}"

    def identity(self) -> GatewayState:
        """Return this gateway's current state, as it is reported to the hub."""
        return GatewayState(
            gateway_id=self.config.name,
            address=self.http_address,
            rpc_address=self.rpc_server.address,
            zone=self.config.zone,
            incarnation=self.incarnation,
            stopping=self.inflight.stopping,
            settings_version=self.settings.current.version,
        )

    def not_ready(self) -> str | None:
        """Return the reason why this gateway is not ready for requests, None if it is."""
        if self.inflight.stopping:
            return "stopping"
        if self.settings.current.version == 0:
            return "no settings yet"
        if self.view.snapshot.view_version == 0:
            return "no view of the cluster yet"
        return None

    def start(self) -> None:
        """Load the saved settings, start all threads and listen.

        Raises:
            OSError: A port is in use or not available.
        """
        version = self.settings.load_copy()
        self.counters.settings_version.set(version)
        self.relay.start()
        self.rpc_server.start()
        self.http_server.prepare()
        self.http_server.guard.start()
        self._http_thread = threading.Thread(
            target=self.http_server.serve, name="http-server", daemon=True
        )
        self._http_thread.start()
        self.runner_poller.start()
        self.exchange.start()
        logger.info("gateway listening on {}, settings version {}", self.http_address, version)

    def drain(self) -> bool:
        """Refuse new requests, return the batch leases and wait for the open requests.

        Returns:
            False if requests were still open after ``drain_timeout_s``.
        """
        logger.info("stopping: refusing new requests")
        self.inflight.begin_stop()
        self.uploads.begin_stop()
        self.http_server.is_stopping = True
        deadline_s = steady_s() + self.config.drain_timeout_s
        self.exchange.exchange_once()
        self.harvest.stop()
        # Queued requests were accepted before the stop: they are still served or refused.
        idle = self.inflight.wait_idle(max(0.0, deadline_s - steady_s()))
        self.gate.stop()
        idle = self.relay.wait_idle(max(0.0, deadline_s - steady_s())) and idle
        idle = self.uploads.wait_idle(max(0.0, deadline_s - steady_s())) and idle
        if not idle:
            self._answer_rest()
            logger.warning(
                "requests were still open after the drain timeout of {} s",
                self.config.drain_timeout_s,
            )
        return idle

    def _answer_rest(self) -> None:
        """Answer the requests that are still open, since the process is about to end."""
        self.uploads.refuse_unread()
        self.http_server.guard.stop_reading()
        self.sender.stop()
        self.relay.end_streams()
        deadline_s = steady_s() + LAST_ANSWERS_S
        for wait_idle in (self.inflight.wait_idle, self.relay.wait_idle, self.uploads.wait_idle):
            wait_idle(max(0.0, deadline_s - steady_s()))

    def stop(self) -> None:
        """Stop listening and stop all threads."""
        self.ring.close()
        self.exchange.stop()
        self.runner_poller.stop()
        self.sweeper.stop()
        self.notifier.stop()
        self.evidence_sharing.stop()
        self.http_server.stop()
        self.http_server.guard.stop()
        if self._http_thread is not None:
            self._http_thread.join()
        self.rpc_server.stop()
        self.relay.stop()
        self.engines.close()
        self.rpc_client.close()
        logger.info("gateway stopped")

    def job_groups(self) -> list[str]:
        """Return the names of all job groups."""
        return [f"jobs-{index}" for index in range(self.view.snapshot.job_groups)]

    def _on_view(self, snapshot: ClusterSnapshot) -> None:
        """Update all components that depend on the view; called after each exchange."""
        owned = [] if self.inflight.stopping else self._owned.update(snapshot)
        self.counters.owned_runners.set(len(owned))
        self.pool.apply_snapshot(snapshot)
        self._update_usable_metric(snapshot)
        self.runner_poller.update(owned)
        self.harvest.update(owned, self.settings.current, self.job_groups())
        self.sweeper.update(owned, snapshot)
        self.evidence_sharing.on_view(snapshot)

    def _update_usable_metric(self, snapshot: ClusterSnapshot) -> None:
        usable = self.pool.usable_runners(snapshot)
        for service in self._known_services - set(usable):
            usable[service] = 0
        self._known_services = set(usable)
        for service, count in usable.items():
            self.counters.usable_runners.labels(service).set(count)

    def _evidence_sharing(self, generator: random.Random) -> EvidenceSharing:
        sharing = EvidenceSharing(
            self.config.name,
            self.config.zone,
            self.crashing_requests,
            self.view,
            self.control.share_evidence,
            self.clock,
            self.counters,
            generator,
        )
        self.crashing_requests.on_crash = sharing.crashed
        self.crashing_requests.on_answer = sharing.answered
        return sharing

    def _online_service(self) -> OnlineService:
        decision_log = DecisionLog(self.ring, self.clock)
        self.sender = Sender(
            self.engines,
            self.pool,
            self.gate,
            RetryBudget(),
            self.notifier,
            decision_log,
            self.counters,
            self.clock,
            self.crashing_requests,
        )
        streams = StreamDependencies(
            engines=self.engines,
            sender=self.sender,
            pool=self.pool,
            decision_log=decision_log,
            counters=self.counters,
            clock=self.clock,
        )
        return OnlineService(
            GatewayLocation(region=self.config.region, zone=self.config.zone),
            lambda: self.settings.current,
            self.gate,
            self.sender,
            ClaimClient(self.control, self.job_groups, self.config.name),
            self.relay,
            streams,
            decision_log,
            self.counters,
            self.clock,
        )

    def _http_server(self) -> StreamingServer:
        config = self.config
        token_file = config.operator_token_file
        token = _read_secret(token_file).decode() if token_file is not None else None
        app = build_app(
            completions=CompletionsApi(
                self.online, lambda: self.settings.current, self.inflight, config.max_body_bytes
            ),
            models=ModelsApi(lambda: self.settings.current),
            batches=BatchApi(
                self.control,
                lambda: self.settings.current,
                self.clock,
                random.Random(),
                self.job_groups,
                self.uploads,
            ),
            decisions=DecisionsApi(self.ring, token),
            probes=ProbesApi(self.counters.registry, self.not_ready),
        )
        listen = config.listen
        return StreamingServer(
            listen.host, listen.http_port, app, config.request_threads, config.name
        )


def _reserved_threads(request_threads: int) -> int:
    """Return the number of threads reserved for probes, operators and refusals."""
    return max(MIN_RESERVED_THREADS, request_threads // RESERVED_THREADS_DIVISOR)


def _read_secret(path: Path) -> bytes:
    return path.read_bytes().strip()
