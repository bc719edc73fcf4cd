"""Clocks that are passed in, so that simulated time can replace the machine's."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

_STEADY_CLOCK: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Counts the time for which the machine was suspended, where the system has such a clock. Judged by
one that does not, a leader that wakes after seconds holds its lease for valid, and a gateway its
table for fresh.
"""


def steady_s() -> float:
    """Return seconds that never go back and stand still for nothing; all waits are judged by it.

    ``threading`` and sockets wait by the other clock: a wait that a suspension interrupts ends
    later by its length, and what it waited for is then judged by this one.
    """
    return time.clock_gettime(_STEADY_CLOCK)


class SteadyLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers and deadlines count the time of a suspension."""

    def time(self) -> float:
        """Return steady seconds."""
        return steady_s()


LOADED_S = steady_s()
"""When this process began to load its code: programs import this module before all others."""


class Clock(Protocol):
    """Source of time for a process or a simulated node."""

    def monotonic_s(self) -> float:
        """Return monotonic seconds; used for leases, timeouts and rates."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; used for deadlines and records."""
        ...


class SystemClock:
    """Clock of this machine."""

    def monotonic_s(self) -> float:
        """Return the machine's steady clock, in seconds."""
        return steady_s()

    def wall_ms(self) -> int:
        """Return the machine's wall clock, in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
