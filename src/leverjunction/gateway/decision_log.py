"""Records the decisions about online requests in the ring buffer that operators can read."""

from __future__ import annotations

from leverjunction.clock import Clock
from leverjunction.errors import Failure, Step
from leverjunction.gateway.online_request import Attempt, OnlineRequest
from leverjunction.gateway.routing import Choice
from leverjunction.observability.decisions import Decision, DecisionOutcome, DecisionRing


class DecisionLog:
    """Log of the decisions about online requests. Thread-safe.

    Request threads and the threads that repair streams write to it.

    Args:
        ring: Buffer for the decisions.
        clock: Source of wall-clock and monotonic time.
    """

    def __init__(self, ring: DecisionRing, clock: Clock) -> None:
        self._ring = ring
        self._clock = clock

    def refused(self, request_id: str, service: str, failure: Failure) -> None:
        """Record the refusal of a request for which no ``OnlineRequest`` was created.

        Args:
            request_id: Id of the request.
            service: Service of the request, empty if unknown.
            failure: Reason for the refusal.
        """
        self._ring.add(
            Decision(
                wall_ms=self._clock.wall_ms(),
                request_id=request_id,
                service=service,
                step=failure.step.value,
                outcome=DecisionOutcome.REFUSED,
                reason=failure.reason,
                runner_id=failure.peer,
            )
        )

    def routed(self, request: OnlineRequest, attempt: int, choice: Choice) -> None:
        """Record the selection of a runner, or that no runner was selected.

        Args:
            request: The request.
            attempt: Number of the attempt, starting at 1.
            choice: Result of the selection.
        """
        chosen = choice.chosen
        self._ring.add(
            Decision(
                wall_ms=self._clock.wall_ms(),
                request_id=request.request_id,
                service=request.service,
                step=Step.ROUTING.value,
                outcome=DecisionOutcome.REFUSED if chosen is None else DecisionOutcome.ROUTED,
                reason=choice.reason,
                runner_id=chosen.runner_id if chosen is not None else "",
                attempt=attempt,
                waited_ms=self._elapsed_ms(request),
                candidates=choice.candidates,
            )
        )

    def queued(self, request: OnlineRequest, ahead: int) -> None:
        """Record that a request waits in the queue behind ``ahead`` other requests."""
        self.note(
            request,
            DecisionOutcome.QUEUED,
            Step.QUEUEING,
            f"all usable runners are full; {ahead} requests are ahead in the queue",
        )

    def probed(self, request: OnlineRequest, attempt: Attempt) -> None:
        """Record that a request probes a runner whose ejection has ended."""
        self.note(
            request,
            DecisionOutcome.PROBED,
            Step.ROUTING,
            "the runner's ejection has ended: this request probes it",
            attempt.runner_id,
            attempt.number,
        )

    def ejected(self, request: OnlineRequest, attempt: Attempt, ejected_s: float) -> None:
        """Record that a runner is ejected: it gets no requests for ``ejected_s`` seconds."""
        self.note(
            request,
            DecisionOutcome.EJECTED,
            Step.ROUTING,
            f"too many consecutive failures: ejected for {ejected_s:.1f} s",
            attempt.runner_id,
            attempt.number,
        )

    def note(
        self,
        request: OnlineRequest,
        outcome: DecisionOutcome,
        step: Step,
        reason: str,
        runner_id: str = "",
        attempt: int = 0,
    ) -> None:
        """Record any other decision about a request.

        Args:
            request: The request.
            outcome: The decision.
            step: Step of the request at which the decision was made.
            reason: Explanation for operators.
            runner_id: Runner that the decision concerns, empty for none.
            attempt: Number of the attempt, 0 for none.
        """
        self._ring.add(
            Decision(
                wall_ms=self._clock.wall_ms(),
                request_id=request.request_id,
                service=request.service,
                step=step.value,
                outcome=outcome,
                reason=reason,
                runner_id=runner_id,
                attempt=attempt,
                waited_ms=self._elapsed_ms(request),
            )
        )

    def _elapsed_ms(self, request: OnlineRequest) -> float:
        return round((self._clock.monotonic_s() - request.arrived_s) * 1000, 1)
