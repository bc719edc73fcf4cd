"""What the proxy tells of its decisions: counters, and bounded log lines that never block."""

from __future__ import annotations

import sys
import threading
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.proxy.balancer import Choice
from leverjunction.proxy.counters import ProxyCounters
from leverjunction.proxy.dialect import RequestFacts

if TYPE_CHECKING:
    from leverjunction.proxy.attempt import OpenedAnswer
    from leverjunction.proxy.forwarding import Work

LINES_KEPT = 2_000
"""Lines that may wait for a slow reader of the log; beyond it the oldest are lost and counted."""


class DecisionLine(msgspec.Struct, omit_defaults=True):
    """One decision that touched a request."""

    at_ms: int
    event: str
    request_id: str
    route: str = ""
    service: str = ""
    runner_id: str = ""
    load: float = 0.0
    candidates: int = 0
    status: int = 0
    execution: str = ""
    step: str = ""
    reason: str = ""


class LineWriter:
    """Writes lines to standard output from a thread of its own."""

    def __init__(self, counters: ProxyCounters) -> None:
        self._lines: deque[bytes] = deque()
        self._counters = counters
        self._changed = threading.Condition()
        threading.Thread(target=self._run, name="decision-lines", daemon=True).start()

    def put(self, line: bytes) -> None:
        """Queue a line; never waits for the reader."""
        with self._changed:
            if len(self._lines) >= LINES_KEPT:
                self._lines.popleft()
                self._counters.lines_lost.inc()
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


class ProxyJournal:
    """Lines for all that fails, moves or is refused; counters for all.

    A send whose answer came at the first try is counted but has no line.
    """

    def __init__(self, clock: Clock, counters: ProxyCounters) -> None:
        self._clock = clock
        self._counters = counters
        self._writer = LineWriter(counters)

    def sent(
        self, work: Work, choice: Choice, answer: OpenedAnswer | Failure, waited_s: float
    ) -> None:
        """Note a send and the head of its answer, or how it failed.

        Args:
            work: The request.
            choice: Back end that was asked.
            answer: Its answer.
            waited_s: Time since the request arrived.
        """
        if not isinstance(answer, Failure):
            self._counters.sends.labels("answered").inc()
            self._counters.head_s.labels(work.route.kind.value).observe(waited_s)
            return
        self._counters.sends.labels(answer.kind.value).inc()
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="send_failed",
                request_id=work.facts.request_id,
                route=work.route.name,
                service=work.service,
                runner_id=choice.seat.record.runner_id,
                load=round(choice.load, 2),
                candidates=choice.candidates,
                execution=answer.execution.value,
                step=answer.step.value,
                reason=answer.reason,
            )
        )

    def ended(self, work: Work, outcome: str, reason: str) -> None:
        """Note how a request ended that was passed on."""
        self._counters.requests.labels(outcome).inc()
        if outcome == "answered":
            return
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event=outcome,
                request_id=work.facts.request_id,
                route=work.route.name,
                service=work.service,
                execution=work.execution.value,
                reason=reason,
            )
        )

    def refused(self, facts: RequestFacts, status: int, failure: Failure) -> None:
        """Note an answer of the proxy's own."""
        self._counters.refusals.labels(failure.kind.value).inc()
        self._put(
            DecisionLine(
                at_ms=self._clock.wall_ms(),
                event="refused",
                request_id=facts.request_id,
                status=status,
                execution=failure.execution.value,
                step=failure.step.value,
                reason=failure.reason,
            )
        )

    def _put(self, line: DecisionLine) -> None:
        self._writer.put(msgspec.json.encode(line))
