"""Distribution of unreported requests, and of this gateway's own one, over back ends."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leverjunction.proxy.water_filling import (
    Candidate,
    CostSteps,
    expected_assignments,
    weighted_choice,
)

STEPS = CostSteps(busy_ms=6.0, queued_ms=250.0)


def candidates(*pairs: tuple[float, float]) -> list[Candidate]:
    return [Candidate(cost_ms, free) for cost_ms, free in pairs]


@pytest.mark.parametrize(
    ("known", "unreported", "expected"),
    [
        (((0, 8), (60, 8)), 0, (1.0, 0.0)),
        (((0, 8), (0, 8)), 0, (0.5, 0.5)),
        (((0, 8), (12, 8)), 3, (3.0, 1.0)),
        (((0, 8), (300, 0)), 7, (8.0, 0.0)),
        (((0, 1), (50, 1), (5000, 0)), 1, (1.2, 0.8, 0.0)),
    ],
    ids=["fresh", "equal", "up to the same cost", "slots before queues", "expensive last"],
)
def test_the_cheapest_candidates_fill_first(
    known: tuple[tuple[float, float], ...], unreported: float, expected: tuple[float, ...]
) -> None:
    assert expected_assignments(candidates(*known), unreported, STEPS) == pytest.approx(
        expected, abs=0.01
    )


@given(
    st.lists(st.tuples(st.floats(0, 10_000), st.floats(-30, 30)), min_size=1, max_size=50),
    st.floats(0, 500),
)
def test_all_unreported_requests_are_assigned(
    known: list[tuple[float, float]], unreported: float
) -> None:
    filled = expected_assignments(candidates(*known), unreported, STEPS)
    assert min(filled) >= 0.0
    # Allows for rounding errors in the water level.
    assert sum(filled) >= (unreported + 1) * (1 - 1e-9)
    cheapest = min(range(len(known)), key=lambda index: known[index][0])
    assert filled[cheapest] > 0.0


def test_choices_are_proportional_to_the_weights() -> None:
    random = Random(1)
    counts = Counter(weighted_choice([3.0, 0.0, 1.0], random) for _ in range(4000))
    assert counts[1] == 0
    assert counts[0] / counts[2] == pytest.approx(3.0, rel=0.15)
