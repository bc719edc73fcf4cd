"""How much batch work a service's back ends may have beside their online requests. Pure.

Online load comes in bursts of seconds, with lulls between them that are worth filling. Batch always
leaves a reserve for the next arrivals: as many as came lately in the time that it takes to give
way, up to the most online requests that the service had lately. That time is short for requests
that gateways tell of, and ten times as long for those that only a back end's report shows. As they
come, batch is parked, and the reserve is kept ahead of them. Gateways send online requests where
there is room, so the service as a whole must have it. Batch never waits in a back end's queue,
where an online request would wait behind it.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 8.0
"""How far back the online peak is looked for; longer than the pauses between bursts."""

DEFAULT_PEAK_SHARE = 0.6
"""Share of the slots that online is taken to need while it was watched for less than the window,
as after a change of leader: a lull would otherwise be filled just before the next burst.
"""

REACTION_S = 0.2
"""Time in which batch gives way to what reports show: a reading's interval and its lag, a step of
the runner, and the end of the runs that are parked.
"""

GATEWAY_REACTION_S = 0.03
"""Time in which batch gives way to what a gateway has just told: its way, and the end of the runs
that are parked. The pause between two words comes on top.
"""

UNREPORTED_MARGIN_SLOTS = 1
"""Slots for each back end that stay free at any moment while no gateway tells of its requests."""

MAX_RISE_SHARE_PER_S = 1.75
"""Share of the slots that online requests may take in a second while it is not known how fast they
come: a third of them in the time in which batch gives way to what reports show.
"""

MAX_RESERVE_SHARE = 0.35
"""Share of the slots that is kept for the next arrivals at most."""

GATEWAY_REPORT_LEAD_S = 0.3
"""A report may still count a request whose end a gateway has told already: its age and the interval
of readings.
"""

BUCKET_S = 0.25
"""Peaks are kept for each such interval, however often something is told."""

FLOOR_SHARE = 1 / 8
"""Share of the slots that batch may have without a reserve, as long as they are free now."""

MAX_ARRIVALS_SHARE = 1 / 3
"""Of the peak: at most so much of it arrives in the reaction time, as requests last for longer."""

SLACK_RUNS = 2
"""Runs beyond what is allowed before any is parked: readings waver."""

STALE_S = 1.5
"""Without a reading for so long nothing is added."""


class SlidingMaximum:
    """The most of a figure within a time; changes may come often."""

    __slots__ = ("_buckets", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._buckets: deque[tuple[float, int]] = deque()

    def record(self, now_s: float, value: int) -> None:
        """Take the figure of this moment."""
        if self._buckets and now_s - self._buckets[-1][0] < BUCKET_S:
            started_s, maximum = self._buckets[-1]
            self._buckets[-1] = (started_s, max(maximum, value))
        else:
            self._buckets.append((now_s, value))
        while self._buckets[0][0] <= now_s - self._window_s - BUCKET_S:
            self._buckets.popleft()

    def maximum(self, now_s: float) -> int:
        """Return the most that was noted lately."""
        from_s = now_s - self._window_s - BUCKET_S
        return max(
            (maximum for started_s, maximum in self._buckets if started_s > from_s), default=0
        )


class RiseTracker:
    """By how much a figure rose lately within the time that it takes to react.

    Attributes:
        reaction_s: That time.
    """

    __slots__ = ("_levels", "_rises", "reaction_s")

    def __init__(self, reaction_s: float) -> None:
        self.reaction_s = reaction_s
        self._levels: deque[tuple[float, int]] = deque()
        self._rises = SlidingMaximum(WINDOW_S)

    def record(self, now_s: float, level: int) -> None:
        """Take the figure of this moment."""
        # The one before the reaction time stood until then.
        while len(self._levels) > 1 and self._levels[1][0] <= now_s - self.reaction_s:
            self._levels.popleft()
        minimum = min((known for _, known in self._levels), default=level)
        self._rises.record(now_s, max(0, level - minimum))
        self._levels.append((now_s, level))

    def restart(self) -> None:
        """Forget the level, not the rises: another source tells it from now on."""
        self._levels.clear()

    def maximum(self, now_s: float) -> int:
        """Return the largest rise in a reaction time."""
        return self._rises.maximum(now_s)


class RunnerCapacity:
    """What is known of one back end's load.

    Attributes:
        slots: Requests that it works on at a time.
        own: Batch runs of this process there.
        told: Online requests there that gateways tell of.
        untold: Online requests that its last report shows beyond those.
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
    )

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.own_runs = 0
        self.reported_online = 0
        self.unreported_online = 0
        self._sampled_online = 0
        self._reported_peak = SlidingMaximum(GATEWAY_REPORT_LEAD_S)
        self._sampled_s = float("-inf")
        self._started_since_sample = 0
        self._ended_since_sample = 0

    @property
    def online(self) -> int:
        """Online requests there."""
        return self.reported_online + self.unreported_online

    def add_run(self) -> None:
        """Note a batch run that begins."""
        self.own_runs += 1
        self._started_since_sample += 1

    def remove_run(self) -> None:
        """Note the end of a batch run."""
        self.own_runs -= 1
        self._ended_since_sample += 1

    def report_online(self, online: int, now_s: float) -> None:
        """Take the online requests that gateways tell of."""
        if online != self.reported_online:
            # The level that ends now stood until now.
            self._reported_peak.record(now_s, self.reported_online)
            self.reported_online = online
        self._reported_peak.record(now_s, online)

    def record_sample(self, running: int, waiting: int, now_s: float) -> None:
        """Take a reading of all requests there, online and batch together."""
        # A reading is a little old: runs begun since the last one are perhaps not in it, and
        # runs ended since then perhaps still are. Between the two bounds, online is taken to be
        # what it was.
        total = running + waiting
        minimum = max(0, total - self.own_runs - self._ended_since_sample)
        maximum = max(minimum, total - self.own_runs + self._started_since_sample)
        self._sampled_online = min(max(self._sampled_online, minimum), maximum)
        known = max(self.reported_online, self._reported_peak.maximum(now_s))
        self.unreported_online = max(0, self._sampled_online - known)
        self._started_since_sample = self._ended_since_sample = 0
        self._sampled_s = now_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether the last reading is too old to go by."""
        return now_s - self._sampled_s > STALE_S

    def excess(self, now_s: float) -> int:
        """Return how many batch runs stand in the way of online requests here."""
        if self.is_stale(now_s):
            return 0
        return max(0, min(self.own_runs, self.online + self.own_runs - self.slots))

    def free(self, now_s: float) -> int:
        """Return how many batch runs fit beside what is there now."""
        if self.is_stale(now_s):
            return 0
        return max(0, self.slots - self.online - self.own_runs)


class OccupiedSlot:
    """One batch run's slot at a back end; it is freed once, however often that is asked."""

    __slots__ = ("_room",)

    def __init__(self, room: RunnerCapacity) -> None:
        self._room: RunnerCapacity | None = room
        room.add_run()

    def free(self) -> None:
        """Note the end of the run."""
        if self._room is not None:
            self._room.remove_run()
            self._room = None


class ServiceCapacity:
    """All back ends of one service.

    Attributes:
        seats: What is known of each, by its id.
        held: Online requests that wait at gateways.
        tellers: Gateways that tell of their online requests.
    """

    __slots__ = (
        "_online_peak",
        "_online_rise",
        "_peak",
        "_reported_rise",
        "_sources",
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
        self._reported_rise = RiseTracker(GATEWAY_REACTION_S)
        self._unreported_rise = RiseTracker(REACTION_S)
        self._online_peak = 0
        self._online_rise = 0
        self._watched_since_s: float | None = None

    def runner(self, key: str, slots: int) -> RunnerCapacity:
        """Return a back end's part, new if it is not known."""
        if key not in self.runners:
            self.runners[key] = RunnerCapacity(slots)
        return self.runners[key]

    def fresh_runners(self, now_s: float) -> list[tuple[str, RunnerCapacity]]:
        """Return the back ends whose reading is recent, with their ids."""
        return [(key, runner) for key, runner in self.runners.items() if not runner.is_stale(now_s)]

    def keep(self, keys: frozenset[str]) -> None:
        """Forget back ends that are gone."""
        self.runners = {key: runner for key, runner in self.runners.items() if key in keys}

    def set_gateway_reports(
        self, gateway_count: int, interval_s: float, waiting_online: int
    ) -> None:
        """Take what gateways tell of the whole service.

        Args:
            tellers: Gateways that tell.
            interval_s: Pause between two words of one.
            held: Online requests that wait there.
        """
        self.gateway_count = gateway_count
        self.waiting_online = waiting_online
        self._reported_rise.reaction_s = GATEWAY_REACTION_S + interval_s

    def update(self, now_s: float) -> None:
        """Take the sum of what is known now into the peak and the fastest rise."""
        if self._watched_since_s is None:
            self._watched_since_s = now_s
        fresh = self._fresh(now_s)
        sources = (len(fresh), self.gateway_count)
        if sources != self._sources:
            # What one more gateway or back end tells has not arrived just now.
            self._sources = sources
            self._reported_rise.restart()
            self._unreported_rise.restart()
        reported_online = sum(runner.reported_online for runner in fresh) + self.waiting_online
        unreported_online = sum(runner.unreported_online for runner in fresh)
        self._peak.record(now_s, reported_online + unreported_online)
        self._reported_rise.record(now_s, reported_online)
        self._unreported_rise.record(now_s, unreported_online)
        self._online_peak = self._peak.maximum(now_s)
        self._online_rise = self._reported_rise.maximum(now_s) + self._unreported_rise.maximum(
            now_s
        )

    def allowance(self, now_s: float) -> int:
        """Return how many batch runs may be added to the service as a whole."""
        return max(0, self._max_runs(now_s) - self._own_runs(now_s))

    def excess(self, now_s: float) -> int:
        """Return how many batch runs should be parked."""
        if not self._fresh(now_s):
            # Nothing is known: what runs may go on.
            return 0
        over = self._own_runs(now_s) - self._max_runs(now_s)
        return over if over > SLACK_RUNS else 0

    def _own_runs(self, now_s: float) -> int:
        # Runs at a back end that is not read take no slot of those that are: counted here, they
        # kept the others empty for as long as it was silent.
        return sum(runner.own_runs for runner in self._fresh(now_s))

    def _max_runs(self, now_s: float) -> int:
        """Return how many batch runs the service may have now."""
        fresh = self._fresh(now_s)
        slots = sum(runner.slots for runner in fresh)
        online = sum(runner.online for runner in fresh) + self.waiting_online
        free = slots - online
        margin = 0 if self.gateway_count else len(fresh) * UNREPORTED_MARGIN_SLOTS
        wanted = min(self._expected_peak(slots, now_s) - online, self._reserve(slots, now_s))
        floor = min(free - margin, int(slots * FLOOR_SHARE))
        # Slots of the margin serve the next arrivals as well as any other.
        return max(free - max(margin, wanted), floor, 0)

    def summary(self, now_s: float) -> tuple[int, int, int, int]:
        """Return allowance, online peak, online now and slots, for a person."""
        fresh = self._fresh(now_s)
        slots = sum(runner.slots for runner in fresh)
        online = sum(runner.online for runner in fresh)
        return self.allowance(now_s), self._expected_peak(slots, now_s), online, slots

    def _fresh(self, now_s: float) -> list[RunnerCapacity]:
        return [runner for _, runner in self.fresh_runners(now_s)]

    def _expected_peak(self, slots: int, now_s: float) -> int:
        if self._is_watched(now_s):
            return self._online_peak
        return max(self._online_peak, round(slots * DEFAULT_PEAK_SHARE))

    def _reserve(self, slots: int, now_s: float) -> int:
        maximum = round(slots * MAX_RESERVE_SHARE)
        if not self._is_watched(now_s):
            return min(maximum, round(slots * MAX_RISE_SHARE_PER_S * self._reaction_s()))
        # Readings waver, so a rise alone would overstate what can come.
        return min(self._online_rise, round(self._online_peak * MAX_ARRIVALS_SHARE), maximum)

    def _reaction_s(self) -> float:
        """Return the time in which batch gives way here."""
        return self._reported_rise.reaction_s if self.gateway_count else REACTION_S

    def _is_watched(self, now_s: float) -> bool:
        """Return whether online requests were seen for long enough to know their bursts."""
        return self._watched_since_s is not None and now_s - self._watched_since_s >= WINDOW_S
