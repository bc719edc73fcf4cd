"""Which items run first, and which give way first. Pure.

Items that can still be in time come first, the first due in front. With more work than time, the
first due first would make nearly all of them late: each is begun in time and finished too late. So
some are let go, those that still take longest, and the others have their time. Items that are late
already, or let go, come last, the shortest in front. What an item has been worked on counts: a run
that was parked just before its end is not late.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

TYPICAL_RUN_S = 4.0
RUN_WEIGHT = 0.1
"""Of an item's time in the running average, which begins with the typical one."""

LEAST_LEFT_SHARE = 0.15
"""Of the usual time of an item: how long one that took its time already takes at least."""


class Urgency(NamedTuple):
    """Rank of an item; the least one runs first."""

    late: bool
    rank_s: float


class Task(NamedTuple):
    """What is left of an item.

    Attributes:
        due_in_s: Time until it is due.
        left_s: Time for which a slot is still needed.
        number: Names it among the others.
    """

    due_in_s: float
    left_s: float
    number: int


class RunTimes:
    """How long items take at back ends; what they waited or were parked is not counted."""

    __slots__ = ("_usual_s",)

    def __init__(self) -> None:
        self._usual_s = TYPICAL_RUN_S

    def ended(self, worked_s: float) -> None:
        """Take the time of an item that was run to its end."""
        self._usual_s += (worked_s - self._usual_s) * RUN_WEIGHT

    def left_s(self, worked_s: float) -> float:
        """Return how long an item probably still takes that was worked on for a while."""
        return max(self._usual_s - worked_s, self._usual_s * LEAST_LEFT_SHARE)

    def urgency(self, due_in_s: float, worked_s: float, let_go: bool = False) -> Urgency:
        """Return an item's rank; what is let go counts as late."""
        left_s = self.left_s(worked_s)
        late = let_go or due_in_s < left_s
        return Urgency(late, left_s if late else due_in_s)


def let_go(tasks: Iterable[Task], slots: float) -> frozenset[int]:
    """Return the numbers of the tasks that cannot be in time beside the others.

    Of tasks that could each be in time, the fewest are let go (Moore and Hodgson's rule, with the
    slots taken for one fast machine): as soon as the next one due would be late, the one that takes
    longest of those before it goes.

    Args:
        tasks: What has to be run.
        slots: Slots that batch work has on average.
    """
    kept: list[tuple[float, int]] = []
    gone: set[int] = set()
    work_s = 0.0
    for task in sorted(tasks):
        heapq.heappush(kept, (-task.left_s, task.number))
        work_s += task.left_s
        while kept and work_s > task.due_in_s * slots:
            longest_s, number = heapq.heappop(kept)
            work_s += longest_s
            gone.add(number)
    return frozenset(gone)
