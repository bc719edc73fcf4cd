"""After a pause, a process refreshes its state before it bases decisions on it."""

from __future__ import annotations

import pytest

from leverjunction.standstills import Freshness

MIN_STANDSTILL_S = 1.0
REPLY_TIMEOUT_S = 3.0
STEP_S = 1.0


def refreshed_at(*moments_s: float) -> Freshness:
    """Return a ``Freshness`` after refresh steps at these times, each answered at once."""
    freshness = Freshness(MIN_STANDSTILL_S, REPLY_TIMEOUT_S)
    for now_s in moments_s:
        freshness.step_begins(now_s, STEP_S)
        freshness.refreshed(now_s)
    return freshness


@pytest.mark.parametrize(
    ("steps_s", "answered_s", "now_s", "expected"),
    [
        ([0, 1], 1, 1.9, False),
        ([0, 1], 1, 2.9, False),  # late by less than the shortest pause
        ([0, 1], 1, 3.0, True),  # the next step is overdue
        ([0, 1, 7], 1, 7.1, True),  # the step after the pause is not answered yet
        ([0, 1, 7], 7, 7.1, False),
        ([0, 1, 7], 6.9, 7.1, True),  # the request was made before the pause ended
        ([0, 1, 7, 8, 9], 1, 9.9, True),
        ([0, 1, 7, 8, 9, 10], 1, 10.0, False),  # no peer answers
        ([0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 1, 9.9, False),  # the process ran, but no peer answered
    ],
)
def test_state_is_in_doubt_after_a_standstill_until_a_reply_arrives(
    steps_s: list[float], answered_s: float, now_s: float, expected: bool
) -> None:
    freshness = Freshness(MIN_STANDSTILL_S, REPLY_TIMEOUT_S)
    for step_s in steps_s:
        freshness.step_begins(step_s, STEP_S)
    freshness.refreshed(answered_s)
    assert freshness.is_in_doubt(now_s) is expected


def test_state_is_not_in_doubt_without_refresh_steps() -> None:
    assert not Freshness(MIN_STANDSTILL_S, REPLY_TIMEOUT_S).is_in_doubt(1000.0)


def test_a_refresh_loop_that_has_ended_causes_doubt_only_once() -> None:
    freshness = refreshed_at(0.0)
    assert freshness.is_in_doubt(50.0)
    assert not freshness.is_in_doubt(50.0 + REPLY_TIMEOUT_S)
    assert not freshness.is_in_doubt(500.0)


def test_each_standstill_causes_doubt() -> None:
    freshness = refreshed_at(0.0, 5.0, 6.0)
    assert not freshness.is_in_doubt(6.5)
    assert freshness.is_in_doubt(9.0)


def test_each_standstill_outdates_the_decisions_made_before() -> None:
    freshness = refreshed_at(0.0, 1.0)
    decided = freshness.last_pause_end_s(1.9)
    assert freshness.last_pause_end_s(2.9) == decided
    assert freshness.last_pause_end_s(7.0) != decided
    freshness.step_begins(7.1, STEP_S)
    freshness.refreshed(7.1)
    assert not freshness.is_in_doubt(7.2)
    assert freshness.last_pause_end_s(7.2) != decided, "the reply does not make it valid again"
    decided = freshness.last_pause_end_s(7.2)
    assert freshness.last_pause_end_s(8.0) == decided


def test_the_length_of_a_standstill_is_returned_once() -> None:
    freshness = refreshed_at(0.0)
    assert freshness.is_in_doubt(6.0)
    assert freshness.step_begins(6.0, STEP_S) == pytest.approx(5.0)
    assert freshness.step_begins(6.5, STEP_S) == 0.0
