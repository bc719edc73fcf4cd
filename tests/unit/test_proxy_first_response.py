"""The race of two ways to an answer, without any connection."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.proxy.dispatch import OpenedAnswer
from leverjunction.proxy.hedging import Outcome, first_response

ANSWER = cast(OpenedAnswer, object.__new__(OpenedAnswer))
HEDGE = cast(OpenedAnswer, object.__new__(OpenedAnswer))
LATE = Failure(kind=FailureKind.DEADLINE_EXCEEDED, reason="late", step=Step.RESPONDING)
NONE = Failure(kind=FailureKind.OVERLOADED, reason="none", step=Step.RESPONDING)


class Attempt:
    """Ends with its outcome after a number of steps of the event loop."""

    def __init__(self, steps: int, outcome: Outcome | Exception) -> None:
        self.steps = steps
        self.outcome = outcome
        self.ended = False

    async def run(self) -> Outcome:
        for _ in range(self.steps):
            await asyncio.sleep(0)
        self.ended = True
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def _race(primary: Attempt, hedge: Attempt) -> tuple[Any, list[OpenedAnswer]]:
    discarded: list[OpenedAnswer] = []

    async def race() -> Outcome:
        return await first_response(primary.run(), hedge.run(), discarded.append)

    return asyncio.run(race()), discarded


@pytest.mark.parametrize(
    ("primary", "hedge", "expected"),
    [
        (Attempt(2, ANSWER), Attempt(9, HEDGE), ANSWER),
        (Attempt(9, ANSWER), Attempt(2, HEDGE), HEDGE),
        (Attempt(9, ANSWER), Attempt(2, NONE), ANSWER),
        (Attempt(2, LATE), Attempt(9, HEDGE), HEDGE),
        (Attempt(2, LATE), Attempt(9, NONE), NONE),
        (Attempt(9, LATE), Attempt(2, NONE), NONE),
    ],
)
def test_the_first_answer_is_taken_and_a_failure_only_after_both(
    primary: Attempt, hedge: Attempt, expected: Outcome
) -> None:
    outcome, discarded = _race(primary, hedge)
    assert outcome is expected
    assert discarded == []


def test_an_answer_that_opens_in_the_same_step_is_let_go() -> None:
    outcome, discarded = _race(Attempt(3, ANSWER), Attempt(3, HEDGE))
    assert {id(outcome), *map(id, discarded)} == {id(ANSWER), id(HEDGE)}
    assert len(discarded) == 1


def test_an_error_of_one_way_ends_the_other() -> None:
    primary = Attempt(50, ANSWER)
    with pytest.raises(ZeroDivisionError):
        _race(primary, Attempt(1, ZeroDivisionError()))
    assert not primary.ended


def test_who_is_cancelled_leaves_both() -> None:
    attempts = (Attempt(50, ANSWER), Attempt(50, HEDGE))

    async def cancelled() -> None:
        task = asyncio.ensure_future(
            first_response(attempts[0].run(), attempts[1].run(), lambda _: None)
        )
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        for _ in range(60):
            await asyncio.sleep(0)

    asyncio.run(cancelled())
    assert not any(attempt.ended for attempt in attempts)
