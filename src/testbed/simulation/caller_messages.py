"""Messages between simulated callers and a gateway's front, in place of HTTP."""

from __future__ import annotations

from dataclasses import dataclass

from leverjunction.errors import Failure


@dataclass(frozen=True)
class HttpRequest:
    """A completion request of an authenticated tenant."""

    tenant: str
    body: bytes
    idempotency_key: str
    never_repeat: bool


@dataclass(frozen=True)
class HttpHead:
    """Head of an answer.

    Attributes:
        request_id: Id that the gateway gave to this send.
        status: 200, or another for a refusal.
        failure: The refusal.
        body: Whole body of an answer that is not streamed; None when a stream follows.
    """

    request_id: str
    status: int
    failure: Failure | None = None
    body: bytes | None = None


@dataclass(frozen=True)
class HttpBytes:
    """Bytes of a streamed body."""

    data: bytes


@dataclass(frozen=True)
class HttpEnd:
    """The body ended in good order."""
