"""How fast requests end, and the wait that follows from it. Pure."""

from __future__ import annotations

WINDOW_S = 10.0
MAX_WAIT_S = 60.0


class DrainRate:
    """Requests ended a second, over about the last ``WINDOW_S``. The caller serializes access."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_s = 0.0

    def ended(self, now_s: float) -> None:
        """Note that a request ended."""
        self._per_s = self.per_s(now_s) + 1 / WINDOW_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return requests ended a second; 0 when none ended lately."""
        elapsed_s = max(now_s - self._updated_s, 0.0)
        return self._per_s * max(0.0, 1 - elapsed_s / WINDOW_S)

    def wait_s(self, ahead: int, now_s: float) -> float | None:
        """Return the time until ``ahead`` requests have ended, None when the rate is not known."""
        rate = self.per_s(now_s)
        return min(ahead / rate, MAX_WAIT_S) if rate > 0 else None
