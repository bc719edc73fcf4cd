"""Tracks standstills: pauses in which the process itself did not run. No I/O or clock access.

A machine that is starved of CPU or suspended stops a process together with its message handling.
Missing messages during a pause do not show that a peer failed, so timeouts count only the time for
which the process ran. State received before the pause may be out of date, even though no update
failed.
"""

from __future__ import annotations

import math
from collections import deque

NOTED_FROM_S = 0.1
"""Shortest pause that is recorded, in seconds: a quarter of the shortest election timeout."""

RETENTION_S = 60.0
"""How long a pause is kept, in seconds; much longer than any timeout for a peer."""


class Standstills:
    """Recent pauses of one process."""

    __slots__ = ("_spans",)

    def __init__(self) -> None:
        self._spans: deque[tuple[float, float]] = deque()

    def note(self, now_s: float, lasted_s: float) -> None:
        """Record a pause that ended at ``now_s`` and lasted ``lasted_s`` seconds."""
        while self._spans and now_s - self._spans[0][1] > RETENTION_S:
            self._spans.popleft()
        if lasted_s >= NOTED_FROM_S:
            self._spans.append((now_s - lasted_s, now_s))

    def ran_s(self, since_s: float, now_s: float) -> float:
        """Return the time since ``since_s`` excluding pauses, in seconds."""
        standstill_s = sum(
            max(0.0, end_s - max(begin_s, since_s)) for begin_s, end_s in self._spans
        )
        return now_s - since_s - standstill_s


class Freshness:
    """Tracks whether state received from peers is in doubt after a pause of this process.

    A loop refreshes the state in steps and announces the maximum duration of each. An overdue step
    reveals a pause. State received before the pause may be out of date, although no update failed,
    and a request to a peer takes little time. Therefore the state is in doubt until a request made
    after the pause is answered. Peers that do not answer are no reason for doubt by themselves,
    because no newer state is available then.

    Args:
        min_standstill_s: Shortest pause that puts the state in doubt, in seconds.
        reply_timeout_s: How long the doubt lasts if no peer answers, in seconds.
    """

    __slots__ = ("_confirmed_s", "_due_s", "_min_standstill_s", "_reply_timeout_s", "_resumed_s")

    def __init__(self, min_standstill_s: float, reply_timeout_s: float) -> None:
        self._min_standstill_s = min_standstill_s
        self._reply_timeout_s = reply_timeout_s
        self._due_s = math.inf
        self._confirmed_s = -math.inf
        self._resumed_s = -math.inf

    def step_begins(self, now_s: float, longest_s: float) -> float:
        """Record that the next refresh step begins.

        Args:
            now_s: Current time, in seconds.
            longest_s: Maximum duration of the step, in seconds.

        Returns:
            Length of the pause before this step, in seconds; 0 if there was none.
        """
        self._note_standstill(now_s)
        late_s = now_s - self._due_s
        self._due_s = now_s + longest_s
        return late_s if late_s >= self._min_standstill_s else 0.0

    def refreshed(self, requested_s: float) -> None:
        """Record that the state is at least as new as at ``requested_s``, in seconds."""
        self._confirmed_s = max(self._confirmed_s, requested_s)

    def is_in_doubt(self, now_s: float) -> bool:
        """Return whether to wait for a reply before decisions are based on the state."""
        self._note_standstill(now_s)
        return (
            self._confirmed_s < self._resumed_s and now_s - self._resumed_s < self._reply_timeout_s
        )

    def last_pause_end_s(self, now_s: float) -> float:
        """Return when the last detected pause ended, in seconds; ``-inf`` if there was none.

        A decision that is carried out later may be outdated by then. It is if this value differs
        from the one that was read before the state for the decision.
        """
        self._note_standstill(now_s)
        return self._resumed_s

    def _note_standstill(self, now_s: float) -> None:
        """Record the end of a pause, once for each step that it delayed."""
        if now_s - self._due_s >= self._min_standstill_s and self._resumed_s < self._due_s:
            self._resumed_s = now_s


__all__ = ["Freshness", "Standstills"]
