"""Holds requests of a gateway that has just started until it has its first route table.

Load pattern: all machines start at once after a loss of power, and callers with one attempt left
come before the control processes have a leader. A refused one would return to another gateway that
has no table either. A gateway that gets no table within the time that an election takes is probably
cut off from the control processes, and its callers are better served elsewhere: it refuses at once.
"""

from __future__ import annotations

import asyncio

MAX_WAIT_S = 1.5
"""Longest time after the start for which requests are held: control processes that start at the
same moment load their code and elect a leader within it.
"""


class FirstTable:
    """Tells waiting requests that the first route table has arrived; used by one event loop."""

    __slots__ = ("_arrived", "_loop", "_until_s")

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._arrived = asyncio.Event()
        self._until_s = self._loop.time() + MAX_WAIT_S

    def arrived(self) -> None:
        """Let all waiting requests continue, and every later one at once."""
        self._arrived.set()

    async def wait(self, deadline_s: float) -> None:
        """Wait for the first table, but not beyond the time that a start takes.

        Args:
            deadline_s: Time until which the request can wait, in the loop's seconds.
        """
        until_s = min(self._until_s, deadline_s)
        if self._arrived.is_set() or self._loop.time() >= until_s:
            return
        try:
            async with asyncio.timeout_at(until_s):
                await self._arrived.wait()
        except TimeoutError:
            return


__all__ = ["MAX_WAIT_S", "FirstTable"]
