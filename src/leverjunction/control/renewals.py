"""Collects the gateways' lease renewals at a hub, and what the group leaders answer. Pure."""

from __future__ import annotations

from leverjunction.control.messages import HeldLeases, RenewedLeases
from leverjunction.wire.messages import PendingWork


class RenewalBook:
    """Renewals since the last batch, by job group and owner; by group also the jobs cancelled
    lately and the services with pending work.

    Not safe between threads by itself.
    """

    def __init__(self) -> None:
        self._held: dict[str, dict[str, list[str]]] = {}
        self._cancelled: dict[str, list[str]] = {}
        self._pending: dict[str, list[str]] = {}

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
        """Take the leader's word of cancelled jobs and of pending work, whole."""
        self._cancelled[group] = answer.cancelled_jobs
        if answer.pending_services is None:
            self._pending.pop(group, None)
        else:
            self._pending[group] = answer.pending_services

    def cancelled_jobs(self) -> list[str]:
        """Return the jobs cancelled lately in all groups."""
        return [job for jobs in self._cancelled.values() for job in jobs]

    def pending_work(self) -> list[PendingWork]:
        """Return where work is pending, for the groups whose leader has told it."""
        return [PendingWork(group, self._pending[group]) for group in sorted(self._pending)]
