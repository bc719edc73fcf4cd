"""How slow a replica's own steps have been lately. Pure: the time is passed in."""

from __future__ import annotations

from collections import deque

NOTED_FROM_S = 0.05
"""Shorter steps are not slow: a third of a heartbeat's usual pause."""

REMEMBERED_S = 5.0
"""How long a slow step is remembered, in seconds."""

LASTING_STEPS = 3
"""Slow steps within that time that make a replica slow: one freeze or stall does not."""


class SlowSteps:
    """Slow steps of one replica: syncs that take long, or a processor that comes late."""

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: deque[tuple[float, float]] = deque()

    def record(self, now_s: float, took_s: float) -> None:
        """Take the time by which a step held up what came meanwhile, both in seconds."""
        if took_s >= NOTED_FROM_S:
            self._steps.append((now_s, took_s))

    def lasting_s(self, now_s: float) -> float:
        """Return how long steps take again and again, in seconds; 0 when they are not slow."""
        while self._steps and now_s - self._steps[0][0] > REMEMBERED_S:
            self._steps.popleft()
        if len(self._steps) < LASTING_STEPS:
            return 0.0
        return sorted((took_s for _, took_s in self._steps), reverse=True)[LASTING_STEPS - 1]
