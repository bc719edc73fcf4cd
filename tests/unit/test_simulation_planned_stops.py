"""Planned stops of busy gateways in the simulator: what they have read gets a whole answer."""

from __future__ import annotations

import pytest

from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from testbed.simulation.cli import is_caught
from testbed.simulation.run import Plan, run_seed
from testbed.simulation.seeded.fault_kinds import BUSY_STOPS, ROUTED_WEIGHTS, SeededFaultKind
from testbed.simulation.seeded.history import SeededHistory
from testbed.simulation.seeded.routed.stop_checkers import StoppingGatewaysAnswer
from testbed.simulation.seeded.shape import SEEDED_ROUTED, SHAPES
from testbed.simulation.seeded.world import SeededWorld, planned_faults

FEWEST_STOPS = 3
FEWEST_READ = 20


@pytest.mark.parametrize("kind", BUSY_STOPS)
def test_what_a_stopping_gateway_has_read_gets_a_whole_answer(kind: SeededFaultKind) -> None:
    result = run_seed(Plan(SEEDED_ROUTED, only=(kind,)), 1)
    assert result.violations == []
    assert result.faults[kind] > 0
    assert result.checks[StoppingGatewaysAnswer.name] > FEWEST_READ


@pytest.mark.parametrize(
    ("rule", "seed", "kind"),
    [
        ("refuse_nothing_while_stopping", 1, SeededFaultKind.STOP_BUSY),
        ("give_no_last_answers", 1, SeededFaultKind.STOP_BESIDE_SILENCE),
    ],
)
def test_a_broken_rule_of_a_planned_stop_is_caught(
    rule: str, seed: int, kind: SeededFaultKind
) -> None:
    assert is_caught(run_seed(Plan(SEEDED_ROUTED, rule, (kind,)), seed), rule)


def test_requests_are_read_through_the_whole_stop() -> None:
    """Without such requests, the seeds would show nothing."""
    world = SeededWorld(SHAPES[SEEDED_ROUTED], 1, (SeededFaultKind.STOP_BUSY,))
    history = world.run()
    assert len(history.stops) >= FEWEST_STOPS
    assert _read_after(history, 0.0) >= FEWEST_READ
    assert _read_after(history, ACCEPT_AFTER_STOP_S) >= len(history.stops)


def _read_after(history: SeededHistory, since_s: float) -> int:
    """Return how many requests were read later than this after the stop request, before the end."""
    return sum(
        stop.asked_s + since_s < history.read.get(asked.request_id, 0.0) < stop.ended_s
        for stop in history.stops
        for asked in history.asked_at_stops
        if asked.gateway == stop.gateway
    )


def test_busy_stops_strike_only_where_they_are_named() -> None:
    assert not set(BUSY_STOPS) & set(ROUTED_WEIGHTS)
    for seed in range(20):
        kinds = {fault.kind for fault in planned_faults(SHAPES[SEEDED_ROUTED], seed)}
        assert not kinds & set(BUSY_STOPS)
