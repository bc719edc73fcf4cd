"""Distinguishes a crashed back end from a broken connection.

A broken connection alone proves nothing: network failures, resets and restarts of devices on the
path break connections too. A start (instance of a back end) is proved to have crashed if its
address refuses connections right afterwards, or if the registry reports it as silent or replaced by
a later start. A start that was leaving was stopped as planned.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.quarantine.records import EndedRun

PROOF_TIMEOUT_S = 9.0
"""Time after a lost run within which a proof counts: the registry detects silence within 6 s."""

MAX_PENDING_RUNS = 2_000
"""Maximum number of lost runs that wait for proof; beyond it, the oldest start's are dropped."""


class PendingRun:
    """A lost run whose back end may have crashed.

    Attributes:
        evidence: Evidence that the run becomes once the crash is proved.
        lost_s: When the response broke off, in monotonic seconds.
    """

    __slots__ = ("evidence", "lost_s")

    def __init__(self, evidence: EndedRun, lost_s: float) -> None:
        self.evidence = evidence
        self.lost_s = lost_s


class CrashDetector:
    """Collects lost runs until a crash of their back end is proved. Not thread-safe."""

    __slots__ = ("_ended_s", "_pending")

    def __init__(self) -> None:
        self._pending: dict[str, list[PendingRun]] = {}
        self._ended_s: dict[str, float] = {}

    def lost(self, run: EndedRun, now_s: float) -> list[EndedRun]:
        """Record a lost run; it is returned as evidence if its start is known to have crashed."""
        if self.has_crashed(run.start, now_s):
            return [run]
        if sum(len(runs) for runs in self._pending.values()) >= MAX_PENDING_RUNS:
            self._pending.pop(next(iter(self._pending)))
        self._pending.setdefault(run.start, []).append(PendingRun(run, now_s))
        return []

    def is_pending(self, start: str) -> bool:
        """Return whether lost runs of a start wait for proof."""
        return start in self._pending

    def pending(self) -> Iterable[str]:
        """Return the starts with lost runs that wait for proof."""
        return tuple(self._pending)

    def ended(self, start: str, now_s: float) -> list[EndedRun]:
        """Record the proof that a start has crashed; return the resulting evidence."""
        runs = self._pending.pop(start, [])
        if runs:
            # Another lost run of this start may be noticed later, as each connection is read
            # independently.
            self._ended_s[start] = now_s
        return [run.evidence for run in runs if now_s - run.lost_s <= PROOF_TIMEOUT_S]

    def has_crashed(self, start: str, now_s: float) -> bool:
        """Return whether a start was lately proved to have crashed, with runs lost."""
        return now_s - self._ended_s.get(start, float("-inf")) <= PROOF_TIMEOUT_S

    def planned_stop(self, start: str) -> None:
        """Record that a start was stopped as planned: its lost runs are no evidence."""
        self._pending.pop(start, None)

    def expire(self, now_s: float) -> None:
        """Drop lost runs, and starts known to have crashed, that are older than the timeout."""
        for start, runs in list(self._pending.items()):
            kept = [run for run in runs if now_s - run.lost_s <= PROOF_TIMEOUT_S]
            if kept:
                self._pending[start] = kept
            else:
                del self._pending[start]
        for start in [key for key, at_s in self._ended_s.items() if now_s - at_s > PROOF_TIMEOUT_S]:
            del self._ended_s[start]


__all__ = ["CrashDetector"]
