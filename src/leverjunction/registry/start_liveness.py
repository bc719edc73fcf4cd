"""Detects a runner that is alive although its start time lies before the stored one.

A *start* is one lifetime of a runner's process. Of two starts with the same id the registry keeps
the one with the later start time, by the clock of the runner's machine. If that clock was set back
between the starts, the running process seems to be the earlier one. It can be told from an ended
start: delayed messages of an ended start stop within seconds, while a running process keeps sending
messages with rising sequence numbers.

This module does no I/O; callers pass in the time.
"""

from __future__ import annotations

MIN_ALIVE_S = 10.0
"""Time for which messages of a start must go on to prove that it is running. Delayed messages of an
ended start arrive within seconds of its end.
"""

MAX_STARTS = 500


class EarlyStart:
    """A start with an earlier start time than the stored one.

    Attributes:
        first_s: Monotonic time of its first message, in seconds.
        sequence: Highest sequence number among its messages.
    """

    __slots__ = ("first_s", "sequence")

    def __init__(self, first_s: float, sequence: int) -> None:
        self.first_s = first_s
        self.sequence = sequence


class StartLiveness:
    """Tracks starts whose start time is earlier than the stored one. Not thread-safe."""

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[str, EarlyStart] = {}

    def is_alive(self, start: str, sequence: int, now_s: float) -> bool:
        """Record a message of a seemingly earlier start; return whether the start is running.

        Args:
            start: Key of the start (``RunnerRecord.start``).
            sequence: Sequence number of the message.
            now_s: Monotonic time in seconds.
        """
        known = self._starts.get(start)
        if known is None:
            if len(self._starts) >= MAX_STARTS:
                self._starts.pop(next(iter(self._starts)))
            self._starts[start] = EarlyStart(now_s, sequence)
            return False
        if sequence <= known.sequence:
            return False
        known.sequence = sequence
        return now_s - known.first_s >= MIN_ALIVE_S

    def forget(self, start: str) -> None:
        """Delete what was recorded of a start."""
        self._starts.pop(start, None)


__all__ = ["MIN_ALIVE_S", "StartLiveness"]
