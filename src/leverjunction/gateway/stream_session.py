"""The life of one relayed stream besides its bytes: repair after a break, and its end."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec
from loguru import logger

from leverjunction.api.errors import error_body
from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import EngineCall
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.http_server import ClientConnection
from leverjunction.gateway.journal import Journal
from leverjunction.gateway.online_request import Attempt, OnlineRequest, OpenAnswer
from leverjunction.gateway.relay_stream import (
    AnswerIsWhole,
    EngineSide,
    RelayStream,
    StreamCallbacks,
)
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.sender import Sender
from leverjunction.gateway.transcript import Progress, read_progress, with_continue_text
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionOutcome

MAX_BARREN_REPAIRS = 3
"""Repairs in a row without one new event after which a stream ends with an error."""

SILENCE_S = 20.0
RESUME_TIMEOUT_S = 3.0

StreamEnded = Callable[[bytes, Failure | None], None]


class StreamDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """What every stream session uses."""

    engines: EngineClient
    sender: Sender
    pool: RunnerPool
    journal: Journal
    counters: GatewayCounters
    clock: Clock


class StreamSession:
    """One stream; its methods are called by the relay loop's helper threads.

    ``repair`` runs at most once at a time, but ``end`` may come in the middle of it, when the
    caller goes away or the deadline passes. Each attempt is closed exactly once.
    """

    def __init__(
        self,
        services: StreamDependencies,
        request: OnlineRequest,
        answer: OpenAnswer,
        ended: StreamEnded,
    ) -> None:
        self._services = services
        self._request = request
        self._attempt = answer.attempt
        self._attempt_number = answer.attempt.number
        self._segment_start = 0
        self._repaired_at = -1
        self._barren_repairs = 0
        self._ended = ended
        self._lock = threading.Lock()
        self._is_over = False

    def relay_stream(self, answer: OpenAnswer, client: ClientConnection) -> RelayStream:
        """Return the stream for the relay loop; without an engine's side when taking it failed."""
        engine: EngineSide | Failure
        try:
            engine = _engine_side(answer)
        except Exception as error:
            # The caller has its head already: the stream must go on, or end with an error event.
            logger.exception("an engine's connection could not be taken over")
            engine = _failure(FailureKind.INTERNAL, f"no connection to relay from: {error}")
        return RelayStream(
            client=client,
            engine=engine,
            callbacks=StreamCallbacks(
                broken=self.repair,
                ended=self.end,
                error_event=self.error_event,
                runner_is_healthy=lambda: self._services.pool.is_healthy(self._attempt.runner_id),
            ),
            deadline_s=self._request.deadline_s,
            silence_s=SILENCE_S,
        )

    def error_event(self, failure: Failure) -> bytes:
        """Return the SSE event that tells the caller of a failure."""
        return b"event: error\ndata: %b\n\n" % error_body(failure, self._request.request_id)

    def repair(self, transcript: bytes, failure: Failure) -> EngineSide | AnswerIsWhole | Failure:
        """Find how a broken stream goes on: same runner, another runner, or not at all."""
        self._services.pool.failed(self._attempt.runner_id)
        progress = read_progress(transcript, self._segment_start)
        if progress.finished:
            return AnswerIsWhole()
        if not self._may_repair(len(transcript)):
            return self._give_up(failure, "it broke again without progress")
        resumed = self._resume(progress)
        if resumed is not None:
            self._note(DecisionOutcome.RESUMED, "resume", failure.reason)
            return resumed
        if not self._request.repeatable:
            return self._give_up(failure, "the request may not be repeated")
        if not progress.continuable:
            return self._give_up(failure, "its answer is not plain text")
        continued = self._continue(progress, len(transcript))
        if isinstance(continued, Failure):
            return self._give_up(failure, continued.reason)
        self._note(DecisionOutcome.CONTINUED, "continue", failure.reason)
        return continued

    def end(self, transcript: bytes, failure: Failure | None) -> None:
        """Close the books of a stream that is over."""
        with self._lock:
            self._is_over = True
            attempt = self._attempt
        self._close(attempt, cancel=failure is not None)
        self._ended(transcript, failure)

    def abandon(self) -> None:
        """Close the books of a stream whose head could not be written to the caller."""
        failure = Failure(
            kind=FailureKind.CANCELLED,
            reason="the caller went away before the head of its answer",
            step=Step.RELAYING,
            execution=Execution.RAN,
        )
        self.end(b"", failure)

    def _close(self, attempt: Attempt, *, cancel: bool) -> None:
        sender = self._services.sender
        if cancel:
            # A request that ended early must not go on computing.
            sender.cancel(attempt.address, self._request.request_id)
        sender.close_attempt(self._request, attempt)

    def _may_repair(self, length: int) -> bool:
        if length > self._repaired_at:
            self._barren_repairs = 0
        self._repaired_at = length
        self._barren_repairs += 1
        return self._barren_repairs <= MAX_BARREN_REPAIRS

    def _resume(self, progress: Progress) -> EngineSide | None:
        """Ask the same runner for the events after the last one that was passed on."""
        if not self._services.pool.is_healthy(self._attempt.runner_id):
            return None
        self._attempt_number += 1
        stream = self._services.engines.open(
            EngineCall(
                address=self._attempt.address,
                request_id=self._request.request_id,
                attempt=self._attempt_number,
                path=self._request.path,
                body=b"",
                priority=self._request.serving.online_priority,
                timeout_s=RESUME_TIMEOUT_S,
                last_event_id=progress.last_event_id,
                raw_stream=True,
            )
        )
        if isinstance(stream, Failure):
            return None
        if stream.status != 200:
            stream.close()
            return None
        return _engine_side(OpenAnswer(stream=stream, attempt=self._attempt))

    def _continue(self, progress: Progress, length: int) -> EngineSide | Failure:
        """Let another runner go on from the prompt and the text that was passed on."""
        services = self._services
        if not services.sender.take_retry(self._request.service):
            return _failure(FailureKind.OVERLOADED, "the retry budget is spent")
        services.sender.cancel(self._attempt.address, self._request.request_id)
        body = with_continue_text(self._request.body, progress.text)
        answer = services.sender.send(
            msgspec.structs.replace(self._request, body=body),
            first_attempt=self._attempt_number + 1,
            tried=frozenset({self._attempt.runner_id}),
            may_queue=False,
        )
        if isinstance(answer, Failure):
            return answer
        if not isinstance(answer, OpenAnswer):
            return _failure(FailureKind.BACKEND_FAILED, f"HTTP {answer.status} on continuation")
        self._segment_start = length
        return self._switch_to(answer)

    def _switch_to(self, answer: OpenAnswer) -> EngineSide | Failure:
        """Make another runner's attempt the present one, unless the stream is over meanwhile."""
        with self._lock:
            is_over = self._is_over
            former, self._attempt = self._attempt, self._attempt if is_over else answer.attempt
        self._attempt_number = answer.attempt.number
        if is_over:
            answer.stream.close()
            self._close(answer.attempt, cancel=True)
            return _failure(FailureKind.CANCELLED, "the stream ended while it was repaired")
        self._close(former, cancel=False)
        return _engine_side(answer)

    def _give_up(self, failure: Failure, why: str) -> Failure:
        """Return the failure that the caller's error event carries."""
        self._services.counters.stream_repairs.labels("error").inc()
        final = msgspec.structs.replace(
            failure, reason=f"{failure.reason}; not repaired: {why}", execution=Execution.RAN
        )
        self._services.journal.note(
            self._request,
            DecisionOutcome.FAILED,
            Step.RELAYING,
            final.reason,
            self._attempt.runner_id,
            self._attempt_number,
        )
        return final

    def _note(self, outcome: DecisionOutcome, how: str, reason: str) -> None:
        self._services.counters.stream_repairs.labels(how).inc()
        self._services.journal.note(
            self._request,
            outcome,
            Step.RELAYING,
            reason,
            self._attempt.runner_id,
            self._attempt_number,
        )


def _engine_side(answer: OpenAnswer) -> EngineSide:
    detached = answer.stream.detach()
    return EngineSide(
        connection=detached.connection,
        first_bytes=detached.first_bytes,
        address=answer.attempt.address,
    )


def _failure(kind: FailureKind, reason: str) -> Failure:
    return Failure(kind=kind, reason=reason, step=Step.RELAYING)
