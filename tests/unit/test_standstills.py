"""After a standstill of its own a process asks before it decides by what it knew."""

from __future__ import annotations

import pytest

from leverjunction.standstills import Freshness

FROM_S = 1.0
PATIENCE_S = 3.0
STEP_S = 1.0


def refreshed_at(*moments_s: float) -> Freshness:
    """Return what was refreshed by steps that began at these moments, each answered at once."""
    freshness = Freshness(FROM_S, PATIENCE_S)
    for now_s in moments_s:
        freshness.step_begins(now_s, STEP_S)
        freshness.refreshed(now_s)
    return freshness


@pytest.mark.parametrize(
    ("steps_s", "answered_s", "now_s", "doubted"),
    [
        ([0, 1], 1, 1.9, False),
        ([0, 1], 1, 2.9, False),  # late by less than a standstill that matters
        ([0, 1], 1, 3.0, True),  # nothing has happened for too long
        ([0, 1, 7], 1, 7.1, True),  # the step after the standstill is not answered yet
        ([0, 1, 7], 7, 7.1, False),
        ([0, 1, 7], 6.9, 7.1, True),  # what was asked for before is no answer
        ([0, 1, 7, 8, 9], 1, 9.9, True),
        ([0, 1, 7, 8, 9, 10], 1, 10.0, False),  # the others are silent
        ([0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 1, 9.9, False),  # it ran and nobody answered
    ],
)
def test_what_was_known_before_a_standstill_is_in_doubt_until_somebody_answers(
    steps_s: list[float], answered_s: float, now_s: float, doubted: bool
) -> None:
    freshness = Freshness(FROM_S, PATIENCE_S)
    for step_s in steps_s:
        freshness.step_begins(step_s, STEP_S)
    freshness.refreshed(answered_s)
    assert freshness.is_in_doubt(now_s) is doubted


def test_nothing_is_in_doubt_where_nobody_refreshes() -> None:
    assert not Freshness(FROM_S, PATIENCE_S).is_in_doubt(1000.0)


def test_a_refreshing_that_ended_for_good_is_waited_for_once() -> None:
    freshness = refreshed_at(0.0)
    assert freshness.is_in_doubt(50.0)
    assert not freshness.is_in_doubt(50.0 + PATIENCE_S)
    assert not freshness.is_in_doubt(500.0)


def test_each_standstill_raises_a_doubt_of_its_own() -> None:
    freshness = refreshed_at(0.0, 5.0, 6.0)
    assert not freshness.is_in_doubt(6.5)
    assert freshness.is_in_doubt(9.0)


def test_how_long_the_process_stood_still_is_told_once() -> None:
    freshness = refreshed_at(0.0)
    assert freshness.is_in_doubt(6.0)
    assert freshness.step_begins(6.0, STEP_S) == pytest.approx(5.0)
    assert freshness.step_begins(6.5, STEP_S) == 0.0
