"""Segments of a log on a simulated disk."""

from __future__ import annotations

import errno
from collections.abc import Callable


class SimulatedSegments:
    """Stands in for ``SegmentFolder``; outlives the process.

    Args:
        takes_bytes: Returns whether the disk takes bytes.
    """

    def __init__(self, takes_bytes: Callable[[], bool]) -> None:
        self._takes_bytes = takes_bytes
        self._written: dict[int, bytes] = {}
        self._synced: dict[int, bytes] = {}

    def crash(self) -> None:
        """Lose what was not synced."""
        self._written = dict(self._synced)

    def wipe(self) -> None:
        """Lose everything."""
        self._written, self._synced = {}, {}

    def numbers(self) -> list[int]:
        """Return the numbers of the segments."""
        return sorted(self._written)

    def read(self, number: int) -> bytes:
        """Return the content of a segment."""
        return self._written[number]

    def write(self, number: int, offset: int, content: bytes) -> None:
        """Write at an offset of a segment."""
        if not self._takes_bytes():
            raise OSError(errno.ENOSPC, "No space left on device")
        before = self._written.get(number, b"")
        self._written[number] = before[:offset] + content

    def sync(self) -> None:
        """Make what was written survive a crash."""
        self._synced = dict(self._written)

    def remove(self, number: int) -> None:
        """Remove a segment."""
        self._written.pop(number, None)
        self._synced.pop(number, None)

    def free_bytes(self) -> int:
        """Return the free space in bytes."""
        return 1 << 30

    def close(self) -> None:
        """Do nothing: nothing is open."""


__all__ = ["SimulatedSegments"]
