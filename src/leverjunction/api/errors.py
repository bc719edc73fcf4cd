"""Converts failures to HTTP error responses in the OpenAI-compatible format."""

from __future__ import annotations

import math

import cherrypy
import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import encode

HTTP_STATUS: dict[FailureKind, int] = {
    FailureKind.BAD_REQUEST: 400,
    FailureKind.HARMFUL: 400,
    FailureKind.UNAUTHENTICATED: 401,
    FailureKind.FORBIDDEN: 403,
    FailureKind.NOT_FOUND: 404,
    FailureKind.EXPIRED: 410,
    FailureKind.CONFLICT: 409,
    FailureKind.KEY_REUSED: 422,
    FailureKind.TOO_LARGE: 413,
    FailureKind.RATE_LIMITED: 429,
    FailureKind.OVERLOADED: 503,
    FailureKind.DEADLINE_EXCEEDED: 504,
    FailureKind.CANCELLED: 499,
    FailureKind.NO_BACKEND: 503,
    FailureKind.BACKEND_FAILED: 502,
    FailureKind.BACKEND_MISMATCH: 502,
    FailureKind.NOT_LEADER: 503,
    FailureKind.NO_QUORUM: 503,
    FailureKind.STALE: 503,
    FailureKind.FENCED: 409,
    FailureKind.STOPPING: 503,
    FailureKind.UNREACHABLE: 502,
    FailureKind.NOT_LISTENING: 502,
    FailureKind.TIMEOUT: 504,
    FailureKind.CORRUPT: 502,
    FailureKind.OUTCOME_UNKNOWN: 409,
    FailureKind.INTERNAL: 500,
}
DEFAULT_RETRY_AFTER_S = 1.0
STOPPING_RETRY_AFTER_S = 1.0
_TYPE_BY_STATUS = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """OpenAI's error object, extended by fields of leverjunction."""

    message: str
    type: str
    param: str | None
    code: str
    execution: Execution
    step: str
    peer: str
    request_id: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response, and of an error event in a stream."""

    error: ErrorDetail


def http_status(failure: Failure) -> int:
    """Return the HTTP status code of a failure."""
    return HTTP_STATUS[failure.kind]


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return the error body of a failure as JSON."""
    status = http_status(failure)
    return encode(
        ErrorBody(
            error=ErrorDetail(
                message=failure.reason,
                type=_TYPE_BY_STATUS.get(status, "server_error"),
                param=None,
                code=failure.kind.value,
                execution=failure.execution,
                step=failure.step.value,
                peer=failure.peer,
                request_id=request_id,
            )
        )
    )


def stopping_failure() -> Failure:
    """Return the Failure with which a stopping gateway refuses requests."""
    return Failure(
        kind=FailureKind.STOPPING,
        reason="this gateway is stopping; send the request to another one",
        step=Step.ADMISSION,
        retry_after_s=STOPPING_RETRY_AFTER_S,
        execution=Execution.NOT_RUN,
    )


def execution_of_error_page(status: int) -> Execution:
    """Return what an error page of CherryPy says: it rejects a request before its handler runs."""
    return Execution.NOT_RUN if status < 500 else Execution.UNKNOWN


def retry_after(failure: Failure) -> str | None:
    """Return the value of ``Retry-After`` in whole seconds, or None.

    Responses with status 429 or 503 always have one.
    """
    if failure.retry_after_s is not None:
        return str(max(1, math.ceil(failure.retry_after_s)))
    if http_status(failure) in (429, 503):
        return str(math.ceil(DEFAULT_RETRY_AFTER_S))
    return None


def error_response(failure: Failure, request_id: str) -> bytes:
    """Set status and headers of the current CherryPy response and return the error body."""
    response = cherrypy.response
    response.status = http_status(failure)
    response.stream = False
    response.headers["Content-Type"] = "application/json"
    response.headers["X-Request-Id"] = request_id
    response.headers.pop("Content-Length", None)
    seconds = retry_after(failure)
    if seconds is not None:
        response.headers["Retry-After"] = seconds
    return error_body(failure, request_id)
