"""What the proxy must know of the headers that callers and back ends use.

The proxy itself knows no header of a deployment: an implementation of ``Dialect`` translates.
"""

from __future__ import annotations

from typing import Protocol

RawHeaders = list[tuple[bytes, bytes]]
"""Header fields in order, names as they came on the wire."""


class PromptPart:
    """One part of a prompt, which other requests may share.

    Attributes:
        key: Names the part's content.
        tokens: Its length.
    """

    __slots__ = ("key", "tokens")

    def __init__(self, key: str, tokens: int) -> None:
        self.key = key
        self.tokens = tokens


class RequestMetadata:
    """What the headers of a request say.

    Attributes:
        request_id: The caller's id of this attempt, empty when it gave none.
        deadline_ms: How long the caller waits, None when it does not say.
        parts: Parts of the prompt, in order.
        tokens_in: Length of the prompt.
        tokens_out: Longest answer.
        last_event_id: The stream shall continue after this event; empty for a whole one.
    """

    __slots__ = (
        "deadline_ms",
        "last_event_id",
        "parts",
        "request_id",
        "tokens_in",
        "tokens_out",
    )

    def __init__(
        self,
        request_id: str = "",
        deadline_ms: float | None = None,
        parts: tuple[PromptPart, ...] = (),
        tokens_in: int = 0,
        tokens_out: int = 0,
        last_event_id: str = "",
    ) -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.parts = parts
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.last_event_id = last_event_id


class EngineLoad:
    """Load that a back end tells in its answers.

    Attributes:
        running: Requests that it works on.
        waiting: Requests in its queue.
        slots: Requests that it can work on.
    """

    __slots__ = ("running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots


class ResponseMetadata:
    """What the headers of a back end's answer say.

    Attributes:
        request_id: Id of the request that it answers, empty when it does not say.
        signed: True when a back end of this deployment made it.
        not_run: True when it states that the request was not run.
        load: The back end's load, None when it does not say.
        keep_alive_s: How long the connection is kept, None when it does not say.
        closes: True when the connection ends with this answer.
    """

    __slots__ = ("closes", "keep_alive_s", "load", "not_run", "request_id", "signed")

    def __init__(
        self,
        request_id: str = "",
        signed: bool = False,
        not_run: bool = False,
        load: EngineLoad | None = None,
        keep_alive_s: float | None = None,
        closes: bool = False,
    ) -> None:
        self.request_id = request_id
        self.signed = signed
        self.not_run = not_run
        self.load = load
        self.keep_alive_s = keep_alive_s
        self.closes = closes


class Dialect(Protocol):
    """Translates headers."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Return what a caller's headers say; what is malformed counts as absent."""
        ...

    def forwarded_headers(
        self, headers: RawHeaders, left_ms: float, runner_id: str, last_event_id: str
    ) -> RawHeaders:
        """Return the headers for a back end.

        Args:
            headers: The caller's, without those that concern its connection only.
            left_ms: Time that is left for the answer.
            runner_id: The only start of a runner that may run the request.
            last_event_id: Continue the stream after this event; empty to leave it as it came.
        """
        ...

    def item_headers(self, headers: RawHeaders, host: str, item_id: str) -> RawHeaders:
        """Return the headers of the request that runs an item of a batch job."""
        ...

    def read_response(self, headers: RawHeaders) -> ResponseMetadata:
        """Return what a back end's headers say."""
        ...

    def load_request(self) -> tuple[bytes, RawHeaders]:
        """Return path and headers of the call that reads a back end's load."""
        ...

    def read_load(self, body: bytes) -> EngineLoad | None:
        """Return the load that a back end tells when it is asked, None if it is malformed."""
        ...

    def own_response_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer that the proxy gives by itself."""
        ...
