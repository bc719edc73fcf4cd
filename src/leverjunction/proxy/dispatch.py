"""A send of a request to one back end, as plain data, and what it can come to."""

from __future__ import annotations

from collections.abc import Callable

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.caller_connection import CallerRequest
from leverjunction.proxy.dialect import RequestMetadata, ResponseMetadata
from leverjunction.proxy.runner_connection import ResponseHead, RunnerConnection
from leverjunction.proxy.runner_seat import RunnerSeat


class Patience:
    """How long to wait for the head of an answer.

    Attributes:
        soft_s: From then on the head is late if ``may_hedge`` agrees.
        hard_s: Then the request is given up in any case.
        may_hedge: Asked once, when the soft limit is reached.
    """

    __slots__ = ("hard_s", "may_hedge", "soft_s")

    def __init__(self, hard_s: float, soft_s: float, may_hedge: Callable[[], bool]) -> None:
        self.hard_s = hard_s
        self.soft_s = soft_s
        self.may_hedge = may_hedge

    @classmethod
    def until(cls, hard_s: float) -> Patience:
        """Return the patience of a request that nobody else may run."""
        return cls(hard_s, hard_s, lambda: True)


class Dispatch:
    """One send.

    Attributes:
        request: The caller's request.
        metadata: What its headers say.
        seat: Back end that is asked.
        repeatable: The request may run more than once.
        last_event_id: Continue a stream after this event; empty for a whole one.
        until_s: When the whole answer must be there.
        patience: How long to wait for the head.
    """

    __slots__ = (
        "last_event_id",
        "metadata",
        "patience",
        "repeatable",
        "request",
        "seat",
        "until_s",
    )

    def __init__(
        self,
        request: CallerRequest,
        metadata: RequestMetadata,
        seat: RunnerSeat,
        *,
        repeatable: bool,
        last_event_id: str,
        until_s: float,
        patience: Patience,
    ) -> None:
        self.request = request
        self.metadata = metadata
        self.seat = seat
        self.repeatable = repeatable
        self.last_event_id = last_event_id
        self.until_s = until_s
        self.patience = patience


class OpenedResponse:
    """A back end's answer whose head has come.

    Attributes:
        head: Status and headers.
        metadata: What the headers say.
        connection: Where its body comes.
        seat: The back end.
    """

    __slots__ = ("connection", "head", "metadata", "seat")

    def __init__(
        self,
        head: ResponseHead,
        metadata: ResponseMetadata,
        connection: RunnerConnection,
        seat: RunnerSeat,
    ) -> None:
        self.head = head
        self.metadata = metadata
        self.connection = connection
        self.seat = seat


class LateHead:
    """A request that was sent and whose head has not come by the soft limit.

    Its connection is open and it is counted at its back end until ``Sender.wait`` or
    ``Sender.abandon``.

    Attributes:
        dispatch: The send.
        connection: Where its answer comes.
        sent_s: When it was written, in the loop's seconds.
        taken: Somebody waits for it, or it was abandoned.
    """

    __slots__ = ("connection", "dispatch", "sent_s", "taken")

    def __init__(self, dispatch: Dispatch, connection: RunnerConnection, sent_s: float) -> None:
        self.dispatch = dispatch
        self.connection = connection
        self.sent_s = sent_s
        self.taken = False

    @property
    def failure(self) -> Failure:
        """What the send has come to if nothing more comes of it."""
        return late_failure(self.dispatch.seat, Execution.UNKNOWN)


def late_failure(seat: RunnerSeat, execution: Execution) -> Failure:
    """Return that a back end gave no head in time."""
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="no answer in time",
        step=Step.RESPONDING,
        peer=seat.record.address,
        execution=execution,
    )


__all__ = ["Dispatch", "LateHead", "OpenedResponse", "Patience", "late_failure"]
