"""Replicated records about requests during which back ends crashed."""

from __future__ import annotations

import msgspec


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


__all__ = ["EndedRun", "SuspectList", "SuspectRecord"]
