"""Lifecycle of a relayed stream: repair after a broken connection, and the end of the stream.

The relay loop (``relay.py``) copies the bytes; this module decides how a broken stream continues.
"""

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
from leverjunction.gateway.decision_log import DecisionLog
from leverjunction.gateway.http_server import ClientConnection
from leverjunction.gateway.online_request import Attempt, OnlineRequest, OpenResponse
from leverjunction.gateway.relay_stream import (
    EngineSide,
    OutputTimes,
    RelayStream,
    ResponseComplete,
    StreamCallbacks,
)
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.sender import Sender
from leverjunction.gateway.transcript import Progress, read_progress, with_continue_text
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionOutcome

MAX_REPAIRS_WITHOUT_PROGRESS = 3
"""Consecutive repairs without any new event after which a stream ends with an error."""

SILENCE_TIMEOUT_S = 20.0
"""Time without any bytes from the engine after which its connection counts as broken."""

RESUME_TIMEOUT_S = 3.0

StreamEndCallback = Callable[[bytes, Failure | None], None]
"""Called with the relayed events, and the reason for an early end or None."""


class StreamDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Components that all stream sessions share."""

    engines: EngineClient
    sender: Sender
    pool: RunnerPool
    decision_log: DecisionLog
    counters: GatewayCounters
    clock: Clock


class StreamSession:
    """One relayed stream; the relay loop's helper threads call its methods.

    At most one ``repair`` runs at a time, but ``end`` may be called during a repair if the caller
    disconnects or the deadline passes. Each attempt is closed exactly once.
    """

    def __init__(
        self,
        dependencies: StreamDependencies,
        request: OnlineRequest,
        response: OpenResponse,
        on_end: StreamEndCallback,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._attempt = response.attempt
        self._attempt_number = response.attempt.number
        self._segment_start = 0
        self._last_repair_length = -1
        self._repairs_without_progress = 0
        self._output: OutputTimes | None = None
        self._on_end = on_end
        self._lock = threading.Lock()
        self._is_ended = False

    def relay_stream(self, response: OpenResponse, client: ClientConnection) -> RelayStream:
        """Return the stream for the relay loop.

        If the engine's connection cannot be detached, the stream holds the failure in place of
        the engine's side, and the relay loop starts with a repair.
        """
        engine: EngineSide | Failure
        try:
            engine = _engine_side(response)
        except Exception as error:
            # The response head is already sent: the stream continues or ends with an error event.
            logger.exception("could not detach the engine's connection")
            engine = _relay_failure(
                FailureKind.INTERNAL, f"could not detach the connection: {error}"
            )
        return RelayStream(
            client=client,
            engine=engine,
            callbacks=StreamCallbacks(
                repair=self.repair,
                on_end=self.end,
                error_event=self.error_event,
                runner_is_healthy=lambda: self._dependencies.pool.is_healthy(
                    self._attempt.runner_id
                ),
            ),
            deadline_s=self._request.deadline_s,
            silence_s=SILENCE_TIMEOUT_S,
        )

    def error_event(self, failure: Failure) -> bytes:
        """Return the server-sent event that reports a failure to the caller."""
        return b"event: error\ndata: %b\n\n" % error_body(failure, self._request.request_id)

    def repair(
        self, transcript: bytes, failure: Failure, output: OutputTimes | None
    ) -> EngineSide | ResponseComplete | Failure:
        """Reconnect a broken stream: on the same runner, on another runner, or not at all.

        Args:
            transcript: All events that were relayed to the caller so far.
            failure: The failure that broke the stream.
            output: Times of the events since the last repair, None without any.

        Returns:
            The engine's side to relay from; ``ResponseComplete`` if the response was already
            complete; the failure to report to the caller if the stream cannot be repaired.
        """
        self._dependencies.pool.record_failure(self._attempt.runner_id)
        progress = read_progress(transcript, self._segment_start)
        if progress.finished:
            return ResponseComplete()
        # A resumed response belongs to the same run, which began with its very first event.
        if self._output is None:
            self._output = output
        elif output is not None:
            self._output = self._output._replace(last_s=output.last_s)
        # A continued response counts as the same request: its key is that of the received body.
        self._dependencies.sender.run_lost(self._request, self._attempt, self._output)
        if not self._may_repair(len(transcript)):
            return self._give_up(failure, "it broke repeatedly without progress")
        resumed = self._resume(progress)
        if resumed is not None:
            self._record_repair(DecisionOutcome.RESUMED, "resume", failure.reason)
            return resumed
        if not self._request.repeatable:
            return self._give_up(failure, "the request must not be repeated")
        if not progress.continuable:
            return self._give_up(failure, "the response is not plain text")
        continued = self._continue(progress, len(transcript))
        if isinstance(continued, Failure):
            return self._give_up(failure, continued.reason)
        self._record_repair(DecisionOutcome.CONTINUED, "continue", failure.reason)
        return continued

    def end(self, transcript: bytes, failure: Failure | None) -> None:
        """Close the stream's attempt and report the end of the stream.

        Args:
            transcript: All events that were relayed to the caller.
            failure: Reason for an early end, None if the stream was relayed completely.
        """
        with self._lock:
            self._is_ended = True
            attempt = self._attempt
        self._close(attempt, cancel=failure is not None)
        self._on_end(transcript, failure)

    def abandon(self) -> None:
        """End a stream whose response head could not be written to the caller."""
        failure = Failure(
            kind=FailureKind.CANCELLED,
            reason="the caller disconnected before the response head was written",
            step=Step.RELAYING,
            execution=Execution.RAN,
        )
        self.end(b"", failure)

    def _close(self, attempt: Attempt, *, cancel: bool) -> None:
        sender = self._dependencies.sender
        if cancel:
            # The engine must not continue to compute a request that ended early.
            sender.cancel(attempt.address, self._request.request_id)
        sender.close_attempt(self._request, attempt)

    def _may_repair(self, length: int) -> bool:
        if length > self._last_repair_length:
            self._repairs_without_progress = 0
        self._last_repair_length = length
        self._repairs_without_progress += 1
        return self._repairs_without_progress <= MAX_REPAIRS_WITHOUT_PROGRESS

    def _resume(self, progress: Progress) -> EngineSide | None:
        """Request the events after the last relayed one from the same runner.

        Returns:
            The engine's side of the resumed stream; None if the runner cannot resume it.
        """
        if not self._dependencies.pool.is_healthy(self._attempt.runner_id):
            return None
        self._attempt_number += 1
        stream = self._dependencies.engines.open(
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
        return _engine_side(OpenResponse(stream=stream, attempt=self._attempt))

    def _continue(self, progress: Progress, length: int) -> EngineSide | Failure:
        """Continue the response on another runner, from the prompt and the relayed text."""
        dependencies = self._dependencies
        if not dependencies.sender.take_retry(self._request.service):
            return _relay_failure(FailureKind.OVERLOADED, "the retry budget is exhausted")
        dependencies.sender.cancel(self._attempt.address, self._request.request_id)
        body = with_continue_text(self._request.body, progress.text)
        response = dependencies.sender.send(
            msgspec.structs.replace(self._request, body=body, received_body=self._request.body),
            first_attempt=self._attempt_number + 1,
            tried=frozenset({self._attempt.runner_id}),
            may_queue=False,
        )
        if isinstance(response, Failure):
            return response
        if not isinstance(response, OpenResponse):
            return _relay_failure(
                FailureKind.BACKEND_FAILED, f"HTTP {response.status} on continuation"
            )
        self._segment_start = length
        return self._adopt_attempt(response)

    def _adopt_attempt(self, response: OpenResponse) -> EngineSide | Failure:
        """Make a new attempt the current one, unless the stream has ended in the meantime."""
        with self._lock:
            is_ended = self._is_ended
            previous, self._attempt = self._attempt, self._attempt if is_ended else response.attempt
        self._attempt_number = response.attempt.number
        self._output = None
        if is_ended:
            response.stream.close()
            self._close(response.attempt, cancel=True)
            return _relay_failure(FailureKind.CANCELLED, "the stream ended during its repair")
        self._close(previous, cancel=False)
        return _engine_side(response)

    def _give_up(self, failure: Failure, cause: str) -> Failure:
        """Record that a stream is not repaired and return the failure to report to the caller.

        The failure says RAN: the request has run at least in part.
        """
        self._dependencies.counters.stream_repairs.labels("error").inc()
        reported = msgspec.structs.replace(
            failure, reason=f"{failure.reason}; not repaired: {cause}", execution=Execution.RAN
        )
        self._dependencies.decision_log.note(
            self._request,
            DecisionOutcome.FAILED,
            Step.RELAYING,
            reported.reason,
            self._attempt.runner_id,
            self._attempt_number,
        )
        return reported

    def _record_repair(self, outcome: DecisionOutcome, method: str, reason: str) -> None:
        self._dependencies.counters.stream_repairs.labels(method).inc()
        self._dependencies.decision_log.note(
            self._request,
            outcome,
            Step.RELAYING,
            reason,
            self._attempt.runner_id,
            self._attempt_number,
        )


def _engine_side(response: OpenResponse) -> EngineSide:
    detached = response.stream.detach()
    return EngineSide(
        connection=detached.connection,
        first_bytes=detached.first_bytes,
        address=response.attempt.address,
    )


def _relay_failure(kind: FailureKind, reason: str) -> Failure:
    return Failure(kind=kind, reason=reason, step=Step.RELAYING, execution=Execution.UNKNOWN)
