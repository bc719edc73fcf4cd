"""Tells a runner's owner gateway that online work has arrived, so that its batch work yields."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from leverjunction.clock import Clock
from leverjunction.gateway.ownership import owner_of
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import RunnerState, YieldNotice

NOTICE_THREADS = 4
BATCH_MEMORY_MS = 30_000
"""A service whose digests showed batch this lately may carry it again before the next digest."""


class OnlineListener(Protocol):
    """The harvester's part that hears of online work on owned runners."""

    def online_arrived(self, runner_id: str) -> None:
        """Online work is about to reach a runner."""
        ...

    def online_finished(self, runner_id: str) -> None:
        """An online request on a runner has ended."""
        ...


class YieldNotifier:
    """Called by request threads before and after each send; never blocks them."""

    def __init__(
        self,
        gateway_id: str,
        view: ClusterView,
        control: ControlClient,
        listener: OnlineListener,
        clock: Clock,
        counters: GatewayCounters,
    ) -> None:
        self._gateway_id = gateway_id
        self._view = view
        self._control = control
        self._listener = listener
        self._clock = clock
        self._counters = counters
        self._threads = ThreadPoolExecutor(NOTICE_THREADS, thread_name_prefix="yield-notice")
        self._batch_seen_ms: dict[str, int] = {}

    def arrived(self, runner_id: str, open_before: int) -> None:
        """Online work goes to a runner that has ``open_before`` other own requests."""
        snapshot = self._view.snapshot
        runner = snapshot.runners.get(runner_id)
        if runner is None:
            return
        owner = owner_of(runner, snapshot.gateways.values())
        if owner is None or owner.gateway_id == self._gateway_id:
            self._listener.online_arrived(runner_id)
        elif open_before == 0 and self._may_carry_batch(runner, snapshot):
            notice = YieldNotice(runner_id=runner_id, sent_ms=self._clock.wall_ms())
            self._counters.yield_notices.labels("sent").inc()
            self._threads.submit(self._control.notify_yield, owner.rpc_address, notice)

    def finished(self, runner_id: str) -> None:
        """An online request on a runner has ended; other owners see it in the load report."""
        snapshot = self._view.snapshot
        runner = snapshot.runners.get(runner_id)
        if runner is None:
            return
        owner = owner_of(runner, snapshot.gateways.values())
        if owner is None or owner.gateway_id == self._gateway_id:
            self._listener.online_finished(runner_id)

    def stop(self) -> None:
        """Send no more notices."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _may_carry_batch(self, runner: RunnerState, snapshot: ClusterSnapshot) -> bool:
        """Return whether batch may be on a runner, given that digests lag by seconds."""
        now_ms = self._clock.wall_ms()
        if any(
            digest.batch_running > 0
            for digest in snapshot.digests.values()
            if _service_of(snapshot, digest.runner_id) == runner.service
        ):
            self._batch_seen_ms[runner.service] = now_ms
        return now_ms - self._batch_seen_ms.get(runner.service, 0) <= BATCH_MEMORY_MS


def _service_of(snapshot: ClusterSnapshot, runner_id: str) -> str:
    runner = snapshot.runners.get(runner_id)
    return runner.service if runner is not None else ""
