"""The race of two ways to an answer, without any connection."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.proxy.dispatch import OpenedResponse
from leverjunction.proxy.hedging import Outcome, first_opened

ANSWER = cast(OpenedResponse, object.__new__(OpenedResponse))
OTHER = cast(OpenedResponse, object.__new__(OpenedResponse))
LATE = Failure(kind=FailureKind.DEADLINE_EXCEEDED, reason="late", step=Step.RESPONDING)
NONE = Failure(kind=FailureKind.OVERLOADED, reason="none", step=Step.RESPONDING)


class Way:
    """Ends with its outcome after a number of steps of the event loop."""

    def __init__(self, steps: int, outcome: Outcome | Exception) -> None:
        self.steps = steps
        self.outcome = outcome
        self.ended = False

    async def go(self) -> Outcome:
        for _ in range(self.steps):
            await asyncio.sleep(0)
        self.ended = True
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def _race(late: Way, other: Way) -> tuple[Any, list[OpenedResponse]]:
    let_go: list[OpenedResponse] = []

    async def race() -> Outcome:
        return await first_opened(late.go(), other.go(), let_go.append)

    return asyncio.run(race()), let_go


@pytest.mark.parametrize(
    ("late", "other", "taken"),
    [
        (Way(2, ANSWER), Way(9, OTHER), ANSWER),
        (Way(9, ANSWER), Way(2, OTHER), OTHER),
        (Way(9, ANSWER), Way(2, NONE), ANSWER),
        (Way(2, LATE), Way(9, OTHER), OTHER),
        (Way(2, LATE), Way(9, NONE), NONE),
        (Way(9, LATE), Way(2, NONE), NONE),
    ],
)
def test_the_first_answer_is_taken_and_a_failure_only_after_both(
    late: Way, other: Way, taken: Outcome
) -> None:
    outcome, let_go = _race(late, other)
    assert outcome is taken
    assert let_go == []


def test_an_answer_that_opens_in_the_same_step_is_let_go() -> None:
    outcome, let_go = _race(Way(3, ANSWER), Way(3, OTHER))
    assert {id(outcome), *map(id, let_go)} == {id(ANSWER), id(OTHER)}
    assert len(let_go) == 1


def test_an_error_of_one_way_ends_the_other() -> None:
    late = Way(50, ANSWER)
    with pytest.raises(ZeroDivisionError):
        _race(late, Way(1, ZeroDivisionError()))
    assert not late.ended


def test_who_is_cancelled_leaves_both() -> None:
    ways = (Way(50, ANSWER), Way(50, OTHER))

    async def cancelled() -> None:
        task = asyncio.ensure_future(first_opened(ways[0].go(), ways[1].go(), lambda _: None))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        for _ in range(60):
            await asyncio.sleep(0)

    asyncio.run(cancelled())
    assert not any(way.ended for way in ways)
