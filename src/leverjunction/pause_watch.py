"""Tells when an event that a process sees now may have happened. No I/O; the time is passed in.

A signal that comes while a process does not run, since its machine is busy or suspended, is handled
once it runs again. What is due some time after the signal must not be counted from then.
"""

from __future__ import annotations

import math

BEAT_INTERVAL_S = 0.25
"""Interval at which the process notes that it runs."""

MIN_PAUSE_S = 0.5
"""Shortest time without a beat that counts as a pause: a busy event loop is late by less."""

AFTER_PAUSE_S = 0.1
"""Time after a pause within which an event is taken for one that came during it."""


class PauseWatch:
    """Notes the beats of one event loop, and the last pause between them."""

    __slots__ = ("_beat_s", "_resumed_s", "_stalled_s")

    def __init__(self) -> None:
        self._beat_s = math.inf
        self._stalled_s = math.inf
        self._resumed_s = -math.inf

    def beat(self, now_s: float) -> None:
        """Note that the process runs, at monotonic seconds."""
        if now_s - self._beat_s >= MIN_PAUSE_S:
            self._stalled_s, self._resumed_s = self._beat_s, now_s
        self._beat_s = now_s

    def earliest_s(self, now_s: float) -> float:
        """Return the earliest time at which an event that is seen now may have happened."""
        if now_s - self._beat_s >= MIN_PAUSE_S:
            return self._beat_s
        if now_s - self._resumed_s <= AFTER_PAUSE_S:
            return self._stalled_s
        return now_s


__all__ = ["AFTER_PAUSE_S", "BEAT_INTERVAL_S", "MIN_PAUSE_S", "PauseWatch"]
