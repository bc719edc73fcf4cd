"""Detects that callers resume streams without naming the attempt that began them.

A few such callers are at fault themselves. If most name no attempt, this gateway probably reads
another header than they send. Performs no I/O.
"""

from __future__ import annotations

from collections import deque

WINDOW = 24
"""Number of the latest resumed requests that are judged."""

MIN_UNNAMED = 12
"""Number of them without an attempt from which on it is reported."""


class UnnamedAttempts:
    """Watches the latest resumed requests for a change between mostly named and mostly unnamed."""

    __slots__ = ("_named", "is_reported")

    def __init__(self) -> None:
        self._named: deque[bool] = deque(maxlen=WINDOW)
        self.is_reported = False

    @property
    def unnamed(self) -> int:
        """Number of the latest resumed requests that name no attempt."""
        return len(self._named) - sum(self._named)

    @property
    def seen(self) -> int:
        """Number of the latest resumed requests, at most ``WINDOW``."""
        return len(self._named)

    def note(self, is_named: bool) -> bool:
        """Note a resumed request; return whether the state has changed."""
        self._named.append(is_named)
        is_reported = self.unnamed >= MIN_UNNAMED
        if is_reported == self.is_reported:
            return False
        self.is_reported = is_reported
        return True


__all__ = ["UnnamedAttempts"]
