"""Room for batch beside online requests."""

from __future__ import annotations

import pytest

from leverjunction.lots.room import STALE_S, WINDOW_S, BatchRoom

NOW_S = 100.0


def room(slots: int = 12) -> BatchRoom:
    """A back end that was watched for long and found idle."""
    one = BatchRoom(slots)
    one.told(0, 0, NOW_S - WINDOW_S * 2)
    return one


def test_without_a_reading_nothing_is_added() -> None:
    assert BatchRoom(12).free(0.0) == 0


def test_an_empty_back_end_is_filled_but_for_a_margin() -> None:
    one = room()
    one.told(0, 0, NOW_S)
    assert one.free(NOW_S) == 11


def test_room_is_kept_for_the_latest_peak() -> None:
    one = room()
    one.told(7, 0, NOW_S)
    one.told(1, 0, NOW_S + 1.0)
    assert one.free(NOW_S + 1.0) == 4
    one.told(1, 0, NOW_S + WINDOW_S + 0.5)
    assert one.free(NOW_S + WINDOW_S + 0.5) == 10


def test_own_runs_are_not_taken_for_online_ones() -> None:
    one = room()
    one.told(0, 0, NOW_S)
    for _ in range(5):
        one.started()
    one.told(0, 0, NOW_S + 0.1)
    one.told(5, 0, NOW_S + 0.3)
    assert one.free(NOW_S + 0.3) == 6
    one.ended()
    assert one.free(NOW_S + 0.3) == 7


def test_a_few_run_even_beside_a_high_peak_if_there_is_room_now() -> None:
    one = room()
    one.told(12, 3, NOW_S)
    assert one.free(NOW_S) == 0
    one.told(2, 0, NOW_S + 1.0)
    assert one.free(NOW_S + 1.0) == 2


@pytest.mark.parametrize(("age_s", "free"), [(STALE_S - 0.1, 11), (STALE_S + 0.1, 0)])
def test_an_old_reading_is_not_gone_by(age_s: float, free: int) -> None:
    one = room()
    one.told(0, 0, NOW_S)
    assert one.free(NOW_S + age_s) == free


def test_a_lull_is_not_filled_before_a_burst_can_have_been_seen() -> None:
    """A new leader filled the lull after its start, and the next burst waited behind it."""
    one = BatchRoom(19)
    one.told(0, 0, NOW_S)
    assert one.free(NOW_S) == 7
    one.told(15, 0, NOW_S + 1)
    one.told(0, 0, NOW_S + 2)
    assert one.free(NOW_S + 2) == 3
    one.told(0, 0, NOW_S + WINDOW_S + 2)
    assert one.free(NOW_S + WINDOW_S + 2) == 18
