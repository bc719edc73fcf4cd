"""Clocks, which are passed as parameters so that tests can use simulated time."""

from __future__ import annotations

import time
from typing import Protocol

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
