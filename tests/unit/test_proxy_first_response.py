"""Race of two attempts for a response, without connections."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.proxy.dispatch import OpenedResponse
from leverjunction.proxy.hedging import Outcome, first_response

PRIMARY = cast(OpenedResponse, object.__new__(OpenedResponse))
HEDGE = cast(OpenedResponse, object.__new__(OpenedResponse))
LATE = Failure(
    kind=FailureKind.DEADLINE_EXCEEDED,
    reason="late",
    step=Step.RESPONDING,
    execution=Execution.NOT_RUN,
)
NO_BACK_END = Failure(
    kind=FailureKind.OVERLOADED,
    reason="no back end",
    step=Step.RESPONDING,
    execution=Execution.NOT_RUN,
)


class Attempt:
    """Attempt that ends with a given outcome after a number of event loop iterations."""

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


def _race(primary: Attempt, hedge: Attempt) -> tuple[Any, list[OpenedResponse]]:
    discarded: list[OpenedResponse] = []

    async def race() -> Outcome:
        return await first_response(primary.run(), hedge.run(), discarded.append)

    return asyncio.run(race()), discarded


@pytest.mark.parametrize(
    ("primary", "hedge", "expected"),
    [
        (Attempt(2, PRIMARY), Attempt(9, HEDGE), PRIMARY),
        (Attempt(9, PRIMARY), Attempt(2, HEDGE), HEDGE),
        (Attempt(9, PRIMARY), Attempt(2, NO_BACK_END), PRIMARY),
        (Attempt(2, LATE), Attempt(9, HEDGE), HEDGE),
        (Attempt(2, LATE), Attempt(9, NO_BACK_END), NO_BACK_END),
        (Attempt(9, LATE), Attempt(2, NO_BACK_END), NO_BACK_END),
    ],
)
def test_the_first_response_is_returned_and_a_failure_only_if_both_fail(
    primary: Attempt, hedge: Attempt, expected: Outcome
) -> None:
    outcome, discarded = _race(primary, hedge)
    assert outcome is expected
    assert discarded == []


def test_a_second_response_in_the_same_iteration_is_discarded() -> None:
    outcome, discarded = _race(Attempt(3, PRIMARY), Attempt(3, HEDGE))
    assert {id(outcome), *map(id, discarded)} == {id(PRIMARY), id(HEDGE)}
    assert len(discarded) == 1


def test_an_exception_in_one_attempt_cancels_the_other() -> None:
    primary = Attempt(50, PRIMARY)
    with pytest.raises(ZeroDivisionError):
        _race(primary, Attempt(1, ZeroDivisionError()))
    assert not primary.ended


def test_cancellation_cancels_both_attempts() -> None:
    attempts = (Attempt(50, PRIMARY), Attempt(50, HEDGE))

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
