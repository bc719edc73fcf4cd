"""Planned stop of a gateway: refuses new requests after a while, and answers those in progress."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator

from loguru import logger

from leverjunction.proxy.caller_connection import CallerPort
from leverjunction.proxy.stop_schedule import StopSchedule

DRAIN_POLL_S = 0.05

LAST_ANSWERS_S = 0.2
"""Time for callers to read the answers that are given at the end of the schedule."""


async def close_listener(
    server: asyncio.Server, listener: socket.socket, connect: Callable[[], asyncio.Protocol]
) -> None:
    """Stop accepting connections, but serve those that wait in the queue of the listener.

    The kernel would reset them: their callers could not tell whether a request was read.

    Args:
        server: Accepts the connections.
        listener: Its socket.
        connect: Creates the protocol of one connection.
    """
    loop = asyncio.get_running_loop()
    for accepted in _accept_waiting(listener):
        await loop.connect_accepted_socket(connect, accepted)
    server.close()


def _accept_waiting(listener: socket.socket) -> Iterator[socket.socket]:
    while True:
        try:
            accepted, _ = listener.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError as error:
            logger.debug("a waiting caller has left: {}", error)
            continue
        except OSError as error:
            logger.warning("cannot accept the connections that wait: {}", error)
            return
        accepted.setblocking(False)
        yield accepted


class Drain:
    """Ends the service of one port; used once, by one event loop.

    Args:
        port: The callers' port.
        schedule: Times of the stop, which has been requested.
        stop_accepting: Takes the connections that wait in the listener's queue, and closes it.
    """

    __slots__ = ("_loop", "_port", "_schedule", "_stop_accepting")

    def __init__(
        self,
        port: CallerPort,
        schedule: StopSchedule,
        stop_accepting: Callable[[], Awaitable[None]],
    ) -> None:
        self._port = port
        self._schedule = schedule
        self._stop_accepting = stop_accepting
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Accept requests until the schedule refuses them, then wait until none is in progress.

        At the end of the schedule, requests without an answer get one, and what has begun is cut.
        """
        port = self._port
        port.draining = True
        logger.info(
            "stopping: {} of {} connections are busy", port.count_busy(), len(port.connections)
        )
        taken_before = port.taken
        await self._wait_until(self._schedule.accept_until_s)
        await self._stop_accepting()
        port.refuse_incomplete()
        logger.info(
            "stopped accepting connections: {} of {} are busy; {} requests were taken since the"
            " stop request",
            port.count_busy(),
            len(port.connections),
            port.taken - taken_before,
        )
        taken_in_time = port.taken
        await self._wait_idle(self._schedule.answer_by_s)
        answered = await port.answer_rest()
        port.hand_over_answers()
        await self._wait_idle(self._loop.time() + LAST_ANSWERS_S)
        cut = await port.cut()
        log = logger.warning if cut else logger.info
        log(
            "the last request ended {:.2f} s after the stop request; {} requests came after the"
            " listener had closed, {} were answered because the process ends, {} were cut",
            self._loop.time() - self._schedule.requested_s,
            port.taken - taken_in_time,
            answered,
            cut,
        )

    async def _wait_until(self, until_s: float) -> None:
        await asyncio.sleep(max(0.0, until_s - self._loop.time()))

    async def _wait_idle(self, until_s: float) -> None:
        # Callbacks that the loop has ready come first: a request may just have been read.
        await asyncio.sleep(0)
        while self._loop.time() < until_s:
            unread = self._port.close_idle()
            if not unread and not self._port.count_busy():
                return
            await asyncio.sleep(DRAIN_POLL_S)


__all__ = ["Drain"]
