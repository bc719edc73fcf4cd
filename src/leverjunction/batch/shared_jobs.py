"""What a gateway and the job groups tell each other about jobs that several gateways may hold.

A job that has not proven itself is leased to few gateways at a time (``job_spread``). Its holders
report which of its runs have gone on for a while, and which runners were lost during them. The
groups tell which jobs are limited in this way, and which of them are closed to this gateway.

The module does no I/O and reads no clock. Not thread-safe.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from leverjunction.batch.commands import Lease, LostRunner, ProvenRun
from leverjunction.batch.crash_isolation import ISOLATION_S
from leverjunction.batch.harvest_types import Run, RunReport
from leverjunction.wire.messages import JobAlert

STALLED_S = 5.0
"""Time after which a gateway returns items of a limited job if it has started none of them.

Another gateway may have runners for them, and is leased none as long as this one holds some.
"""


class SharedJobs:
    """Limited and closed jobs of one gateway, and the reports about its runs.

    Args:
        owner: Owner of the gateway's leases.
    """

    __slots__ = ("_closed", "_granted_ms", "_limited", "_owner", "_reports")

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._granted_ms: dict[str, int] = {}
        self._limited: dict[str, float] = {}
        self._closed: set[str] = set()
        self._reports: list[RunReport] = []

    @property
    def has_limited(self) -> bool:
        """Whether any job is limited; closed jobs are limited too."""
        return bool(self._limited)

    def granted(self, lease: Lease, now_s: float) -> None:
        """Record which jobs of a new lease are limited; none of them is closed any more."""
        job_ids = {item.job_id for item in lease.items}
        self._closed -= job_ids
        for job_id in job_ids:
            self._limited.pop(job_id, None)
            self._granted_ms[job_id] = lease.granted_ms
        self._limited.update(dict.fromkeys(lease.limited_jobs, now_s))

    def alerted(self, alert: JobAlert, now_s: float) -> None:
        """Record that a job has lost runners lately, which limits it.

        An alert that is older than the last lease of the job does not close it.
        """
        self._limited.setdefault(alert.job_id, now_s)
        if alert.as_of_ms <= self._granted_ms.get(alert.job_id, 0):
            return
        if alert.is_full and self._owner not in alert.owners:
            self._closed.add(alert.job_id)
        else:
            self._closed.discard(alert.job_id)

    def retain(self, job_ids: set[str]) -> None:
        """Forget all jobs except those in ``job_ids``."""
        self._closed &= job_ids
        for jobs in (self._limited, self._granted_ms):
            for job_id in jobs.keys() - job_ids:
                del jobs[job_id]

    def is_closed(self, job_id: str) -> bool:
        """Return whether this gateway returns the waiting items of a job."""
        return job_id in self._closed

    def take_stalled(self, now_s: float, is_waiting: Callable[[str], bool]) -> set[str]:
        """Return the limited jobs that have not started for ``STALLED_S``, each once in that time.

        Args:
            now_s: Monotonic time in seconds.
            is_waiting: Returns whether a job has runs here or may not start for now; the time
                counts from the end of that.
        """
        due = [job for job, since_s in self._limited.items() if now_s - since_s >= STALLED_S]
        self._limited.update(dict.fromkeys(due, now_s))
        return {job_id for job_id in due if not is_waiting(job_id)}

    def started(self, run: Run) -> None:
        """Record the start of a run."""
        job_id = run.work.leased.job_id
        if job_id in self._limited:
            self._limited[job_id] = run.started_s

    def lost(self, run: Run) -> None:
        """Report that a runner was lost during a run."""
        content = LostRunner(
            job_id=run.work.leased.job_id,
            runner_id=run.runner_id,
            incarnation=run.incarnation,
            is_alone=run.is_isolated,
        )
        self._report(run, content)

    def find_proven(self, runs: Iterable[Run], now_s: float) -> None:
        """Report the runs of limited jobs that have gone on for ``ISOLATION_S``."""
        if not self._limited:
            return
        for run in runs:
            leased = run.work.leased
            if run.is_proven or now_s - run.started_s < ISOLATION_S:
                continue
            run.is_proven = True
            if leased.job_id in self._limited:
                content = ProvenRun(
                    job_id=leased.job_id, index=leased.index, attempt=leased.attempt
                )
                self._report(run, content)

    def take_reports(self) -> list[RunReport]:
        """Remove and return the reports that are not sent yet."""
        reports, self._reports = self._reports, []
        return reports

    def _report(self, run: Run, content: LostRunner | ProvenRun) -> None:
        # The report counts even if the lease has ended, so its group is read from the job id.
        group = run.work.leased.job_id.rpartition(".")[0]
        self._reports.append(RunReport(group, run.work.lease_id, content))


__all__ = ["SharedJobs"]
