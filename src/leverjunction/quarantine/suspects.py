"""What one process knows of suspect requests: what the registry tells, and what it saw. Pure.

Without a quorum nothing is told: a process then goes on with what it has seen itself.
"""

from __future__ import annotations

from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import (
    PATH_DIGITS,
    RequestContent,
    path_part,
    request_key,
)
from leverjunction.quarantine.verdicts import Standing, evidence_of, standing_of

OWN_KEPT_S = 60.0
"""How long this process's own evidence counts beside what the registry tells: an election and the
repeats of a report take some seconds, and a longer lack of a quorum is an exception.
"""

OWN_MOST = 1_000
"""Requests of which own evidence is kept; those told last stay."""


class OwnEvidence:
    """Ended starts of one request that this process saw.

    Attributes:
        starts: Those that ended as it began.
        late_starts: Those that ended after it had run on for a while.
        seen_s: When the last one was seen, in seconds of the caller's clock.
    """

    __slots__ = ("late_starts", "seen_s", "starts")

    def __init__(self) -> None:
        self.starts: set[str] = set()
        self.late_starts: set[str] = set()
        self.seen_s = 0.0


class Suspects:
    """Used by one thread; the time is passed in."""

    __slots__ = ("_own", "_paths", "_told")

    def __init__(self) -> None:
        self._told: dict[str, SuspectRecord] = {}
        self._own: dict[str, OwnEvidence] = {}
        self._paths: frozenset[str] = frozenset()

    @property
    def is_empty(self) -> bool:
        """Whether no request is a suspect."""
        return not self._paths

    def replace(self, told: SuspectList) -> None:
        """Take what the registry tells; it replaces what it told before.

        What it tells no more was cleared, by a whole answer elsewhere, by time, or by an operator.
        """
        before, self._told = self._told, {record.key: record for record in told.suspects}
        for key in before.keys() - self._told.keys():
            self._own.pop(key, None)
        self._index_paths()

    def ended(self, run: EndedRun, now_s: float) -> None:
        """Take evidence that this process has seen."""
        own = self._own.pop(run.key, None) or OwnEvidence()
        (own.late_starts if run.ran_on else own.starts).add(run.start)
        own.seen_s = now_s
        self._own[run.key] = own
        if len(self._own) > OWN_MOST:
            self._own.pop(next(iter(self._own)))
        self._index_paths()

    def answered(self, key: str) -> None:
        """Note a whole answer: the request does not end the back ends that run it."""
        self._own.pop(key, None)
        self._told.pop(key, None)
        self._index_paths()

    def expire(self, now_s: float) -> None:
        """Forget own evidence that is old."""
        old = [key for key, own in self._own.items() if now_s - own.seen_s > OWN_KEPT_S]
        for key in old:
            del self._own[key]
        if old:
            self._index_paths()

    def find(self, content: RequestContent) -> str:
        """Return the key of a request that may be a suspect, empty for any other.

        Of a request whose path no suspect has, only the path is hashed; nothing while there are
        no suspects.
        """
        if not self._paths or path_part(content) not in self._paths:
            return ""
        key = request_key(content)
        return key if key in self._told or key in self._own else ""

    def standing(self, key: str) -> Standing:
        """Return how a request is to be treated."""
        starts: set[str] = set()
        late_starts: set[str] = set()
        for known in (self._told.get(key), self._own.get(key)):
            if known is not None:
                starts |= set(known.starts)
                late_starts |= set(known.late_starts)
        return standing_of(evidence_of(len(starts), len(late_starts - starts)))

    def counts(self) -> tuple[int, int]:
        """Return how many requests are suspects, and how many of these are refused."""
        keys = {*self._told, *self._own}
        refused = sum(1 for key in keys if self.standing(key) is Standing.REFUSED)
        return len(keys), refused

    def _index_paths(self) -> None:
        self._paths = frozenset(key[:PATH_DIGITS] for key in (*self._told, *self._own))


__all__ = ["Suspects"]
