"""Which items run first, and which yield first. Pure.

Items that can still meet their due time come first, the earliest due time leading; then those that
could, but not beside the others (``due_plan``); then those that are late, or would be. With more
work than time, running the earliest due first would make all of them late. The time already spent
on an item counts: a run that was parked shortly before its end is not late.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

INITIAL_RUN_S = 4.0
"""Assumed time of an item's run before any was measured."""
INITIAL_EVENT_S = 0.01
"""Assumed time of one event of the output before any was measured."""
AVERAGE_WEIGHT = 0.1
"""Weight of a finished item's time in the moving average."""

MIN_REMAINING_SHARE = 0.15
"""Share of the average time that an item is expected to take at least, even after it has exceeded
the average.
"""


class Prospect(IntEnum):
    """Whether an item is expected to be done when it is due; the best prospect runs first."""

    IN_TIME = 0
    CROWDED_OUT = 1
    """It could be in time on its own, but not beside the others."""

    LATE = 2


class Urgency(NamedTuple):
    """Rank of an item; the item with the smallest rank runs first."""

    prospect: Prospect
    rank_s: float

    @property
    def late(self) -> bool:
        """Whether the item is late, whatever else runs."""
        return self.prospect is Prospect.LATE


class RunTimes:
    """Average time that items take at back ends, without the time spent waiting or parked.

    Times are work: those that the same runs would have taken at the service's mean.

    Attributes:
        seconds_per_event: Average work of one event of their output.
    """

    __slots__ = ("_average_s", "_has_output", "seconds_per_event")

    def __init__(self) -> None:
        self._average_s = INITIAL_RUN_S
        self._has_output = False
        self.seconds_per_event = INITIAL_EVENT_S

    def record(self, worked_s: float) -> None:
        """Add the time of an item that has run to its end."""
        self._average_s += (worked_s - self._average_s) * AVERAGE_WEIGHT

    def record_output(self, events: int, took_s: float) -> None:
        """Add the events that a run has written, and its work."""
        if events <= 0:
            return
        weight = AVERAGE_WEIGHT if self._has_output else 1.0
        self._has_output = True
        self.seconds_per_event += (took_s / events - self.seconds_per_event) * weight

    def remaining_s(self, worked_s: float) -> float:
        """Return the expected remaining time of an item in seconds.

        Args:
            worked_s: Time that back ends have already spent on it.
        """
        return max(self._average_s - worked_s, self._average_s * MIN_REMAINING_SHARE)

    def done_share(self, worked_s: float) -> float:
        """Return which share of an average item's work has been done.

        Args:
            worked_s: Time that back ends have already spent on it.
        """
        return worked_s / self._average_s

    def urgency(self, due_in_s: float, worked_s: float, crowded_out: bool = False) -> Urgency:
        """Return an item's rank.

        Args:
            due_in_s: Time until it is due, negative if that has passed.
            worked_s: Time that back ends have already spent on it.
            crowded_out: Whether other items leave no time for it before it is due.
        """
        remaining_s = self.remaining_s(worked_s)
        if due_in_s < remaining_s:
            return Urgency(Prospect.LATE, remaining_s)
        if crowded_out:
            return Urgency(Prospect.CROWDED_OUT, remaining_s)
        return Urgency(Prospect.IN_TIME, due_in_s)
