"""Usual time of one kind of work at all back ends of a service. Pure."""

from __future__ import annotations

import math

AVERAGE_WEIGHT = 0.1
"""Weight of the newest time in the moving average."""

MAX_STEP = 0.4
"""Largest difference of a time from the average that counts, as a logarithm: some times contain a
slowdown that nobody reported.
"""


def moved_average(average_s: float | None, time_s: float) -> float:
    """Return the geometric moving average with one more time.

    Args:
        average_s: The average so far, in seconds; None without any.
        time_s: The newest time, in seconds.
    """
    if average_s is None or average_s <= 0 or time_s <= 0:
        return time_s
    step = math.log(time_s / average_s)
    return average_s * math.exp(max(-MAX_STEP, min(MAX_STEP, step)) * AVERAGE_WEIGHT)


__all__ = ["moved_average"]
