"""Rate at which requests end, and the estimated waiting time in a queue. Pure."""

from __future__ import annotations

WINDOW_S = 10.0
MAX_WAIT_S = 60.0


class DrainRate:
    """Moving estimate of the requests that end per second, over about the last ``WINDOW_S``.

    Not thread-safe: the caller serializes access.
    """

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_s = 0.0

    def record_end(self, now_s: float) -> None:
        """Record the end of a request at monotonic time ``now_s``."""
        self._per_s = self.per_s(now_s) + 1 / WINDOW_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the number of requests that end per second; 0 if none ended within the window."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        return self._per_s * max(0.0, 1 - elapsed_s / WINDOW_S)

    def wait_s(self, ahead: int, now_s: float) -> float | None:
        """Return the expected time until ``ahead`` requests have ended, at most ``MAX_WAIT_S``.

        Returns:
            The time in seconds; None if no request ended within the window.
        """
        rate = self.per_s(now_s)
        return min(ahead / rate, MAX_WAIT_S) if rate > 0 else None
