"""All replicas of the lots group converge to the state of the committed commands, despite faults.

For longer checks call ``simulate(seed, size, rounds, steps)`` with hundreds of seeds.
"""

from __future__ import annotations

import pytest
from tests.unit.lots_simulation import simulate

ROUNDS = 3
STEPS = 60
FAULTS = {"acknowledged", "read answered", "disk lost", "all killed", "machine replaced"}


@pytest.mark.parametrize(("size", "seeds"), [(3, range(6)), (5, range(3))])
def test_every_replica_has_the_state_of_the_committed_commands(size: int, seeds: range) -> None:
    occurred: set[str] = set()
    for seed in seeds:
        occurred |= set(simulate(seed, size, ROUNDS, STEPS).faults.counts)
    assert occurred >= {
        "acknowledged",
        "read answered",
        "disk lost",
        "all killed",
        "machine replaced",
    }


def test_membership_change_at_the_end_of_a_snapshot() -> None:
    """Guards against the leader reading a log entry that it has not written yet (at this seed)."""
    assert simulate(1051, 3, ROUNDS, 120).faults.counts["machine replaced"]
