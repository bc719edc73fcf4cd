"""A back end on loopback that answers as it is told, misbehaviours included.

It runs in a thread of its own. Each request takes the next behaviour of the queue, or the usual
one when the queue is empty.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Awaitable, Callable

import h11

from leverjunction.platform import headers as names

ID_HEADER = names.REQUEST_ID.decode()
STAMP_HEADER = names.SERVER_STAMP.decode()
NOT_RUN_HEADER = names.NOT_EXECUTED.decode()
EXPECT_HEADER = names.EXPECT_INSTANCE.decode().lower()
REPORT_TARGET = names.REPORT_PATH.decode()
EVENTS = 5
EVENTS_HEADER = "Stand-In-Events"
WORK_MS_HEADER = "Stand-In-Work-Ms"
BEHAVIOUR_HEADER = "Stand-In-Behaviour"
"""Fields of a request by which its sender says how many events a stream has, how long the whole
stream takes, and how it is to be answered by path.
"""

READ_BYTES = 65536
SILENCE_S = 30.0
LONG_EVENTS = 2000
PAUSE_S = 3.0
"""Of a run that lives on in silence, as one that was preempted."""

EVENT_PAUSE_S = 0.01
MANY = 1_000_000
WORK_S = 0.05
"""Of a request by path that is no stream: time for its connection to come to harm."""


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
        "target",
        "whole",
    )

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.began_s = time.monotonic()
        self.ended_s: float | None = None
        self.whole = False
        self.peer = 0
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.gone_after_s: float | None = None
        self.behaviour = ""


Behaviour = Callable[["_Exchange"], Awaitable[None]]
BEHAVIOURS: dict[str, Behaviour] = {}
ENDED_HERE = frozenset({"answer lost", "rest lost", "end lost"})
"""The back end is done with the request, though its sender waits on: its report tells of none."""


def _behaviour(name: str) -> Callable[[Behaviour], Behaviour]:
    def register(behaviour: Behaviour) -> Behaviour:
        BEHAVIOURS[name] = behaviour
        return behaviour

    return register


class RunnerStandIn:
    """One start of a back end.

    Attributes:
        runner_id: Its id; a request that expects another is answered 421.
        seen: Requests that came, oldest first.
        held: Those that it works on or that wait for a slot.
        accepted: Connections that were taken.
        under_way: Requests that it answers at the moment.
        online: Requests of others that it reports besides those under way here.
        slots: Requests by path that it works on at once, others wait; 0 for any number.
    """

    def __init__(
        self, runner_id: str = "i-1", usual: str = "whole", slots: int = 0, port: int = 0
    ) -> None:
        self.runner_id = runner_id
        self._port = port
        self.slots = slots
        self._places = asyncio.Semaphore(slots or MANY)
        self.usual = usual
        self.seen: list[Seen] = []
        self.held: list[Seen] = []
        self.accepted = 0
        self.online = 0
        self.under_way = 0
        self.address = ""
        self._next: deque[str] = deque()
        self._next_below: dict[str, deque[str]] = {}
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> RunnerStandIn:
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_error: object) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    @property
    def has_ended(self) -> bool:
        """Whether its thread is over, and nobody listens at its address."""
        return not self._thread.is_alive()

    def then(self, *behaviours: str) -> None:
        """Set how the next requests are answered."""
        self._next.extend(behaviours)

    def then_below(self, folder: str, *behaviours: str) -> None:
        """Set how the next requests below a folder are answered."""
        self._next_below.setdefault(folder, deque()).extend(behaviours)

    def _behaviour_for(self, seen: Seen) -> str:
        if seen.headers.get(EXPECT_HEADER, self.runner_id) != self.runner_id:
            return "another"
        for folder, behaviours in self._next_below.items():
            if behaviours and seen.target.startswith(folder):
                return behaviours.popleft()
        return self._next.popleft() if self._next else self.usual

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, "127.0.0.1", self._port)
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._started.set()
        self._loop.run_forever()
        server.close()
        end_tasks(self._loop)
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                seen = await _read_request(parser, reader)
                if seen is None:
                    break
                if seen.target == REPORT_TARGET:
                    await _report(_Exchange(seen, parser, reader, writer, self._places), self)
                    parser.start_next_cycle()
                    continue
                seen.peer = (writer.get_extra_info("peername") or ("", 0))[1]
                self.seen.append(seen)
                name = self._behaviour_for(seen)
                seen.behaviour = name
                exchange = _Exchange(seen, parser, reader, writer, self._places)
                reported = int(name not in ENDED_HERE)
                self.under_way += reported
                self.held.append(seen)
                try:
                    await BEHAVIOURS[name](exchange)
                finally:
                    self.under_way -= reported
                    self.held.remove(seen)
                    seen.whole = parser.our_state is h11.DONE
                    seen.ended_s = time.monotonic()
                if parser.our_state is not h11.DONE or writer.is_closing():
                    break
                parser.start_next_cycle()
        except (ConnectionError, asyncio.CancelledError):
            pass
        except h11.RemoteProtocolError:
            # A request that was cut is no fault of the sender's protocol; anything else is.
            if not reader.at_eof():
                raise
        finally:
            writer.close()


def end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """End all tasks of a loop that was stopped, those of connections that just came in too."""
    loop.run_until_complete(asyncio.sleep(0))
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        # One that was accepted in the meantime has its task only now.
        loop.run_until_complete(asyncio.sleep(0))


class _Exchange:
    """One request and the means to answer it."""

    __slots__ = ("_parser", "_reader", "_writer", "places", "seen")

    def __init__(
        self,
        seen: Seen,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        places: asyncio.Semaphore,
    ) -> None:
        self.seen = seen
        self.places = places
        self._parser = parser
        self._reader = reader
        self._writer = writer

    def headers(self, request_id: str = "", **more: str) -> list[tuple[str, str]]:
        own_id = request_id or self.seen.headers.get(ID_HEADER.lower(), "")
        fields = [(ID_HEADER, own_id), (STAMP_HEADER, "stamp"), ("Keep-Alive", "timeout=20")]
        return [*fields, *((name.replace("_", "-"), value) for name, value in more.items())]

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.raw(self._parser.send(h11.Response(status_code=status, headers=headers)))

    def data(self, data: bytes) -> None:
        self.raw(self._parser.send(h11.Data(data=data)))

    def end(self) -> None:
        self.raw(self._parser.send(h11.EndOfMessage()))

    def raw(self, data: bytes | None) -> None:
        if data:
            self._writer.write(data)

    async def flush(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
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
        first = int(self.seen.headers.get("last-event-id", "0")) + 1
        return [b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(first, self._count() + 1)]

    def pause_s(self) -> float:
        """Return the pause after each event."""
        work_ms = self.seen.headers.get(WORK_MS_HEADER.lower())
        return EVENT_PAUSE_S if work_ms is None else int(work_ms) / 1000 / self._count()

    def is_gone(self) -> bool:
        """Return whether the sender has left."""
        return self._reader.at_eof()

    def _count(self) -> int:
        return int(self.seen.headers.get(EVENTS_HEADER.lower(), EVENTS))


async def _read_request(parser: h11.Connection, reader: asyncio.StreamReader) -> Seen | None:
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


async def _report(exchange: _Exchange, runner: RunnerStandIn) -> None:
    running = min(runner.under_way, runner.slots or MANY)
    counts = (runner.online + running, runner.under_way - running)
    body = b'{"Running":%d,"Waiting":%d}' % counts
    exchange.head(200, [("Content-Length", str(len(body)))])
    exchange.data(body)
    exchange.end()


@_behaviour("whole")
async def _whole(exchange: _Exchange) -> None:
    body = b"answer to " + exchange.seen.target.encode()
    exchange.head(200, [*exchange.headers(), ("Content-Length", str(len(body)))])
    exchange.data(body)
    exchange.end()


@_behaviour("unprocessable")
async def _unprocessable(exchange: _Exchange) -> None:
    exchange.head(422, [*exchange.headers(), ("Content-Length", "3")])
    exchange.data(b"bad")
    exchange.end()


@_behaviour("fault")
async def _fault(exchange: _Exchange) -> None:
    exchange.head(500, [*exchange.headers(), ("Content-Length", "5")])
    exchange.data(b"fault")
    exchange.end()


@_behaviour("no length")
async def _no_length(exchange: _Exchange) -> None:
    exchange.raw(b"HTTP/1.1 200 OK\r\n")
    for name, value in exchange.headers():
        exchange.raw(f"{name}: {value}\r\n".encode())
    exchange.raw(b"Connection: close\r\n\r\nuntil the end")
    await exchange.flush()
    exchange.close()


@_behaviour("no length, reset")
async def _no_length_reset(exchange: _Exchange) -> None:
    exchange.raw(b"HTTP/1.1 200 OK\r\n")
    for name, value in exchange.headers():
        exchange.raw(f"{name}: {value}\r\n".encode())
    exchange.raw(b"Connection: close\r\n\r\nuntil the")
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.reset()


@_behaviour("cut body")
async def _cut_body(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Length", "1000")])
    exchange.data(b"only this")
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.close()


@_behaviour("no answer")
async def _no_answer(exchange: _Exchange) -> None:
    exchange.close()


@_behaviour("reset")
async def _reset(exchange: _Exchange) -> None:
    exchange.reset()


@_behaviour("no bytes of HTTP")
async def _garbage(exchange: _Exchange) -> None:
    exchange.raw(b"\x00\x01 this is no answer\r\n\r\n")
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.close()


@_behaviour("silent")
async def _silent(exchange: _Exchange) -> None:
    await exchange.until_gone()


@_behaviour("not run")
async def _not_run(exchange: _Exchange) -> None:
    headers = [*exchange.headers(), (NOT_RUN_HEADER, "1"), ("Content-Length", "0")]
    exchange.head(503, headers)
    exchange.end()


@_behaviour("another")
async def _another(exchange: _Exchange) -> None:
    exchange.head(421, [*exchange.headers(), ("Content-Length", "0")])
    exchange.end()


@_behaviour("503 without a word")
async def _bare_503(exchange: _Exchange) -> None:
    exchange.head(503, [*exchange.headers(), ("Content-Length", "0")])
    exchange.end()


@_behaviour("crossed")
async def _crossed(exchange: _Exchange) -> None:
    headers = exchange.headers("of-another")
    exchange.head(200, [*headers, ("Content-Length", "7")])
    exchange.data(b"crossed")
    exchange.end()


@_behaviour("crossed refusal")
async def _crossed_refusal(exchange: _Exchange) -> None:
    fields = [*exchange.headers("of-another"), (NOT_RUN_HEADER, "1"), ("Content-Length", "0")]
    exchange.head(503, fields)
    exchange.end()


@_behaviour("unsigned")
async def _unsigned(exchange: _Exchange) -> None:
    exchange.head(200, [("Content-Length", "8")])
    exchange.data(b"unsigned")
    exchange.end()


@_behaviour("surplus")
async def _surplus(exchange: _Exchange) -> None:
    await _whole(exchange)
    exchange.raw(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus")
    await exchange.flush()


@_behaviour("stream")
async def _stream(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        if exchange.is_gone():
            raise ConnectionResetError
        exchange.data(event)
        await exchange.flush()
        await asyncio.sleep(exchange.pause_s())
    exchange.end()


@_behaviour("stream in halves")
async def _stream_in_halves(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        for half in (event[:7], event[7:]):
            exchange.data(half)
            await exchange.flush()
            await asyncio.sleep(0.01)
    exchange.end()


@_behaviour("stream cut in an event")
async def _stream_cut(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    events = exchange.events()
    for piece in (*events[:1], *(event[:9] for event in events[1:2])):
        exchange.data(piece)
    await exchange.flush()
    await asyncio.sleep(0.05)
    exchange.reset()


@_behaviour("stream that stops")
async def _stream_stops(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events()[:1]:
        exchange.data(event)
    await exchange.flush()
    await exchange.until_gone()


@_behaviour("answer lost")
async def _answer_lost(exchange: _Exchange) -> None:
    await exchange.until_gone()


@_behaviour("rest lost")
async def _rest_lost(exchange: _Exchange) -> None:
    await _stream_stops(exchange)


@_behaviour("end lost")
async def _end_lost(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        exchange.data(event)
    await exchange.flush()
    await exchange.until_gone()


@_behaviour("stream with a pause")
async def _stream_with_a_pause(exchange: _Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        exchange.data(event)
        await exchange.flush()
        if event.startswith(b"id: 1\n"):
            await asyncio.sleep(PAUSE_S)
    exchange.end()


@_behaviour("long stream")
async def _long_stream(exchange: _Exchange) -> None:
    """Send more than any buffer holds, until the sender leaves."""
    started_s = asyncio.get_running_loop().time()
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    try:
        for number in range(LONG_EVENTS):
            exchange.data(b"id: %d\ndata: %s\n\n" % (number, b"x" * READ_BYTES))
            await exchange.flush()
    except ConnectionError:
        exchange.seen.gone_after_s = asyncio.get_running_loop().time() - started_s
        return
    exchange.end()


@_behaviour("by path")
async def _by_path(exchange: _Exchange) -> None:
    """Stream below the folders of streams and batches, answer whole elsewhere."""
    async with exchange.places:
        if exchange.is_gone():
            raise ConnectionResetError
        asked = exchange.seen.headers.get(BEHAVIOUR_HEADER.lower(), "")
        if asked:
            await BEHAVIOURS[asked](exchange)
        elif exchange.seen.target.startswith(("/stream/", "/batch/")):
            await _stream(exchange)
        else:
            await asyncio.sleep(WORK_S)
            await _whole(exchange)
