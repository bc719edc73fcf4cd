"""Which of the back ends with a free slot an item takes, by the time that it has left. Pure.

Load pattern: back ends of one service differ in speed by a factor of two or more, and online
requests come in bursts that ask for most of the slots. An online request has tenths of a second,
an item seconds: a fast slot is worth more to the request, and a slow one costs most items nothing.

An item goes to the slowest back end where it is done with time to spare, one that is short of time
to the fastest, and one that is late wherever it runs to the slowest. Where all back ends work alike
nothing is chosen here, and the order is that of the other reasons.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from leverjunction.lots.work_rate import WorkRate

SPARE_FACTOR = 2.0
"""Time left, as a multiple of the time needed, from which an item may take a slow slot. Batch is
parked for as long as a burst of online requests lasts, so an item needs about as much time again.
"""


class Fit(IntEnum):
    """How an item fits a back end; the best fit is the largest."""

    LATE = 0
    IN_TIME = 1
    WITH_SPARE = 2


class RunNeed(NamedTuple):
    """What an item needs.

    Attributes:
        work_s: Time that it still takes at a back end that works at the service's mean.
        due_in_s: Time until it is due.
    """

    work_s: float
    due_in_s: float


class RatePreference(NamedTuple):
    """Rank of a back end for an item; the largest is taken.

    Attributes:
        fit: How the item fits it.
        band: Preference among back ends of the same fit.
    """

    fit: Fit
    band: int


def rate_preference(need: RunNeed, work: WorkRate, now_s: float) -> RatePreference:
    """Rank a back end for an item.

    Args:
        need: What the item needs.
        work: How fast the back end works.
        now_s: Monotonic time in seconds.
    """
    needed_s = work.expected_s(need.work_s, now_s)
    band = work.band
    if needed_s * SPARE_FACTOR <= need.due_in_s:
        return RatePreference(Fit.WITH_SPARE, band)
    if needed_s <= need.due_in_s:
        return RatePreference(Fit.IN_TIME, -band)
    return RatePreference(Fit.LATE, band)


__all__ = ["SPARE_FACTOR", "Fit", "RatePreference", "RunNeed", "rate_preference"]
