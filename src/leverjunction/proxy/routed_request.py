"""One request on its way: what was asked, and what has become of it so far."""

from __future__ import annotations

from leverjunction.errors import Execution
from leverjunction.proxy.caller_connection import CallerRequest
from leverjunction.proxy.dialect import RequestMetadata
from leverjunction.proxy.prompt import Prompt
from leverjunction.routes.types import Route


class RoutedRequest:
    """One request on its way.

    Attributes:
        request: The caller's request.
        metadata: What its headers say.
        prompt: Its prompt.
        route: Its route.
        service: Service that was drawn for it.
        table_version: Version of the route table that it follows.
        until_s: When its answer must be complete.
        tried: Starts of back ends that were asked.
        runs: Back ends on which it may have run.
        execution: Whether it may have run.
        key: Its key while it is a suspect, else empty.
        trials: Back ends to which it was sent as a suspect.
        first_output_s: When the first part of the answer's body came in its last run, in the
            loop's seconds; None while none has.
    """

    __slots__ = (
        "execution",
        "first_output_s",
        "key",
        "metadata",
        "prompt",
        "request",
        "route",
        "runs",
        "service",
        "table_version",
        "trials",
        "tried",
        "until_s",
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
        self.table_version = table_version
        self.until_s = until_s
        self.tried: set[str] = set()
        self.runs = 0
        self.execution = Execution.NOT_RUN
        self.key = ""
        self.trials: list[str] = []
        self.first_output_s: float | None = None

    def note_run(self) -> None:
        """Note that a back end may have run it."""
        self.runs += 1
        self.execution = Execution.UNKNOWN

    def note_output(self, now_s: float) -> None:
        """Note that a part of the answer's body has come."""
        if self.first_output_s is None:
            self.first_output_s = now_s

    @property
    def may_run_again(self) -> bool:
        """Whether another back end may be asked after one that may have run it."""
        return self.route.repeatable and self.runs < max(1, self.route.max_attempts)


__all__ = ["RoutedRequest"]
