"""Notices that work lies still though it could go on. Decides nothing. Pure."""

from __future__ import annotations

STALL_S = 3.0
"""Seconds. Two commits that take their whole time (``outbox.PROPOSE_TIMEOUT_S``): a run that can
be started is started within a step, 0.1 s, and the pause after a failed one, 0.3 s.
"""

ACTIVE_S = 5.0
"""Seconds. A run that was started, or told something, so lately moves: longer than the reading of a
long prompt, half of the silence that a run is borne for (``lost_runs.MAX_FIRST_SILENCE_S``).
"""

REPEAT_S = 30.0
"""Seconds between two lines on the same stall."""


class WorkState:
    """The figures of one moment.

    Attributes:
        open_items: Open items.
        lively: Those that run and have shown a sign of life within ``LIVELY_S``.
        room: Runs that may be started at once.
        started_s: When a run was started last, or the lead began.
        recorded_s: When the group took a command last, or the lead began.
        reasons: Open items by why they do not run, for a person.
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
        """Return whether something is open, room is known, and nothing moves."""
        if not self.open_items or self.active_runs or not self.startable_runs:
            return False
        return now_s - max(self.started_s, self.recorded_s) >= STALL_S


class StallWatch:
    """Tells when work begins to lie still, from time to time while it does, and when it is over."""

    __slots__ = ("_logged_s", "_since_s")

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._logged_s = float("-inf")

    @property
    def stalled(self) -> bool:
        """Whether work lies still."""
        return self._since_s is not None

    def update(self, state: WorkState, now_s: float) -> str:
        """Take the figures of this moment; return what is to be told, mostly nothing."""
        if not state.is_stalled(now_s):
            since_s, self._since_s = self._since_s, None
            self._logged_s = float("-inf")
            if since_s is None:
                return ""
            return f"stalled no longer, after {now_s - since_s:.1f} s: {state.open_items} open"
        if self._since_s is None:
            self._since_s = max(state.started_s, state.recorded_s)
        if now_s - self._logged_s < REPEAT_S:
            return ""
        self._logged_s = now_s
        return (
            f"stalled: {state.open_items} open items, room for {state.startable_runs},"
            f" no run started for {now_s - state.started_s:.1f} s,"
            f" nothing recorded for {now_s - state.recorded_s:.1f} s; {state.reasons}"
        )


class AgeWatch:
    """Tells when something has not been heard of for long, and when it is again.

    Args:
        what: What is not heard, as in "the runner has not taken a step".
        limit_s: From which age on it is told.
    """

    __slots__ = ("_condition", "_limit_s", "_since_s")

    def __init__(self, condition: str, limit_s: float) -> None:
        self._condition = condition
        self._limit_s = limit_s
        self._since_s: float | None = None

    def update(self, age_s: float, now_s: float) -> str:
        """Take the age of this moment; return what is to be told, mostly nothing."""
        if age_s >= self._limit_s:
            known, self._since_s = self._since_s, now_s - age_s
            return "" if known is not None else f"{self._condition} for {age_s:.1f} s"
        if self._since_s is None:
            return ""
        since_s, self._since_s = self._since_s, None
        return f"{self._condition}: over, after {now_s - age_s - since_s:.1f} s"
