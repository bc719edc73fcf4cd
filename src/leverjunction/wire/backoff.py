"""How long a gateway stays silent after exchanges that ran out of time. Pure.

A lost exchange is repeated at once at the next hub, since one hub may be dead or frozen. Timeouts
in a row, at different hubs, mean that the hubs are overloaded: repeating would keep them so.
"""

from __future__ import annotations

import random as random_module

FREE_TIMEOUTS = 1
"""Timeouts in a row that are followed by another try without a pause."""

FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 2.5
"""Longest mean pause; with its jitter it is below the time in which settings must be in force
once the hubs answer again, and far below the longest suspicion of one hub."""


class TimeoutBackoff:
    """Doubles a jittered pause with each timeout in a row. Not safe between threads by itself."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._in_a_row = 0
        self._until_s = 0.0

    def timed_out(self, now_s: float) -> None:
        """Note an exchange without an answer in time."""
        self._in_a_row += 1
        extra = self._in_a_row - FREE_TIMEOUTS
        if extra > 0:
            mean_s = min(FIRST_PAUSE_S * 2.0 ** (extra - 1), MAX_PAUSE_S)
            self._until_s = now_s + mean_s * (0.5 + self._random.random())

    def answered(self) -> None:
        """Note an answer: the next timeout is the first one again."""
        self._in_a_row = 0
        self._until_s = 0.0

    def wait_s(self, now_s: float) -> float:
        """Return the rest of the pause, 0 when there is none."""
        return max(0.0, self._until_s - now_s)
