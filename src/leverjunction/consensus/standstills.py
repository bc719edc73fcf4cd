"""For how long a replica itself did not run. Pure: the time is passed in.

A machine that is short of processor, or suspended, stops a replica and all that reaches it. What
it did not hear meanwhile says nothing of the others, so patience counts the time that it ran.
"""

from __future__ import annotations

from collections import deque

NOTED_FROM_S = 0.1
"""Shorter delays are not noted: a quarter of the shortest patience of a replica in use."""

REMEMBERED_S = 60.0
"""How long a standstill is remembered, in seconds: far above any patience with others."""


class Standstills:
    """Spans in which one replica stood still."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: deque[tuple[float, float]] = deque()

    def note(self, now_s: float, lasted_s: float) -> None:
        """Take a standstill that ended now, in seconds."""
        while self._spans and now_s - self._spans[0][1] > REMEMBERED_S:
            self._spans.popleft()
        if lasted_s >= NOTED_FROM_S:
            self._spans.append((now_s - lasted_s, now_s))

    def ran_s(self, since_s: float, now_s: float) -> float:
        """Return for how long the replica ran since a moment, in seconds."""
        stood_s = sum(max(0.0, end_s - max(begin_s, since_s)) for begin_s, end_s in self._spans)
        return now_s - since_s - stood_s


__all__ = ["Standstills"]
