"""Typed records of decisions in a bounded ring, for operators to watch.

Refusals, moves and slow requests are always kept until the ring is full. Ordinary ones are kept
too while they are few or somebody watches; else a sample of them, so that they do not drive the
others out of the ring.
"""

from __future__ import annotations

import random
import threading
from collections import deque
from collections.abc import Iterator
from enum import StrEnum

import msgspec

RING_RECORDS = 4096
SAMPLE_RATIO = 0.1
SLOW_S = 1.0
ORDINARY_RECORDS_PER_S = 20
"""Records of ordinary requests that are kept in each second before sampling begins."""

MS_PER_S = 1000


class DecisionOutcome(StrEnum):
    """What a decision led to."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    QUEUED = "queued"
    ROUTED = "routed"
    RETRIED = "retried"
    RESUMED = "resumed"
    CONTINUED = "continued"
    FAILED = "failed"
    EJECTED = "ejected"
    PROBED = "probed"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


ALWAYS_KEPT = frozenset(DecisionOutcome) - {
    DecisionOutcome.ADMITTED,
    DecisionOutcome.ROUTED,
    DecisionOutcome.COMPLETED,
}


class CandidateScore(msgspec.Struct, frozen=True, kw_only=True):
    """One runner that was weighed, lower score first.

    Attributes:
        runner_id: The runner.
        score: Weighed score.
        load: Requests expected on it.
        overlap_blocks: Blocks of the prompt that its cache is thought to hold.
        note: Why it was left out, empty when it was weighed.
    """

    runner_id: str
    score: float
    load: float
    overlap_blocks: int
    note: str = ""


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision about one request.

    Attributes:
        sequence: Number of the record in this process.
        wall_ms: When, in milliseconds since the Unix epoch.
        request_id: The request, empty for a decision about a runner.
        service: Service concerned.
        step: Step of the work.
        outcome: What was decided.
        reason: One sentence that says why.
        runner_id: Runner chosen or concerned.
        attempt: Attempt number, 0 when none.
        waited_ms: Time the request had spent by then.
        candidates: Runners that were weighed.
    """

    wall_ms: int
    request_id: str
    service: str
    step: str
    outcome: DecisionOutcome
    reason: str
    runner_id: str = ""
    attempt: int = 0
    waited_ms: float = 0.0
    candidates: list[CandidateScore] = []
    sequence: int = 0


class DecisionRing:
    """Bounded, thread-safe record of the newest decisions."""

    def __init__(
        self,
        generator: random.Random,
        capacity: int = RING_RECORDS,
        sample_ratio: float = SAMPLE_RATIO,
    ) -> None:
        self._random = generator
        self._sample_ratio = sample_ratio
        self._records: deque[Decision] = deque(maxlen=capacity)
        self._changed = threading.Condition()
        self._next_sequence = 1
        self._closed = False
        self._followers = 0
        self._second = 0
        self._ordinary_in_second = 0

    def add(self, decision: Decision) -> bool:
        """Keep a decision if it matters, is watched or is sampled; returns whether it was kept."""
        with self._changed:
            if not self._keeps(decision):
                return False
            numbered = msgspec.structs.replace(decision, sequence=self._next_sequence)
            self._next_sequence += 1
            self._records.append(numbered)
            self._changed.notify_all()
        return True

    def _keeps(self, decision: Decision) -> bool:
        if decision.outcome in ALWAYS_KEPT or decision.waited_ms >= SLOW_S * MS_PER_S:
            return True
        are_few = self._are_few(decision.wall_ms)
        if are_few or self._followers > 0:
            return True
        # Sampling is by request, so that all records of a sampled request are kept together.
        return random.Random(decision.request_id).random() < self._sample_ratio

    def _are_few(self, wall_ms: int) -> bool:
        """Count an ordinary record; return whether its second has had few of them."""
        second = wall_ms // MS_PER_S
        if second != self._second:
            self._second = second
            self._ordinary_in_second = 0
        self._ordinary_in_second += 1
        return self._ordinary_in_second <= ORDINARY_RECORDS_PER_S

    def find(self, request_id: str = "", service: str = "", limit: int = 1000) -> list[Decision]:
        """Return kept decisions, oldest first, of one request or service (empty: any)."""
        with self._changed:
            records = list(self._records)
        found = [record for record in records if _matches(record, request_id, service)]
        return found[-limit:]

    def follow(
        self, request_id: str = "", service: str = "", idle_s: float = 5.0
    ) -> Iterator[Decision | None]:
        """Yield every new decision as it is made, and None after ``idle_s`` without one."""
        with self._changed:
            last = self._next_sequence - 1
            self._followers += 1
        try:
            yield from self._follow(last, request_id, service, idle_s)
        finally:
            with self._changed:
                self._followers -= 1

    def _follow(
        self, last: int, request_id: str, service: str, idle_s: float
    ) -> Iterator[Decision | None]:
        while True:
            with self._changed:
                if self._next_sequence <= last + 1 and not self._closed:
                    self._changed.wait(idle_s)
                if self._closed:
                    return
                fresh = [record for record in self._records if record.sequence > last]
            if not fresh:
                yield None
                continue
            last = fresh[-1].sequence
            yield from (record for record in fresh if _matches(record, request_id, service))

    def close(self) -> None:
        """End all followers."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()


def _matches(record: Decision, request_id: str, service: str) -> bool:
    if request_id and record.request_id != request_id:
        return False
    return not service or record.service == service
