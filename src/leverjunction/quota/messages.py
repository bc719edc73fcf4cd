"""Datagrams between gateways and the owner of the tenants' limits."""

from __future__ import annotations

import msgspec


class TenantUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Report of a gateway to the owner.

    Attributes:
        gateway: Name of the gateway.
        tenants: By name of the tenant: requests admitted since the gateway started, and requests
            per second that callers currently send, refused ones included.
        address: Host and port of the gateway if another process passes on its report, else empty.
        left: By name of the tenant, while the gateway has no owner: what is left of its part of the
            tenant's bucket, negative if it was overdrawn.
        offered: Requests that passed the limits since the gateway started, by service and name of
            the tenant (``OfferedCounts.report``).
    """

    gateway: str
    tenants: dict[str, tuple[int, float]]
    address: str = ""
    left: dict[str, float] = {}
    offered: dict[str, dict[str, int]] = {}


class TenantLevels(msgspec.Struct, frozen=True, kw_only=True):
    """What the owner tells all gateways.

    Attributes:
        gateways: Number of gateways that the owner has recently heard from.
        report_interval_s: Minimum interval between two reports of one gateway, in seconds.
        tenants: By name of the tenant: tokens left in its bucket, negative if it was overdrawn, and
            requests per second that its callers send at all gateways together. Tenants far below
            their limit are left out.
        offered: By service: requests per second at all gateways that passed the limits, of its
            largest tenants, and of all others together. Not in each message.
    """

    gateways: int
    report_interval_s: float
    tenants: dict[str, tuple[float, float]]
    offered: dict[str, tuple[dict[str, float], float]] = {}


__all__ = ["TenantLevels", "TenantUsage"]
