"""Which requests are sent at once, which wait at the gateway, and which are refused. Pure.

A back end lets requests in as they come. Once more come than its slots can take, first come first
served makes all of them late. So only those are sent that can still be in time; the others wait
here for the next lull, where they delay nobody. What can surely not be served is refused at once.
"""

from __future__ import annotations

from enum import Enum

LATE_QUEUE = 1.0
"""A request that is late already goes where at most so many wait before it. It must be above zero:
batch work fills the free slots of a lull, and gives way only to what a back end reports as waiting.
"""

MARGIN_S = 0.1
"""Before the latest useful moment of an answer's head: time to send, and to be refused in time."""

RETRY_LEAST_S = 0.2
"""Sooner than this a caller that was refused finds the same."""


class Prospect:
    """What a service's back ends would do with one more request now.

    Attributes:
        queue: Requests that must end at the best back end before one more begins there.
        slots: Requests that it works on at a time.
        run_s: Time for which a slot is taken by a request.
        backlog: Requests that wait at all back ends.
        capacity: Slots of all back ends.
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
        """Time in the best back end's queue."""
        return max(0.0, self.queue) * self.run_s / self.slots

    def drain_s(self, held: int) -> float:
        """Return the time in which all that waits now, here and there, can have begun."""
        return (self.backlog + held) * self.run_s / max(1, self.capacity)


class Ticket:
    """One request's place.

    Attributes:
        arrived_s: When it arrived, monotonic seconds.
        aim_s: When its head is aimed at.
        last_s: When its head is of use at the latest.
        head_s: Time from its send to its head where nothing waits.
    """

    __slots__ = ("arrived_s", "deadline_s", "head_latency_s", "target_s")

    def __init__(
        self, arrived_s: float, target_s: float, deadline_s: float, head_latency_s: float
    ) -> None:
        self.arrived_s = arrived_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.head_latency_s = head_latency_s

    def is_in_time(self, prospect: Prospect, now_s: float) -> bool:
        """Return whether its head comes within its aim if it is sent now."""
        return now_s + prospect.wait_s + self.head_latency_s <= self.target_s

    def is_over(self, now_s: float) -> bool:
        """Return whether its head can come too late only."""
        return now_s + self.head_latency_s > self.deadline_s - MARGIN_S


class Verdict(Enum):
    """What becomes of a request."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class AdmissionQueue:
    """Requests of one service that wait at this gateway."""

    __slots__ = ("_held", "_relief_s")

    def __init__(self, now_s: float) -> None:
        self._held: list[Ticket] = []
        self._relief_s = now_s

    @property
    def held(self) -> int:
        """Number of requests that wait."""
        return len(self._held)

    def oldest_s(self, now_s: float) -> float:
        """Return for how long the request that came first has been here; 0 when none waits."""
        return max((now_s - ticket.arrived_s for ticket in self._held), default=0.0)

    def arrive(self, ticket: Ticket, prospect: Prospect | None, now_s: float) -> Verdict:
        """Decide on a request that has just come; one that is held is in the queue then.

        Args:
            ticket: The request.
            prospect: None while it is not known: then it is sent, and its answer tells.
            now_s: Monotonic time.
        """
        if prospect is None or self._may_go(ticket, prospect, now_s):
            return Verdict.SEND
        if ticket.is_over(now_s + prospect.drain_s(self.held)) or self._is_hopeless(ticket, now_s):
            return Verdict.REFUSE
        self._held.append(ticket)
        return Verdict.HOLD

    def over(self, now_s: float) -> list[Ticket]:
        """Take out those that it is too late for."""
        gone = [ticket for ticket in self._held if ticket.is_over(now_s)]
        for ticket in gone:
            self._held.remove(ticket)
        return gone

    def next(self, prospect: Prospect | None, now_s: float) -> Ticket | None:
        """Take out the request that is sent next, None while none may go.

        Those that can still be in time go first, of them the one with least time; then those whose
        callers leave first.
        """
        if prospect is None:
            return self._take(self._held)
        in_time = [ticket for ticket in self._held if ticket.is_in_time(prospect, now_s)]
        if in_time:
            return self._take(in_time)
        if prospect.queue > LATE_QUEUE:
            return None
        self._relief_s = now_s
        return self._take(self._held)

    def drop(self, ticket: Ticket) -> None:
        """Take out a request whose caller has left."""
        if ticket in self._held:
            self._held.remove(ticket)

    def _take(self, tickets: list[Ticket]) -> Ticket | None:
        if not tickets:
            return None
        first = min(tickets, key=lambda ticket: (ticket.target_s, ticket.deadline_s))
        self._held.remove(first)
        return first

    def _may_go(self, ticket: Ticket, prospect: Prospect, now_s: float) -> bool:
        if prospect.queue <= LATE_QUEUE:
            self._relief_s = now_s
            return True
        return ticket.is_in_time(prospect, now_s)

    def _is_hopeless(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether there was no lull for as long as this request could wait for one."""
        return now_s - self._relief_s > ticket.deadline_s - ticket.arrived_s


def retry_after_s(prospect: Prospect | None, held: int) -> float:
    """Return when a refused caller may come back: once what waits now can have begun."""
    if prospect is None:
        return RETRY_LEAST_S
    return max(RETRY_LEAST_S, prospect.drain_s(held))
