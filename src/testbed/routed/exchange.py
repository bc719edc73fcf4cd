"""One request as it reached a back end, and the means to answer it."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import h11

from testbed import platform_words as words

ID_HEADER = words.REQUEST_ID
STAMP_HEADER = words.SERVER_STAMP
LOAD_HEADER = words.INSTANCE_LOAD
KEPT_ALIVE = f"{words.KEEP_ALIVE_TIMEOUT}=20"
EVENTS = 5
EVENTS_HEADER = "Stand-In-Events"
WORK_MS_HEADER = "Stand-In-Work-Ms"
BEHAVIOUR_HEADER = "Stand-In-Behaviour"
GATE_HEADER = "Stand-In-Gate"
"""Fields of a request by which its sender says how many events a stream has, how long the whole
stream takes, how it is to be answered by path, and which gate holds its first event back.
"""

RESUMABLE_FOLDER = "/resumed/"
"""Streams below it name in each event the version of the back end that wrote it."""

OPEN_GATES: set[str] = set()
"""Names of the gates that are open; a stream without a gate never waits."""

GATE_POLL_S = 0.005

READ_BYTES = 65536
SILENCE_S = 30.0
EVENT_PAUSE_S = 0.01


class Seen:
    """One request as it reached the back end.

    Attributes:
        method: Its method.
        target: Path and query.
        headers: Fields by lower-case name.
        body: Its body.
        gone_after_s: When the sender closed the connection while the answer was under way, counted
            from the request; None when it did not.
        behaviour: How it is answered.
        began_s: When it came, in monotonic seconds.
        placed_s: When it got a slot, in monotonic seconds; None before, or if it needs none.
        ended_s: When its answer ended, None while it is under way.
        whole: Its answer was written to its end.
        peer: Port of the connection's other end.
    """

    __slots__ = (
        "began_s",
        "behaviour",
        "body",
        "ended_s",
        "gone_after_s",
        "headers",
        "method",
        "peer",
        "placed_s",
        "target",
        "whole",
    )

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.began_s = time.monotonic()
        self.placed_s: float | None = None
        self.ended_s: float | None = None
        self.whole = False
        self.peer = 0
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.gone_after_s: float | None = None
        self.behaviour = ""


class Exchange:
    """One request and the means to answer it."""

    __slots__ = (
        "_load",
        "_parser",
        "_reader",
        "_slowdown",
        "_surplus",
        "_version",
        "_writer",
        "places",
        "seen",
    )

    def __init__(
        self,
        seen: Seen,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        places: asyncio.Semaphore,
        version: str = "",
        load: str = "",
        slowdown: float = 1.0,
        surplus: list[bytes] | None = None,
    ) -> None:
        self._surplus = [] if surplus is None else surplus
        self._version = version
        self._load = load
        self._slowdown = slowdown
        self.seen = seen
        self.places = places
        self._parser = parser
        self._reader = reader
        self._writer = writer

    def headers(self, request_id: str = "", **more: str) -> list[tuple[str, str]]:
        """Return the fields of an answer to this request, or to another one by its id."""
        own_id = request_id or self.seen.headers.get(ID_HEADER.lower(), "")
        fields = [(ID_HEADER, own_id), (STAMP_HEADER, "stamp"), (words.KEEP_ALIVE, KEPT_ALIVE)]
        if self._load:
            fields.append((LOAD_HEADER, self._load))
        return [*fields, *((name.replace("_", "-"), value) for name, value in more.items())]

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of an answer."""
        self.raw(self._parser.send(h11.Response(status_code=status, headers=headers)))

    def data(self, data: bytes) -> None:
        """Send a part of its body."""
        self.raw(self._parser.send(h11.Data(data=data)))

    def end(self) -> None:
        """Send the end of its body."""
        self.raw(self._parser.send(h11.EndOfMessage()))

    def answer_again(self, status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
        """Send a whole answer; return its bytes, for sending them once more."""
        fields = [*headers, ("Content-Length", str(len(body)))]
        lines = [f"HTTP/1.1 {status} ", *(f"{name}: {value}" for name, value in fields), "", ""]
        self.head(status, fields)
        if body:
            self.data(body)
        self.end()
        return "\r\n".join(lines).encode() + body

    def send_with_next(self, surplus: bytes) -> None:
        """Send a surplus answer once the next request of this connection has come."""
        self._surplus.append(surplus)

    def send_later(self, surplus: bytes, delay_s: float) -> None:
        """Send a surplus answer after a time."""
        asyncio.get_running_loop().call_later(delay_s, self._writer.write, surplus)

    def raw(self, data: bytes | None) -> None:
        """Send bytes as they are."""
        if data:
            self._writer.write(data)

    async def flush(self) -> None:
        """Wait until what was sent is on its way."""
        await self._writer.drain()

    def close(self) -> None:
        """Close the connection in order."""
        self._writer.close()

    def reset(self) -> None:
        """Close so that the sender gets a reset, not an orderly end."""
        linger_off = struct.pack("ii", 1, 0)
        connection = self._writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_off)
        self._writer.transport.abort()

    async def until_gone(self) -> None:
        """Wait until the sender closes the connection."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(SILENCE_S):
                if not await self._reader.read(READ_BYTES):
                    self.seen.gone_after_s = loop.time() - started_s
        except (TimeoutError, ConnectionError):
            self.seen.gone_after_s = loop.time() - started_s

    def events(self) -> list[bytes]:
        """Return the events that this request asked for."""
        first = int(self.seen.headers.get(words.LAST_EVENT_ID.lower(), "0")) + 1
        numbers = range(first, self._count() + 1)
        if self.seen.target.startswith(RESUMABLE_FOLDER) and self._version:
            version = self._version.encode()
            return [b"id: %d\ndata: event %d %s\n\n" % (n, n, version) for n in numbers]
        return [b"id: %d\ndata: event %d\n\n" % (n, n) for n in numbers]

    def pause_s(self) -> float:
        """Return the pause after each event."""
        work_ms = self.seen.headers.get(WORK_MS_HEADER.lower())
        usual_s = EVENT_PAUSE_S if work_ms is None else int(work_ms) / 1000 / self._count()
        return usual_s * self._slowdown

    async def pass_gate(self) -> None:
        """Wait until the gate that this request names is open, or its sender has left."""
        gate = self.seen.headers.get(GATE_HEADER.lower())
        while gate is not None and gate not in OPEN_GATES and not self.is_gone():
            await asyncio.sleep(GATE_POLL_S)

    def is_gone(self) -> bool:
        """Return whether the sender has left."""
        return self._reader.at_eof()

    def _count(self) -> int:
        return int(self.seen.headers.get(EVENTS_HEADER.lower(), EVENTS))


async def read_request(parser: h11.Connection, reader: asyncio.StreamReader) -> Seen | None:
    """Read the next request of a connection; None when there is none."""
    head: h11.Request | None = None
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            fields = {
                name.decode().lower(): value.decode() for name, value in head.headers.raw_items()
            }
            return Seen(head.method.decode(), head.target.decode(), fields, body)
        else:
            return None
