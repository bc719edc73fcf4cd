"""Suspect requests known to one process: those reported by the registry, and its own evidence.

While the registry has no quorum it reports nothing, and a process relies on its own evidence.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Iterator

from leverjunction.quarantine.prompt_parts import is_part_key
from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import (
    PATH_DIGITS,
    RequestContent,
    path_part,
    prompt_key,
    request_key,
)
from leverjunction.quarantine.verdicts import Standing, evidence_of, standing_of

OWN_EVIDENCE_TTL_S = 60.0
"""How long own evidence counts in addition to the registry's: an election and the retries of a
report take some seconds, and a longer loss of the quorum is an exception.
"""

MAX_OWN_EVIDENCE = 1_000
"""Maximum number of requests with own evidence; the least recently updated are dropped first."""


class OwnEvidence:
    """Crashes during one request that this process has detected itself.

    Attributes:
        starts: Starts that crashed early in its run, each with the time of its detection.
        late_starts: Starts that crashed after it had been running for a while, likewise.
        seen_s: When the last crash was detected, in seconds of the caller's clock.
    """

    __slots__ = ("late_starts", "seen_s", "starts")

    def __init__(self) -> None:
        self.starts: dict[str, float] = {}
        self.late_starts: dict[str, float] = {}
        self.seen_s = -math.inf

    def forget(self, until_s: float) -> bool:
        """Remove the crashes that were detected until a time; returns whether none is left."""
        for crashes in (self.starts, self.late_starts):
            for start in [start for start, seen_s in crashes.items() if seen_s <= until_s]:
                del crashes[start]
        return not self.starts and not self.late_starts


class Suspects:
    """Combines the registry's evidence with the process's own. Not thread-safe."""

    __slots__ = ("_own", "_parts", "_paths", "_reported")

    def __init__(self) -> None:
        self._reported: dict[str, SuspectRecord] = {}
        self._own: dict[str, OwnEvidence] = {}
        self._paths: frozenset[str] = frozenset()
        self._parts: frozenset[str] = frozenset()

    @property
    def parts(self) -> frozenset[str]:
        """Keys of the accused parts of prompts (``prompt_parts``)."""
        return self._parts

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspect requests; parts of prompts do not count."""
        return not self._paths

    def replace(self, reported: SuspectList) -> None:
        """Replace the registry's evidence.

        A request that is no longer listed was cleared, by a complete response elsewhere, by
        expiry, or by an operator; own evidence against it is dropped too.
        """
        before, self._reported = (
            self._reported,
            {record.key: record for record in reported.suspects},
        )
        for key in before.keys() - self._reported.keys():
            self._own.pop(key, None)
        self._index_paths()

    def reported(self) -> Iterable[SuspectRecord]:
        """Return the registry's evidence."""
        return self._reported.values()

    def ended(self, run: EndedRun, now_s: float) -> None:
        """Add evidence that this process has detected itself."""
        own = self._own.pop(run.key, None) or OwnEvidence()
        (own.late_starts if run.ran_on else own.starts).setdefault(run.start, now_s)
        own.seen_s = max(own.seen_s, now_s)
        self._own[run.key] = own
        if len(self._own) > MAX_OWN_EVIDENCE:
            self._own.pop(next(iter(self._own)))
        self._index_paths()

    def answered(self, key: str, at_s: float = math.inf) -> None:
        """Clear a request after a complete response: it doesn't crash the back ends that run it.

        Args:
            key: Key of the request.
            at_s: Time of the response; own evidence that was detected later stays.
        """
        own = self._own.get(key)
        if own is not None and own.forget(at_s):
            del self._own[key]
        self._reported.pop(key, None)
        self._index_paths()

    def own_keys(self) -> Iterator[str]:
        """Return the keys of all requests with own evidence, last updated first."""
        return reversed(self._own)

    def own(self, key: str) -> OwnEvidence | None:
        """Return the own evidence against a request, None if there is none."""
        return self._own.get(key)

    def expire(self, now_s: float) -> None:
        """Remove expired own evidence."""
        old = [key for key, own in self._own.items() if now_s - own.seen_s > OWN_EVIDENCE_TTL_S]
        for key in old:
            del self._own[key]
        if old:
            self._index_paths()

    def has_path(self, content: RequestContent) -> bool:
        """Return whether any suspect has a request's host, path and query."""
        return path_part(content) in self._paths

    def find(self, content: RequestContent) -> str:
        """Return the key of a request if it is a suspect, otherwise an empty string.

        Of two keys, the one with more evidence is returned, and in a tie the one by the prompt,
        which other requests may share. Nothing is hashed while there are no suspects, and only the
        path if no suspect has the request's path.
        """
        if not self._paths or not self.has_path(content):
            return ""
        keys = (prompt_key(content), request_key(content))
        known = [key for key in keys if key in self._reported or key in self._own]
        return max(known, key=self.crashes, default="")

    def standing(self, key: str) -> Standing:
        """Return how the request with this key is to be treated."""
        return standing_of(self.crashes(key))

    def early_starts(self, key: str) -> set[str]:
        """Return the starts that crashed early in runs of the request or part with this key."""
        known = (self._reported.get(key), self._own.get(key))
        return {start for item in known if item is not None for start in item.starts}

    def refused_starts(self, other_than: Container[str]) -> frozenset[str]:
        """Return the starts that crashed early in runs of refused requests and parts of prompts.

        Only those that the registry reports count.

        Args:
            other_than: Keys of requests that are left out.
        """
        refused = (
            key
            for key in self._reported
            if key not in other_than and self.standing(key) is Standing.REFUSED
        )
        return frozenset(start for key in refused for start in self.early_starts(key))

    def crashes(self, key: str) -> int:
        """Return how many crashes count against the request with this key."""
        starts: set[str] = set()
        late_starts: set[str] = set()
        for known in (self._reported.get(key), self._own.get(key)):
            if known is not None:
                starts |= set(known.starts)
                late_starts |= set(known.late_starts)
        return evidence_of(len(starts), len(late_starts - starts))

    def verdicts(self, key: str) -> int:
        """Return how often the registry found the request with this key to be the cause."""
        record = self._reported.get(key)
        return record.verdicts if record is not None else 0

    def counts(self) -> tuple[int, int]:
        """Return the number of suspect requests, and how many of these are refused."""
        keys = {*self._reported, *self._own}
        refused = sum(1 for key in keys if self.standing(key) is Standing.REFUSED)
        return len(keys), refused

    def _index_paths(self) -> None:
        keys = (*self._reported, *self._own)
        self._parts = frozenset(key for key in keys if is_part_key(key))
        self._paths = frozenset(key[:PATH_DIGITS] for key in keys if not is_part_key(key))


__all__ = ["OWN_EVIDENCE_TTL_S", "OwnEvidence", "Suspects"]
