"""HTTP/1.1 server side of the proxy: one caller's connection, on asyncio and h11.

A request is handled by a task of its own, which is cancelled when the caller goes away. h11 checks
the framing in both directions, so an answer that ends early never looks complete.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import h11
from loguru import logger

from leverjunction.proxy.dialect import RawHeaders
from leverjunction.proxy.headers import find
from leverjunction.quarantine.request_key import RequestContent
from leverjunction.routes.types import RequestLimits

CONTINUE = 100
FIRST_REQUEST_S = 0.5
"""Time in which a caller that has just connected sends its request: it is on its way by then, and a
planned stop waits for it.
"""

_REASONS = {400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large"}


class CallerRequest:
    """One whole request.

    Attributes:
        method: Its method.
        target: Path and query, as they came.
        headers: Its header fields.
        body: Its body, without transfer coding.
        arrived_s: When its last byte came, monotonic seconds.
    """

    __slots__ = ("arrived_s", "body", "headers", "method", "target")

    def __init__(
        self, method: bytes, target: bytes, headers: RawHeaders, body: bytes, arrived_s: float
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """The query, without its question mark."""
        return self.target.partition(b"?")[2].decode("latin-1")


def request_content(request: CallerRequest) -> RequestContent:
    """Return what stays when a caller sends its request again."""
    return RequestContent(
        host=find(request.headers, b"host") or b"",
        method=request.method,
        target=request.target,
        credentials=find(request.headers, b"authorization") or b"",
        body=request.body,
    )


class Responder:
    """Writes the answer to one request."""

    __slots__ = ("_connection", "started")

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self.started = False

    def send_head(self, status: int, headers: RawHeaders) -> None:
        """Write status and headers; without a Content-Length the body is chunked."""
        self.started = True
        self._connection.write_head(status, headers)

    async def send_data(self, data: bytes, until_s: float) -> None:
        """Write a part of the body; waits while the caller does not read.

        Raises:
            TimeoutError: The caller took too little until then.
        """
        self._connection.write_event(h11.Data(data=data))
        await self._connection.writable(until_s)

    def finish(self) -> None:
        """End the answer as complete."""
        self._connection.write_event(h11.EndOfMessage())

    def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Write a whole answer."""
        self.send_head(status, [*headers, (b"Content-Length", b"%d" % len(body))])
        if body:
            self._connection.write_event(h11.Data(data=body))
        self.finish()

    def abort(self) -> None:
        """End the connection so that the answer does not look complete."""
        self._connection.abort()


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class CallerPort:
    """What all connections of one listening port share.

    Attributes:
        handler: Answers a request.
        limits: Bounds on what callers send, as they are at the moment.
        leaving: True once each answer shall end its connection.
        connections: Those that are open.
    """

    __slots__ = ("connections", "handler", "leaving", "limits")

    def __init__(self, handler: Handler, limits: Callable[[], RequestLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.leaving = False
        self.connections: set[CallerConnection] = set()

    def busy(self) -> int:
        """Return on how many connections a request is under way, or about to come."""
        return sum(1 for connection in self.connections if connection.is_busy)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way, nor about to come."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()


class CallerConnection(asyncio.Protocol):
    """One connection; created by the event loop for each caller that connects."""

    def __init__(self, port: CallerPort) -> None:
        self._port = port
        self._limits = port.limits()
        self._loop = asyncio.get_running_loop()
        self._h11 = self._new_parser()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._receiving = False
        self._writable: asyncio.Future[None] | None = None
        self._first_until_s = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or answered, or about to come on a new connection."""
        is_new = self._loop.time() < self._first_until_s
        return self._receiving or self._task is not None or is_new

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._first_until_s = self._loop.time() + FIRST_REQUEST_S
        self._port.connections.add(self)
        self._wait_idle()

    def data_received(self, data: bytes) -> None:
        """Take bytes; those that come while an answer is under way wait for their turn."""
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self.abort()
            return
        if self._task is None:
            self._advance()

    def eof_received(self) -> bool:
        """The caller left: nobody reads the answer any more."""
        self._cancel()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that left."""
        self._port.connections.discard(self)
        self._stop_timer()
        self._cancel()
        self.resume_writing()

    def pause_writing(self) -> None:
        """The caller does not read fast enough."""
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        """The caller reads again, or is gone."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def writable(self, until_s: float) -> None:
        """Wait until more may be written; raises TimeoutError when it takes too long."""
        if self._writable is not None:
            async with asyncio.timeout_at(until_s):
                await self._writable

    def write_head(self, status: int, headers: RawHeaders) -> None:
        """Write status and headers."""
        if self._port.leaving:
            headers = [*headers, (b"Connection", b"close")]
        self.write_event(h11.Response(status_code=status, headers=headers))

    def write_event(self, event: h11.Event) -> None:
        """Write one part of the answer."""
        data = self._h11.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Close after what is written has left."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._stop_timer()
        if self._transport is not None:
            self._transport.abort()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes)

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _advance(self) -> None:
        """Handle what has come, up to the end of one request."""
        try:
            while self._task is None and self._next_event():
                pass
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or 400)

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            if not self._receiving and self._h11.trailing_data[0]:
                self._receiving = True
                self._set_timer(self._limits.header_timeout_ms, lambda: self._refuse(408))
            if self._h11.they_are_waiting_for_100_continue:
                self.write_event(h11.InformationalResponse(status_code=CONTINUE, headers=[]))
            return False
        if isinstance(event, h11.Request):
            self._receiving = True
            self._request = event
            self._set_timer(self._limits.idle_timeout_ms, lambda: self._refuse(408))
            return True
        if isinstance(event, h11.Data):
            return self._take_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._start()
        return False

    def _take_body(self, data: bytes) -> bool:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse(413)
            return False
        self._body.append(data)
        return True

    def _start(self) -> None:
        self._stop_timer()
        self._first_until_s = 0.0
        head = self._request
        assert head is not None
        request = CallerRequest(
            head.method,
            head.target,
            head.headers.raw_items(),
            b"".join(self._body),
            self._loop.time(),
        )
        self._request, self._body, self._body_bytes = None, [], 0
        self._receiving = False
        self._task = self._loop.create_task(self._handle(request))

    async def _handle(self, request: CallerRequest) -> None:
        responder = Responder(self)
        try:
            await self._port.handler(request, responder)
        except asyncio.CancelledError:
            self.abort()
            return
        except Exception:
            logger.exception("a request was broken off by a fault of this program")
            self.abort()
            return
        finally:
            self._task = None
        self._finish()

    def _finish(self) -> None:
        """Go on with the next request, or close."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self.close()
            return
        self._h11.start_next_cycle()
        self._limits = self._port.limits()
        self._wait_idle()
        self._advance()

    def _wait_idle(self) -> None:
        self._set_timer(self._limits.idle_timeout_ms, self.close)

    def _set_timer(self, after_ms: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(after_ms / 1000, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refuse(self, status: int) -> None:
        """Refuse a request that did not come whole, and close: its end is not known."""
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(h11.LocalProtocolError):
                self.write_event(h11.Response(status_code=status, headers=headers))
                self.write_event(h11.EndOfMessage())
        self.close()
