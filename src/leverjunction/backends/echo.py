"""The echo by which an answer is known to belong to a request and to one attempt of it."""

from __future__ import annotations

from collections.abc import Mapping

from leverjunction.errors import Execution, Failure, FailureKind, Step

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPT_HEADER = "X-Attempt"


def response_mismatch(
    headers: Mapping[str, str], request_id: str, attempt: int, address: str
) -> Failure | None:
    """Return a failure when an answer belongs to another request or attempt, else None.

    Args:
        headers: Headers of the answer; names must match in any case.
        request_id: Id of the request that was sent.
        attempt: Number of the attempt that was sent.
        address: The engine asked.
    """
    got_id = headers.get(REQUEST_ID_HEADER)
    got_attempt = headers.get(ATTEMPT_HEADER)
    if got_id == request_id and got_attempt == str(attempt):
        return None
    return Failure(
        kind=FailureKind.BACKEND_MISMATCH,
        reason=(
            f"answer is for request {got_id} attempt {got_attempt}, "
            f"want {request_id} attempt {attempt}; dropped it"
        ),
        step=Step.RESPONDING,
        peer=address,
        execution=Execution.UNKNOWN,
    )
