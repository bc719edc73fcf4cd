"""When work is reported as stalled, and when it is not."""

from __future__ import annotations

import pytest

from leverjunction.lots.item_lines import FREQUENT_LINES, INTERVAL_S, LINES_PER_INTERVAL, LineBudget
from leverjunction.lots.stall_watch import REPEAT_S, STALL_S, AgeWatch, StallWatch, WorkState

NOW_S = 100.0


def state(
    *,
    open_items: int = 3,
    active_runs: int = 0,
    startable_runs: int = 4,
    started: float = 50,
    recorded: float = 50,
) -> WorkState:
    return WorkState(
        open_items=open_items,
        active_runs=active_runs,
        startable_runs=startable_runs,
        started_s=started,
        recorded_s=recorded,
        reasons="3 task_left",
    )


@pytest.mark.parametrize(
    ("figures", "stalled"),
    [
        (state(), True),
        (state(open_items=0), False),
        (state(active_runs=1), False),
        (state(startable_runs=0), False),
        (state(started=NOW_S - STALL_S / 2), False),
        (state(recorded=NOW_S - STALL_S / 2), False),
        (state(started=NOW_S - STALL_S, recorded=NOW_S - STALL_S), True),
    ],
)
def test_what_is_a_stall(figures: WorkState, stalled: bool) -> None:
    watch = StallWatch()
    assert bool(watch.update(figures, NOW_S)) is stalled
    assert watch.stalled is stalled


def test_a_stall_is_reported_repeatedly_and_when_it_is_over() -> None:
    watch = StallWatch()
    first = watch.update(state(), NOW_S)
    assert first == (
        "stalled: 3 open items, capacity for 4 runs, no run started for 50.0 s,"
        " nothing recorded for 50.0 s; 3 task_left"
    )
    assert watch.update(state(), NOW_S + 1) == ""
    assert watch.update(state(), NOW_S + REPEAT_S).startswith("stalled:")
    over = watch.update(state(active_runs=1), NOW_S + REPEAT_S + 1)
    assert over == "no longer stalled, after 81.0 s: 3 open"
    assert not watch.stalled
    assert watch.update(state(active_runs=1), NOW_S + REPEAT_S + 2) == ""
    assert watch.update(state(), NOW_S + REPEAT_S + 3).startswith("stalled:")


def test_an_age_is_reported_when_it_passes_its_limit_and_when_it_is_over() -> None:
    watch = AgeWatch("nothing is heard of X", 5.0)
    assert watch.update(4.9, 100.0) == ""
    assert watch.update(5.5, 101.0) == "nothing is heard of X for 5.5 s"
    assert watch.update(6.5, 102.0) == ""
    assert watch.update(0.5, 103.0) == "nothing is heard of X: over, after 7.0 s"
    assert watch.update(0.5, 104.0) == ""


def test_lines_of_one_kind_do_not_take_the_place_of_another() -> None:
    budget = LineBudget()
    assert budget.renew(10.0) == {}
    assert [budget.take("a") for _ in range(LINES_PER_INTERVAL + 3)].count(
        True
    ) == LINES_PER_INTERVAL
    assert budget.take("b")
    assert budget.renew(10.0 + INTERVAL_S / 2) == {}
    assert budget.renew(10.0 + INTERVAL_S) == {"a": 3}
    assert budget.take("a")
    assert budget.renew(10.0 + 2 * INTERVAL_S) == {}


def test_kinds_that_a_backlog_causes_have_fewer_lines() -> None:
    budget = LineBudget()
    budget.renew(10.0)
    taken = [budget.take("waits no_room") for _ in range(LINES_PER_INTERVAL)]
    assert taken.count(True) == FREQUENT_LINES
