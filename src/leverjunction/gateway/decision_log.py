"""Writes the decisions about online requests into the ring that operators watch."""

from __future__ import annotations

from leverjunction.clock import Clock
from leverjunction.errors import Failure, Step
from leverjunction.gateway.online_request import Attempt, OnlineRequest
from leverjunction.gateway.routing import Choice
from leverjunction.observability.decisions import Decision, DecisionOutcome, DecisionRing


class DecisionLog:
    """Thread-safe; called by request and stream repair threads."""

    def __init__(self, ring: DecisionRing, clock: Clock) -> None:
        self._ring = ring
        self._clock = clock

    def refused(self, request_id: str, service: str, failure: Failure) -> None:
        """Record a refusal before any request was formed or sent."""
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
        """Record a choice of a runner."""
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
                waited_ms=self._spent_ms(request),
                candidates=choice.candidates,
            )
        )

    def queued(self, request: OnlineRequest, ahead: int) -> None:
        """Record that a request has to wait."""
        self.note(
            request,
            DecisionOutcome.QUEUED,
            Step.QUEUEING,
            f"all usable runners are full; {ahead} requests wait before it",
        )

    def probed(self, request: OnlineRequest, attempt: Attempt) -> None:
        """Record that a request tries a runner whose ejection has ended."""
        self.note(
            request,
            DecisionOutcome.PROBED,
            Step.ROUTING,
            "its ejection has ended: this request tries it",
            attempt.runner_id,
            attempt.number,
        )

    def ejected(self, request: OnlineRequest, attempt: Attempt, ejected_s: float) -> None:
        """Record that a runner gets no requests for a while."""
        self.note(
            request,
            DecisionOutcome.EJECTED,
            Step.ROUTING,
            f"failed too often in a row: ejected for {ejected_s:.1f} s",
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
        """Record any other decision about a request."""
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
                waited_ms=self._spent_ms(request),
            )
        )

    def _spent_ms(self, request: OnlineRequest) -> float:
        return round((self._clock.monotonic_s() - request.arrived_s) * 1000, 1)
