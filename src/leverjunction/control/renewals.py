"""Buffers the gateways' lease renewals at a hub, and the group leaders' replies. Pure: no I/O."""

from __future__ import annotations

from leverjunction.control.messages import HeldLeases, RenewedLeases
from leverjunction.wire.messages import JobAlert, PendingWork


class RenewalBuffer:
    """Holds the renewals since the last batch, by job group and owner. Not thread-safe.

    For each job group it also holds the recently cancelled jobs, the jobs that have lost runners
    and the services with pending work, as last reported by the group's leader.
    """

    def __init__(self) -> None:
        self._held: dict[str, dict[str, list[str]]] = {}
        self._cancelled: dict[str, list[str]] = {}
        self._pending: dict[str, list[str]] = {}
        self._alerts: dict[str, list[JobAlert]] = {}

    def record(self, owner: str, lease_ids: dict[str, list[str]]) -> None:
        """Record the leases that a gateway holds, by job group; replaces its earlier report."""
        for group, ids in lease_ids.items():
            if ids:
                self._held.setdefault(group, {})[owner] = ids

    def take(self, group: str) -> list[HeldLeases]:
        """Return and clear the renewals for the leader of a job group."""
        owners = self._held.pop(group, {})
        return [HeldLeases(owner, ids) for owner, ids in owners.items()]

    def restore(self, group: str, held: list[HeldLeases]) -> None:
        """Put back a batch that did not reach the leader; newer reports take precedence."""
        owners = self._held.setdefault(group, {})
        for leases in held:
            owners.setdefault(leases.owner, leases.lease_ids)

    def record_reply(self, group: str, answer: RenewedLeases) -> None:
        """Replace what is known of the jobs and the pending work of a group by a leader's reply."""
        self._cancelled[group] = answer.cancelled_jobs
        self._alerts[group] = answer.alerts
        if answer.pending_services is None:
            self._pending.pop(group, None)
        else:
            self._pending[group] = answer.pending_services

    def cancelled_jobs(self) -> list[str]:
        """Return the recently cancelled jobs of all groups."""
        return [job for jobs in self._cancelled.values() for job in jobs]

    def job_alerts(self) -> list[JobAlert]:
        """Return the jobs of all groups that have lost runners lately."""
        return [alert for alerts in self._alerts.values() for alert in alerts]

    def pending_work(self) -> list[PendingWork]:
        """Return the services with pending work, for each group whose leader has reported them."""
        return [PendingWork(group, self._pending[group]) for group in sorted(self._pending)]
