"""In-memory cache of the newest log entries of a replica."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from leverjunction.consensus.types import LogEntry


class TailCache:
    """Keeps the newest log entries in memory, limited by their total payload size."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._entries: deque[LogEntry] = deque()
        self._bytes = 0

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries that follow the cached ones and evict the oldest beyond the limit.

        The newest entry is kept even if it exceeds the limit.
        """
        for entry in entries:
            self._entries.append(entry)
            self._bytes += len(entry.payload)
        while self._bytes > self._limit_bytes and len(self._entries) > 1:
            self._bytes -= len(self._entries.popleft().payload)

    def truncate(self, from_index: int) -> None:
        """Remove the entries at and after ``from_index``."""
        while self._entries and self._entries[-1].index >= from_index:
            self._bytes -= len(self._entries.pop().payload)

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._bytes = 0

    def find(self, first_index: int, last_index: int) -> list[LogEntry] | None:
        """Return the entries of a range, or None if not all of them are cached."""
        if not self._entries or first_index < self._entries[0].index:
            return None
        if last_index > self._entries[-1].index:
            return None
        offset = first_index - self._entries[0].index
        return [self._entries[offset + number] for number in range(last_index - first_index + 1)]
