"""Expiry timers of the leases of a job group, kept by the group's leader.

Leases expire by the leader's monotonic clock, because the wall clocks of machines differ and jump.
The leader keeps the expiry time of each open lease in memory. A new leader knows nothing of earlier
renewals, so it gives every open lease a full duration before it may expire.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.batch.leasing import LEASE_DURATION_S

RETRY_S = 2.0
"""Time after which an expired lease is returned again, as its proposal may have failed."""


class LeaseTimers:
    """Expiry times of open leases. Reads no clock: each call passes monotonic seconds.

    Args:
        duration_s: Validity of a grant or a renewal.
    """

    def __init__(self, duration_s: float = LEASE_DURATION_S) -> None:
        self._duration_s = duration_s
        self._expires_s: dict[str, float] = {}

    def became_leader(self, lease_ids: Iterable[str], now_s: float) -> None:
        """Restart all timers with the open leases of the applied state."""
        self._expires_s = {lease_id: now_s + self._duration_s for lease_id in lease_ids}

    def granted(self, lease_id: str, now_s: float) -> None:
        """Start the timer of a lease that was just granted, or granted again by a resend."""
        self._expires_s[lease_id] = now_s + self._duration_s

    def renewed(self, lease_ids: Iterable[str], now_s: float) -> list[str]:
        """Restart the timers of leases that their holder renews.

        Returns:
            Ids of the leases that are not open here; their holder has lost them.
        """
        lost = []
        for lease_id in lease_ids:
            if lease_id in self._expires_s:
                self._expires_s[lease_id] = now_s + self._duration_s
            else:
                lost.append(lease_id)
        return lost

    def ended(self, lease_ids: Iterable[str]) -> None:
        """Remove leases that were completed, released or expired."""
        for lease_id in lease_ids:
            self._expires_s.pop(lease_id, None)

    def retain(self, open_lease_ids: Iterable[str], now_s: float) -> None:
        """Reconcile with the open leases of the applied state.

        Leases that have ended are removed; unknown ones are added with a full duration.
        """
        self._expires_s = {
            lease_id: self._expires_s.get(lease_id, now_s + self._duration_s)
            for lease_id in open_lease_ids
        }

    def expired(self, now_s: float) -> list[str]:
        """Return the leases that have expired, to be ended by one ``ExpireLeases`` command.

        The proposal may fail, so a lease is returned again every ``RETRY_S`` until ``ended`` or
        ``retain`` removes it. Ending a lease twice has no effect.
        """
        due = [lease_id for lease_id, expires_s in self._expires_s.items() if expires_s <= now_s]
        for lease_id in due:
            self._expires_s[lease_id] = now_s + RETRY_S
        return sorted(due)
