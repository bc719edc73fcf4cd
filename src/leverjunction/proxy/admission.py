"""Admission control: which requests are sent at once, held at the gateway, or refused.

A back end accepts requests in order of arrival. Once more arrive than its slots can serve, first
come, first served makes all of them late. Therefore only requests that can still meet their target
are sent. The others are held at the gateway, where they delay nobody, until the next lull. A
request that certainly can't be served is refused at once.

While tenants ask for more than the slots (``SharePlan``), requests beyond their tenant's share are
sent only into room that the others leave. They are held while their share is expected to cover them
before their deadline, otherwise refused at once.

A stream that its caller resumed may go to the back ends of one version only. It is judged by their
load, goes before new requests of its rank, and joins a queue in which it meets its deadline.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from leverjunction.proxy.tenant_shares import SharePlan, Standing

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

MIN_SHARE_PER_S = 0.01
"""Lowest rate at which a tenant's share is taken to cover requests; bounds the time told."""


class LoadEstimate:
    """Estimated load that one more request to a service would meet.

    Attributes:
        queue: Number of requests that must finish at the least loaded back end before one more
            starts there; negative if it has free slots.
        slots: Number of slots of that back end.
        run_s: Average time in seconds for which a request occupies a slot.
        backlog: Number of requests that wait at all back ends.
        capacity: Number of slots of all back ends.
        is_run_assumed: Whether ``run_s`` is a default, as no request has finished here yet.
    """

    __slots__ = ("backlog", "capacity", "is_run_assumed", "queue", "run_s", "slots")

    def __init__(
        self,
        queue: float,
        slots: int,
        run_s: float,
        backlog: float,
        capacity: int,
        is_run_assumed: bool = False,
    ) -> None:
        self.is_run_assumed = is_run_assumed
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
        tenant: Its tenant; empty if it has none.
        content: Returns a key of what is the same in all attempts of its caller.
        is_returning: Whether it was refused before; it then goes before others of its rank.
        version: Version of the back ends that may continue a resumed stream; None for a new
            request, which any back end may run.
        begins_at: Returns the version at which a new stream must begin, None for any; a later
            version may be used while the request is held.
        standing: Its standing among the tenants' shares.
        share_per_s: Requests per second of its tenant that the tenant's share covers here.
    """

    __slots__ = (
        "arrived_s",
        "begins_at",
        "content",
        "deadline_s",
        "head_latency_s",
        "is_returning",
        "rank",
        "share_per_s",
        "standing",
        "target_s",
        "tenant",
        "version",
    )

    def __init__(
        self,
        arrived_s: float,
        target_s: float,
        deadline_s: float,
        head_latency_s: float,
        rank: tuple[int, int] = (0, 0),
        tenant: str = "",
        content: Callable[[], str] = str,
        version: str | None = None,
        begins_at: Callable[[], str | None] = lambda: None,
    ) -> None:
        self.rank = rank
        self.version = version
        self.begins_at = begins_at
        self.tenant = tenant
        self.content = content
        self.is_returning = False
        self.standing = Standing.WITHIN
        self.share_per_s = 0.0
        self.arrived_s = arrived_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.head_latency_s = head_latency_s

    @property
    def only_version(self) -> str | None:
        """Version of the back ends that may run the request, None if all may."""
        return self.begins_at() if self.version is None else self.version

    def meets_target(self, estimate: LoadEstimate, now_s: float) -> bool:
        """Return whether the request would meet its target if it were sent now.

        A resumed stream is late already: it is to meet its deadline. While run times are only
        assumed, its wait is unknown, and it joins the queue.
        """
        if self.version is not None and estimate.is_run_assumed:
            return not self.is_expired(now_s)
        if self.version is not None:
            return not self.is_expired(now_s + estimate.wait_s)
        return now_s + estimate.wait_s + self.head_latency_s <= self.target_s

    def is_expired(self, now_s: float) -> bool:
        """Return whether the request can no longer meet its deadline."""
        return now_s + self.head_latency_s > self.deadline_s - SEND_MARGIN_S


class Decision(Enum):
    """Admission decision about a request."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


EstimateOf = Callable[[Ticket], LoadEstimate | None]
"""Returns the load that a request would meet at the back ends that may run it, None if unknown."""


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

    @property
    def holds_surplus(self) -> bool:
        """Whether requests beyond their tenant's share are held."""
        return any(ticket.standing is not Standing.WITHIN for ticket in self._held)

    def oldest_age_s(self, now_s: float) -> float:
        """Return the age in seconds of the oldest held request; 0 if none is held."""
        return max((now_s - ticket.arrived_s for ticket in self._held), default=0.0)

    def admit(
        self,
        ticket: Ticket,
        estimate: LoadEstimate | None,
        now_s: float,
        plan: SharePlan | None = None,
        free: float = 0.0,
    ) -> Decision:
        """Decide about a request that has just arrived; a held one is added to the queue.

        Args:
            ticket: The request.
            estimate: Load of the back ends that may run the request; None if unknown. The request
                is then sent, since its response reports the load.
            now_s: Monotonic time in seconds.
            plan: Shares of the tenants; None while all are within their share.
            free: Slots of the service without an online request; used with a plan.
        """
        if estimate is None:
            return Decision.SEND
        if plan is None or ticket.standing is Standing.WITHIN:
            return self._admit_within(ticket, estimate, now_s, plan)
        self._pass_on_share(ticket, estimate, now_s)
        if not self._is_outranked(ticket) and _may_use_slot(ticket.standing, estimate, plan, free):
            return Decision.SEND
        if ticket.standing is Standing.SURPLUS and not self._is_covered_in_time(ticket, now_s):
            return Decision.REFUSE
        if ticket.is_expired(now_s):
            return Decision.REFUSE
        self._held.append(ticket)
        return Decision.HOLD

    def _admit_within(
        self, ticket: Ticket, estimate: LoadEstimate, now_s: float, plan: SharePlan | None
    ) -> Decision:
        if self._can_send(ticket, estimate, now_s):
            return Decision.SEND
        ahead = self._ahead(ticket, plan)
        if ticket.is_expired(now_s + estimate.drain_s(ahead)) or self._cannot_be_served(
            ticket, now_s
        ):
            return Decision.REFUSE
        self._held.append(ticket)
        return Decision.HOLD

    def hold(self, ticket: Ticket) -> None:
        """Add a request that was sent, and that all back ends declined."""
        self._held.append(ticket)

    def pop_expired(self, now_s: float) -> list[Ticket]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired = [ticket for ticket in self._held if ticket.is_expired(now_s)]
        for ticket in expired:
            self._held.remove(ticket)
        return expired

    def pop_next(
        self,
        estimate: LoadEstimate | None,
        now_s: float,
        plan: SharePlan | None = None,
        free: float = 0.0,
        estimate_of: EstimateOf | None = None,
    ) -> Ticket | None:
        """Remove and return the request to send next; None if none may be sent now.

        Requests that can still meet their target go first, by rank, resumed streams before others,
        and then in the order of their targets. If there are none, late requests follow in the same
        order during a lull. With a plan, requests of tenants within their share go before all
        others, late ones too.

        Args:
            estimate: Load of the service; None if unknown.
            now_s: Monotonic time in seconds.
            plan: Shares of the tenants; None while all are within their share.
            free: Slots of the service without an online request; used with a plan.
            estimate_of: Returns the load for one request; None if all back ends may run each.
        """

        def load_for(ticket: Ticket) -> LoadEstimate | None:
            return estimate if estimate_of is None else estimate_of(ticket)

        if plan is None:
            return self._pop_among(self._held, load_for, now_s)
        for standing in Standing:
            tickets = [
                ticket
                for ticket in self._held
                if ticket.standing is standing
                and _may_use_slot(standing, load_for(ticket), plan, free)
            ]
            chosen = self._pop_among(tickets, load_for, now_s)
            if chosen is not None:
                return chosen
        return None

    def _pop_among(
        self, tickets: list[Ticket], load_for: EstimateOf, now_s: float
    ) -> Ticket | None:
        in_time: list[Ticket] = []
        late: list[Ticket] = []
        for ticket in tickets:
            estimate = load_for(ticket)
            if estimate is None or ticket.meets_target(estimate, now_s):
                in_time.append(ticket)
            elif estimate.queue <= MAX_LATE_QUEUE:
                late.append(ticket)
        if in_time:
            return self._pop_first(in_time)
        if late:
            self._last_lull_s = now_s
        return self._pop_first(late)

    def discard(self, ticket: Ticket) -> None:
        """Remove a request whose caller has disconnected, if it is held."""
        if ticket in self._held:
            self._held.remove(ticket)

    def _pop_first(self, tickets: list[Ticket]) -> Ticket | None:
        if not tickets:
            return None
        first = min(tickets, key=_order)
        self._held.remove(first)
        return first

    def _can_send(self, ticket: Ticket, estimate: LoadEstimate, now_s: float) -> bool:
        if estimate.queue <= MAX_LATE_QUEUE:
            self._last_lull_s = now_s
            return True
        return ticket.meets_target(estimate, now_s)

    def _cannot_be_served(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether the last lull is longer ago than this request could wait for one.

        A resumed stream needs none: it takes the first slot that new requests would have had.
        """
        if ticket.version is not None:
            return False
        return now_s - self._last_lull_s > ticket.deadline_s - ticket.arrived_s

    def _ahead(self, ticket: Ticket, plan: SharePlan | None) -> int:
        """Return the number of held requests that go before one within its tenant's share."""
        held = [other for other in self._held if plan is None or other.standing is Standing.WITHIN]
        if ticket.version is None:
            return len(held)
        return sum(_may_precede(other, ticket) for other in held)

    def _is_outranked(self, ticket: Ticket) -> bool:
        """Return whether a held request goes before one that is beyond its tenant's share."""
        return any(held.standing < ticket.standing for held in self._held)

    def _pass_on_share(self, ticket: Ticket, estimate: LoadEstimate, now_s: float) -> None:
        """Let the share that covers a request cover the tenant's first due one instead."""
        if ticket.standing is not Standing.SHARE or ticket.is_returning:
            return
        waiting = [
            held
            for held in self._held
            if held.tenant == ticket.tenant
            and held.standing is Standing.SURPLUS
            and held.meets_target(estimate, now_s)
        ]
        first = min([*waiting, ticket], key=_order)
        ticket.standing = Standing.SURPLUS
        first.standing = Standing.SHARE

    def place_s(self, ticket: Ticket) -> float:
        """Return the seconds until the tenant's share covers one more request of it here."""
        ahead = sum(
            held.tenant == ticket.tenant and held.standing is Standing.SURPLUS
            for held in self._held
        )
        return (ahead + 1) / max(ticket.share_per_s, MIN_SHARE_PER_S)

    def _is_covered_in_time(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether a share is expected to cover a request before its deadline."""
        return not ticket.is_expired(now_s + self.place_s(ticket))


def _order(ticket: Ticket) -> tuple[tuple[int, int], bool, bool, float, float]:
    is_new = ticket.version is None
    return ticket.rank, is_new, not ticket.is_returning, ticket.target_s, ticket.deadline_s


def _may_precede(other: Ticket, stream: Ticket) -> bool:
    """Return whether a held request takes a slot that a resumed stream waits for."""
    return _order(other) <= _order(stream) and other.version in (None, stream.version)


def _may_use_slot(
    standing: Standing, estimate: LoadEstimate | None, plan: SharePlan, free: float
) -> bool:
    """Return whether a slot may go to a request of a standing.

    A request that its tenant's share covers takes a free slot, but joins no queue: those of tenants
    within their share would wait behind it.
    """
    if standing is Standing.WITHIN:
        return True
    if standing is Standing.SHARE:
        return estimate is None or estimate.queue <= 0
    return plan.has_room(free)


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
