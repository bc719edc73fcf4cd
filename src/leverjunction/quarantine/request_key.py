"""Key that identifies a request across attempts.

A caller that retries a request gives each attempt a new id and deadline, and may use another
gateway. Host, method, path with query, credentials and body stay the same. Performs no I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

PATH_BYTES = 8
"""Hash size of the key's path part. It only avoids hashing bodies, so that a collision costs
microseconds.
"""

CONTENT_BYTES = 16
"""Hash size of the key's content part: large enough that nobody can forge a request with the key of
another caller's.
"""

PATH_DIGITS = 2 * PATH_BYTES
"""Length of the path part in hexadecimal digits."""


class RequestContent:
    """Parts of a request that are the same in all attempts.

    Attributes:
        host: Value of the Host header; stored in lower case.
        method: HTTP method.
        target: Path and query, as received.
        credentials: Credentials that the caller sent; empty if none.
        body: Body of the request.
    """

    __slots__ = ("body", "credentials", "host", "method", "target")

    def __init__(
        self, host: bytes, method: bytes, target: bytes, credentials: bytes, body: bytes
    ) -> None:
        self.host = host.lower()
        self.method = method
        self.target = target
        self.credentials = credentials
        self.body = body


def path_part(content: RequestContent) -> str:
    """Return the first part of a request's key, which depends on host, path and query only."""
    return _digest((content.host, content.target), PATH_BYTES)


def request_key(content: RequestContent) -> str:
    """Return a request's key in hexadecimal digits; the first ``PATH_DIGITS`` are its path part."""
    fields = (content.host, content.method, content.target, content.credentials, content.body)
    return path_part(content) + _digest(fields, CONTENT_BYTES)


def _digest(fields: Iterable[bytes], size_bytes: int) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for field in fields:
        # The length prevents equal hashes when bytes move from one field to the next.
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


__all__ = ["PATH_DIGITS", "RequestContent", "path_part", "request_key"]
