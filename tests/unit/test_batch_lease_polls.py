"""Tests of the interval between polls for leases, depending on the work that the hub reports."""

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
    """Record empty polls until their interval is the longest; returns the time of the last one."""
    now_s = 0.0
    for _ in range(10):
        schedule.record_empty(TARGET, now_s, is_unanswered=False)
        now_s += SAFETY_POLL_S
    schedule.record_empty(TARGET, now_s, is_unanswered=False)
    return now_s


@pytest.mark.parametrize(
    ("reported", "longest_s"),
    [
        (None, MAX_EMPTY_POLL_S),
        (OTHER_GROUP, MAX_EMPTY_POLL_S),
        (WORK, MAX_EMPTY_POLL_S),
        (NO_WORK, SAFETY_POLL_S),
        (OTHER_WORK, SAFETY_POLL_S),
    ],
)
def test_a_target_is_polled_rarely_only_if_its_group_is_reported_to_have_no_such_work(
    reported: list[PendingWork] | None, longest_s: float
) -> None:
    schedule = PollSchedule(random.Random(1))
    if reported is not None:
        schedule.update(reported)
    now_s = poll_until_slowest(schedule)
    assert not schedule.is_due(TARGET, now_s + longest_s * 0.49)
    assert schedule.is_due(TARGET, now_s + longest_s)


@pytest.mark.parametrize("reported", [WORK, OTHER_GROUP, []])
def test_new_work_and_a_hub_without_knowledge_of_the_group_end_the_wait(
    reported: list[PendingWork],
) -> None:
    schedule = PollSchedule(random.Random(1))
    schedule.update(NO_WORK)
    now_s = poll_until_slowest(schedule)
    assert schedule.update(reported) is (reported == WORK)
    assert schedule.is_due(TARGET, now_s)


def test_a_repeated_report_does_not_end_the_wait() -> None:
    schedule = PollSchedule(random.Random(1))
    schedule.update(WORK)
    now_s = poll_until_slowest(schedule)
    assert not schedule.update(WORK)
    assert not schedule.is_due(TARGET, now_s)


def test_a_grant_without_a_reply_is_polled_again_soon_whatever_work_is_reported() -> None:
    schedule = PollSchedule(random.Random(1))
    schedule.update(NO_WORK)
    schedule.record_empty(TARGET, 0.0, is_unanswered=True)
    assert schedule.is_due(TARGET, EMPTY_POLL_S)


def test_is_idle_only_without_known_work_and_if_the_hub_knows_all_groups() -> None:
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
