"""Checks the election model, its detection of seeded bugs, and the core's conformance to it."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from specs.election import (
    INITIAL,
    LOST_AGAIN_BOUNDS,
    MACHINES,
    WIDE_BOUNDS,
    ElectionModel,
    Rule,
    check,
    failed_invariants,
)
from tests.unit.election_replay import RealGroup

WALKS = 400
STEPS = 40
SEEDED_BUG_STATES = 30_000
CHANGES = {"add", "promote", "drop"}


def test_model_holds_over_its_whole_state_space() -> None:
    result = check()
    assert result["exhaustive"]
    assert failed_invariants(result) == []


@pytest.mark.parametrize(
    ("rule", "broken"),
    [
        (Rule.BLANK_VOTES, "one_leader_a_term"),
        (Rule.REPORT_EARLY, "quorum_survives"),
        (Rule.SWAP, "leaders_hold_committed"),
        (Rule.CHANGE_EARLY, "leaders_hold_committed"),
        (Rule.KEEP_ID, "committed_survives"),
        (Rule.VOTE_TWICE, "one_leader_a_term"),
    ],
)
def test_seeded_bug_is_found(rule: Rule, broken: str) -> None:
    found = check(WIDE_BOUNDS, rule, SEEDED_BUG_STATES)
    assert broken in failed_invariants(found)


def test_a_repair_that_is_reported_once_more_is_found() -> None:
    """Guards against a repeated repair report while the replica's disk is lost once more.

    An operator who trusts the report takes down the next machine. This cost a group two of its
    three disks in the simulator (seed 148, see ``test_simulation``).
    """
    found = check(LOST_AGAIN_BOUNDS, Rule.REPORT_AGAIN, SEEDED_BUG_STATES)
    assert "quorum_survives" in failed_invariants(found)


def _follow_random_traces(model: ElectionModel) -> Counter[str]:
    """Run random traces of the model on real cores; return how often each step was taken."""
    generator = random.Random(5)
    taken: Counter[str] = Counter()
    for _ in range(WALKS):
        state, real = INITIAL, RealGroup()
        for _ in range(STEPS):
            _check_no_unexpected_change(model, real, state, generator.choice(MACHINES))
            steps = [
                (label, after)
                for label, after in model.steps(state)
                if label.split()[0] not in CHANGES or real.knows_committed(int(label.split()[1]))
            ]
            if not steps:
                break
            weights = [1 if label.startswith("campaign") else 8 for label, _ in steps]
            label, state = generator.choices(steps, weights)[0]
            taken[label.split()[0]] += 1
            real.follow(label)
            real.compare(state)
            assert real.blank_votes() == []
    return taken


def _check_no_unexpected_change(
    model: ElectionModel, real: RealGroup, state: object, number: int
) -> None:
    """Check that a leader without a membership change in the model makes none in the real core."""
    labels = {label for label, _ in model.steps(state)}  # type: ignore[arg-type]
    if not any(f"{kind} {number}" in labels for kind in CHANGES):
        full = len(real.nodes[number].entries) >= model.bounds.entries
        assert full or real.change(number) == 0


def test_real_core_follows_the_traces_of_the_model() -> None:
    taken = _follow_random_traces(ElectionModel(WIDE_BOUNDS))
    assert set(taken) == {"campaign", "vote", "append", "replicate", "lose", *CHANGES}


@pytest.mark.parametrize("rule", [Rule.SWAP, Rule.CHANGE_EARLY, Rule.KEEP_ID, Rule.VOTE_TWICE])
def test_traces_of_a_broken_model_are_noticed(rule: Rule) -> None:
    with pytest.raises((AssertionError, KeyError)):
        _follow_random_traces(ElectionModel(WIDE_BOUNDS, rule))
