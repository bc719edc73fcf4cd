"""Tells by regular looks whether a loop still steps. Pure: the time is passed in."""

from __future__ import annotations

MAX_COUNTED_S = 1.0
"""Counted between two looks at most: a process that was stopped for a while, or had no processor,
did not look either, and its loop hangs no more than the one that looks.
"""


class LoopWatchdog:
    """Beaten by one thread, looked at by another."""

    __slots__ = ("_checked_s", "_silent_s", "_steps", "_steps_seen")

    def __init__(self) -> None:
        self._steps = 0
        self._steps_seen = -1
        self._checked_s = 0.0
        self._silent_s = 0.0

    def record_step(self) -> None:
        """Note a step of the loop."""
        self._steps += 1

    def check(self, now_s: float) -> float:
        """Return the seconds for which no beat was seen."""
        if self._steps != self._steps_seen:
            self._steps_seen = self._steps
            self._silent_s = 0.0
        else:
            self._silent_s += min(now_s - self._checked_s, MAX_COUNTED_S)
        self._checked_s = now_s
        return self._silent_s
