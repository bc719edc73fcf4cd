"""State of one request from its routing to its end."""

from __future__ import annotations

from leverjunction.errors import Execution
from leverjunction.proxy.admission import Ticket
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.dialect import RequestMetadata
from leverjunction.proxy.prompt import Prompt
from leverjunction.registry.origins import StreamOrigin
from leverjunction.routes.types import Route, Tenant


class RoutedRequest:
    """A request that has a route, and the state of its attempts.

    Attributes:
        request: The caller's request.
        metadata: Metadata from its headers.
        prompt: Length and shared parts of its prompt.
        route: Route that matches the request.
        service: Service that was chosen for the request.
        origin: What began the stream, None before its first event; it is continued only there.
        stream: Key of the stream by its first attempt, None if no caller can continue it.
        origin_kept_s: When its origin was last kept, in the loop's seconds.
        ticket: Its ticket at the admission gate, None before it has entered.
        tenant: Tenant on whose behalf it runs; None if it has none.
        table_version: Version of the route table that applies to the request.
        until_s: Deadline for the complete response, in the loop's seconds.
        tried: Ids and starts of the back ends that it was sent to.
        runs: Number of back ends on which it may have run.
        key: Key of the request, or of a part of its prompt, while it is suspected of crashing back
            ends, else empty.
        trials: Key, and id and start of the back end, of each time it was sent as a suspect.
        ended_after: Id of the event after which the last run ended without a further one; empty
            if none has.
        went_on: Whether an event of a stream that the caller resumes has been received.
        sent_s: When it was last sent, in the loop's seconds.
        runner_id: Id and start of the back end that it was last sent to; empty before.
        first_output_s: Time of the first part of the response body in the last run, in the loop's
            seconds; None until it arrives.
    """

    __slots__ = (
        "ended_after",
        "first_output_s",
        "key",
        "metadata",
        "origin",
        "origin_kept_s",
        "prompt",
        "request",
        "route",
        "runner_id",
        "runs",
        "sent_s",
        "service",
        "stream",
        "table_version",
        "tenant",
        "ticket",
        "trials",
        "tried",
        "until_s",
        "went_on",
    )

    def __init__(
        self,
        request: CallerRequest,
        metadata: RequestMetadata,
        route: Route,
        service: str,
        table_version: int,
        until_s: float,
    ) -> None:
        self.request = request
        self.metadata = metadata
        self.prompt = Prompt(metadata.parts, metadata.tokens_in)
        self.route = route
        self.service = service
        self.origin: StreamOrigin | None = None
        self.stream: int | None = None
        self.origin_kept_s = 0.0
        self.ticket: Ticket | None = None
        self.tenant: Tenant | None = None
        self.table_version = table_version
        self.until_s = until_s
        self.tried: set[str] = set()
        self.runs = 0
        self.key = ""
        self.trials: list[tuple[str, str]] = []
        self.ended_after = ""
        self.went_on = False
        self.sent_s = 0.0
        self.runner_id = ""
        self.first_output_s: float | None = None

    @property
    def execution(self) -> Execution:
        """Whether a back end may have run the request."""
        return self.request.execution

    def note_run(self) -> None:
        """Record that a back end may have run the request."""
        self.runs += 1
        self.request.execution = Execution.UNKNOWN

    def note_output(self, now_s: float) -> None:
        """Record that a part of the response body has arrived."""
        if self.first_output_s is None:
            self.first_output_s = now_s

    def head_latency_s(self, unqueued_s: float) -> float:
        """Return the seconds from sending the request to its response head without queueing.

        Under load recent heads are late. For a resumed stream only the time that its prompt takes
        counts, since it is lost if it is not sent.

        Args:
            unqueued_s: Latency of its route's fast response heads, in seconds.
        """
        if self.origin is None:
            return unqueued_s
        return min(unqueued_s, self.prompt.prefill_ms / 1000)

    @property
    def version(self) -> str | None:
        """Version of the back ends that may run the request, None if all may."""
        return None if self.origin is None else self.origin.version

    @property
    def may_run_again(self) -> bool:
        """Whether the request may be sent again although a back end may have run it."""
        return self.route.repeatable and self.runs < max(1, self.route.max_attempts)


__all__ = ["RoutedRequest"]
