"""Exponential backoff of a gateway whose exchanges time out. Performs no I/O.

After a single timeout the exchange is retried at the next hub without delay, since one hub may be
dead or frozen. Consecutive timeouts, at different hubs, mean that the hubs are overloaded, and
immediate retries would keep them so.
"""

from __future__ import annotations

import random as random_module

IMMEDIATE_RETRIES = 1
"""Consecutive timeouts after which the next exchange follows without a pause."""

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 2.5
"""Upper bound of the mean pause. With jitter the pause stays below the time in which settings have
to be in force once the hubs respond again, and far below the longest suspicion of a hub."""


class TimeoutBackoff:
    """Doubles a jittered pause with each consecutive timeout. Not thread-safe."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._consecutive = 0
        self._until_s = 0.0

    def record_timeout(self, now_s: float) -> None:
        """Record an exchange that timed out."""
        self._consecutive += 1
        extra = self._consecutive - IMMEDIATE_RETRIES
        if extra > 0:
            mean_s = min(FIRST_PAUSE_S * 2.0 ** (extra - 1), MAX_PAUSE_S)
            self._until_s = now_s + mean_s * (0.5 + self._random.random())

    def record_reply(self) -> None:
        """Record a reply, which resets the count of consecutive timeouts and ends the pause."""
        self._consecutive = 0
        self._until_s = 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining pause in seconds, 0 if there is none."""
        return max(0.0, self._until_s - now_s)
