"""Thread-safe admission: concurrency slots of tenants, and waiting for a free runner."""

from __future__ import annotations

import threading
from collections.abc import Callable

from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission import Admission, Queued, QueueLimits
from leverjunction.observability.counters import GatewayCounters
from leverjunction.settings.resolved import ResolvedLimits

POLL_INTERVAL_S = 0.05
"""Interval at which waiting requests check for free slots.

Other gateways and new load reports can free slots without any event in this gateway.
"""


class AdmissionGate:
    """Thread-safe wrapper of ``Admission``; a waiting request blocks its request thread.

    Args:
        clock: Clock.
        counters: Metrics of the gateway.
        max_waiting: Maximum number of requests waiting in all queues together, None for no limit.
    """

    def __init__(
        self, clock: Clock, counters: GatewayCounters, max_waiting: int | None = None
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._admission = Admission(max_waiting)
        self._granted: dict[str, threading.Event] = {}
        self._stopping = threading.Event()

    def acquire(self, tenant: str, limits: ResolvedLimits) -> Failure | None:
        """Take a concurrency slot and a rate token of a tenant.

        Returns:
            None if the request is within the limits, so that ``release`` must follow; the failure
            to return to the caller otherwise.
        """
        with self._lock:
            return self._admission.acquire(tenant, limits, self._clock.monotonic_s())

    def release(self, tenant: str) -> None:
        """Return a tenant's concurrency slot."""
        with self._lock:
            self._admission.release(tenant, self._clock.monotonic_s())

    def wait_for_admission(
        self,
        service: str,
        ticket_id: str,
        limits: QueueLimits,
        free_slots: Callable[[], int],
        on_queued: Callable[[int], None] = lambda _ahead: None,
    ) -> float | Failure:
        """Block until the request may be sent or is rejected.

        Args:
            service: Service that the request is for.
            ticket_id: Id of the request.
            limits: Queue settings of the service.
            free_slots: Returns the number of requests that the usable runners can take now.
            on_queued: Called with the number of requests ahead if the request has to wait.

        Returns:
            The time that the request waited, in seconds; the failure if it is rejected.
        """
        started_s = self._clock.monotonic_s()
        slots = free_slots()
        with self._lock:
            decision = self._admission.admit_or_queue(service, ticket_id, limits, slots, started_s)
            if isinstance(decision, Failure):
                return decision
            if not isinstance(decision, Queued):
                return 0.0
            granted = self._granted[ticket_id] = threading.Event()
            self._counters.queued.set(self._admission.waiting())
        on_queued(decision.ahead)
        try:
            rejection = self._wait(service, ticket_id, granted, free_slots)
        finally:
            self._forget(service, ticket_id)
        if rejection is not None:
            return rejection
        return self._clock.monotonic_s() - started_s

    def _wait(
        self,
        service: str,
        ticket_id: str,
        granted: threading.Event,
        free_slots: Callable[[], int],
    ) -> Failure | None:
        while not granted.wait(POLL_INTERVAL_S):
            if self._stopping.is_set():
                return stopping_failure(Step.QUEUEING)
            self.grant_slots(service, free_slots())
            with self._lock:
                now_s = self._clock.monotonic_s()
                rejection = self._admission.pop_expired(service, ticket_id, now_s)
            if rejection is not None:
                return rejection
        return None

    def grant_slots(self, service: str, free_slots: int) -> None:
        """Admit waiting requests of a service, up to the number of free slots."""
        with self._lock:
            for ticket_id in self._admission.pop_admitted(service, free_slots):
                self._granted[ticket_id].set()

    def request_ended(self, service: str) -> None:
        """Record the end of a request of a service."""
        with self._lock:
            self._admission.request_ended(service, self._clock.monotonic_s())

    def stop(self) -> None:
        """Reject all waiting requests; none of them has been sent to a runner."""
        self._stopping.set()

    def _forget(self, service: str, ticket_id: str) -> None:
        with self._lock:
            self._granted.pop(ticket_id, None)
            self._admission.remove(service, ticket_id)
            self._counters.queued.set(self._admission.waiting())


def stopping_failure(step: Step) -> Failure:
    """Return the failure of a request that a stopping gateway no longer sends."""
    return Failure(
        kind=FailureKind.STOPPING,
        reason="this gateway is shutting down; send the request to another one",
        step=step,
        retry_after_s=1.0,
        execution=Execution.NOT_RUN,
    )
