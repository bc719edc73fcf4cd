"""Ways to keep a tenant's limit over many gateways, behind one interface."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.local_limiter import LocalLimiter
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.quota.token_bucket import TokenBucket
from leverjunction.routes.types import Tenant


class Limiter(Protocol):
    """Limiter of one gateway."""

    def admit(self, tenant: Tenant, now_s: float) -> object | None:
        """Return None if a request is within the limit."""
        ...

    def apply_levels(self, levels: TenantLevels, now_s: float) -> None:
        """Apply a message of the owner."""
        ...

    def report(self, gateway: str, now_s: float, whole: bool) -> TenantUsage:
        """Return the report to the owner."""
        ...


class EqualShares:
    """Each gateway has the same share of the limit and of the tolerated excess; no messages."""

    def __init__(self, random: Random, bounds: QuotaBounds, gateways: int) -> None:
        self._random = random
        self._bounds = bounds
        self._gateways = gateways
        self._bucket: TokenBucket | None = None

    def admit(self, tenant: Tenant, now_s: float) -> object | None:
        """Return None if the gateway's share is not used up."""
        limit = tenant.limit
        # A share below one request would never admit any.
        depth = max(1.0, (limit.burst + self._bounds.excess(limit)) / self._gateways)
        if self._bucket is None:
            self._bucket = TokenBucket(depth, now_s)
        self._bucket.refill(limit.per_s / self._gateways, depth, now_s)
        if self._bucket.tokens < 1:
            return "refused"
        self._bucket.tokens -= 1
        return None

    def apply_levels(self, levels: TenantLevels, now_s: float) -> None:
        """Ignore the message."""

    def report(self, gateway: str, now_s: float, whole: bool) -> TenantUsage:
        """Report nothing."""
        return TenantUsage(gateway=gateway, tenants={})


class SharedCounts(LocalLimiter):
    """Admits as long as the last known level, less what this gateway admitted since, is above 0.

    Without the owner it goes by the last known level.
    """

    __slots__ = ("_level", "_since")

    def __init__(self, random: Random, bounds: QuotaBounds) -> None:
        super().__init__(random, bounds)
        self._level = 1.0
        self._since = 0

    def admit(self, tenant: Tenant, now_s: float) -> object | None:  # type: ignore[override]
        """Return None while tokens are left as far as this gateway knows."""
        account = self._account(tenant.name)
        account.demand.add(now_s)
        self._changed.add(tenant.name)
        if self._level - self._since <= 0:
            return "refused"
        self._since += 1
        account.admitted += 1
        return None

    def apply_levels(self, levels: TenantLevels, now_s: float, owner: str = "") -> None:
        """Take over the level; a tenant that is not told has enough."""
        super().apply_levels(levels, now_s, owner)
        level = next((item[0] for item in levels.tenants.values()), None)
        self._level = self._bounds.slack if level is None else level
        self._since = 0


WAYS: dict[str, Callable[[Random, QuotaBounds, int], Limiter]] = {
    "equal": EqualShares,
    "counts": lambda random, bounds, _gateways: SharedCounts(random, bounds),
    "flow": lambda random, bounds, _gateways: LocalLimiter(random, bounds),
}
"""Ways by name: equal shares, counts that gateways exchange, and the product's."""
