"""Tracks how long a group has had no known leader, as seen by one replica. Pure."""

from __future__ import annotations

from leverjunction.consensus.api import GroupStatus

NO_LEADER_S = 3.0
"""Time without a known leader after which it is logged that open items wait for one: longer than
several elections in a row.
"""


class LeaderWatch:
    """Tracks since when no leader has been known.

    Attributes:
        is_logged: Whether the present lack of a leader was logged; set by the caller.
    """

    __slots__ = ("_checked_s", "_since_s", "is_logged")

    def __init__(self) -> None:
        self._since_s: float | None = None
        self._checked_s = float("-inf")
        self.is_logged = False

    def update(self, status: GroupStatus, now_s: float) -> str:
        """Take the replica's view; return the text to log, empty unless a leader is known again."""
        if status.role != "leader" and not status.leader_address:
            if self._since_s is None:
                self._since_s = now_s
            return ""
        since_s, self._since_s = self._since_s, None
        was_logged, self.is_logged = self.is_logged, False
        if since_s is None or not was_logged:
            return ""
        leader = "this store" if status.role == "leader" else status.leader_address
        return f"{status.group} has a leader again after {now_s - since_s:.1f} s: {leader}"

    def missing_s(self, now_s: float) -> float | None:
        """Return for how long no leader has been known, in seconds; None while one is."""
        return None if self._since_s is None else now_s - self._since_s

    def take_due(self, now_s: float, interval_s: float) -> bool:
        """Return whether the lack of a leader is to be looked into now, once per interval."""
        missing_s = self.missing_s(now_s)
        if missing_s is None or missing_s < NO_LEADER_S:
            return False
        if now_s - self._checked_s < interval_s:
            return False
        self._checked_s = now_s
        return True


__all__ = ["NO_LEADER_S", "LeaderWatch"]
