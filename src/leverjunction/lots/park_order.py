"""Which batch runs are parked first when online requests need their slots. Pure.

Load pattern: online requests come in bursts of seconds that ask for nearly all slots, while batch
holds a third of them; each burst parks dozens of runs, which go on elsewhere after it.

A parked run goes on at its last event. Lost is what the back end has written since, or the whole
output where no back end of its version is left. A run that is nearly done frees its slot by itself,
soon, and would need another run for a few events. An item that is short of time would be late for a
pause of seconds. These are parked last; among the others, those with the most time left first.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import NamedTuple

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.rate_placement import RunNeed
from leverjunction.lots.urgency import MIN_REMAINING_SHARE, Urgency

PAUSE_S = 3.0
"""Time for which a parked item may have to wait: a burst of online requests lasts seconds."""

LOSS_STEP_S = 0.25
"""Losses that differ by less count as equal: output is read at intervals of half of that."""


class ParkReason(StrEnum):
    """What a run was parked for.

    ``BACK_END``: an online request at its back end. ``SERVICE``: requests anywhere. ``MOVE``: to go
    on at another back end.
    """

    BACK_END = "back_end"
    SERVICE = "service"
    MOVE = "move"


class ParkRank(NamedTuple):
    """Rank of a run; the largest is parked first.

    Attributes:
        is_proven: Whether it has gone on for long enough to be harmless. A run that is lost soon
            after it was parked could not be held against its item.
        has_time: Whether the item can wait, or is late in any case.
        loss: Minus its loss, in steps.
        goes_on: Whether it is far from done.
        urgency: Rank of the item among waiting ones.
    """

    is_proven: bool
    has_time: bool
    loss: int
    goes_on: bool
    urgency: Urgency


class ParkOrder:
    """Ranks runs for parking.

    Args:
        urgency: Returns the rank of an item.
        need: Returns what an item still needs.
        done_share: Returns which share of an average item's work an item has behind it.
    """

    __slots__ = ("_done_share", "_need", "_urgency")

    def __init__(
        self,
        urgency: Callable[[ItemRun], Urgency],
        need: Callable[[ItemRun], RunNeed],
        done_share: Callable[[ItemRun], float],
    ) -> None:
        self._urgency = urgency
        self._need = need
        self._done_share = done_share

    def pick(
        self,
        candidates: Iterable[ItemRun],
        live: Callable[[str], Collection[str]],
        now_s: float,
    ) -> ItemRun:
        """Return the run that is parked first, of one or more.

        Args:
            candidates: Runs at the back end.
            live: Returns the versions of a service's back ends.
            now_s: Monotonic time in seconds.
        """
        return max(candidates, key=lambda run: self._rank(run, live, now_s))

    def pick_most_time(self, candidates: Iterable[ItemRun], now_s: float) -> ItemRun:
        """Return the run with the most time left, where nothing is known of rates.

        Args:
            candidates: Runs at the back end.
            now_s: Monotonic time in seconds.
        """
        return max(candidates, key=lambda run: (run.is_proven(now_s), self._urgency(run)))

    def count_patient(self, runs: Iterable[ItemRun]) -> Counter[str]:
        """Return at each start how many of these runs can be parked without being late for it."""
        return Counter(run.runner_id for run in runs if self._has_time(run))

    def _rank(self, run: ItemRun, live: Callable[[str], Collection[str]], now_s: float) -> ParkRank:
        return ParkRank(
            is_proven=run.is_proven(now_s),
            has_time=self._has_time(run),
            loss=-int(lost_s(run, live, now_s) / LOSS_STEP_S),
            goes_on=self._done_share(run) < 1 - MIN_REMAINING_SHARE,
            urgency=self._urgency(run),
        )

    def _has_time(self, run: ItemRun) -> bool:
        work_s, due_in_s = self._need(run)
        return not work_s <= due_in_s < work_s + PAUSE_S


def lost_s(run: ItemRun, live: Callable[[str], Collection[str]], now_s: float) -> float:
    """Return the time in seconds that a run has taken for what is lost if it is parked now."""
    if run.sent_s is None:
        return 0.0
    since_s = run.sent_s if run.first_output_s is None else run.last_output_s
    if goes_on_elsewhere(run, live):
        return max(0.0, now_s - since_s)
    return run.worked_s + max(0.0, now_s - run.sent_s)


def goes_on_elsewhere(run: ItemRun, live: Callable[[str], Collection[str]]) -> bool:
    """Return whether a later run can go on at the last event, or there is none to go on at."""
    if not run.stream.has_events:
        return True
    origin = run.stream.origin
    return origin is not None and origin.version in live(origin.service)


__all__ = ["LOSS_STEP_S", "PAUSE_S", "ParkOrder", "ParkReason", "goes_on_elsewhere", "lost_s"]
