"""Check of the headers that an engine echoes to match a response to its request and attempt."""

from __future__ import annotations

from collections.abc import Mapping

from leverjunction.errors import Execution, Failure, FailureKind, Step

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt"


def response_mismatch(
    headers: Mapping[str, str], request_id: str, attempt: int, address: str
) -> Failure | None:
    """Return a failure if a response belongs to another request or attempt, else None.

    Args:
        headers: Headers of the response; a mapping with case-insensitive names.
        request_id: Id of the request that was sent.
        attempt: Number of the attempt that was sent.
        address: ``host:port`` of the engine.
    """
    got_id = headers.get(REQUEST_ID_HEADER)
    got_attempt = headers.get(ATTEMPT_HEADER)
    if got_id == request_id and got_attempt == str(attempt):
        return None
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason=(
            f"dropped a response for request {got_id} attempt {got_attempt}, "
            f"expected request {request_id} attempt {attempt}"
        ),
        step=Step.RESPONDING,
        peer=address,
        execution=Execution.UNKNOWN,
    )
