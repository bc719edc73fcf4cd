"""Requests that tenants offer to services, over all gateways.

A gateway sees a few requests per second of each tenant, too few to tell a large tenant from a small
one. Gateways therefore count what each tenant offers to each service, after the limits, and report
the counts; the owner of the limits averages them over all gateways and tells the largest.

Counts only grow, so a lost or doubled report distorts nothing: the next one has the same counts.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

import math

Counts = dict[str, dict[str, int]]
"""Requests since the gateway started, by service and name of the tenant."""

Told = dict[str, tuple[dict[str, float], float]]
"""By service: requests per second of its largest tenants, and of all others together."""

MEMORY_S = 0.5
"""Time constant of the owner's averages: callers wait about as long for an answer to begin. At the
owner even a small service has enough requests in that time to show its large tenants.
"""

TOLD_INTERVAL_S = 0.5
"""Interval at which gateways are told demands that have not changed much."""

MUCH = 0.1
"""Change of a tenant's part of a service's requests that gateways are told at once. While a large
change is unknown to them, requests beyond the slots queue up in front of those of all tenants.
"""

MIN_MUCH_PER_S = 10.0
"""Smaller changes can wait for the interval: few requests within ``MEMORY_S`` come by chance."""

MIN_TOLD_SHARE = 0.02
MAX_TENANTS_TOLD = 16
MAX_SERVICES_TOLD = 4
"""What is told: the tenants with this share of a service's requests or more, the largest first, of
the services with most requests. Other tenants are taken for being within their share: of fifty
that ask for as much, none is large.
"""

RESCALE_S = 20 * MEMORY_S
"""Time after which the scale of the averages begins anew."""

FORGOTTEN_PER_S = 0.01
"""Average that counts as none."""


class DecayingRate:
    """Average rate of requests with exponential decay.

    Args:
        memory_s: Time constant in seconds.
    """

    __slots__ = ("_memory_s", "_per_s", "_updated_s")

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._per_s = 0.0
        self._updated_s = 0.0

    def add(self, count: float, now_s: float) -> None:
        """Count requests at a monotonic time in seconds."""
        self._per_s = self.per_s(now_s) + count / self._memory_s
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the current average."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._per_s * math.exp(-elapsed_s / self._memory_s)


class OfferedCounts:
    """Counts of one gateway."""

    __slots__ = ("_changed", "_counts")

    def __init__(self) -> None:
        self._counts: Counts = {}
        self._changed: set[tuple[str, str]] = set()

    def add(self, service: str, tenant: str) -> None:
        """Count a request."""
        tenants = self._counts.setdefault(service, {})
        tenants[tenant] = tenants.get(tenant, 0) + 1
        self._changed.add((service, tenant))

    def report(self, whole: bool) -> Counts:
        """Return the counts that have changed since the last whole report.

        Args:
            whole: Whether this is a whole report.
        """
        changed: Counts = {}
        for service, tenant in sorted(self._changed):
            changed.setdefault(service, {})[tenant] = self._counts[service][tenant]
        if whole:
            self._changed.clear()
        return changed


class _Reporter:
    """Start and counts of one gateway, as it last reported them."""

    __slots__ = ("counts", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.counts: dict[tuple[str, str], int] = {}


class _ServiceRates:
    """Averages of one service's tenants.

    All are kept on one scale that grows with time, instead of each decaying: with thousands of
    tenants they can then be compared as often as gateways are told.
    """

    __slots__ = ("_origin_s", "_sums")

    def __init__(self, now_s: float) -> None:
        self._origin_s = now_s
        self._sums: dict[str, float] = {}

    def add(self, tenant: str, count: int, now_s: float) -> None:
        if now_s - self._origin_s > RESCALE_S:
            self._rescale(now_s)
        weight = math.exp((now_s - self._origin_s) / MEMORY_S)
        self._sums[tenant] = self._sums.get(tenant, 0.0) + count * weight

    def largest(self, now_s: float) -> tuple[dict[str, float], float]:
        """Return the largest tenants and their requests per second, and those of all others."""
        per_s = math.exp((self._origin_s - now_s) / MEMORY_S) / MEMORY_S
        rates, others = largest(self._sums)
        told = {name: round(weight * per_s, 2) for name, weight in rates.items()}
        return told, round(others * per_s, 2)

    def _rescale(self, now_s: float) -> None:
        """Move the origin of the scale, and forget tenants whose last request is long ago."""
        factor = math.exp((self._origin_s - now_s) / MEMORY_S)
        self._origin_s = now_s
        rates = {name: weight * factor for name, weight in self._sums.items()}
        self._sums = {
            name: rate for name, rate in rates.items() if rate >= FORGOTTEN_PER_S * MEMORY_S
        }


class OfferedRates:
    """Averages over all gateways, at the owner of the limits."""

    __slots__ = ("_rates", "_reporters", "_told", "_told_s")

    def __init__(self) -> None:
        self._reporters: dict[str, _Reporter] = {}
        self._rates: dict[str, _ServiceRates] = {}
        self._told: Told = {}
        self._told_s = float("-inf")

    def clear(self) -> None:
        """Forget everything: this process is no longer the owner."""
        self._reporters.clear()
        self._rates.clear()
        self._told = {}
        self._told_s = float("-inf")

    def forget(self, gateway: str) -> None:
        """Forget a dead gateway; what it reported decays."""
        self._reporters.pop(gateway, None)

    def apply(self, gateway: str, incarnation: int, counts: Counts, now_s: float) -> None:
        """Add what a gateway has counted since its last report.

        A count that is heard for the first time may be from before this process was the owner. It
        then stands for one request, the least that it can be.

        Args:
            gateway: Name of the gateway.
            incarnation: Start of the gateway; higher after each restart.
            counts: What it reports.
            now_s: Monotonic time in seconds.
        """
        reporter = self._reporters.get(gateway)
        if reporter is None or incarnation > reporter.incarnation:
            reporter = self._reporters[gateway] = _Reporter(incarnation)
        if incarnation < reporter.incarnation:
            return
        for service, tenants in counts.items():
            for tenant, count in tenants.items():
                known = reporter.counts.get((service, tenant), count - 1)
                if count > known:
                    reporter.counts[service, tenant] = count
                    rates = self._rates.setdefault(service, _ServiceRates(now_s))
                    rates.add(tenant, count - known, now_s)

    def told(self, now_s: float) -> Told:
        """Return what all gateways are to be told; empty while they know it."""
        told = {service: rates.largest(now_s) for service, rates in self._rates.items()}
        totals = {name: sum(rates.values()) + others for name, (rates, others) in told.items()}
        busiest = sorted(totals, key=lambda service: -totals[service])[:MAX_SERVICES_TOLD]
        told = {service: told[service] for service in busiest if totals[service] > 0}
        if now_s - self._told_s < TOLD_INTERVAL_S and not self._has_changed(told):
            return {}
        self._told_s = now_s
        self._told = told
        return told

    def _has_changed(self, told: Told) -> bool:
        """Return whether a tenant asks for a much larger or smaller part than was told."""
        for service, (rates, others_per_s) in told.items():
            known = self._told.get(service, ({}, 0.0))[0]
            much = max(MUCH * (sum(rates.values()) + others_per_s), MIN_MUCH_PER_S)
            names = rates.keys() | known.keys()
            if any(abs(rates.get(name, 0.0) - known.get(name, 0.0)) > much for name in names):
                return True
        return False


def largest(rates: dict[str, float]) -> tuple[dict[str, float], float]:
    """Return the largest tenants and their requests per second, and those of all others.

    Requests without a tenant, whose name is empty, are among the others.
    """
    total = sum(rates.values())
    large = [name for name, per_s in rates.items() if name and per_s >= MIN_TOLD_SHARE * total]
    large.sort(key=lambda name: -rates[name])
    told = {name: rates[name] for name in large[:MAX_TENANTS_TOLD]}
    return told, max(0.0, total - sum(told.values()))


__all__ = ["Counts", "DecayingRate", "OfferedCounts", "OfferedRates", "Told", "largest"]
