"""Interface between the proxy and the header fields of a deployment.

The proxy knows no header field by name. An implementation of ``Dialect`` parses the fields of
requests and responses into the classes of this module, and writes the fields that the proxy adds.
"""

from __future__ import annotations

from typing import Protocol

RawHeaders = list[tuple[bytes, bytes]]
"""Header fields in order, with their names as received."""


class PromptPart:
    """Part of a prompt that several requests may have in common.

    Attributes:
        key: Identifies the content of the part.
        tokens: Length in tokens.
    """

    __slots__ = ("key", "tokens")

    def __init__(self, key: str, tokens: int) -> None:
        self.key = key
        self.tokens = tokens


class PresentedKey:
    """API key that a caller presented.

    Attributes:
        key_hash: Hash of the key (``api_keys.hash_key``); empty if it is malformed.
        problem: Why the key is malformed; empty if it is not. Does not contain the key.
    """

    __slots__ = ("key_hash", "problem")

    def __init__(self, key_hash: str = "", problem: str = "") -> None:
        self.key_hash = key_hash
        self.problem = problem


class RequestMetadata:
    """Metadata of a request, parsed from its headers.

    Attributes:
        request_id: The caller's id of this attempt; empty if it gave none.
        credentials: Credentials that the caller sent; empty if none.
        deadline_ms: Time for which the caller waits, in milliseconds; None if not stated.
        parts: Parts of the prompt, in order.
        tokens_in: Length of the prompt in tokens.
        tokens_out: Maximum length of the response in tokens.
        last_event_id: Id of the event after which the stream continues; empty for a stream from
            its start.
        model: Name of the model; empty if not stated.
        resumes: The caller's id of the attempt that brought the first event of the stream that
            continues; empty if not stated.
        key: API key that the caller presented; None if it presented none.
        tenant: Name of the tenant on whose behalf the request runs, which back ends receive; empty
            if none. Never read from the headers: a gateway sets it once it has identified the
            caller.
    """

    __slots__ = (
        "credentials",
        "deadline_ms",
        "key",
        "last_event_id",
        "model",
        "parts",
        "request_id",
        "resumes",
        "tenant",
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
        model: str = "",
        resumes: str = "",
        credentials: str = "",
        key: PresentedKey | None = None,
    ) -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.parts = parts
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.last_event_id = last_event_id
        self.model = model
        self.resumes = resumes
        self.credentials = credentials
        self.key = key
        self.tenant = ""

    @property
    def declared_prompt(self) -> str:
        """Model and prompt in one string; empty unless the parts cover the whole prompt."""
        if not self.tokens_in or sum(part.tokens for part in self.parts) != self.tokens_in:
            return ""
        parts = [f"{part.key}:{part.tokens}" for part in self.parts]
        return ",".join((self.model, *parts))


class EngineLoad:
    """Load that a back end reports.

    Attributes:
        running: Requests that it is processing.
        waiting: Requests in its queue.
        slots: Requests that it can process at the same time; 0 if not reported.
        slowdown: How long work takes there at present, as a multiple of its usual time; None if
            not reported.
    """

    __slots__ = ("running", "slots", "slowdown", "waiting")

    def __init__(
        self, running: int, waiting: int, slots: int, slowdown: float | None = None
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.slowdown = slowdown


class ResponseMetadata:
    """Metadata of a back end's response, parsed from its headers.

    Attributes:
        request_id: Id of the request that the response belongs to; empty if not stated.
        signed: The response carries the mark of a back end of this deployment.
        not_run: The response states that the request was not run.
        load: Load of the back end; None if not stated.
        keep_alive_s: Time for which the back end keeps the idle connection open, in seconds; None
            if not stated.
        closes: The back end closes the connection after this response.
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
    """Translates between header fields and the proxy's metadata."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Parse the headers of a caller's request; malformed fields count as absent."""
        ...

    def forwarded_headers(
        self,
        headers: RawHeaders,
        left_ms: float,
        runner_id: str,
        last_event_id: str,
        tenant: str = "",
    ) -> RawHeaders:
        """Return the headers of a request to a back end, without the caller's API key.

        Args:
            headers: The caller's headers without the hop-by-hop fields.
            left_ms: Time that remains for the response, in milliseconds.
            runner_id: Id of the runner instance that must run the request; any other refuses it.
            last_event_id: Id of the event after which the stream continues; empty to leave the
                caller's field as it is.
            tenant: Name of the request's tenant, whatever the caller's headers say; empty if none.
        """
        ...

    def item_headers(self, headers: RawHeaders, host: str, item_id: str) -> RawHeaders:
        """Return the headers of the request that runs an item of a batch job."""
        ...

    def read_response(self, headers: RawHeaders) -> ResponseMetadata:
        """Parse the headers of a back end's response; malformed fields count as absent."""
        ...

    def load_request(self) -> tuple[bytes, RawHeaders]:
        """Return path and headers of the request that reads a back end's load."""
        ...

    def read_load(self, body: bytes) -> EngineLoad | None:
        """Parse the response to ``load_request``; return None if it is malformed."""
        ...

    def own_response_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a response that the proxy generates itself.

        Args:
            request_id: The caller's id of the attempt; empty if it gave none.
            retry_after_s: Time after which the caller may try again, in seconds; None to state
                none.
        """
        ...
