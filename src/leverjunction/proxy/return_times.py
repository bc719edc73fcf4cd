"""When refused callers may return.

Load pattern: after an outage, or while a tenant is over its limit, many callers are refused within
the same moment and for the same reason. If all of them were told the same time, they would return
together and be refused again.

Performs no I/O: the random generator is passed in.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable
from random import Random

SPREAD = 0.5
"""Longest time added to the time after which a caller may return, as a part of it. Callers don't
wait for longer than a third of their remaining time, so a wider spread would lose some of them.
"""

PATIENCE = 1 / 3
"""Part of its remaining time for which a caller waits before it returns."""

MAX_REFUSED = 2_000
"""Refused requests that are remembered, the latest ones: 30 KB a thousand."""


def spread_return_s(retry_after_s: float, random: Random) -> float:
    """Return the seconds after which one of many refused callers may return.

    Never earlier than ``retry_after_s``: before that, it would be refused again.
    """
    return retry_after_s * (1 + SPREAD * random.random())


def place_return_s(place_s: float, remaining_s: float) -> float:
    """Return the seconds after which a caller may return for a place that is foreseen.

    At most the time for which the caller waits: later times would be cut off by it, and all
    callers that were told such times would return together.

    Args:
        place_s: Seconds until the place.
        remaining_s: Seconds until the caller's deadline.
    """
    return min(place_s, max(0.0, remaining_s) * PATIENCE / (1 + SPREAD))


class RefusedRequests:
    """Requests that this gateway has refused, by tenant and content, to recognise their return.

    An attempt carries no mark of earlier ones, and a caller may return through another gateway,
    which does not recognise it.
    """

    __slots__ = ("_by_tenant", "_until_s")

    def __init__(self) -> None:
        self._until_s: OrderedDict[tuple[str, str], float] = OrderedDict()
        # Bodies are hashed only of tenants of which a request was refused.
        self._by_tenant: Counter[str] = Counter()

    def add(self, tenant: str, content: str, deadline_s: float) -> None:
        """Remember a refused request until its caller's deadline.

        Args:
            tenant: Its tenant.
            content: Key of what is the same in all its attempts; empty if unknown.
            deadline_s: When its caller gives up, in monotonic seconds.
        """
        if not tenant or not content:
            return
        key = (tenant, content)
        self._forget(key)
        self._until_s[key] = deadline_s
        self._by_tenant[tenant] += 1
        if len(self._until_s) > MAX_REFUSED:
            self._forget(next(iter(self._until_s)))

    def take(self, tenant: str, content: Callable[[], str], now_s: float) -> bool:
        """Return whether a request was refused before, and forget it.

        Args:
            tenant: Its tenant.
            content: Returns the key of what is the same in all its attempts; called only while
                refused requests of the tenant are remembered.
            now_s: Monotonic time in seconds.
        """
        while self._until_s and next(iter(self._until_s.values())) < now_s:
            self._forget(next(iter(self._until_s)))
        if tenant not in self._by_tenant:
            return False
        return self._forget((tenant, content())) >= now_s

    def _forget(self, key: tuple[str, str]) -> float:
        """Forget a request; return its deadline, or minus infinity if it is not known."""
        deadline_s = self._until_s.pop(key, None)
        if deadline_s is None:
            return -math.inf
        self._by_tenant[key[0]] -= 1
        if not self._by_tenant[key[0]]:
            del self._by_tenant[key[0]]
        return deadline_s


__all__ = ["RefusedRequests", "place_return_s", "spread_return_s"]
