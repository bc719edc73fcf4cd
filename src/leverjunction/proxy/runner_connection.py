"""HTTP/1.1 client side of the proxy: connections to back ends, on asyncio and h11."""

from __future__ import annotations

import asyncio
from collections import deque

import h11

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.dialect import RawHeaders
from leverjunction.proxy.probes import probe

MAX_HEAD_BYTES = 64 * 1024
PAUSE_BYTES = 256 * 1024
"""Unread bytes of an answer beyond which no more are taken from the socket."""


class ResponseHead:
    """Status and headers of a back end's answer."""

    __slots__ = ("headers", "status")

    def __init__(self, status: int, headers: RawHeaders) -> None:
        self.status = status
        self.headers = headers


class ResponseEnd:
    """The answer is complete."""

    __slots__ = ()


ResponseEvent = ResponseHead | bytes | ResponseEnd | Failure


class RunnerConnection(asyncio.Protocol):
    """One connection; carries one request at a time.

    Attributes:
        address: ``host:port`` of the back end.
        idle_since_s: When it last became idle, monotonic seconds.
        keep_alive_s: How long the back end keeps it idle, None when it did not say.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._events: deque[ResponseEvent] = deque()
        self._unread_bytes = 0
        self._paused = False
        self._pace_s = 0.0
        self._rest: asyncio.TimerHandle | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._active = False
        self._heard = False

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent: it is open, and nothing stray came on it."""
        return (
            not self._ended
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.IDLE
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        probe(transport)

    def data_received(self, data: bytes) -> None:
        """Take a part of an answer; bytes without a request belong to none."""
        if not self._active:
            self.close()
            return
        self._heard = True
        self._feed(data)
        if self._pace_s:
            self._take_rest()

    def eof_received(self) -> bool:
        """The back end closed: right after an answer without a length, a fault elsewhere."""
        if self._active:
            self._feed(b"")
        self._end("the back end closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection broke."""
        self._end(f"the connection broke ({exc})" if exc else "the connection ended")

    def send(self, method: bytes, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a request whole."""
        assert self._transport is not None
        self._active = True
        self._heard = False
        framed = [*headers]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed.append((b"Content-Length", b"%d" % len(body)))
        parts = [self._h11.send(h11.Request(method=method, target=target, headers=framed)) or b""]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        self._transport.write(b"".join(parts))

    async def next_event(self) -> ResponseEvent:
        """Return the next part of the answer; after its end or a failure, nothing more comes."""
        await self.wait_event()
        event = self._events.popleft()
        if isinstance(event, bytes):
            self._unread_bytes -= len(event)
            self._resume()
        return event

    async def wait_event(self) -> None:
        """Return once ``next_event`` has a part of the answer to return."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def set_read_interval(self, interval_s: float) -> None:
        """Take the rest of this answer only so often, several parts at a time.

        A stream whose reader is in no hurry costs a wake-up for every event otherwise.
        """
        self._pace_s = interval_s

    def finish_request(self) -> bool:
        """End the use for one request; return whether the connection may serve another."""
        self._active = False
        self._pace_s = 0.0
        self._end_rest()
        clean = (
            not self._ended
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )
        if not clean:
            self.close()
            return False
        self._h11.start_next_cycle()
        return self.is_usable

    def close(self) -> None:
        """Close at once; the back end drops what it runs for this connection."""
        if self._active and not self._ended:
            # Nothing comes any more, and a reader would not learn it from the transport.
            self._push(self._connection_failure("the connection was closed here"))
        self._ended = True
        if self._rest is not None:
            self._rest.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while self._take_event():
                pass
        except h11.RemoteProtocolError as error:
            self._push(self._connection_failure(f"not an answer: {error}"))
            self.close()

    def _take_event(self) -> bool:
        if self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            return False
        event = self._h11.next_event()
        if event in (h11.NEED_DATA, h11.PAUSED):
            return False
        if isinstance(event, h11.Response):
            self._push(ResponseHead(event.status_code, event.headers.raw_items()))
        elif isinstance(event, h11.Data):
            self._push(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._push(ResponseEnd())
            return False
        elif isinstance(event, h11.ConnectionClosed):
            return False
        return True

    def _push(self, event: ResponseEvent) -> None:
        if isinstance(event, bytes):
            self._unread_bytes += len(event)
            self._pause()
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end(self, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        if self._active:
            self._push(self._connection_failure(reason))
        if self._transport is not None:
            self._transport.abort()

    def _connection_failure(self, reason: str) -> Failure:
        return Failure(
            kind=FailureKind.UNREACHABLE,
            reason=reason,
            step=Step.RELAYING if self._heard else Step.RESPONDING,
            peer=self.address,
            execution=Execution.UNKNOWN,
        )

    def _pause(self) -> None:
        if self._unread_bytes > PAUSE_BYTES:
            self._stop_reading()

    def _resume(self) -> None:
        if self._rest is not None or self._unread_bytes > PAUSE_BYTES:
            return
        if self._paused and self._transport is not None:
            self._paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _stop_reading(self) -> None:
        if self._paused or self._transport is None or self._transport.is_closing():
            return
        self._paused = True
        self._transport.pause_reading()

    def _take_rest(self) -> None:
        if self._ended or self._rest is not None:
            return
        self._stop_reading()
        self._rest = asyncio.get_running_loop().call_later(self._pace_s, self._end_rest)

    def _end_rest(self) -> None:
        if self._rest is not None:
            self._rest.cancel()
            self._rest = None
        self._resume()


class RunnerPool:
    """Idle connections, and how new ones are made."""

    __slots__ = ("_idle", "_loop", "opened")

    def __init__(self) -> None:
        self._idle: dict[str, list[RunnerConnection]] = {}
        self._loop = asyncio.get_running_loop()
        self.opened = 0

    async def acquire(
        self, address: str, idle_share: float, connect_timeout_s: float
    ) -> RunnerConnection | Failure:
        """Return a connection.

        Args:
            address: ``host:port`` of the back end.
            idle_share: Share of the kept time after which an idle connection is not used: one
                that the back end closes meanwhile leaves it open whether the request ran.
            connect_timeout_s: Longest wait for a new one.
        """
        idle = self._idle.get(address, [])
        now_s = self._loop.time()
        while idle:
            connection = idle.pop()
            kept_s = DEFAULT_KEPT_S if connection.keep_alive_s is None else connection.keep_alive_s
            fresh = now_s - connection.idle_since_s <= kept_s * idle_share
            if fresh and connection.is_usable:
                return connection
            connection.close()
        return await self._connect(address, connect_timeout_s)

    def release(self, connection: RunnerConnection, keep: bool) -> None:
        """Take a connection back after an answer, or close it."""
        if not connection.finish_request() or not keep:
            connection.close()
            return
        connection.idle_since_s = self._loop.time()
        idle = self._idle.setdefault(connection.address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.pop(0).close()

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to a back end: one to it was silent, so these may be too."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _connect(self, address: str, timeout_s: float) -> RunnerConnection | Failure:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: RunnerConnection(address), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            return Failure(
                kind=FailureKind.NOT_LISTENING if refused else FailureKind.UNREACHABLE,
                reason=f"no connection: {error or 'timed out'}",
                step=Step.CONNECTING,
                peer=address,
            )
        self.opened += 1
        return connection


DEFAULT_KEPT_S = 4.0
"""Assumed when a back end does not say how long it keeps idle connections."""

MAX_IDLE = 8
"""Idle connections that are kept to one back end."""
