"""Callers of routed requests: each keeps a connection to every gateway until it ends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import h11

from leverjunction.routes import RouteClass
from testbed import platform_words as words
from testbed.routed import HOST
from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.seeded.history import Asked, SeededHistory
from testbed.simulation.seeded.routed.back_end import EVENTS, GATEWAY_HEADER
from testbed.simulation.seeded.routed.gateway import CALLERS_PORT
from testbed.simulation.virtual_loop import StreamBoard, VirtualLoop

PAUSE_S = 0.15
DEADLINE_S = 2.0
PATIENCE_S = 4.0
"""Time after which a caller gives up an answer."""

ADDED_SHARE = 0.25
"""Share of requests to routes that were added not long ago."""

MAY_HAVE_RUN = (502, 504)
"""Statuses of a gateway's own answers to requests that a back end may have run."""

_KINDS = {RouteClass.REPEATABLE: 3, RouteClass.ONCE: 1, RouteClass.STREAM: 1}
"""Kinds of requests to the first routes, and how often each is sent beside the others."""

ROUTES = {
    RouteClass.REPEATABLE: "route-0",
    RouteClass.ONCE: "route-1",
    RouteClass.STREAM: "route-2",
}


class Callers:
    """The callers of one machine, in one process.

    Args:
        machine: The machine.
        gateways: Names of the gateways.
        added: Returns the versions whose routes may be asked for.
        streams: Connections of the run.
        fibers: Fibers of the run.
        history: Takes what they saw.
        generator: Draws.
    """

    def __init__(
        self,
        machine: Machine,
        gateways: Sequence[str],
        added: Callable[[], Sequence[int]],
        streams: StreamBoard,
        fibers: Fibers,
        history: SeededHistory,
        generator: random.Random,
    ) -> None:
        self._machine = machine
        self._gateways = list(gateways)
        self._added = added
        self._streams = streams
        self._fibers = fibers
        self._history = history
        self._random = generator
        self._asked = 0

    def start(self, begin_s: float, end_s: float) -> None:
        """Ask all gateways between two moments."""
        loop = VirtualLoop(self._machine, self._fibers, self._streams)

        async def work() -> None:
            for gateway in self._gateways:
                loop.create_task(self._ask_all(gateway, begin_s, end_s))

        loop.begin(work)

    async def _ask_all(self, gateway: str, begin_s: float, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(begin_s + self._random.random() * PAUSE_S - loop.time())
        connection: CallerConnection | None = None
        while loop.time() < end_s:
            connection = await self._ask(gateway, connection)
            await asyncio.sleep(PAUSE_S * (0.5 + self._random.random()))

    async def _ask(
        self, gateway: str, connection: CallerConnection | None
    ) -> CallerConnection | None:
        """Send one request; returns the connection if another may follow."""
        loop = asyncio.get_running_loop()
        route, kind = self._draw_route()
        self._asked += 1
        request_id = f"{self._machine.name}-{self._asked}"
        at_s = loop.time()
        answer = NO_ANSWER
        try:
            async with asyncio.timeout(PATIENCE_S):
                if connection is None or not connection.is_usable:
                    _, made = await loop.create_connection(CallerConnection, gateway, CALLERS_PORT)
                    assert isinstance(made, CallerConnection)
                    connection = made
                answer = await connection.ask(make_request(gateway, route, request_id), request_id)
        except (OSError, TimeoutError):
            if connection is not None:
                connection.close()
            connection = None
        self._history.asked.append(
            Asked(
                request_id=request_id,
                gateway=gateway,
                route=route,
                kind=kind,
                at_s=at_s,
                ended_s=loop.time(),
                status=answer.status,
                is_whole=answer.is_whole(request_id, kind),
                says_not_run=answer.says_not_run,
            )
        )
        return connection

    def _draw_route(self) -> tuple[str, RouteClass]:
        added = self._added()
        if added and self._random.random() < ADDED_SHARE:
            return f"added-{self._random.choice(added)}", RouteClass.REPEATABLE
        kind = self._random.choices(list(_KINDS), list(_KINDS.values()))[0]
        return ROUTES[kind], kind


class Answer:
    """What came of a request."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self._body = body

    @property
    def says_not_run(self) -> bool:
        """Whether it says that no back end has run the request."""
        return self.status not in (0, 200, *MAY_HAVE_RUN)

    def is_whole(self, request_id: str, kind: RouteClass, events: int = EVENTS) -> bool:
        """Return whether it is all of the answer to a request, if it is one of success."""
        if self.status != 200:
            return self.status != 0
        own = request_id.encode()
        if kind is RouteClass.STREAM:
            return self._body.count(b"data: %s\n" % own) == events
        return self._body == own


NO_ANSWER = Answer(0, b"")


class CallerConnection(asyncio.Protocol):
    """One connection to a gateway."""

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        return not self._ended and self._h11.our_state is h11.IDLE

    def send_ahead(self, request: h11.Request, request_id: str) -> None:
        """Send a request before the answer to the one before has ended; ``ask`` reads on."""
        assert self._transport is not None
        self._transport.write(_written(h11.Connection(h11.CLIENT), request, request_id))

    async def ask(
        self, request: h11.Request, request_id: str, is_sent_ahead: bool = False
    ) -> Answer:
        """Send a request and read its answer; a broken connection gives what came, as status 0."""
        assert self._transport is not None
        data = _written(self._h11, request, request_id)
        if not is_sent_ahead:
            self._transport.write(data)
        status, parts = 0, []
        while not self._ended:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                self._waiter = asyncio.get_running_loop().create_future()
                await self._waiter
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._go_on()
                return Answer(status, b"".join(parts))
            else:
                break
        return NO_ANSWER

    def close(self) -> None:
        """Close at once."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Take a part of an answer."""
        self._h11.receive_data(data)
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer that is read."""
        self._ended = True
        self._wake()

    def _go_on(self) -> None:
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        else:
            self.close()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _written(connection: h11.Connection, request: h11.Request, request_id: str) -> bytes:
    """Return a request with its id as the body, as the client of a connection writes it."""
    events = (request, h11.Data(data=request_id.encode()), h11.EndOfMessage())
    return b"".join(data for event in events if (data := connection.send(event)))


def make_request(
    gateway: str,
    route: str,
    request_id: str,
    deadline_s: float = DEADLINE_S,
    headers: Sequence[tuple[str, str]] = (),
) -> h11.Request:
    """Return the head of a request."""
    deadline_ms = int(deadline_s * 1000)
    return h11.Request(
        method="POST",
        target=f"/{route}/",
        headers=[
            ("Host", HOST),
            (words.REQUEST_ID, request_id),
            (words.DEADLINE_MS, str(deadline_ms)),
            (GATEWAY_HEADER, gateway),
            ("Content-Length", str(len(request_id))),
            *headers,
        ],
    )
