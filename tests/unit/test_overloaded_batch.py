"""More batch items than slots: as many as possible are done when due, not all of them late."""

from __future__ import annotations

from statistics import mean

import pytest

from testbed.placement.experiment import Fleet, play
from testbed.placement.loads import PATTERNS, Pattern, items_bound

LEAST_SHARE_OF_BOUND = 0.85
SEEDS = (1, 2, 3, 4)


@pytest.mark.parametrize("pattern", ["overload", "overload-2", "overload-3", "overload-cut"])
def test_items_of_an_overload_are_not_late_together(pattern: str) -> None:
    """Guards against a heap of items each of which runs, is parked and ends just too late."""
    played = [play(pattern, Fleet(gateways=6, back_ends=6), seed) for seed in SEEDS]
    share = mean(figures.items_in_time / figures.items_bound for figures in played)
    assert share >= LEAST_SHARE_OF_BOUND


@pytest.mark.parametrize(
    ("items", "slots", "bound"),
    [
        ([(0.0, 4.0)], 1, 1.0),
        ([(0.0, 4.0)] * 4, 1, 1.0),
        ([(0.0, 4.0)] * 10, 1, 18.0 / 40.0),
        ([(0.0, 36.0)], 2, 0.5),
    ],
    ids=["one", "as many as fit", "more than fit", "an item has one slot"],
)
def test_the_bound_is_what_the_slots_can_do(
    items: list[tuple[float, float]], slots: int, bound: float
) -> None:
    assert items_bound([], items, slots, Pattern()) == pytest.approx(bound, abs=0.01)


def test_online_requests_and_a_power_cut_leave_less_to_items() -> None:
    items = [(0.0, 1.0)] * 18
    assert items_bound([(0.0, 9.0)], items, 1, Pattern()) == pytest.approx(0.5, abs=0.02)
    cut = Pattern(cut_s=9.0, cut_for_s=9.0)
    assert items_bound([], items, 1, cut) == pytest.approx(0.5, abs=0.02)


def test_the_patterns_offer_more_than_fits() -> None:
    for name in ("overload", "overload-2", "overload-3"):
        pattern = PATTERNS[name]
        slots_left = 1 - pattern.lost_share - pattern.online_share
        assert pattern.batch_share > 1.1 * slots_left
