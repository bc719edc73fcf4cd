"""Admission control: which requests are sent at once, held at the gateway, or refused.

A back end accepts requests in order of arrival. Once more arrive than its slots can serve, first
come, first served makes all of them late. Therefore only requests that can still meet their target
are sent. The others are held at the gateway, where they delay nobody, until the next lull. A
request that certainly can't be served is refused at once.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from enum import Enum

MAX_LATE_QUEUE = 1.0
"""Longest queue that a request joins which misses its target anyway. It must be above zero: batch
work fills the free slots during a lull, and yields only to requests that a back end reports as
waiting.
"""

SEND_MARGIN_S = 0.1
"""Time before a request's deadline at which it is given up: enough to send it, or to refuse it
before the caller gives up.
"""

MIN_RETRY_AFTER_S = 0.2
"""Minimum delay before a refused caller retries: an earlier retry would be refused again."""


class LoadEstimate:
    """Estimated load that one more request to a service would meet.

    Attributes:
        queue: Number of requests that must finish at the least loaded back end before one more
            starts there; negative if it has free slots.
        slots: Number of slots of that back end.
        run_s: Average time in seconds for which a request occupies a slot.
        backlog: Number of requests that wait at all back ends.
        capacity: Number of slots of all back ends.
    """

    __slots__ = ("backlog", "capacity", "queue", "run_s", "slots")

    def __init__(
        self, queue: float, slots: int, run_s: float, backlog: float, capacity: int
    ) -> None:
        self.queue = queue
        self.slots = slots
        self.run_s = run_s
        self.backlog = backlog
        self.capacity = capacity

    @property
    def wait_s(self) -> float:
        """Estimated time in the queue of the least loaded back end, in seconds."""
        return max(0.0, self.queue) * self.run_s / self.slots

    def drain_s(self, held: int) -> float:
        """Return the seconds until all requests that wait now can have started.

        Args:
            held: Number of requests held at this gateway.
        """
        return (self.backlog + held) * self.run_s / max(1, self.capacity)


class Ticket:
    """Deadlines of one request, in monotonic seconds.

    Attributes:
        arrived_s: When the request arrived.
        target_s: When its response head should be there.
        deadline_s: When its response head must be there to be of use.
        head_latency_s: Seconds from sending it to its response head without queueing.
        rank: Priorities of its tenant and of its route, where 0 is the most urgent. The tenant's
            comes first.
    """

    __slots__ = ("arrived_s", "deadline_s", "head_latency_s", "rank", "target_s")

    def __init__(
        self,
        arrived_s: float,
        target_s: float,
        deadline_s: float,
        head_latency_s: float,
        rank: tuple[int, int] = (0, 0),
    ) -> None:
        self.rank = rank
        self.arrived_s = arrived_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.head_latency_s = head_latency_s

    def meets_target(self, estimate: LoadEstimate, now_s: float) -> bool:
        """Return whether the request would meet its target if it were sent now."""
        return now_s + estimate.wait_s + self.head_latency_s <= self.target_s

    def is_expired(self, now_s: float) -> bool:
        """Return whether the request can no longer meet its deadline."""
        return now_s + self.head_latency_s > self.deadline_s - SEND_MARGIN_S


class Decision(Enum):
    """Admission decision about a request."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class AdmissionQueue:
    """Requests of one service that are held at this gateway."""

    __slots__ = ("_held", "_last_lull_s")

    def __init__(self, now_s: float) -> None:
        self._held: list[Ticket] = []
        self._last_lull_s = now_s

    @property
    def held(self) -> int:
        """Number of held requests."""
        return len(self._held)

    def oldest_age_s(self, now_s: float) -> float:
        """Return the age in seconds of the oldest held request; 0 if none is held."""
        return max((now_s - ticket.arrived_s for ticket in self._held), default=0.0)

    def admit(self, ticket: Ticket, estimate: LoadEstimate | None, now_s: float) -> Decision:
        """Decide about a request that has just arrived; a held one is added to the queue.

        Args:
            ticket: The request.
            estimate: Load of the service; None if unknown. The request is then sent, since its
                response reports the load.
            now_s: Monotonic time in seconds.
        """
        if estimate is None or self._can_send(ticket, estimate, now_s):
            return Decision.SEND
        if ticket.is_expired(now_s + estimate.drain_s(self.held)) or self._cannot_be_served(
            ticket, now_s
        ):
            return Decision.REFUSE
        self._held.append(ticket)
        return Decision.HOLD

    def pop_expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired = [ticket for ticket in self._held if ticket.is_expired(now_s)]
        for ticket in expired:
            self._held.remove(ticket)
        return expired

    def pop_next(self, estimate: LoadEstimate | None, now_s: float) -> Ticket | None:
        """Remove and return the request to send next; None if none may be sent now.

        Requests that can still meet their target go first, by rank and then in the order of their
        targets. If there are none, late requests follow in the same order during a lull.
        """
        if estimate is None:
            return self._pop_first(self._held)
        in_time = [ticket for ticket in self._held if ticket.meets_target(estimate, now_s)]
        if in_time:
            return self._pop_first(in_time)
        if estimate.queue > MAX_LATE_QUEUE:
            return None
        self._last_lull_s = now_s
        return self._pop_first(self._held)

    def discard(self, ticket: Ticket) -> None:
        """Remove a request whose caller has disconnected, if it is held."""
        if ticket in self._held:
            self._held.remove(ticket)

    def _pop_first(self, tickets: list[Ticket]) -> Ticket | None:
        if not tickets:
            return None
        first = min(tickets, key=lambda ticket: (ticket.rank, ticket.target_s, ticket.deadline_s))
        self._held.remove(first)
        return first

    def _can_send(self, ticket: Ticket, estimate: LoadEstimate, now_s: float) -> bool:
        if estimate.queue <= MAX_LATE_QUEUE:
            self._last_lull_s = now_s
            return True
        return ticket.meets_target(estimate, now_s)

    def _cannot_be_served(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether the last lull is longer ago than this request could wait for one."""
        return now_s - self._last_lull_s > ticket.deadline_s - ticket.arrived_s


def retry_after_s(estimate: LoadEstimate | None, held: int) -> float:
    """Return the seconds after which a refused caller should retry.

    By then all requests that wait now can have started.

    Args:
        estimate: Load of the service; None if unknown.
        held: Number of requests held at this gateway.
    """
    if estimate is None:
        return MIN_RETRY_AFTER_S
    return max(MIN_RETRY_AFTER_S, estimate.drain_s(held))
