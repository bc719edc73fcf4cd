"""What the proxy tells of its decisions: counters, and bounded log lines that never block."""

from __future__ import annotations

import sys
import threading
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from prometheus_client import Counter

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.proxy.balancer import Choice
from leverjunction.proxy.caller_connection import request_content
from leverjunction.proxy.dialect import RequestMetadata
from leverjunction.proxy.metrics import ProxyMetrics
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.quarantine.request_key import request_key

if TYPE_CHECKING:
    from leverjunction.proxy.dispatch import OpenedResponse

LINES_KEPT = 2_000
"""Lines that may wait for a slow reader of the log; beyond it the oldest are lost and counted."""


class DecisionLine(msgspec.Struct, omit_defaults=True):
    """One decision that touched a request, with what decided it.

    Attributes:
        at_ms: When, by the wall clock.
        event: What was decided.
        request_id: The caller's id of this attempt.
        table: Version of the route table that the request follows.
        route: Its route, empty when none fits.
        service: The service that was drawn for it.
        waited_ms: Time since the request arrived.
        allowed_ms: Time that its caller and its route allow.
        runner_id: Start of the back end that was asked.
        request_key: The same for all attempts that carry the same request.
        load: Requests that it probably had.
        load_age_ms: Age of what it last told of its load; None if it never did.
        candidates: Back ends that were weighed.
        status: Status of the proxy's own answer.
        execution: Whether a back end may have run the request.
        step: Where it ended.
        reason: Why.
    """

    at_ms: int
    event: str
    request_id: str
    table: int = 0
    route: str = ""
    service: str = ""
    waited_ms: int = 0
    allowed_ms: int = 0
    runner_id: str = ""
    request_key: str = ""
    load: float = 0.0
    load_age_ms: int | None = None
    candidates: int = 0
    status: int = 0
    execution: str = ""
    step: str = ""
    reason: str = ""


class LineWriter:
    """Writes lines to standard output from a thread of its own; counts those that are lost."""

    def __init__(self, lost: Counter) -> None:
        self._lines: deque[bytes] = deque()
        self._lost = lost
        self._changed = threading.Condition()
        threading.Thread(target=self._run, name="decision-lines", daemon=True).start()

    def put(self, line: bytes) -> None:
        """Queue a line; never waits for the reader."""
        with self._changed:
            if len(self._lines) >= LINES_KEPT:
                self._lines.popleft()
                self._lost.inc()
            self._lines.append(line)
            self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._lines:
                    self._changed.wait()
                batch = b"\n".join(self._lines) + b"\n"
                self._lines.clear()
            sys.stdout.buffer.write(batch)
            sys.stdout.buffer.flush()


class DecisionLog:
    """Lines for all that fails, moves or is refused; counters for all.

    A send whose answer came at the first try is counted but has no line.
    """

    def __init__(self, clock: Clock, metrics: ProxyMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._writer = LineWriter(metrics.lines_lost)

    def sent(
        self, routed: RoutedRequest, choice: Choice, answer: OpenedResponse | Failure, now_s: float
    ) -> None:
        """Note a send and the head of its answer, or how it failed.

        Args:
            routed: The request.
            choice: Back end that was asked.
            answer: Its answer.
            now_s: Monotonic time.
        """
        if not isinstance(answer, Failure):
            self._metrics.sends.labels("answered").inc()
            waited_s = now_s - routed.request.arrived_s
            self._metrics.head_s.labels(routed.route.kind.value).observe(waited_s)
            return
        told_s = choice.seat.told_s
        self._metrics.sends.labels(answer.kind.value).inc()
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="send_failed",
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                allowed_ms=_ms(routed.until_s - routed.request.arrived_s),
                runner_id=choice.seat.record.start,
                load=round(choice.load, 2),
                load_age_ms=_ms(now_s - told_s) if told_s else None,
                candidates=choice.candidates,
                execution=answer.execution.value,
                step=answer.step.value,
                reason=answer.reason,
            )
        )

    def held(self, routed: RoutedRequest, outcome: str, now_s: float) -> None:
        """Note a request that waited here before it was sent or refused."""
        self._metrics.holds.labels(outcome).inc()
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="held",
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                allowed_ms=_ms(routed.until_s - routed.request.arrived_s),
                execution=routed.execution.value,
                reason=f"no back end could answer in time; then {outcome}",
            )
        )

    def run_lost(
        self, routed: RoutedRequest, runner_id: str, failure: Failure, now_s: float
    ) -> None:
        """Note a run that its back end broke off: which request, and where.

        Args:
            routed: The request.
            runner_id: Back end that had the run.
            failure: How its answer ended.
            now_s: Monotonic time.
        """
        self._metrics.lost_runs.inc()
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="run_lost",
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                runner_id=runner_id,
                request_key=request_key(request_content(routed.request)),
                execution=failure.execution.value,
                step=failure.step.value,
                reason=failure.reason,
            )
        )

    def ended(self, routed: RoutedRequest, outcome: str, reason: str, now_s: float) -> None:
        """Note how a request ended that was passed on."""
        self._metrics.requests.labels(outcome).inc()
        if outcome == "answered":
            return
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event=outcome,
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                allowed_ms=_ms(routed.until_s - routed.request.arrived_s),
                execution=routed.execution.value,
                reason=reason,
            )
        )

    def refused(
        self,
        metadata: RequestMetadata,
        table_version: int,
        status: int,
        failure: Failure,
        waited_s: float,
    ) -> None:
        """Note an answer of the proxy's own.

        Args:
            metadata: What the request's headers say.
            table_version: Version of the route table in force, 0 for none.
            status: Status of the answer.
            failure: Why.
            waited_s: Time since the request arrived.
        """
        self._metrics.refusals.labels(failure.kind.value).inc()
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="refused",
                request_id=metadata.request_id,
                table=table_version,
                waited_ms=_ms(waited_s),
                status=status,
                execution=failure.execution.value,
                step=failure.step.value,
                reason=failure.reason,
            )
        )

    def _put(self, line: DecisionLine) -> None:
        self._writer.put(msgspec.json.encode(line))


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
