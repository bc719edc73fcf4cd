"""The group that keeps lots holds the same on every replica, whatever was lost meanwhile.

Wider runs: ``play(seed, size, rounds, steps)`` with hundreds of seeds.
"""

from __future__ import annotations

import pytest
from tests.unit.lots_simulation import play

ROUNDS = 3
STEPS = 60
FAULTS = {"acknowledged", "read answered", "disk lost", "all killed", "machine replaced"}


@pytest.mark.parametrize(("size", "seeds"), [(3, range(6)), (5, range(3))])
def test_every_replica_holds_what_the_committed_commands_say(size: int, seeds: range) -> None:
    struck: set[str] = set()
    for seed in seeds:
        struck |= set(play(seed, size, ROUNDS, STEPS).faults.counts)
    assert struck >= {
        "acknowledged",
        "read answered",
        "disk lost",
        "all killed",
        "machine replaced",
    }


def test_a_change_of_machines_falls_on_the_end_of_a_snapshot() -> None:
    """The leader once met, at this seed, an entry of its log that it had not written yet."""
    assert play(1051, 3, ROUNDS, 120).faults.counts["machine replaced"]
