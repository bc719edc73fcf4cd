"""The comparison of resumed streams with new ones finds each period with too few that go on."""

from __future__ import annotations

import pytest

from testbed.routed.resumptions import (
    FEWEST_RESUMED,
    LONGEST_S,
    Attempt,
    Comparison,
    Period,
    around,
    compare,
)


def attempts(went_on: int, resumed: int, began: int, new: int, at_s: float = 10.0) -> list[Attempt]:
    return [
        *(Attempt(at_s, at_s + 1.0, "v1", number < went_on) for number in range(resumed)),
        *(Attempt(at_s, at_s + 1.0, "", number < began) for number in range(new)),
    ]


def of(found: list[Attempt], back_ends: int = 2) -> Comparison:
    return compare([Period("run", 0.0, 60.0)], found, lambda *_: back_ends)[0]


@pytest.mark.parametrize(
    ("went_on", "resumed", "began", "new", "holds"),
    [
        (16, 70, 34, 34, False),
        (35, 70, 34, 34, True),
        (34, 70, 34, 34, False),
        (0, 12, 1, 40, False),
        (9, 70, 8, 32, True),
        (0, 12, 0, 12, True),
    ],
)
def test_resumed_streams_go_on_half_as_often_as_new_ones_begin(
    went_on: int, resumed: int, began: int, new: int, holds: bool
) -> None:
    comparison = of(attempts(went_on, resumed, began, new))
    assert comparison.is_judged
    assert comparison.holds == holds


@pytest.mark.parametrize(
    ("resumed", "new", "back_ends", "is_judged"),
    [
        (FEWEST_RESUMED, 1, 2, True),
        (FEWEST_RESUMED - 1, 1, 2, False),
        (FEWEST_RESUMED, 0, 2, False),
        (FEWEST_RESUMED, 1, 1, False),
    ],
)
def test_few_streams_or_back_ends_are_not_judged(
    resumed: int, new: int, back_ends: int, is_judged: bool
) -> None:
    assert of(attempts(0, resumed, new, new), back_ends).is_judged == is_judged


def test_each_period_counts_the_attempts_that_began_in_it() -> None:
    found = [*attempts(0, 20, 5, 5, at_s=10.0), *attempts(20, 20, 5, 5, at_s=30.0)]
    periods = [Period("run", 0.0, 60.0), around("kill", 10.2), around("kill", 29.0)]
    assert [one.holds for one in compare(periods, found, lambda *_: 2)] == [True, False, True]


def test_back_ends_are_asked_for_the_time_of_the_attempt() -> None:
    asked: list[tuple[str, float, float]] = []

    def serving(version: str, begin_s: float, end_s: float) -> int:
        asked.append((version, begin_s, end_s))
        return 2

    compare([], [*attempts(1, 1, 1, 1), Attempt(20.0, 32.0, "v1.1", False)], serving)
    assert asked == [("v1", 10.0, 11.0), ("v1.1", 20.0, 20.0 + LONGEST_S)]


def test_a_broken_promise_tells_the_reasons_of_its_time() -> None:
    period = around("kill", 10.2)
    (comparison,) = compare([period], attempts(3, 20, 5, 6), lambda *_: 2)
    logged = [(1.0, "early"), (10.5, "unknown"), (10.6, "unknown"), (11.0, "own"), (40.0, "late")]
    assert comparison.told(logged) == (
        "3 of 20 resumed streams went on, 5 of 6 new ones began (kill, 9.7 to 15.2 s); "
        "gateways logged: unknown 2, own 1"
    )
