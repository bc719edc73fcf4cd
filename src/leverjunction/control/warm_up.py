"""Decides whether a hub knows enough to serve its view. Pure: the time is passed in.

A gateway replaces its whole view by a full view, so a hub that has just started must not serve an
empty one. While it refuses, the gateway uses another hub. The same applies after the process was
paused (a standstill): by then its gateways use other hubs, and other hubs watch its runners.
"""

from __future__ import annotations

WARM_UP_S = 3.0
"""Longest warm-up: after it, the view is served even if other hubs have not been heard."""

STANDSTILL_S = 2.0
"""A process without activity for this long was paused: its tasks run twice a second."""


class WarmUp:
    """Tracks the warm-up of a process after its start and after each pause. Not thread-safe.

    Attributes:
        standstills: Number of pauses that were detected.
        runners_read: Whether the runners were read since the start or the last pause.
    """

    def __init__(self, now_s: float) -> None:
        self.standstills = 0
        self.runners_read = False
        self._started_s = now_s
        self._last_activity_s = now_s
        self._is_warm = False

    def record_activity(self, now_s: float) -> float:
        """Record activity of this process; return the length of a pause before it, or 0.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Seconds since the last activity if that was a pause, 0 otherwise.
        """
        paused_s = now_s - self._last_activity_s
        self._last_activity_s = now_s
        if paused_s <= STANDSTILL_S:
            return 0.0
        self.standstills += 1
        self.runners_read = False
        self._started_s = now_s
        self._is_warm = False
        return paused_s

    def is_warm(self, now_s: float, heard_all: bool) -> bool:
        """Return whether the view may be served; once true, it stays true until the next pause.

        Args:
            now_s: Monotonic time in seconds.
            heard_all: Whether all other hubs have been heard.
        """
        if not self._is_warm:
            complete = self.runners_read and heard_all
            self._is_warm = complete or now_s - self._started_s > WARM_UP_S
        return self._is_warm
