"""Cancels batch requests that dead gateways left on owned runners (``batch.orphan_sweep``)."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from loguru import logger

from leverjunction.backends.types import HeldRequest
from leverjunction.batch.orphan_sweep import OrphanSweep
from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.gateway.view import ClusterSnapshot
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.control_client import MAX_QUORUM_AGE_S
from leverjunction.wire.messages import RunnerState

LOOK_THREADS = 4


class Engines(Protocol):
    """The part of ``EngineClient`` that the sweeper uses."""

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        """List the owned requests that an engine holds; see ``EngineClient``."""
        ...

    def cancel(self, address: str, request_id: str) -> Failure | None:
        """Cancel a request; see ``EngineClient``."""
        ...


class OrphanSweeper:
    """Driven by the exchange, so an idle gateway has nothing to wake up for. Thread-safe.

    Args:
        engines: Client of the engines.
        clock: Monotonic clock.
        counters: Counters.
        gateway_id: This gateway.
        incarnation: This process's start time, in milliseconds.
    """

    def __init__(
        self,
        engines: Engines,
        clock: Clock,
        counters: GatewayCounters,
        gateway_id: str,
        incarnation: int,
    ) -> None:
        self._engines = engines
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._sweep = OrphanSweep(gateway_id, incarnation)
        self._threads = ThreadPoolExecutor(LOOK_THREADS, thread_name_prefix="orphan-sweep")

    def update(self, owned: list[RunnerState], snapshot: ClusterSnapshot) -> None:
        """Take the owned runners and a new view; called after each exchange."""
        if snapshot.quorum_age_s > MAX_QUORUM_AGE_S:
            # A hub that is cut off misses gateways that are well.
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._sweep.update(owned, snapshot.gateways.values(), now_s)
            due = self._sweep.take_due(now_s)
        for runner in due:
            self._threads.submit(self._look, runner)

    def stop(self) -> None:
        """Look at nothing more."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _look(self, runner: RunnerState) -> None:
        held = self._engines.held_requests(runner.address)
        now_s = self._clock.monotonic_s()
        with self._lock:
            if isinstance(held, Failure):
                self._sweep.query_failed(runner.runner_id, now_s)
                return
            orphans = self._sweep.find_orphans(runner.runner_id, held, now_s)
        if orphans:
            self._cancel_all(runner, orphans)

    def _cancel_all(self, runner: RunnerState, request_ids: list[str]) -> None:
        logger.info("runner {}: cancels {} orphaned batch", runner.runner_id, len(request_ids))
        for request_id in request_ids:
            failure = self._engines.cancel(runner.address, request_id)
            if failure is not None:
                with self._lock:
                    self._sweep.query_failed(runner.runner_id, self._clock.monotonic_s())
                return
            self._counters.orphans_cancelled.inc()
