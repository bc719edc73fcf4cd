"""Detects a loop that no longer completes steps, by regular checks. Pure: the time is passed in."""

from __future__ import annotations

MAX_COUNTED_S = 1.0
"""Most seconds counted between two checks. A process that was suspended or had no processor did not
run the checks either, so its loop is not taken to hang.
"""


class LoopWatchdog:
    """Counts the steps of a loop in one thread, and checks their progress from another."""

    __slots__ = ("_checked_s", "_silent_s", "_steps", "_steps_seen")

    def __init__(self) -> None:
        self._steps = 0
        self._steps_seen = -1
        self._checked_s = 0.0
        self._silent_s = 0.0

    def record_step(self) -> None:
        """Count a completed step of the loop."""
        self._steps += 1

    def check(self, now_s: float) -> float:
        """Return the seconds for which checks have found no new step."""
        if self._steps != self._steps_seen:
            self._steps_seen = self._steps
            self._silent_s = 0.0
        else:
            self._silent_s += min(now_s - self._checked_s, MAX_COUNTED_S)
        self._checked_s = now_s
        return self._silent_s
