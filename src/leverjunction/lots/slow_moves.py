"""When a batch run is moved off a back end that has turned slow. Pure: the time is passed in.

Load pattern: back ends slow down 2.5 times for some tenths of a second, seconds apart, and now and
then one stays slow. An item goes on elsewhere at its last event, but the way there costs about half
a second and another run. So a slowdown of the moment is sat out, and so is a lasting one as long as
the item is done when due; a move pays where the item would be late there and in time elsewhere.

A move has to pay for a while before it is made, an item is not moved again soon, and few are moved
in a second: when many back ends turn slow at once, the others have no room for all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.rate_placement import RunNeed
from leverjunction.lots.work_rate import WorkRate

CHECK_INTERVAL_S = 0.2
"""Interval at which runs are looked at; at most one is moved each time."""

CONTINUE_S = 0.5
"""Time that a move takes: the end of the run, the next ranking, and the start of its response."""

MARGIN_S = 0.3
"""Time that must be left elsewhere when the item is due, as both estimates are rough."""

MIN_GAIN_SHARE = 0.2
"""Least part of the time there that a move saves."""

HOLD_S = 0.4
"""Time for which a move has to pay before it is made: longer than most slowdowns have left."""

MOVE_PAUSE_S = 3.0
"""Time after a move for which the item is not moved again."""

MAX_MOVED_SHARE_PER_S = 0.02
"""Largest share of the runs that is moved in a second, but one run a second at least."""


class SlowMoves:
    """Chooses the runs to move. It belongs to one event loop.

    Args:
        need: Returns what an item still needs.
        work_at: Returns how fast a start works, None if it is not known.
        elsewhere_s: Returns the shortest time that work of an item takes at another back end with
            room where it can go on, None without one.
    """

    __slots__ = ("_elsewhere_s", "_moved_s", "_need", "_next_s", "_paying_s", "_room", "_work_at")

    def __init__(
        self,
        need: Callable[[ItemRun], RunNeed],
        work_at: Callable[[str], WorkRate | None],
        elsewhere_s: Callable[[ItemRun, float], float | None],
    ) -> None:
        self._need = need
        self._work_at = work_at
        self._elsewhere_s = elsewhere_s
        self._next_s = float("-inf")
        self._paying_s: dict[ItemKey, float] = {}
        self._moved_s: dict[ItemKey, float] = {}
        self._room = 1.0

    def choose(self, runs: Iterable[ItemRun], now_s: float) -> ItemRun | None:
        """Return the run to move now, None for none.

        Args:
            runs: All items that are being run.
            now_s: Monotonic time in seconds.
        """
        if now_s < self._next_s:
            return None
        elapsed_s = min(1.0, now_s - self._next_s + CHECK_INTERVAL_S)
        self._next_s = now_s + CHECK_INTERVAL_S
        self._moved_s = {
            key: moved_s for key, moved_s in self._moved_s.items() if now_s - moved_s < MOVE_PAUSE_S
        }
        count = 0
        gains: list[tuple[float, ItemKey, ItemRun]] = []
        for run in runs:
            count += 1
            gain_s = self._gain_s(run, now_s)
            if gain_s is not None:
                gains.append((gain_s, run.key, run))
        self._paying_s = {key: self._paying_s.get(key, now_s) for _, key, _ in gains}
        rate = max(1.0, MAX_MOVED_SHARE_PER_S * count)
        self._room = min(rate, self._room + rate * elapsed_s)
        held = [gain for gain in gains if now_s - self._paying_s[gain[1]] >= HOLD_S]
        if not held or self._room < 1.0:
            return None
        self._room -= 1.0
        _, key, chosen = max(held, key=lambda gain: gain[:2])
        self._moved_s[key] = now_s
        del self._paying_s[key]
        return chosen

    def _gain_s(self, run: ItemRun, now_s: float) -> float | None:
        """Return the time in seconds that a move saves, None if it does not pay."""
        work = self._work_at(run.runner_id)
        if work is None or work.is_mean or not _may_move(run, now_s) or run.key in self._moved_s:
            return None
        work_s, due_in_s = self._need(run)
        stay_s = work.expected_s(work_s, now_s)
        if stay_s <= due_in_s:
            return None
        elsewhere_s = self._elsewhere_s(run, work_s)
        if elsewhere_s is None:
            return None
        # What was written there but not read is part of the work that is left.
        move_s = CONTINUE_S + elsewhere_s
        if move_s + MARGIN_S > due_in_s or stay_s - move_s < stay_s * MIN_GAIN_SHARE:
            return None
        return stay_s - move_s


def _may_move(run: ItemRun, now_s: float) -> bool:
    """Return whether a run can go on elsewhere, and nothing is held against its item."""
    return (
        not run.parking
        and run.is_proven(now_s)
        and run.stream.has_events
        and run.stream.origin is not None
        and not run.suspect_key
        and not run.crashed_starts
    )


__all__ = ["CHECK_INTERVAL_S", "CONTINUE_S", "HOLD_S", "MOVE_PAUSE_S", "SlowMoves"]
