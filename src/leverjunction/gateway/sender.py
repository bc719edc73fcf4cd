"""Routes a request to a runner, sends it, and retries on other runners where that is allowed."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec

from leverjunction.backends.client import EngineClient
from leverjunction.backends.head_wait import ShouldAbort
from leverjunction.backends.stream import EngineStream
from leverjunction.backends.types import EngineCall
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.admission import QueueLimits
from leverjunction.gateway.admission_gate import AdmissionGate, stopping_failure
from leverjunction.gateway.crashing_requests import CrashingRequests, accepts_connections
from leverjunction.gateway.decision_log import DecisionLog
from leverjunction.gateway.online_request import (
    Attempt,
    CompleteResponse,
    OnlineRequest,
    OpenResponse,
)
from leverjunction.gateway.relay_stream import OutputTimes
from leverjunction.gateway.retry import RetryBudget, may_retry
from leverjunction.gateway.routing import Candidate, Choice, free_slots
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.yielding import YieldNotifier
from leverjunction.observability.counters import GatewayCounters
from leverjunction.observability.decisions import DecisionOutcome
from leverjunction.wire.peer_calls import PeerCalls

MIN_CALL_TIMEOUT_S = 0.05
CANCEL_THREADS = 8
CANCELS_PER_ENGINE = 4
CANCEL_MAX_WAIT_S = 5.0
"""Time after which a cancel that waits for a silent engine is dropped: later it could hit the next
run of the same request.
"""


class _Route(msgspec.Struct, frozen=True, kw_only=True):
    """The choice of a runner.

    Attributes:
        runner: The runner.
        pause_end_s: When the last pause of this process before the choice ended. After a later
            one the runner may be leaving, so the choice must not be used any more.
    """

    runner: Candidate
    pause_end_s: float


class Sender:
    """Sends requests to runners.

    Thread-safe. ``send`` blocks the calling request thread while the request is queued and sent.
    """

    def __init__(
        self,
        engines: EngineClient,
        pool: RunnerPool,
        gate: AdmissionGate,
        budget: RetryBudget,
        notifier: YieldNotifier,
        decision_log: DecisionLog,
        counters: GatewayCounters,
        clock: Clock,
        crashing_requests: CrashingRequests | None = None,
    ) -> None:
        self._crashing_requests = crashing_requests
        self._engines = engines
        self._pool = pool
        self._gate = gate
        self._budget = budget
        self._notifier = notifier
        self._decision_log = decision_log
        self._counters = counters
        self._clock = clock
        self._budget_lock = threading.Lock()
        self._stopping = threading.Event()
        self._cancels = PeerCalls(
            ThreadPoolExecutor(CANCEL_THREADS, thread_name_prefix="cancel"),
            CANCEL_THREADS,
            clock,
            CANCEL_MAX_WAIT_S,
            CANCELS_PER_ENGINE,
        )

    def note_request(self, request: OnlineRequest) -> None:
        """Record a new request, which adds its share to the retry budget of its service."""
        ratio = request.serving.retry_budget_ratio
        with self._budget_lock:
            self._budget.request(request.service, ratio, self._clock.monotonic_s())

    def stop(self) -> None:
        """End all waits for a back end's response; nothing is sent to another one after that."""
        self._stopping.set()

    def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request at an engine in a background thread.

        Args:
            address: ``host:port`` of the engine.
            request_id: Id of the request.
        """
        self._cancels.submit(address, lambda: self._engines.cancel(address, request_id))

    def send(
        self,
        request: OnlineRequest,
        *,
        first_attempt: int = 1,
        tried: frozenset[str] = frozenset(),
        may_queue: bool = True,
    ) -> OpenResponse | CompleteResponse | Failure:
        """Send a request to runners until one responds or no retry is allowed.

        Args:
            request: The request to send.
            first_attempt: Number of the first attempt; higher than 1 for the continuation of a
                stream.
            tried: Ids of runners that must not be chosen.
            may_queue: False for a continuation, which has already waited in the queue.

        Returns:
            The response of the first runner that gave one; the failure of the last attempt, or
            the reason for which none was made.
        """
        attempt_number = first_attempt
        last_failure: Failure | None = None
        execution = Execution.NOT_RUN
        while True:
            refusal = self.refusal(request, execution)
            if refusal is not None:
                return refusal
            if self._stopping.is_set():
                return _with_execution(last_failure or stopping_failure(Step.SENDING), execution)
            route = self._route(request, attempt_number, tried, may_queue)
            may_queue = False
            if isinstance(route, Failure):
                # The failure of an attempt is more useful to the caller than "no other runner".
                return _with_execution(last_failure or route, execution)
            attempt = Attempt(
                runner_id=route.runner.runner_id,
                address=route.runner.address,
                number=attempt_number,
            )
            if self._is_still_down(request, attempt):
                tried |= {attempt.runner_id}
                continue
            response = self._attempt(request, attempt, route)
            if not isinstance(response, Failure):
                return response
            if response.kind is FailureKind.STALE:
                # Nothing was sent, so this is no attempt: the request is routed again.
                self._decision_log.note(
                    request, DecisionOutcome.RETRIED, response.step, response.reason, response.peer
                )
                continue
            last_failure = response
            if response.execution is not Execution.NOT_RUN:
                execution = Execution.UNKNOWN
            if not self._may_retry_attempt(request, response, attempt_number - first_attempt + 1):
                return _with_execution(response, execution)
            tried |= {attempt.runner_id}
            attempt_number += 1

    def refusal(
        self, request: OnlineRequest, execution: Execution = Execution.NOT_RUN
    ) -> Failure | None:
        """Return the refusal of a request that has crashed too many engines, otherwise None."""
        if self._crashing_requests is None:
            return None
        return self._crashing_requests.refusal(request, execution)

    def run_lost(
        self, request: OnlineRequest, attempt: Attempt, output: OutputTimes | None
    ) -> None:
        """Record a run that its engine broke off; an engine that has crashed is ejected.

        Args:
            request: The request.
            attempt: The attempt.
            output: Times of the response's events; None if it did not begin.
        """
        start = self._pool.start_of(attempt.runner_id)
        if self._crashing_requests is None or not start:
            return
        key = self._crashing_requests.lost(request, start, attempt.address, output)
        if not key:
            return
        ejected_s = self._pool.record_crash(attempt.runner_id)
        if ejected_s is not None:
            self._decision_log.ejected(request, attempt, ejected_s)
        self._crashing_requests.on_crash(key)

    def answered(self, request: OnlineRequest) -> None:
        """Record a complete response: the request does not crash the engines that run it."""
        if self._crashing_requests is not None:
            self._crashing_requests.answered(request)

    def close_attempt(self, request: OnlineRequest, attempt: Attempt) -> None:
        """Record the end of an attempt.

        ``send`` does so itself, except for an ``OpenResponse``: its receiver must close the attempt
        exactly once, at the end of the stream.
        """
        self._pool.record_finish(attempt.runner_id, attempt.key(request.request_id))
        self._notifier.request_finished(attempt.runner_id)
        self._gate.request_ended(request.service)

    def take_retry(self, service: str) -> bool:
        """Take one retry from a service's budget; returns False if the budget is exhausted."""
        with self._budget_lock:
            return self._budget.take(service, self._clock.monotonic_s())

    def _route(
        self, request: OnlineRequest, attempt_number: int, tried: frozenset[str], may_queue: bool
    ) -> _Route | Failure:
        needs = request.needs(tried)
        pause_end_s = self._pool.wait_for_current_view(request.deadline_s)
        candidates = self._pool.candidates(needs)
        waited_s: float | Failure = 0.0
        if may_queue and any(candidate.excluded is None for candidate in candidates):
            waited_s = self._gate.wait_for_admission(
                request.service,
                request.request_id,
                self._queue_limits(request),
                lambda: free_slots(self._pool.candidates(needs)),
                lambda ahead: self._decision_log.queued(request, ahead),
            )
            if isinstance(waited_s, Failure):
                return waited_s
            if waited_s > 0:
                pause_end_s = self._pool.wait_for_current_view(request.deadline_s)
                candidates = self._pool.candidates(needs)
        choice = self._pool.choose(candidates, needs)
        self._decision_log.routed(request, attempt_number, choice)
        if choice.chosen is None:
            return _no_runner_failure(request, choice)
        return _Route(runner=choice.chosen, pause_end_s=pause_end_s)

    def _is_still_down(self, request: OnlineRequest, attempt: Attempt) -> bool:
        """Return whether a runner that had crashed has not restarted; costs no attempt."""
        if not self._pool.start_check_if_due(attempt.runner_id):
            return False
        is_running = accepts_connections(attempt.address)
        ejected_s = self._pool.end_check(attempt.runner_id, is_running=is_running)
        if ejected_s is not None:
            self._decision_log.ejected(request, attempt, ejected_s)
        return not is_running

    def _queue_limits(self, request: OnlineRequest) -> QueueLimits:
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        return QueueLimits(
            max_queue=request.serving.max_queue,
            queue_timeout_s=max(0.0, min(request.serving.queue_timeout_s, remaining_s)),
        )

    def _attempt(
        self, request: OnlineRequest, attempt: Attempt, route: _Route
    ) -> OpenResponse | CompleteResponse | Failure:
        key = attempt.key(request.request_id)
        send_start = self._pool.record_send(attempt.runner_id, key, request.blocks)
        if send_start.is_probe:
            self._decision_log.probed(request, attempt)
        self._notifier.request_arrived(attempt.runner_id, send_start.open_before)
        response = self._call(request, attempt, route)
        if isinstance(response, OpenResponse):
            self._pool.record_success(attempt.runner_id)
            self._counters.attempts.labels("ok").inc()
            return response
        self.close_attempt(request, attempt)
        if isinstance(response, Failure):
            self._counters.attempts.labels(response.kind.value).inc()
            self._handle_failure(request, attempt, response)
            return response
        self._pool.record_success(attempt.runner_id)
        self._counters.attempts.labels("ok").inc()
        return response

    def _call(
        self, request: OnlineRequest, attempt: Attempt, route: _Route
    ) -> OpenResponse | CompleteResponse | Failure:
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            return _deadline_failure(attempt)
        stream = self._engines.open(
            EngineCall(
                address=attempt.address,
                request_id=request.request_id,
                attempt=attempt.number,
                path=request.path,
                body=request.body,
                priority=request.serving.online_priority,
                timeout_s=max(remaining_s, MIN_CALL_TIMEOUT_S),
                raw_stream=request.stream,
            ),
            self._abort_check(request, attempt),
            lambda: self._pool.was_paused_since(route.pause_end_s),
        )
        if isinstance(stream, Failure):
            return self._name_stop(stream)
        if stream.status == 200 and request.stream:
            return OpenResponse(stream=stream, attempt=attempt)
        return self._read_whole(stream, attempt)

    def _abort_check(self, request: OnlineRequest, attempt: Attempt) -> ShouldAbort | None:
        """Return the check that ends the wait for a response head, None if nothing ends it early.

        The wait ends once the process is about to end, or once the gateway that owns the runner
        reports the runner as unhealthy. A request that must not be repeated keeps waiting for an
        unhealthy one: its response may still arrive, and it cannot be sent to another runner.
        """
        if not request.repeatable:
            return self._stopping.is_set
        return lambda: self._stopping.is_set() or not self._pool.is_healthy(attempt.runner_id)

    def _name_stop(self, failure: Failure) -> Failure:
        """Return what a failed attempt means: a wait that was ended says nothing of its runner."""
        if not self._stopping.is_set() or failure.execution is Execution.NOT_RUN:
            return failure
        return _stopped_failure(failure.peer)

    def _read_whole(self, stream: EngineStream, attempt: Attempt) -> CompleteResponse | Failure:
        body = stream.read_all()
        if isinstance(body, Failure):
            return body
        failure = _status_failure(stream, body, attempt)
        if failure is not None:
            return failure
        return CompleteResponse(
            status=stream.status,
            content_type=stream.headers.get("Content-Type", "application/json"),
            body=body,
            attempt=attempt,
        )

    def _handle_failure(self, request: OnlineRequest, attempt: Attempt, failure: Failure) -> None:
        if failure.step is Step.STOPPING:
            self._pool.record_inconclusive(attempt.runner_id)
            # Nobody will read its response.
            self.cancel(attempt.address, request.request_id)
            return
        if failure.kind in (FailureKind.OVERLOADED, FailureKind.NOT_FOUND, FailureKind.STALE):
            # The runner is healthy but rejected the request, or it was not sent.
            self._pool.record_inconclusive(attempt.runner_id)
        else:
            ejected_s = self._pool.record_failure(attempt.runner_id)
            if ejected_s is not None:
                self._decision_log.ejected(request, attempt, ejected_s)
        if failure.execution is Execution.UNKNOWN:
            self.run_lost(request, attempt, None)
            # The request may still be running there, but nobody will read its response.
            self.cancel(attempt.address, request.request_id)

    def _may_retry_attempt(self, request: OnlineRequest, failure: Failure, attempts: int) -> bool:
        if self._stopping.is_set() or not may_retry(failure, request.repeatable):
            return False
        if attempts >= request.serving.max_attempts:
            return False
        if not self.take_retry(request.service):
            self._decision_log.note(
                request, DecisionOutcome.FAILED, Step.ROUTING, "retry budget is exhausted"
            )
            return False
        self._counters.retries.labels(failure.kind.value).inc()
        self._decision_log.note(
            request, DecisionOutcome.RETRIED, failure.step, failure.reason, failure.peer, attempts
        )
        return True


def _status_failure(stream: EngineStream, body: bytes, attempt: Attempt) -> Failure | None:
    """Return the failure for a status that calls for another runner, None for other statuses.

    Other responses, including status 400, are passed on to the caller.
    """
    detail = body[:200].decode("utf8", "replace")
    if stream.status in (429, 503):
        return Failure(
            kind=FailureKind.OVERLOADED,
            reason=f"the back end rejected the request: {detail}",
            step=Step.RESPONDING,
            peer=attempt.address,
            retry_after_s=_parse_retry_after(stream.headers.get("Retry-After")),
            execution=Execution.NOT_RUN,
        )
    if stream.status == 404:
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"the back end has not loaded the model: {detail}",
            step=Step.RESPONDING,
            peer=attempt.address,
            execution=Execution.NOT_RUN,
        )
    if stream.status >= 500:
        return Failure(
            kind=FailureKind.BACKEND_FAILED,
            reason=f"the back end returned HTTP {stream.status}: {detail}",
            step=Step.RESPONDING,
            peer=attempt.address,
            execution=Execution.UNKNOWN,
        )
    return None


def _parse_retry_after(value: str | None) -> float | None:
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None


def _no_runner_failure(request: OnlineRequest, choice: Choice) -> Failure:
    return Failure(
        kind=FailureKind.NO_BACKEND,
        reason=f"{choice.reason} of service {request.service} for model {request.model}",
        step=Step.ROUTING,
        retry_after_s=1.0,
        execution=Execution.NOT_RUN,
    )


def _stopped_failure(peer: str) -> Failure:
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason="this gateway stopped before the back end responded",
        step=Step.STOPPING,
        peer=peer,
        execution=Execution.UNKNOWN,
    )


def _deadline_failure(attempt: Attempt) -> Failure:
    return Failure(
        kind=FailureKind.DEADLINE_EXCEEDED,
        reason="the service's deadline_s passed before the request was sent to a back end",
        step=Step.SENDING,
        peer=attempt.address,
        execution=Execution.NOT_RUN,
    )


def _with_execution(failure: Failure, execution: Execution) -> Failure:
    """Return the failure with the execution state of all attempts.

    The state must not be NOT_RUN if an earlier attempt may have run.
    """
    if execution is Execution.NOT_RUN:
        return failure
    return msgspec.structs.replace(failure, execution=execution)
