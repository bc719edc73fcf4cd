"""Pure admission: limits of tenants, and a bounded queue with deadlines for each service.

A refusal is final and made at once: when the queue is full, or when at the present drain rate a
request would not be reached before its deadline. ``Retry-After`` follows from the same rate.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.settings.resolved import ResolvedLimits

DRAIN_WINDOW_S = 10.0
MIN_DRAIN_PER_S = 0.1
MAX_RETRY_AFTER_S = 60.0


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
    running: int = 0


class _Ticket(msgspec.Struct, frozen=True, kw_only=True):
    tenant: str
    deadline_s: float


class _Queue(msgspec.Struct):
    tickets: OrderedDict[str, _Ticket]
    drain_per_s: float
    updated_s: float


class Admission:
    """Places of tenants and queues of services. Now is passed in; the caller serializes."""

    def __init__(self) -> None:
        self._tenants: dict[str, _Tenant] = {}
        self._queues: dict[str, _Queue] = {}

    def enter(self, tenant: str, limits: ResolvedLimits, now_s: float) -> Failure | None:
        """Take one of a tenant's places and one token, or return the refusal."""
        state = self._tenant(tenant, limits, now_s)
        if state.running >= limits.concurrency:
            return _limited(
                f"tenant {tenant} has {state.running} requests running, its limit",
                1 / limits.requests_per_s,
            )
        if state.tokens < 1:
            return _limited(
                f"tenant {tenant} sends more than {limits.requests_per_s:g} requests/s",
                (1 - state.tokens) / limits.requests_per_s,
            )
        state.tokens -= 1
        state.running += 1
        return None

    def leave(self, tenant: str) -> None:
        """Give a tenant's place back."""
        state = self._tenants.get(tenant)
        if state is not None:
            state.running = max(0, state.running - 1)

    def arrive(
        self,
        service: str,
        ticket_id: str,
        tenant: str,
        limits: QueueLimits,
        free_slots: int,
        now_s: float,
    ) -> Admitted | Queued | Failure:
        """Decide on a request: sent now, queued, or refused.

        Args:
            service: Service asked for.
            ticket_id: Id of the request in the queue.
            tenant: Its tenant.
            limits: The service's queue settings.
            free_slots: Requests that the service's usable runners may still take.
            now_s: Monotonic time.
        """
        queue = self._queue(service, now_s)
        # Those who wait go first: a newcomer passes only when slots are left after them.
        if free_slots > len(queue.tickets):
            return Admitted()
        ahead = len(queue.tickets)
        wait_s = self._wait_s(queue, ahead, now_s)
        if ahead >= limits.max_queue:
            return _overloaded(f"the queue of {service} is full with {ahead} requests", wait_s)
        # With no end seen lately the rate is not known, and the deadline itself decides.
        if self._rate(queue, now_s) > 0 and wait_s > limits.queue_timeout_s:
            return _overloaded(
                f"the wait for {service} would be {wait_s:.1f} s, "
                f"more than queue_timeout_s {limits.queue_timeout_s:g}",
                wait_s - limits.queue_timeout_s,
            )
        deadline_s = now_s + limits.queue_timeout_s
        queue.tickets[ticket_id] = _Ticket(tenant=tenant, deadline_s=deadline_s)
        return Queued(ahead=ahead)

    def next_tickets(self, service: str, free_slots: int, now_s: float) -> list[str]:
        """Take the tickets out of a queue that may be sent now, first come first served."""
        queue = self._queue(service, now_s)
        taken = list(queue.tickets)[: max(0, free_slots)]
        for ticket_id in taken:
            del queue.tickets[ticket_id]
        return taken

    def expired(self, service: str, ticket_id: str, now_s: float) -> Failure | None:
        """Take a ticket out whose deadline has passed and return its refusal, else None."""
        queue = self._queue(service, now_s)
        ticket = queue.tickets.get(ticket_id)
        if ticket is None or ticket.deadline_s > now_s:
            return None
        del queue.tickets[ticket_id]
        wait_s = self._wait_s(queue, len(queue.tickets), now_s)
        return _overloaded(f"no runner of {service} had room before the queue's deadline", wait_s)

    def drop(self, service: str, ticket_id: str) -> None:
        """Take out a ticket whose caller is gone."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.tickets.pop(ticket_id, None)

    def drained(self, service: str, now_s: float) -> None:
        """Note that a request of a service ended: the drain rate follows."""
        queue = self._queue(service, now_s)
        queue.drain_per_s = self._rate(queue, now_s) + 1 / DRAIN_WINDOW_S
        queue.updated_s = now_s

    def waiting(self) -> int:
        """Return the number of requests in all queues."""
        return sum(len(queue.tickets) for queue in self._queues.values())

    def _wait_s(self, queue: _Queue, ahead: int, now_s: float) -> float:
        rate = max(self._rate(queue, now_s), MIN_DRAIN_PER_S)
        return min((ahead + 1) / rate, MAX_RETRY_AFTER_S)

    def _rate(self, queue: _Queue, now_s: float) -> float:
        """Return requests ended a second, over about the last ``DRAIN_WINDOW_S``."""
        elapsed_s = max(now_s - queue.updated_s, 0.0)
        return queue.drain_per_s * max(0.0, 1 - elapsed_s / DRAIN_WINDOW_S)

    def _tenant(self, tenant: str, limits: ResolvedLimits, now_s: float) -> _Tenant:
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _Tenant(tokens=float(limits.burst), updated_s=now_s)
        earned = max(0.0, now_s - state.updated_s) * limits.requests_per_s
        state.tokens = min(float(limits.burst), state.tokens + earned)
        state.updated_s = now_s
        return state

    def _queue(self, service: str, now_s: float) -> _Queue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _Queue(OrderedDict(), 0.0, now_s)
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
