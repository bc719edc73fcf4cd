"""Items that were proven go on at once after a pause."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.slow_start import FIRST_BACK_ENDS
from leverjunction.lots.unproven_runs import UNPROVEN_TIMEOUT_S, UnprovenRuns
from leverjunction.quarantine.verdicts import EARLY_RUN_S

BACK_ENDS = [f"b{number}" for number in range(6)]
RAN_ON_S = EARLY_RUN_S * 1.1
ITEMS = 8
LONGEST_START_S = 12.0


def make_runs(items: int = ITEMS) -> list[ItemRun]:
    return [
        ItemRun(
            OpenItem(
                lot_id="lot",
                item_id=str(number),
                host="h",
                path="/",
                headers=(),
                tokens=1,
                max_attempts=3,
                give_up_s=0.0,
                due_ms=0.0,
                accepted_ms=0,
                failures=0,
            )
        )
        for number in range(items)
    ]


def start_all(unproven: UnprovenRuns, runs: list[ItemRun], now_s: float) -> list[ItemRun]:
    """Start as many of the runs as may start; return them."""
    started = []
    for run in runs:
        if run.task is not None or unproven.is_full(run):
            continue
        start = next((key for key in BACK_ENDS if unproven.may_start(run, key)), None)
        if start is None:
            continue
        run.assign_to(start)
        run.task = cast("asyncio.Task[None]", object())
        run.mark_sent(now_s)
        unproven.started(run, now_s)
        started.append(run)
    return started


def park(run: ItemRun) -> None:
    run.parking = True
    run.task = None


def run_on(runs: list[ItemRun], now_s: float) -> None:
    for run in runs:
        run.note_output(now_s)
        run.note_output(now_s + RAN_ON_S)


@pytest.fixture
def proven() -> tuple[UnprovenRuns, list[ItemRun]]:
    """A lot all of whose items have run for a while and were then parked."""
    unproven, runs, now_s = UnprovenRuns(), make_runs(), 0.0
    for _ in range(ITEMS):
        run_on(start_all(unproven, runs, now_s), now_s)
        now_s += RAN_ON_S
        unproven.update(now_s)
    assert all(run.task is not None for run in runs)
    for run in runs:
        park(run)
    return unproven, runs


def test_parked_items_of_a_sound_lot_go_on_together(
    proven: tuple[UnprovenRuns, list[ItemRun]],
) -> None:
    """Guards against slots that stay idle in each lull while a lot's items start in turns."""
    unproven, runs = proven
    assert len(start_all(unproven, runs, 10.0)) == ITEMS


def test_an_item_that_ran_on_until_it_was_parked_is_proven() -> None:
    unproven, runs = UnprovenRuns(), make_runs()
    started = start_all(unproven, runs, 0.0)
    assert len(started) == FIRST_BACK_ENDS
    run_on(started, 0.0)
    for run in started:
        park(run)
    unproven.update(RAN_ON_S)
    assert all(unproven.is_proven(run) for run in started)


def test_an_item_that_was_parked_early_is_not_proven() -> None:
    unproven, runs = UnprovenRuns(), make_runs()
    started = start_all(unproven, runs, 0.0)
    for run in started:
        park(run)
    unproven.update(UNPROVEN_TIMEOUT_S / 2)
    assert not any(unproven.is_proven(run) for run in started)


def test_after_a_crash_a_lot_starts_slowly_again(
    proven: tuple[UnprovenRuns, list[ItemRun]],
) -> None:
    unproven, runs = proven
    unproven.crashed("lot")
    assert len(start_all(unproven, runs, 10.0)) < ITEMS


def test_nothing_is_known_of_lots_that_are_gone(
    proven: tuple[UnprovenRuns, list[ItemRun]],
) -> None:
    unproven, runs = proven
    unproven.retain(set())
    assert not any(unproven.is_proven(run) for run in runs)


def test_the_items_of_a_lot_with_late_first_outputs_start_soon() -> None:
    """Guards against the last items of a lot that wait for longer than batch work may take in calm.

    Runs that produced nothing for a second no longer held others back, but let the lot spread no
    further: two items started each second. The last of 40 began after 22 s where a first output
    took 0.9 s, with most slots free.
    """
    unproven, runs = UnprovenRuns(), make_runs(40)
    now_s = 0.0
    while any(run.task is None for run in runs) and now_s < LONGEST_START_S:
        start_all(unproven, runs, now_s)
        now_s += 0.1
        unproven.update(now_s)
    assert all(run.task is not None for run in runs)


def test_a_crash_ends_the_spread_of_a_lot_that_produced_nothing() -> None:
    unproven, runs = UnprovenRuns(), make_runs(16)
    now_s = 0.0
    for _ in range(3):
        start_all(unproven, runs, now_s)
        now_s += 1.1 * UNPROVEN_TIMEOUT_S
        unproven.update(now_s)
    unproven.crashed("lot")
    assert len(start_all(unproven, runs, now_s)) == FIRST_BACK_ENDS
