"""A replica that stood still itself does not take that for the silence of the others.

All processes of a machine that was short of processor, or suspended, stood still for 1.3 s. When
they went on, the leader's timer was handled before the answers and heartbeats that the others
sent at once. It took its own pause for their silence and gave up the lead, and followers began
elections, so for a while nothing could be recorded. In a fleet in one interpreter, beside other
load, two ended back ends were told of 1.4 s late for that, and a third gateway sent the request
that ended them once more (2 of 16 runs):

    04:54:02.683 back end i-0-1 ended under request 93d8821e ... (attempt r2): refused
    04:54:03.903 group registry lost the lead: no quorum was heard within the lease
    04:54:04.177 ended back ends are not told of yet: this replica does not lead its group
    04:54:04.270 group registry leads term 2

Patience counts the time in which the replica ran. One that others have replaced meanwhile learns
so from the first answer; one that is cut off gives up within a lease of running time.
"""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.unit.consensus_simulation import Faults, Simulation

from leverjunction.consensus.slow_steps import LASTING_STEPS
from leverjunction.consensus.types import Role
from leverjunction.standstills import Standstills

SIZE = 3
SETTLE_S = 5.0
SHORTEST_S = 0.5
"""Well above the lease and the shortest election timeout of the simulated groups' settings."""


class Stage:
    """A group without chance faults, whose replicas can stand still."""

    def __init__(self, seed: int) -> None:
        self.group = Simulation(seed, SIZE)
        self.group.faults = Faults(drop=0, repeat=0, crash_in_sync=0)
        self.stands_still: set[str] = set()
        self.held: list[tuple[str, list[object]]] = []
        self._step = self.group.step
        self.group.step = self._hold_or_step  # type: ignore[method-assign, assignment]
        self.group.run(self.group.now_s + SETTLE_S)

    def _hold_or_step(self, address: str, events: list[object]) -> None:
        if address in self.stands_still:
            self.held.append((address, events))
        else:
            self._step(address, events)  # type: ignore[arg-type]

    def leader(self) -> str:
        [address] = [
            node.address
            for node in self.group.nodes.values()
            if node.engine is not None and node.engine.core.role is Role.LEADER
        ]
        return address

    def terms(self) -> set[int]:
        return {node.engine.core.term for node in self.group.nodes.values() if node.engine}

    def stand_still(self, addresses: set[str], for_s: float) -> None:
        """Stop replicas; then their own timers come first, what others sent after them."""
        self.stands_still = set(addresses)
        self.group.run(self.group.now_s + for_s)
        self.stands_still = set()
        held, self.held = self.held, []
        for address, events in sorted(held, key=lambda one: type(one[1][0]).__name__ != "Tick"):
            self.group.step(address, events)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("for_s", [SHORTEST_S, 1.3, 10.0])
def test_a_machine_that_stood_still_keeps_its_leader(seed: int, for_s: float) -> None:
    stage = Stage(seed)
    leader, terms = stage.leader(), stage.terms()
    stage.stand_still(set(stage.group.addresses), for_s)
    stage.group.run(stage.group.now_s + SETTLE_S)
    assert (stage.leader(), stage.terms()) == (leader, terms)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("for_s", [SHORTEST_S, 1.3, 10.0])
def test_a_follower_that_stood_still_does_not_campaign(seed: int, for_s: float) -> None:
    stage = Stage(seed)
    leader, terms = stage.leader(), stage.terms()
    follower = next(address for address in stage.group.addresses if address != leader)
    stage.stand_still({follower}, for_s)
    stage.group.run(stage.group.now_s + SETTLE_S)
    assert (stage.leader(), stage.terms()) == (leader, terms)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("step_s", [0.06, 0.12, 0.2])
@pytest.mark.parametrize("for_s", [SHORTEST_S, 1.3, 10.0])
def test_a_standstill_counts_also_where_steps_are_a_little_slow(
    seed: int, step_s: float, for_s: float
) -> None:
    """Three steps of 0.1 s on a busy machine, and a pause of 0.46 s cost the lead.

    A replica whose steps are slow is more patient, by 0.07 s here, and took that for enough: its
    own standstills did not count any more. Seen with the processes of a group stopped together for
    0.2 to 0.45 s: a leader whose last round was answered steps down before it has sent another.
    """
    stage = Stage(seed)
    leader, terms = stage.leader(), stage.terms()
    for node in stage.group.nodes.values():
        assert node.engine is not None
        for _ in range(LASTING_STEPS):
            node.engine.core.slow_steps.record(stage.group.now_s, step_s)
    stage.stand_still(set(stage.group.addresses), for_s)
    stage.group.run(stage.group.now_s + SETTLE_S)
    assert (stage.leader(), stage.terms()) == (leader, terms)


@pytest.mark.parametrize("seed", range(20))
def test_a_leader_that_stood_still_alone_is_replaced_and_learns_so(seed: int) -> None:
    stage = Stage(seed)
    leader, [term] = stage.leader(), stage.terms()
    stage.stand_still({leader}, 10.0)
    stage.group.run(stage.group.now_s + 0.1)
    assert stage.leader() != leader
    assert min(stage.terms()) > term


@pytest.mark.parametrize("seed", range(20))
def test_a_leader_that_is_cut_off_after_a_standstill_gives_up_within_a_lease(seed: int) -> None:
    stage = Stage(seed)
    leader = stage.leader()
    engine = stage.group.nodes[leader].engine
    assert engine is not None
    stage.group.partitioned = {leader}
    stage.stand_still({leader}, 10.0)
    stage.group.run(stage.group.now_s + engine.core.lease_s + 0.1)
    assert engine.core.role is not Role.LEADER


@pytest.mark.parametrize("seed", range(20))
def test_a_dead_leader_is_replaced_though_the_others_stood_still(seed: int) -> None:
    stage = Stage(seed)
    leader = stage.leader()
    stage.group.crash(leader)
    others = set(stage.group.addresses) - {leader}
    for _ in range(3):
        stage.stand_still(others, 0.3)
        stage.group.run(stage.group.now_s + 0.2)
    stage.group.run(stage.group.now_s + SETTLE_S)
    assert stage.leader() in others


@pytest.mark.parametrize(
    ("spans", "since_s", "now_s", "ran_s"),
    [
        ([], 0.0, 5.0, 5.0),
        ([(4.0, 1.5)], 0.0, 5.0, 3.5),
        ([(4.0, 1.5)], 3.0, 5.0, 1.0),
        ([(4.0, 1.5)], 4.5, 5.0, 0.5),
        ([(4.0, 0.05)], 0.0, 5.0, 5.0),
        ([(1.0, 1.0), (4.0, 2.0)], 0.0, 5.0, 2.0),
        ([(1.0, 1.0), (100.0, 0.2)], 0.0, 100.0, 99.8),
    ],
    ids=["none", "one", "began before", "ended before", "too short", "two", "forgotten"],
)
def test_how_long_a_replica_ran(
    spans: list[tuple[float, float]], since_s: float, now_s: float, ran_s: float
) -> None:
    standstills = Standstills()
    for at_s, lasted_s in spans:
        standstills.note(at_s, lasted_s)
    assert math.isclose(standstills.ran_s(since_s, now_s), ran_s)


@given(st.lists(st.tuples(st.floats(0.0, 9.0), st.floats(0.0, 9.0)), max_size=8))
def test_a_replica_never_ran_for_less_than_no_time(steps: list[tuple[float, float]]) -> None:
    standstills, now_s = Standstills(), 0.0
    for ran_s, stood_s in steps:
        now_s += ran_s + stood_s
        standstills.note(now_s, stood_s)
    assert -1e-6 <= standstills.ran_s(0.0, now_s) <= now_s + 1e-6
