"""Where batch items come from: one backlog, and leases that cost a round trip."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from testbed.load.workload import Arrival
from testbed.simulation.scheduler import Scheduler

LEASE_CHUNK_ITEMS = 24
LEASE_LOW_WATER_ITEMS = 24
LEASE_COMMIT_S = 0.006
"""Time a grant takes at the job group's leader: two syncs and one round trip of its followers."""


@dataclass
class BatchItem:
    """An item and the text that parked runs of it have generated."""

    arrival: Arrival
    run: int = 0
    continue_text: str = ""


class Backlog:
    """All pending items; heaps arrive on schedule."""

    def __init__(self, scheduler: Scheduler, arrivals: list[Arrival]) -> None:
        self._pending: deque[BatchItem] = deque()
        self.listeners: list[Callable[[], None]] = []
        for at_s in sorted({arrival.at_s for arrival in arrivals}):
            heap = [BatchItem(arrival) for arrival in arrivals if arrival.at_s == at_s]
            scheduler.after(at_s, lambda items=heap: self._arrive(items))  # type: ignore[misc]

    def __len__(self) -> int:
        return len(self._pending)

    def take(self, count: int) -> list[BatchItem]:
        """Remove and return up to ``count`` items."""
        return [self._pending.popleft() for _ in range(min(count, len(self._pending)))]

    def _arrive(self, items: list[BatchItem]) -> None:
        self._pending.extend(items)
        for listener in self.listeners:
            listener()


class Supply:
    """Items at hand for one owner.

    With ``round_trip_s`` of None items are taken from the backlog at no cost (baseline and
    oracle); otherwise chunks are leased ahead, each arriving a round trip after it was asked for.
    """

    def __init__(
        self, scheduler: Scheduler, backlog: Backlog, round_trip_s: float | None, runners: int
    ) -> None:
        self._scheduler = scheduler
        self._backlog = backlog
        self._round_trip_s = round_trip_s
        self._low_water = LEASE_LOW_WATER_ITEMS * runners
        self._chunk = LEASE_CHUNK_ITEMS * runners
        self._at_hand: deque[BatchItem] = deque()
        self._asking = False
        self.granted: Callable[[], None] = lambda: None
        backlog.listeners.append(self._refill)

    def take(self) -> BatchItem | None:
        """Return the next item at hand, and lease more when few are left."""
        if not self._at_hand and self._round_trip_s is None:
            self._at_hand.extend(self._backlog.take(1))
        item = self._at_hand.popleft() if self._at_hand else None
        self._refill()
        return item

    def give_back(self, item: BatchItem) -> None:
        """Put a parked item first in line; it stays under its lease."""
        self._at_hand.appendleft(item)

    def has_items(self) -> bool:
        """Return whether an item is at hand or could be taken."""
        return bool(self._at_hand) or (self._round_trip_s is None and len(self._backlog) > 0)

    def _refill(self) -> None:
        if self._round_trip_s is None:
            if len(self._backlog):
                self._scheduler.after(0.0, self.granted)
            return
        if self._asking or len(self._at_hand) >= self._low_water or not len(self._backlog):
            return
        self._asking = True
        self._scheduler.after(self._round_trip_s, self._grant)

    def _grant(self) -> None:
        self._asking = False
        self._at_hand.extend(self._backlog.take(self._chunk))
        self.granted()
        self._refill()
