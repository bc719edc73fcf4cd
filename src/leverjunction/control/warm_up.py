"""When a hub knows enough to give out its view. Pure.

A gateway replaces its view by a full one, so a hub that has just started must not hand out an
empty one: the gateway then stays with, or goes to, another hub. The same holds for a process that
was frozen: its gateways have left and others watch its runners by then.
"""

from __future__ import annotations

WARM_UP_S = 3.0
"""A hub that started less than this ago, and has not heard all others, gives no view yet."""

STANDSTILL_S = 2.0
"""A process in which nothing happened for this long was frozen: its tasks run twice a second."""


class WarmUp:
    """Follows one process from its start, and from each standstill. Not safe between threads.

    Attributes:
        standstills: How often the process was found to have stood still.
        runners_read: Whether the runners were read since the start or the last standstill.
    """

    def __init__(self, now_s: float) -> None:
        self.standstills = 0
        self.runners_read = False
        self._began_s = now_s
        self._alive_s = now_s
        self._warm = False

    def alive(self, now_s: float) -> float:
        """Note that something happens in this process; return how long it stood still, or 0."""
        stood_s = now_s - self._alive_s
        self._alive_s = now_s
        if stood_s <= STANDSTILL_S:
            return 0.0
        self.standstills += 1
        self.runners_read = False
        self._began_s = now_s
        self._warm = False
        return stood_s

    def is_warm(self, now_s: float, heard_all: bool) -> bool:
        """Return whether the view may be given out; it stays so until a standstill.

        Args:
            now_s: Monotonic time in seconds.
            heard_all: Whether all other hubs were heard.
        """
        if not self._warm:
            complete = self.runners_read and heard_all
            self._warm = complete or now_s - self._began_s > WARM_UP_S
        return self._warm
