"""One stream on its way through the relay loop."""

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


class StreamCallbacks(msgspec.Struct, frozen=True, kw_only=True):
    """What the relay loop asks and tells the owner of a stream.

    Attributes:
        repair: The engine's side broke before the end; a helper thread runs this and returns a new
            engine socket, or that the answer was whole, or the failure to end the stream with.
        on_end: The stream is over: None when the caller got all of it, else why not.
        error_event: Returns the SSE bytes that tell a caller of a failure.
        runner_is_healthy: Returns whether the engine's owner can reach it.
    """

    repair: Callable[[bytes, Failure], EngineSide | ResponseComplete | Failure]
    on_end: Callable[[bytes, Failure | None], None]
    error_event: Callable[[Failure], bytes]
    runner_is_healthy: Callable[[], bool]


class EngineSide(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's side of a stream.

    Attributes:
        connection: Socket with the rest of the body; ends with the body.
        first_bytes: Body bytes that were read already.
        address: The engine.
    """

    connection: socket.socket
    first_bytes: bytes
    address: str


class ResponseComplete(msgspec.Struct, frozen=True):
    """Only the end event was lost: the caller has all of the answer."""


class Watch(NamedTuple):
    """What the loop's selector holds for a connection: its stream, and what to do when ready."""

    stream: RelayStream | None
    handle: Callable[[int], None]


class RelayStream:
    """State of one relayed stream; used by the relay loop's thread only.

    ``transcript`` holds every whole event that was passed on: it is what a repair goes on from.

    Args:
        client: The caller's connection.
        engine: The engine's side; or why there is none, and the loop asks for a repair first.
        callbacks: The stream's owner.
        deadline_s: Monotonic time at which the stream ends with an error.
        silence_s: Longest silence of the engine before its side counts as broken.
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
        self.finishing = False
        self.failure: Failure | None = None

    def complete_events(self, data: bytes) -> bytes:
        """Return the whole events in ``data`` and keep the rest until more comes.

        A part of an event is not passed on: after a break the stream goes on with a whole one.
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

    def framed(self, data: bytes) -> bytes:
        """Return body bytes as they go over the caller's connection."""
        if not self.client.chunked:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
