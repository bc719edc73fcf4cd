"""Collects the gateways' lease renewals at a hub, and what the group leaders answer. Pure."""

from __future__ import annotations

from leverjunction.control.messages import HeldLeases, RenewedLeases


class RenewalBook:
    """Renewals since the last batch, by job group and owner; jobs cancelled lately, by group.

    Not safe between threads by itself.
    """

    def __init__(self) -> None:
        self._held: dict[str, dict[str, list[str]]] = {}
        self._cancelled: dict[str, list[str]] = {}

    def held(self, owner: str, lease_ids: dict[str, list[str]]) -> None:
        """Note what a gateway says it holds; a later word replaces an earlier one."""
        for group, ids in lease_ids.items():
            if ids:
                self._held.setdefault(group, {})[owner] = ids

    def take(self, group: str) -> list[HeldLeases]:
        """Return and clear the renewals for a group's leader."""
        owners = self._held.pop(group, {})
        return [HeldLeases(owner, ids) for owner, ids in owners.items()]

    def put_back(self, group: str, held: list[HeldLeases]) -> None:
        """Keep a batch that the leader did not get, unless a newer word came meanwhile."""
        owners = self._held.setdefault(group, {})
        for one in held:
            owners.setdefault(one.owner, one.lease_ids)

    def answered(self, group: str, answer: RenewedLeases) -> None:
        """Take the leader's list of jobs cancelled lately, whole."""
        self._cancelled[group] = answer.cancelled_jobs

    def cancelled_jobs(self) -> list[str]:
        """Return the jobs cancelled lately in all groups."""
        return [job for jobs in self._cancelled.values() for job in jobs]
