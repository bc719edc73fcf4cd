"""Groups of replicas in virtual time with an unreliable network, crashes and lost disks."""

from __future__ import annotations

import pytest
from tests.unit.consensus_simulation import Simulation

STEPS = 300


def play(simulation: Simulation) -> None:
    """Run client requests and faults, drawn from the simulation's own random generator."""
    random = simulation.random
    simulation.run(simulation.now_s + 5.0)
    for number in range(STEPS):
        address = random.choice(simulation.addresses)
        kind = random.random()
        if kind < 0.6:
            simulation.propose(address, b"k%d=%d" % (number % 7, number))
        elif kind < 0.8:
            simulation.read(address)
        elif kind < 0.83:
            simulation.crash(address)
            simulation.at(random.uniform(0.0, 2.0), lambda a=address: simulation.start(a))
        elif kind < 0.86:
            simulation.wipe(address)
        elif kind < 0.90:
            simulation.partitioned = set(random.sample(simulation.addresses, random.randrange(3)))
            simulation.at(random.uniform(0.1, 3.0), simulation.partitioned.clear)
        simulation.run(simulation.now_s + random.uniform(0.0, 0.2))
    simulation.heal()
    simulation.check_end()


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(12))
def test_guarantees_hold_under_faults(seed: int, size: int) -> None:
    simulation = Simulation(seed, size)
    play(simulation)
    assert simulation.acked
    assert simulation.faults.counts["read answered"]
