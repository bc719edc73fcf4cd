"""Share of a tenant's rate that a gateway has while it hears no owner of the limits."""

from __future__ import annotations

from leverjunction.routes.types import RateLimit

BUSY_SHARE = 0.25
"""Share of its rate from which on a tenant's demand is told to gateways; below, they assume it."""

HEADROOM = 2.0
"""Multiple of a tenant's demand that is divided by the gateways' parts of it. An average of a
demand that has just begun is low, and differs between gateways that get the same.
"""


def former_share(limit: RateLimit, own: float, fleet: float, gateways: int) -> float:
    """Return a gateway's share of a tenant's rate.

    A multiple of the demand is divided in proportion to the demand at each gateway, the rest of the
    rate equally among all. The shares of gateways that know the same demand add up to 1 at most.

    Args:
        limit: The tenant's limit.
        own: Requests per second at the gateway.
        fleet: Requests per second at all gateways.
        gateways: Number of gateways.
    """
    demand = max(fleet, own, BUSY_SHARE * limit.per_s)
    by_demand = min(1.0, HEADROOM * demand / limit.per_s)
    return by_demand * own / demand + (1 - by_demand) / max(1, gateways)


__all__ = ["BUSY_SHARE", "former_share"]
