"""HTTP connections that accept a response only if its head has arrived whole.

The standard library takes the end of the connection for the end of the head. A response that was
cut there would pass for a whole one with an empty body, since the missing fields frame the body.
It also drops what follows a line that is no field, so a cut head and the answer after it would pass
for one.
"""

from __future__ import annotations

import http.client
from typing import Any, BinaryIO

import urllib3

from leverjunction.wire.joined_heads import holds_status_line

MAX_SIZE_LINE_BYTES = 64 * 1024
"""Longest line with the size of a chunk and its extensions."""


class _HeadReader:
    """Reads the lines of a head, and of interim ones before it; none may be cut."""

    __slots__ = ("_is_first", "_reader")

    def __init__(self, reader: BinaryIO) -> None:
        self._reader = reader
        self._is_first = True

    def readline(self, limit_bytes: int) -> bytes:
        """Return the next line, or the first ``limit_bytes`` bytes of a longer one.

        Raises:
            RemoteDisconnected: The connection has ended before the end of the line.
            HTTPException: The line does not belong into a head.
        """
        line = self._reader.readline(limit_bytes)
        if not line.endswith(b"\n") and len(line) < limit_bytes:
            raise http.client.RemoteDisconnected("the connection ended within the response's head")
        is_end = line in (b"\r\n", b"\n")
        is_invalid = (
            holds_status_line(line, start=1)
            if self._is_first
            else not (is_end or _is_field_line(line))
        )
        if is_invalid:
            raise http.client.HTTPException("invalid line in the response's head")
        self._is_first = is_end
        return line

    def close(self) -> None:
        """Close the connection's reader."""
        self._reader.close()


def _is_field_line(line: bytes) -> bool:
    """Return whether a line is a field of a head, or the rest of one that was folded."""
    return (b":" in line or line[:1] in b" \t") and not holds_status_line(line)


class WholeHeadResponse(http.client.HTTPResponse):
    """A response that fails if its connection ends within its head or the size of a chunk."""

    fp: Any

    def begin(self) -> None:
        """Read the head.

        Raises:
            RemoteDisconnected: The connection has ended within it.
            HTTPException: It is invalid.
        """
        if self.headers is not None:
            return
        reader = self.fp
        self.fp = _HeadReader(reader)
        try:
            super().begin()
        finally:
            # It is None if the head was invalid and the reader has been closed.
            if self.fp is not None:
                self.fp = reader

    def _read_next_chunk_size(self) -> int:
        """Read the line with the size of the next chunk; the standard library takes a cut one."""
        line = self.fp.readline(MAX_SIZE_LINE_BYTES)
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        return int(line.partition(b";")[0], 16)


class WholeHeadConnection(urllib3.connection.HTTPConnection):
    """A connection whose responses are ``WholeHeadResponse``."""

    response_class = WholeHeadResponse


class WholeHeadPool(urllib3.HTTPConnectionPool):
    """A pool of ``WholeHeadConnection``."""

    ConnectionCls = WholeHeadConnection


def new_pool_manager(
    pool_class: type[urllib3.HTTPConnectionPool] = WholeHeadPool, **options: Any
) -> urllib3.PoolManager:
    """Return a pool manager without retries that opens HTTP connections of a pool class.

    Args:
        pool_class: Its connections are ``WholeHeadConnection`` or derived from it.
        options: Further arguments of the pool manager.
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {**manager.pool_classes_by_scheme, "http": pool_class}
    return manager


__all__ = ["WholeHeadConnection", "WholeHeadPool", "WholeHeadResponse", "new_pool_manager"]
