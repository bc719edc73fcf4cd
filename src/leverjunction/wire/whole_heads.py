"""HTTP connections that accept a response only if its head has arrived whole.

The standard library takes the end of the connection for the end of the head. A response that was
cut there would pass for a whole one with an empty body, since the missing fields frame the body.
"""

from __future__ import annotations

import http.client
from typing import Any, BinaryIO

import urllib3


class _HeadReader:
    """Reads the lines of a head, of which none may be cut."""

    __slots__ = ("_reader",)

    def __init__(self, reader: BinaryIO) -> None:
        self._reader = reader

    def readline(self, limit_bytes: int) -> bytes:
        """Return the next line, or the first ``limit_bytes`` bytes of a longer one.

        Raises:
            RemoteDisconnected: The connection has ended before the end of the line.
        """
        line = self._reader.readline(limit_bytes)
        if not line.endswith(b"\n") and len(line) < limit_bytes:
            raise http.client.RemoteDisconnected("the connection ended within the response's head")
        return line

    def close(self) -> None:
        """Close the connection's reader."""
        self._reader.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """A response that fails if its connection ends before the empty line after its head."""

    fp: Any

    def begin(self) -> None:
        """Read the head.

        Raises:
            RemoteDisconnected: The connection has ended within it.
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
