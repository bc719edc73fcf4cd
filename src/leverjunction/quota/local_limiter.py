"""Decides at one gateway whether a request is within its tenant's limit.

Three states, by what the owner of the limits last told:

* The tenant is far below its limit: every request is admitted.
* The tenant is near its limit: all gateways admit the same share of its requests, so that together
  they use its rate and what is left in its bucket. A gateway needs no allowance of its own for that
  and a tenant may send through any of them.
* The owner is unreachable: the gateway allows itself the share of the tenant's rate that it had of
  the tenant's requests before.

Performs no I/O: the time and the random generator are passed in.
"""

from __future__ import annotations

from random import Random

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.quota.bounds import POOLED_SHARE, QuotaBounds
from leverjunction.quota.demand import DEMAND_MEMORY_S, DemandAverage
from leverjunction.quota.former_share import former_share
from leverjunction.quota.ledger import TIGHT_SHARE
from leverjunction.quota.messages import TenantLevels, TenantUsage
from leverjunction.quota.token_bucket import TokenBucket
from leverjunction.routes.types import RateLimit, Tenant

CONTACT_S = 0.6
"""Age of the owner's last message from which on this gateway decides alone."""

LEVEL_S = 0.7
"""How long a level is used: longer than ``CONTACT_S``, so that a tight tenant stays so until this
gateway decides alone. Levels of tight tenants are repeated several times in that time.
"""

DEMAND_S = 5.0
"""How long the demand at all gateways is used."""

DRAIN_S = 0.5
"""Time in which the gateways together use up what is left in a bucket."""

SHARE_LEASE_S = 12.0
"""Time without the owner after which the former share lapses: the owner then gives it to others."""

SHARE_MARGIN = 0.85
"""Part of its former share that a gateway uses. Shares of a tenant whose demand is rising add up to
more than 1, since gateways report and hear at different times.
"""

FIRST_SHARE = 0.5
FIRST_S = 2.0
"""Share of a tenant's limit at a gateway that has not heard from any owner since its start, and how
long it applies from the first request on. The number of gateways is not known then: all of them
together may exceed the limit, but an owner answers in a part of that time.
"""

UNKNOWN_SHARE = 0.1
"""Share of a tenant's limit at a gateway that has heard from no owner for longer."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0


class _Account:
    """What this gateway knows of one tenant.

    Attributes:
        admitted: Requests admitted since the start, less those whose allowance was given back.
        reported: The same as of the last report to the owner.
        demand: Requests per second that callers send here, refused ones included.
        reported_demand: The same as of the last report to the owner.
        level: Tokens that the owner last told to be left.
        level_s: When it did.
        fleet_demand: Requests per second at all gateways, as the owner last told.
        fleet_demand_s: When it did.
        own_part: This gateway's part of that demand.
        limit: The tenant's limit as of its last request.
        phase: Accumulates the share of requests that is admitted; whenever it passes 1, a request
            is.
        whole: The tenant's whole limit, which this gateway alone never exceeds.
        heard_s: Time of the owner's last message as of the last request.
        heard_demand: Demand as of the last report before that message.
        since_heard: Requests admitted since that message.
        alone: This gateway's part of the tenant's bucket while the owner is unreachable, negative
            if it was overdrawn; None while it is reachable.
        alone_extra: Requests by which it may be overdrawn.
        alone_share: Former share of the tenant's requests, which refills it.
        alone_per_s: Requests per second that currently refill it.
    """

    __slots__ = (
        "admitted",
        "alone",
        "alone_extra",
        "alone_per_s",
        "alone_share",
        "demand",
        "fleet_demand",
        "fleet_demand_s",
        "heard_demand",
        "heard_s",
        "level",
        "level_s",
        "limit",
        "own_part",
        "phase",
        "reported",
        "reported_demand",
        "since_heard",
        "whole",
    )

    def __init__(self, phase: float) -> None:
        self.admitted = 0
        self.reported = 0
        self.reported_demand = 0.0
        self.demand = DemandAverage()
        self.level = 0.0
        self.level_s = float("-inf")
        self.fleet_demand = 0.0
        self.fleet_demand_s = float("-inf")
        self.own_part = 0.0
        self.limit: RateLimit | None = None
        self.phase = phase
        self.whole: TokenBucket | None = None
        self.heard_s = float("-inf")
        self.heard_demand = 0.0
        self.since_heard = 0
        self.alone: TokenBucket | None = None
        self.alone_extra = 0.0
        self.alone_share = 0.0
        self.alone_per_s = 0.0


class LocalLimiter:
    """Limits of all tenants at one gateway, used by one event loop.

    Args:
        random: Random generator.
        bounds: Tolerance of the deployment.

    Attributes:
        report_interval_s: Minimum interval between two reports, as the owner wants it, in seconds.
    """

    __slots__ = (
        "_accounts",
        "_bounds",
        "_changed",
        "_first_s",
        "_gateways",
        "_heard_s",
        "_owner",
        "_random",
        "report_interval_s",
    )

    def __init__(self, random: Random, bounds: QuotaBounds | None = None) -> None:
        self._random = random
        self._bounds = bounds or QuotaBounds()
        self._accounts: dict[str, _Account] = {}
        self._changed: set[str] = set()
        self._gateways = 0
        self._heard_s = float("-inf")
        self._owner = ""
        self._first_s: float | None = None
        self.report_interval_s = 0.0

    def admit(self, tenant: Tenant, now_s: float) -> Failure | None:
        """Count a request; return None if it is within the limit, otherwise its refusal."""
        limit = tenant.limit
        if not limit.is_limited:
            return None
        if self._first_s is None:
            self._first_s = now_s
        account = self._account(tenant.name)
        account.limit = limit
        account.demand.add(now_s)
        self._changed.add(tenant.name)
        self._note_last_message(account)
        whole = self._refill_whole(account, limit, now_s)
        if whole.tokens < 1 or not self._has_allowance(account, limit, now_s):
            return self._refusal(tenant, account, now_s)
        whole.tokens -= 1
        if account.alone is not None:
            account.alone.tokens -= 1
        account.since_heard += 1
        account.admitted += 1
        return None

    def give_back(self, tenant: Tenant) -> None:
        """Return the allowance of an admitted request that no back end has run."""
        account = self._accounts.get(tenant.name)
        if account is None or not tenant.limit.is_limited:
            return
        account.admitted -= 1
        account.since_heard = max(0, account.since_heard - 1)
        self._changed.add(tenant.name)
        for bucket in (account.whole, account.alone):
            if bucket is not None:
                bucket.tokens += 1

    def apply_levels(self, levels: TenantLevels, now_s: float, owner: str = "") -> None:
        """Apply a message of the owner.

        Args:
            levels: The message.
            now_s: Monotonic time in seconds.
            owner: Name or address of the owner, for refusals.
        """
        self._heard_s = now_s
        self._owner = owner
        self._gateways = levels.gateways
        self.report_interval_s = levels.report_interval_s
        for name, (level, demand) in levels.tenants.items():
            account = self._account(name)
            account.level, account.level_s = level, now_s
            account.fleet_demand, account.fleet_demand_s = demand, now_s
            account.own_part = account.reported_demand

    def is_in_contact(self, now_s: float) -> bool:
        """Return whether the owner was heard recently."""
        return now_s - self._heard_s <= CONTACT_S

    @property
    def has_changes(self) -> bool:
        """Whether there is something to report to the owner."""
        return bool(self._changed)

    def report(self, gateway: str, now_s: float, whole: bool) -> TenantUsage:
        """Return the report to the owner.

        Args:
            gateway: Name of this gateway.
            now_s: Monotonic time in seconds.
            whole: Whether to report all tenants with requests, also unchanged ones.
        """
        names = self._changed
        if whole:
            names = names | {
                name
                for name, account in self._accounts.items()
                if account.demand.per_s(now_s) >= 0.001 or account.reported != account.admitted
            }
        tenants = {}
        left = {}
        shares_bucket = self._gateways > 0 and not self.is_in_contact(now_s)
        for name in sorted(names):
            account = self._accounts[name]
            demand = round(account.demand.per_s(now_s), 3)
            tenants[name] = (account.admitted, demand)
            account.reported, account.reported_demand = account.admitted, demand
            if shares_bucket and account.limit is not None:
                left[name] = round(self._refill_alone(account, account.limit, now_s).tokens, 2)
        self._changed = set()
        return TenantUsage(gateway=gateway, tenants=tenants, left=left)

    def _account(self, name: str) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(self._random.random())
        return account

    def _refill_whole(self, account: _Account, limit: RateLimit, now_s: float) -> TokenBucket:
        depth = self._bounds.depth(limit)
        if account.whole is None:
            account.whole = TokenBucket(depth, now_s)
        account.whole.refill(limit.per_s, depth, now_s)
        return account.whole

    def _has_allowance(self, account: _Account, limit: RateLimit, now_s: float) -> bool:
        if not self.is_in_contact(now_s):
            return self._refill_alone(account, limit, now_s).tokens + account.alone_extra >= 1
        account.alone = None
        is_tight = now_s - account.level_s <= LEVEL_S and (
            account.level < TIGHT_SHARE * self._bounds.depth(limit)
        )
        if not is_tight:
            return True
        account.phase += self._admitted_share(account, limit, now_s)
        if account.phase < 1:
            return False
        account.phase -= 1
        return True

    def _admitted_share(self, account: _Account, limit: RateLimit, now_s: float) -> float:
        """Return the share of a tight tenant's requests that all gateways admit."""
        per_s = max(0.0, limit.per_s + account.level / DRAIN_S)
        demand = max(account.fleet_demand, account.demand.per_s(now_s))
        return min(1.0, per_s / demand) if demand > 0 else 1.0

    def _refill_alone(self, account: _Account, limit: RateLimit, now_s: float) -> TokenBucket:
        """Return this gateway's part of the bucket while the owner is unreachable.

        It begins with the owner's last message: what this gateway admitted since is charged.
        """
        depth = self._bounds.depth(limit)
        if account.alone is None:
            self._note_last_message(account)
            account.alone_share = self._former_share(account, limit, now_s)
            account.alone = self._begin_alone(account, limit, now_s)
        share = self._alone_share(account, now_s)
        per_s = share * limit.per_s
        if self._gateways:
            excess = POOLED_SHARE * self._bounds.excess(limit)
            per_s = max(per_s, excess / self._gateways / self._bounds.window_s)
        account.alone_per_s = per_s
        account.alone.refill(per_s, 1 + share * depth - account.alone_extra, now_s)
        return account.alone

    def _alone_share(self, account: _Account, now_s: float) -> float:
        """Return the share of a tenant's rate that this gateway allows itself now."""
        if not self._gateways:
            return self._first_share(now_s)
        has_lapsed = now_s - self._heard_s > SHARE_LEASE_S
        return 1 / self._gateways if has_lapsed else account.alone_share

    def _first_share(self, now_s: float) -> float:
        is_starting = self._first_s is not None and now_s - self._first_s <= FIRST_S
        return FIRST_SHARE if is_starting else UNKNOWN_SHARE

    def _note_last_message(self, account: _Account) -> None:
        """Begin to count anew if the owner was heard since this tenant's last request."""
        if account.heard_s != self._heard_s:
            account.heard_s = self._heard_s
            account.heard_demand = account.reported_demand
            account.since_heard = 0
            account.alone = None

    def _begin_alone(self, account: _Account, limit: RateLimit, now_s: float) -> TokenBucket:
        """Return this gateway's part of the bucket as of the owner's last message."""
        depth = self._bounds.depth(limit)
        if not self._gateways:
            account.alone_extra = 1.0
            return TokenBucket(account.alone_share * depth, now_s)
        level = TIGHT_SHARE * depth
        if self._heard_s - account.level_s <= LEVEL_S and account.level < level:
            level = max(0.0, account.level)
            account.alone_extra = account.phase
        else:
            spare = (1 - POOLED_SHARE) * self._bounds.excess(limit) / self._gateways
            # At least one: most gateways see fewer of a tenant's requests without an owner.
            account.alone_extra = max(min(1.0, spare), 1.0 - account.alone_share * level)
        charged = 0 if self._is_unknown_to_owner(account) else account.since_heard
        return TokenBucket(account.alone_share * level - charged, self._heard_s)

    def _is_unknown_to_owner(self, account: _Account) -> bool:
        """Whether this gateway, which has just started, had no share that could be overdrawn."""
        is_new = self._first_s is None or self._heard_s - self._first_s <= FIRST_S
        return is_new and account.heard_demand <= 0

    def _former_share(self, account: _Account, limit: RateLimit, now_s: float) -> float:
        """Return the share of a tenant's requests that this gateway had."""
        if not self._gateways:
            return self._first_share(now_s)
        if self._gateways == 1:
            return 1.0
        # Of the same time as the demand at all gateways: the sum of the shares is then at most 1.
        is_known = now_s - account.fleet_demand_s <= DEMAND_S
        own = account.own_part if is_known else account.heard_demand
        fleet = account.fleet_demand if is_known else 0.0
        return SHARE_MARGIN * former_share(limit, own, fleet, self._gateways)

    def _refusal(self, tenant: Tenant, account: _Account, now_s: float) -> Failure:
        limit = tenant.limit
        is_told = now_s - account.level_s <= LEVEL_S
        demand = max(account.demand.per_s(now_s), account.fleet_demand if is_told else 0.0)
        owed = max(0.0, -account.level) if is_told else 0.0
        is_alone = account.alone is not None and not self.is_in_contact(now_s)
        per_s = account.alone_per_s if is_alone else limit.per_s
        return Failure(
            kind=FailureKind.RATE_LIMITED,
            reason=(
                f"tenant {tenant.name!r} exceeds its limit of {limit.per_s:g} requests/s: it sends "
                f"{demand:.1f}/s, {self._describe_allowance(account, is_told, now_s)}"
            ),
            step=Step.ADMISSION,
            retry_after_s=self._retry_after_s(owed, per_s, demand),
            execution=Execution.NOT_RUN,
        )

    def _retry_after_s(self, owed: float, per_s: float, demand: float) -> float:
        """Return when the allowance of a refused request returns.

        Those refused within the memory of the average have their allowance one after the other, at
        the tenant's rate. Each is given a time in that period, so that they do not return together.
        """
        if per_s <= 0:
            return MAX_RETRY_AFTER_S
        first_s = max(MIN_RETRY_AFTER_S, (1 + owed) / per_s)
        last_s = first_s + max(1.0, DEMAND_MEMORY_S * (demand - per_s)) / per_s
        earliest_s = min(first_s, MAX_RETRY_AFTER_S / 2)
        return self._random.uniform(earliest_s, min(last_s, MAX_RETRY_AFTER_S))

    def _describe_allowance(self, account: _Account, is_told: bool, now_s: float) -> str:
        """Return what this gateway goes by, how old it is and whom it has it from."""
        if not self._gateways:
            return (
                f"no owner of limits heard yet, {account.alone_per_s:.1f}/s allowed here meanwhile"
            )
        age_s = now_s - self._heard_s
        if not self.is_in_contact(now_s):
            return (
                f"owner of limits {self._owner} silent for {age_s:.1f} s, "
                f"{account.alone_per_s:.1f}/s allowed here meanwhile"
            )
        level = f"{account.level:.1f}" if is_told else "unknown"
        return f"{level} left, limits last heard {age_s:.1f} s ago from {self._owner}"


__all__ = ["LocalLimiter"]
