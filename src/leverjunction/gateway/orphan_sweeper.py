"""Cancels orphaned batch requests: those that failed gateways left on runners owned by this one.

``batch.orphan_sweep`` decides which requests are orphaned and when each runner is queried.
"""

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

SWEEP_THREADS = 4


class Engines(Protocol):
    """The part of ``EngineClient`` that the sweeper uses."""

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        """List an engine's requests that carry an owner label; see ``EngineClient``."""
        ...

    def cancel(self, address: str, request_id: str) -> Failure | None:
        """Cancel a request at an engine; see ``EngineClient``."""
        ...


class OrphanSweeper:
    """Queries owned runners for orphaned batch requests and cancels these. Thread-safe.

    The exchange loop calls ``update`` periodically, so no separate timer wakes an idle gateway.

    Args:
        engines: Client of the engines.
        clock: Source of monotonic time.
        counters: Metrics of the gateway.
        gateway_id: Id of this gateway.
        incarnation: Start time of this process in milliseconds.
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
        self._threads = ThreadPoolExecutor(SWEEP_THREADS, thread_name_prefix="orphan-sweep")

    def update(self, owned: list[RunnerState], snapshot: ClusterSnapshot) -> None:
        """Update the owned runners and start the queries that are due; called after each exchange.

        Args:
            owned: Runners that this gateway owns.
            snapshot: The current view.
        """
        if snapshot.quorum_age_s > MAX_QUORUM_AGE_S:
            # The view of a hub that is cut off from the quorum may lack healthy gateways.
            return
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._sweep.update(owned, snapshot.gateways.values(), now_s)
            due = self._sweep.take_due(now_s)
        for runner in due:
            self._threads.submit(self._sweep_runner, runner)

    def stop(self) -> None:
        """Stop the queries; those that have not started yet are dropped."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _sweep_runner(self, runner: RunnerState) -> None:
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
        logger.info(
            "runner {}: cancelling {} orphaned batch requests", runner.runner_id, len(request_ids)
        )
        for request_id in request_ids:
            failure = self._engines.cancel(runner.address, request_id)
            if failure is not None:
                with self._lock:
                    self._sweep.query_failed(runner.runner_id, self._clock.monotonic_s())
                return
            self._counters.orphans_cancelled.inc()
