"""Bounds the unrecorded output of all items together. No I/O.

Load pattern: a back end that is broken writes without end into each of its slots. The output of
one run is bounded, but the sum of some dozens exceeds the memory of a store. Beyond the room the
largest output goes; outputs of models are a thousandth of it, so sound runs beside it lose nothing.
"""

from __future__ import annotations

from leverjunction.lots.item_stream import ItemStream

MEMORY_SHARE = 8
"""The room is the process's memory limit divided by this: an output is held again while it is
encoded, replicated and written.
"""

SMALL_BYTES = 256 * 1024
"""Outputs up to this size are never given up."""

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024


class OutputBudget:
    """The outputs that are being read, and the room for them.

    Args:
        limit_bytes: The room, in bytes.
    """

    __slots__ = ("_limit_bytes", "_streams")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._streams: list[ItemStream] = []

    @classmethod
    def for_memory(cls, memory_mb: int) -> OutputBudget:
        """Return the budget of a process with a memory limit, in MB."""
        return cls(memory_mb * 1024 * 1024 // MEMORY_SHARE)

    def begin(self, stream: ItemStream) -> None:
        """Count an output that is read from now on."""
        self._streams.append(stream)

    def end(self, stream: ItemStream) -> None:
        """Count an output no more."""
        self._streams.remove(stream)

    def is_to_drop(self, stream: ItemStream) -> bool:
        """Return whether an output, which has just grown, is to be given up."""
        if stream.kept_bytes <= SMALL_BYTES:
            return False
        total_bytes = sum(other.kept_bytes for other in self._streams)
        largest_bytes = max(other.kept_bytes for other in self._streams)
        return total_bytes > self._limit_bytes and stream.kept_bytes >= largest_bytes


__all__ = ["DEFAULT_LIMIT_BYTES", "SMALL_BYTES", "OutputBudget"]
