"""Bounded index of the prompt blocks that are expected to be in the runners' prefix caches.

The index is built from two sources: cache events of the runners that this gateway owns, and the
prompts that this gateway sent. Events may be late or lost. After a gap in the events a snapshot is
needed; until it arrives, the index is still used, since a wrong entry only costs time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from leverjunction.backends.types import CacheEvent, CacheEventKind

MAX_BLOCKS_PER_RUNNER = 20_000


class RunnerBlocks:
    """Cached blocks of one runner, least recently used first, and the last event's sequence number.

    Args:
        max_blocks: Maximum number of blocks; the least recently used ones are dropped.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._sequence: int | None = None

    def __len__(self) -> int:
        return len(self._blocks)

    def apply(self, event: CacheEvent) -> bool:
        """Apply a cache event; returns False if events were lost and a snapshot is needed."""
        if event.kind is CacheEventKind.SNAPSHOT:
            self._blocks.clear()
            self.add(event.blocks)
            self._sequence = event.sequence
            return True
        if self._sequence is not None and event.sequence <= self._sequence:
            return True
        complete = self._sequence is not None and event.sequence == self._sequence + 1
        self._apply_change(event)
        # Continuing from this event requests one snapshot per gap rather than one per event.
        self._sequence = event.sequence
        return complete

    def _apply_change(self, event: CacheEvent) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self._blocks.clear()
        elif event.kind is CacheEventKind.REMOVED:
            for block in event.blocks:
                self._blocks.pop(block, None)
        else:
            self.add(event.blocks)

    def add(self, blocks: Sequence[str]) -> None:
        """Add blocks as the most recently used ones; the least recently used are dropped."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def overlap(self, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks of a prompt that are held, up to the first miss."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)


class PrefixIndex:
    """Expected cached blocks by runner. Not thread-safe: the caller serializes access.

    Args:
        max_blocks_per_runner: Maximum number of blocks that are kept for each runner.
    """

    def __init__(self, max_blocks_per_runner: int = MAX_BLOCKS_PER_RUNNER) -> None:
        self._max_blocks = max_blocks_per_runner
        self._runners: dict[str, RunnerBlocks] = {}

    def apply(self, runner_id: str, event: CacheEvent) -> bool:
        """Apply a cache event of a runner; returns False if a snapshot is needed."""
        return self._blocks_of(runner_id).apply(event)

    def sent(self, runner_id: str, blocks: Sequence[str]) -> None:
        """Record the blocks of a prompt that was sent to a runner, which will soon cache them."""
        if blocks:
            self._blocks_of(runner_id).add(blocks)

    def overlap(self, runner_id: str, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks of a prompt that a runner is expected to hold."""
        runner_blocks = self._runners.get(runner_id)
        return runner_blocks.overlap(blocks) if runner_blocks is not None else 0

    def forget(self, runner_id: str) -> None:
        """Discard the blocks of a runner that was removed or has restarted."""
        self._runners.pop(runner_id, None)

    def _blocks_of(self, runner_id: str) -> RunnerBlocks:
        runner_blocks = self._runners.get(runner_id)
        if runner_blocks is None:
            runner_blocks = self._runners[runner_id] = RunnerBlocks(self._max_blocks)
        return runner_blocks
