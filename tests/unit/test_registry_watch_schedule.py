"""Tests of the poll schedule: delay of a change to a gateway while control processes fail."""

from __future__ import annotations

from random import Random

import pytest

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.commands import WatchReply
from leverjunction.registry.hub import MAX_CONTACT_AGE_S
from leverjunction.registry.watch_schedule import (
    CALL_TIMEOUT_S,
    QUICK_TIMEOUT_S,
    RETRY_PAUSE_S,
    WatchSchedule,
    check_not_behind,
)

IN_FORCE_S = 2.0
ANSWER_S = 0.05
PROCESSES = 5

UNRESPONSIVE = FailureKind.TIMEOUT
OUT_OF_CONTACT = FailureKind.STALE
ENDED = FailureKind.NOT_LISTENING
FULL = FailureKind.OVERLOADED


def failure(kind: FailureKind) -> Failure:
    return Failure(kind=kind, reason="", step=Step.EXCHANGING, execution=Execution.NOT_RUN)


def longest_s(*kinds: FailureKind) -> float:
    """Return the longest delay of a change if processes fail in this way when it is acknowledged.

    Args:
        kinds: Failure of each process in the order in which they are called.
    """
    schedule = WatchSchedule(Random(1))
    total_s = 0.0
    for number, kind in enumerate(kinds):
        options = schedule.next_options(True, PROCESSES)
        if kind is UNRESPONSIVE:
            lasted_s = options.timeout_s
        elif kind is OUT_OF_CONTACT and number == 0:
            # The process holds the call while its contact with the leader is recent.
            lasted_s = MAX_CONTACT_AGE_S
        else:
            lasted_s = ANSWER_S
        total_s += lasted_s + schedule.record_failure(failure(kind), lasted_s)
    return total_s + ANSWER_S


@pytest.mark.parametrize(
    "kinds",
    [
        (),
        (UNRESPONSIVE,),
        (OUT_OF_CONTACT,),
        (ENDED,),
        (FULL,),
        (FULL, UNRESPONSIVE, UNRESPONSIVE),
        (UNRESPONSIVE, UNRESPONSIVE),
        (UNRESPONSIVE, OUT_OF_CONTACT),
        (OUT_OF_CONTACT, UNRESPONSIVE),
        (OUT_OF_CONTACT, OUT_OF_CONTACT),
        (UNRESPONSIVE, ENDED),
        (ENDED, UNRESPONSIVE),
        (OUT_OF_CONTACT, UNRESPONSIVE, ENDED),
    ],
)
def test_changes_arrive_in_time_while_two_processes_fail(kinds: tuple[FailureKind, ...]) -> None:
    """Guards against late changes.

    The failure: the timeout of a held call was used for each unresponsive process, 2.9 s for two.
    """
    assert longest_s(*kinds) < IN_FORCE_S


def test_calls_are_held_again_after_a_reply() -> None:
    schedule = WatchSchedule(Random(1))
    held = schedule.next_options(True, PROCESSES)
    schedule.record_failure(failure(UNRESPONSIVE), CALL_TIMEOUT_S)
    assert schedule.next_options(True, PROCESSES).wait_ms == 0
    schedule.record_success()
    assert schedule.next_options(True, PROCESSES) == held


def test_slow_processes_get_the_long_timeout_after_each_timed_out() -> None:
    """Short timeouts alone would abort every large reply when all machines start together."""
    schedule = WatchSchedule(Random(1))
    for _ in range(PROCESSES + 1):
        schedule.record_failure(failure(UNRESPONSIVE), QUICK_TIMEOUT_S)
    assert schedule.next_options(True, PROCESSES).timeout_s == CALL_TIMEOUT_S


@pytest.mark.parametrize("kind", list(FailureKind))
def test_an_immediate_failure_is_followed_by_a_pause(kind: FailureKind) -> None:
    assert WatchSchedule(Random(1)).record_failure(failure(kind), 0.0) >= RETRY_PAUSE_S / 2


def reply(table_version: int, revision: int) -> WatchReply:
    return WatchReply(
        table=None,
        view=None,
        controls=(),
        contact_age_s=0.0,
        table_version=table_version,
        revision=revision,
    )


@pytest.mark.parametrize(
    ("answer", "is_behind"),
    [
        (reply(5, 9), False),
        (reply(6, 9), False),
        (reply(4, 9), True),
        (reply(5, 8), True),
        (reply(0, 0), True),
        # A process of an earlier release does not send its versions.
        (reply(-1, -1), False),
    ],
)
def test_a_process_with_older_state_is_not_followed(answer: WatchReply, is_behind: bool) -> None:
    assert (check_not_behind(answer, 5, 9) is not None) == is_behind
