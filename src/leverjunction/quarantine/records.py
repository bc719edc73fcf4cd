"""Records about requests during which back ends crashed, replicated or sent between gateways."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_SHARED_RECORDS = 100
"""Maximum number of requests in one message between gateways."""

MAX_SHARED_STARTS = 24
"""Maximum number of starts in one record; a verdict needs at most nine."""

_Key = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_Name = Annotated[str, msgspec.Meta(max_length=250)]
_AgeMs = Annotated[int, msgspec.Meta(ge=0)]


class EndedRun(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence against a request: a start that had received all of it crashed before finishing it.

    Attributes:
        key: Key of the request (``request_key``).
        start: The start, which is one instance of a back end.
        route: Name of the request's route.
        request_id: The caller's id of the attempt, for operators.
        ran_on: Whether the response had been arriving for a while before the crash, so that the
            request did not crash its back end early in the run.
    """

    key: str
    start: str
    route: str = ""
    request_id: str = ""
    ran_on: bool = False


class SuspectRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence against one request.

    Attributes:
        key: Key of the request.
        starts: Starts that crashed early in its run, oldest first. Each counts once, however many
            attempts and gateways report it.
        late_starts: Starts that crashed after it had been running for a while.
        route: Name of its route.
        request_id: Id of the attempt that was reported last.
        verdicts: How often the request was found to be the cause.
    """

    key: str
    starts: tuple[str, ...] = ()
    late_starts: tuple[str, ...] = ()
    route: str = ""
    request_id: str = ""
    verdicts: int = 0


class SuspectList(msgspec.Struct, frozen=True, kw_only=True):
    """All suspect requests, as sent to the gateways.

    Attributes:
        revision: Log index of the last change.
        suspects: The records, those with the most evidence first.
    """

    revision: int = 0
    suspects: tuple[SuspectRecord, ...] = ()


class AgedStart(msgspec.Struct, frozen=True, array_like=True):
    """A start that crashed during a request.

    Attributes:
        start: The start.
        age_ms: Time since the crash was detected, in milliseconds. An age needs no common clock.
        ran_on: Whether the response had been arriving for a while before the crash.
    """

    start: _Name
    age_ms: _AgeMs
    ran_on: bool = False


class SharedRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What one gateway knows about one request.

    Attributes:
        key: Key of the request.
        starts: Starts that crashed during it.
        answered_age_ms: Time since its last complete response, in milliseconds; None if none is
            remembered.
    """

    key: _Key
    starts: Annotated[tuple[AgedStart, ...], msgspec.Meta(max_length=MAX_SHARED_STARTS)] = ()
    answered_age_ms: _AgeMs | None = None


SharedRecords = Annotated[tuple[SharedRecord, ...], msgspec.Meta(max_length=MAX_SHARED_RECORDS)]


class EvidenceNotice(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Evidence that one gateway sends to another.

    Attributes:
        records: Requests whose evidence has changed at the sender.
        wants_all: True if the reply is to hold all evidence of the receiver.
    """

    records: SharedRecords = ()
    wants_all: bool = False


class EvidenceReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The reply to a notice: what the receiver knows in addition, or all that it knows."""

    records: SharedRecords = ()


__all__ = [
    "MAX_SHARED_RECORDS",
    "MAX_SHARED_STARTS",
    "AgedStart",
    "EndedRun",
    "EvidenceNotice",
    "EvidenceReply",
    "SharedRecord",
    "SharedRecords",
    "SuspectList",
    "SuspectRecord",
]
