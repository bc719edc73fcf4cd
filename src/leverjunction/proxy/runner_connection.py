"""HTTP/1.1 client side of the proxy: connections to back ends, on asyncio and h11."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import h11

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.answer_bounds import (
    MAX_HEAD_BYTES,
    MAX_SURPLUS_ANSWERS,
    MAX_SURPLUS_BYTES,
    AnswerBounds,
)
from leverjunction.proxy.answer_owner import AnswerOwner, CarriedRequests
from leverjunction.proxy.dialect import RawHeaders, ResponseMetadata
from leverjunction.proxy.keepalive import enable_keepalive
from leverjunction.wire.joined_heads import holds_status_line

MAX_UNREAD_BYTES = 256 * 1024
"""Bytes of a response waiting for its reader above which reading from the socket is paused."""

READ_BYTES = 64 * 1024
"""Largest single read. Larger ones of many connections at once take more memory than all that is
kept for slow callers.
"""

PAUSED_READ_BYTES = 256 * 1024
"""Largest single read of a response that is read with pauses, which bound its rate."""

PART_OVERHEAD_BYTES = 64
"""Memory that a part of a response takes besides its bytes: parts of one byte take mostly this."""

TOO_LONG_HINT = 431
"""Status that h11 suggests when a part of the framing exceeds its limit."""


class ResponseHead:
    """Status and headers of a back end's response, and what they say."""

    __slots__ = ("headers", "metadata", "status")

    def __init__(self, status: int, headers: RawHeaders, metadata: ResponseMetadata) -> None:
        self.status = status
        self.headers = headers
        self.metadata = metadata


ReadMetadata = Callable[[RawHeaders], ResponseMetadata]
"""Reads the headers of a response (``Dialect.read_response``)."""


class ResponseEnd:
    """Marks the regular end of a response."""

    __slots__ = ()


ResponseEvent = ResponseHead | bytes | ResponseEnd | Failure


class RunnerConnection(asyncio.Protocol):
    """A connection to a back end, which carries one request at a time.

    Attributes:
        address: ``host:port`` of the back end.
        number: Its number in the pool, for log lines.
        carried: The requests that it has carried.
        skipped: Answers to earlier ones that came instead of the answer to the current one.
        idle_since_s: Time at which the connection last became idle, in monotonic seconds.
        keep_alive_s: Time for which the back end keeps an idle connection open, in seconds; None
            if it has not stated one.
    """

    def __init__(self, address: str, number: int = 0) -> None:
        self.address = address
        self.number = number
        self.carried = CarriedRequests()
        self.skipped = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._events: deque[ResponseEvent] = deque()
        self._unread_bytes = 0
        self._paused = False
        self._read_interval_s = 0.0
        self._pause_timer: asyncio.TimerHandle | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self._in_use = False
        self._response_started = False
        self._response_ended = False
        self._bounds = AnswerBounds()
        self._method = b""
        self._read_metadata: ReadMetadata = _no_metadata
        self._is_skipping = False
        self._surplus_bytes = 0

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent: the connection is open and its parser is idle."""
        return (
            not self._ended
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.IDLE
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive probes."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._set_read_bytes(READ_BYTES)
        enable_keepalive(transport)

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response; data that belongs to no request closes the connection."""
        if not self._in_use:
            self.close()
            return
        if self._response_ended:
            self._on_closed("data after the end of the response")
            return
        self._response_started = True
        self._feed(data)
        if self._read_interval_s:
            self._pause_until_next_read()

    def eof_received(self) -> bool:
        """Handle the back end's close, which regularly ends only a response without a length."""
        if self._in_use:
            self._feed(b"")
        self._on_closed("the back end closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress with a failure."""
        self._on_closed(f"the connection was lost ({exc})" if exc else "the connection was closed")

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        request_id: str = "",
        read_metadata: ReadMetadata | None = None,
    ) -> None:
        """Send a complete request; Content-Length is added where the method or body needs it.

        Answers to earlier requests of this connection that arrive before the own one are skipped.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Header fields without Content-Length.
            body: The whole body.
            request_id: Id that the answer will echo; empty if the request has none.
            read_metadata: Reads the headers of answers.
        """
        assert self._transport is not None
        self.carried.add(request_id)
        self._method = method
        self._read_metadata = read_metadata or _no_metadata
        self.skipped = self._surplus_bytes = 0
        self._in_use = True
        self._response_started = False
        self._response_ended = False
        self._bounds = AnswerBounds()
        framed_headers = [*headers]
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed_headers.append((b"Content-Length", b"%d" % len(body)))
        parts = [
            self._h11.send(h11.Request(method=method, target=target, headers=framed_headers)) or b""
        ]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        self._transport.write(b"".join(parts))

    async def next_event(self) -> ResponseEvent:
        """Return the next part of the response; a ``ResponseEnd`` or a failure is the last one.

        All content that has arrived is returned at once, so that tiny chunks cost no call each.
        """
        await self.wait_event()
        event = self._events.popleft()
        if not isinstance(event, bytes):
            return event
        parts = [event]
        while self._events and isinstance(part := self._events[0], bytes):
            parts.append(part)
            self._events.popleft()
        content = parts[0] if len(parts) == 1 else b"".join(parts)
        self._unread_bytes -= len(content) + len(parts) * PART_OVERHEAD_BYTES
        self._resume_if_drained()
        return content

    async def wait_event(self) -> None:
        """Wait until ``next_event`` can return without waiting."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def set_read_interval(self, interval_s: float) -> None:
        """Pause reading after each read, for the rest of this response.

        This batches the events of a stream whose latency does not matter. Without it every event
        costs a wake-up of the event loop.

        Args:
            interval_s: Pause between two reads, in seconds; 0 reads without pauses.
        """
        self._read_interval_s = interval_s
        self._set_read_bytes(PAUSED_READ_BYTES if interval_s else READ_BYTES)

    def finish_request(self) -> bool:
        """End the current request; return whether the connection can be reused for another.

        A connection that cannot be reused is closed.
        """
        self._in_use = False
        self.set_read_interval(0.0)
        self._end_read_pause()
        is_complete = (
            not self._ended
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )
        if not is_complete:
            self.close()
            return False
        self._h11.start_next_cycle()
        return self.is_usable

    def close(self) -> None:
        """Close at once; the back end cancels the request that it runs for this connection."""
        if self._in_use and not self._ended:
            # The transport does not report this close to a reader that waits for an event.
            self._emit(self._connection_failure("the connection was closed by this process"))
        self._ended = True
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        parts = 0
        try:
            self._h11.receive_data(data)
            while self._take_event():
                parts += 1
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == TOO_LONG_HINT:
                self._break_off(f"a head, chunk header or trailer exceeds {MAX_HEAD_BYTES} bytes")
                return
            self._emit(self._connection_failure(f"invalid HTTP response: {error}"))
            self.close()
            return
        if not self._response_ended:
            is_partial = bool(self._h11.trailing_data[0])
            now_s = asyncio.get_running_loop().time()
            exceeded = self._bounds.exceeded(len(data), parts, is_partial, now_s)
            if exceeded:
                self._break_off(exceeded)

    def _break_off(self, reason: str) -> None:
        """Close the connection because of a response without end."""
        self._emit(endless_failure(self.address, reason, self._response_started))
        self._ended = True
        self.close()

    def _take_event(self) -> bool:
        if self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            return False
        event = self._h11.next_event()
        if event in (h11.NEED_DATA, h11.PAUSED):
            return False
        if isinstance(event, h11.Response):
            return self._take_head(event)
        if isinstance(event, h11.Data):
            return self._skip(len(event.data)) if self._is_skipping else self._take_body(event)
        if isinstance(event, h11.EndOfMessage):
            if self._is_skipping:
                self._await_next_answer()
                return True
            self._response_ended = True
            self._emit(ResponseEnd())
            return False
        return not isinstance(event, h11.ConnectionClosed)

    def _take_head(self, event: h11.Response) -> bool:
        """Emit the head of the own answer; begin to skip the answer to an earlier request."""
        self._bounds.head_ended()
        headers = event.headers.raw_items()
        if any(holds_status_line(text) for text in (event.reason, *(item[1] for item in headers))):
            raise h11.RemoteProtocolError("a status line within the head")
        metadata = self._read_metadata(headers)
        if self.carried.owner_of(metadata.request_id) is AnswerOwner.EARLIER:
            self._is_skipping = True
            self.skipped += 1
            return self._skip(0)
        self._emit(ResponseHead(event.status_code, headers, metadata))
        return True

    def _take_body(self, event: h11.Data) -> bool:
        self._emit(bytes(event.data))
        return True

    def _skip(self, size_bytes: int) -> bool:
        """Skip a part of an answer to an earlier request; return whether to go on reading."""
        self._surplus_bytes += size_bytes
        if self._surplus_bytes <= MAX_SURPLUS_BYTES and self.skipped <= MAX_SURPLUS_ANSWERS:
            return True
        self._break_off("answers to earlier requests do not end")
        return False

    def _await_next_answer(self) -> None:
        """Continue with the bytes after a skipped answer, which the own one may begin with.

        The parser takes one answer for each request, so another one waits for the next answer.
        """
        rest, _ = self._h11.trailing_data
        self._h11 = _waiting_parser(self._method)
        self._is_skipping = self._response_started = False
        self._bounds = AnswerBounds()
        if rest:
            self._h11.receive_data(rest)

    def _emit(self, event: ResponseEvent) -> None:
        if isinstance(event, bytes):
            self._unread_bytes += len(event) + PART_OVERHEAD_BYTES
            self._pause_if_full()
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_closed(self, reason: str) -> None:
        if self._ended:
            return
        self._ended = True
        if self._in_use and not self._response_ended:
            self._emit(self._connection_failure(reason))
        if self._transport is not None:
            self._transport.abort()

    def _connection_failure(self, reason: str) -> Failure:
        return Failure(
            kind=FailureKind.UNREACHABLE,
            reason=reason,
            step=Step.RELAYING if self._response_started else Step.RESPONDING,
            peer=self.address,
            execution=Execution.UNKNOWN,
        )

    def _pause_if_full(self) -> None:
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self._stop_reading()

    def _resume_if_drained(self) -> None:
        if self._pause_timer is not None or self._unread_bytes > MAX_UNREAD_BYTES:
            return
        if self._paused and self._transport is not None:
            self._paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _set_read_bytes(self, size_bytes: int) -> None:
        # Transports of other event loops read as much as they like.
        if self._transport is not None and hasattr(self._transport, "max_size"):
            self._transport.max_size = size_bytes

    def _stop_reading(self) -> None:
        if self._paused or self._transport is None or self._transport.is_closing():
            return
        self._paused = True
        self._transport.pause_reading()

    def _pause_until_next_read(self) -> None:
        if self._ended or self._pause_timer is not None:
            return
        self._stop_reading()
        self._pause_timer = asyncio.get_running_loop().call_later(
            self._read_interval_s, self._end_read_pause
        )

    def _end_read_pause(self) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        self._resume_if_drained()


def _no_metadata(_headers: RawHeaders) -> ResponseMetadata:
    return ResponseMetadata()


def _waiting_parser(method: bytes) -> h11.Connection:
    """Return a parser in the state in which a request has been sent and not been answered."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.send(h11.Request(method=method, target=b"/", headers=[(b"Host", b"")]))
    parser.send(h11.EndOfMessage())
    return parser


def endless_failure(address: str, reason: str, is_relaying: bool = True) -> Failure:
    """Return the failure of a request whose back end sends bytes that do not become an answer.

    It is none of a lost run: the back end has not crashed, and the request is not to blame.
    """
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason=f"the back end's bytes are no answer: {reason}",
        step=Step.RELAYING if is_relaying else Step.RESPONDING,
        peer=address,
        execution=Execution.UNKNOWN,
    )
