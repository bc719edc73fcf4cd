"""Clocks, which are passed as parameters so that tests can use simulated time."""

from __future__ import annotations

import asyncio
import heapq
import time
from typing import Any, Protocol

_STEADY_CLOCK: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The monotonic clock that includes suspended time, on systems that provide one.

With a clock that excludes it, a leader that resumes after seconds would consider its lease valid,
and a gateway its routing table up to date.
"""


def steady_s() -> float:
    """Return monotonic seconds, including suspended time; all deadlines are checked against it.

    ``threading`` and sockets wait by a clock that excludes suspended time: such a wait is prolonged
    by the length of a suspension, after which the deadline is checked against this clock.
    """
    return time.clock_gettime(_STEADY_CLOCK)


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


LOADED_S = steady_s()
"""Time at which this process began to load its code; programs import this module first."""


class Clock(Protocol):
    """Source of time for a process or a simulated node."""

    def monotonic_s(self) -> float:
        """Return monotonic seconds, for leases, timeouts and rates."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for deadlines and records."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return the time of ``steady_s``, in seconds."""
        return steady_s()

    def wall_ms(self) -> int:
        """Return the system time, in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
