"""When refused callers may return.

Load pattern: after an outage, or while a tenant is over its limit, many callers are refused within
the same moment and for the same reason. If all of them were told the same time, they would return
together and be refused again.

Performs no I/O: the random generator is passed in.
"""

from __future__ import annotations

from random import Random

SPREAD = 0.5
"""Longest time added to the time after which a caller may return, as a part of it. Callers don't
wait for longer than a third of their remaining time, so a wider spread would lose some of them.
"""


def spread_return_s(retry_after_s: float, random: Random) -> float:
    """Return the seconds after which one of many refused callers may return.

    Never earlier than ``retry_after_s``: before that, it would be refused again.
    """
    return retry_after_s * (1 + SPREAD * random.random())


__all__ = ["spread_return_s"]
