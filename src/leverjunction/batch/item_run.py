"""One run of a batch item on an engine, and what its answer means."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

import msgspec

from leverjunction.backends.stream import EngineStream
from leverjunction.backends.types import EngineCall, HeldRequest
from leverjunction.batch.held_work import WorkItem, request_id_of
from leverjunction.errors import Execution, Failure, FailureKind

ANSWER_TIMEOUT_S = 600.0
"""An answer that is not streamed is silent until its end; a dead runner is noticed by its load."""

TRIES_PER_ATTEMPT = 1_000
"""Attempt numbers of a lease's attempt: its runs on engines, so that no two are the same."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""A larger answer could not be committed: it fails its item instead of holding up its lease."""

_TOO_LARGE_BODY = '{"error":{"message":"the answer of %d bytes is too large","type":"too_large"}}'
_NOT_RUN_STATUSES = frozenset({404, 429, 503})
_CANCELLED = "cancelled"


class RunEnd(StrEnum):
    """How a run ended."""

    DONE = "done"
    REFUSED = "refused"
    PARKED = "parked"
    NOT_RUN = "not_run"
    BROKEN = "broken"


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one run.

    Attributes:
        end: DONE with the whole answer; REFUSED with the engine's own error, for good; PARKED with
            the text so far; NOT_RUN when no engine took it; BROKEN when it may have run.
        status_code: HTTP status, 0 when there was none.
        body: Answer or error, JSON text.
        text: For PARKED, the whole text generated so far.
        reason: Why, for the record.
        runner_lost: For BROKEN, True when the connection broke off: its runner may have died.
    """

    end: RunEnd
    status_code: int = 0
    body: str = ""
    text: str = ""
    reason: str = ""
    runner_lost: bool = False


class Engines(Protocol):
    """The part of ``backends.client.EngineClient`` that batch uses."""

    def open(self, call: EngineCall) -> EngineStream | Failure:
        """Send a request; see ``EngineClient``."""
        ...

    def cancel(self, address: str, request_id: str) -> Failure | None:
        """Cancel a request; see ``EngineClient``."""
        ...

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        """List the owned requests that an engine holds; see ``EngineClient``."""
        ...


def run_item(
    engines: Engines, work: WorkItem, address: str, priority: int, owner: str
) -> RunResult:
    """Run an item to its end, or until it is cancelled. Called by a worker thread.

    Args:
        engines: Client of the engines.
        work: The item.
        address: ``host:port`` of the engine.
        priority: Priority in the engine, 0 to 9.
        owner: Label of this process, by which the request is cancelled should it die.
    """
    stream = engines.open(
        EngineCall(
            address=address,
            request_id=request_id_of(work),
            attempt=work.leased.attempt * TRIES_PER_ATTEMPT + work.tries,
            path=work.leased.item.url,
            body=engine_body(work.leased.item.body, work.continue_text),
            priority=priority,
            timeout_s=ANSWER_TIMEOUT_S,
            owner=owner,
        )
    )
    if isinstance(stream, Failure):
        return _given_up(engines, work, address, stream)
    body = stream.read_all()
    if isinstance(body, Failure):
        return _given_up(engines, work, address, body)
    return read_answer(stream.status, body, work.continue_text)


def engine_body(body: str, continue_text: str) -> bytes:
    """Return the request body with the text after which the engine goes on."""
    if not continue_text:
        return body.encode()
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["continue_text"] = msgspec.Raw(msgspec.json.encode(continue_text))
    return msgspec.json.encode(fields)


def read_answer(status: int, body: bytes, continue_text: str) -> RunResult:
    """Interpret an engine's answer to a run that went on after ``continue_text``."""
    if len(body) > MAX_ANSWER_BYTES:
        refusal = _TOO_LARGE_BODY % len(body)
        return RunResult(end=RunEnd.REFUSED, status_code=status, body=refusal, reason=refusal)
    text = body.decode("utf8", "replace")
    if status in _NOT_RUN_STATUSES:
        return RunResult(end=RunEnd.NOT_RUN, status_code=status, body=text, reason=text[:200])
    if status >= 500:
        return RunResult(end=RunEnd.BROKEN, status_code=status, body=text, reason=text[:200])
    if status != 200:
        return RunResult(end=RunEnd.REFUSED, status_code=status, body=text, reason=text[:200])
    return _read_completion(text, continue_text)


def _read_completion(body: str, continue_text: str) -> RunResult:
    try:
        answer = msgspec.json.decode(body)
        choice = answer["choices"][0]
        holder = choice.get("message", choice)
        field = "content" if "message" in choice else "text"
        whole = continue_text + (holder[field] or "")
    except (msgspec.DecodeError, KeyError, IndexError, TypeError, AttributeError) as error:
        reason = f"not a completion: {error!r}"
        return RunResult(end=RunEnd.BROKEN, status_code=200, body=body, reason=reason)
    if choice.get("finish_reason") == _CANCELLED:
        return RunResult(end=RunEnd.PARKED, status_code=200, text=whole)
    if continue_text:
        holder[field] = whole
        body = msgspec.json.encode(answer).decode()
    return RunResult(end=RunEnd.DONE, status_code=200, body=body)


def _given_up(engines: Engines, work: WorkItem, address: str, failure: Failure) -> RunResult:
    """Return the result of a run without an answer, after stopping what may still run.

    Nobody reads it any more, so nobody would stop it when its job is cancelled. The item waits for
    the call, so that it cannot stop the item's next run on the same engine.
    """
    if failure.execution == Execution.NOT_RUN:
        return RunResult(end=RunEnd.NOT_RUN, reason=failure.reason)
    engines.cancel(address, request_id_of(work))
    # The answer to another request, too, is broken, but its runner lives.
    is_lost = failure.kind == FailureKind.BACKEND_FAILED
    return RunResult(end=RunEnd.BROKEN, reason=failure.reason, runner_lost=is_lost)
