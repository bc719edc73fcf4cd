"""Which items run first, and which give way first. Pure.

Items that can still be in time come first, the first due in front. Those that are late already,
or would be, come last: with more work than time, the first due first would make all of them late.
What an item has been worked on counts: a run that was parked just before its end is not late.
"""

from __future__ import annotations

from typing import NamedTuple

INITIAL_RUN_S = 4.0
AVERAGE_WEIGHT = 0.1
"""Of an item's time in the running average, which begins with the typical one."""

MIN_REMAINING_SHARE = 0.15
"""Of the usual time of an item: how long one that took its time already takes at least."""


class Urgency(NamedTuple):
    """Rank of an item; the least one runs first."""

    late: bool
    rank_s: float


class RunTimes:
    """How long items take at back ends; what they waited or were parked is not counted."""

    __slots__ = ("_average_s",)

    def __init__(self) -> None:
        self._average_s = INITIAL_RUN_S

    def record(self, worked_s: float) -> None:
        """Take the time of an item that was run to its end."""
        self._average_s += (worked_s - self._average_s) * AVERAGE_WEIGHT

    def remaining_s(self, worked_s: float) -> float:
        """Return how long an item probably still takes that was worked on for a while."""
        return max(self._average_s - worked_s, self._average_s * MIN_REMAINING_SHARE)

    def urgency(self, due_in_s: float, worked_s: float) -> Urgency:
        """Return an item's rank."""
        remaining_s = self.remaining_s(worked_s)
        late = due_in_s < remaining_s
        return Urgency(late, remaining_s if late else due_in_s)
