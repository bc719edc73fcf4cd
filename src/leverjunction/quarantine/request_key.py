"""Keys that identify a request across attempts.

A caller that retries a request gives each attempt a new id and deadline, and may use another
gateway. Host, method, path with query, credentials and body stay the same.

A caller may also send the same prompt in different bodies, for example with an id of its own in
each. If it declares all parts of the prompt, the request has a second key, by the prompt instead
of the body. Performs no I/O.
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
        prompt: Model and prompt as the caller declares them; empty unless it declares the whole
            prompt.
    """

    __slots__ = ("body", "credentials", "host", "method", "prompt", "target")

    def __init__(
        self,
        host: bytes,
        method: bytes,
        target: bytes,
        credentials: bytes,
        body: bytes,
        prompt: bytes = b"",
    ) -> None:
        self.host = host.lower()
        self.method = method
        self.target = target
        self.credentials = credentials
        self.body = body
        self.prompt = prompt


def path_part(content: RequestContent) -> str:
    """Return the first part of a request's key, which depends on host, path and query only."""
    return _digest((content.host, content.target), PATH_BYTES)


def request_key(content: RequestContent) -> str:
    """Return a request's key in hexadecimal digits; the first ``PATH_DIGITS`` are its path part."""
    fields = (content.host, content.method, content.target, content.credentials, content.body)
    return path_part(content) + _digest(fields, CONTENT_BYTES)


def prompt_key(content: RequestContent) -> str:
    """Return the key by the declared prompt, of the same form; empty if none is declared."""
    if not content.prompt:
        return ""
    fields = (content.host, content.method, content.target, content.credentials, content.prompt)
    # The label keeps a body with the bytes of a declared prompt from having that prompt's key.
    return path_part(content) + _digest((b"prompt", *fields), CONTENT_BYTES)


def all_keys(content: RequestContent) -> tuple[str, ...]:
    """Return all keys of a request, the one by its prompt first."""
    keys = (prompt_key(content), request_key(content))
    return tuple(key for key in keys if key)


def _digest(fields: Iterable[bytes], size_bytes: int) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for field in fields:
        # The length prevents equal hashes when bytes move from one field to the next.
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


__all__ = [
    "PATH_DIGITS",
    "RequestContent",
    "all_keys",
    "path_part",
    "prompt_key",
    "request_key",
]
