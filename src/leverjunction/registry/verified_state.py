"""Up to when a replica's state contains all changes, by calls to the leader. Performs no I/O."""

from __future__ import annotations

from collections import deque

MAX_PENDING = 16
"""Replies that name a newer state than the replica has; the oldest are dropped."""


class VerifiedState:
    """Up to when the state of one replica is known to contain all changes.

    A message of the leader may be handled long after it was sent, so that the contact with the
    leader does not tell it. A call does: the leader's revision in the reply contains each change
    that was acknowledged before the call began. Not thread-safe.
    """

    __slots__ = ("_pending", "_until_s")

    def __init__(self) -> None:
        self._pending: deque[tuple[int, float]] = deque(maxlen=MAX_PENDING)
        self._until_s = float("-inf")

    def replied(self, revision: int, sent_s: float) -> None:
        """Note the leader's revision in the reply to a call that began at a time, in seconds."""
        if revision >= 0:
            self._pending.append((revision, sent_s))

    def until_s(self, revision: int) -> float:
        """Return up to when a state of the replica with a revision contains all changes."""
        while self._pending and self._pending[0][0] <= revision:
            self._until_s = max(self._until_s, self._pending.popleft()[1])
        return self._until_s


__all__ = ["VerifiedState"]
