"""How long to wait for the head of an answer before another back end is asked too. Pure.

Only for requests that may run again. A head that does not come is mostly lost: its back end died,
hangs, or lost the answer. Waiting for it alone makes the answer late for certain; asking too early
runs requests twice for nothing. So the patience follows the heads that came lately, a budget bounds
how many requests are asked for again, and a head that was only late is still taken.
"""

from __future__ import annotations

from collections import deque

KEPT_HEADS = 64
FEW_HEADS = 16
FEW_UNQUEUED = 4
"""Heads from which on the least one is taken for one that met no queue. A gateway among hundreds
has a request a second: with 16 of them it knew nothing for most of a minute.
"""

QUANTILE = 0.9
UNQUEUED_QUANTILE = 0.1
"""Of the latest heads: those that met no queue, also while most do."""

FACTOR = 2.5
TARGET_SHARE = 0.5
"""Of the route's target latency: never less patient than that."""

UNKNOWN_TARGETS = 3.0
UNKNOWN_MIN_S = 0.4
"""Patience while few heads were seen: so many targets, and at least this."""

HEDGE_RATIO = 0.05
"""Requests that may be asked for again, as a share of all: under overload heads are late
everywhere, and asking twice would only add load.
"""


class HeadLatencies:
    """Times from send to head of one route's latest answers."""

    __slots__ = ("_heads_s",)

    def __init__(self) -> None:
        self._heads_s: deque[float] = deque(maxlen=KEPT_HEADS)

    def record(self, head_s: float) -> None:
        """Take one answer's time."""
        self._heads_s.append(head_s)

    def unqueued_s(self) -> float | None:
        """Return the usual time to a head where nothing waits; None while few were seen."""
        if len(self._heads_s) < FEW_UNQUEUED:
            return None
        return sorted(self._heads_s)[int(len(self._heads_s) * UNQUEUED_QUANTILE)]

    def patience_s(self, target_ms: float) -> float:
        """Return how long to wait for the next head."""
        if len(self._heads_s) < FEW_HEADS:
            return max(UNKNOWN_MIN_S, target_ms * UNKNOWN_TARGETS / 1000)
        ranked = sorted(self._heads_s)
        usual_s = ranked[int(len(ranked) * QUANTILE)]
        return max(usual_s * FACTOR, target_ms * TARGET_SHARE / 1000)
