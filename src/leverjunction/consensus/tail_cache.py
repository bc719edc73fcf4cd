"""The newest log entries of a replica in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from leverjunction.consensus.types import LogEntry


class TailCache:
    """The newest log entries in memory, bounded by their payload bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._entries: deque[LogEntry] = deque()
        self._bytes = 0

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries that follow the cached ones, and drop the oldest beyond the limit."""
        for entry in entries:
            self._entries.append(entry)
            self._bytes += len(entry.payload)
        while self._bytes > self._limit_bytes and len(self._entries) > 1:
            self._bytes -= len(self._entries.popleft().payload)

    def truncate(self, from_index: int) -> None:
        """Drop the entries from ``from_index`` on."""
        while self._entries and self._entries[-1].index >= from_index:
            self._bytes -= len(self._entries.pop().payload)

    def clear(self) -> None:
        """Drop everything."""
        self._entries.clear()
        self._bytes = 0

    def find(self, first_index: int, last_index: int) -> list[LogEntry] | None:
        """Return the entries of a range, or None unless all of them are cached."""
        if not self._entries or first_index < self._entries[0].index:
            return None
        if last_index > self._entries[-1].index:
            return None
        offset = first_index - self._entries[0].index
        return [self._entries[offset + number] for number in range(last_index - first_index + 1)]
