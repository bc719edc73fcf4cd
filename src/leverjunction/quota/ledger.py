"""Token buckets of all tenants at the owner, charged with what the gateways report.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from collections.abc import Mapping

from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.former_share import BUSY_SHARE, former_share
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.quota.offered_rates import OfferedRates
from leverjunction.quota.token_bucket import TokenBucket
from leverjunction.routes.types import RateLimit

SILENT_S = 0.8
"""Age of a gateway's last report after which it decides alone (``LocalLimiter``). The part of the
rate that it then allows itself is withheld from the others.
"""

FORGOTTEN_S = 15.0
"""Age after which a gateway is taken for dead. Longer than ``LocalLimiter.SHARE_LEASE_S``."""

TIGHT_SHARE = 0.5
"""Share of a bucket's depth below which its level is told to gateways in each message."""

TAKEOVER_SHARE = 0.1
"""Share of the tolerated excess that a bucket holds when this process has become the owner. It does
not know what gateways have admitted before.
"""

TAKEOVER_WAIT_S = 0.7
"""Time from a new owner's first report until it tells levels, unless that report came later than
``UNHEARD_S``. By then all gateways within reach have reported, and the demand that is told is not
that of a few of them.
"""

UNHEARD_S = 1.3
"""Time without any report after which a new owner knows that no gateway within reach was admitting
requests: a gateway notices the loss of its former owner, and reports to all that may follow.
"""

FORGOTTEN_MILLI = 1
"""Demand in requests per 1,000 s that counts as none. Gateways stop reporting it there."""

ALL_BUSY_INTERVAL_S = 1.0
LEVELS_INTERVAL_S = 0.1
LEVELS_DATAGRAMS_PER_S = 2000.0
REPORT_INTERVAL_S = 0.1
REPORTS_PER_S = 1000.0
"""Intervals of messages, and the highest rates of datagrams to and from all gateways together."""

MAX_TENANTS_TOLD = 40
"""Tenants in one datagram; with long names it stays below the size that links carry whole."""

Address = tuple[str, int]


class _Gateway:
    """Last report of one gateway.

    Attributes:
        demand_milli: Requests per 1,000 s by tenant, as the gateway last reported them. Integers,
            so that sums over all gateways stay exact as reports replace each other.
        left: What it last told to be left of its parts of the tenants' buckets.
        withheld: Share of each tenant's rate that the gateway allows itself while it is silent;
            None while it is not.
        withheld_s: Since when it is withheld.
    """

    __slots__ = (
        "address",
        "admitted",
        "demand_milli",
        "heard_s",
        "incarnation",
        "left",
        "withheld",
        "withheld_s",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.address: Address = ("", 0)
        self.heard_s = 0.0
        self.admitted: dict[str, int] = {}
        self.demand_milli: dict[str, int] = {}
        self.left: dict[str, float] = {}
        self.withheld: dict[str, float] | None = None
        self.withheld_s = 0.0


class _Account:
    """Bucket of one tenant."""

    __slots__ = ("bucket", "limit")

    def __init__(self, limit: RateLimit, bucket: TokenBucket) -> None:
        self.limit = limit
        self.bucket = bucket


class Ledger:
    """Buckets of the limited tenants, and the gateways that draw on them.

    Args:
        bounds: Tolerance of the deployment.
    """

    __slots__ = (
        "_accounts",
        "_active",
        "_began_s",
        "_bounds",
        "_demand_milli",
        "_first_report_s",
        "_gateways",
        "_has_taken_over",
        "_offered",
        "_silent",
        "_takeover_s",
        "_told_all_s",
    )

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._gateways: dict[str, _Gateway] = {}
        # With thousands of tenants and hundreds of gateways only what changes may be visited.
        self._silent: list[_Gateway] = []
        self._offered = OfferedRates()
        self._active: set[str] = set()
        self._demand_milli: dict[str, int] = {}
        self._told_all_s = float("-inf")
        self._began_s: float | None = None
        self._first_report_s: float | None = None
        self._takeover_s = float("-inf")
        self._has_taken_over = False

    def clear(self) -> None:
        """Forget everything: this process is no longer the owner."""
        self._accounts.clear()
        self._gateways.clear()
        self._offered.clear()
        self._silent.clear()
        self._active.clear()
        self._demand_milli.clear()
        self._began_s = None
        self._first_report_s = None
        self._takeover_s = float("-inf")
        self._has_taken_over = False

    def set_limits(self, limits: Mapping[str, RateLimit], now_s: float) -> None:
        """Replace the limits by name of the tenant; buckets of known tenants keep their level."""
        if self._began_s is None:
            self._began_s = now_s
        accounts: dict[str, _Account] = {}
        for name, limit in limits.items():
            if not limit.is_limited:
                continue
            known = self._accounts.get(name)
            if known is None:
                bucket = TokenBucket(self._takeover_level(limit), now_s)
            else:
                self._refill(name, known, now_s)
                bucket = known.bucket
            accounts[name] = _Account(limit, bucket)
        self._accounts = accounts

    def apply_usage(
        self, usage: TenantUsage, incarnation: int, address: Address, now_s: float
    ) -> None:
        """Charge what a gateway has admitted since its last report.

        Args:
            usage: The report.
            incarnation: Start of the gateway that sent it; higher after each restart.
            address: Host and port from which the report came.
            now_s: Monotonic time in seconds.
        """
        gateway = self._gateways.get(usage.gateway)
        if gateway is not None and incarnation < gateway.incarnation:
            return
        self._offered.apply(usage.gateway, incarnation, usage.offered, now_s)
        # What a gateway admitted before its first report to this owner is not charged, unless the
        # gateway was started since: then it began with nothing.
        is_first = gateway is None
        if gateway is not None and incarnation > gateway.incarnation:
            self._remove(gateway)
        if gateway is None or incarnation > gateway.incarnation:
            gateway = self._gateways[usage.gateway] = _Gateway(incarnation)
            gateway.heard_s = now_s
        if self._first_report_s is None:
            self._first_report_s = now_s
            # Nothing was admitted by gateways that this owner does not know.
            self._has_taken_over = self._began_s is not None and now_s - self._began_s > UNHEARD_S
        left_before, charged_share = gateway.left, self._charged_share(gateway.heard_s, now_s)
        gateway.heard_s = now_s
        gateway.address = address
        gateway.left = usage.left
        prepaid = self._end_withholding(gateway, now_s)
        for name, (admitted, demand) in usage.tenants.items():
            known = gateway.admitted.get(name, admitted if is_first else 0)
            gateway.admitted[name] = admitted
            self._set_demand(gateway, name, demand)
            account = self._accounts.get(name)
            if account is not None:
                self._refill(name, account, now_s)
                charge = (admitted - known) * (charged_share if name in left_before else 1.0)
                account.bucket.tokens -= charge - prepaid.get(name, 0.0)
                if is_first and self._has_taken_over:
                    account.bucket.tokens += min(0.0, usage.left.get(name, 0.0))

    def levels(self, now_s: float) -> list[TenantLevels]:
        """Return the messages to all gateways: tight tenants, and at intervals all busy ones."""
        self._review_gateways(now_s)
        if self._first_report_s is None:
            return []
        if not self._has_taken_over:
            if now_s - self._first_report_s < TAKEOVER_WAIT_S:
                return []
            self._take_over(now_s)
        tells_all = now_s - self._told_all_s >= ALL_BUSY_INTERVAL_S
        if tells_all:
            self._told_all_s = now_s
        told: dict[str, tuple[float, float]] = {}
        self._active &= self._accounts.keys()
        for name in list(self._active):
            account = self._accounts[name]
            self._refill(name, account, now_s)
            level, demand = account.bucket.tokens, self._demand(name)
            if not demand and level >= self._bounds.depth(account.limit):
                self._active.discard(name)
            is_tight = level < TIGHT_SHARE * self._bounds.depth(account.limit)
            is_busy = demand >= BUSY_SHARE * account.limit.per_s
            if is_tight or (tells_all and is_busy):
                told[name] = (round(level, 2), round(demand, 3))
        names = list(told)
        parts = [
            {name: told[name] for name in names[first : first + MAX_TENANTS_TOLD]}
            for first in range(0, len(names), MAX_TENANTS_TOLD)
        ]
        count = len(self._gateways)
        interval_s = max(REPORT_INTERVAL_S, count / REPORTS_PER_S)
        messages = [
            TenantLevels(gateways=count, report_interval_s=interval_s, tenants=part)
            for part in parts
        ]
        offered = self._offered.told(now_s)
        if offered or not messages:
            last = TenantLevels(
                gateways=count, report_interval_s=interval_s, tenants={}, offered=offered
            )
            messages.append(last)
        return messages

    def interval_s(self) -> float:
        """Return the pause between two rounds of messages to all gateways, in seconds."""
        return max(LEVELS_INTERVAL_S, len(self._gateways) / LEVELS_DATAGRAMS_PER_S)

    def addresses(self) -> list[Address]:
        """Return the addresses of the gateways."""
        return [gateway.address for gateway in self._gateways.values()]

    def usage(self, now_s: float) -> dict[str, tuple[float, float, float]]:
        """Return demand per second, rate and level by name of the tenant, for operators."""
        rows = {}
        for name, account in self._accounts.items():
            self._refill(name, account, now_s)
            rows[name] = (self._demand(name), account.limit.per_s, account.bucket.tokens)
        return rows

    def _take_over(self, now_s: float) -> None:
        """Fill the buckets with what the gateways, which had no owner, have left of them."""
        self._has_taken_over = True
        self._takeover_s = now_s
        left: dict[str, float] = {}
        for gateway in self._gateways.values():
            for name, tokens in gateway.left.items():
                left[name] = left.get(name, 0.0) + tokens
        for name, account in self._accounts.items():
            level = self._takeover_level(account.limit) + left.get(name, 0.0)
            account.bucket = TokenBucket(min(level, self._bounds.depth(account.limit)), now_s)

    def _charged_share(self, before_s: float, now_s: float) -> float:
        """Return the part of what a gateway admitted since its last report that is charged.

        What it admitted before this process took over is taken from its own part of the bucket,
        which was refilled at the same time.
        """
        if before_s >= self._takeover_s:
            return 1.0
        return (now_s - self._takeover_s) / (now_s - before_s)

    def _takeover_level(self, limit: RateLimit) -> float:
        return TAKEOVER_SHARE * self._bounds.excess(limit)

    def _end_withholding(self, gateway: _Gateway, now_s: float) -> dict[str, float]:
        """Return the tokens that were withheld for a gateway that was silent until now."""
        if gateway.withheld is None:
            return {}
        withheld = {
            name: share for name, share in gateway.withheld.items() if name in self._accounts
        }
        for name in withheld:
            self._refill(name, self._accounts[name], now_s)
        gateway.withheld = None
        self._silent.remove(gateway)
        self._add_demand(gateway, 1)
        elapsed_s = now_s - gateway.withheld_s
        return {
            name: share * self._accounts[name].limit.per_s * elapsed_s
            for name, share in withheld.items()
        }

    def _demand(self, tenant: str) -> float:
        """Return a tenant's requests per second at the gateways that are not silent."""
        return self._demand_milli.get(tenant, 0) / 1000

    def _set_demand(self, gateway: _Gateway, tenant: str, demand: float) -> None:
        milli = round(1000 * demand)
        if milli <= FORGOTTEN_MILLI:
            milli = 0
        before = gateway.demand_milli.pop(tenant, 0)
        if milli:
            gateway.demand_milli[tenant] = milli
        self._demand_milli[tenant] = self._demand_milli.get(tenant, 0) + milli - before
        self._active.add(tenant)

    def _add_demand(self, gateway: _Gateway, sign: int) -> None:
        for name, milli in gateway.demand_milli.items():
            self._demand_milli[name] = self._demand_milli.get(name, 0) + sign * milli
            self._active.add(name)

    def _remove(self, gateway: _Gateway) -> None:
        """Remove what a dead gateway, or the former start of one, has reported."""
        if gateway.withheld is None:
            self._add_demand(gateway, -1)
        else:
            self._silent.remove(gateway)

    def _refill(self, name: str, account: _Account, now_s: float) -> None:
        withheld = sum((gateway.withheld or {}).get(name, 0.0) for gateway in self._silent)
        per_s = account.limit.per_s * max(0.0, 1 - withheld)
        account.bucket.refill(per_s, self._bounds.depth(account.limit), now_s)

    def _review_gateways(self, now_s: float) -> None:
        """Withhold the shares of gateways that have become silent, and forget dead ones."""
        silent = []
        for name, gateway in list(self._gateways.items()):
            age_s = now_s - gateway.heard_s
            if age_s > FORGOTTEN_S:
                self._remove(gateway)
                self._offered.forget(name)
                del self._gateways[name]
            elif age_s > SILENT_S and gateway.withheld is None:
                silent.append(gateway)
        for gateway in silent:
            gateway.withheld_s = now_s
            # As a gateway computes its own share: of the demand at the time of the last contact.
            gateway.withheld = {
                name: former_share(limit, milli / 1000, self._demand(name), len(self._gateways))
                for name, milli in gateway.demand_milli.items()
                if (limit := self._limit(name)) is not None
            }
        for gateway in silent:
            self._add_demand(gateway, -1)
        self._silent += silent

    def _limit(self, tenant: str) -> RateLimit | None:
        account = self._accounts.get(tenant)
        return None if account is None else account.limit


__all__ = ["TIGHT_SHARE", "Ledger"]
