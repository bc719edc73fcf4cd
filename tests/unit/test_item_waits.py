"""Items that are held in calm for longer than the promise allows, whatever came before.

Calm begins when all back ends and a leader work again and online traffic has ended. Each row is a
seeded history of ``item_waits_model`` around the whole lots runner.
"""

from __future__ import annotations

from collections import Counter

import pytest
from tests.unit.item_waits_model import CRASH_WINDOW_S, Change, History, Wait, play

MAX_WAIT_S = 18.0
"""Time in calm within which each open item is to get the run that ends it."""

MAX_LOT_CRASHES = 6
"""Back ends that the harmful items of one lot may crash in its first minute."""

LOOK_LENGTH_S = 20.0
SERIES_S = 20.0

AFTER_FAULTS = {
    "series-0": (History(crashes_s=SERIES_S), 0),
    "series-1": (History(crashes_s=SERIES_S), 1),
    "series, same leader-0": (History(crashes_s=SERIES_S, change=Change.SAME), 0),
    "series, other leader-0": (History(crashes_s=SERIES_S, change=Change.OTHER), 0),
    "series, all killed-0": (
        History(crashes_s=SERIES_S, has_power_loss=True, change=Change.KILLED),
        0,
    ),
    "power loss of back ends-0": (History(has_power_loss=True), 0),
    "power loss of back ends-1": (History(has_power_loss=True), 1),
    "power loss of all-0": (History(has_power_loss=True, change=Change.KILLED), 0),
}
BESIDE_A_BAD_LOT = {
    "1 harmful item-0": (History(bad=(1,)), 0),
    "3 harmful items-0": (History(bad=(3,)), 0),
    "16 harmful items-0": (History(bad=(16,)), 0),
}
MIXED = {
    "series and 3 harmful items-0": (History(crashes_s=SERIES_S, bad=(3,)), 0),
    "series, power loss, other leader, 1 harmful item-0": (
        History(crashes_s=SERIES_S, bad=(1,), has_power_loss=True, change=Change.OTHER),
        0,
    ),
}


def described(waits: list[Wait]) -> str:
    """Return how many items waited for too long, and how the longest wait came about."""
    late = [wait for wait in waits if wait.wait_s > MAX_WAIT_S]
    longest = waits[0]
    return (
        f"{len(late)} of {len(waits)} items got no run that ended them within {MAX_WAIT_S:.0f} s;"
        f" longest: {longest.item}, {longest.wait_s:.1f} s, looks {dict(Counter(longest.holds))}"
    )


def check_waits(waits: list[Wait]) -> None:
    assert waits, "no item was open in calm: the history shows nothing"
    assert waits[0].wait_s <= MAX_WAIT_S, described(waits)


@pytest.mark.parametrize(("history", "seed"), AFTER_FAULTS.values(), ids=AFTER_FAULTS)
def test_each_open_item_gets_a_run_in_calm_after_faults(history: History, seed: int) -> None:
    check_waits(play(history, seed, LOOK_LENGTH_S).waits)


@pytest.mark.parametrize(("history", "seed"), BESIDE_A_BAD_LOT.values(), ids=BESIDE_A_BAD_LOT)
def test_items_beside_a_lot_that_crashes_back_ends_get_a_run(history: History, seed: int) -> None:
    outcome = play(history, seed, CRASH_WINDOW_S + 1.0)
    check_waits(outcome.waits)
    assert all(wait.is_done for wait in outcome.waits)
    assert max(outcome.crashes.values()) <= MAX_LOT_CRASHES, outcome.crashes


@pytest.mark.parametrize(("history", "seed"), MIXED.values(), ids=MIXED)
def test_each_open_item_gets_a_run_in_calm_after_faults_beside_a_bad_lot(
    history: History, seed: int
) -> None:
    outcome = play(history, seed, LOOK_LENGTH_S)
    check_waits(outcome.waits)
    assert max(outcome.crashes.values()) <= MAX_LOT_CRASHES, outcome.crashes
