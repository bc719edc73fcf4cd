"""State of a stream in the relay loop, and the interface between the loop and a stream's owner."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from leverjunction.errors import Failure
from leverjunction.gateway.http_server import ClientConnection

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class OutputTimes(NamedTuple):
    """When a run produced output, in monotonic seconds.

    The end of a run is not among them: it is noticed late by a busy process.

    Attributes:
        first_s: Arrival of the first event.
        last_s: Arrival of the last event.
    """

    first_s: float
    last_s: float


class StreamCallbacks(msgspec.Struct, frozen=True, kw_only=True):
    """Callbacks from the relay loop to the owner of a stream.

    Attributes:
        repair: Called in a helper thread when the engine's side failed before the end of the
            stream, with the transcript, the failure, and the times of the events from this side,
            None without any. Returns a new engine's side, or that the response was already
            complete, or the failure that ends the stream.
        on_end: Called in a helper thread at the end of the stream, with the transcript and the
            reason for an early end or None.
        error_event: Returns the server-sent event that reports a failure to the caller.
        runner_is_healthy: Returns whether the gateway that owns the runner can reach it.
    """

    repair: Callable[[bytes, Failure, OutputTimes | None], EngineSide | ResponseComplete | Failure]
    on_end: Callable[[bytes, Failure | None], None]
    error_event: Callable[[Failure], bytes]
    runner_is_healthy: Callable[[], bool]


class EngineSide(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's side of a stream: the connection from which the response body is read.

    Attributes:
        connection: Socket with the rest of the body, which ends when the engine closes it.
        first_bytes: Body bytes that were already read from the socket.
        address: ``host:port`` of the engine.
    """

    connection: socket.socket
    first_bytes: bytes
    address: str


class ResponseComplete(msgspec.Struct, frozen=True):
    """Result of a repair if only the final event was lost and the response is complete."""


class Registration(NamedTuple):
    """Data that the loop's selector stores for a connection.

    Attributes:
        stream: Stream of the connection, None for the loop's own wake-up socket.
        handle: Called with the event mask when the connection is ready.
    """

    stream: RelayStream | None
    handle: Callable[[int], None]


class RelayStream:
    """State of one relayed stream; used by the relay loop's thread only.

    ``transcript`` contains all complete events relayed so far; a repair continues from there.

    Args:
        client: The caller's connection.
        engine: The engine's side; or the reason why there is none, in which case the relay starts
            with a repair.
        callbacks: Callbacks to the stream's owner.
        deadline_s: Monotonic time in seconds at which the stream ends with an error.
        silence_s: Time in seconds without bytes from the engine after which its side has failed.
    """

    __slots__ = (
        "callbacks",
        "client",
        "client_half_closed",
        "deadline_s",
        "engine",
        "failure",
        "finishing",
        "initial_failure",
        "last_byte_s",
        "output",
        "partial",
        "paused",
        "queued",
        "silence_s",
        "transcript",
    )

    def __init__(
        self,
        client: ClientConnection,
        engine: EngineSide | Failure,
        callbacks: StreamCallbacks,
        deadline_s: float,
        silence_s: float,
    ) -> None:
        self.client = client
        self.engine = engine if isinstance(engine, EngineSide) else None
        self.initial_failure = engine if isinstance(engine, Failure) else None
        self.callbacks = callbacks
        self.deadline_s = deadline_s
        self.silence_s = silence_s
        self.transcript = bytearray()
        self.partial = b""
        self.queued = bytearray()
        self.paused = False
        self.client_half_closed = False
        self.last_byte_s = 0.0
        self.output: OutputTimes | None = None
        self.finishing = False
        self.failure: Failure | None = None

    def note_output(self, now_s: float) -> None:
        """Record that an event has arrived from the engine's side."""
        first_s = now_s if self.output is None else self.output.first_s
        self.output = OutputTimes(first_s, now_s)

    def complete_events(self, data: bytes) -> bytes:
        """Return the complete events in ``data`` and keep the rest for the next call.

        Partial events are not relayed, since a repaired stream continues with a complete event.
        """
        if not self.partial and data.endswith(EVENT_END):
            return data
        data = self.partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.partial = data
            return b""
        end += len(EVENT_END)
        self.partial = data[end:]
        return data[:end]

    def encode_body(self, data: bytes) -> bytes:
        """Return body bytes in the transfer coding of the caller's connection."""
        if not self.client.chunked:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
