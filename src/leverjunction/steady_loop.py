"""Event loop that tolerates pauses of its process; asyncio loads slowly, so clocks are apart."""

from __future__ import annotations

import asyncio
import heapq
from typing import Any

from leverjunction.clock import steady_s

LATE_TIMER_S = 0.05
"""Delay of a timer, in seconds, that shows that the process was paused.

It is half of the 0.1 s period of CPU quotas; a busy event loop is late by some milliseconds only.
"""

GRACE_S = 0.005
"""Postponement of due timers per grace turn, in seconds.

It is long enough for data in transit within the machine to arrive.
"""

GRACE_TURNS = 5
"""Maximum loop iterations from a ready socket to the task that awaits the connection."""


class SteadyLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers include suspended time and whose timeouts tolerate its own pauses.

    A process that is starved of CPU, or was frozen, resumes after 0.05 s to some seconds, with the
    replies that arrived meanwhile waiting in its sockets. A standard event loop fires all overdue
    timeouts in the same iteration in which it reads these replies, before the waiting tasks receive
    them: replies are lost, their back ends count as failed, and requests are sent again. This loop
    postpones timers that are late because of a pause by a few iterations, 25 ms at most, until the
    pending input is handled.
    """

    _grace_turns = 0

    def time(self) -> float:
        """Return the time of ``steady_s``."""
        return steady_s()

    def _process_events(self, event_list: list[Any]) -> None:
        """Handle ready sockets; the base class runs the due timers after this method."""
        super()._process_events(event_list)  # type: ignore[misc]
        timers: list[Any] = self._scheduled  # type: ignore[attr-defined]
        if not timers:
            return
        now_s = self.time()
        if self._grace_turns:
            self._grace_turns -= 1
        elif now_s - timers[0].when() > LATE_TIMER_S:
            self._grace_turns = GRACE_TURNS
        if self._grace_turns:
            _postpone_due(timers, now_s)


def _postpone_due(timers: list[Any], now_s: float) -> None:
    """Reschedule the due timers of an event loop's heap to ``GRACE_S`` from now."""
    due = []
    while timers and timers[0].when() <= now_s:
        due.append(heapq.heappop(timers))
    for timer in due:
        timer._when = now_s + GRACE_S
        heapq.heappush(timers, timer)


__all__ = ["SteadyLoop"]
