"""Callers of long streams: each takes a broken stream up again at another gateway."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import h11

from testbed import platform_words as words
from testbed.routed import HOST
from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.seeded.history import SeededHistory, Streamed, StreamTry
from testbed.simulation.seeded.operators import RESUMABLE_PREFIX
from testbed.simulation.seeded.routed.back_end import GATEWAY_HEADER, LONG_EVENTS
from testbed.simulation.seeded.routed.gateway import CALLERS_PORT
from testbed.simulation.seeded.shape import StreamersShape
from testbed.simulation.virtual_loop import StreamBoard, VirtualLoop

PAUSE_S = 0.25
"""Mean pause between two streams of a caller."""

PATIENCE_S = 3.0
"""Time after which a caller gives up one try."""

Events = list[tuple[int, str]]


class Streamers:
    """Callers that begin their streams at each gateway in turn.

    Args:
        machine: Their machine.
        gateways: Names of the gateways.
        streams: Connections of the run.
        fibers: Fibers of the run.
        history: Takes what they saw.
        generator: Draws.
        shape: How many there are, and how long they try.
    """

    def __init__(
        self,
        machine: Machine,
        gateways: Sequence[str],
        streams: StreamBoard,
        fibers: Fibers,
        history: SeededHistory,
        generator: random.Random,
        shape: StreamersShape,
    ) -> None:
        self._machine = machine
        self._gateways = list(gateways)
        self._streams = streams
        self._fibers = fibers
        self._history = history
        self._random = generator
        self._shape = shape
        self._asked = 0

    def start(self, begin_s: float, end_s: float) -> None:
        """Ask all gateways between two moments."""
        loop = VirtualLoop(self._machine, self._fibers, self._streams)

        async def work() -> None:
            for gateway in self._gateways * self._shape.per_gateway:
                loop.create_task(self._ask_all(gateway, begin_s, end_s))

        loop.begin(work)

    async def _ask_all(self, gateway: str, begin_s: float, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(begin_s + self._random.random() * PAUSE_S - loop.time())
        while loop.time() < end_s - self._shape.deadline_s:
            self._history.streams.append(await self._stream(gateway))
            await asyncio.sleep(PAUSE_S * (0.5 + self._random.random()))

    async def _stream(self, gateway: str) -> Streamed:
        """Read one stream, over as many tries as it takes."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._shape.deadline_s
        tries: list[StreamTry] = []
        first_id, last = "", 0
        while len(tries) < self._shape.most_tries and loop.time() < until_s:
            self._asked += 1
            request_id = f"{self._machine.name}-{self._asked}"
            first_id = first_id if last else request_id
            asked = _ask(gateway, request_id, first_id, last, until_s - loop.time())
            at_s = loop.time()
            events, status, ended_s = await self._try(gateway, asked)
            tries.append(
                StreamTry(gateway, at_s, status != 200, tuple(events), status != 0, ended_s)
            )
            last = events[-1][0] if events else last
            if last >= LONG_EVENTS:
                break
            gateway = self._random.choice(self._gateways)
            await asyncio.sleep(self._shape.pause_s * self._random.random())
        return Streamed(first_id, tuple(tries), last >= LONG_EVENTS)

    async def _try(self, gateway: str, asked: h11.Request) -> tuple[Events, int, float]:
        """Send one request.

        Returns:
            The whole events that came, the status, 0 for none, and the time of the first event, or
            of the end without one.
        """
        loop = asyncio.get_running_loop()
        connection: _StreamConnection | None = None
        try:
            async with asyncio.timeout(PATIENCE_S):
                _, made = await loop.create_connection(_StreamConnection, gateway, CALLERS_PORT)
                assert isinstance(made, _StreamConnection)
                connection = made
                await connection.ask(asked)
        except (OSError, TimeoutError):
            pass
        if connection is None:
            return [], 0, loop.time()
        connection.close()
        events = _read_events(connection.body)
        ended_s = connection.first_event_s if events else loop.time()
        return events, connection.status, ended_s


class _StreamConnection(asyncio.Protocol):
    """A connection for one request.

    Attributes:
        status: Status of the answer, 0 before it came.
        body: What came of its body.
        first_event_s: When the first of it came.
    """

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.first_event_s = 0.0
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._ended = asyncio.get_running_loop().create_future()

    async def ask(self, request: h11.Request) -> None:
        """Send a request, and read until the answer or the connection ends."""
        assert self._transport is not None
        sent = [self._h11.send(request), self._h11.send(h11.EndOfMessage())]
        self._transport.write(b"".join(data for data in sent if data))
        await self._ended

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._h11.receive_data(data)
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.first_event_s = self.first_event_s or asyncio.get_running_loop().time()
                self.body += bytes(event.data)
            else:
                if isinstance(event, h11.EndOfMessage):
                    self._end()
                return

    def connection_lost(self, exc: Exception | None) -> None:
        self._end()

    def _end(self) -> None:
        if not self._ended.done():
            self._ended.set_result(None)


def _read_events(body: bytes) -> Events:
    """Return number and version of each whole event."""
    events: Events = []
    for block in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
        if b"id" in fields:
            events.append((int(fields[b"id"]), fields.get(b"data", b"").decode()))
    return events


def _ask(gateway: str, request_id: str, first_id: str, last: int, left_s: float) -> h11.Request:
    resumed = [
        (words.LAST_EVENT_ID, str(last)),
        (words.RESUMES, first_id),
    ]
    return h11.Request(
        method="POST",
        target=f"{RESUMABLE_PREFIX}x",
        headers=[
            ("Host", HOST),
            (words.REQUEST_ID, request_id),
            (words.DEADLINE_MS, str(int(left_s * 1000))),
            (GATEWAY_HEADER, gateway),
            ("Content-Length", "0"),
            *(resumed if last else []),
        ],
    )
