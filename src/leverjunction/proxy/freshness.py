"""Delays requests while the gateway's copy of the registry may be out of date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.02
"""Interval at which a waiting request checks whether the registry's state is current again."""


class FreshnessGate:
    """Holds requests after this process was suspended; used by one event loop.

    Otherwise a request might go to a back end that has left meanwhile, or be rejected although its
    route has been added.

    Args:
        is_in_doubt: Returns whether the route table and the back ends may have changed unnoticed.
            It must return True for a bounded time only.
    """

    __slots__ = ("_is_in_doubt", "_loop")

    def __init__(self, is_in_doubt: Callable[[], bool] = lambda: False) -> None:
        self._is_in_doubt = is_in_doubt
        self._loop = asyncio.get_running_loop()

    async def wait(self, deadline_s: float) -> None:
        """Wait until the state is known to be current, or until a deadline in the loop's time."""
        if not self._is_in_doubt():
            return
        while self._is_in_doubt() and self._loop.time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        # The follower's thread has scheduled the update on this loop; let it run first.
        await asyncio.sleep(0)


__all__ = ["FreshnessGate"]
