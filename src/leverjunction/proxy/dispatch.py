"""Plain data types of sending a request to one back end, and of the possible outcomes."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.dialect import RequestMetadata, ResponseMetadata
from leverjunction.proxy.runner_connection import ResponseHead, RunnerConnection
from leverjunction.proxy.tracked_runner import TrackedRunner


class HeadTimeouts:
    """Limits of waiting for a response head, in the loop's time.

    Attributes:
        soft_s: When the head counts as late, if ``may_hedge`` returns True.
        hard_s: When the request is given up in any case.
        may_hedge: Called once, when the soft limit is reached.
    """

    __slots__ = ("hard_s", "may_hedge", "soft_s")

    def __init__(self, hard_s: float, soft_s: float, may_hedge: Callable[[], bool]) -> None:
        self.hard_s = hard_s
        self.soft_s = soft_s
        self.may_hedge = may_hedge

    @classmethod
    def without_hedge(cls, hard_s: float) -> HeadTimeouts:
        """Return the limits of a request that may not be sent to a second back end."""
        return cls(hard_s, hard_s, lambda: True)


class Dispatch:
    """One attempt to send a request to a back end.

    Attributes:
        request: The caller's request.
        metadata: Metadata from the request's headers.
        runner: The back end.
        repeatable: Whether the request may run more than once.
        last_event_id: Event after which to continue a stream; empty for a whole stream.
        until_s: When the whole response must be there, in the loop's time.
        head_timeouts: Limits of waiting for the response head.
        is_outdated: Called just before the request is sent; True if the back end may be leaving
            since, so that it must be chosen again.
        connection: Number of the connection that carries it in this process; 0 before.
        connection_use: How many requests that connection has carried, this one included.
    """

    __slots__ = (
        "connection",
        "connection_use",
        "head_timeouts",
        "is_outdated",
        "last_event_id",
        "metadata",
        "repeatable",
        "request",
        "runner",
        "until_s",
    )

    def __init__(
        self,
        request: CallerRequest,
        metadata: RequestMetadata,
        runner: TrackedRunner,
        *,
        repeatable: bool,
        last_event_id: str,
        until_s: float,
        head_timeouts: HeadTimeouts,
        is_outdated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.request = request
        self.metadata = metadata
        self.runner = runner
        self.repeatable = repeatable
        self.last_event_id = last_event_id
        self.until_s = until_s
        self.head_timeouts = head_timeouts
        self.is_outdated = is_outdated
        self.connection = 0
        self.connection_use = 0

    @property
    def was_sent(self) -> bool:
        """Whether the back end may have received the request."""
        return self.connection_use > 0


class OpenedResponse:
    """A back end's response whose head has arrived.

    Attributes:
        head: Status and headers.
        metadata: Metadata from the headers.
        connection: Connection on which the body arrives.
        runner: The back end.
    """

    __slots__ = ("connection", "head", "metadata", "runner")

    def __init__(
        self,
        head: ResponseHead,
        metadata: ResponseMetadata,
        connection: RunnerConnection,
        runner: TrackedRunner,
    ) -> None:
        self.head = head
        self.metadata = metadata
        self.connection = connection
        self.runner = runner


class LateHead:
    """A sent request whose response head has not arrived by the soft limit.

    Its connection stays open, and it counts as a request at its back end, until ``Sender.wait`` or
    ``Sender.abandon`` is called.

    Attributes:
        dispatch: The attempt.
        connection: Connection on which the response arrives.
        sent_s: When the request was written, in the loop's time.
        taken: Whether ``Sender.wait`` or ``Sender.abandon`` has been called.
    """

    __slots__ = ("connection", "dispatch", "sent_s", "taken")

    def __init__(self, dispatch: Dispatch, connection: RunnerConnection, sent_s: float) -> None:
        self.dispatch = dispatch
        self.connection = connection
        self.sent_s = sent_s
        self.taken = False

    @property
    def failure(self) -> Failure:
        """Failure of the attempt if the head is not waited for any longer."""
        return late_failure(self.dispatch.runner, Execution.UNKNOWN)


def late_failure(runner: TrackedRunner, execution: Execution) -> Failure:
    """Return the failure of an attempt whose response head has not arrived in time."""
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="no response in time",
        step=Step.RESPONDING,
        peer=runner.record.address,
        execution=execution,
    )


def outdated_failure(runner: TrackedRunner) -> Failure:
    """Return the failure of an attempt that was not sent because its choice is outdated."""
    return Failure(
        kind=FailureKind.STALE,
        reason="the process was suspended after the choice of the back end",
        step=Step.SENDING,
        peer=runner.record.address,
        execution=Execution.NOT_RUN,
    )


__all__ = [
    "Dispatch",
    "HeadTimeouts",
    "LateHead",
    "OpenedResponse",
    "late_failure",
    "outdated_failure",
]
