"""Tenants' shares at the admission gate: standing of requests, refusals, counters and log lines.

Performs no I/O but log lines: the time and the random generator are passed in.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from loguru import logger

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.admission import MIN_RETRY_AFTER_S, Decision, LoadEstimate, Ticket
from leverjunction.proxy.return_times import RefusedRequests, place_return_s
from leverjunction.proxy.tenant_shares import ServiceLoad, SharePlan, Standing, TenantShares

CALM_S = 2.0
"""Time without a shortage after which one has ended: bursts of a second are one shortage."""

LOG_INTERVAL_S = 10.0
MAX_LOGGED_TENANTS = 5

BUDGET_SHARE = 0.5
"""Part of the time for which a request may wait that all may spend waiting before shares apply. The
rest is for back ends that have more to do than others.
"""

MAX_LABELS = 20
"""Tenants that are counted by name; all later ones are counted together."""

OTHER_TENANTS = "(others)"

OnCounted = Callable[[str, str], None]


def _ignore(_name: str, _outcome: str) -> None:
    """Count nothing."""


class _Shortage:
    """A period in which a service has tenants beyond their share.

    Attributes:
        began_s: When it began.
        last_s: When it was last seen.
        beyond: Requests beyond their tenant's share so far, by decision.
        is_logged: Whether its begin was logged.
    """

    __slots__ = ("began_s", "beyond", "is_logged", "last_s")

    def __init__(self, now_s: float) -> None:
        self.began_s = self.last_s = now_s
        self.beyond = dict.fromkeys(Decision, 0)
        self.is_logged = False


class ShareGate:
    """Applies the tenants' shares of one gateway to its requests.

    Args:
        shares: The shares.
        on_beyond: Called with a tenant and a decision for each request beyond its tenant's share.
        on_returned: Called with a tenant and an outcome for each request that was refused here
            before.
    """

    __slots__ = (
        "_labels",
        "_logged_s",
        "_on_beyond",
        "_on_returned",
        "_refused",
        "_shares",
        "_shortages",
    )

    def __init__(
        self,
        shares: TenantShares,
        on_beyond: OnCounted = _ignore,
        on_returned: OnCounted = _ignore,
    ) -> None:
        self._shares = shares
        self._on_beyond = on_beyond
        self._on_returned = on_returned
        self._labels: set[str] = set()
        self._refused = RefusedRequests()
        self._shortages: dict[str, _Shortage] = {}
        self._logged_s: dict[str, float] = {}

    def plan(
        self,
        service: str,
        estimate: LoadEstimate | None,
        now_s: float,
        budget_s: float = math.inf,
        holds_surplus: bool = False,
    ) -> SharePlan | None:
        """Return the shares of a service's tenants; None while they make no difference.

        Args:
            service: The service.
            estimate: Its load; None if unknown.
            now_s: Monotonic time in seconds.
            budget_s: Time for which a request may wait and still be in time, in seconds.
            holds_surplus: Whether requests beyond their tenant's share are held.
        """
        if estimate is None:
            return None
        load = ServiceLoad(
            estimate.capacity, estimate.run_s, estimate.backlog, budget_s, holds_surplus
        )
        return self._shares.plan(service, load, now_s)

    def enter(
        self, service: str, ticket: Ticket, estimate: LoadEstimate | None, now_s: float
    ) -> SharePlan | None:
        """Count a request that has just arrived, set its standing, and return the shares."""
        self._shares.note(service, ticket.tenant, now_s)
        ticket.is_returning = self._refused.take(ticket.tenant, ticket.content, now_s)
        budget_s = BUDGET_SHARE * (ticket.target_s - now_s - ticket.head_latency_s)
        plan = self.plan(service, estimate, now_s, budget_s)
        self._note_shortage(service, plan, now_s)
        if plan is not None:
            ticket.standing = self._shares.standing(
                service, ticket.tenant, plan, ticket.is_returning
            )
            ticket.share_per_s = self._shares.share_per_s(service, ticket.tenant, plan, now_s)
        return plan

    def decided(self, service: str, ticket: Ticket, decision: Decision) -> None:
        """Count the decision about a request that has just arrived."""
        if ticket.standing is Standing.SURPLUS:
            self._shortages[service].beyond[decision] += 1
            self._on_beyond(self._label(ticket.tenant), decision.value)

    def ended(self, ticket: Ticket, refusal: Failure | None) -> None:
        """Record that a request leaves the gate, and remember it if it is refused."""
        if ticket.is_returning:
            outcome = "sent" if refusal is None else "refused"
            self._on_returned(self._label(ticket.tenant), outcome)
        if refusal is not None:
            self._refused.add(ticket.tenant, ticket.content(), ticket.deadline_s)

    @staticmethod
    def refusal(
        service: str, ticket: Ticket, plan: SharePlan, place_s: float, now_s: float
    ) -> Failure:
        """Return the refusal of a request beyond its tenant's share, which has not run.

        Args:
            service: The service.
            ticket: The request.
            plan: Shares of the service's tenants.
            place_s: Seconds until the tenant's share covers one more request here.
            now_s: Monotonic time in seconds.
        """
        per_s = plan.rates.get(ticket.tenant, 0.0)
        source = "told" if plan.is_told else "estimated by this gateway"
        return Failure(
            kind=FailureKind.OVERLOADED,
            reason=(
                f"service {service} is short of slots and tenant {ticket.tenant!r} asks for "
                f"{per_s:.1f} requests/s, beyond its share of {plan.level:.1f}; {source} "
                f"{plan.age_s:.1f} s ago"
            ),
            step=Step.QUEUEING,
            execution=Execution.NOT_RUN,
            retry_after_s=max(
                MIN_RETRY_AFTER_S, place_return_s(place_s, ticket.deadline_s - now_s)
            ),
        )

    def _note_shortage(self, service: str, plan: SharePlan | None, now_s: float) -> None:
        shortage = self._shortages.get(service)
        if shortage is not None and now_s - shortage.last_s > CALM_S:
            self._log_end(service, shortage)
            del self._shortages[service]
            shortage = None
        if plan is None:
            return
        if shortage is None:
            shortage = self._shortages[service] = _Shortage(now_s)
            self._log_begin(service, shortage, plan)
        shortage.last_s = now_s

    def _log_begin(self, service: str, shortage: _Shortage, plan: SharePlan) -> None:
        if shortage.began_s - self._logged_s.get(service, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_s[service] = shortage.began_s
        shortage.is_logged = True
        beyond = sorted(plan.beyond().items(), key=lambda item: -item[1])
        logger.warning(
            "service {} is short of slots ({}); beyond their share of {:.1f} requests/s: {}; {}",
            service,
            plan.slots,
            plan.level,
            ", ".join(f"{name} {per_s:.1f}" for name, per_s in beyond[:MAX_LOGGED_TENANTS]),
            f"{'told' if plan.is_told else 'estimated here'} {plan.age_s:.1f} s ago",
        )

    @staticmethod
    def _log_end(service: str, shortage: _Shortage) -> None:
        if shortage.is_logged:
            logger.info(
                "service {} was short of slots for {:.1f} s; requests beyond their tenant's share:"
                " {} sent, {} held, {} refused",
                service,
                shortage.last_s - shortage.began_s,
                *(shortage.beyond[decision] for decision in Decision),
            )

    def _label(self, tenant: str) -> str:
        if len(self._labels) < MAX_LABELS:
            self._labels.add(tenant)
        return tenant if tenant in self._labels else OTHER_TENANTS


__all__ = ["ShareGate"]
