"""Runs of lots that start slowly, until they are proven. Pure: the time is passed in."""

from __future__ import annotations

from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.slow_start import SlowStart

UNPROVEN_TIMEOUT_S = 1.0
"""Time after which a run that is not proven no longer holds others of its lot back: its back end
may hang, or its response may be lost. Requests that crash their back ends do so within 0.1 s.
"""


class _UnprovenRun:
    """A run of a lot that starts slowly.

    Attributes:
        run: The item.
        start: Start of its back end.
        started_s: When it started, in monotonic seconds.
    """

    __slots__ = ("run", "start", "started_s")

    def __init__(self, run: ItemRun, started_s: float) -> None:
        self.run = run
        self.start = run.runner_id
        self.started_s = started_s


class UnprovenRuns:
    """Tells the slow start of each lot how its runs go. Not thread-safe.

    An item that was proven once is not limited when it goes on after a pause, until a back end
    crashes early in a run of its lot.
    """

    __slots__ = ("_proven", "_runs", "_slow_start")

    def __init__(self) -> None:
        self._slow_start = SlowStart()
        self._runs: dict[ItemKey, _UnprovenRun] = {}
        self._proven: dict[str, set[str]] = {}

    def is_proven(self, run: ItemRun) -> bool:
        """Return whether an item was proven in an earlier run."""
        return run.item.item_id in self._proven.get(run.item.lot_id, ())

    def may_start(self, run: ItemRun, start: str) -> bool:
        """Return whether an item may start at a back end."""
        return self.is_proven(run) or self._slow_start.may_run(run.item.lot_id, start)

    def is_full(self, run: ItemRun) -> bool:
        """Return whether an item may not start anywhere now."""
        return not self.is_proven(run) and self._slow_start.is_full(run.item.lot_id)

    def started(self, run: ItemRun, now_s: float) -> None:
        """Record that an item starts at the back end that it was assigned to."""
        self.dropped(run)
        if not self.is_proven(run) and not self._slow_start.is_open(run.item.lot_id):
            self._runs[run.key] = _UnprovenRun(run, now_s)
            self._slow_start.started(run.item.lot_id, run.runner_id)

    def proven(self, run: ItemRun) -> None:
        """Record that an item's run has shown to be harmless."""
        unproven = self._runs.pop(run.key, None)
        if unproven is not None:
            self._slow_start.proven(run.item.lot_id, unproven.start)
            self._proven.setdefault(run.item.lot_id, set()).add(run.item.item_id)

    def dropped(self, run: ItemRun) -> None:
        """Record that an item's run proves nothing any more: it has ended, or produces nothing."""
        unproven = self._runs.pop(run.key, None)
        if unproven is not None:
            self._slow_start.ended(run.item.lot_id, unproven.start)

    def crashed(self, lot_id: str) -> None:
        """Record that a back end crashed early in a run of a lot."""
        self._slow_start.crashed(lot_id)
        self._proven.pop(lot_id, None)

    def update(self, now_s: float) -> None:
        """Account for runs that have gone on for long enough, have ended or produce nothing."""
        for unproven in list(self._runs.values()):
            run = unproven.run
            is_overdue = now_s - unproven.started_s > UNPROVEN_TIMEOUT_S
            was_parked = run.parking and run.runner_id == unproven.start
            if was_parked and run.has_run_on:
                self.proven(run)
            elif not run.is_at(unproven.start):
                self.dropped(run)
            elif run.is_proven(now_s):
                self.proven(run)
            elif is_overdue:
                del self._runs[run.key]
                self._slow_start.overdue(run.item.lot_id, unproven.start)

    def retain(self, lot_ids: set[str]) -> None:
        """Drop all lots but those listed."""
        self._slow_start.retain(lot_ids)
        self._proven = {lot: items for lot, items in self._proven.items() if lot in lot_ids}

    def clear(self) -> None:
        """Forget all runs, and start all lots anew."""
        self._runs.clear()
        self._proven.clear()
        self._slow_start = SlowStart()


__all__ = ["UnprovenRuns"]
