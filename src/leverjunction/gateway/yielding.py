"""Notifies a runner's owner gateway of online requests, so that its batch work yields to them."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from leverjunction.clock import Clock
from leverjunction.gateway.ownership import owner_of
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.messages import RunnerState, YieldNotice
from leverjunction.wire.peer_calls import PeerCalls

NOTICE_THREADS = 4
NOTICE_MAX_WAIT_S = 1.0
"""Time after which a notice that waits for a silent owner is dropped: the owner reads the runner's
load more often.
"""

RECENT_BATCH_MS = 30_000
"""Time after the last digest that showed batch work during which a service may have batch work.

A runner can start batch work again before its next digest.
"""


class OnlineListener(Protocol):
    """Interface of the batch harvester for notifications of online work on owned runners."""

    def online_arrived(self, runner_id: str) -> None:
        """Handle an online request that is about to be sent to a runner."""
        ...

    def online_finished(self, runner_id: str) -> None:
        """Handle the end of an online request on a runner."""
        ...


class YieldNotifier:
    """Notifies owner gateways, including this one, of online requests on their runners.

    Request threads call it before and after each send; its methods do not block.
    """

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
        self._notices = PeerCalls(self._threads, NOTICE_THREADS, clock, NOTICE_MAX_WAIT_S)
        self._batch_seen_ms: dict[str, int] = {}

    def request_arrived(self, runner_id: str, open_before: int) -> None:
        """Notify the runner's owner of an online request that is about to be sent.

        If another gateway owns the runner, a notice is sent only if no other request of this
        gateway is open on the runner and the runner may have batch work.

        Args:
            runner_id: Runner that receives the request.
            open_before: Number of this gateway's requests already open on the runner.
        """
        snapshot = self._view.snapshot
        runner = snapshot.runners.get(runner_id)
        if runner is None:
            return
        owner = owner_of(runner, snapshot.gateways.values())
        if owner is None or owner.gateway_id == self._gateway_id:
            self._listener.online_arrived(runner_id)
        elif open_before == 0 and self._may_run_batch(runner, snapshot):
            notice = YieldNotice(runner_id=runner_id, sent_ms=self._clock.wall_ms())
            self._counters.yield_notices.labels("sent").inc()
            address = owner.rpc_address
            self._notices.submit(address, lambda: self._control.notify_yield(address, notice))

    def request_finished(self, runner_id: str) -> None:
        """Notify this gateway's batch work of the end of an online request on an owned runner.

        Other owners learn of the end from the runner's load report.
        """
        snapshot = self._view.snapshot
        runner = snapshot.runners.get(runner_id)
        if runner is None:
            return
        owner = owner_of(runner, snapshot.gateways.values())
        if owner is None or owner.gateway_id == self._gateway_id:
            self._listener.online_finished(runner_id)

    def stop(self) -> None:
        """Stop sending notices."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _may_run_batch(self, runner: RunnerState, snapshot: ClusterSnapshot) -> bool:
        """Return whether a runner may have batch work, given that digests are seconds old."""
        now_ms = self._clock.wall_ms()
        if any(
            digest.batch_running > 0
            for digest in snapshot.digests.values()
            if _service_of(snapshot, digest.runner_id) == runner.service
        ):
            self._batch_seen_ms[runner.service] = now_ms
        return now_ms - self._batch_seen_ms.get(runner.service, 0) <= RECENT_BATCH_MS


def _service_of(snapshot: ClusterSnapshot, runner_id: str) -> str:
    runner = snapshot.runners.get(runner_id)
    return runner.service if runner is not None else ""
