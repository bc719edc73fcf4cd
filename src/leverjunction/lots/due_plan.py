"""Which open items can be done when they are due, given the slots that batch work gets. Pure.

Running the earliest due first makes all items late once there are more than the slots can do in
time: each one waits until it is nearly too late, and then takes slots from the next. Moore and
Hodgson's rule keeps as many in time as possible: go through the items in the order of their due
times, and whenever those so far need more time than there is, give up the one that needs most.

See J. M. Moore, "An n job, one machine sequencing algorithm for minimizing the number of late
jobs", Management Science 15 (1968). Here all slots together are the machine,
and times are those at a back end that works at the service's mean.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.urgency import RunTimes

T = TypeVar("T")

MAX_PLANNED = 4096
"""Most items in a plan, the earliest due: later ones are planned when their time comes, and the
event loop is not held up by a backlog of a hundred thousand.
"""


class Claim(Generic[T]):
    """What one item needs.

    Attributes:
        item: The item.
        due_in_s: Time until it is due.
        remaining_s: Time for which it still needs a slot.
    """

    __slots__ = ("due_in_s", "item", "remaining_s")

    def __init__(self, item: T, due_in_s: float, remaining_s: float) -> None:
        self.item = item
        self.due_in_s = due_in_s
        self.remaining_s = remaining_s


def crowded_out(claims: Iterable[Claim[T]], slots: float) -> list[T]:
    """Return the items for which the others leave no time before they are due.

    Of items that need the same, the earliest due is given up: the others have more time in reserve.

    Args:
        claims: What the items need that could each be in time on its own.
        slots: Slots that these items have together, on average, each counted by its work.
    """
    needed_s = 0.0
    kept: list[tuple[float, float, int, Claim[T]]] = []
    out: list[T] = []
    for number, claim in enumerate(sorted(claims, key=lambda claim: claim.due_in_s)):
        heapq.heappush(kept, (-claim.remaining_s, claim.due_in_s, number, claim))
        needed_s += claim.remaining_s
        while needed_s > slots * claim.due_in_s and kept:
            dropped = heapq.heappop(kept)[-1]
            needed_s -= dropped.remaining_s
            out.append(dropped.item)
    return out


def mark_crowded_out(
    runs: Iterable[ItemRun],
    due_in_s: Callable[[ItemRun], float],
    times: RunTimes,
    slots: float,
) -> None:
    """Set which items are crowded out, of those that run at the same back ends.

    Args:
        runs: All open items that run there, waiting or running.
        due_in_s: Returns the time until an item is due.
        times: Knows how long items take.
        slots: Slots that these items have together, on average, each counted by its work.
    """
    claims: list[Claim[ItemRun]] = []
    for run in runs:
        run.is_crowded_out = False
        claim = Claim(run, due_in_s(run), times.remaining_s(run.spent_s(times.seconds_per_event)))
        if claim.due_in_s >= claim.remaining_s:
            claims.append(claim)
    if len(claims) > MAX_PLANNED:
        claims = heapq.nsmallest(MAX_PLANNED, claims, key=lambda claim: claim.due_in_s)
    for run in crowded_out(claims, slots):
        run.is_crowded_out = True


__all__ = ["Claim", "crowded_out", "mark_crowded_out"]
