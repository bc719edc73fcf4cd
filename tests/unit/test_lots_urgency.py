"""The order in which items run."""

from __future__ import annotations

import pytest

from leverjunction.lots.urgency import INITIAL_EVENT_S, INITIAL_RUN_S, MIN_REMAINING_SHARE, RunTimes

ITEMS = {
    "due soon": (INITIAL_RUN_S + 1, 0.0),
    "due later": (INITIAL_RUN_S + 9, 0.0),
    "parked before its end": (1.0, INITIAL_RUN_S - 0.5),
    "late, nearly done": (-3.0, INITIAL_RUN_S - 0.5),
    "late, hardly begun": (-9.0, 0.5),
    "would be late": (INITIAL_RUN_S - 1, 0.0),
}


def test_the_earliest_due_run_first_and_late_items_last() -> None:
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


def test_the_time_already_spent_on_an_item_counts() -> None:
    """Guards against taking parked runs near their end for late ones.

    They were parked first and not resumed.
    """
    assert not RunTimes().urgency(1.0, INITIAL_RUN_S - 0.5).late
    assert RunTimes().urgency(1.0, 0.0).late


@pytest.mark.parametrize("worked_s", [INITIAL_RUN_S, 100.0])
def test_an_item_that_exceeded_the_average_is_not_taken_for_done(worked_s: float) -> None:
    assert RunTimes().remaining_s(worked_s) == INITIAL_RUN_S * MIN_REMAINING_SHARE


def test_the_time_of_an_event_is_measured_from_the_first_run_on() -> None:
    times = RunTimes()
    times.record_output(events=0, took_s=5.0)
    assert times.seconds_per_event == INITIAL_EVENT_S
    times.record_output(events=100, took_s=2.0)
    assert times.seconds_per_event == pytest.approx(0.02)
    times.record_output(events=100, took_s=12.0)
    assert times.seconds_per_event == pytest.approx(0.03)


def test_the_average_follows_the_items() -> None:
    times = RunTimes()
    for _ in range(60):
        times.record(9.0)
    assert times.remaining_s(0.0) == pytest.approx(9.0, abs=0.1)
