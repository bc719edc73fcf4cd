"""Tells whether two attempts carry the same request. Pure.

A caller that sends a request again gives each attempt another id and deadline, and may come to
another gateway. Host, method, path with query, credentials and body stay.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

PATH_BYTES = 8
"""Of the first part: it only saves hashing bodies, so a collision costs microseconds."""

CONTENT_BYTES = 16
"""Of the second part: nobody can find a body that is taken for another caller's."""

PATH_DIGITS = 2 * PATH_BYTES


class RequestContent:
    """What makes a request the same one.

    Attributes:
        host: Host that it names.
        method: Its method.
        target: Path and query, as they came.
        credentials: Who sends it, as it says; empty when it does not.
        body: Its body.
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
    """Return the first part of a request's key, which does not depend on its body."""
    return _digest((content.host, content.target), PATH_BYTES)


def request_key(content: RequestContent) -> str:
    """Return a request's key, in hexadecimal digits; the first ``PATH_DIGITS`` are its path's."""
    fields = (content.host, content.method, content.target, content.credentials, content.body)
    return path_part(content) + _digest(fields, CONTENT_BYTES)


def _digest(fields: Iterable[bytes], size_bytes: int) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for field in fields:
        # With its length: else a part of a body could be moved into the path.
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


__all__ = ["PATH_DIGITS", "RequestContent", "path_part", "request_key"]
