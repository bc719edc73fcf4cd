"""An engine's answer whose body is read as it arrives."""

from __future__ import annotations

import socket
from collections.abc import Iterator, Mapping
from typing import cast

import msgspec
import urllib3

from leverjunction.errors import Execution, Failure, FailureKind, Step

READ_BYTES = 65536


class DetachedSocket(msgspec.Struct, frozen=True):
    """Connection taken out of a raw answer, and the body bytes that were already read from it."""

    connection: socket.socket
    first_bytes: bytes


class StreamBrokenError(Exception):
    """The engine's connection broke before the body ended."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class EngineStream:
    """Answer of an engine: status and headers are known, the body is read on demand.

    Used by one thread. ``close`` must be called unless the body was read to its end.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, address: str) -> None:
        self._response = response
        self.address = address

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the answer; names match in any case."""
        return cast(Mapping[str, str], self._response.headers)

    def chunks(self) -> Iterator[bytes]:
        """Yield body bytes as they arrive.

        Raises:
            StreamBrokenError: The connection broke before the body ended.
        """
        try:
            while True:
                # read1 returns what one read gives: a token is never held back for the next.
                data = self._response.read1(READ_BYTES)
                if not data:
                    break
                yield data
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._response.close()
            raise StreamBrokenError(self._broken(error)) from error
        self._response.release_conn()

    def read_all(self) -> bytes | Failure:
        """Return the whole body, or a failure when the connection breaks before its end."""
        try:
            data = self._response.read()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._response.close()
            return self._broken(error)
        self._response.release_conn()
        return data

    def detach(self) -> DetachedSocket:
        """Take the connection out of a raw (``raw_stream``) answer.

        The caller owns the connection from here on and reads the body until it ends.
        """
        # An answer that ends with its connection (HTTP/1.0) keeps the socket in its reader only.
        reader = self._response._fp.fp  # type: ignore[attr-defined]
        sock = cast(socket.socket, reader.raw._sock)
        sock.setblocking(False)
        first_bytes = reader.peek() or b""
        connection = socket.socket(fileno=sock.detach())
        connection.setblocking(False)
        return DetachedSocket(connection=connection, first_bytes=first_bytes)

    def close(self) -> None:
        """Close the connection; an unread rest of the body is lost."""
        self._response.close()

    def _broken(self, error: object) -> Failure:
        return Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=f"the back end's answer broke off: {error}",
            step=Step.RELAYING,
            peer=self.address,
            execution=Execution.UNKNOWN,
        )
