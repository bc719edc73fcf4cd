"""Which items can be in time together."""

from __future__ import annotations

from itertools import combinations
from random import Random

import pytest

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.due_plan import MAX_PLANNED, Claim, crowded_out, mark_crowded_out
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.urgency import INITIAL_RUN_S, Prospect, RunTimes

Needs = list[tuple[float, float]]
"""Time until each item is due, and the time that it needs."""


def out(needs: Needs, slots: float) -> set[int]:
    claims = [Claim(place, *need) for place, need in enumerate(needs)]
    return set(crowded_out(claims, slots))


@pytest.mark.parametrize(
    ("needs", "slots", "expected"),
    [
        ([], 1.0, set()),
        ([(4.0, 4.0)], 1.0, set()),
        ([(4.0, 4.0)], 0.0, {0}),
        ([(8.0, 4.0), (8.0, 4.0)], 1.0, set()),
        ([(8.0, 4.0), (8.0, 4.0), (8.0, 4.0)], 1.0, {0}),
        ([(8.0, 4.0), (9.0, 4.0), (10.0, 4.0)], 1.0, {0}),
        ([(8.0, 1.0), (9.0, 4.0), (9.0, 4.5)], 1.0, {2}),
        ([(4.0, 4.0), (5.0, 1.0), (5.5, 1.0)], 1.0, {0}),
        ([(8.0, 4.0)] * 6, 3.0, set()),
    ],
    ids=[
        "none",
        "one fits",
        "no slots",
        "two fit",
        "of equals one goes",
        "of equals the earliest due goes",
        "the one that needs most goes",
        "a long one makes way for two short ones",
        "all slots count",
    ],
)
def test_the_items_that_leave_most_in_time_are_kept(
    needs: Needs, slots: float, expected: set[int]
) -> None:
    assert out(needs, slots) == expected


@pytest.mark.parametrize("seed", range(30))
def test_no_other_choice_keeps_more_in_time(seed: int) -> None:
    random = Random(seed)
    needs = [(random.uniform(1, 12), random.uniform(0.5, 4)) for _ in range(7)]
    kept = set(range(len(needs))) - out(needs, 1.0)
    assert _fits([needs[place] for place in kept])
    larger = combinations(needs, len(kept) + 1)
    assert not any(_fits(list(choice)) for choice in larger)


def _fits(needs: Needs) -> bool:
    """Return whether one slot can do all in time, the earliest due first."""
    needed_s = 0.0
    for due_in_s, need_s in sorted(needs):
        needed_s += need_s
        if needed_s > due_in_s + 1e-9:
            return False
    return True


def make_run(name: str, worked_s: float = 0.0, events: int = 0) -> ItemRun:
    run = ItemRun(
        OpenItem(
            lot_id="lot",
            item_id=name,
            host="h",
            path="/",
            headers=(),
            tokens=1,
            max_attempts=3,
            give_up_s=0.0,
            due_ms=0.0,
            accepted_ms=0,
            failures=0,
            events=events,
        )
    )
    run.worked_s = worked_s
    return run


def test_a_heap_of_items_is_not_late_together() -> None:
    """Guards against a heap whose items each run, are parked and end just too late."""
    times = RunTimes()
    runs = [make_run(str(number)) for number in range(10)]
    mark_crowded_out(runs, lambda _run: INITIAL_RUN_S * 3, times, slots=2.0)
    kept = [run for run in runs if not run.is_crowded_out]
    assert len(kept) == 6
    ranks = [times.urgency(INITIAL_RUN_S * 3, 0.0, run.is_crowded_out) for run in runs]
    assert sorted(ranks)[:6] == [(Prospect.IN_TIME, INITIAL_RUN_S * 3)] * 6
    assert sorted(ranks)[6].prospect is Prospect.CROWDED_OUT


def test_items_that_were_begun_are_kept_before_others() -> None:
    times = RunTimes()
    begun = make_run("begun", worked_s=INITIAL_RUN_S / 2)
    runs = [make_run("a"), begun, make_run("b")]
    mark_crowded_out(runs, lambda _run: INITIAL_RUN_S * 1.5, times, slots=1.0)
    assert [run.item.item_id for run in runs if run.is_crowded_out] in (["a"], ["b"])


@pytest.mark.parametrize("measured", [False, True])
def test_a_new_leader_keeps_items_that_others_have_begun(measured: bool) -> None:
    """Guards against a new leader that takes nearly finished items for untouched ones."""
    times = RunTimes()
    if measured:
        times.record_output(events=100, took_s=2.0)
    runs = [make_run("a"), make_run("begun", events=150), make_run("b")]
    mark_crowded_out(runs, lambda _run: INITIAL_RUN_S, times, slots=1.0)
    assert [run.item.item_id for run in runs if run.is_crowded_out] == ["a", "b"]


def test_a_very_long_backlog_is_planned_from_its_earliest_due_items() -> None:
    times = RunTimes()
    runs = [make_run(str(number)) for number in range(MAX_PLANNED + 10)]
    mark_crowded_out(runs, lambda run: 100.0 + int(run.item.item_id), times, slots=0.0)
    assert sum(run.is_crowded_out for run in runs) == MAX_PLANNED
    assert not any(run.is_crowded_out for run in runs[MAX_PLANNED:])


def test_late_items_take_nothing_from_the_others() -> None:
    times = RunTimes()
    late, other = make_run("late"), make_run("other")
    late.is_crowded_out = True
    due_in_s = {"late": INITIAL_RUN_S - 1, "other": INITIAL_RUN_S}
    mark_crowded_out([late, other], lambda run: due_in_s[run.item.item_id], times, slots=1.0)
    assert not late.is_crowded_out
    assert not other.is_crowded_out
    assert times.urgency(INITIAL_RUN_S - 1, 0.0, crowded_out=True).late
