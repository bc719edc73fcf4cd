"""Limits the runners that the items of one job can crash.

An item that crashes its runner also loses the runs beside it, and nobody knows which item was the
cause. Three rules bound the damage:

* An item whose runner was lost is a suspect. Its next run starts alone, on a runner without other
  batch runs and without online requests, and nothing else starts there until the run has been going
  on for a while.
* A job starts on few runners and spreads to others as its runs go on or end with a response.
* A job during whose runs ``APART_CRASHES`` runners were lost within ``WINDOW_S`` runs apart: its
  items start alone like suspects, one at a time. At ``HELD_CRASHES`` it starts nothing until the
  oldest crash is older than ``WINDOW_S``.

The module does no I/O and reads no clock. Not thread-safe.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from leverjunction.batch.harvest_types import Run
from leverjunction.batch.held_work import MS_PER_S, WorkItem
from leverjunction.wire.messages import JobAlert

WINDOW_S = 60.0
"""Time for which a crash counts against the jobs that had runs on the runner."""

APART_CRASHES = 2
HELD_CRASHES = 6

ACQUITTED_RUNS = 16
"""Completed runs without a crash after which a job no longer runs apart.

A sound job that ran beside the items of another one is thus slowed down only for some seconds.
"""

ISOLATION_S = 0.5
"""Time that a run must go on before others may start on its runner.

Requests that crash their runner mostly do so within 0.1 s of its start.
"""

ISOLATION_GROWTH = 4
MAX_ISOLATION_S = 60.0
"""Growth of that time with each further lost run of the item, for items that crash late."""

FIRST_RUNNERS = 2
RUNS_PER_RUNNER = 4
"""Runners on which a job may have runs younger than ``ISOLATION_S``: ``FIRST_RUNNERS``, or one
after a crash, and one more for each ``RUNS_PER_RUNNER`` completed runs since its last crash."""


class JobStanding(StrEnum):
    """How the items of a job may start; see the module's description."""

    FREE = "free"
    APART = "apart"
    HELD = "held"


class JobCrashes:
    """Crashes of runners during the runs of one job.

    Attributes:
        times_s: Monotonic time of each crash, by runner and its incarnation.
        alone: Runners that were lost during a run that had started alone.
        completed: Runs with a response since the last crash.
    """

    __slots__ = ("alone", "completed", "times_s")

    def __init__(self) -> None:
        self.times_s: dict[tuple[str, int], float] = {}
        self.alone: set[tuple[str, int]] = set()
        self.completed = 0


class CrashIsolation:
    """Decides which items must start alone, and which jobs must wait."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, JobCrashes] = {}

    @property
    def has_crashes(self) -> bool:
        """Whether any crash counts against a job."""
        return any(job.times_s for job in self._jobs.values())

    def lost(self, run: Run, now_s: float) -> None:
        """Record that a runner was lost during a run; each incarnation counts once for a job."""
        run.work.is_cleared = False
        job = self._jobs.setdefault(run.work.leased.job_id, JobCrashes())
        start = (run.runner_id, run.incarnation)
        job.times_s.setdefault(start, now_s)
        if run.is_isolated:
            job.alone.add(start)
        job.completed = 0

    def alerted(self, alert: JobAlert, now_s: float) -> None:
        """Take over the crashes of a job that its other holders have reported as well.

        Responses that the group has counted since its latest crash count here too, unless this
        gateway knows of a crash that the group does not know yet.
        """
        job = self._jobs.setdefault(alert.job_id, JobCrashes())
        reported = {(crash.runner_id, crash.incarnation) for crash in alert.crashes}
        is_new = not reported <= job.times_s.keys()
        if job.times_s.keys() <= reported:
            job.completed = alert.answered if is_new else max(job.completed, alert.answered)
        elif is_new:
            job.completed = 0
        for crash in alert.crashes:
            start = (crash.runner_id, crash.incarnation)
            job.times_s.setdefault(start, now_s - (alert.as_of_ms - crash.at_ms) / MS_PER_S)
            if crash.is_alone:
                job.alone.add(start)

    def completed(self, run: Run) -> None:
        """Record a run that ended with a response."""
        job = self._jobs.setdefault(run.work.leased.job_id, JobCrashes())
        job.completed += 1

    def retain(self, job_ids: set[str], now_s: float) -> None:
        """Forget crashes older than ``WINDOW_S``, and jobs without crashes and held items."""
        for job_id, job in list(self._jobs.items()):
            for start, at_s in list(job.times_s.items()):
                if now_s - at_s >= WINDOW_S:
                    del job.times_s[start]
                    job.alone.discard(start)
            if not job.times_s and job_id not in job_ids:
                del self._jobs[job_id]

    def standing(self, job_id: str) -> JobStanding:
        """Return how the items of a job may start.

        A loss of power can take several runners at once, so a job is held only after a run that
        had started alone has lost its runner too.
        """
        job = self._jobs.get(job_id)
        if job is None or len(job.times_s) < APART_CRASHES:
            return JobStanding.FREE
        if len(job.times_s) >= HELD_CRASHES and job.alone:
            return JobStanding.HELD
        return JobStanding.FREE if job.completed >= ACQUITTED_RUNS else JobStanding.APART

    def needs_isolation(self, work: WorkItem) -> bool:
        """Return whether an item must start alone."""
        if work.is_cleared:
            return False
        return work.is_suspect or self.standing(work.leased.job_id) is not JobStanding.FREE

    def max_runners(self, job_id: str) -> int:
        """Return on how many runners a job may have young runs at the same time."""
        job = self._jobs.get(job_id)
        if job is None:
            return FIRST_RUNNERS
        first = 1 if job.times_s else FIRST_RUNNERS
        return first + job.completed // RUNS_PER_RUNNER


def isolation_s(work: WorkItem) -> float:
    """Return how long a run of an item must go on before others may start on its runner."""
    if work.lost_runs <= 1:
        return ISOLATION_S
    return min(MAX_ISOLATION_S, ISOLATION_S * ISOLATION_GROWTH ** (work.lost_runs - 1))


class StartRules:
    """The runs in progress, as far as they decide which items may start now.

    Args:
        isolation: Crashes by job.
        runs: Runs on the known incarnations of the runners.
        now_s: Monotonic time in seconds.
    """

    __slots__ = ("_counts", "_isolation", "_runners_of_job", "closed", "trials")

    def __init__(self, isolation: CrashIsolation, runs: Iterable[Run], now_s: float) -> None:
        self._isolation = isolation
        self._counts: dict[str, int] = {}
        self._runners_of_job: dict[str, set[str]] = {}
        self.closed: set[str] = set()
        self.trials: set[str] = set()
        for run in runs:
            self._counts[run.runner_id] = self._counts.get(run.runner_id, 0) + 1
            if now_s - run.started_s < isolation_s(run.work):
                self._add_young(run)

    def count(self, runner_id: str) -> int:
        """Return the number of runs on a runner."""
        return self._counts.get(runner_id, 0)

    def may_start(
        self, work: WorkItem, runner_id: str, *, is_idle: bool, is_reserved: bool
    ) -> bool:
        """Return whether an item may start on a runner now.

        Args:
            work: The item.
            runner_id: The runner.
            is_idle: Whether the runner has no online requests.
            is_reserved: Whether the runner is reserved for items that start alone.
        """
        if runner_id in self.closed:
            return False
        job_id = work.leased.job_id
        if self._isolation.needs_isolation(work):
            standing = self._isolation.standing(job_id)
            if standing is JobStanding.HELD or self.count(runner_id) or not is_idle:
                return False
            return standing is JobStanding.FREE or job_id not in self.trials
        if is_reserved:
            return False
        runners = self._runners_of_job.get(job_id, set())
        return runner_id in runners or len(runners) < self._isolation.max_runners(job_id)

    def started(self, run: Run) -> None:
        """Record a run that starts now."""
        self._counts[run.runner_id] = self.count(run.runner_id) + 1
        self._add_young(run)

    def _add_young(self, run: Run) -> None:
        job_id = run.work.leased.job_id
        self._runners_of_job.setdefault(job_id, set()).add(run.runner_id)
        if run.is_isolated:
            self.closed.add(run.runner_id)
            self.trials.add(job_id)


__all__ = ["CrashIsolation", "JobStanding", "StartRules", "isolation_s"]
