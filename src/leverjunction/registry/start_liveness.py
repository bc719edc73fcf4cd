"""Tells a start whose machine's clock was set back from late words of an ended one. Pure.

Of two starts under one id the one that began later counts, by the machine's own clock. If that was
set back in between, the start that lives seems to be the earlier one. But late words of an ended
start stop coming after some seconds, and those of a living one go on, with rising numbers.
"""

from __future__ import annotations

ALIVE_S = 10.0
"""Time over which words of a start must go on to show that it lives: late ones come within seconds
of its end.
"""

STARTS_MOST = 500


class EarlyStart:
    """A start that seems to be earlier than the known one.

    Attributes:
        first_s: When its first word came.
        sequence: Number of its last word.
    """

    __slots__ = ("first_s", "sequence")

    def __init__(self, first_s: float, sequence: int) -> None:
        self.first_s = first_s
        self.sequence = sequence


class StartLiveness:
    """Not safe between threads; the time is passed in."""

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[str, EarlyStart] = {}

    def is_alive(self, start: str, sequence: int, now_s: float) -> bool:
        """Take a word of a start that seems earlier; return whether it is shown to live."""
        known = self._starts.get(start)
        if known is None:
            if len(self._starts) >= STARTS_MOST:
                self._starts.pop(next(iter(self._starts)))
            self._starts[start] = EarlyStart(now_s, sequence)
            return False
        if sequence <= known.sequence:
            return False
        known.sequence = sequence
        return now_s - known.first_s >= ALIVE_S

    def forget(self, start: str) -> None:
        """Forget a start that is known now."""
        self._starts.pop(start, None)


__all__ = ["ALIVE_S", "StartLiveness"]
