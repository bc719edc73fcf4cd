"""How long a change may take to a gateway while control processes fail, by the plan of asking."""

from __future__ import annotations

from random import Random

import pytest

from leverjunction.errors import Failure, FailureKind, Step
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

SILENT = FailureKind.TIMEOUT
CUT_OFF = FailureKind.STALE
ENDED = FailureKind.NOT_LISTENING


def failure(kind: FailureKind) -> Failure:
    return Failure(kind=kind, reason="", step=Step.EXCHANGING)


def longest_s(*kinds: FailureKind) -> float:
    """Return how long a change may stay unknown, if processes fail so as it is acknowledged."""
    plan = WatchSchedule(Random(1))
    sum_s = 0.0
    for number, kind in enumerate(kinds):
        ask = plan.next_options(True, PROCESSES)
        if kind is SILENT:
            lasted_s = ask.timeout_s
        elif kind is CUT_OFF and number == 0:
            # It holds the call for as long as its contact is recent.
            lasted_s = MAX_CONTACT_AGE_S
        else:
            lasted_s = ANSWER_S
        sum_s += lasted_s + plan.record_failure(failure(kind), lasted_s)
    return sum_s + ANSWER_S


@pytest.mark.parametrize(
    "kinds",
    [
        (),
        (SILENT,),
        (CUT_OFF,),
        (ENDED,),
        (SILENT, SILENT),
        (SILENT, CUT_OFF),
        (CUT_OFF, SILENT),
        (CUT_OFF, CUT_OFF),
        (SILENT, ENDED),
        (ENDED, SILENT),
        (CUT_OFF, SILENT, ENDED),
    ],
)
def test_one_process_and_one_more_may_fail(kinds: tuple[FailureKind, ...]) -> None:
    """Two that say nothing took 2.9 s: each was waited for as if it held the call."""
    assert longest_s(*kinds) < IN_FORCE_S


def test_an_answer_is_held_again_once_one_came() -> None:
    plan = WatchSchedule(Random(1))
    held = plan.next_options(True, PROCESSES)
    plan.record_failure(failure(SILENT), CALL_TIMEOUT_S)
    assert plan.next_options(True, PROCESSES).wait_ms == 0
    plan.record_success()
    assert plan.next_options(True, PROCESSES) == held


def test_slow_processes_get_the_long_time_after_each_was_asked() -> None:
    """Short times alone would give up each large answer of a fleet that starts at once."""
    plan = WatchSchedule(Random(1))
    for _ in range(PROCESSES + 1):
        plan.record_failure(failure(SILENT), QUICK_TIMEOUT_S)
    assert plan.next_options(True, PROCESSES).timeout_s == CALL_TIMEOUT_S


@pytest.mark.parametrize("kind", list(FailureKind))
def test_whatever_fails_at_once_is_followed_by_a_pause(kind: FailureKind) -> None:
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
        # A process of an earlier release does not say.
        (reply(-1, -1), False),
    ],
)
def test_a_process_that_knows_less_is_not_followed(answer: WatchReply, is_behind: bool) -> None:
    assert (check_not_behind(answer, 5, 9) is not None) == is_behind
