"""Tells by regular looks whether a loop still steps. Pure: the time is passed in."""

from __future__ import annotations

LONGEST_LOOK_S = 1.0
"""Counted between two looks at most: a process that was stopped for a while, or had no processor,
did not look either, and its loop hangs no more than the one that looks.
"""


class Pulse:
    """Beaten by one thread, looked at by another."""

    __slots__ = ("_beats", "_looked_s", "_seen", "_silent_s")

    def __init__(self) -> None:
        self._beats = 0
        self._seen = -1
        self._looked_s = 0.0
        self._silent_s = 0.0

    def beat(self) -> None:
        """Note a step of the loop."""
        self._beats += 1

    def look(self, now_s: float) -> float:
        """Return the seconds for which no beat was seen."""
        if self._beats != self._seen:
            self._seen = self._beats
            self._silent_s = 0.0
        else:
            self._silent_s += min(now_s - self._looked_s, LONGEST_LOOK_S)
        self._looked_s = now_s
        return self._silent_s
