"""Spreads requests over back ends whose known loads are out of date.

Load pattern: hundreds of gateways choose among the same back ends, based on loads that are some
tenths of a second old. If every gateway takes the least loaded back end, all requests of that time
queue there while slots are free elsewhere. A gateway can't see what the others have sent since,
but it can estimate how much: the requests that arrive within the age of the loads. It computes
where these would go if they filled the cheapest back ends first (water filling), and draws the
target of its own request from that distribution ("load interpretation", Dahlin 2000). With fresh
loads or few requests this is the cheapest back end again.

Performs no I/O: the random generator is passed in.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random


class Candidate:
    """Cost and free slots of one back end.

    Attributes:
        cost_ms: Cost of one more request, in milliseconds.
        free: Estimated number of free slots; negative if requests queue.
        factor: Time of work there as a multiple of the mean; the costs rise by it.
    """

    __slots__ = ("cost_ms", "factor", "free")

    def __init__(self, cost_ms: float, free: float, factor: float = 1.0) -> None:
        self.cost_ms = cost_ms
        self.free = free
        self.factor = factor


class CostSteps:
    """Increase in the cost of a back end per additional request.

    Attributes:
        busy_ms: Increase in milliseconds while there are free slots.
        queued_ms: Increase in milliseconds once all slots are taken.
    """

    __slots__ = ("busy_ms", "queued_ms")

    def __init__(self, busy_ms: float, queued_ms: float) -> None:
        self.busy_ms = busy_ms
        self.queued_ms = queued_ms


def expected_assignments(
    candidates: Sequence[Candidate], unreported: float, cost_steps: CostSteps
) -> list[float]:
    """Return how many of the unreported requests and this one each candidate would get.

    Args:
        candidates: Back ends to choose from; at least one.
        unreported: Estimated number of requests sent by others since the loads were measured.
        cost_steps: Increase of the costs with each request.
    """
    level_ms = _water_level_ms(candidates, unreported + 1.0, cost_steps)
    return [_fill(candidate, level_ms, cost_steps) for candidate in candidates]


def _water_level_ms(
    candidates: Sequence[Candidate], remaining: float, cost_steps: CostSteps
) -> float:
    """Return the cost level that the cheapest candidates reach with the remaining requests."""
    breakpoints: list[tuple[float, float]] = []
    for candidate in candidates:
        busy_ms = cost_steps.busy_ms * candidate.factor
        queued_ms = cost_steps.queued_ms * candidate.factor
        slots_full_ms = candidate.cost_ms + max(0.0, candidate.free) * busy_ms
        breakpoints.append((candidate.cost_ms, 1 / busy_ms))
        breakpoints.append((slots_full_ms, 1 / queued_ms - 1 / busy_ms))
    breakpoints.sort()
    level_ms = breakpoints[0][0]
    per_ms = 0.0
    for breakpoint_ms, change in breakpoints:
        taken = (breakpoint_ms - level_ms) * per_ms
        if taken >= remaining:
            break
        remaining -= taken
        level_ms = breakpoint_ms
        per_ms += change
    return level_ms + remaining / per_ms


def weighted_choice(weights: Sequence[float], random: Random) -> int:
    """Return a random index with probability proportional to its weight; the sum must be > 0."""
    left = random.random() * sum(weights)
    for index, weight in enumerate(weights):
        left -= weight
        if left < 0:
            return index
    return max(range(len(weights)), key=lambda index: weights[index])


def _fill(candidate: Candidate, level_ms: float, cost_steps: CostSteps) -> float:
    """Return how many requests raise a candidate's cost to the given level."""
    over_ms = level_ms - candidate.cost_ms
    if over_ms <= 0:
        return 0.0
    free_slots = max(0.0, candidate.free)
    busy_ms = cost_steps.busy_ms * candidate.factor
    slots_ms = free_slots * busy_ms
    if over_ms <= slots_ms:
        return over_ms / busy_ms
    return free_slots + (over_ms - slots_ms) / (cost_steps.queued_ms * candidate.factor)
