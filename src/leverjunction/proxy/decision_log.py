"""Records the proxy's decisions as metrics and as JSON lines on standard output.

A slow reader of the lines never blocks the proxy; the oldest lines are dropped instead.
"""

from __future__ import annotations

import sys
import threading
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from prometheus_client import Counter

from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure
from leverjunction.proxy.balancer import Choice
from leverjunction.proxy.caller_request import request_content
from leverjunction.proxy.dialect import RequestMetadata
from leverjunction.proxy.metrics import ProxyMetrics
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.proxy.unnamed_attempts import UnnamedAttempts
from leverjunction.quarantine.request_key import request_key
from leverjunction.registry.origins import Resumption
from leverjunction.registry.records import RunnerRecord

if TYPE_CHECKING:
    from leverjunction.proxy.dispatch import Dispatch, OpenedResponse

MAX_QUEUED_LINES = 2_000
"""Limit of lines queued for a slow reader of the log; beyond it the oldest are dropped."""


MAX_LOGGED_ID = 250
"""Length at which an id that a caller chose is cut off."""


MAX_LOGGED_PARTS = 16

FLUSH_TIMEOUT_S = 0.1


class DecisionLine(msgspec.Struct, omit_defaults=True):
    """A decision about one request, with the data that it is based on.

    Fields with their default value are left out of the line.

    Attributes:
        at_ms: Wall-clock time in Unix milliseconds.
        event: Kind of decision.
        request_id: The caller's id of this attempt.
        table: Version of the route table that applies to the request.
        route: Name of the request's route; empty if none matches.
        service: Service that was chosen for the request.
        waited_ms: Time since the request arrived, in milliseconds.
        allowed_ms: Time limit of the request by its caller and its route, in milliseconds.
        sent_ms: Time from the request's arrival until it was sent to the back end, in milliseconds;
            None if it was not sent. After several attempts, until the last one.
        output_ms: Time from the request's arrival to the first part of the response body in the
            last attempt, in milliseconds; None if there was none.
        runner_id: Id and start of the back end that the request was sent to.
        connection: Number of the connection to it, counted from the start of this process.
        connection_use: How many requests that connection has carried, this one included.
        version: Version of that back end's software.
        origin: Version that began the stream, if the request continues one.
        resumes: The caller's id of the attempt that began the stream.
        parts: Ids of the parts of the prompt, the first ones.
        request_key: Key shared by all attempts with the same request content.
        load: Estimated requests at the back end when it was chosen.
        load_age_ms: Age of the back end's last load report, in milliseconds; None if there was
            none.
        candidates: Number of back ends that were considered.
        work_factor: Expected time of work at the back end as a multiple of the mean.
        status: HTTP status of the proxy's own response.
        execution: Whether a back end may have run the request.
        step: Step of the work at which the request ended.
        reason: Cause of the decision.
    """

    at_ms: int
    event: str
    request_id: str
    table: int = 0
    route: str = ""
    service: str = ""
    waited_ms: int = 0
    allowed_ms: int = 0
    sent_ms: int | None = None
    output_ms: int | None = None
    runner_id: str = ""
    connection: int = 0
    connection_use: int = 0
    version: str = ""
    origin: str = ""
    resumes: str = ""
    parts: tuple[str, ...] = ()
    request_key: str = ""
    load: float = 0.0
    load_age_ms: int | None = None
    candidates: int = 0
    work_factor: float = 1.0
    status: int = 0
    execution: str = ""
    step: str = ""
    reason: str = ""


class LineWriter:
    """Writes lines to standard output on a separate thread.

    Args:
        lost: Incremented for each line that is dropped.
    """

    def __init__(self, lost: Counter) -> None:
        self._lines: deque[bytes] = deque()
        self._lost = lost
        self._changed = threading.Condition()
        self._is_writing = False
        threading.Thread(target=self._run, name="decision-lines", daemon=True).start()

    def put(self, line: bytes) -> None:
        """Queue a line without blocking; a full queue drops its oldest line."""
        with self._changed:
            if len(self._lines) >= MAX_QUEUED_LINES:
                self._lines.popleft()
                self._lost.inc()
            self._lines.append(line)
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> None:
        """Wait until all queued lines are written, at most for ``timeout_s``."""
        with self._changed:
            self._changed.wait_for(lambda: not self._lines and not self._is_writing, timeout_s)

    def _run(self) -> None:
        failing = False
        while True:
            with self._changed:
                self._is_writing = False
                self._changed.notify_all()
                while not self._lines:
                    self._changed.wait()
                lines = list(self._lines)
                self._lines.clear()
                self._is_writing = True
            try:
                sys.stdout.buffer.write(b"\n".join(lines) + b"\n")
                sys.stdout.buffer.flush()
            except (OSError, ValueError) as error:
                # The thread must survive: a full disk or a reader that left may come back.
                self._lost.inc(len(lines))
                if not failing:
                    logger.warning("cannot write decision lines: {}", error)
                failing = True
                continue
            failing = False


class DecisionLog:
    """Counts all sends and requests, and logs those that fail, wait or are refused.

    A request that is answered at the first attempt is counted but not logged.
    """

    def __init__(self, clock: Clock, metrics: ProxyMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._writer = LineWriter(metrics.lines_lost)
        self._unnamed = UnnamedAttempts()

    def sent(
        self,
        routed: RoutedRequest,
        choice: Choice,
        response: OpenedResponse | Failure,
        dispatch: Dispatch,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record a send to a back end, once its response head has arrived or it has failed.

        Args:
            routed: The request.
            choice: The back end that it was sent to.
            response: The response, or the failure.
            dispatch: The attempt.
            sent_s: When it was sent, in monotonic seconds.
            now_s: Current time in monotonic seconds.
        """
        if not isinstance(response, Failure):
            self._metrics.sends.labels("answered").inc()
            waited_s = now_s - routed.request.arrived_s
            self._metrics.head_s.labels(routed.route.kind.value).observe(waited_s)
            return
        load_at_s = choice.runner.load_updated_s
        self._metrics.sends.labels(response.kind.value).inc()
        self._write(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="send_failed",
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                allowed_ms=_ms(routed.until_s - routed.request.arrived_s),
                sent_ms=_ms(sent_s - routed.request.arrived_s),
                runner_id=choice.runner.record.start,
                connection=dispatch.connection,
                connection_use=dispatch.connection_use,
                version=choice.runner.record.version,
                origin=routed.version or "",
                load=round(choice.load, 2),
                load_age_ms=_ms(now_s - load_at_s) if load_at_s else None,
                candidates=choice.candidates,
                work_factor=round(choice.factor, 2),
                execution=response.execution.value,
                step=response.step.value,
                reason=response.reason,
            )
        )

    def held(self, routed: RoutedRequest, outcome: str, now_s: float) -> None:
        """Record a request that waited at this gateway before it was sent or refused.

        Args:
            routed: The request.
            outcome: ``sent`` or ``refused``.
            now_s: Current time in monotonic seconds.
        """
        self._metrics.holds.labels(outcome).inc()
        self._write(
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
        self, routed: RoutedRequest, runner: RunnerRecord, failure: Failure, now_s: float
    ) -> None:
        """Record a run that was lost because the back end's connection broke.

        Args:
            routed: The request.
            runner: The back end.
            failure: Failure that ended the response.
            now_s: Current time in monotonic seconds.
        """
        self._metrics.lost_runs.inc()
        self._write(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="run_lost",
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                runner_id=runner.start,
                version=runner.version,
                origin=routed.version or "",
                parts=tuple(
                    part.key[:MAX_LOGGED_ID] for part in routed.metadata.parts[:MAX_LOGGED_PARTS]
                ),
                request_key=request_key(request_content(routed.request)),
                execution=failure.execution.value,
                step=failure.step.value,
                reason=failure.reason,
            )
        )

    def resumed(
        self, routed: RoutedRequest, resumption: Resumption, lookup_s: float, now_s: float
    ) -> None:
        """Record a stream that a caller continues, before it is sent or refused.

        Args:
            routed: The request.
            resumption: What is known of the stream.
            lookup_s: Time that it took to find out, in seconds.
            now_s: Current time in monotonic seconds.
        """
        self._metrics.resumptions.labels(resumption.source.value).inc()
        self._watch_unnamed(bool(routed.metadata.resumes))
        self._metrics.origin_lookup_s.observe(lookup_s)
        answers = f", {resumption.answered} of {resumption.asked} answered"
        self._write(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="resumed",
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                origin=routed.version or "",
                resumes=routed.metadata.resumes[:MAX_LOGGED_ID],
                reason=f"origin: {resumption.source}{answers if resumption.asked else ''}",
            )
        )

    def _watch_unnamed(self, is_named: bool) -> None:
        if not self._unnamed.note(is_named):
            return
        counts = self._unnamed.unnamed, self._unnamed.seen
        if self._unnamed.is_reported:
            logger.warning(
                "{} of the last {} callers that resume a stream name no attempt; they are refused"
                " while their service has several versions",
                *counts,
            )
        else:
            logger.info("{} of the last {} callers that resume a stream name no attempt", *counts)

    def went_on(self, routed: RoutedRequest, now_s: float) -> None:
        """Record the first event of a stream that a caller continues.

        Args:
            routed: The request.
            now_s: Current time in monotonic seconds.
        """
        self._write(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="went_on",
                request_id=routed.metadata.request_id,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                sent_ms=_since_arrival_ms(routed, routed.sent_s or None),
                runner_id=routed.runner_id,
                origin=routed.version or "",
                resumes=routed.metadata.resumes[:MAX_LOGGED_ID],
            )
        )

    def resumption_ended(self, routed: RoutedRequest) -> None:
        """Count what became of a stream that a caller continues."""
        if routed.went_on:
            outcome = "went on"
        else:
            outcome = "not run" if routed.execution is Execution.NOT_RUN else "failed"
        self._metrics.resumed_streams.labels(outcome).inc()

    def origin_not_recorded(self) -> None:
        """Record a stream that begins although its origin may be unknown to other gateways."""
        self._metrics.origins_not_recorded.inc()

    def ended(self, routed: RoutedRequest, outcome: str, reason: str, now_s: float) -> None:
        """Record the end of a request that was forwarded.

        Args:
            routed: The request.
            outcome: ``answered``, ``broken_off``, ``cancelled`` or ``cut`` (this process ends).
            reason: Cause, empty for an answered request.
            now_s: Current time in monotonic seconds.
        """
        self._metrics.requests.labels(outcome).inc()
        if outcome == "answered":
            return
        self._write(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event=outcome,
                request_id=routed.metadata.request_id,
                table=routed.table_version,
                route=routed.route.name,
                service=routed.service,
                waited_ms=_ms(now_s - routed.request.arrived_s),
                allowed_ms=_ms(routed.until_s - routed.request.arrived_s),
                sent_ms=_since_arrival_ms(routed, routed.sent_s or None),
                output_ms=_since_arrival_ms(routed, routed.first_output_s),
                runner_id=routed.runner_id,
                origin=routed.version or "",
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
        """Record a response that the proxy generated itself.

        Args:
            metadata: Metadata of the request.
            table_version: Version of the current route table, 0 for none.
            status: HTTP status of the response.
            failure: Cause of the response.
            waited_s: Time since the request arrived, in seconds.
        """
        self._metrics.refusals.labels(failure.kind.value).inc()
        self._write(
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

    def flush(self) -> None:
        """Wait briefly until the lines so far are written: the process is about to end."""
        self._writer.flush(FLUSH_TIMEOUT_S)

    def _write(self, line: DecisionLine) -> None:
        self._writer.put(msgspec.json.encode(line))


def _since_arrival_ms(routed: RoutedRequest, at_s: float | None) -> int | None:
    return None if at_s is None else _ms(at_s - routed.request.arrived_s)


def _ms(duration_s: float) -> int:
    return round(duration_s * 1000)
