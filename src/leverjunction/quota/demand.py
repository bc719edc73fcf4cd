"""Average rate of requests, with exponential decay."""

from __future__ import annotations

import math

DEMAND_MEMORY_S = 5.0
"""Time constant of the average: long enough for a gateway that sees one request per second."""


class DemandAverage:
    """Requests per second over about the last ``DEMAND_MEMORY_S``."""

    __slots__ = ("_per_s", "_updated_s")

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float) -> None:
        """Count one request at a monotonic time in seconds."""
        self._per_s = self.per_s(now_s) + 1 / DEMAND_MEMORY_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the current average."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._per_s * math.exp(-elapsed_s / DEMAND_MEMORY_S)


__all__ = ["DEMAND_MEMORY_S", "DemandAverage"]
