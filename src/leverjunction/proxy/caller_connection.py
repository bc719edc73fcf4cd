"""HTTP/1.1 server side of the proxy: connections of callers, on asyncio and h11.

Each request is handled by its own task, which is cancelled when the caller disconnects. h11 checks
the framing in both directions, so a truncated response never looks complete.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections import deque
from collections.abc import Awaitable, Callable
from enum import StrEnum

import h11
from loguru import logger

from leverjunction.proxy.answer_buffer import KeptAnswer
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.dialect import RawHeaders
from leverjunction.proxy.kept_answers import KeptAnswers, lift_unsent_limit, limit_unsent
from leverjunction.proxy.read_ahead import ReadAhead
from leverjunction.proxy.request_buffer import KeptRequest, RequestBuffer
from leverjunction.routes.types import RequestLimits

CONTINUE_STATUS = 100
FIRST_REQUEST_S = 0.5
"""Time for which a new connection without a request counts as busy.

A caller that has just connected has usually sent its request already, so a planned stop must not
close the connection yet.
"""

NEXT_REQUEST_S = 0.2
"""Time for which a connection counts as busy after an answer, while the process is stopping.

Its caller was not told that the connection closes if the head went out before, and a request that
crosses the close would not be answered.
"""

LINGER_MS = 1000.0
"""Time for a caller that still sends to read its answer, before its connection is closed."""

READ_PAUSE_S = 0.25
"""Longest pause in reading from a back end because of its caller. Back ends cut an answer that
stays unread for some seconds; a lagging caller has room for a megabyte a second meanwhile.
"""

PIECE_BYTES = 16 * 1024
"""Small writes that are kept are joined up to this size."""

END_TIMEOUT_S = 0.1
"""Time for the handlers of requests to end because the process does."""

MAX_BODY_CHUNKS = 16 * 1024
"""Chunks of one request's body: each takes time of the event loop to parse, whatever its size. A
body of 4 MB may come in chunks of 256 bytes.
"""

ROOM_LOG_INTERVAL_S = 10.0

UNAVAILABLE_STATUS = 503


class EndCause(StrEnum):
    """Why the handler of a request is cancelled."""

    CALLER_LEFT = "the caller disconnected"
    CALLER_SLOW = "the caller read too slowly"
    STOPPED = "this gateway stops"


class Responder:
    """Writes the response to one request.

    Attributes:
        started: The head has been written, so the status can no longer change.
    """

    __slots__ = ("_connection", "started")

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self.started = False

    def describe(
        self, tenant: str, rank: tuple[int, int], may_continue: bool, until_s: float
    ) -> None:
        """Tell whose response it is, which decides whom to drop if callers read too slowly.

        Args:
            tenant: Tenant of the request; empty if it has none.
            rank: Priorities of its tenant and of its route, where 0 is the most urgent.
            may_continue: Whether the caller may continue the response elsewhere.
            until_s: Deadline of the request, in the loop's seconds.
        """
        self._connection.describe(tenant, rank, may_continue, until_s)

    @property
    def end_cause(self) -> EndCause:
        """Why the request's handler is cancelled, if it is."""
        return self._connection.end_cause

    def send_head(self, status: int, headers: RawHeaders) -> None:
        """Write status and headers; without a Content-Length header the body is sent chunked."""
        self.started = True
        self._connection.write_head(status, headers)

    async def send_data(self, data: bytes, until_s: float) -> None:
        """Write a part of the body and wait until the next one may be read.

        Without ``CallerPort.kept`` this is when the send buffer has room again.

        Args:
            data: Part of the body.
            until_s: Deadline for the wait, in the loop's seconds.

        Raises:
            TimeoutError: The caller did not read enough before the deadline.
        """
        self._connection.write_event(h11.Data(data=data))
        await self._connection.wait_writable(until_s)

    def finish(self) -> None:
        """Complete the response."""
        self._connection.write_event(h11.EndOfMessage())

    def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Write a complete response; its length is added to the headers."""
        self.send_head(status, [*headers, (b"Content-Length", b"%d" % len(body))])
        if body:
            self._connection.write_event(h11.Data(data=body))
        self.finish()

    def abort(self) -> None:
        """Abort the connection, so that the response does not look complete."""
        self._connection.abort()


Handler = Callable[[CallerRequest, Responder], Awaitable[None]]


class CallerPort:
    """State shared by all connections of one listening port.

    Attributes:
        handler: Answers a request.
        limits: Returns the current limits on requests.
        draining: Each response closes its connection, because the process is stopping.
        connections: Open connections.
        taken: Requests that were read whole since the start.
        read_pauses: Times since the start that a connection was not read on because its caller had
            pipelined much.
        kept: Counts what is kept for slow callers; None to wait for each caller instead.
        bodies: Counts what is kept of requests; None for no bound on their sum.
        refused_for_room: Requests since the start that were refused while they were received,
            because too much was kept of all.
    """

    __slots__ = (
        "_room_logged_s",
        "bodies",
        "connections",
        "draining",
        "handler",
        "kept",
        "limits",
        "read_pauses",
        "refused_for_room",
        "taken",
    )

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], RequestLimits],
        kept: KeptAnswers | None = None,
        bodies: RequestBuffer | None = None,
    ) -> None:
        self.kept = kept
        self.bodies = bodies
        self.refused_for_room = 0
        self._room_logged_s = float("-inf")
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.taken = 0
        self.read_pauses = 0
        self.connections: set[CallerConnection] = set()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress, or probably in transit.

        A request is in progress until all of its response is sent.
        """
        return sum(1 for connection in self.connections if connection.is_busy)

    def close_idle(self) -> int:
        """Close the connections that are not busy, except those with unread bytes.

        Returns:
            The number of connections that are left open because of unread bytes.
        """
        idle = [connection for connection in self.connections if not connection.is_busy]
        unread = 0
        for connection in idle:
            if connection.has_unread:
                unread += 1
            else:
                connection.close()
        return unread

    def refuse_incomplete(self) -> None:
        """Refuse the requests that are still being received: they have not run."""
        for connection in list(self.connections):
            connection.refuse_incomplete()

    def keep_body(self, request: KeptRequest, kept_bytes: int) -> None:
        """Count what is kept of a request, and refuse unfinished ones beyond the room for all."""
        if self.bodies is None:
            return
        self.bodies.update(request, kept_bytes)
        while (refused := self.bodies.next_refusal()) is not None:
            self._log_refusal(self.bodies, refused)
            self.refused_for_room += 1
            self.bodies.update(refused, 0)
            for connection in [item for item in self.connections if item.kept_request is refused]:
                connection.refuse_incomplete()

    def _log_refusal(self, bodies: RequestBuffer, refused: KeptRequest) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._room_logged_s >= ROOM_LOG_INTERVAL_S:
            self._room_logged_s = now_s
            logger.warning(
                "refused an unfinished request of {} bytes: {} bytes of requests are kept, {} are"
                " allowed; {} were refused before",
                refused.kept_bytes,
                bodies.total_bytes,
                bodies.limit_bytes,
                self.refused_for_room,
            )

    async def answer_rest(self) -> int:
        """End the requests whose answer has not begun with an answer; return their number."""
        return await self._end([item for item in self.connections if item.is_unanswered])

    def hand_over_answers(self) -> None:
        """Give the kernel all it takes of the whole answers whose callers lag."""
        for connection in list(self.connections):
            connection.hand_over_answer()

    async def cut(self) -> int:
        """Abort the connections on which an answer has begun; return their number."""
        return await self._end([item for item in self.connections if item.is_answering])

    async def _end(self, connections: list[CallerConnection]) -> int:
        tasks = [task for item in connections if (task := item.end_request()) is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=END_TIMEOUT_S)
        return len(connections)


class CallerConnection(asyncio.Protocol):
    """One caller's connection; the event loop creates one for each accepted socket."""

    def __init__(self, port: CallerPort) -> None:
        self._port = port
        self._limits = port.limits()
        self._loop = asyncio.get_running_loop()
        self._h11 = self._new_parser()
        self._transport: asyncio.Transport | None = None
        self._read_ahead: ReadAhead | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._body_chunks = 0
        self._is_receiving = False
        self._write_resumed: asyncio.Future[None] | None = None
        self._request_due_until_s = 0.0
        self._written_bytes = 0
        self._pieces: deque[bytearray] = deque()
        self._pieces_bytes = 0
        self._is_paused = False
        self._closes_when_sent = False
        self._is_ending = False
        self._is_lingering = False
        self._responder: Responder | None = None
        self.kept = KeptAnswer()
        self.kept_request = KeptRequest()

    @property
    def end_cause(self) -> EndCause:
        """Why the handler of the current request is cancelled, if it is."""
        if self._is_ending:
            return EndCause.STOPPED
        return EndCause.CALLER_SLOW if self.kept.is_dropped else EndCause.CALLER_LEFT

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or probably in transit."""
        is_due = self._loop.time() < self._request_due_until_s
        return self._is_receiving or is_due or self._is_lingering or self.is_answering

    def count_kept(self) -> tuple[int, int]:
        """Return the bytes that wait to be sent, and those that were sent so far."""
        unsent_bytes = 0 if self._transport is None else self._transport.get_write_buffer_size()
        kept_bytes = self._pieces_bytes + unsent_bytes
        return kept_bytes, self._written_bytes - kept_bytes

    def describe(
        self, tenant: str, rank: tuple[int, int], may_continue: bool, until_s: float
    ) -> None:
        """Tell whose response is written next, see ``Responder.describe``."""
        if self._port.kept is not None:
            self._port.kept.buffer.describe(self.kept, tenant, rank, may_continue, until_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._read_ahead = ReadAhead(transport, self._cancel)
        self._request_due_until_s = self._loop.time() + FIRST_REQUEST_S
        self._port.connections.add(self)
        if self._port.kept is not None:
            limit_unsent(transport)
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pipelined requests wait until the current one is answered."""
        if self._closes_when_sent or self._is_lingering:
            return
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self.abort()
            return
        if self._task is None:
            self._advance()
        self._update_reading()

    def eof_received(self) -> bool:
        """Cancel the request in progress: the caller has closed its side of the connection."""
        self._cancel()
        # A caller that sends nothing more may still read what is kept for it.
        self._closes_when_sent = self._task is None and bool(self._pieces)
        return self._closes_when_sent

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and wake up a writer that waits."""
        self._port.connections.discard(self)
        if self._port.kept is not None:
            self._port.kept.remove(self)
        self._stop_timer()
        if self._read_ahead is not None:
            self._read_ahead.stop()
        self._drop_body()
        self._cancel()
        self._drop_pieces()
        self._wake_writer()

    def pause_writing(self) -> None:
        """Keep what is written from now on: the transport's send buffer is full."""
        self._is_paused = True
        self._stop_writer_if_full()

    def resume_writing(self) -> None:
        """Write what was kept: the transport's send buffer has room again."""
        self._is_paused = False
        while self._pieces and not self._is_paused and self._transport is not None:
            piece = self._pieces.popleft()
            self._pieces_bytes -= len(piece)
            self._transport.write(piece)
        kept = self._port.kept
        if kept is None or self._pieces_bytes <= kept.buffer.answer_limit_bytes // 2:
            self._wake_writer()
        if self._closes_when_sent and not self._pieces:
            self._close_after_answer()

    def _stop_writer_if_full(self) -> None:
        kept = self._port.kept
        is_full = kept is None or self._pieces_bytes > kept.buffer.answer_limit_bytes
        if is_full and self._write_resumed is None:
            self._write_resumed = self._loop.create_future()

    def _wake_writer(self) -> None:
        """Wake up a writer that waits: there is room, or the connection is lost."""
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None

    async def wait_writable(self, until_s: float) -> None:
        """Wait until the send buffer has room, or the budget for slow callers allows to go on.

        Args:
            until_s: Deadline in the loop's seconds.

        Raises:
            TimeoutError: The deadline has passed.
        """
        kept = self._port.kept
        if kept is None:
            if self._write_resumed is not None:
                async with asyncio.timeout_at(until_s):
                    await self._write_resumed
            return
        if self._write_resumed is not None and not kept.buffer.may_read_on():
            left_s = max(0.0, until_s - self._loop.time())
            await asyncio.wait([self._write_resumed], timeout=min(left_s, READ_PAUSE_S))
            if self._write_resumed is not None and self._loop.time() >= until_s:
                raise TimeoutError
        if self._transport is None or self._transport.is_closing():
            # The loss of the connection cancels this task.
            await self._loop.create_future()

    def write_head(self, status: int, headers: RawHeaders) -> None:
        """Write status and headers."""
        if self._port.draining:
            headers = [*headers, (b"Connection", b"close")]
        self.write_event(h11.Response(status_code=status, headers=headers))

    def write_event(self, event: h11.Event) -> None:
        """Write one h11 event of the response."""
        data = self._h11.send(event)
        if data and self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(data)
            if self._port.kept is None:
                self._transport.write(data)
                return
            if self._is_paused:
                self._keep(data)
            else:
                self._transport.write(data)
            self._port.kept.update(self)

    def _keep(self, data: bytes) -> None:
        if self._pieces and len(self._pieces[-1]) + len(data) <= PIECE_BYTES:
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))
        self._pieces_bytes += len(data)
        self._stop_writer_if_full()

    def _drop_pieces(self) -> None:
        self._pieces.clear()
        self._pieces_bytes = 0

    def close(self) -> None:
        """Close once everything that was written has been sent."""
        self._stop_timer()
        self._closes_when_sent = bool(self._pieces)
        if self._transport is not None and not self._pieces:
            self._transport.close()

    def _close_after_answer(self, is_unread: bool = False) -> None:
        """Close once the answer has been sent and, where more may come, the caller has closed.

        A socket that is closed with unread input, or that receives more, resets its connection:
        the caller could no longer receive the rest of its answer.

        Args:
            is_unread: Whether the request was not received to its end.
        """
        transport = self._transport
        may_receive = is_unread or self._port.draining
        if transport is None or self._pieces or not may_receive or not transport.can_write_eof():
            self.close()
            return
        try:
            transport.write_eof()
        except OSError as error:
            logger.debug("a caller has reset its connection: {}", error)
            self.close()
            return
        self._is_lingering = True
        self._is_receiving = False
        if self._read_ahead is not None:
            self._read_ahead.update(0)
        self._set_timer(LINGER_MS, self.close)

    def abort(self) -> None:
        """Close at once; data that was not sent yet is lost."""
        self._stop_timer()
        self._drop_pieces()
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_answering(self) -> bool:
        """Whether a request is in progress, or not all of its answer is sent."""
        return self._task is not None or self.count_kept()[0] > 0

    @property
    def has_unread(self) -> bool:
        """Whether the event loop has yet to read bytes, or the end, that have arrived.

        After a pause of the process that may be a whole request, which closing would reset.
        """
        transport = self._transport
        connection = None if transport is None else transport.get_extra_info("socket")
        if transport is None or connection is None or transport.is_closing():
            return False
        descriptor = connection.fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    @property
    def is_unanswered(self) -> bool:
        """Whether a request is in progress of whose answer nothing has been written."""
        return self._responder is not None and not self._responder.started

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, if any: it will not run."""
        if self._is_receiving and self._task is None:
            self._refuse(UNAVAILABLE_STATUS)

    def hand_over_answer(self) -> None:
        """Give the kernel all it takes of a whole answer: it sends on after the process ends."""
        if self._task is None and self.count_kept()[0] and self._transport is not None:
            lift_unsent_limit(self._transport)

    def end_request(self) -> asyncio.Task[None] | None:
        """Cancel the request in progress because the process ends; return its handler, if any."""
        self._is_ending = True
        task = self._task
        if task is None:
            self.abort()
        self._cancel()
        return task

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes)

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _update_reading(self) -> None:
        if self._task is None and (self._read_ahead is None or not self._read_ahead.is_paused):
            return
        waiting_bytes = len(self._h11.trailing_data[0]) if self._task is not None else 0
        if self._read_ahead is not None and self._read_ahead.update(waiting_bytes):
            self._port.read_pauses += 1

    def _advance(self) -> None:
        """Process received bytes up to the end of one request."""
        try:
            while self._task is None and self._next_event():
                pass
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or 400)

    def _next_event(self) -> bool:
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            if not self._is_receiving and self._h11.trailing_data[0]:
                self._is_receiving = True
                self._set_timer(self._limits.header_timeout_ms, lambda: self._refuse(408))
            if self._h11.they_are_waiting_for_100_continue:
                self.write_event(h11.InformationalResponse(status_code=CONTINUE_STATUS, headers=[]))
            return False
        if isinstance(event, h11.Request):
            self._is_receiving = True
            self._request = event
            self._set_timer(self._limits.idle_timeout_ms, lambda: self._refuse(408))
            return True
        if isinstance(event, h11.Data):
            return self._receive_body(event)
        if isinstance(event, h11.EndOfMessage):
            self._start_request()
        return False

    def _receive_body(self, event: h11.Data) -> bool:
        self._body += event.data
        self._body_chunks += event.chunk_start
        if len(self._body) > self._limits.max_body_bytes or self._body_chunks > MAX_BODY_CHUNKS:
            self._refuse(413)
            return False
        self._port.keep_body(self.kept_request, len(self._body))
        # This request itself may have been refused to make room.
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def _start_request(self) -> None:
        self._stop_timer()
        self._port.taken += 1
        self._request_due_until_s = 0.0
        head = self._request
        assert head is not None
        request = CallerRequest(
            head.method,
            head.target,
            head.headers.raw_items(),
            bytes(self._body),
            self._loop.time(),
        )
        self._request = None
        self.kept_request.is_whole = True
        self._drop_body()
        self._is_receiving = False
        self._task = self._loop.create_task(self._handle(request))

    def _drop_body(self) -> None:
        self._body = bytearray()
        self._body_chunks = 0
        if not self.kept_request.is_whole:
            self._port.keep_body(self.kept_request, 0)

    async def _handle(self, request: CallerRequest) -> None:
        responder = self._responder = Responder(self)
        try:
            await self._port.handler(request, responder)
        except asyncio.CancelledError:
            self.abort()
            return
        except Exception:
            logger.exception(
                "unhandled exception while answering a request; its connection is aborted"
            )
            self.abort()
            return
        finally:
            self._task = None
            self._responder = None
            self.kept_request.is_whole = False
            self._port.keep_body(self.kept_request, 0)
        self._finish()

    def _finish(self) -> None:
        """Continue with the next request on this connection, or close it."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self._close_after_answer()
            return
        self._h11.start_next_cycle()
        if self._port.draining:
            self._request_due_until_s = self._loop.time() + NEXT_REQUEST_S
        self._limits = self._port.limits()
        self._start_idle_timer()
        self._advance()
        self._update_reading()

    def _start_idle_timer(self) -> None:
        self._set_timer(self._limits.idle_timeout_ms, self._close_idle)

    def _close_idle(self) -> None:
        if self.count_kept()[0]:
            # The caller still reads, and may send its next request afterwards.
            self._start_idle_timer()
        else:
            self.close()

    def _set_timer(self, after_ms: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(after_ms / 1000, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refuse(self, status: int) -> None:
        """Refuse an incomplete request and close: the start of a next one could not be found."""
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with contextlib.suppress(h11.LocalProtocolError):
                self.write_event(h11.Response(status_code=status, headers=headers))
                self.write_event(h11.EndOfMessage())
        self._drop_body()
        self._close_after_answer(is_unread=True)
