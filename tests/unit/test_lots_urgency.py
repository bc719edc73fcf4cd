"""Which items run first."""

from __future__ import annotations

import pytest

from leverjunction.lots.urgency import LEAST_LEFT_SHARE, TYPICAL_RUN_S, RunTimes, Task, let_go

ITEMS = {
    "due soon": (TYPICAL_RUN_S + 1, 0.0),
    "due later": (TYPICAL_RUN_S + 9, 0.0),
    "parked before its end": (1.0, TYPICAL_RUN_S - 0.5),
    "late, nearly done": (-3.0, TYPICAL_RUN_S - 0.5),
    "late, hardly begun": (-9.0, 0.5),
    "would be late": (TYPICAL_RUN_S - 1, 0.0),
}


def test_the_first_due_in_front_and_the_late_last() -> None:
    times = RunTimes()
    ranked = sorted(ITEMS, key=lambda name: times.urgency(*ITEMS[name]))
    assert ranked == [
        "parked before its end",
        "due soon",
        "due later",
        "late, nearly done",
        "late, hardly begun",
        "would be late",
    ]


def test_an_item_that_was_worked_on_is_not_late_for_its_whole_time() -> None:
    """Parked runs near their end were taken for late ones, parked first and not taken up again."""
    assert not RunTimes().urgency(1.0, TYPICAL_RUN_S - 0.5).late
    assert RunTimes().urgency(1.0, 0.0).late


@pytest.mark.parametrize("worked_s", [TYPICAL_RUN_S, 100.0])
def test_what_took_its_time_is_not_taken_for_done(worked_s: float) -> None:
    assert RunTimes().left_s(worked_s) == TYPICAL_RUN_S * LEAST_LEFT_SHARE


def test_the_usual_time_follows_the_items() -> None:
    times = RunTimes()
    for _ in range(60):
        times.ended(9.0)
    assert times.left_s(0.0) == pytest.approx(9.0, abs=0.1)


def tasks(*due_and_left_s: tuple[float, float]) -> list[Task]:
    return [Task(due_in_s, left_s, n) for n, (due_in_s, left_s) in enumerate(due_and_left_s)]


@pytest.mark.parametrize(
    ("wanted", "slots", "gone"),
    [
        ([], 1.0, set()),
        ([(5, 4), (9, 4)], 1.0, set()),
        ([(5, 4), (5, 4), (9, 4)], 1.0, {0}),
        ([(5, 4), (5, 4), (9, 4)], 2.0, set()),
        ([(6, 5), (8, 2), (9, 3)], 1.0, {0}),
        ([(5, 4), (9, 4)], 0.0, {0, 1}),
    ],
    ids=[
        "nothing",
        "all in time",
        "one of two that are due together",
        "room for both",
        "the longest, though due first",
        "no slots",
    ],
)
def test_the_fewest_are_let_go_that_leave_the_others_in_time(
    wanted: list[tuple[float, float]], slots: float, gone: set[int]
) -> None:
    assert let_go(tasks(*wanted), slots) == gone


def test_with_twice_the_work_half_is_in_time_where_first_due_first_has_nearly_none() -> None:
    """Each item was begun in time, shared its slot's time with the others, and ended too late."""
    wanted = [(4.0 + number / 4, 4.0) for number in range(64)]
    kept = [pair for number, pair in enumerate(wanted) if number not in let_go(tasks(*wanted), 8)]
    ends_s = [sum(left for _, left in kept[: n + 1]) / 8 for n in range(len(kept))]
    assert all(end_s <= due_s for end_s, (due_s, _) in zip(ends_s, kept, strict=True))
    assert len(kept) >= 32


def test_what_is_let_go_comes_after_what_can_be_in_time() -> None:
    times = RunTimes()
    assert times.urgency(5.0, 0.0, let_go=True) > times.urgency(60.0, 0.0)
    assert times.urgency(5.0, 2.0, let_go=True) < times.urgency(5.0, 0.0, let_go=True)
