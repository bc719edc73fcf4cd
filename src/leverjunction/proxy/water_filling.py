"""Spreads requests over back ends whose loads are known late. Pure.

Load pattern: hundreds of gateways choose among the same back ends, each by loads that are some
tenths of a second old. If each takes the least loaded one, all that come in that time meet there
and queue, while slots are free elsewhere. What others have sent meanwhile cannot be seen, but how
much it is can be: the requests that come in the age of the loads. Each gateway works out where
these would go if they filled the cheapest places first, and draws its own request from that
distribution ("load interpretation", Dahlin 2000). With fresh loads, or few requests, it is the
cheapest back end again.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random


class Place:
    """One back end, as far as its cost goes.

    Attributes:
        cost_ms: Cost of one more request there now.
        free: Slots that seem to be free.
    """

    __slots__ = ("cost_ms", "free")

    def __init__(self, cost_ms: float, free: float) -> None:
        self.cost_ms = cost_ms
        self.free = free


class Steps:
    """How the cost of a place rises with each request.

    Attributes:
        busy_ms: While there are free slots.
        queued_ms: Beyond them.
    """

    __slots__ = ("busy_ms", "queued_ms")

    def __init__(self, busy_ms: float, queued_ms: float) -> None:
        self.busy_ms = busy_ms
        self.queued_ms = queued_ms


def shares(places: Sequence[Place], unseen: float, steps: Steps) -> list[float]:
    """Return how many of the unseen requests, and this one, each place would get.

    Args:
        places: At least one.
        unseen: Requests that others have probably sent since the loads were true.
        steps: How costs rise.
    """
    level_ms = _level_ms(places, unseen + 1.0, steps)
    return [_fill(place, level_ms, steps) for place in places]


def _level_ms(places: Sequence[Place], wanted: float, steps: Steps) -> float:
    """Return the cost to which so many requests raise the cheapest places."""
    bends: list[tuple[float, float]] = []
    for place in places:
        full_ms = place.cost_ms + max(0.0, place.free) * steps.busy_ms
        bends.append((place.cost_ms, 1 / steps.busy_ms))
        bends.append((full_ms, 1 / steps.queued_ms - 1 / steps.busy_ms))
    bends.sort()
    level_ms = bends[0][0]
    per_ms = 0.0
    for bend_ms, change in bends:
        taken = (bend_ms - level_ms) * per_ms
        if taken >= wanted:
            break
        wanted -= taken
        level_ms = bend_ms
        per_ms += change
    return level_ms + wanted / per_ms


def draw(weights: Sequence[float], random: Random) -> int:
    """Return a place, drawn in proportion to the weights; their sum is above zero."""
    left = random.random() * sum(weights)
    for index, weight in enumerate(weights):
        left -= weight
        if left < 0:
            return index
    return max(range(len(weights)), key=lambda index: weights[index])


def _fill(place: Place, level_ms: float, steps: Steps) -> float:
    """Return how many requests raise a place's cost to a level."""
    over_ms = level_ms - place.cost_ms
    if over_ms <= 0:
        return 0.0
    in_slots = max(0.0, place.free)
    slots_ms = in_slots * steps.busy_ms
    if over_ms <= slots_ms:
        return over_ms / steps.busy_ms
    return in_slots + (over_ms - slots_ms) / steps.queued_ms
