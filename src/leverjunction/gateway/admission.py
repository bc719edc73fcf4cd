"""Admission control: limits per tenant, and a bounded queue with deadlines per service. Pure.

A request is rejected immediately and finally if the queue is full, or if at the current drain rate
its turn would not come before its deadline. ``Retry-After`` is derived from the same rate.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.drain_rate import DrainRate
from leverjunction.settings.resolved import ResolvedLimits

MAX_RETRY_AFTER_S = 60.0
DEFAULT_RETRY_AFTER_S = 1.0
"""``Retry-After`` while no request has ended yet, so that the drain rate is unknown."""


class Admitted(msgspec.Struct, frozen=True):
    """Decision: the request may be sent now, without waiting in the queue."""


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """Decision: the request waits in the queue behind ``ahead`` other requests."""

    ahead: int


class QueueLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Queue settings of a service.

    Attributes:
        max_queue: Maximum number of waiting requests of the service.
        queue_timeout_s: Maximum time that a request may wait.
    """

    max_queue: int
    queue_timeout_s: float


class _TenantState(msgspec.Struct):
    tokens: float
    updated_s: float
    drain_rate: DrainRate
    running: int = 0


class _Ticket(msgspec.Struct, frozen=True, kw_only=True):
    deadline_s: float
    timeout_s: float


class _Queue(msgspec.Struct):
    tickets: OrderedDict[str, _Ticket]
    drain_rate: DrainRate


class Admission:
    """Rate and concurrency limits of tenants, and request queues of services.

    Pure: the monotonic time is an argument of each method. Not thread-safe: the caller serializes
    access.

    Args:
        max_waiting: Maximum number of requests waiting in all queues together, None for no limit.
    """

    def __init__(self, max_waiting: int | None = None) -> None:
        self._max_waiting = max_waiting
        self._tenants: dict[str, _TenantState] = {}
        self._queues: dict[str, _Queue] = {}

    def acquire(self, tenant: str, limits: ResolvedLimits, now_s: float) -> Failure | None:
        """Take one concurrency slot and one rate token of a tenant.

        Returns:
            None if the request is within the limits, so that ``release`` must follow; the failure
            to return to the caller if a limit is exceeded.
        """
        state = self._tenant(tenant, limits, now_s)
        if state.running >= limits.concurrency:
            return _rate_limited(
                f"tenant {tenant} has {state.running} requests running, its concurrency limit",
                state.drain_rate.wait_s(1, now_s) or DEFAULT_RETRY_AFTER_S,
            )
        if state.tokens < 1:
            return _rate_limited(
                f"tenant {tenant} exceeds its limit of {limits.requests_per_s:g} requests/s",
                (1 - state.tokens) / limits.requests_per_s,
            )
        state.tokens -= 1
        state.running += 1
        return None

    def release(self, tenant: str, now_s: float) -> None:
        """Return a tenant's concurrency slot and record the end of its request."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.running = max(0, state.running - 1)
            state.drain_rate.record_end(now_s)

    def admit_or_queue(
        self,
        service: str,
        ticket_id: str,
        limits: QueueLimits,
        free_slots: int,
        now_s: float,
    ) -> Admitted | Queued | Failure:
        """Decide whether a request is sent now, queued or rejected.

        Args:
            service: Service that the request is for.
            ticket_id: Id of the request in the queue.
            limits: Queue settings of the service.
            free_slots: Number of requests that the service's usable runners can still take.
            now_s: Monotonic time in seconds.
        """
        queue = self._queue(service)
        # Waiting requests go first: a new one passes only if there are more slots than tickets.
        if free_slots > len(queue.tickets):
            return Admitted()
        ahead = len(queue.tickets)
        # If no request has ended recently, the rate is unknown and the request is queued.
        wait_s = queue.drain_rate.wait_s(ahead + 1, now_s)
        if ahead >= limits.max_queue:
            reason = f"the queue of {service} is full with {ahead} requests"
            return _overloaded(reason, wait_s or limits.queue_timeout_s)
        if self._max_waiting is not None and self.waiting() >= self._max_waiting:
            reason = f"{self.waiting()} requests are queued in this gateway, its limit"
            return _overloaded(reason, wait_s or limits.queue_timeout_s)
        if wait_s is not None and wait_s > limits.queue_timeout_s:
            return _overloaded(
                f"the expected wait for {service} is {wait_s:.1f} s, "
                f"longer than queue_timeout_s {limits.queue_timeout_s:g}",
                wait_s - limits.queue_timeout_s,
            )
        deadline_s = now_s + limits.queue_timeout_s
        queue.tickets[ticket_id] = _Ticket(deadline_s=deadline_s, timeout_s=limits.queue_timeout_s)
        return Queued(ahead=ahead)

    def pop_admitted(self, service: str, free_slots: int) -> list[str]:
        """Remove and return the tickets that may be sent now, in order of arrival."""
        queue = self._queue(service)
        taken = list(queue.tickets)[: max(0, free_slots)]
        for ticket_id in taken:
            del queue.tickets[ticket_id]
        return taken

    def pop_expired(self, service: str, ticket_id: str, now_s: float) -> Failure | None:
        """Remove a ticket whose deadline has passed.

        Returns:
            The failure to return to the caller; None if the ticket is not queued or may still wait.
        """
        queue = self._queue(service)
        ticket = queue.tickets.get(ticket_id)
        if ticket is None or ticket.deadline_s > now_s:
            return None
        del queue.tickets[ticket_id]
        wait_s = queue.drain_rate.wait_s(len(queue.tickets) + 1, now_s)
        reason = f"no runner of {service} had a free slot before the queue deadline"
        return _overloaded(reason, wait_s or ticket.timeout_s)

    def remove(self, service: str, ticket_id: str) -> None:
        """Remove the ticket of a request that no longer waits, if it is still queued."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.tickets.pop(ticket_id, None)

    def request_ended(self, service: str, now_s: float) -> None:
        """Record the end of a request of a service in its drain rate."""
        self._queue(service).drain_rate.record_end(now_s)

    def waiting(self) -> int:
        """Return the number of requests waiting in all queues."""
        return sum(len(queue.tickets) for queue in self._queues.values())

    def _tenant(self, tenant: str, limits: ResolvedLimits, now_s: float) -> _TenantState:
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _TenantState(float(limits.burst), now_s, DrainRate())
        earned = max(0.0, now_s - state.updated_s) * limits.requests_per_s
        state.tokens = min(float(limits.burst), state.tokens + earned)
        state.updated_s = now_s
        return state

    def _queue(self, service: str) -> _Queue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _Queue(OrderedDict(), DrainRate())
        return queue


def _rate_limited(reason: str, retry_after_s: float) -> Failure:
    return Failure(
        kind=FailureKind.RATE_LIMITED,
        reason=reason,
        step=Step.ADMISSION,
        retry_after_s=min(retry_after_s, MAX_RETRY_AFTER_S),
        execution=Execution.NOT_RUN,
    )


def _overloaded(reason: str, retry_after_s: float) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=reason,
        step=Step.QUEUEING,
        retry_after_s=min(max(retry_after_s, 0.0), MAX_RETRY_AFTER_S),
        execution=Execution.NOT_RUN,
    )
