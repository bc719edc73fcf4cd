"""The last states of a part of the registry, to answer each watcher with what changed for it.

A change reaches hundreds of watchers at the same time, most of which have the state before it. What
changed since a state is found and encoded once for all of them. A watcher is known by the revision
and the digest of its state: only one that has exactly a state that was served here receives
changes, any other the whole state.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from leverjunction.wire.codec import digest_bytes, encode

MAX_STATES = 64
"""Number of former states kept: a watcher that was away for some calls finds its own even while a
state follows another many times a second.
"""

MAX_HISTORY_BYTES = 4 * 1024 * 1024
"""Estimated memory of the former states, which share what did not change."""

POINTER_SHARE = 16
"""Records take 8 bytes in a tuple that shares them, and 128 bytes or more encoded."""

S = TypeVar("S", bound=msgspec.Struct)
C = TypeVar("C", bound=msgspec.Struct)


class StateKind(msgspec.Struct, Generic[S, C], frozen=True):
    """How to compare states of one type.

    Attributes:
        revision: Returns the revision of a state.
        changes: Returns what turns a state into a later one, whose digest is the third argument;
            None if that cannot be expressed.
        merge: Applies changes to a state; the result shares what did not change.
    """

    revision: Callable[[S], int]
    changes: Callable[[S, S, str], C | None]
    merge: Callable[[S, C], S | None]


class Newer(msgspec.Struct, Generic[S, C], frozen=True):
    """What a watcher receives of one part of the registry; at most one of the two is given.

    Attributes:
        revision: Revision of the newest state.
        whole: The newest state, None if the watcher has it or gets the changes.
        changes: What changed since the watcher's state.
    """

    revision: int
    whole: S | None = None
    changes: C | None = None


class _Former(msgspec.Struct, Generic[S], frozen=True):
    state: S
    size_bytes: int


class ChangeHistory(Generic[S, C]):
    """Newest state of a part of the registry and the ones before it. Thread-safe.

    Args:
        first: State before any other is known.
        kind: How to compare the states.
        max_states: Number of former states kept.
        max_bytes: Estimated memory of the former states.
    """

    __slots__ = (
        "_answers",
        "_bytes",
        "_encoded",
        "_former",
        "_key",
        "_kind",
        "_lock",
        "_max_bytes",
        "_max_states",
        "_newest",
        "_size_bytes",
    )

    def __init__(
        self,
        first: S,
        kind: StateKind[S, C],
        max_states: int = MAX_STATES,
        max_bytes: int = MAX_HISTORY_BYTES,
    ) -> None:
        self._kind = kind
        self._max_states = max_states
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._former: dict[tuple[int, str], _Former[S]] = {}
        self._bytes = 0
        self._newest = first
        self._encoded = encode(first)
        self._key = (kind.revision(first), digest_bytes(self._encoded))
        self._size_bytes = len(self._encoded)
        self._answers: dict[tuple[int, str], tuple[C, bytes] | None] = {}
        """Encoded changes since former states; None where the whole state is smaller."""

    def newest(self) -> S:
        """Return the newest state."""
        return self._newest

    def record(self, state: S) -> None:
        """Replace the newest state; an equal one changes nothing."""
        with self._lock:
            if state != self._newest:
                self._replace(state)

    def newer(self, revision: int, digest: str) -> Newer[S, C]:
        """Return what a watcher receives.

        Args:
            revision: Revision of the watcher's state.
            digest: Digest of the watcher's state; empty if it wants a whole one.
        """
        with self._lock:
            newest = self._kind.revision(self._newest)
            if newest <= revision:
                return Newer(newest)
            answer = self._answer((revision, digest))
            if answer is None:
                return Newer(newest, whole=self._newest)
            return Newer(newest, changes=answer[0])

    def encoded(self, part: S | C) -> bytes:
        """Return the JSON bytes of a state or of changes, kept for those that others get too."""
        with self._lock:
            if part is self._newest:
                return self._encoded
            for answer in self._answers.values():
                if answer is not None and answer[0] is part:
                    return answer[1]
        return encode(part)

    def _replace(self, state: S) -> None:
        former, former_key, former_bytes = self._newest, self._key, self._size_bytes
        self._encoded = encode(state)
        self._key = (self._kind.revision(state), digest_bytes(self._encoded))
        self._newest = state
        self._size_bytes = len(self._encoded)
        self._keep(former_key, _Former(former, former_bytes))
        self._answers.clear()
        answer = self._answer(former_key)
        shared = self._kind.merge(former, answer[0]) if answer is not None else None
        if answer is not None and shared is not None:
            self._newest = shared
            self._size_bytes = len(answer[1]) + len(self._encoded) // POINTER_SHARE

    def _keep(self, key: tuple[int, str], former: _Former[S]) -> None:
        replaced = self._former.pop(key, None)
        self._bytes += former.size_bytes - (replaced.size_bytes if replaced is not None else 0)
        self._former[key] = former
        # The last one stays whatever its size: most watchers have it.
        while len(self._former) > 1 and (
            len(self._former) > self._max_states or self._bytes > self._max_bytes
        ):
            oldest = next(iter(self._former))
            self._bytes -= self._former.pop(oldest).size_bytes

    def _answer(self, key: tuple[int, str]) -> tuple[C, bytes] | None:
        if key not in self._answers:
            former = self._former.get(key)
            if former is None:
                return None
            self._answers[key] = self._make_answer(former.state)
        return self._answers[key]

    def _make_answer(self, former: S) -> tuple[C, bytes] | None:
        changes = self._kind.changes(former, self._newest, self._key[1])
        if changes is None:
            return None
        encoded = encode(changes)
        return (changes, encoded) if len(encoded) < len(self._encoded) else None


__all__ = ["MAX_HISTORY_BYTES", "MAX_STATES", "ChangeHistory", "Newer", "StateKind"]
