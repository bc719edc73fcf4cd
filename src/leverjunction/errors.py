"""Failures as values: each has a kind, a reason, and the step and peer where it occurred.

Functions with expected failures return ``T | Failure`` instead of raising. Exceptions are reserved
for programming errors and for calls to libraries that raise them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TypeGuard

import msgspec


class FailureKind(StrEnum):
    """Kind of a failure, in terms that a caller can act on."""

    BAD_REQUEST = "bad_request"
    HARMFUL = "harmful"
    """This request has crashed back ends, so it is not sent to another one."""
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
    """No process listens on the peer's address: it has exited or is still starting."""
    TIMEOUT = "timeout"
    CORRUPT = "corrupt"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class Step(StrEnum):
    """Processing step in which a failure occurred."""

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
    """Whether a back end has executed the request, as far as known.

    ``NOT_RUN`` is a promise to the caller, and allowed only if no back end can have received the
    request, or if the one that has received it has answered that it did not run it.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """An expected failure, returned in place of a result.

    Attributes:
        kind: Kind of the failure.
        reason: Human-readable sentence: what happened, where, and how to proceed.
        step: Processing step in which the failure occurred.
        peer: Address or id of the peer involved; empty if there was none.
        execution: Whether a back end may have executed the request. It has no default, so that
            nobody promises by omission that a request was not run.
        retry_after_s: Delay before a retry, in seconds; None if a retry does not help.
        detail: Machine-readable detail, such as the address of the current leader.
    """

    kind: FailureKind
    reason: str
    step: Step
    peer: str = ""
    execution: Execution
    retry_after_s: float | None = None
    detail: str = ""


def is_failure(value: object) -> TypeGuard[Failure]:
    """Return whether ``value`` is a failure."""
    return isinstance(value, Failure)
