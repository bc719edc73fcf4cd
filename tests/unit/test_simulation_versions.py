"""Streams in the simulator, while back ends of two versions serve side by side."""

from __future__ import annotations

import pytest

from testbed.simulation.cli import is_caught
from testbed.simulation.run import Plan, run_seed
from testbed.simulation.seeded.fault_kinds import SeededFaultKind
from testbed.simulation.seeded.routed.broken_streams import STREAM_RULES
from testbed.simulation.seeded.routed.checkers import STREAM_CHECKERS
from testbed.simulation.seeded.shape import SEEDED_RELEASES, SEEDED_VERSIONS

SILENT = (SeededFaultKind.RELEASE, SeededFaultKind.HANG_CONTROL_AND_KILL_GATEWAY)
BREAKING = (SeededFaultKind.KILL_GATEWAY, SeededFaultKind.KILL_BACK_END)


@pytest.mark.parametrize("seed", range(1, 6))
def test_streams_go_on_at_their_version_whatever_fails(seed: int) -> None:
    result = run_seed(Plan(SEEDED_VERSIONS), seed)
    assert result.violations == []
    assert result.checks["streams_keep_their_version"] > 100


@pytest.mark.parametrize("seed", range(11, 15))
def test_streams_of_killed_gateways_and_back_ends_go_on(seed: int) -> None:
    result = run_seed(Plan(SEEDED_VERSIONS, only=BREAKING), seed)
    assert result.violations == []


@pytest.mark.parametrize("seed", [4, 10])
def test_resumed_streams_go_on_beside_releases_and_ends_of_all_holders(seed: int) -> None:
    result = run_seed(Plan(SEEDED_RELEASES), seed)
    assert result.violations == []
    assert result.checks["resumed_streams_go_on"] >= 3


def test_resumed_streams_go_on_beside_a_silent_control_process() -> None:
    result = run_seed(Plan(SEEDED_RELEASES, only=SILENT), 22)
    assert result.violations == []
    assert result.checks["resumed_streams_go_on"] >= 3


@pytest.mark.parametrize("rule", sorted(STREAM_RULES))
def test_a_broken_rule_is_caught(rule: str) -> None:
    seeds = range(11, 31)
    assert any(
        is_caught(run_seed(Plan(SEEDED_VERSIONS, rule, BREAKING), seed), rule) for seed in seeds
    )


def test_every_checker_of_streams_has_a_rule_that_breaks_it() -> None:
    caught_by = {rule.caught_by for rule in STREAM_RULES.values()}
    assert caught_by == {checker.name for checker in STREAM_CHECKERS}
