"""What is replicated of requests under which back ends ended."""

from __future__ import annotations

import msgspec


class EndedRun(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence: a back end had a whole request, and then that start of it ended.

    Attributes:
        key: Key of the request (``request_key``).
        start: The start of the back end.
        route: Name of the request's route.
        request_id: Its caller's id of the attempt, for a person.
        ran_on: Its answer had come for a while before, so it did not end its back end as it began.
    """

    key: str
    start: str
    route: str = ""
    request_id: str = ""
    ran_on: bool = False


class SuspectRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one request.

    Attributes:
        key: Its key.
        starts: Starts of back ends that ended under it as it began, oldest first; each
            counts once, however many attempts and gateways tell of it.
        late_starts: Starts that ended after it had run on for a while.
        route: Name of its route.
        request_id: Id of the attempt that was told last.
        verdicts: How often it was found to be the cause.
    """

    key: str
    starts: tuple[str, ...] = ()
    late_starts: tuple[str, ...] = ()
    route: str = ""
    request_id: str = ""
    verdicts: int = 0


class SuspectList(msgspec.Struct, frozen=True, kw_only=True):
    """All suspects that gateways have to know.

    Attributes:
        revision: Log index of the last change.
        suspects: The records, those with most ended starts first.
    """

    revision: int = 0
    suspects: tuple[SuspectRecord, ...] = ()


__all__ = ["EndedRun", "SuspectList", "SuspectRecord"]
