"""Shares of a service's slots that tenants have while they ask for more than the slots.

Load pattern: one tenant of many sends several times its usual rate. Within its limit and burst that
is more than all slots of a service, and where requests are served in order of arrival all tenants
are late alike. Each of many gateways sees a few requests per second, so that its own arrivals don't
tell which tenant is large.

A tenant whose requests fit into its max-min share of the slots is served as if the others sent no
more than theirs. A tenant beyond its share has the share, and what the others leave.

Performs no I/O: the time and the random generator are passed in.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from random import Random

from leverjunction.quota.offered_rates import (
    MIN_TOLD_SHARE,
    DecayingRate,
    OfferedCounts,
    Told,
    largest,
)

TOLD_S = 1.0
"""Age of what the owner told from which a gateway goes by its own arrivals: several messages were
lost, and demands change within seconds.
"""

OWN_MEMORY_S = 2.0
"""Time constant of a gateway's own averages: it sees a few requests per second."""

MIN_OWN_REQUESTS = 5.0
"""Recent requests here from which on a gateway takes a tenant for large by its own arrivals: fewer
may have come to one gateway by chance.
"""

OWN_VIEW_S = 15.0
"""Time without the owner after which a gateway makes no difference between tenants any more. The
number of gateways that it was told, of which its own arrivals are a part, may no longer hold then.
"""

OWN_VIEW_INTERVAL_S = 0.2
"""Interval at which a gateway's own averages are compared: with thousands of tenants not at each
request.
"""

ROOM_DEVIATIONS = 2.0
"""Room for tenants within their share, in standard deviations of how many slots they take. Their
requests come at random; with this room 49 of 50 find a free slot.
"""

UNSEEN_S = 0.1
"""Time for which requests that other gateways send are not seen here: they are told 20 times a
second, after their gateway has reported them.
"""

ATTEMPT_INTERVAL_S = 0.02
"""Interval at which a gateway that holds requests tries to send them."""

MAX_AHEAD = 8.0
"""Requests for which a tenant's share may be used ahead of time, by callers who return."""


class Standing(IntEnum):
    """Standing of a request; lower ones go first while its service is short of slots."""

    WITHIN = 0
    """Its tenant asks for no more than its share."""
    SHARE = 1
    """Its tenant asks for more than its share; this request is a part of the share."""
    SURPLUS = 2
    """Its tenant asks for more than its share; this request is beyond it."""


def max_min_level(rates: Iterable[float], others_per_s: float, capacity_per_s: float) -> float:
    """Return the highest rate that each tenant may have; infinite if all rates fit.

    Args:
        rates: Requests per second of the largest tenants.
        others_per_s: Requests per second of all others together. They are served first, since each
            of them asks for less than the largest.
        capacity_per_s: Requests per second that can be served.
    """
    left_per_s = capacity_per_s - others_per_s
    ascending = sorted(rates)
    for index, per_s in enumerate(ascending):
        level = left_per_s / (len(ascending) - index)
        if per_s > level:
            return max(level, MIN_TOLD_SHARE * capacity_per_s)
        left_per_s -= per_s
    return math.inf


class ServiceLoad:
    """Load of a service for which its tenants' shares are wanted.

    Attributes:
        slots: Slots of all its back ends.
        run_s: Average time in seconds for which a request occupies a slot.
        backlog: Requests that wait at its back ends.
        budget_s: Time for which a request may wait and still be in time, in seconds.
        holds_surplus: Whether requests beyond a share are held here. Also when all can be in time
            again, these must not delay others.
    """

    __slots__ = ("backlog", "budget_s", "holds_surplus", "run_s", "slots")

    def __init__(
        self,
        slots: int,
        run_s: float,
        backlog: float = 0.0,
        budget_s: float = 0.0,
        holds_surplus: bool = False,
    ) -> None:
        self.slots = slots
        self.run_s = run_s
        self.backlog = backlog
        self.budget_s = budget_s
        self.holds_surplus = holds_surplus

    def wait_s(self, total_per_s: float) -> float:
        """Return the time for which requests will wait once a request sent now has run.

        For so long it takes a slot from others. A short burst beyond the slots delays nobody beyond
        its target, and cutting the largest tenants would make more requests late than it helps.

        Args:
            total_per_s: Requests per second that all tenants offer.
        """
        taken = total_per_s * self.run_s / self.slots
        return (self.backlog / self.slots + max(0.0, taken - 1)) * self.run_s


class SharePlan:
    """Shares of a service's tenants.

    Attributes:
        rates: Requests per second of the largest tenants.
        level: Requests per second to which a tenant is entitled; infinite if all are within their
            share.
        slots: Slots of the service.
        age_s: Age of the rates in seconds.
        is_told: Whether the owner told the rates; otherwise they are this gateway's own arrivals.
        gateways: Number of gateways.
        draw: Random number between 0 and 1 that decides whether this gateway uses a part of the
            room that all see.
    """

    __slots__ = ("_within_slots", "age_s", "draw", "gateways", "is_told", "level", "rates", "slots")

    def __init__(
        self, rates: dict[str, float], others_per_s: float, slots: int, run_s: float
    ) -> None:
        self.rates = rates
        self.slots = slots
        self.age_s = 0.0
        self.is_told = True
        capacity_per_s = slots / run_s
        self.level = max_min_level(rates.values(), others_per_s, capacity_per_s)
        if self.level < math.inf:
            within = self._within(self.level) + others_per_s
            room_per_s = ROOM_DEVIATIONS * math.sqrt(within * run_s) / run_s
            self.level = max_min_level(rates.values(), others_per_s, capacity_per_s - room_per_s)
        self._within_slots = (self._within(self.level) + others_per_s) * run_s
        self.gateways = 1
        self.draw = 0.0

    def beyond(self) -> dict[str, float]:
        """Return the requests per second of the tenants that are beyond their share."""
        return {name: per_s for name, per_s in self.rates.items() if per_s > self.level}

    def part(self, tenant: str) -> float:
        """Return the part of a tenant's requests that its share covers, between 0 and 1."""
        per_s = self.rates.get(tenant, 0.0)
        return self.level / per_s if per_s > self.level else 1.0

    def has_room(self, free: float) -> bool:
        """Return whether a request beyond its tenant's share may be sent now.

        It may if slots are left beside those that others are expected to take. All gateways see
        the same room, and it takes a moment until they see what the others have sent, so that each
        attempt succeeds with the probability at which all of them together fill the room.

        Args:
            free: Slots of the service without an online request, as far as known.
        """
        taken = self.slots - free
        coming = max(0.0, self._within_slots - taken)
        room = free - coming - ROOM_DEVIATIONS * math.sqrt(self._within_slots)
        return room >= 1 and self.draw * self.gateways * UNSEEN_S / ATTEMPT_INTERVAL_S < room

    def _within(self, level: float) -> float:
        return sum(per_s for per_s in self.rates.values() if per_s <= level)


class _Tenant:
    """What this gateway knows of one tenant's requests to one service.

    Attributes:
        own: Its requests per second here.
        phase: Accumulates the part of its requests that its share covers; whenever it passes 1,
            a request is covered.
    """

    __slots__ = ("own", "phase")

    def __init__(self, phase: float) -> None:
        self.own = DecayingRate(OWN_MEMORY_S)
        self.phase = phase


class _Rates:
    """Requests per second by tenant, and when they were known."""

    __slots__ = ("largest", "others_per_s", "since_s")

    def __init__(self, largest: dict[str, float], others_per_s: float, since_s: float) -> None:
        self.largest = largest
        self.others_per_s = others_per_s
        self.since_s = since_s


class TenantShares:
    """Shares of all tenants as one gateway knows them; used by one event loop.

    Args:
        random: Random generator.

    Attributes:
        counts: Requests that passed the limits here, for the report to the owner.
    """

    __slots__ = ("_gateways", "_heard_s", "_own", "_random", "_tenants", "_told", "counts")

    def __init__(self, random: Random) -> None:
        self._random = random
        self.counts = OfferedCounts()
        self._tenants: dict[str, dict[str, _Tenant]] = {}
        self._told: dict[str, _Rates] = {}
        self._own: dict[str, _Rates] = {}
        self._gateways = 0
        self._heard_s = -math.inf

    def apply(self, offered: Told, gateways: int, now_s: float) -> None:
        """Apply a message of the owner.

        Args:
            offered: Requests per second by service, empty in some messages.
            gateways: Number of gateways.
            now_s: Monotonic time in seconds.
        """
        if not offered:
            return
        self._gateways = gateways
        self._heard_s = now_s
        for service, (rates, others_per_s) in offered.items():
            self._told[service] = _Rates(rates, others_per_s, now_s)

    def note(self, service: str, tenant: str, now_s: float) -> None:
        """Count a request that has passed its tenant's limit."""
        self.counts.add(service, tenant)
        tenants = self._tenants.setdefault(service, {})
        if tenant not in tenants:
            tenants[tenant] = _Tenant(self._random.random())
        tenants[tenant].own.add(1, now_s)

    def plan(self, service: str, load: ServiceLoad, now_s: float) -> SharePlan | None:
        """Return the shares of a service's tenants; None if all are within their share.

        Also None while all requests can be in time, if only one tenant asks, or if the demands are
        not known.

        Args:
            service: The service.
            load: Its load.
            now_s: Monotonic time in seconds.
        """
        rates = self._told.get(service)
        is_told = rates is not None and now_s - rates.since_s <= TOLD_S
        if not is_told:
            rates = self._own_rates(service, now_s)
        if rates is None or len(rates.largest) + (rates.others_per_s > 0) < 2 or load.run_s <= 0:
            return None
        total_per_s = sum(rates.largest.values()) + rates.others_per_s
        if not load.holds_surplus and load.wait_s(total_per_s) <= load.budget_s:
            return None
        plan = SharePlan(rates.largest, rates.others_per_s, load.slots, load.run_s)
        if plan.level == math.inf and not load.holds_surplus:
            return None
        plan.gateways = max(1, self._gateways)
        plan.draw = self._random.random()
        plan.age_s = now_s - rates.since_s
        plan.is_told = is_told
        return plan

    def standing(
        self, service: str, tenant: str, plan: SharePlan, is_returning: bool = False
    ) -> Standing:
        """Return the standing of a request that has been counted.

        Args:
            service: Its service.
            tenant: Its tenant.
            plan: Shares of the service's tenants.
            is_returning: Whether it was refused before. The share then covers it ahead of others.
        """
        part = plan.part(tenant)
        if part >= 1:
            return Standing.WITHIN
        known = self._tenants[service][tenant]
        known.phase = max(known.phase, -MAX_AHEAD) + part
        if known.phase < 1 and not is_returning:
            return Standing.SURPLUS
        known.phase -= 1
        return Standing.SHARE

    def share_per_s(self, service: str, tenant: str, plan: SharePlan, now_s: float) -> float:
        """Return how many requests per second of a tenant its share covers at this gateway.

        At least an equal part: a gateway's own average rises slowly when a tenant turns hot.
        """
        own = self._tenants[service][tenant].own.per_s(now_s) * plan.part(tenant)
        return max(own, plan.level / max(1, self._gateways))

    def _own_rates(self, service: str, now_s: float) -> _Rates | None:
        """Return what all gateways would get if each got what this one does."""
        if now_s - self._heard_s > OWN_VIEW_S:
            return None
        known = self._own.get(service)
        if known is None or now_s - known.since_s >= OWN_VIEW_INTERVAL_S:
            tenants = self._tenants.get(service, {})
            rates = {name: item.own.per_s(now_s) for name, item in tenants.items()}
            known = self._own[service] = self._scale(rates, now_s)
        return known

    def _scale(self, rates: dict[str, float], now_s: float) -> _Rates:
        total = sum(rates.values())
        large = {
            name: per_s * self._gateways
            for name, per_s in largest(rates)[0].items()
            if per_s * OWN_MEMORY_S >= MIN_OWN_REQUESTS
        }
        return _Rates(large, max(0.0, total * self._gateways - sum(large.values())), now_s)


__all__ = ["ServiceLoad", "SharePlan", "Standing", "TenantShares", "max_min_level"]
