"""How much batch work a service's back ends may run beside their online requests. Pure.

Online load comes in bursts of seconds, and the lulls between them are worth filling with batch
work. Batch always leaves a reserve of free slots for the next online requests. The reserve is the
largest number that may arrive within the time that batch needs to yield, by the fastest recent
rise, and never more than the recent peak of the service's online requests. That time is short for
requests that gateways report, and ten times as long for those that show only in a back end's load
samples.

As online requests arrive, batch runs are parked, that is, stopped to be continued later, and the
reserve is kept ahead of them. Gateways send online requests wherever there is capacity, so the
reserve is kept for the service as a whole. Batch runs never wait in a back end's queue, where an
online request would have to wait behind them.

A load sample is what a back end answers when it is asked for its load. A report is what a gateway
sends about its own online requests.
"""

from __future__ import annotations

from collections import deque

from leverjunction.lots.work_rate import WorkRate

WINDOW_S = 8.0
"""Period for which the peak of online requests is remembered; longer than the pauses between
bursts.
"""

SUPPLY_INTERVAL_S = 0.1
"""Interval at which the runs that a service may have are averaged: reports come more often."""

SUPPLY_WINDOW_S = 12.0
"""Time constant of the average of the runs that a service may have: longer than a burst and the
lull after it.
"""

DEFAULT_PEAK_SHARE = 0.6
"""Share of the slots assumed to be the online peak until a service has been watched for the whole
window, as after a change of leader. Otherwise a lull would be filled just before the next burst.
"""

REACTION_S = 0.2
"""Time in which batch yields to requests that load samples show: the sampling interval, the age of
a sample, a step of the runner, and the end of the parked runs.
"""

GATEWAY_REACTION_S = 0.03
"""Time in which batch yields to requests that a gateway reports: the report's transmission and the
end of the parked runs. The interval between two reports is added to it.
"""

UNREPORTED_MARGIN_SLOTS = 1
"""Slots of each back end that are always kept free while no gateway reports its requests."""

MAX_RISE_SHARE_PER_S = 1.75
"""Share of the slots that online requests are assumed to take per second while their arrival rate
is not known: a third of the slots in the time in which batch yields to load samples.
"""

MAX_RESERVE_SHARE = 0.35
"""Largest share of the slots that is reserved for the next arrivals."""

SAMPLE_LAG_S = 0.3
"""Time for which a load sample may still count a request whose end a gateway has already reported:
the age of a sample and the sampling interval.
"""

BUCKET_S = 0.25
"""Resolution of the sliding maximum: one value is kept for each such interval."""

FLOOR_SHARE = 1 / 8
"""Share of the slots that batch may use without any reserve, as long as they are free."""

MAX_ARRIVALS_SHARE = 1 / 3
"""Largest share of the online peak that can arrive within the reaction time, since requests last
longer than that.
"""

LAG_WEIGHT = 0.5
"""Weight of one step in the average lag. Steps are longest when many requests arrive at once, which
is when batch has to yield; a single stall alone counts by half.
"""

SLACK_RUNS = 2
"""Runs above the allowed number before any is parked, since load samples fluctuate."""

STALE_S = 1.5
"""Age of the last load sample from which on no run is added."""


class SlidingMaximum:
    """The maximum of a value over a sliding window.

    Its cost does not depend on how often the value changes.
    """

    __slots__ = ("_buckets", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[tuple[float, int]] = deque()

    def record(self, now_s: float, value: int) -> None:
        """Record the current value."""
        if self._buckets and now_s - self._buckets[-1][0] < BUCKET_S:
            started_s, maximum = self._buckets[-1]
            self._buckets[-1] = (started_s, max(maximum, value))
        else:
            self._buckets.append((now_s, value))
        while self._buckets[0][0] <= now_s - self._window_s - BUCKET_S:
            self._buckets.popleft()

    def maximum(self, now_s: float) -> int:
        """Return the maximum of the window, 0 if nothing was recorded in it."""
        from_s = now_s - self._window_s - BUCKET_S
        return max(
            (maximum for started_s, maximum in self._buckets if started_s > from_s), default=0
        )


class MovingAverage:
    """The average of a value over time, in which older values count ever less.

    Attributes:
        mean: The average so far, 0 before anything was recorded for any time.
    """

    __slots__ = ("_recorded_s", "_since_s", "_value", "_window_s", "mean")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._since_s: float | None = None
        self._recorded_s = 0.0
        self._value = 0.0
        self.mean = 0.0

    def record(self, now_s: float, value: float) -> None:
        """Record the current value; the previous one was in force until now."""
        if self._since_s is None:
            self._since_s = self._recorded_s = now_s
        elapsed_s = now_s - self._recorded_s
        if elapsed_s > 0:
            window_s = min(self._window_s, now_s - self._since_s)
            self.mean += (self._value - self.mean) * min(1.0, elapsed_s / window_s)
        self._recorded_s = now_s
        self._value = value


class LoopLag:
    """Tracks for how long an event loop handles no reports, as a busy process yields later.

    Attributes:
        recent_s: Largest recent average, in seconds.
    """

    __slots__ = ("_average_s", "_maximum", "recent_s")

    def __init__(self) -> None:
        self._average_s = 0.0
        self._maximum = SlidingMaximum(WINDOW_S)
        self.recent_s = 0.0

    def record(self, now_s: float, late_s: float) -> None:
        """Record the time for which no report was handled between two steps."""
        self._average_s += (max(0.0, late_s) - self._average_s) * LAG_WEIGHT
        self._maximum.record(now_s, round(self._average_s * 1000))
        self.recent_s = self._maximum.maximum(now_s) / 1000


class RiseTracker:
    """Tracks by how much a value recently rose within the reaction time.

    Attributes:
        reaction_s: Reaction time in seconds.
    """

    __slots__ = ("_levels", "_rises", "reaction_s")

    def __init__(self, reaction_s: float) -> None:
        self.reaction_s = reaction_s
        self._levels: deque[tuple[float, int]] = deque()
        self._rises = SlidingMaximum(WINDOW_S)

    def record(self, now_s: float, level: int) -> None:
        """Record the current value."""
        # The newest level from before the reaction time is kept: it was in force when that time
        # began.
        while len(self._levels) > 1 and self._levels[1][0] <= now_s - self.reaction_s:
            self._levels.popleft()
        minimum = min((known for _, known in self._levels), default=level)
        self._rises.record(now_s, max(0, level - minimum))
        self._levels.append((now_s, level))

    def restart(self) -> None:
        """Forget the last levels but not the rises: the value now comes from other sources."""
        self._levels.clear()

    def maximum(self, now_s: float) -> int:
        """Return the largest recent rise within a reaction time."""
        return self._rises.maximum(now_s)


class RunnerCapacity:
    """The load of one back end.

    Attributes:
        slots: Requests that it can process at the same time.
        own_runs: Batch runs of this process there.
        reported_online: Online requests there that gateways report.
        unreported_online: Online requests that its last load sample shows beyond those.
        work: Work that one of its slots does.
    """

    __slots__ = (
        "_ended_since_sample",
        "_reported_peak",
        "_sampled_online",
        "_sampled_s",
        "_started_since_sample",
        "own_runs",
        "reported_online",
        "slots",
        "unreported_online",
        "work",
    )

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.own_runs = 0
        self.reported_online = 0
        self.unreported_online = 0
        self.work = WorkRate()
        self._sampled_online = 0
        self._reported_peak = SlidingMaximum(SAMPLE_LAG_S)
        self._sampled_s = float("-inf")
        self._started_since_sample = 0
        self._ended_since_sample = 0

    @property
    def online(self) -> int:
        """Online requests at the back end."""
        return self.reported_online + self.unreported_online

    def add_run(self) -> None:
        """Count a batch run that starts."""
        self.own_runs += 1
        self._started_since_sample += 1

    def remove_run(self) -> None:
        """Count the end of a batch run."""
        self.own_runs -= 1
        self._ended_since_sample += 1

    def report_online(self, online: int, now_s: float) -> None:
        """Set the number of online requests that gateways report."""
        if online != self.reported_online:
            # The previous number was in force until now.
            self._reported_peak.record(now_s, self.reported_online)
            self.reported_online = online
        self._reported_peak.record(now_s, online)

    def record_sample(self, running: int, waiting: int, now_s: float) -> None:
        """Apply a load sample, which counts online and batch requests together."""
        # A sample is slightly out of date: it may not count runs started since the previous sample,
        # and may still count runs ended since then. Within these two bounds the number of online
        # requests is assumed unchanged.
        total = running + waiting
        minimum = max(0, total - self.own_runs - self._ended_since_sample)
        maximum = max(minimum, total - self.own_runs + self._started_since_sample)
        self._sampled_online = min(max(self._sampled_online, minimum), maximum)
        known = max(self.reported_online, self._reported_peak.maximum(now_s))
        self.unreported_online = max(0, self._sampled_online - known)
        self._started_since_sample = self._ended_since_sample = 0
        self._sampled_s = now_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether the last load sample is too old to be used."""
        return now_s - self._sampled_s > STALE_S

    def excess(self, now_s: float) -> int:
        """Return how many batch runs here take slots that online requests need."""
        if self.is_stale(now_s):
            return 0
        return max(0, min(self.own_runs, self.online + self.own_runs - self.slots))

    def free(self, now_s: float) -> int:
        """Return how many batch runs fit beside the current requests."""
        if self.is_stale(now_s):
            return 0
        return max(0, self.slots - self.online - self.own_runs)


class OccupiedSlot:
    """A back end's slot that a batch run occupies; freeing it more than once has no effect."""

    __slots__ = ("_capacity",)

    def __init__(self, capacity: RunnerCapacity) -> None:
        self._capacity: RunnerCapacity | None = capacity
        capacity.add_run()

    def free(self) -> None:
        """Release the slot."""
        if self._capacity is not None:
            self._capacity.remove_run()
            self._capacity = None


class ServiceCapacity:
    """The load of all back ends of a service.

    Attributes:
        runners: Load of each back end, by its id.
        waiting_online: Online requests that wait at gateways.
        gateway_count: Gateways that report their online requests.
    """

    __slots__ = (
        "_gateway_reaction_s",
        "_online_peak",
        "_online_rise",
        "_peak",
        "_reported_rise",
        "_sources",
        "_supply",
        "_supply_due_s",
        "_unreported_rise",
        "_watched_since_s",
        "gateway_count",
        "runners",
        "waiting_online",
    )

    def __init__(self) -> None:
        self.runners: dict[str, RunnerCapacity] = {}
        self.waiting_online = 0
        self.gateway_count = 0
        self._sources = (0, 0)
        self._peak = SlidingMaximum(WINDOW_S)
        self._reported_rise = RiseTracker(REACTION_S)
        self._gateway_reaction_s = GATEWAY_REACTION_S
        self._unreported_rise = RiseTracker(REACTION_S)
        self._online_peak = 0
        self._online_rise = 0
        self._supply = MovingAverage(SUPPLY_WINDOW_S)
        self._supply_due_s = float("-inf")
        self._watched_since_s: float | None = None

    def runner(self, key: str, slots: int) -> RunnerCapacity:
        """Return a back end's entry, creating it if necessary."""
        if key not in self.runners:
            self.runners[key] = RunnerCapacity(slots)
        return self.runners[key]

    def fresh_runners(self, now_s: float) -> list[tuple[str, RunnerCapacity]]:
        """Return the back ends with a recent load sample, with their ids."""
        return [(key, runner) for key, runner in self.runners.items() if not runner.is_stale(now_s)]

    def retain(self, keys: frozenset[str]) -> None:
        """Drop all back ends but those listed."""
        self.runners = {key: runner for key, runner in self.runners.items() if key in keys}

    def set_gateway_reports(
        self, gateway_count: int, interval_s: float, waiting_online: int, lag_s: float = 0.0
    ) -> None:
        """Set what gateways report about the service as a whole.

        Args:
            gateway_count: Gateways that send reports.
            interval_s: Interval between two reports of a gateway, in seconds.
            waiting_online: Online requests that wait at gateways.
            lag_s: How late this process handles reports, in seconds.
        """
        self.gateway_count = gateway_count
        self.waiting_online = waiting_online
        self._gateway_reaction_s = GATEWAY_REACTION_S + interval_s + lag_s
        self._reported_rise.reaction_s = max(REACTION_S, self._gateway_reaction_s)

    def update(self, now_s: float) -> None:
        """Record the current totals for the online peak and the fastest rise."""
        if self._watched_since_s is None:
            self._watched_since_s = now_s
        fresh = self._fresh(now_s)
        sources = (len(fresh), self.gateway_count)
        if sources != self._sources:
            # Requests counted by a newly heard gateway or back end have not just arrived.
            self._sources = sources
            self._reported_rise.restart()
            self._unreported_rise.restart()
        reported_online = sum(runner.reported_online for runner in fresh) + self.waiting_online
        unreported_online = sum(runner.unreported_online for runner in fresh)
        self._peak.record(now_s, reported_online + unreported_online)
        self._reported_rise.record(now_s, reported_online)
        self._unreported_rise.record(now_s, unreported_online)
        self._online_peak = self._peak.maximum(now_s)
        self._online_rise = self._expected_reports(now_s) + self._unreported_rise.maximum(now_s)

        if fresh and now_s >= self._supply_due_s:
            self._supply_due_s = now_s + SUPPLY_INTERVAL_S
            self._supply.record(now_s, self._max_runs(now_s))

    def _expected_reports(self, now_s: float) -> int:
        """Return how many requests gateways may report within the time in which batch yields.

        Reports that arrive together after a pause of this process or of a gateway are not a rate,
        so the rate is taken over a longer time than that.
        """
        measured_s = self._reported_rise.reaction_s
        rise = self._reported_rise.maximum(now_s)
        return round(rise * self._gateway_reaction_s / measured_s)

    def mean_runs(self, now_s: float) -> float:
        """Return how many batch runs the service may have on average, over bursts and lulls."""
        if self.is_watched(now_s):
            return self._supply.mean
        slots = sum(runner.slots for runner in self._fresh(now_s))
        return max(self._supply.mean, slots * (1 - DEFAULT_PEAK_SHARE))

    def mean_rate(self, now_s: float) -> float:
        """Return the work of an average slot that online requests leave, in one second.

        It is 1 where all back ends work alike.
        """
        left = [(max(0, entry.slots - entry.online), entry) for entry in self._fresh(now_s)]
        slots = sum(count for count, _ in left)
        if not slots:
            return 1.0
        return sum(count * entry.work.rate(now_s) for count, entry in left) / slots

    def allowance(self, now_s: float) -> int:
        """Return how many batch runs may be added to the service as a whole."""
        return max(0, self._max_runs(now_s) - self._own_runs(now_s))

    def excess(self, now_s: float) -> int:
        """Return how many batch runs should be parked."""
        if not self._fresh(now_s):
            # Without any sample the current runs may continue.
            return 0
        over = self._own_runs(now_s) - self._max_runs(now_s)
        return over if over > SLACK_RUNS else 0

    def _own_runs(self, now_s: float) -> int:
        # Only back ends with a recent sample are counted: runs at the others take no slots of
        # these, and counting them kept these empty for as long as a back end answered no samples.
        return sum(runner.own_runs for runner in self._fresh(now_s))

    def _max_runs(self, now_s: float) -> int:
        """Return how many batch runs the service may have at present."""
        fresh = self._fresh(now_s)
        slots = sum(runner.slots for runner in fresh)
        online = sum(runner.online for runner in fresh) + self.waiting_online
        free = slots - online
        margin = 0 if self.gateway_count else len(fresh) * UNREPORTED_MARGIN_SLOTS
        wanted = min(self._expected_peak(slots, now_s) - online, self._reserve(slots, now_s))
        floor = min(free - margin, int(slots * FLOOR_SHARE))
        # Slots of the margin serve the next arrivals as well as reserved ones do.
        return max(free - max(margin, wanted), floor, 0)

    def summary(self, now_s: float) -> tuple[int, int, int, int]:
        """Return the allowance, online peak, current online requests and slots, for a log line."""
        fresh = self._fresh(now_s)
        slots = sum(runner.slots for runner in fresh)
        online = sum(runner.online for runner in fresh)
        return self.allowance(now_s), self._expected_peak(slots, now_s), online, slots

    def reserve_parts(self, now_s: float) -> tuple[int, int, int]:
        """Return the reserve, and the arrivals expected by reports and samples, for a log line."""
        slots = sum(runner.slots for runner in self._fresh(now_s))
        return (
            self._reserve(slots, now_s),
            self._expected_reports(now_s),
            self._unreported_rise.maximum(now_s),
        )

    def _fresh(self, now_s: float) -> list[RunnerCapacity]:
        return [runner for _, runner in self.fresh_runners(now_s)]

    def _expected_peak(self, slots: int, now_s: float) -> int:
        if self.is_watched(now_s):
            return self._online_peak
        return max(self._online_peak, round(slots * DEFAULT_PEAK_SHARE))

    def _reserve(self, slots: int, now_s: float) -> int:
        maximum = round(slots * MAX_RESERVE_SHARE)
        if not self.is_watched(now_s):
            return min(maximum, round(slots * MAX_RISE_SHARE_PER_S * self._reaction_s()))
        # Load samples fluctuate, so the largest rise alone would overestimate the arrivals.
        return min(self._online_rise, round(self._online_peak * MAX_ARRIVALS_SHARE), maximum)

    def _reaction_s(self) -> float:
        """Return the time in seconds in which batch yields here."""
        return self._gateway_reaction_s if self.gateway_count else REACTION_S

    def is_watched(self, now_s: float) -> bool:
        """Return whether online requests were watched for long enough to know their bursts."""
        return self._watched_since_s is not None and now_s - self._watched_since_s >= WINDOW_S
