"""A peer returns after all messages in flight were lost and their entries were compacted."""

from __future__ import annotations

import msgspec
import pytest
from tests.unit.consensus_simulation import Faults, Simulation

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.types import Role

GROUP_SIZE = 3
KEPT_ENTRIES = 2
COMMANDS = 40
PAUSE_S = 0.05
SETTLE_S = 5.0


def core_of(simulation: Simulation, address: str) -> RaftCore:
    engine = simulation.nodes[address].engine
    assert engine is not None
    return engine.core


def group_without_faults(seed: int) -> Simulation:
    simulation = Simulation(seed, GROUP_SIZE)
    simulation.faults = Faults(drop=0, repeat=0, crash_in_sync=0)
    for address in simulation.addresses:
        core = core_of(simulation, address)
        core.config = msgspec.structs.replace(core.config, log_kept_entries=KEPT_ENTRIES)
    simulation.run(simulation.now_s + SETTLE_S)
    return simulation


def leader_of(simulation: Simulation) -> str:
    addresses = simulation.addresses
    return next(a for a in addresses if core_of(simulation, a).role is Role.LEADER)


def propose_all(simulation: Simulation, leader: str) -> None:
    for number in range(COMMANDS):
        simulation.propose(leader, b"k=%d" % number)
        simulation.run(simulation.now_s + PAUSE_S)


@pytest.mark.parametrize("fault", ["cut off", "killed"])
@pytest.mark.parametrize("silence_s", [0.0, 2.0])
@pytest.mark.parametrize("seed", range(3))
def test_a_peer_behind_the_compacted_log_gets_a_snapshot(
    seed: int, silence_s: float, fault: str
) -> None:
    """Guards against a full window of lost messages whose entries were compacted.

    In the simulator (scenario hanbit, seed 2084), heartbeats to such a peer matched at index 0, so
    the leader never detected that the peer was missing entries.
    """
    simulation = group_without_faults(seed)
    leader = leader_of(simulation)
    away = next(address for address in simulation.addresses if address != leader)
    if fault == "killed":
        simulation.crash(away)
    else:
        simulation.partitioned = {away}
    simulation.run(simulation.now_s + silence_s)
    propose_all(simulation, leader)

    core = core_of(simulation, leader)
    members = core.configuration.members
    progress = core.progress[next(m.replica_id for m in members if m.address == away)]
    assert progress.next_index <= core.log.base.index, "entries in flight are not compacted"
    term = core.term

    simulation.heal()
    assert (core.role, core.term) == (Role.LEADER, term)
    assert progress.match_index == core.log.last_index
    simulation.check_end()
    assert len(simulation.acked) == COMMANDS
