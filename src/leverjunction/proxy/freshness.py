"""Delays requests while the gateway's copy of the registry may be out of date."""

from __future__ import annotations

import asyncio
import math
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
        last_pause_end_s: Returns when the last detected suspension of this process ended.
    """

    __slots__ = ("_is_in_doubt", "_last_pause_end_s", "_loop")

    def __init__(
        self,
        is_in_doubt: Callable[[], bool] = lambda: False,
        last_pause_end_s: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._is_in_doubt = is_in_doubt
        self._last_pause_end_s = last_pause_end_s
        self._loop = asyncio.get_running_loop()

    async def wait(self, deadline_s: float) -> float:
        """Wait until the state is known to be current, or until a deadline in the loop's time.

        Returns:
            Argument of ``was_suspended_since`` for a choice that is made by this state.
        """
        pause_end_s = self._last_pause_end_s()
        if not self._is_in_doubt():
            return pause_end_s
        while self._is_in_doubt() and self._loop.time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            pause_end_s = self._last_pause_end_s()
        # The follower's thread has scheduled the update on this loop; let it run first.
        await asyncio.sleep(0)
        return pause_end_s

    def was_suspended_since(self, pause_end_s: float) -> bool:
        """Return whether this process was suspended after ``wait`` returned."""
        return self._last_pause_end_s() != pause_end_s


__all__ = ["FreshnessGate"]
