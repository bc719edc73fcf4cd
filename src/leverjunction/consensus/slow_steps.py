"""Tracks how slow a replica's recent steps were. Has no clock: the time is passed in."""

from __future__ import annotations

from collections import deque

MIN_SLOW_STEP_S = 0.05
"""Shortest step that counts as slow, in seconds: a third of a usual heartbeat interval."""

RETENTION_S = 5.0
"""How long a slow step is counted, in seconds."""

MIN_SLOW_STEPS = 3
"""Slow steps within ``RETENTION_S`` that make a replica slow, so that a single pause of the process
or stall of the disk does not.
"""


class SlowSteps:
    """Recent slow steps of one replica, caused by slow syncs or by CPU starvation."""

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: deque[tuple[float, float]] = deque()

    def record(self, now_s: float, took_s: float) -> None:
        """Record a step if it was slow.

        Args:
            now_s: Monotonic time, in seconds.
            took_s: How long the step delayed the events that arrived meanwhile, in seconds.
        """
        if took_s >= MIN_SLOW_STEP_S:
            self._steps.append((now_s, took_s))

    def sustained_s(self, now_s: float) -> float:
        """Return the duration that several recent steps reached, in seconds; 0 if not slow.

        Args:
            now_s: Monotonic time, in seconds.
        """
        while self._steps and now_s - self._steps[0][0] > RETENTION_S:
            self._steps.popleft()
        if len(self._steps) < MIN_SLOW_STEPS:
            return 0.0
        return sorted((took_s for _, took_s in self._steps), reverse=True)[MIN_SLOW_STEPS - 1]
