"""What a service's slots are used for while batch items wait, and why others stay idle. Pure.

The sums tell two shortages apart: slots that online requests occupy, and slots that nothing uses.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from leverjunction.lots.batch_capacity import ServiceCapacity

MAX_GAP_S = 2.0
"""Longest time between two records that is accounted for: a longer one was a stall, or there was no
work in between.
"""


class SlotUse(StrEnum):
    """What a slot is used for, or why it is idle though an item waits."""

    ONLINE = "online"
    BATCH = "batch"
    RESERVED = "reserved"
    """Idle, kept for online requests that may arrive."""

    UNWATCHED = "unwatched"
    """As ``RESERVED``, but online requests have not been watched for long enough to know how many
    may arrive.
    """

    NOT_READ = "load_not_read"
    """The back end has no recent load sample."""

    STARTABLE = "startable"
    """Idle though a run may be added: the item is started in a later step, or its lot is limited.
    """


def current_use(capacity: ServiceCapacity, waiting: int, now_s: float) -> dict[SlotUse, int]:
    """Return how many slots of a service have each use now.

    Args:
        capacity: Load of the service.
        waiting: Items that wait; no more slots than these are counted as idle.
        now_s: Current time.
    """
    online = batch = idle = unread = 0
    for runner in capacity.runners.values():
        if runner.is_stale(now_s):
            unread += runner.slots
            continue
        online += min(runner.slots, runner.online)
        batch += min(runner.own_runs, max(0, runner.slots - runner.online))
        idle += runner.free(now_s)
    idle = min(idle, waiting)
    startable = min(idle, capacity.allowance(now_s))
    kept = SlotUse.RESERVED if capacity.is_watched(now_s) else SlotUse.UNWATCHED
    return {
        SlotUse.ONLINE: online,
        SlotUse.BATCH: batch,
        SlotUse.NOT_READ: min(unread, waiting - idle),
        SlotUse.STARTABLE: startable,
        kept: idle - startable,
    }


class SlotSeconds:
    """Sums the slot-seconds of each use over time.

    Attributes:
        totals: Slot-seconds of each use so far.
    """

    __slots__ = ("_recorded_s", "_use", "totals")

    def __init__(self) -> None:
        self.totals: dict[SlotUse, float] = dict.fromkeys(SlotUse, 0.0)
        self._use: Mapping[SlotUse, int] = {}
        self._recorded_s = float("-inf")

    def record(self, now_s: float, use: Mapping[SlotUse, int]) -> dict[SlotUse, float]:
        """Set the current use; return the slot-seconds of the use that applied until now."""
        elapsed_s = now_s - self._recorded_s
        added: dict[SlotUse, float] = {}
        if elapsed_s <= MAX_GAP_S:
            added = {kind: slots * elapsed_s for kind, slots in self._use.items() if slots}
            for kind, slot_s in added.items():
                self.totals[kind] += slot_s
        self._use = use
        self._recorded_s = now_s
        return added

    def __str__(self) -> str:
        """Return the totals as text for a log line."""
        return ", ".join(f"{kind.value} {slot_s:.1f}" for kind, slot_s in self.totals.items())


__all__ = ["SlotSeconds", "SlotUse", "current_use"]
