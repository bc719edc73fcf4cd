"""Origins that a control process may have acknowledged and lost with a former start.

An origin is acknowledged when it is in memory; its record on disk follows a moment later. A process
that starts again therefore cannot say that a stream which its log lacks was never reported, except
where no stream of another version than the base version was: the first record of a version is on
disk before one of its streams is acknowledged, and so is another one in each ``FENCE_S``. Performs
no I/O.
"""

from __future__ import annotations

import math

from leverjunction.registry.origin_segments import DOUBT_S, OriginBatch
from leverjunction.registry.origins import StreamOrigin


class OriginFence:
    """What the log tells of the former starts of a process. Not thread-safe."""

    __slots__ = ("_alone", "_began_s", "_written_s")

    def __init__(self) -> None:
        self._alone: set[StreamOrigin] = set()
        self._began_s = -math.inf
        self._written_s: dict[StreamOrigin, float] = {}

    def load(self, batch: OriginBatch, written_s: float) -> None:
        """Note a record; call it in the order of the log.

        Args:
            batch: The record.
            written_s: Latest time at which it can have been written, on the monotonic clock.
        """
        if not batch.groups:
            self.began(written_s)
        for group in batch.groups:
            origin = StreamOrigin(group.service, group.version)
            self._written_s[origin] = max(written_s, self._written_s.get(origin, -math.inf))
            if not group.streams:
                self._alone.add(origin)

    def began(self, began_s: float) -> None:
        """Note that nothing from before some time is on disk, as after the loss of a disk."""
        self._alone.clear()
        self._began_s = max(began_s, self._began_s)

    def may_lack(self, service: str, base_version: str, now_s: float) -> bool:
        """Return whether an origin of another version than the base version may be lost."""
        written_s = [
            written_s
            for origin, written_s in self._written_s.items()
            if origin.service == service and origin.version != base_version
        ]
        # Announced after the log began, so it was the only version later still.
        if StreamOrigin(service, base_version) not in self._alone:
            written_s.append(self._began_s)
        return now_s - max(written_s, default=-math.inf) <= DOUBT_S


__all__ = ["OriginFence"]
