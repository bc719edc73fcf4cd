"""How often a place is asked for leases, by what the hub says of pending work."""

from __future__ import annotations

import random

import pytest

from leverjunction.batch.lease_polls import (
    EMPTY_POLL_S,
    MAX_EMPTY_POLL_S,
    SAFETY_POLL_S,
    PollSchedule,
    PollTarget,
)
from leverjunction.wire.messages import PendingWork

GROUP = "jobs-0"
TARGET = PollTarget(GROUP, "llm")
NO_WORK = [PendingWork(GROUP, [])]
WORK = [PendingWork(GROUP, ["llm"])]
OTHER_WORK = [PendingWork(GROUP, ["other"])]
OTHER_GROUP = [PendingWork("jobs-1", [])]


def poll_until_slowest(schedule: PollSchedule) -> float:
    """Ask in vain, as often as it takes for the longest wait; returns the time after."""
    now_s = 0.0
    for _ in range(10):
        schedule.record_empty(TARGET, now_s, is_unanswered=False)
        now_s += SAFETY_POLL_S
    schedule.record_empty(TARGET, now_s, is_unanswered=False)
    return now_s


@pytest.mark.parametrize(
    ("told", "longest_s"),
    [
        (None, MAX_EMPTY_POLL_S),
        (OTHER_GROUP, MAX_EMPTY_POLL_S),
        (WORK, MAX_EMPTY_POLL_S),
        (NO_WORK, SAFETY_POLL_S),
        (OTHER_WORK, SAFETY_POLL_S),
    ],
)
def test_a_place_is_asked_seldom_only_when_its_group_is_said_to_have_no_work(
    told: list[PendingWork] | None, longest_s: float
) -> None:
    schedule = PollSchedule(random.Random(1))
    if told is not None:
        schedule.update(told)
    now_s = poll_until_slowest(schedule)
    assert not schedule.is_due(TARGET, now_s + longest_s * 0.49)
    assert schedule.is_due(TARGET, now_s + longest_s)


@pytest.mark.parametrize("news", [WORK, OTHER_GROUP, []])
def test_news_of_work_or_of_a_hub_that_knows_nothing_end_the_wait(news: list[PendingWork]) -> None:
    schedule = PollSchedule(random.Random(1))
    schedule.update(NO_WORK)
    now_s = poll_until_slowest(schedule)
    assert schedule.update(news) is (news == WORK)
    assert schedule.is_due(TARGET, now_s)


def test_the_same_word_again_does_not_end_the_wait() -> None:
    schedule = PollSchedule(random.Random(1))
    schedule.update(WORK)
    now_s = poll_until_slowest(schedule)
    assert not schedule.update(WORK)
    assert not schedule.is_due(TARGET, now_s)


def test_a_grant_without_an_answer_is_asked_for_again_soon_whatever_is_said() -> None:
    schedule = PollSchedule(random.Random(1))
    schedule.update(NO_WORK)
    schedule.record_empty(TARGET, 0.0, is_unanswered=True)
    assert schedule.is_due(TARGET, EMPTY_POLL_S)


def test_it_is_quiet_only_without_work_at_hand_and_when_all_groups_are_known() -> None:
    schedule = PollSchedule(random.Random(1))
    assert not schedule.is_idle([GROUP])
    schedule.update(NO_WORK)
    assert schedule.is_idle([GROUP])
    assert not schedule.is_idle([GROUP, "jobs-1"])
    schedule.record_items(TARGET)
    assert not schedule.is_idle([GROUP])
    schedule.record_empty(TARGET, 0.0, is_unanswered=False)
    schedule.update(WORK)
    assert not schedule.is_idle([GROUP])
