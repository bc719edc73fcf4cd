"""How soon a report may follow the one before: a token bucket. Performs no I/O."""

from __future__ import annotations


class ReportPace:
    """Lets a few reports follow each other quickly, and bounds how many are sent over time.

    Args:
        shortest_s: Shortest time between two reports, in seconds.
        mean_s: Mean time between reports that go on for long, in seconds.
        burst: Reports that may be sent at the shortest time after a pause.
    """

    __slots__ = ("_burst", "_left", "_mean_s", "_sent_s", "_shortest_s")

    def __init__(self, shortest_s: float, mean_s: float, burst: int) -> None:
        self._shortest_s = shortest_s
        self._mean_s = max(mean_s, shortest_s)
        self._burst = float(burst)
        self._left = self._burst
        self._sent_s = float("-inf")

    def sent(self, now_s: float) -> None:
        """Record that a report is sent."""
        self._left = self._left_at(now_s) - 1.0
        self._sent_s = now_s

    def due_s(self) -> float:
        """Return when the next report may be sent, in the same seconds."""
        until_left_s = max(0.0, 1.0 - self._left) * self._mean_s
        return self._sent_s + max(self._shortest_s, until_left_s)

    def _left_at(self, now_s: float) -> float:
        return min(self._burst, self._left + (now_s - self._sent_s) / self._mean_s)


__all__ = ["ReportPace"]
