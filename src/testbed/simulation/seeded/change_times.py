"""How long changes take to be in force everywhere, from the record of one run. Pure."""

from __future__ import annotations

from bisect import bisect_left

import msgspec

from testbed.simulation.seeded.history import SeededHistory


class ChangeTimes(msgspec.Struct, frozen=True):
    """Times from an acknowledgement to its being in force at all gateways, in seconds.

    Attributes:
        changes: Changes that count.
        missing: Of these, changes that some gateway never had.
        p50_s: Half of them were faster.
        p99_s: 99 of 100 were faster.
        most_s: The slowest.
    """

    changes: int
    missing: int
    p50_s: float
    p99_s: float
    most_s: float


def change_times(history: SeededHistory, begin_s: float, end_s: float) -> ChangeTimes:
    """Return the times of the changes that were acknowledged in a stretch."""
    held: dict[str, tuple[list[int], list[float]]] = {
        gateway: ([], []) for gateway in history.gateway_disturbed
    }
    for entry in history.in_force:
        versions, moments_s = held[entry.gateway]
        versions.append(entry.version)
        moments_s.append(entry.at_s)
    took_s, missing = [], 0
    for one in history.acknowledged:
        if not begin_s <= one.at_s < end_s:
            continue
        came_s = [_came_s(one.version, *entries) for entries in held.values()]
        if None in came_s:
            missing += 1
        else:
            took_s.append(max(0.0, *(moment - one.at_s for moment in came_s if moment is not None)))
    took_s.sort()
    return ChangeTimes(
        changes=len(took_s) + missing,
        missing=missing,
        p50_s=_quantile(took_s, 0.5),
        p99_s=_quantile(took_s, 0.99),
        most_s=_quantile(took_s, 1.0),
    )


def _came_s(version: int, versions: list[int], moments_s: list[float]) -> float | None:
    """Return when a gateway first had a version or a later one; None if it never did."""
    place = bisect_left(versions, version)
    return moments_s[place] if place < len(versions) else None


def _quantile(ranked_s: list[float], share: float) -> float:
    if not ranked_s:
        return 0.0
    return ranked_s[min(len(ranked_s) - 1, int(len(ranked_s) * share))]


__all__ = ["ChangeTimes", "change_times"]
