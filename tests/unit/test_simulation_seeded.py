"""The seeded deployment in the simulator: its promises hold, and each broken rule is caught."""

from __future__ import annotations

import pytest
from tests.unit.simulation_support import digest_elsewhere

from testbed.simulation.cli import EXIT_BAD_ARGUMENT, EXIT_HOLDS, is_caught, simulate
from testbed.simulation.run import Plan, faults_of, run_seed
from testbed.simulation.seeded.broken import SEEDED_RULES
from testbed.simulation.seeded.checkers import CHECKERS
from testbed.simulation.seeded.fault_kinds import SeededFaultKind
from testbed.simulation.seeded.shape import SEEDED, SEEDED_WIDE, SHAPES
from testbed.simulation.shrink import shrink
from testbed.simulation.variation import Source, Variation

SEEDS = range(1, 9)
STARTS = (
    SeededFaultKind.KILL_GATEWAY,
    SeededFaultKind.CUT_CONTROL,
    SeededFaultKind.FREEZE_CONTROL,
)


@pytest.mark.parametrize("seed", SEEDS)
def test_every_promise_of_a_configuration_holds(seed: int) -> None:
    result = run_seed(Plan(SEEDED), seed)
    assert result.violations == []
    assert result.counts["put_answered"] > 50
    assert sum(result.faults.values()) > 0
    assert all(result.checks[checker.name] for checker in CHECKERS)


@pytest.mark.parametrize("seed", range(1, 4))
def test_every_promise_holds_in_another_shape(seed: int) -> None:
    result = run_seed(Plan(SEEDED_WIDE), seed)
    assert result.violations == []
    assert result.counts["rival_answered"] > 20
    assert result.counts["invalid_failed"] > 10
    assert result.counts["invalid_answered"] == 0


@pytest.mark.parametrize("kind", SHAPES[SEEDED_WIDE].weights)
def test_every_kind_of_fault_strikes_and_the_promises_hold(kind: SeededFaultKind) -> None:
    result = run_seed(Plan(SEEDED_WIDE, only=(kind,)), 50)
    assert result.violations == []
    assert result.faults[kind] > 0


def test_an_invalid_table_is_noticed() -> None:
    assert is_caught(run_seed(Plan(SEEDED_WIDE, "take_any_table"), 1), "take_any_table")


@pytest.mark.parametrize(
    ("rule", "seed", "only"),
    [
        # What a gateway met whose control process had not been able to start: an answer in time,
        # from the disk of nobody.
        ("serve_without_a_replica", 1, ()),
        ("follow_whatever_answers", 2, ()),
        ("lose_news", 14, ()),
        ("start_on_any_answer", 28, STARTS),
        ("read_a_table_from_any_replica", 2, ()),
        ("acknowledge_a_table_before_commit", 38, ()),
        ("wait_for_good_after_a_silence", 1, ()),
    ],
)
def test_a_broken_rule_is_caught(rule: str, seed: int, only: tuple[SeededFaultKind, ...]) -> None:
    assert is_caught(run_seed(Plan(SEEDED, rule, only), seed), rule)
    assert run_seed(Plan(SEEDED, "", only), seed).violations == []


def test_every_checker_has_a_rule_that_breaks_it() -> None:
    caught_by = {rule.caught_by for rule in SEEDED_RULES.values()}
    assert caught_by == {checker.name for checker in CHECKERS}


def test_a_history_does_not_depend_on_the_hash_seed() -> None:
    digests = {digest_elsewhere(SEEDED, 3, hash_seed) for hash_seed in ("1", "2")}
    assert digests == {run_seed(Plan(SEEDED), 3).digest}


def test_a_failing_history_is_searched_and_shrunk() -> None:
    plan = Plan(SEEDED, "serve_without_a_replica")
    shorter, result = shrink(plan, 1)
    assert is_caught(result, "serve_without_a_replica")
    assert len(shorter.without) < len(faults_of(plan, 1))
    beside = Plan(SEEDED, variation=Variation(Source.FAULT_TIME, 0))
    assert run_seed(beside, 1).digest != run_seed(Plan(SEEDED), 1).digest


def test_what_happened_is_told() -> None:
    lines: list[str] = []
    run_seed(Plan(SEEDED), 1, lines)
    told = "\n".join(lines)
    for word in ("fault start_on_full_disk", "leader term", "is in force", "following control"):
        assert word in told


def test_bad_arguments_are_refused_with_what_there_is(capsys: pytest.CaptureFixture[str]) -> None:
    assert simulate(scenario=SEEDED, faults="kill_runner") == EXIT_BAD_ARGUMENT
    assert simulate(scenario=SEEDED, break_rule="never_yield") == EXIT_BAD_ARGUMENT
    capsys.readouterr()
    assert simulate(scenario=SEEDED, faults="list") == EXIT_HOLDS
    assert simulate(scenario="seedless") == EXIT_BAD_ARGUMENT
    printed = capsys.readouterr().out
    assert all(name in printed for name in SHAPES)
    assert simulate(scenario=SEEDED, faults="slow_disk") == EXIT_BAD_ARGUMENT
    assert simulate(scenario=SEEDED, faults="list") == EXIT_HOLDS
    assert "start_on_full_disk" in capsys.readouterr().out.split()
