"""For how long a process itself did not run. Pure: the time is passed in.

A machine that is short of processor, or suspended, stops a process and all that reaches it. What
it did not hear meanwhile says nothing of the others, so patience counts the time that it ran; and
what it knew before may be out of date, though nobody failed to tell it.
"""

from __future__ import annotations

import math
from collections import deque

NOTED_FROM_S = 0.1
"""Shorter delays are not noted: a quarter of the shortest patience of a replica in use."""

REMEMBERED_S = 60.0
"""How long a standstill is remembered, in seconds: far above any patience with others."""


class Standstills:
    """Spans in which one process stood still."""

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
        """Return for how long the process ran since a moment, in seconds."""
        stood_s = sum(max(0.0, end_s - max(begin_s, since_s)) for begin_s, end_s in self._spans)
        return now_s - since_s - stood_s


class Freshness:
    """Whether what a process knows is in doubt because it stood still itself.

    Somebody refreshes the knowledge step by step, and says before each by when that is over. What
    was known before a standstill may be out of date though nobody failed to tell it, and asking
    costs a moment. Silence of others is no reason for doubt: then what is known is all there is.

    Args:
        from_s: Shortest standstill that matters, in seconds.
        patience_s: How long after a standstill the doubt lasts when nobody answers, in seconds.
    """

    __slots__ = ("_asked_s", "_due_s", "_from_s", "_patience_s", "_woke_s")

    def __init__(self, from_s: float, patience_s: float) -> None:
        self._from_s = from_s
        self._patience_s = patience_s
        self._due_s = math.inf
        self._asked_s = -math.inf
        self._woke_s = -math.inf

    def step_begins(self, now_s: float, longest_s: float) -> float:
        """Note that the next step of the refreshing begins, and how long it takes at most.

        Returns:
            For how long the process stood still before, in seconds; 0 when it is not late.
        """
        self._note_standstill(now_s)
        late_s = now_s - self._due_s
        self._due_s = now_s + longest_s
        return late_s if late_s >= self._from_s else 0.0

    def refreshed(self, asked_s: float) -> None:
        """Take that all is known that was true when somebody was asked."""
        self._asked_s = max(self._asked_s, asked_s)

    def is_in_doubt(self, now_s: float) -> bool:
        """Return whether to wait for an answer before anything is decided."""
        self._note_standstill(now_s)
        return self._asked_s < self._woke_s and now_s - self._woke_s < self._patience_s

    def _note_standstill(self, now_s: float) -> None:
        """Note the end of a standstill, once for each step that it made late."""
        if now_s - self._due_s >= self._from_s and self._woke_s < self._due_s:
            self._woke_s = now_s


__all__ = ["Freshness", "Standstills"]
