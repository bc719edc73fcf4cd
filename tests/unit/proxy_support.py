"""Runs a gateway's proxy on a loopback port in a thread, for tests."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine, Iterable
from random import Random
from typing import TypeVar

from prometheus_client import CollectorRegistry

from leverjunction.clock import SystemClock
from leverjunction.listener import BACKLOG, open_listener
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.admission_gate import AdmissionGate
from leverjunction.proxy.answer_buffer import AnswerBuffer
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_connection import CallerConnection, CallerPort, Responder
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.decision_log import DecisionLog
from leverjunction.proxy.draining import Drain, close_listener
from leverjunction.proxy.forwarding import Caller, Forwarder, LocalHandler
from leverjunction.proxy.kept_answers import KeptAnswers
from leverjunction.proxy.metrics import ProxyMetrics
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.proxy.stop_schedule import StopSchedule
from leverjunction.proxy.stream_origins import OriginDirectory, StreamOrigins
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.registry.version_leases import SharedRevisions
from leverjunction.routes import Route, RouteIndex, RouteTable
from testbed.routed import HOST, SERVICE, RawCaller, RawReply, RunnerStandIn

T = TypeVar("T")

ZONE = "z1"
CALL_TIMEOUT_S = 5.0


class Proxy:
    """A proxy built from the same parts as in a gateway process.

    Attributes:
        address: ``host:port`` on which it listens.
        table_age_s: Maximum age of its route table, in seconds.
        is_in_doubt: Whether its process stalled and has not heard from the registry since.
        pause_end_s: When the last stall of its process ended, in seconds.
        shared: Revisions that all gateways and control processes have. By default, all control
            processes know its back ends, and other gateways may not.
        kept: What it keeps for slow callers, if ``kept_limit_bytes`` is not 0.
        dropped: Reasons for which it dropped slow callers.
        stop_asked_s: When it was asked to stop, in the loop's seconds.
        stop_ended_s: When it had stopped.
        ended: Set when it has stopped.
    """

    def __init__(
        self,
        table: RouteTable | None,
        runners: Iterable[RunnerStandIn],
        directory: OriginDirectory | None = None,
        kept_limit_bytes: int = 0,
        local_handler: LocalHandler | None = None,
    ) -> None:
        self._local_handler = local_handler or _answer_nothing
        self._kept_limit_bytes = kept_limit_bytes
        self._directory = directory
        self._table = table
        self._runners = list(runners)
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.address = ""
        self.table_age_s = 0.0
        self.is_in_doubt = False
        self.pause_end_s = 0.0
        self.shared = SharedRevisions(controls=0)
        self.schedule = StopSchedule()
        self.stop_asked_s = self.stop_ended_s = 0.0
        self.ended = threading.Event()

    def __enter__(self) -> Proxy:
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_error: object) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def call(self, action: Callable[[], None]) -> None:
        """Schedule a call on the proxy's thread."""
        self._loop.call_soon_threadsafe(action)

    def loop_s(self) -> float:
        return self._loop.time()

    def replace_runners(self, runners: Iterable[RunnerStandIn]) -> None:
        """Replace the back ends that the proxy knows; call it on the proxy's thread."""
        records = [
            RunnerRecord(
                runner_id=runner.runner_id,
                service=SERVICE,
                address=runner.address,
                zone=ZONE,
                slots=4,
                version=runner.version,
            )
            for runner in runners
        ]
        self.balancer.replace(records)
        self.origins.update(FleetView(runners=tuple(records)))

    def stop(self, grace_s: float) -> None:
        """Ask the proxy to stop as planned; at the end nobody answers any more, as in a process."""

        async def end() -> None:
            self.stop_asked_s = self._loop.time()
            self.schedule.begin(self.stop_asked_s, grace_s)
            self.forwarder.begin_stop()
            await Drain(self.port, self.schedule, self.stop_accepting).run()
            self.stop_ended_s = self._loop.time()
            for connection in list(self.port.connections):
                connection.abort()
            self.ended.set()

        asyncio.run_coroutine_threadsafe(end(), self._loop)

    def run(self, coroutine: Coroutine[object, object, T]) -> T:
        """Run a coroutine on the proxy's loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    async def stop_accepting(self) -> None:
        """Close the listener as a planned stop does."""
        await close_listener(self.server, self._listener, lambda: CallerConnection(self.port))

    def caller(self) -> RawCaller:
        return RawCaller(self.address)

    def ask(self, path: str, body: bytes = b"ask", **headers: str) -> RawReply:
        caller = self.caller()
        try:
            return caller.ask("POST", path, request_headers(**headers), body)
        finally:
            caller.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._build())
        self._started.set()
        self._loop.run_forever()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _build(self) -> None:
        self.balancer = balancer = Balancer(ZONE, Random(1))
        self.origins = StreamOrigins(
            self._directory, lambda: self.table_age_s, 2.0, lambda: self.shared
        )
        self.replace_runners(self._runners)
        dialect = PlatformDialect()
        sender = Sender(RunnerPool(), balancer, dialect)
        self.forwarder = Forwarder(
            sender,
            balancer,
            dialect,
            DecisionLog(SystemClock(), ProxyMetrics(CollectorRegistry())),
            Random(1),
            self._local_handler,
            AdmissionGate(balancer, sender),
            table_age_s=lambda: self.table_age_s,
            in_force_s=2.0,
            is_in_doubt=lambda: self.is_in_doubt,
            origins=self.origins,
            last_pause_end_s=lambda: self.pause_end_s,
            schedule=self.schedule,
        )
        if self._table is not None:
            self.forwarder.set_table(RouteIndex(self._table))
        self.dropped: list[str] = []
        limit_bytes = self._kept_limit_bytes
        self.kept = KeptAnswers(AnswerBuffer(limit_bytes), self.dropped.append)
        self.port = port = CallerPort(
            self.forwarder.handle,
            lambda: (self._table or RouteTable()).limits,
            self.kept if limit_bytes else None,
        )
        self._listener = open_listener("127.0.0.1:0")
        self.server = await self._loop.create_server(
            lambda: CallerConnection(port), sock=self._listener, backlog=BACKLOG
        )
        host, number = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{number}"


async def _answer_nothing(
    _request: CallerRequest,
    _responder: Responder,
    _index: RouteIndex,
    _route: Route | None,
    _caller: Caller,
) -> bool:
    return False


def request_headers(**headers: str) -> dict[str, str]:
    fields = {"Host": HOST, "Leverjunction-Request-Id": "r1", "Leverjunction-Deadline-Ms": "2000"}
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    return fields
