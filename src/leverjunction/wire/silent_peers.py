"""Remembers peers that left calls unanswered, so that other peers are called first.

A process that was stopped, or that is cut off, often still accepts connections: every call to it
lasts until its timeout. Without a memory each caller pays for that again.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable

from leverjunction.errors import Failure, FailureKind

RETRY_S = 1.0
"""Time after an unanswered call in which ``may_try`` permits no other call to the peer."""

_SILENCE = frozenset({FailureKind.TIMEOUT, FailureKind.UNREACHABLE})


class SilentPeers:
    """Knows which peers did not answer their last call. Thread-safe; does no I/O."""

    __slots__ = ("_lock", "_since_s")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._since_s: dict[str, float] = {}

    def record(self, peer: str, reply: object, now_s: float) -> None:
        """Record the outcome of a call.

        Args:
            peer: Address of the peer.
            reply: What the RPC client returned. A failure that names another peer, or none, was
                sent by this one, which has thus answered.
            now_s: Time at which the call ended, in monotonic seconds.
        """
        with self._lock:
            self._since_s.pop(peer, None)
            if isinstance(reply, Failure) and reply.kind in _SILENCE and reply.peer == peer:
                self._since_s[peer] = now_s

    def is_silent(self, peer: str) -> bool:
        """Return whether a peer left its last call unanswered."""
        with self._lock:
            return peer in self._since_s

    def in_order(self, peers: Iterable[str]) -> list[str]:
        """Return the peers in their order, those that are silent last: the longest silent first."""
        with self._lock:
            since_s = dict(self._since_s)
        return sorted(peers, key=lambda peer: since_s.get(peer, float("-inf")))

    def may_try(self, peer: str, now_s: float) -> bool:
        """Return whether to call a peer without which the caller can do.

        True for a peer that is not silent. For a silent one it is True for one caller at a time,
        ``RETRY_S`` after the last attempt, to find out whether the peer answers again.
        """
        with self._lock:
            since_s = self._since_s.get(peer)
            if since_s is None:
                return True
            if now_s - since_s < RETRY_S:
                return False
            self._since_s[peer] = now_s
            return True


__all__ = ["RETRY_S", "SilentPeers"]
