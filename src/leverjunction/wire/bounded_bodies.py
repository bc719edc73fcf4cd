"""Reads the bodies of peers' responses up to a size and a time."""

from __future__ import annotations

import urllib3

from leverjunction.clock import steady_s

READ_BYTES = 64 * 1024

PATIENCE_S = 10.0
"""Time for a body beyond that of its call and of its size: this process may have been paused."""

MIN_BYTES_PER_S = 250_000
"""Rate of the slowest supported link, 2 Mbit/s."""


class BodyTooLargeError(urllib3.exceptions.HTTPError):
    """A body exceeds its bound in bytes or in time; its connection has been closed."""


def read_body(response: urllib3.BaseHTTPResponse, max_bytes: int, timeout_s: float) -> bytes:
    """Return the whole body of a response that was requested without preloading it.

    Args:
        response: The response; its connection returns to the pool once the body is whole.
        max_bytes: Maximum size of the body, in bytes.
        timeout_s: Time of the call. A body that is slower than the slowest link ends some time
            after it; checked after each read, which has a timeout of its own.

    Raises:
        BodyTooLargeError: The body exceeds a bound.
        HTTPError: The connection failed before the end of the body.
    """
    until_s = steady_s() + timeout_s + PATIENCE_S
    body = bytearray()
    while data := response.read1(READ_BYTES):
        body += data
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLargeError(f"the body exceeds {max_bytes} bytes")
        if steady_s() > until_s + len(body) / MIN_BYTES_PER_S:
            response.close()
            raise BodyTooLargeError(f"the body came too slowly: {len(body)} bytes")
    response.release_conn()
    return bytes(body)


__all__ = ["BodyTooLargeError", "read_body"]
