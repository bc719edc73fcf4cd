"""Tells a back end that ended from a connection that broke. Pure: the time is passed in.

A broken connection alone says nothing: cuts, resets and restarts on the way break it too. That the
start of the back end has ended shows when nobody listens at its address right after, or when the
registry tells of its silence or of a later start. One that was leaving was expected to end.
"""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.quarantine.records import EndedRun

PROOF_S = 9.0
"""How long after a lost run proof of the end may come: the registry notices silence within 6 s."""

PENDING_MOST = 2_000
"""Lost runs that wait for proof; beyond it the oldest are given up."""


class LostRun:
    """A run whose back end may have ended.

    Attributes:
        evidence: What it is once that is proved.
        lost_s: When its answer broke off.
    """

    __slots__ = ("evidence", "lost_s")

    def __init__(self, evidence: EndedRun, lost_s: float) -> None:
        self.evidence = evidence
        self.lost_s = lost_s


class CrashDetector:
    """Used by one thread."""

    __slots__ = ("_ended_s", "_pending")

    def __init__(self) -> None:
        self._pending: dict[str, list[LostRun]] = {}
        self._ended_s: dict[str, float] = {}

    def lost(self, run: EndedRun, now_s: float) -> list[EndedRun]:
        """Take a lost run; returned at once when its start is known to have ended."""
        if run.start in self._ended_s:
            return [run]
        if sum(len(runs) for runs in self._pending.values()) >= PENDING_MOST:
            self._pending.pop(next(iter(self._pending)))
        self._pending.setdefault(run.start, []).append(LostRun(run, now_s))
        return []

    def waits_for(self, start: str) -> bool:
        """Return whether proof of the end of a start would make evidence."""
        return start in self._pending

    def pending(self) -> Iterable[str]:
        """Return the starts of which proof is waited for."""
        return tuple(self._pending)

    def ended(self, start: str, now_s: float) -> list[EndedRun]:
        """Take proof that a start ended; return the evidence that this makes."""
        runs = self._pending.pop(start, [])
        if runs:
            # A run of the same start may be noticed a moment later: reading has its own pace.
            self._ended_s[start] = now_s
        return [run.evidence for run in runs if now_s - run.lost_s <= PROOF_S]

    def left(self, start: str) -> None:
        """Take the word that a start leaves: its end was planned."""
        self._pending.pop(start, None)

    def expire(self, now_s: float) -> None:
        """Give up runs for which no proof came."""
        for start, runs in list(self._pending.items()):
            kept = [run for run in runs if now_s - run.lost_s <= PROOF_S]
            if kept:
                self._pending[start] = kept
            else:
                del self._pending[start]
        for start in [key for key, at_s in self._ended_s.items() if now_s - at_s > PROOF_S]:
            del self._ended_s[start]


__all__ = ["CrashDetector"]
