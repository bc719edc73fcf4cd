"""Items that are held in calm for longer than the promise allows, whatever came before.

Calm begins when all back ends and a leader work again and online traffic has ended. Each row is a
seeded history of ``item_waits_model`` around the whole lots runner.
"""

from __future__ import annotations

from collections import Counter

import pytest
from tests.unit.item_waits_model import CRASH_WINDOW_S, HISTORIES, Wait, play

MAX_WAIT_S = 18.0
"""Time in calm within which each open item is to get the run that ends it."""

MAX_LOT_CRASHES = 6
"""Back ends that the harmful items of one lot may crash in its first minute."""

CALM_S = 20.0

AFTER_FAULTS = [
    ("series", 0),
    ("series", 1),
    ("series, same leader", 0),
    ("series, other leader", 0),
    ("series, all killed", 0),
    ("series, lots of 40", 200),
    ("power loss of back ends", 0),
    ("power loss of back ends", 1),
    ("power loss of back ends, one caller", 0),
    ("power loss of all", 0),
    ("lost responses", 0),
    ("hung responses", 2),
]
BESIDE_A_BAD_LOT = [
    ("1 harmful item", 0),
    ("3 harmful items", 0),
    ("16 harmful items", 0),
    ("3 harmful items, one caller", 0),
    ("5 lots with a harmful item", 200),
]
MIXED = [
    ("series and 3 harmful items", 0),
    ("series, power loss, other leader, 1 harmful item", 0),
]


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


@pytest.mark.parametrize(("name", "seed"), AFTER_FAULTS)
def test_each_open_item_gets_a_run_in_calm_after_faults(name: str, seed: int) -> None:
    check_waits(play(HISTORIES[name], seed, CALM_S).waits)


@pytest.mark.parametrize(("name", "seed"), BESIDE_A_BAD_LOT)
def test_items_beside_a_lot_that_crashes_back_ends_get_a_run(name: str, seed: int) -> None:
    outcome = play(HISTORIES[name], seed, CRASH_WINDOW_S + 1.0)
    check_waits(outcome.waits)
    assert all(wait.is_done for wait in outcome.waits)
    assert max(outcome.crashes.values()) <= MAX_LOT_CRASHES, outcome.crashes


@pytest.mark.parametrize(("name", "seed"), MIXED)
def test_each_open_item_gets_a_run_in_calm_after_faults_beside_a_bad_lot(
    name: str, seed: int
) -> None:
    outcome = play(HISTORIES[name], seed, CALM_S)
    check_waits(outcome.waits)
    assert max(outcome.crashes.values()) <= MAX_LOT_CRASHES, outcome.crashes
