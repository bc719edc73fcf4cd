"""Sends a request to runners until one answers: route, send, and repeat where that is allowed."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec

from leverjunction.backends.client import EngineClient
from leverjunction.backends.head_wait import IsHopeless
from leverjunction.backends.stream import EngineStream
from leverjunction.backends.types import EngineCall
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission import QueueLimits
from leverjunction.gateway.admission_gate import AdmissionGate
from leverjunction.gateway.journal import Journal
from leverjunction.gateway.online_request import Attempt, OnlineRequest, OpenAnswer, WholeAnswer
from leverjunction.gateway.retry import RetryBudget, may_retry
from leverjunction.gateway.routing import Candidate, Choice, free_slots
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.yielding import YieldNotifier
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionOutcome

MIN_CALL_TIMEOUT_S = 0.05
CANCEL_THREADS = 8


class Sender:
    """Thread-safe; holds the calling request thread while it waits and sends."""

    def __init__(
        self,
        engines: EngineClient,
        pool: RunnerPool,
        gate: AdmissionGate,
        budget: RetryBudget,
        notifier: YieldNotifier,
        journal: Journal,
        counters: GatewayCounters,
        clock: Clock,
    ) -> None:
        self._engines = engines
        self._pool = pool
        self._gate = gate
        self._budget = budget
        self._notifier = notifier
        self._journal = journal
        self._counters = counters
        self._clock = clock
        self._budget_lock = threading.Lock()
        self._cancels = ThreadPoolExecutor(CANCEL_THREADS, thread_name_prefix="cancel")

    def note_request(self, request: OnlineRequest) -> None:
        """Note a new request: it earns its share of a retry."""
        ratio = request.serving.retry_budget_ratio
        with self._budget_lock:
            self._budget.request(request.service, ratio, self._clock.monotonic_s())

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request at its engine, without waiting for the engine."""
        self._cancels.submit(self._engines.cancel, address, request_id)

    def send(
        self,
        request: OnlineRequest,
        *,
        first_attempt: int = 1,
        tried: frozenset[str] = frozenset(),
        may_queue: bool = True,
    ) -> OpenAnswer | WholeAnswer | Failure:
        """Return the answer of the first runner that gives one.

        Args:
            request: What to send.
            first_attempt: Number of the first attempt; higher for a continuation.
            tried: Runners not to be chosen.
            may_queue: False for a continuation, which has waited its turn before.
        """
        number = first_attempt
        last: Failure | None = None
        executed = Execution.NOT_RUN
        while True:
            candidate = self._route(request, number, tried, may_queue and number == first_attempt)
            if isinstance(candidate, Failure):
                # The failure of a real attempt tells more than the lack of another runner.
                return _with_execution(last or candidate, executed)
            attempt = Attempt(
                runner_id=candidate.runner_id, address=candidate.address, number=number
            )
            answer = self._attempt(request, attempt)
            if not isinstance(answer, Failure):
                return answer
            last = answer
            if answer.execution is not Execution.NOT_RUN:
                executed = Execution.UNKNOWN
            if not self._may_go_on(request, answer, number - first_attempt + 1):
                return _with_execution(answer, executed)
            tried |= {attempt.runner_id}
            number += 1

    def close_attempt(self, request: OnlineRequest, attempt: Attempt) -> None:
        """Note the end of a streaming attempt; called once for each ``OpenAnswer``."""
        self._pool.finished(attempt.runner_id, attempt.key(request.request_id))
        self._notifier.finished(attempt.runner_id)
        self._gate.drained(request.service)

    def take_retry(self, service: str) -> bool:
        """Spend one retry of a service's budget."""
        with self._budget_lock:
            return self._budget.take(service, self._clock.monotonic_s())

    def _route(
        self, request: OnlineRequest, number: int, tried: frozenset[str], may_queue: bool
    ) -> Candidate | Failure:
        needs = request.needs(tried)
        self._pool.wait_told(request.deadline_s)
        candidates = self._pool.candidates(needs)
        waited_s: float | Failure = 0.0
        if may_queue and any(candidate.excluded is None for candidate in candidates):
            waited_s = self._gate.pass_or_wait(
                request.service,
                request.request_id,
                self._queue_limits(request),
                lambda: free_slots(self._pool.candidates(needs)),
                lambda ahead: self._journal.queued(request, ahead),
            )
            if isinstance(waited_s, Failure):
                return waited_s
            if waited_s > 0:
                candidates = self._pool.candidates(needs)
        choice = self._pool.choose(candidates, needs)
        self._journal.routed(request, number, choice)
        if choice.chosen is None:
            return _no_runner(request, choice)
        return choice.chosen

    def _queue_limits(self, request: OnlineRequest) -> QueueLimits:
        left_s = request.deadline_s - self._clock.monotonic_s()
        return QueueLimits(
            max_queue=request.serving.max_queue,
            queue_timeout_s=max(0.0, min(request.serving.queue_timeout_s, left_s)),
        )

    def _attempt(
        self, request: OnlineRequest, attempt: Attempt
    ) -> OpenAnswer | WholeAnswer | Failure:
        key = attempt.key(request.request_id)
        start = self._pool.sent(attempt.runner_id, key, request.blocks)
        if start.is_probe:
            self._journal.probed(request, attempt)
        self._notifier.arrived(attempt.runner_id, start.open_before)
        answer = self._call(request, attempt)
        if isinstance(answer, OpenAnswer):
            self._pool.succeeded(attempt.runner_id)
            self._counters.attempts.labels("ok").inc()
            return answer
        self.close_attempt(request, attempt)
        if isinstance(answer, Failure):
            self._counters.attempts.labels(answer.kind.value).inc()
            self._note_failure(request, attempt, answer)
            return answer
        self._pool.succeeded(attempt.runner_id)
        self._counters.attempts.labels("ok").inc()
        return answer

    def _call(self, request: OnlineRequest, attempt: Attempt) -> OpenAnswer | WholeAnswer | Failure:
        left_s = request.deadline_s - self._clock.monotonic_s()
        if left_s <= 0:
            return _deadline(attempt)
        stream = self._engines.open(
            EngineCall(
                address=attempt.address,
                request_id=request.request_id,
                attempt=attempt.number,
                path=request.path,
                body=request.body,
                priority=request.serving.online_priority,
                timeout_s=max(left_s, MIN_CALL_TIMEOUT_S),
                raw_stream=request.stream,
            ),
            self._hopelessness(request, attempt),
        )
        if isinstance(stream, Failure):
            return stream
        if stream.status == 200 and request.stream:
            return OpenAnswer(stream=stream, attempt=attempt)
        return self._read_whole(stream, attempt)

    def _hopelessness(self, request: OnlineRequest, attempt: Attempt) -> IsHopeless | None:
        """Return when to stop waiting for a head: once the runner's owner cannot reach it.

        A request that may not be repeated waits on: its answer may still come, and nothing else
        could be done with it.
        """
        if not request.repeatable:
            return None
        return lambda: not self._pool.is_healthy(attempt.runner_id)

    def _read_whole(self, stream: EngineStream, attempt: Attempt) -> WholeAnswer | Failure:
        body = stream.read_all()
        if isinstance(body, Failure):
            return body
        refusal = _refusal(stream, body, attempt)
        if refusal is not None:
            return refusal
        return WholeAnswer(
            status=stream.status,
            content_type=stream.headers.get("Content-Type", "application/json"),
            body=body,
            attempt=attempt,
        )

    def _note_failure(self, request: OnlineRequest, attempt: Attempt, failure: Failure) -> None:
        if failure.kind in (FailureKind.OVERLOADED, FailureKind.NOT_FOUND):
            # The runner works; it only refused.
            self._pool.abandoned(attempt.runner_id)
        else:
            ejected_s = self._pool.failed(attempt.runner_id)
            if ejected_s is not None:
                self._journal.ejected(request, attempt, ejected_s)
        if failure.execution is Execution.UNKNOWN:
            # What may be running there has no reader any more.
            self.cancel(attempt.address, request.request_id)

    def _may_go_on(self, request: OnlineRequest, failure: Failure, attempts: int) -> bool:
        if not may_retry(failure, request.repeatable):
            return False
        if attempts >= request.serving.max_attempts:
            return False
        if not self.take_retry(request.service):
            self._journal.note(
                request, DecisionOutcome.FAILED, Step.ROUTING, "retry budget is spent"
            )
            return False
        self._counters.retries.labels(failure.kind.value).inc()
        self._journal.note(
            request, DecisionOutcome.RETRIED, failure.step, failure.reason, failure.peer, attempts
        )
        return True


def _refusal(stream: EngineStream, body: bytes, attempt: Attempt) -> Failure | None:
    """Return a failure when an engine's status says that another runner should be asked.

    Other answers, also of status 400, are the caller's.
    """
    detail = body[:200].decode("utf8", "replace")
    if stream.status in (429, 503):
        return Failure(
            kind=FailureKind.OVERLOADED,
            reason=f"the back end refused: {detail}",
            step=Step.RESPONDING,
            peer=attempt.address,
            retry_after_s=_seconds(stream.headers.get("Retry-After")),
        )
    if stream.status == 404:
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"the back end has not loaded the model: {detail}",
            step=Step.RESPONDING,
            peer=attempt.address,
        )
    if stream.status >= 500:
        return Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=f"the back end answered HTTP {stream.status}: {detail}",
            step=Step.RESPONDING,
            peer=attempt.address,
            execution=Execution.UNKNOWN,
        )
    return None


def _seconds(value: str | None) -> float | None:
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None


def _no_runner(request: OnlineRequest, choice: Choice) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND,
        reason=f"{choice.reason} of service {request.service} for model {request.model}",
        step=Step.ROUTING,
        retry_after_s=1.0,
    )


def _deadline(attempt: Attempt) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="the service's deadline_s passed before a back end was asked",
        step=Step.SENDING,
        peer=attempt.address,
    )


def _with_execution(failure: Failure, executed: Execution) -> Failure:
    """Return a failure that never claims NOT_RUN when an earlier attempt may have run."""
    if executed is Execution.NOT_RUN:
        return failure
    return msgspec.structs.replace(failure, execution=executed)
