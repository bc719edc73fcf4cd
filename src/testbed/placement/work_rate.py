"""How fast an emulated back end works: a lasting speed, and slow stretches. Seeded."""

from __future__ import annotations

from random import Random

import msgspec


class Unevenness(msgspec.Struct, frozen=True, kw_only=True):
    """How back ends of one service differ.

    Attributes:
        speeds: Their speeds by turns.
        slow_share: Share of the time in which each is slow.
        slow_x: Time that work takes then, as a multiple of the usual.
        stretch_s: How long a stretch lasts, slow or not.
        tells: Whether loads tell the slowdown.
    """

    speeds: tuple[float, ...] = (1.0,)
    slow_share: float = 0.0
    slow_x: float = 1.0
    stretch_s: float = 0.6
    tells: bool = True

    @property
    def power(self) -> float:
        """Work that a slot does in a second, on average."""
        mean_speed = sum(self.speeds) / len(self.speeds)
        return mean_speed * (1 - self.slow_share + self.slow_share / self.slow_x)


EVEN = Unevenness()


class WorkRate:
    """Rate of one back end over time.

    Args:
        unevenness: How back ends differ.
        place: Place of this one among them.
        random: Draws its slow stretches.
    """

    def __init__(self, unevenness: Unevenness, place: int, random: Random) -> None:
        self._uneven = unevenness
        self._speed = unevenness.speeds[place % len(unevenness.speeds)]
        self._random = random
        self._phase_s = random.random() * unevenness.stretch_s if unevenness.slow_share else 0.0
        self._slow: list[bool] = []

    @property
    def told(self) -> bool:
        """Whether its load tells the slowdown."""
        return self._uneven.tells and self._uneven.slow_share > 0

    def slowdown(self, at_s: float) -> float:
        """Return how long work takes at a time, as a multiple of its usual time."""
        if not self._uneven.slow_share:
            return 1.0
        stretch = int((max(0.0, at_s) + self._phase_s) / self._uneven.stretch_s)
        while len(self._slow) <= stretch:
            self._slow.append(self._random.random() < self._uneven.slow_share)
        return self._uneven.slow_x if self._slow[stretch] else 1.0

    def time_s(self, from_s: float, work_s: float) -> float:
        """Return how long work takes that a back end of speed 1 does in ``work_s`` seconds."""
        at_s = from_s
        while True:
            end_s = self._stretch_end_s(at_s)
            rate = self._speed / self.slowdown(at_s)
            if at_s + work_s / rate <= end_s:
                return at_s + work_s / rate - from_s
            work_s -= (end_s - at_s) * rate
            at_s = end_s

    def work_s(self, from_s: float, until_s: float) -> float:
        """Return the work that is done in a time, in seconds of a back end of speed 1."""
        at_s, work_s = from_s, 0.0
        while at_s < until_s:
            end_s = min(until_s, self._stretch_end_s(at_s))
            work_s += (end_s - at_s) * self._speed / self.slowdown(at_s)
            at_s = end_s
        return work_s

    def _stretch_end_s(self, at_s: float) -> float:
        if not self._uneven.slow_share:
            return float("inf")
        length_s = self._uneven.stretch_s
        # Never an empty stretch, whatever the rounding.
        return max(
            at_s + 1e-9, (int((at_s + self._phase_s) / length_s) + 1) * length_s - self._phase_s
        )
