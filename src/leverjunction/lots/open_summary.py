"""Summarizes the open items of a store at one moment, by the reason why they do not run. Pure."""

from __future__ import annotations

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.item_status import ItemStatus, Reason
from leverjunction.lots.wait_ends import WHAT_ENDS, HoldEnd, wait_end_s

RUNNING_STATUSES = frozenset({Reason.RUNS.value, Reason.STOPS.value, Reason.PAUSES.value})


class _ReasonGroup:
    """The items with one reason.

    Attributes:
        count: Number of them.
        since_s: Since when the reason has applied to one of them, in monotonic seconds.
        longest: That item and its status, None if the items are not known here.
    """

    __slots__ = ("count", "longest", "since_s")

    def __init__(self) -> None:
        self.count = 0
        self.since_s = float("inf")
        self.longest: tuple[ItemRun, ItemStatus] | None = None


class OpenSummary:
    """The open items by reason.

    Args:
        now_s: The moment, in monotonic seconds.

    Attributes:
        longest_idle_s: Longest time for which an item has had no run and no event. A run counts
            from its start, also if it goes on.
    """

    __slots__ = ("_groups", "_now_s", "longest_idle_s")

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._groups: dict[str, _ReasonGroup] = {}
        self.longest_idle_s = 0.0

    def add(self, key: str, run: ItemRun, status: ItemStatus) -> None:
        """Add an item under the value of a reason."""
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _ReasonGroup()
        group.count += 1
        trace = run.trace
        if trace.status_since_s < group.since_s:
            group.since_s = trace.status_since_s
            group.longest = (run, status)
        idle_s = self._now_s - max(trace.heard_s, trace.started_s, trace.ended_s)
        if idle_s > self.longest_idle_s:
            self.longest_idle_s = idle_s

    def add_unknown(self, reason: Reason, count: int, since_s: float) -> None:
        """Add items of which no more is known here.

        Args:
            reason: Their reason.
            count: Number of them.
            since_s: Since when it has applied, in monotonic seconds.
        """
        if not count:
            return
        group = self._groups.setdefault(reason.value, _ReasonGroup())
        group.count += count
        group.since_s = min(group.since_s, since_s)
        self.longest_idle_s = max(self.longest_idle_s, self._now_s - since_s)

    @property
    def open_items(self) -> int:
        """Number of open items."""
        return sum(group.count for group in self._groups.values())

    @property
    def running(self) -> int:
        """Number of items that run, or whose run has just ended."""
        return sum(group.count for key, group in self._groups.items() if key in RUNNING_STATUSES)

    def counts(self) -> dict[str, int]:
        """Return the number of items by reason."""
        return {key: group.count for key, group in self._groups.items()}

    def longest_s(self) -> dict[str, float]:
        """Return for each reason how long it has applied to an item, in seconds."""
        return {key: self._now_s - group.since_s for key, group in self._groups.items()}

    def text(self, hold_end_s: HoldEnd) -> str:
        """Return the items by reason, for how long, and what ends that, the most frequent first.

        Args:
            hold_end_s: Knows the ends of holds.
        """
        groups = sorted(self._groups.items(), key=lambda pair: (-pair[1].count, pair[0]))
        parts = [self._part(key, group, hold_end_s) for key, group in groups]
        return "; ".join([f"{self.open_items} open, {self.running} running", *parts])

    def _part(self, key: str, group: _ReasonGroup, hold_end_s: HoldEnd) -> str:
        text = f"{group.count} {key} for up to {self._now_s - group.since_s:.1f} s"
        if group.longest is None:
            return f"{text}, until {WHAT_ENDS[key]}"
        run, status = group.longest
        end_s = wait_end_s(run, status, hold_end_s)
        within = "" if end_s is None else f", in {end_s - self._now_s:.1f} s"
        lot, item = run.key
        return f"{text} (item {item} of lot {lot}), until {WHAT_ENDS[key]}{within}"


__all__ = ["RUNNING_STATUSES", "OpenSummary"]
