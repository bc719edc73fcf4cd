"""How long work takes at one start of a back end, compared with its service. Pure.

Load pattern: back ends of one service differ in speed by a factor of two or more, and each slows
down for some tenths of a second at a time. A request that is due in 0.3 s is late at a back end
that is slow at this moment, although slots are free there.

The speed lasts, the pace is that of the moment. A report tells the pace at once, but holds for a
few tenths of a second only, and it is the back end's word. Runs are what callers get, but they are
few and each shows a mix of both. Therefore runs are divided by the pace that was reported meanwhile
and give the speed, which replaces nothing before it differs measurably; and reports of a slowdown
that runs keep contradicting are ignored.
"""

from __future__ import annotations

import math
from collections import deque

REPORT_VALID_S = 0.6
"""Age from which a reported slowdown says nothing any more; until then it counts less and less."""

MAX_RUNS = 24
"""Number of recent runs that are kept."""

MIN_RUNS = 8
"""Number of runs needed to judge the speed."""

MAX_REPORTS = 32
"""Number of recent reports that are kept."""

MIN_REPORTS = 8
"""Number of reports needed to know the figure that a back end usually reports."""

MIN_DIFFERENCE = math.log(1.25)
"""Smallest difference of a speed, as a logarithm: a smaller one moves no request worth moving, and
requests of one kind differ, too.
"""

CERTAIN_ERRORS = 5.0
"""Difference of a speed in standard errors from which it counts. Many back ends are looked at
after each run, so that three are reached by chance.
"""

LEAST_DEVIATION = 0.2
"""Smallest standard deviation of a run, as a logarithm: runs that are alike by chance."""

SPEED_DEVIATION = 0.4
"""Standard deviation of the speeds among back ends, as a logarithm."""

EVIDENCE_HALF_LIFE_S = 60.0
"""Time in which runs lose half of their weight: what shares the machine may have changed."""

MAX_HALF_LIVES = 64.0
"""Half-lives from which runs weigh nothing: a back end may be without any for days."""

SHARED_VALID_S = 10.0
"""How long a speed counts that another process has told, which knows many more runs."""

CLEAR_SLOWDOWN = 1.3
"""Reported slowdown that runs can confirm or contradict."""

CONFIRMED_SHARE = 0.25
"""Part of the reported slowdown that a run must show: the back end may recover during the run."""

MAX_CONTRADICTIONS = 3
"""Runs, less those that confirm, after which reports of a back end are ignored."""

PACE_WINDOW_S = 0.3
"""Age from which pauses between events say nothing about the pace any more."""

MIN_PAUSES = 3
"""Number of pauses needed to judge the pace."""

MIN_PACE = 1.5
"""Pace by pauses that counts as slow: pauses vary with the number of requests, too."""


class BackEndRate:
    """Rate of one start of a back end, as one process knows it."""

    __slots__ = (
        "_contradictions",
        "_deviation",
        "_mean_log",
        "_news_slowdown",
        "_pauses",
        "_reported_s",
        "_reports",
        "_run_s",
        "_runs",
        "_shared_pace",
        "_shared_pace_s",
        "_shared_speed",
        "_shared_speed_s",
        "_slowdown",
        "_tells",
        "_unshared",
        "_usual_slowdown",
    )

    def __init__(self) -> None:
        self._slowdown = 1.0
        self._usual_slowdown = 1.0
        self._reported_s = float("-inf")
        self._reports: deque[float] = deque(maxlen=MAX_REPORTS)
        self._runs: deque[float] = deque(maxlen=MAX_RUNS)
        self._run_s = float("-inf")
        self._mean_log = 0.0
        self._deviation = math.inf
        self._contradictions = 0
        self._tells = False
        self._news_slowdown = 0.0
        self._unshared: list[float] = []
        self._shared_speed = 1.0
        self._shared_speed_s = float("-inf")
        self._shared_pace = 1.0
        self._shared_pace_s = float("-inf")
        self._pauses: deque[tuple[float, float]] = deque(maxlen=2 * MIN_PAUSES)

    def report(self, slowdown: float, now_s: float) -> None:
        """Record how long work takes there at present, as the back end reports it.

        Args:
            slowdown: Multiple of the back end's usual time.
            now_s: Monotonic time in seconds.
        """
        self._slowdown = slowdown
        self._reported_s = now_s
        self._news_slowdown = slowdown
        self._tells = self._tells or slowdown != 1.0
        self._reports.append(slowdown)
        if len(self._reports) >= MIN_REPORTS:
            usual = sorted(self._reports)[len(self._reports) // 2]
            self._usual_slowdown = usual if abs(math.log(usual)) >= MIN_DIFFERENCE else 1.0

    def record_run(self, run_s: float, usual_s: float, now_s: float) -> None:
        """Record a whole run there.

        Args:
            run_s: Time for which it occupied a slot, in seconds.
            usual_s: Time that the same work takes on average at the service's back ends.
            now_s: Monotonic time in seconds.
        """
        if run_s <= 0 or usual_s <= 0:
            return
        ratio = run_s / usual_s
        self._judge_reports(ratio, self._reported_during(run_s, now_s))
        relative = math.log(ratio / self.pace_during(run_s, now_s))
        if len(self._unshared) < MAX_RUNS:
            self._unshared.append(relative)
        self.record_shared_runs(relative, now_s)

    def record_shared_runs(self, mean_log: float, now_s: float) -> None:
        """Record runs as another process has seen them: the logarithm of their relative time."""
        self._runs.append(mean_log)
        self._run_s = now_s
        self._update_speed()

    def record_pause(self, pause_s: float, usual_s: float, now_s: float) -> None:
        """Record a pause between two events of a response.

        Args:
            pause_s: Its length, in seconds.
            usual_s: Average length of such pauses at the service's back ends.
            now_s: Monotonic time in seconds.
        """
        if usual_s > 0:
            self._pauses.append((now_s, pause_s / usual_s))

    @property
    def has_told(self) -> bool:
        """Whether the back end has ever reported a slowdown."""
        return self._tells

    @property
    def has_news(self) -> bool:
        """Whether something was recorded since ``take_news``."""
        return self._news_slowdown > 0 or bool(self._unshared)

    def take_news(self) -> tuple[float, int, float]:
        """Return the newest report, 0 without any, and number and mean of the runs since then."""
        runs = self._unshared
        news = (self._news_slowdown, len(runs), sum(runs) / max(1, len(runs)))
        self._news_slowdown, self._unshared = 0.0, []
        return news

    def set_shared_speed(self, speed: float, now_s: float) -> None:
        """Set the speed that a process tells that knows more runs."""
        self._shared_speed = speed
        self._shared_speed_s = now_s

    def set_shared_pace(self, pace: float, told_s: float) -> None:
        """Set the pace that another process tells, and when it knew it."""
        self._shared_pace = pace
        self._shared_pace_s = told_s

    def reported(self, now_s: float, max_age_s: float) -> float | None:
        """Return the newest reported slowdown; None if it is older."""
        return self._slowdown if now_s - self._reported_s <= max_age_s else None

    def factor(self, now_s: float) -> float:
        """Return the expected time of work that starts now, as a multiple of the service's mean.

        It is 1 while nothing is known, and while the back end does not differ measurably.
        """
        return self.pace(now_s) / self.speed(now_s)

    def pace(self, now_s: float) -> float:
        """Return how long work takes at this moment, as a multiple of what it usually takes there.

        A report counts first, then pauses. Reports that include the back end's lasting speed keep
        their usual figure once they are out of date.
        """
        if self._contradictions < MAX_CONTRADICTIONS:
            usual, told, told_s = self._usual_slowdown, self._slowdown, self._reported_s
            if self._shared_pace_s > told_s:
                told, told_s = self._shared_pace, self._shared_pace_s
            age_s = now_s - told_s
            if age_s < REPORT_VALID_S:
                return told if age_s <= 0 else told + (usual - told) * age_s / REPORT_VALID_S
        else:
            usual = 1.0
        if not self._pauses or now_s - self._pauses[-1][0] > PACE_WINDOW_S:
            return usual
        recent = sorted(
            ratio for paused_s, ratio in self._pauses if now_s - paused_s <= PACE_WINDOW_S
        )
        if len(recent) < MIN_PAUSES:
            return usual
        shown = recent[len(recent) // 2] * self.speed(now_s)
        return shown if shown >= MIN_PACE * usual else usual

    def pace_during(self, run_s: float, now_s: float) -> float:
        """Return the pace that was reported during a run that ends now; 1 if it isn't believed."""
        return self._reported_during(run_s, now_s) if self.is_believed else 1.0

    def speed(self, now_s: float) -> float:
        """Return how fast it lastingly works, as a multiple of its service's mean.

        It is 1 until the speed differs measurably, and closer to 1 the less certain it is.
        """
        if now_s - self._shared_speed_s <= SHARED_VALID_S:
            return self._shared_speed
        difference = abs(self._mean_log)
        if difference < MIN_DIFFERENCE or difference < CERTAIN_ERRORS * self.uncertainty(now_s):
            return 1.0
        return self.likely_speed(now_s)

    def likely_speed(self, now_s: float) -> float:
        """Return the speed by the runs known here, whether or not it differs measurably."""
        if len(self._runs) < MIN_RUNS:
            return 1.0
        weight = 1 / (1 + (self.uncertainty(now_s) / SPEED_DEVIATION) ** 2)
        return math.exp(-self._mean_log * weight)

    def uncertainty(self, now_s: float) -> float:
        """Return the relative standard error of the speed; infinite while nothing is known."""
        if len(self._runs) < MIN_RUNS:
            return math.inf
        half_lives = max(0.0, now_s - self._run_s) / EVIDENCE_HALF_LIFE_S
        half_lives = min(half_lives, MAX_HALF_LIVES)
        return self._deviation * math.sqrt(2.0**half_lives / len(self._runs))

    def age_s(self, now_s: float) -> float:
        """Return the age in seconds of the newest report or run; infinite without any."""
        return now_s - max(self._reported_s, self._run_s)

    @property
    def is_believed(self) -> bool:
        """Whether runs bear out the slowdowns that the back end reports."""
        return self._contradictions < MAX_CONTRADICTIONS

    def _reported_during(self, run_s: float, now_s: float) -> float:
        """Return the slowdown that was reported during a run, else the usual one."""
        if now_s - self._reported_s <= run_s + REPORT_VALID_S:
            return self._slowdown
        return self._usual_slowdown

    def _judge_reports(self, ratio: float, reported: float) -> None:
        """Count whether a run bears out the slowdown that was reported meanwhile."""
        if reported < CLEAR_SLOWDOWN:
            return
        usual_ratio = math.exp(self._mean_log) if len(self._runs) >= MIN_RUNS else 1.0
        confirmed = ratio / usual_ratio >= 1 + (reported - 1) * CONFIRMED_SHARE
        step = -1 if confirmed else 1
        self._contradictions = min(
            2 * MAX_CONTRADICTIONS, max(-MAX_CONTRADICTIONS, self._contradictions + step)
        )

    def _update_speed(self) -> None:
        """Average the middle half of the runs: some contain a slowdown that nobody reported."""
        ranked = sorted(self._runs)
        cut = len(ranked) // 4
        middle = ranked[cut : len(ranked) - cut]
        self._mean_log = sum(middle) / len(middle)
        spread = sum((value - self._mean_log) ** 2 for value in ranked) / max(1, len(ranked) - 1)
        self._deviation = max(LEAST_DEVIATION, math.sqrt(spread))


__all__ = ["BackEndRate"]
