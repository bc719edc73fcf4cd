"""Runs a batch item on an engine and interprets the engine's response."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

import msgspec

from leverjunction.backends.head_wait import IsOutdated
from leverjunction.backends.stream import EngineStream
from leverjunction.backends.types import EngineCall, HeldRequest
from leverjunction.batch.held_work import WorkItem, request_id_of
from leverjunction.errors import Execution, Failure, FailureKind

RESPONSE_TIMEOUT_S = 600.0
"""Timeout of a whole response.

A response that is not streamed sends nothing until it is complete. Dead runners are detected
earlier, by their missing load reports.
"""

TRIES_PER_ATTEMPT = 1_000
"""Number of engine attempt numbers reserved for each leased attempt, so that they stay unique."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a response.

A larger one cannot be committed, so it fails its item instead of blocking its lease.
"""

_TOO_LARGE_BODY = '{"error":{"message":"the answer of %d bytes is too large","type":"too_large"}}'
_NOT_RUN_STATUSES = frozenset({404, 429, 503})
_CANCELLED = "cancelled"


class RunEnd(StrEnum):
    """How a run of an item ended; see ``RunResult.end``."""

    DONE = "done"
    REFUSED = "refused"
    PARKED = "parked"
    NOT_RUN = "not_run"
    BROKEN = "broken"


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run of an item.

    Attributes:
        end: DONE: the response is complete. REFUSED: the engine returned a permanent error.
            PARKED: the run was cancelled and has generated ``text``. NOT_RUN: no engine has
            executed the request. BROKEN: the run failed and may have been executed.
        status_code: HTTP status code, 0 without a response.
        body: Response or error as JSON text.
        text: For PARKED, the whole text generated so far, including that of earlier runs.
        reason: Cause of a failure.
        runner_lost: For BROKEN, True if the connection broke, so that the runner may have died.
    """

    end: RunEnd
    status_code: int = 0
    body: str = ""
    text: str = ""
    reason: str = ""
    runner_lost: bool = False


class Engines(Protocol):
    """The methods of ``backends.client.EngineClient`` that batch work uses."""

    def open(
        self, call: EngineCall, *, is_outdated: IsOutdated | None = None
    ) -> EngineStream | Failure:
        """Send a request; see ``EngineClient``."""
        ...

    def cancel(self, address: str, request_id: str) -> Failure | None:
        """Cancel a request; see ``EngineClient``."""
        ...

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        """List the requests with an owner label that an engine holds; see ``EngineClient``."""
        ...


def run_item(
    engines: Engines,
    work: WorkItem,
    address: str,
    priority: int,
    owner: str,
    is_outdated: IsOutdated | None = None,
) -> RunResult:
    """Run an item until it ends or is cancelled; blocks the calling worker thread.

    Args:
        engines: Client of the engines.
        work: The item.
        address: ``host:port`` of the engine.
        priority: Priority in the engine, 0 to 9.
        owner: Label of this process; other gateways use it to cancel the request if this process
            dies.
        is_outdated: Called just before the request is sent; True prevents that.
    """
    stream = engines.open(
        EngineCall(
            address=address,
            request_id=request_id_of(work),
            attempt=work.leased.attempt * TRIES_PER_ATTEMPT + work.tries,
            path=work.leased.item.url,
            body=engine_body(work.leased.item.body, work.continue_text),
            priority=priority,
            timeout_s=RESPONSE_TIMEOUT_S,
            owner=owner,
        ),
        is_outdated=is_outdated,
    )
    if isinstance(stream, Failure):
        return _handle_failure(engines, work, address, stream)
    body = stream.read_all()
    if isinstance(body, Failure):
        return _handle_failure(engines, work, address, body)
    return parse_response(stream.status, body, work.continue_text)


def engine_body(body: str, continue_text: str) -> bytes:
    """Return the request body with the text that the engine continues, if any."""
    if not continue_text:
        return body.encode()
    members = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    members["continue_text"] = msgspec.Raw(msgspec.json.encode(continue_text))
    return msgspec.json.encode(members)


def parse_response(status: int, body: bytes, continue_text: str) -> RunResult:
    """Interpret an engine's response to a run that continued after ``continue_text``."""
    if len(body) > MAX_RESPONSE_BYTES:
        error_body = _TOO_LARGE_BODY % len(body)
        return RunResult(end=RunEnd.REFUSED, status_code=status, body=error_body, reason=error_body)
    text = body.decode("utf8", "replace")
    if status in _NOT_RUN_STATUSES:
        return RunResult(end=RunEnd.NOT_RUN, status_code=status, body=text, reason=text[:200])
    if status >= 500:
        return RunResult(end=RunEnd.BROKEN, status_code=status, body=text, reason=text[:200])
    if status != 200:
        return RunResult(end=RunEnd.REFUSED, status_code=status, body=text, reason=text[:200])
    return _parse_completion(text, continue_text)


def _parse_completion(body: str, continue_text: str) -> RunResult:
    try:
        completion = msgspec.json.decode(body)
        choice = completion["choices"][0]
        text_parent = choice.get("message", choice)
        text_field = "content" if "message" in choice else "text"
        full_text = continue_text + (text_parent[text_field] or "")
    except (msgspec.DecodeError, KeyError, IndexError, TypeError, AttributeError) as error:
        reason = f"not a completion: {error!r}"
        return RunResult(end=RunEnd.BROKEN, status_code=200, body=body, reason=reason)
    if choice.get("finish_reason") == _CANCELLED:
        return RunResult(end=RunEnd.PARKED, status_code=200, text=full_text)
    if continue_text:
        text_parent[text_field] = full_text
        body = msgspec.json.encode(completion).decode()
    return RunResult(end=RunEnd.DONE, status_code=200, body=body)


def _handle_failure(engines: Engines, work: WorkItem, address: str, failure: Failure) -> RunResult:
    """Return the result of a run without a response, after cancelling a request that may still run.

    This gateway stops tracking the request, so it would not be cancelled together with its job.
    The call is synchronous, so that the cancel cannot hit the next run of the item on this engine.
    """
    if failure.execution == Execution.NOT_RUN:
        return RunResult(end=RunEnd.NOT_RUN, reason=failure.reason)
    engines.cancel(address, request_id_of(work))
    # A response to another request also makes the run BROKEN, but then the runner is alive.
    runner_lost = failure.kind == FailureKind.BACKEND_FAILED
    return RunResult(end=RunEnd.BROKEN, reason=failure.reason, runner_lost=runner_lost)
