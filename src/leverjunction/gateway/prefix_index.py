"""Bounded index of the prompt blocks that runners' caches are thought to hold.

Two sources: cache events of runners that this gateway owns, and the prompts that it sent itself.
Events come late and with gaps; after a gap a snapshot is needed, and until it comes what is known
stays in use as a hint, since a wrong hint costs only time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from leverjunction.backends.types import CacheEvent, CacheEventKind

MAX_BLOCKS_PER_RUNNER = 20_000


class RunnerBlocks:
    """Blocks of one runner, oldest use first, with the sequence of the last event."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._sequence: int | None = None

    def __len__(self) -> int:
        return len(self._blocks)

    def apply(self, event: CacheEvent) -> bool:
        """Take in an event; returns False when events were lost and a snapshot is needed."""
        if event.kind is CacheEventKind.SNAPSHOT:
            self._blocks.clear()
            self.add(event.blocks)
            self._sequence = event.sequence
            return True
        if self._sequence is not None and event.sequence <= self._sequence:
            return True
        complete = self._sequence is not None and event.sequence == self._sequence + 1
        self._apply_change(event)
        # Going on from the newer event asks for one snapshot a gap, not one an event.
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
        """Add blocks as the newest ones; the oldest fall out above the bound."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def overlap(self, blocks: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt are held; a chain ends at the first miss."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)


class PrefixIndex:
    """Blocks by runner. The caller serializes access."""

    def __init__(self, max_blocks_per_runner: int = MAX_BLOCKS_PER_RUNNER) -> None:
        self._max_blocks = max_blocks_per_runner
        self._runners: dict[str, RunnerBlocks] = {}

    def apply(self, runner_id: str, event: CacheEvent) -> bool:
        """Take in a runner's cache event; returns False when a snapshot is needed."""
        return self._of(runner_id).apply(event)

    def sent(self, runner_id: str, blocks: Sequence[str]) -> None:
        """Note the blocks of a prompt that was sent to a runner: it will hold them soon."""
        if blocks:
            self._of(runner_id).add(blocks)

    def overlap(self, runner_id: str, blocks: Sequence[str]) -> int:
        """Return how many leading blocks of a prompt a runner is thought to hold."""
        known = self._runners.get(runner_id)
        return known.overlap(blocks) if known is not None else 0

    def forget(self, runner_id: str) -> None:
        """Drop a runner that is gone or has restarted."""
        self._runners.pop(runner_id, None)

    def _of(self, runner_id: str) -> RunnerBlocks:
        found = self._runners.get(runner_id)
        if found is None:
            found = self._runners[runner_id] = RunnerBlocks(self._max_blocks)
        return found
