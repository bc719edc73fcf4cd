"""Planned stop of a gateway: accepts callers for a while longer, then waits for their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from leverjunction.proxy.caller_connection import CallerPort

ACCEPT_AFTER_STOP_S = 3.0
"""Time after a stop request during which new connections are still accepted.

The platform directs callers here until it has polled the readiness port twice.
"""

STOP_MARGIN_S = 0.7
"""Part of the grace period that is reserved for closing after the last request."""

DRAIN_POLL_S = 0.05


class Drain:
    """Ends the service of one port; used once, by one event loop.

    Args:
        port: The callers' port.
        grace_s: Seconds between the stop request and the forced kill.
        stop_accepting: Closes the listener.
    """

    __slots__ = ("_grace_s", "_loop", "_port", "_stop_accepting")

    def __init__(
        self, port: CallerPort, grace_s: float, stop_accepting: Callable[[], None]
    ) -> None:
        self._port = port
        self._grace_s = grace_s
        self._stop_accepting = stop_accepting
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Accept for ``ACCEPT_AFTER_STOP_S``, then wait until no request is in progress.

        What is in progress shortly before the end of the grace period is cut.
        """
        port = self._port
        port.draining = True
        started_s = self._loop.time()
        logger.info(
            "stopping: {} of {} connections are busy", port.count_busy(), len(port.connections)
        )
        taken_before = port.taken
        await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        self._stop_accepting()
        logger.info(
            "stopped accepting connections: {} of {} are busy; {} requests were taken since the"
            " stop request",
            port.count_busy(),
            len(port.connections),
            port.taken - taken_before,
        )
        taken_in_time = port.taken
        await self._wait_idle(started_s + self._grace_s - STOP_MARGIN_S)
        cut = await port.cut()
        log = logger.warning if cut else logger.info
        log(
            "the last request ended {:.2f} s after the stop request; {} requests were taken after"
            " the listener had closed, {} were cut",
            self._loop.time() - started_s,
            port.taken - taken_in_time,
            cut,
        )

    async def _wait_idle(self, until_s: float) -> None:
        while self._loop.time() < until_s:
            self._port.close_idle()
            if not self._port.count_busy():
                return
            await asyncio.sleep(DRAIN_POLL_S)


__all__ = ["Drain"]
