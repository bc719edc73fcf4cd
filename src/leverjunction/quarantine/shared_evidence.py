"""Evidence of crashes that gateways share with each other.

Each gateway sends what it knows, not what has changed, so messages may be lost, doubled or late: a
start counts once for a request, and only if it crashed after the last complete response known.

Performs no I/O: the time is passed in. Times are those of the process's own monotonic clock;
between processes they are sent as ages.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from leverjunction.quarantine.records import (
    MAX_SHARED_RECORDS,
    MAX_SHARED_STARTS,
    AgedStart,
    EndedRun,
    SharedRecord,
)
from leverjunction.quarantine.suspects import OWN_EVIDENCE_TTL_S, OwnEvidence, Suspects
from leverjunction.quarantine.verdicts import Standing

MAX_ANSWERED = 1_000
"""Maximum number of cleared requests that are remembered; the oldest are dropped first."""


class SharedEvidence:
    """One gateway's evidence, its own together with that of others. Not thread-safe.

    Attributes:
        suspects: The evidence by request.
    """

    __slots__ = ("_answered", "suspects")

    def __init__(self) -> None:
        self.suspects = Suspects()
        self._answered: dict[str, float] = {}

    def ended(self, run: EndedRun, now_s: float) -> None:
        """Add a crash that this process has detected."""
        self.suspects.ended(run, now_s)

    def answered(self, key: str, at_s: float) -> None:
        """Clear a request after a complete response, and remember it.

        Evidence of others from before the response no longer counts when it arrives.
        """
        self.suspects.answered(key, at_s)
        self._answered[key] = max(at_s, self._answered.pop(key, at_s))
        if len(self._answered) > MAX_ANSWERED:
            self._answered.pop(next(iter(self._answered)))

    def expire(self, now_s: float) -> None:
        """Remove expired evidence, and responses from before all evidence that still counts."""
        self.suspects.expire(now_s)
        old = [
            key
            for key, at_s in self._answered.items()
            if now_s - at_s > OWN_EVIDENCE_TTL_S and self.suspects.own(key) is None
        ]
        for key in old:
            del self._answered[key]

    def merge(self, records: Iterable[SharedRecord], now_s: float) -> list[SharedRecord]:
        """Add evidence of another gateway.

        Args:
            records: What the other gateway knows.
            now_s: Time of its arrival.

        Returns:
            What this process knew in addition about the same requests.
        """
        self.expire(now_s)
        additions = []
        for record in records:
            known = self._record(record.key, now_s)
            if known is not None and (addition := _addition(known, record)) is not None:
                additions.append(addition)
            self._merge(record, now_s)
        return additions

    def records(self, keys: Iterable[str], now_s: float) -> list[SharedRecord]:
        """Return what is known about the requests with these keys."""
        known = (self._record(key, now_s) for key in keys)
        return [record for record in known if record is not None]

    def newest(self, now_s: float) -> list[SharedRecord]:
        """Return what is known about the requests with the newest evidence or responses."""
        self.expire(now_s)
        keys = dict.fromkeys(chain(self.suspects.own_keys(), reversed(self._answered)))
        return self.records(islice(keys, MAX_SHARED_RECORDS), now_s)

    def _merge(self, record: SharedRecord, now_s: float) -> None:
        key = record.key
        if record.answered_age_ms is not None:
            answered_s = now_s - record.answered_age_ms / 1000
            if now_s - answered_s <= OWN_EVIDENCE_TTL_S or self.suspects.own(key) is not None:
                self.answered(key, answered_s)
        for crash in record.starts:
            seen_s = now_s - crash.age_ms / 1000
            if self.suspects.standing(key) is Standing.REFUSED:
                return
            if now_s - seen_s <= OWN_EVIDENCE_TTL_S and self._is_new(key, crash, seen_s):
                run = EndedRun(key=key, start=crash.start, ran_on=crash.ran_on)
                self.suspects.ended(run, seen_s)

    def _is_new(self, key: str, crash: AgedStart, seen_s: float) -> bool:
        answered_s = self._answered.get(key)
        if answered_s is not None and seen_s <= answered_s:
            return False
        own = self.suspects.own(key)
        # A crash is not added again, so that evidence doesn't grow younger on its way.
        return own is None or crash.start not in (own.late_starts if crash.ran_on else own.starts)

    def _record(self, key: str, now_s: float) -> SharedRecord | None:
        own, answered_s = self.suspects.own(key), self._answered.get(key)
        if own is None and answered_s is None:
            return None
        return SharedRecord(
            key=key,
            starts=() if own is None else _aged_starts(own, now_s),
            answered_age_ms=None if answered_s is None else _age_ms(answered_s, now_s),
        )


def _aged_starts(own: OwnEvidence, now_s: float) -> tuple[AgedStart, ...]:
    early = (AgedStart(start, _age_ms(seen_s, now_s)) for start, seen_s in own.starts.items())
    late = (
        AgedStart(start, _age_ms(seen_s, now_s), ran_on=True)
        for start, seen_s in own.late_starts.items()
    )
    return (*early, *late)[:MAX_SHARED_STARTS]


def _addition(known: SharedRecord, told: SharedRecord) -> SharedRecord | None:
    """Return the part of a record that another gateway's record lacks, None if there is none."""
    told_starts = {(crash.start, crash.ran_on) for crash in told.starts}
    starts = tuple(c for c in known.starts if (c.start, c.ran_on) not in told_starts)
    answered_ms = known.answered_age_ms
    if told.answered_age_ms is not None and answered_ms is not None:
        answered_ms = answered_ms if answered_ms < told.answered_age_ms else None
    if not starts and answered_ms is None:
        return None
    return SharedRecord(key=known.key, starts=starts, answered_age_ms=answered_ms)


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round((now_s - at_s) * 1000))


__all__ = ["SharedEvidence"]
