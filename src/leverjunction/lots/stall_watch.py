"""Detects that work has stopped although it could continue. Decides nothing. Pure."""

from __future__ import annotations

STALL_S = 3.0
"""Seconds without any start or commit that count as a stall: two commits that take their whole time
(``outbox.PROPOSE_TIMEOUT_S``). Starting a run takes less, namely a step of 0.1 s and, after a
failed run, a pause of 0.3 s.
"""

ACTIVE_S = 5.0
"""Seconds since a run's start or its last event for which the run counts as active. Longer than a
back end needs to process a long prompt, and half of the longest silence that is accepted of a first
run (``lost_runs.MAX_FIRST_SILENCE_S``).
"""

REPEAT_S = 30.0
"""Seconds between two log lines about the same stall."""


class WorkState:
    """The figures of the runner's work at one moment.

    Attributes:
        open_items: Open items.
        active_runs: Runs that were started or sent an event within ``ACTIVE_S``.
        startable_runs: Runs that may be started at once.
        started_s: When the last run was started or leadership began, in monotonic seconds.
        recorded_s: When the group last accepted a command or leadership began, in monotonic
            seconds.
        reasons: Numbers of open items by the reason why they do not run, as text for a log line.
    """

    __slots__ = (
        "active_runs",
        "open_items",
        "reasons",
        "recorded_s",
        "startable_runs",
        "started_s",
    )

    def __init__(
        self,
        *,
        open_items: int,
        active_runs: int,
        startable_runs: int,
        started_s: float,
        recorded_s: float,
        reasons: str = "",
    ) -> None:
        self.open_items = open_items
        self.active_runs = active_runs
        self.startable_runs = startable_runs
        self.started_s = started_s
        self.recorded_s = recorded_s
        self.reasons = reasons

    def is_stalled(self, now_s: float) -> bool:
        """Return whether there are open items and capacity for runs, but no progress."""
        if not self.open_items or self.active_runs or not self.startable_runs:
            return False
        return now_s - max(self.started_s, self.recorded_s) >= STALL_S


class StallWatch:
    """Reports the start of a stall, repeats the report while it lasts, and reports its end."""

    __slots__ = ("_logged_s", "_since_s")

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._logged_s = float("-inf")

    @property
    def stalled(self) -> bool:
        """Whether work is stalled."""
        return self._since_s is not None

    def update(self, state: WorkState, now_s: float) -> str:
        """Take the current figures; return the text to log, empty unless a report is due."""
        if not state.is_stalled(now_s):
            since_s, self._since_s = self._since_s, None
            self._logged_s = float("-inf")
            if since_s is None:
                return ""
            return f"no longer stalled, after {now_s - since_s:.1f} s: {state.open_items} open"
        if self._since_s is None:
            self._since_s = max(state.started_s, state.recorded_s)
        if now_s - self._logged_s < REPEAT_S:
            return ""
        self._logged_s = now_s
        return (
            f"stalled: {state.open_items} open items, capacity for {state.startable_runs} runs,"
            f" no run started for {now_s - state.started_s:.1f} s,"
            f" nothing recorded for {now_s - state.recorded_s:.1f} s; {state.reasons}"
        )


class AgeWatch:
    """Reports that something has not happened for long, and that it happens again.

    Args:
        condition: What is reported, such as "the runner has not taken a step".
        limit_s: Age in seconds from which it is reported.
    """

    __slots__ = ("_condition", "_limit_s", "_since_s")

    def __init__(self, condition: str, limit_s: float) -> None:
        self._condition = condition
        self._limit_s = limit_s
        self._since_s: float | None = None

    def update(self, age_s: float, now_s: float) -> str:
        """Take the current age in seconds; return the text to log, empty if nothing changed."""
        if age_s >= self._limit_s:
            known, self._since_s = self._since_s, now_s - age_s
            return "" if known is not None else f"{self._condition} for {age_s:.1f} s"
        if self._since_s is None:
            return ""
        since_s, self._since_s = self._since_s, None
        return f"{self._condition}: over, after {now_s - age_s - since_s:.1f} s"
