"""Tells crashes that a job has caused from those that would have happened without it.

Back ends also crash by themselves: a faulty release, a rack that loses power. Whatever ran there is
then beside a crash. The rate of crashes beside a job's unproven runs is therefore compared with the
rate at back ends of the same services where no run has just begun, by a likelihood ratio: a job
that causes its crashes has a far higher rate, one that meets those of others about the same.

Pure: the time is passed in.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Hashable, Iterable

from leverjunction.registry.records import RunnerRecord, RunnerState

RATE_WINDOW_S = 60.0
"""Time for which crashes and runs are compared."""

MIN_SPAN_S = 1.0
"""Shortest time over which crashes are compared, so that those of one moment have a rate."""

MIN_RUN_S = 0.1
"""Shortest time that a run before a crash counts for: harmful requests take that long."""

MAX_HARMFUL_RUN_S = 0.25
"""Mean time of an item's runs before crashes up to which it looks like their cause."""

MIN_OTHER_CRASHES = 3
"""Crashes elsewhere from which they have a rate."""

EXPIRE_INTERVAL_S = 1.0
"""Least time between two removals of what is old."""

JUST_BEGUN_S = 0.5
"""Time from the beginning of a run in which a crash may well be caused by it."""

BEGINNINGS = "beginnings"
"""With a service, the subject that counts the time of back ends where a run has just begun."""

MIN_IDLE_SHARE = 0.1
"""Least share of the fleet's time that is taken for that without such a run."""

MAX_LOG_RATIO = 3.0
"""Natural logarithm of the likelihood ratio up to which the crashes of others explain those beside
a job. The ratio is 20: less than one sound job in 20 is taken for the cause.
"""


def log_likelihood_ratio(crashes: int, time_s: float, others: int, others_s: float) -> float:
    """Return how much better two rates of crashes explain what was seen than a single one.

    Args:
        crashes: Crashes beside a job's unproven runs.
        time_s: Time of these runs, in back-end seconds; positive.
        others: Crashes elsewhere.
        others_s: Time of the back ends without such a run, in back-end seconds; positive.

    Returns:
        The natural logarithm of the ratio; 0 if the job's rate is not the higher one.
    """
    if not crashes or crashes * others_s <= others * time_s:
        return 0.0
    joint = (crashes + others) / (time_s + others_s)
    ratio = crashes * math.log(crashes / time_s / joint)
    return ratio + (others * math.log(others / others_s / joint) if others else 0.0)


class CrashRates:
    """Counts crashes of all back ends, and the time of unproven runs. Not thread-safe.

    Runs are counted by *subject*, which is an item or an origin of items.

    Attributes:
        back_ends: Number of known back ends of each service.
    """

    __slots__ = (
        "_beside",
        "_crashed_s",
        "_excused",
        "_expired_s",
        "_records",
        "_run_s",
        "_services",
        "_timed",
        "back_ends",
    )

    def __init__(self) -> None:
        self._beside: set[str] = set()
        self._crashed_s: dict[str, float] = {}
        self._excused: dict[Hashable, frozenset[str]] = {}
        self._records: dict[str, RunnerRecord] = {}
        self._run_s: dict[Hashable, dict[int, float]] = {}
        self._services: dict[str, str] = {}
        self._timed: set[str] = set()
        self._expired_s = -math.inf
        self.back_ends: Counter[str] = Counter()

    def set_runners(self, runners: Iterable[RunnerRecord], now_s: float) -> None:
        """Apply a newer view of the registry: note the starts that are silent or were replaced.

        A start that was leaving was stopped as planned, and one that is no longer listed has ended
        after it was told to.
        """
        before, self._records = self._records, {record.runner_id: record for record in runners}
        self.back_ends = Counter(record.service for record in self._records.values())
        for runner_id, known in before.items():
            current = self._records.get(runner_id)
            if current is None or known.state is not RunnerState.READY:
                continue
            if current.start != known.start or current.state is RunnerState.SILENT:
                self.crashed(known.start, now_s)

    def crash_age_s(self, start: str, wall_ms: int) -> float:
        """Return how long ago a start has crashed at most, by the birth of the one after it.

        Args:
            start: A start that has crashed.
            wall_ms: Current time in milliseconds since the Unix epoch. Clocks of back ends may
                differ from it, so that an age is an estimate.

        Returns:
            The age in seconds; 0 if its back end has not started again, or tells no times.
        """
        current = self._record_of(start)
        if current is None or not current.born_ms or current.start == start:
            return 0.0
        return max(0.0, (wall_ms - current.born_ms) / 1000)

    def crashed(self, start: str, at_s: float) -> None:
        """Note that a start has crashed; later reports of the same crash change nothing."""
        self._crashed_s.setdefault(start, at_s)
        self._services.setdefault(start, self._service_of(start))

    def crashed_in_run(self, start: str, run_s: float) -> None:
        """Note that an unproven run was lost in a crash, which it may have caused if it was short.

        Args:
            start: The start that has crashed.
            run_s: How long the run had gone on, in seconds.
        """
        self._timed.add(start)
        if run_s <= JUST_BEGUN_S:
            self._beside.add(start)

    def ran(self, start: str, subjects: Iterable[Hashable], run_s: float, now_s: float) -> None:
        """Add the time for which a run was unproven, once it is proven or has ended."""
        for subject in subjects:
            self._add(subject, run_s, now_s)
        self._add((BEGINNINGS, self._service_of(start)), min(run_s, JUST_BEGUN_S), now_s)

    def _add(self, subject: Hashable, run_s: float, now_s: float) -> None:
        seconds = self._run_s.setdefault(subject, {})
        seconds[int(now_s)] = seconds.get(int(now_s), 0.0) + run_s

    def adopt(self, subject: Hashable, starts: Collection[str], items: int, now_s: float) -> None:
        """Excuse crashes from before this process led, if those of others may explain them.

        How long the subject ran is not known any more. It is given the longest time there can be,
        so that only far more crashes than elsewhere count against it.

        Args:
            subject: The subject.
            starts: Starts that crashed beside its runs.
            items: Number of its items, each of which had one run at a time.
            now_s: Current time in seconds.
        """
        span = self._span(starts, now_s, self._crashed_s.keys() - set(starts))
        if span is None:
            return
        run_s = min(items * span.length_s, self._fleet_s(span) / 2)
        if self._is_explained(span, run_s, run_s):
            self._excused[subject] = frozenset(starts)

    def explain(self, subject: Hashable, starts: Collection[str], now_s: float) -> bool:
        """Return whether the crashes of others explain those beside a subject's unproven runs.

        Args:
            subject: The subject.
            starts: Starts that crashed beside these runs.
            now_s: Current time in seconds.
        """
        if not starts:
            return False
        excused = self._excused.get(subject, frozenset())
        counted = [start for start in starts if start not in excused]
        if not counted:
            return True
        span = self._span(counted, now_s, self._crashed_s.keys() - self._beside - set(starts))
        if span is None:
            return False
        run_s = self._time_s(subject, span.first_s)
        begun_s = sum(self._time_s((BEGINNINGS, name), span.first_s) for name in span.services)
        return self._is_explained(span, run_s, begun_s)

    def has_others(self, starts: Collection[str], now_s: float) -> bool:
        """Return whether back ends other than these crashed within the window as well."""
        others = self._crashed_s.keys() - self._beside - set(starts)
        return self._span(starts, now_s, others) is not None

    def crashes_at_once(self, subject: Hashable, starts: Collection[str]) -> bool:
        """Return whether back ends crash soon after a subject's runs begin, as far as is known."""
        run_s = self._time_s(subject, -math.inf)
        # Crashes from before this process led come without the time of their runs.
        crashes = len(self._timed.intersection(starts))
        return crashes > 1 and 0.0 < run_s <= MAX_HARMFUL_RUN_S * crashes

    def _is_explained(self, span: _Span, run_s: float, begun_s: float) -> bool:
        run_s = max(run_s, MIN_RUN_S * len(span.beside))
        fleet_s = self._fleet_s(span)
        others_s = max(fleet_s - begun_s, MIN_IDLE_SHARE * fleet_s)
        ratio = log_likelihood_ratio(len(span.beside), run_s, len(span.others), others_s)
        return ratio <= MAX_LOG_RATIO

    def expire(self, now_s: float) -> None:
        """Drop what is older than the window, at intervals: there may be many runs."""
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        from_s = now_s - RATE_WINDOW_S
        self._crashed_s = {start: at_s for start, at_s in self._crashed_s.items() if at_s > from_s}
        self._beside &= self._crashed_s.keys()
        self._timed &= self._crashed_s.keys()
        self._services = {start: self._services[start] for start in self._crashed_s}
        self._excused = {
            subject: starts
            for subject, starts in self._excused.items()
            if not starts.isdisjoint(self._crashed_s)
        }
        for subject, seconds in list(self._run_s.items()):
            kept = {second: run_s for second, run_s in seconds.items() if second >= from_s}
            if kept:
                self._run_s[subject] = kept
            else:
                del self._run_s[subject]

    def _span(
        self, starts: Collection[str], now_s: float, elsewhere: Collection[str]
    ) -> _Span | None:
        """Return the crashes in the window, None if none happened beside, or few elsewhere."""
        from_s = now_s - RATE_WINDOW_S
        known = {start: at_s for start, at_s in self._crashed_s.items() if at_s > from_s}
        beside = [known[start] for start in starts if start in known]
        services = {self._services[start] for start in starts if start in known}
        others = [
            known[start]
            for start in elsewhere
            if start in known and self._services[start] in services
        ]
        if not beside or len(others) < MIN_OTHER_CRASHES:
            return None
        return _Span(beside, others, services)

    def _fleet_s(self, span: _Span) -> float:
        """Return the time of all back ends of the services, in back-end seconds."""
        return span.length_s * max(1, sum(self.back_ends[name] for name in span.services))

    def _record_of(self, start: str) -> RunnerRecord | None:
        return self._records.get(start.rpartition("@")[0] or start)

    def _service_of(self, start: str) -> str:
        """Return the service of a start, empty if its back end is not known any more."""
        record = self._record_of(start)
        return "" if record is None else record.service

    def _time_s(self, subject: Hashable, from_s: float) -> float:
        seconds = self._run_s.get(subject, {})
        # A run may have begun before the second in which it ended.
        return sum(run_s for second, run_s in seconds.items() if second > from_s - 1.0)


class _Span:
    """The time from the first to the last crash; most fleets are calm before and after.

    Attributes:
        beside: Times of the crashes beside a subject's runs, in seconds.
        others: Times of those elsewhere.
        first_s: Time of the first of all.
        length_s: Time from the first to the last.
        services: Services of the back ends that crashed beside the runs.
    """

    __slots__ = ("beside", "first_s", "length_s", "others", "services")

    def __init__(self, beside: list[float], others: list[float], services: set[str]) -> None:
        self.services = services
        self.beside = beside
        self.others = others
        self.first_s = min(*beside, *others)
        self.length_s = max(max(*beside, *others) - self.first_s, MIN_SPAN_S)


__all__ = ["CrashRates", "log_likelihood_ratio"]
