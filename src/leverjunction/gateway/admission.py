"""Pure admission: limits of tenants, and a bounded queue with deadlines for each service.

A refusal is final and made at once: when the queue is full, or when at the present drain rate a
request would not be reached before its deadline. ``Retry-After`` follows from the same rate.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.gateway.drain_rate import DrainRate
from leverjunction.settings.resolved import ResolvedLimits

MAX_RETRY_AFTER_S = 60.0
UNKNOWN_WAIT_S = 1.0
"""When to come back while no request has ended yet, so that there is no rate to tell from."""


class Admitted(msgspec.Struct, frozen=True):
    """The request may be sent now; it holds one of its tenant's places until it is finished."""


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits; ``ahead`` requests go before it."""

    ahead: int


class QueueLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a service's queue."""

    max_queue: int
    queue_timeout_s: float


class _Tenant(msgspec.Struct):
    tokens: float
    updated_s: float
    drain: DrainRate
    running: int = 0


class _Ticket(msgspec.Struct, frozen=True, kw_only=True):
    deadline_s: float
    waits_s: float


class _Queue(msgspec.Struct):
    tickets: OrderedDict[str, _Ticket]
    drain: DrainRate


class Admission:
    """Places of tenants and queues of services. Now is passed in; the caller serializes.

    Args:
        max_waiting: Most requests that may wait in all queues together, None for no bound.
    """

    def __init__(self, max_waiting: int | None = None) -> None:
        self._max_waiting = max_waiting
        self._tenants: dict[str, _Tenant] = {}
        self._queues: dict[str, _Queue] = {}

    def enter(self, tenant: str, limits: ResolvedLimits, now_s: float) -> Failure | None:
        """Take one of a tenant's places and one token, or return the refusal."""
        state = self._tenant(tenant, limits, now_s)
        if state.running >= limits.concurrency:
            return _limited(
                f"tenant {tenant} has {state.running} requests running, its limit",
                state.drain.wait_s(1, now_s) or UNKNOWN_WAIT_S,
            )
        if state.tokens < 1:
            return _limited(
                f"tenant {tenant} sends more than {limits.requests_per_s:g} requests/s",
                (1 - state.tokens) / limits.requests_per_s,
            )
        state.tokens -= 1
        state.running += 1
        return None

    def leave(self, tenant: str, now_s: float) -> None:
        """Give a tenant's place back."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.running = max(0, state.running - 1)
            state.drain.ended(now_s)

    def arrive(
        self,
        service: str,
        ticket_id: str,
        limits: QueueLimits,
        free_slots: int,
        now_s: float,
    ) -> Admitted | Queued | Failure:
        """Decide on a request: sent now, queued, or refused.

        Args:
            service: Service asked for.
            ticket_id: Id of the request in the queue.
            limits: The service's queue settings.
            free_slots: Requests that the service's usable runners may still take.
            now_s: Monotonic time.
        """
        queue = self._queue(service)
        # Those who wait go first: a newcomer passes only when slots are left after them.
        if free_slots > len(queue.tickets):
            return Admitted()
        ahead = len(queue.tickets)
        # With no end seen lately the rate is not known, and the deadline itself decides.
        wait_s = queue.drain.wait_s(ahead + 1, now_s)
        if ahead >= limits.max_queue:
            reason = f"the queue of {service} is full with {ahead} requests"
            return _overloaded(reason, wait_s or limits.queue_timeout_s)
        if self._max_waiting is not None and self.waiting() >= self._max_waiting:
            reason = f"{self.waiting()} requests wait in this gateway, its limit"
            return _overloaded(reason, wait_s or limits.queue_timeout_s)
        if wait_s is not None and wait_s > limits.queue_timeout_s:
            return _overloaded(
                f"the wait for {service} would be {wait_s:.1f} s, "
                f"more than queue_timeout_s {limits.queue_timeout_s:g}",
                wait_s - limits.queue_timeout_s,
            )
        deadline_s = now_s + limits.queue_timeout_s
        queue.tickets[ticket_id] = _Ticket(deadline_s=deadline_s, waits_s=limits.queue_timeout_s)
        return Queued(ahead=ahead)

    def next_tickets(self, service: str, free_slots: int) -> list[str]:
        """Take the tickets out of a queue that may be sent now, first come first served."""
        queue = self._queue(service)
        taken = list(queue.tickets)[: max(0, free_slots)]
        for ticket_id in taken:
            del queue.tickets[ticket_id]
        return taken

    def expired(self, service: str, ticket_id: str, now_s: float) -> Failure | None:
        """Take a ticket out whose deadline has passed and return its refusal, else None."""
        queue = self._queue(service)
        ticket = queue.tickets.get(ticket_id)
        if ticket is None or ticket.deadline_s > now_s:
            return None
        del queue.tickets[ticket_id]
        wait_s = queue.drain.wait_s(len(queue.tickets) + 1, now_s)
        reason = f"no runner of {service} had room before the queue's deadline"
        return _overloaded(reason, wait_s or ticket.waits_s)

    def drop(self, service: str, ticket_id: str) -> None:
        """Take out a ticket whose caller is gone."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.tickets.pop(ticket_id, None)

    def drained(self, service: str, now_s: float) -> None:
        """Note that a request of a service ended: the drain rate follows."""
        self._queue(service).drain.ended(now_s)

    def waiting(self) -> int:
        """Return the number of requests in all queues."""
        return sum(len(queue.tickets) for queue in self._queues.values())

    def _tenant(self, tenant: str, limits: ResolvedLimits, now_s: float) -> _Tenant:
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _Tenant(float(limits.burst), now_s, DrainRate())
        earned = max(0.0, now_s - state.updated_s) * limits.requests_per_s
        state.tokens = min(float(limits.burst), state.tokens + earned)
        state.updated_s = now_s
        return state

    def _queue(self, service: str) -> _Queue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _Queue(OrderedDict(), DrainRate())
        return queue


def _limited(reason: str, retry_after_s: float) -> Failure:
    return Failure(
        kind=FailureKind.RATE_LIMITED,
        reason=reason,
        step=Step.ADMISSION,
        retry_after_s=min(retry_after_s, MAX_RETRY_AFTER_S),
    )


def _overloaded(reason: str, retry_after_s: float) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=reason,
        step=Step.QUEUEING,
        retry_after_s=min(max(retry_after_s, 0.0), MAX_RETRY_AFTER_S),
    )
