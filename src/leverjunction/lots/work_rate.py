"""How much work a slot of one back end does, compared with the service's mean. Pure.

Load pattern: the back ends of a service differ in speed by a factor of two or more, and each slows
down for some tenths of a second at a time. An item that ran for a second at a slow one has less
behind it than one that ran for a second at a fast one, and a plan that counts slots alone promises
more than slow ones can do.

Work is measured in the time that it takes on average at the service's back ends. Where all of them
work alike, work and time are the same number.
"""

from __future__ import annotations

import math

MIN_FACTOR = 0.1
MAX_FACTOR = 10.0
"""Bounds on a factor: beyond them it is a fault of the measurement."""

VALID_S = 1.5
"""Age from which a factor says nothing any more; as long as a load sample is used."""

LASTING_S = 8.0
"""Time over which the lasting rate is averaged: slowdowns of some tenths of a second, seconds
apart, count by their share.
"""

MOMENT_S = 0.3
"""Least time for which the rate of the moment is expected to stay. Back ends slow down for some
tenths of a second, so a run of seconds is not judged by it; one that has lasted for longer is
expected to last for as long again.
"""

BAND_FACTOR = 1.25
"""Ratio of two neighbouring bands: back ends that differ by less count as alike."""


class WorkRate:
    """Work of one slot of a back end over time.

    Attributes:
        band: How slow it is on average, in steps of ``BAND_FACTOR``: 0 at the mean.
    """

    __slots__ = ("_gain_s", "_lasting", "_rate", "_recorded_s", "_seen_s", "_unusual_s", "band")

    def __init__(self) -> None:
        self._rate = 1.0
        self._recorded_s = float("-inf")
        self._gain_s = 0.0
        self._lasting = 1.0
        self._seen_s = 0.0
        self._unusual_s: float | None = None
        self.band = 0

    def record(self, factor: float, now_s: float) -> None:
        """Record how long work takes from now on.

        Args:
            factor: Expected time of work there as a multiple of the service's mean.
            now_s: Monotonic time in seconds.
        """
        self._gain_s = self.gain_s(now_s)
        rate = 1.0 / min(max(factor, MIN_FACTOR), MAX_FACTOR)
        known_s = min(now_s - self._recorded_s, VALID_S)
        if math.isinf(self._recorded_s):
            self._lasting = rate
        elif known_s > 0:
            self._seen_s = min(LASTING_S, self._seen_s + known_s)
            self._lasting += (self._rate - self._lasting) * known_s / self._seen_s
        self._rate = rate
        self._recorded_s = now_s
        if 1 / BAND_FACTOR <= rate / self._lasting <= BAND_FACTOR:
            self._unusual_s = None
        elif self._unusual_s is None:
            self._unusual_s = now_s
        self.band = -round(math.log(self._lasting, BAND_FACTOR))

    @property
    def is_mean(self) -> bool:
        """Whether it works at the service's mean, or nothing is known."""
        return self._rate == 1.0 == self._lasting

    def rate(self, now_s: float) -> float:
        """Return the work of a slot in one second, 1 while nothing is known."""
        return self._rate if now_s - self._recorded_s <= VALID_S else 1.0

    def expected_s(self, work_s: float, now_s: float) -> float:
        """Return the time that a run takes that starts or goes on here now, in seconds.

        Args:
            work_s: Time that it takes at a back end that works at the service's mean.
            now_s: Monotonic time in seconds.
        """
        rate = self.rate(now_s)
        moment_s = MOMENT_S
        if self._unusual_s is not None:
            moment_s = max(MOMENT_S, now_s - self._unusual_s)
        at_once_s = rate * moment_s
        if rate == self._lasting or work_s <= at_once_s:
            return work_s / rate
        return moment_s + (work_s - at_once_s) / self._lasting

    def gain_s(self, now_s: float) -> float:
        """Return by how much the work of a slot has exceeded the time so far, in seconds.

        It is negative at a slow back end, and 0 at one that always worked at the mean.
        """
        if self._rate == 1.0:
            return self._gain_s
        known_s = min(now_s - self._recorded_s, VALID_S)
        return self._gain_s + (self._rate - 1.0) * known_s


__all__ = ["WorkRate"]
