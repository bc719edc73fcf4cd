"""Waits for a control process's word before requests are decided on by what may be out of date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LOOK_S = 0.02
"""Interval at which a waiting request looks whether the word has come."""


class FreshnessGate:
    """Holds requests after a standstill of this process; used by one event loop.

    Args:
        is_in_doubt: Returns whether the route table and the back ends may have changed unnoticed;
            true for a bounded time only.
    """

    __slots__ = ("_is_in_doubt", "_loop")

    def __init__(self, is_in_doubt: Callable[[], bool] = lambda: False) -> None:
        self._is_in_doubt = is_in_doubt
        self._loop = asyncio.get_running_loop()

    async def wait(self, until_s: float) -> None:
        """Return once there is no doubt, or at a moment of the loop's time."""
        if not self._is_in_doubt():
            return
        while self._is_in_doubt() and self._loop.time() < until_s:
            await asyncio.sleep(LOOK_S)
        # What the follower's thread was told is taken over by this loop, in its next turn.
        await asyncio.sleep(0)


__all__ = ["FreshnessGate"]
