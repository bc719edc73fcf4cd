"""Failures as values: a sentinel kind with a reason, the step and the peer where it arose.

Functions that can fail in an expected way return ``T | Failure`` instead of raising. Exceptions
are kept for programming errors and for the boundary of a library that raises them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TypeGuard

import msgspec


class FailureKind(StrEnum):
    """The sentinel that names what went wrong, in terms a caller can act on."""

    BAD_REQUEST = "bad_request"
    HARMFUL = "harmful"
    """Back ends ended under this very request: no other one is given it."""
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    EXPIRED = "expired"
    CONFLICT = "conflict"
    KEY_REUSED = "key_reused"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    NO_BACKEND = "no_backend"
    BACKEND_FAILED = "backend_failed"
    BACKEND_MISMATCH = "backend_mismatch"
    NOT_LEADER = "not_leader"
    NO_QUORUM = "no_quorum"
    STALE = "stale"
    FENCED = "fenced"
    STOPPING = "stopping"
    UNREACHABLE = "unreachable"
    NOT_LISTENING = "not_listening"
    """Nobody listens at the peer's address: its process has ended or is only starting."""
    TIMEOUT = "timeout"
    CORRUPT = "corrupt"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class Step(StrEnum):
    """The step of the work at which a failure arose."""

    CONFIGURATION = "configuration"
    AUTHENTICATION = "authentication"
    PARSING = "parsing"
    ADMISSION = "admission"
    QUEUEING = "queueing"
    CLAIMING = "claiming"
    ROUTING = "routing"
    CONNECTING = "connecting"
    SENDING = "sending"
    RESPONDING = "responding"
    RELAYING = "relaying"
    PROPOSING = "proposing"
    APPLYING = "applying"
    QUERYING = "querying"
    EXCHANGING = "exchanging"
    LEASING = "leasing"
    ORDERING = "ordering"
    STORING = "storing"
    DECODING = "decoding"
    STOPPING = "stopping"


class Execution(StrEnum):
    """What is known about whether a back end ran the request.

    ``NOT_RUN`` may be stated only when no back end can have received the request.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """An expected failure, returned in place of a result.

    Attributes:
        kind: Sentinel that says what went wrong.
        reason: One sentence for a person: what happened, where, and how to go on.
        step: Step of the work at which it arose.
        peer: Address or id of the peer involved, empty when none was.
        execution: Whether a back end can have run the request.
        retry_after_s: When to come back, in seconds; None when coming back does not help.
        detail: Machine-readable extra, such as the address of the current leader.
    """

    kind: FailureKind
    reason: str
    step: Step
    peer: str = ""
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float | None = None
    detail: str = ""


def is_failure(value: object) -> TypeGuard[Failure]:
    """Return whether ``value`` is a failure rather than a result."""
    return isinstance(value, Failure)
