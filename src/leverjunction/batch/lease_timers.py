"""Expiry of leases on the leader of a job group, by its monotonic clock.

Wall clocks of machines differ and jump, so they end no lease. The leader keeps, in memory, until
when each open lease holds; a new leader knows nothing of earlier renewals and therefore gives
every open lease a whole duration before it may end it.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.batch.leasing import LEASE_DURATION_S

RETRY_S = 2.0
"""An expiry whose proposal may have failed is offered again after this long."""


class LeaseTimers:
    """Pure: time is passed in. Called by the control process that leads the group."""

    def __init__(self, duration_s: float = LEASE_DURATION_S) -> None:
        self._duration_s = duration_s
        self._holds_until_s: dict[str, float] = {}

    def became_leader(self, lease_ids: Iterable[str], now_s: float) -> None:
        """Start anew from the open leases of the applied state."""
        self._holds_until_s = {lease_id: now_s + self._duration_s for lease_id in lease_ids}

    def granted(self, lease_id: str, now_s: float) -> None:
        """Note a lease that was just granted, or granted again by a resend."""
        self._holds_until_s[lease_id] = now_s + self._duration_s

    def renewed(self, lease_ids: Iterable[str], now_s: float) -> list[str]:
        """Extend leases that their holder still has.

        Returns:
            The ids that are not open here: their holder has lost them.
        """
        lost = []
        for lease_id in lease_ids:
            if lease_id in self._holds_until_s:
                self._holds_until_s[lease_id] = now_s + self._duration_s
            else:
                lost.append(lease_id)
        return lost

    def ended(self, lease_ids: Iterable[str]) -> None:
        """Forget leases that were completed, released or expired."""
        for lease_id in lease_ids:
            self._holds_until_s.pop(lease_id, None)

    def retain(self, open_lease_ids: Iterable[str], now_s: float) -> None:
        """Reconcile with the open leases of the applied state: drop ended, add unknown ones."""
        self._holds_until_s = {
            lease_id: self._holds_until_s.get(lease_id, now_s + self._duration_s)
            for lease_id in open_lease_ids
        }

    def expired(self, now_s: float) -> list[str]:
        """Return the leases that may be ended now, for one ``ExpireLeases``.

        The proposal may fail, so a lease is offered again after ``RETRY_S`` until ``ended`` or
        ``retain`` says that it is gone; ending a lease twice changes nothing.
        """
        due = [lease_id for lease_id, until_s in self._holds_until_s.items() if until_s <= now_s]
        for lease_id in due:
            self._holds_until_s[lease_id] = now_s + RETRY_S
        return sorted(due)
