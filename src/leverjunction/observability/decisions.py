"""Ring buffer of typed decision records, which operators can search and follow.

Refusals, retries, failures and slow requests are always recorded. Ordinary records (admitted,
routed and completed requests) are all recorded while their rate is low or the ring has a follower;
otherwise they are sampled, so that they do not displace the others from the ring.
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
"""Ordinary records that are kept per second before sampling begins."""

MS_PER_S = 1000


class DecisionOutcome(StrEnum):
    """Outcome of a decision."""

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
    """The score of a candidate runner; lower is better.

    Attributes:
        runner_id: Id of the runner.
        score: Weighted score.
        load: Number of requests expected on the runner.
        overlap_blocks: Blocks of the prompt that its prefix cache is estimated to hold.
        note: Why the runner was excluded; empty when it was scored.
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
        wall_ms: Time of the decision, in milliseconds since the Unix epoch.
        request_id: Id of the request; empty for a decision about a runner.
        service: Name of the service.
        step: Processing step in which the decision was made.
        outcome: Outcome of the decision.
        reason: Why the decision was made, in one sentence.
        runner_id: Id of the runner that was chosen or affected.
        attempt: Attempt number; 0 if there was no attempt.
        waited_ms: Time that the request had taken so far, in milliseconds.
        candidates: Runners that were considered.
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
    """Thread-safe ring buffer of the most recent decisions."""

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
        """Record a decision unless sampling drops it; return whether it was recorded."""
        with self._changed:
            if not self._should_keep(decision):
                return False
            numbered = msgspec.structs.replace(decision, sequence=self._next_sequence)
            self._next_sequence += 1
            self._records.append(numbered)
            self._changed.notify_all()
        return True

    def _should_keep(self, decision: Decision) -> bool:
        if decision.outcome in ALWAYS_KEPT or decision.waited_ms >= SLOW_S * MS_PER_S:
            return True
        is_under_rate = self._count_ordinary(decision.wall_ms)
        if is_under_rate or self._followers > 0:
            return True
        # Samples by request id, so that either all or none of a request's records are kept.
        return random.Random(decision.request_id).random() < self._sample_ratio

    def _count_ordinary(self, wall_ms: int) -> bool:
        """Count an ordinary record; return whether its second is still within the rate limit."""
        second = wall_ms // MS_PER_S
        if second != self._second:
            self._second = second
            self._ordinary_in_second = 0
        self._ordinary_in_second += 1
        return self._ordinary_in_second <= ORDINARY_RECORDS_PER_S

    def find(self, request_id: str = "", service: str = "", limit: int = 1000) -> list[Decision]:
        """Return the newest decisions of a request or service (empty: any), oldest first."""
        with self._changed:
            records = list(self._records)
        found = [record for record in records if _matches(record, request_id, service)]
        return found[-limit:]

    def follow(
        self, request_id: str = "", service: str = "", idle_s: float = 5.0
    ) -> Iterator[Decision | None]:
        """Yield each new decision as it is recorded, and None after ``idle_s`` without one."""
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
                new_records = [record for record in self._records if record.sequence > last]
            if not new_records:
                yield None
                continue
            last = new_records[-1].sequence
            yield from (record for record in new_records if _matches(record, request_id, service))

    def close(self) -> None:
        """Stop all followers."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()


def _matches(record: Decision, request_id: str, service: str) -> bool:
    if request_id and record.request_id != request_id:
        return False
    return not service or record.service == service
