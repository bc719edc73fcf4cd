"""Messages of the engine protocol as the simulated connections carry them."""

from __future__ import annotations

from dataclasses import dataclass

from testbed.engine.types import EngineRequest, FinishReason

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True)
class Submit:
    """A request; the first word of its prompt names the work that it serves, for the recorder.

    Attributes:
        request: The request as the engine runs it.
        gateway: Gateway that sends it.
        stream: True when tokens are sent one by one, False for one answer at the end.
        sent_s: When it was sent, in virtual seconds.
    """

    request: EngineRequest
    gateway: str
    stream: bool
    sent_s: float


@dataclass(frozen=True)
class Resume:
    """Asks for the rest of a stream after a token."""

    request_id: str
    attempt: int
    after_index: int


@dataclass(frozen=True)
class Cancel:
    """Stops a request; a call without answer."""

    request_id: str


@dataclass(frozen=True)
class Head:
    """Head of an answer; it echoes whom the answer is for."""

    request_id: str
    attempt: int
    status: int


@dataclass(frozen=True)
class Part:
    """Tokens of a stream, or the whole answer of a call without one.

    Attributes:
        index: Number of the last token in it.
        text: The text.
        finish: Set on the last part.
    """

    index: int
    text: str
    finish: FinishReason | None
