"""Which requests a gateway still begins after it was asked to stop."""

from __future__ import annotations

import math

import pytest

from leverjunction.proxy.stop_schedule import StopSchedule

REQUESTED_S = 100.0


@pytest.fixture
def schedule() -> StopSchedule:
    schedule = StopSchedule()
    schedule.begin(REQUESTED_S, grace_s=8.0)
    return schedule


def test_nothing_is_refused_before_a_stop() -> None:
    schedule = StopSchedule()
    assert not schedule.refuses(REQUESTED_S)
    assert not schedule.may_cut(REQUESTED_S, run_s=1e6, deadline_s=1e9)
    assert schedule.answer_by_s == math.inf


@pytest.mark.parametrize(
    ("after_s", "run_s", "deadline_after_s", "refused"),
    [
        (0.0, 0.0, 8.0, False),
        (2.4, 4.8, 10.4, False),
        (2.4, 5.0, 10.4, True),
        (2.6, 0.1, 7.2, False),
        (2.6, 0.1, 7.4, True),
        (3.0, 0.0, 3.1, True),
        (0.0, 7.4, 8.0, True),
    ],
)
def test_a_request_is_refused_once_its_answer_may_come_too_late(
    schedule: StopSchedule, after_s: float, run_s: float, deadline_after_s: float, refused: bool
) -> None:
    deadline_s = REQUESTED_S + deadline_after_s
    assert schedule.may_cut(REQUESTED_S + after_s, run_s, deadline_s) is refused


@pytest.mark.parametrize("grace_s", [0.0, 0.5, 2.0])
def test_a_short_grace_leaves_no_time_in_which_requests_are_accepted_and_cut(
    grace_s: float,
) -> None:
    schedule = StopSchedule()
    schedule.begin(REQUESTED_S, grace_s)
    assert schedule.accept_until_s <= schedule.answer_by_s <= REQUESTED_S + grace_s
