"""Callers who keep their connections to a gateway busy until its process is gone."""

from __future__ import annotations

import asyncio
import random

import h11

from leverjunction.routes import RouteClass
from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.seeded.history import Asked, SeededHistory
from testbed.simulation.seeded.operators import LONG_ROUTE, LONG_TIMEOUT_S
from testbed.simulation.seeded.routed.back_end import EVENTS, EVENTS_HEADER
from testbed.simulation.seeded.routed.callers import (
    DEADLINE_S,
    NO_ANSWER,
    ROUTES,
    CallerConnection,
    make_request,
)
from testbed.simulation.seeded.routed.gateway import CALLERS_PORT
from testbed.simulation.virtual_loop import StreamBoard, VirtualLoop

CHAINS = 6
"""Callers whose next request follows the last answer at once."""

AHEAD = 2
"""Callers who send the next request before the answer has ended."""

LATE = 6
"""Callers whose first request comes some time after the stop request, on an open connection."""

EARLIEST_LATE_S = 2.5
LATEST_LATE_S = 7.6
FEWEST_EVENTS = 5
MOST_EVENTS = 35
PATIENCE_BEYOND_S = 2.0
"""Time beyond its deadline for which a caller waits for an answer."""

RETRY_S = 0.2

_KINDS = (
    (ROUTES[RouteClass.REPEATABLE], RouteClass.REPEATABLE, 3),
    (ROUTES[RouteClass.ONCE], RouteClass.ONCE, 1),
    (ROUTES[RouteClass.STREAM], RouteClass.STREAM, 1),
    (LONG_ROUTE, RouteClass.STREAM, 2),
)
"""Route and kind of requests, and how often each is sent beside the others."""


class StopCallers:
    """Callers of one gateway around its planned stop, in one process.

    Args:
        machine: Their machine.
        gateway: Name of the gateway.
        streams: Connections of the run.
        fibers: Fibers of the run.
        history: Takes what they saw.
        generator: Draws.
    """

    def __init__(
        self,
        machine: Machine,
        gateway: str,
        streams: StreamBoard,
        fibers: Fibers,
        history: SeededHistory,
        generator: random.Random,
    ) -> None:
        self._machine = machine
        self._gateway = gateway
        self._streams = streams
        self._fibers = fibers
        self._history = history
        self._random = generator
        self._asked = 0

    def start(self, stop_s: float, end_s: float) -> None:
        """Ask from now on.

        Args:
            stop_s: When the gateway is asked to stop.
            end_s: When they send no more requests.
        """
        loop = VirtualLoop(self._machine, self._fibers, self._streams)

        async def work() -> None:
            for _ in range(CHAINS):
                loop.create_task(self._ask_on(end_s))
            for _ in range(AHEAD):
                loop.create_task(self._ask_ahead(end_s))
            for _ in range(LATE):
                wait_s = self._random.uniform(EARLIEST_LATE_S, LATEST_LATE_S)
                loop.create_task(self._ask_late(stop_s + wait_s))

        loop.begin(work)

    async def _ask_on(self, end_s: float) -> None:
        """Ask without a pause, and connect again where a connection has ended."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            connection = await self._connect()
            while connection is not None and connection.is_usable and loop.time() < end_s:
                await self._ask(connection, self._draw(), is_sent_ahead=False)
            await asyncio.sleep(RETRY_S * self._random.random())

    async def _ask_ahead(self, end_s: float) -> None:
        """Have each next request behind the one whose answer is read."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            connection = await self._connect()
            drawn, is_sent = self._draw(), False
            while connection is not None and connection.is_usable and loop.time() < end_s:
                following = self._draw()
                asked = loop.create_task(self._ask(connection, drawn, is_sent))
                await asyncio.sleep(0)
                connection.send_ahead(self._head(following), following.request_id)
                await asked
                drawn, is_sent = following, True
            await asyncio.sleep(RETRY_S * self._random.random())

    async def _ask_late(self, at_s: float) -> None:
        """Connect, and send the first request at a moment."""
        loop = asyncio.get_running_loop()
        # The last ones connect while the gateway still accepts.
        connect_s = at_s - self._random.choice((0.4, 1.0, 5.0))
        await asyncio.sleep(max(0.0, connect_s - loop.time()))
        connection = await self._connect()
        await asyncio.sleep(max(0.0, at_s - loop.time()))
        if connection is not None and connection.is_usable:
            await self._ask(connection, self._draw(), is_sent_ahead=False)

    async def _connect(self) -> CallerConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DEADLINE_S):
                _, made = await loop.create_connection(
                    CallerConnection, self._gateway, CALLERS_PORT
                )
        except (OSError, TimeoutError):
            return None
        assert isinstance(made, CallerConnection)
        return made

    async def _ask(self, connection: CallerConnection, drawn: _Drawn, is_sent_ahead: bool) -> None:
        loop = asyncio.get_running_loop()
        at_s = loop.time()
        answer = NO_ANSWER
        try:
            async with asyncio.timeout(drawn.deadline_s + PATIENCE_BEYOND_S):
                answer = await connection.ask(self._head(drawn), drawn.request_id, is_sent_ahead)
        except TimeoutError:
            connection.close()
        self._history.asked_at_stops.append(
            Asked(
                request_id=drawn.request_id,
                gateway=self._gateway,
                route=drawn.route,
                kind=drawn.kind,
                at_s=at_s,
                ended_s=loop.time(),
                status=answer.status,
                is_whole=answer.is_whole(drawn.request_id, drawn.kind, drawn.events),
                says_not_run=answer.says_not_run,
            )
        )

    def _draw(self) -> _Drawn:
        self._asked += 1
        weights = [weight for _, _, weight in _KINDS]
        route, kind, _ = self._random.choices(_KINDS, weights)[0]
        is_long = route == LONG_ROUTE
        events = self._random.randint(FEWEST_EVENTS, MOST_EVENTS) if is_long else EVENTS
        return _Drawn(f"{self._machine.name}-{self._asked}", route, kind, events)

    def _head(self, drawn: _Drawn) -> h11.Request:
        own = [(EVENTS_HEADER, str(drawn.events))] if drawn.route == LONG_ROUTE else []
        return make_request(self._gateway, drawn.route, drawn.request_id, drawn.deadline_s, own)


class _Drawn:
    """A request that is to be sent."""

    __slots__ = ("events", "kind", "request_id", "route")

    def __init__(self, request_id: str, route: str, kind: RouteClass, events: int) -> None:
        self.request_id = request_id
        self.route = route
        self.kind = kind
        self.events = events

    @property
    def deadline_s(self) -> float:
        """Time that its caller gives it."""
        return LONG_TIMEOUT_S if self.route == LONG_ROUTE else DEADLINE_S


__all__ = ["StopCallers"]
