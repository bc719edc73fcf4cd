"""Duties of the gateway that owns a runner: reads the runner's load and publishes it.

Each runner is owned by one gateway (``ownership.py``), which polls it on behalf of all gateways.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from loguru import logger

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport
from leverjunction.clock import steady_s
from leverjunction.errors import Failure
from leverjunction.gateway.cache_feed import CacheFeed
from leverjunction.gateway.exchange import DigestOutbox
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.view import ClusterView
from leverjunction.wire.messages import RunnerDigest, RunnerState

POLL_INTERVAL_S = 0.2
IDLE_POLL_INTERVAL_S = 1.0
"""Interval of polls of an idle runner; longer, since each poll costs the owner processor time."""

POLL_THREADS = 16
POLL_TIMEOUT_S = 0.6
FAILURES_TO_UNHEALTHY = 3


class RunnerPoller:
    """Polls the load of owned runners in a background thread.

    Args:
        engines: Client of the runners' engines.
        view: Receives the digests of the load reports.
        pool: Counts this gateway's open sends.
        outbox: Digests to send to the hub.
        observe_load: Called with a runner's id and its load report.
        feed: Reads the cache events of the owned runners.
        has_batch: Returns whether this gateway has batch work, which requires up-to-date load.
    """

    def __init__(
        self,
        engines: EngineClient,
        view: ClusterView,
        pool: RunnerPool,
        outbox: DigestOutbox,
        observe_load: Callable[[str, LoadReport], None],
        feed: CacheFeed,
        has_batch: Callable[[], bool] = lambda: True,
    ) -> None:
        self._engines = engines
        self._view = view
        self._pool = pool
        self._outbox = outbox
        self._observe_load = observe_load
        self._feed = feed
        self._has_batch = has_batch
        self._idle_read_s: dict[str, float] = {}
        self._owned: dict[str, RunnerState] = {}
        self._failures: dict[str, int] = {}
        self._polling: dict[str, Future[None]] = {}
        self._threads = ThreadPoolExecutor(POLL_THREADS, thread_name_prefix="load-poll")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling and end the threads."""
        self._stopped.set()
        self._thread.join()
        self._feed.update([])
        self._threads.shutdown(wait=False, cancel_futures=True)

    def update(self, owned: list[RunnerState]) -> None:
        """Replace the set of owned runners; called after each exchange with the hub."""
        ids = {runner.runner_id for runner in owned}
        if ids != set(self._owned):
            logger.info("owned runners: {}", sorted(ids))
        self._owned = {runner.runner_id: runner for runner in owned}
        for runner_id in set(self._failures) - ids:
            del self._failures[runner_id]
        for runner_id in set(self._idle_read_s) - ids:
            self._idle_read_s.pop(runner_id, None)
        self._outbox.retain(ids)
        self._feed.update(owned)

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            has_batch = self._has_batch()
            for runner in list(self._owned.values()):
                last = self._polling.get(runner.runner_id)
                # A poll that hangs must not delay the others, and must not be started twice.
                if (last is None or last.done()) and self._is_due(runner.runner_id, has_batch):
                    self._polling[runner.runner_id] = self._threads.submit(self._poll, runner)

    def _is_due(self, runner_id: str, has_batch: bool) -> bool:
        """Return whether a runner must be polled now.

        A runner with work is always due, an idle one after ``IDLE_POLL_INTERVAL_S``.
        """
        read_s = self._idle_read_s.get(runner_id)
        if read_s is None or has_batch or self._pool.open_sends(runner_id) > 0:
            return True
        return steady_s() - read_s >= IDLE_POLL_INTERVAL_S

    def _poll(self, runner: RunnerState) -> None:
        report = self._engines.load(runner.address, POLL_TIMEOUT_S)
        if self._stopped.is_set() or runner.runner_id not in self._owned:
            return
        if isinstance(report, Failure):
            self._idle_read_s.pop(runner.runner_id, None)
            self._note_failure(runner, report)
            return
        if report.running + report.waiting > 0:
            self._idle_read_s.pop(runner.runner_id, None)
        else:
            self._idle_read_s[runner.runner_id] = steady_s()
        if self._failures.pop(runner.runner_id, 0) >= FAILURES_TO_UNHEALTHY:
            logger.info("runner {} responds again", runner.runner_id)
        self._publish(digest_of(runner.runner_id, report))
        self._observe_load(runner.runner_id, report)

    def _note_failure(self, runner: RunnerState, failure: Failure) -> None:
        failures = self._failures.get(runner.runner_id, 0) + 1
        self._failures[runner.runner_id] = failures
        if failures == FAILURES_TO_UNHEALTHY:
            logger.warning("runner {} does not respond: {}", runner.runner_id, failure.reason)
        if failures >= FAILURES_TO_UNHEALTHY:
            self._publish(unhealthy_digest(runner.runner_id, self._view))

    def _publish(self, digest: RunnerDigest) -> None:
        self._view.observe(digest)
        self._outbox.put(digest)


def digest_of(runner_id: str, report: LoadReport) -> RunnerDigest:
    """Return the digest of a runner's load report, as it is sent to the hub."""
    total = max(report.kv_blocks_total, 1)
    return RunnerDigest(
        runner_id=runner_id,
        running=report.running,
        waiting=report.waiting,
        batch_running=report.batch_running,
        batch_waiting=report.batch_waiting,
        kv_used_ratio=report.kv_blocks_used / total,
        as_of_ms=report.as_of_ms,
    )


def unhealthy_digest(runner_id: str, view: ClusterView) -> RunnerDigest:
    """Return the digest that marks a runner as unhealthy, with the time of its last digest."""
    last = view.snapshot.digests.get(runner_id)
    return RunnerDigest(
        runner_id=runner_id,
        running=0,
        waiting=0,
        batch_running=0,
        kv_used_ratio=0.0,
        as_of_ms=last.as_of_ms if last is not None else 0,
        healthy=False,
    )
