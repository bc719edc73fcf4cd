"""Prefix cache of an engine: block hashes in LRU order, and the late, gappy events about them."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

from testbed.engine.types import CacheEvent

EVENTS_KEPT = 4096
"""Events kept for subscribers; an older one shows as a gap."""

_MS_PER_S = 1000


class PrefixCache:
    """Blocks of prompts already read, least recently used first.

    Args:
        delay_s: Time from a change until its event can be read.
        gap_ratio: Share of events that are lost (their sequence number is used up).
        generator: Source of randomness for the losses.
    """

    def __init__(self, delay_s: float, gap_ratio: float, generator: random.Random) -> None:
        self._delay_s = delay_s
        self._gap_ratio = gap_ratio
        self._generator = generator
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, hashes: Sequence[str]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, hashes: Sequence[str], capacity: int, now_s: float) -> None:
        """Add the blocks of a prompt, in order, and evict down to ``capacity`` blocks."""
        parent = ""
        added = []
        for block in hashes:
            if block not in self._blocks:
                added.append(block)
            self._blocks[block] = parent
            self._blocks.move_to_end(block)
            parent = block
        self._publish("stored", added, now_s)
        self.shrink(capacity, now_s)

    def shrink(self, capacity: int, now_s: float) -> None:
        """Evict the least recently used blocks until at most ``capacity`` remain."""
        removed = []
        while len(self._blocks) > max(capacity, 0):
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("removed", removed, now_s)

    def clear(self, now_s: float) -> None:
        """Drop all blocks."""
        self._blocks.clear()
        self._sequence += 1
        self._append("cleared", [], now_s)

    def chain(self, block: str) -> list[str]:
        """Return the cached prefix that ends in ``block``, first block first; empty if unknown."""
        found: list[str] = []
        while block and block in self._blocks:
            found.append(block)
            block = self._blocks[block]
        return found[::-1]

    def events_after(self, sequence: int, now_s: float) -> list[CacheEvent]:
        """Return the events after ``sequence`` that can be read by now."""
        visible_ms = int((now_s - self._delay_s) * _MS_PER_S)
        return [e for e in self._events if e.sequence > sequence and e.as_of_ms <= visible_ms]

    def snapshot(self, now_s: float) -> CacheEvent:
        """Return one event that lists all blocks; later events follow its sequence number."""
        return CacheEvent(
            sequence=self._sequence,
            as_of_ms=int(now_s * _MS_PER_S),
            kind="snapshot",
            blocks=list(self._blocks),
        )

    def _publish(self, kind: str, blocks: list[str], now_s: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self._generator.random() >= self._gap_ratio:
            self._append(kind, blocks, now_s)

    def _append(self, kind: str, blocks: list[str], now_s: float) -> None:
        event = CacheEvent(
            sequence=self._sequence, as_of_ms=int(now_s * _MS_PER_S), kind=kind, blocks=blocks
        )
        self._events.append(event)
