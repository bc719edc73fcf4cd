"""Response of an engine whose body is read as it arrives."""

from __future__ import annotations

import socket
from collections.abc import Iterator, Mapping
from typing import cast

import msgspec
import urllib3

from leverjunction.errors import Execution, Failure, FailureKind, Step

READ_BYTES = 65536
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bytes of a body that is read whole, far above any answer of a model."""


class DetachedSocket(msgspec.Struct, frozen=True):
    """Connection detached from a raw response.

    Attributes:
        connection: Non-blocking socket with the rest of the body.
        first_bytes: Body bytes that were already read from the socket.
    """

    connection: socket.socket
    first_bytes: bytes


class StreamBrokenError(Exception):
    """The connection to the engine failed before the end of the body.

    Attributes:
        failure: The failure as a value.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class EngineStream:
    """Response of an engine with a known status and headers; the body is read on demand.

    Used by one thread. ``close`` must be called unless the body was read to its end or the
    connection was detached.

    Args:
        response: The response, whose body has not been read.
        address: ``host:port`` of the engine.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, address: str) -> None:
        self._response = response
        self.address = address

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the response; names are case-insensitive."""
        return cast(Mapping[str, str], self._response.headers)

    def chunks(self) -> Iterator[bytes]:
        """Yield body bytes as they arrive.

        Raises:
            StreamBrokenError: The connection failed before the end of the body.
        """
        try:
            while True:
                # read1 returns after one read of the socket, so that no token is delayed until
                # more bytes arrive.
                data = self._response.read1(READ_BYTES)
                if not data:
                    break
                yield data
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._response.close()
            raise StreamBrokenError(self._connection_failure(error)) from error
        self._response.release_conn()

    def read_all(self) -> bytes | Failure:
        """Return the complete body, or a failure if the connection fails or it is too large."""
        body = bytearray()
        try:
            for data in self.chunks():
                body += data
                if len(body) > MAX_BODY_BYTES:
                    self.close()
                    return self._failure(f"the back end's response exceeds {MAX_BODY_BYTES} bytes")
        except StreamBrokenError as error:
            return error.failure
        return bytes(body)

    def detach(self) -> DetachedSocket:
        """Detach the connection from a response to a call with ``raw_stream``.

        The caller of this method then owns the connection and reads the body until it ends.
        """
        # For an HTTP/1.0 response, which ends with its connection, only the reader refers to the
        # socket.
        reader = self._response._fp.fp  # type: ignore[attr-defined]
        sock = cast(socket.socket, reader.raw._sock)
        sock.setblocking(False)
        first_bytes = reader.peek() or b""
        connection = socket.socket(fileno=sock.detach())
        connection.setblocking(False)
        return DetachedSocket(connection=connection, first_bytes=first_bytes)

    def close(self) -> None:
        """Close the connection and discard the unread rest of the body."""
        self._response.close()

    def _connection_failure(self, error: object) -> Failure:
        return self._failure(f"the back end's response ended early: {error}")

    def _failure(self, reason: str) -> Failure:
        return Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=reason,
            step=Step.RELAYING,
            peer=self.address,
            execution=Execution.UNKNOWN,
        )
