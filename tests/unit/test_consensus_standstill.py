"""A replica does not mistake a pause of its own process for silence of the others.

Guards against elections after a pause. All processes of a machine that was starved of CPU, or
suspended, stopped for 1.3 s. When they resumed, the leader's timer was handled before the replies
and heartbeats that the others sent at once. The leader mistook its own pause for their silence
and stepped down, and followers started elections, so nothing could be recorded for a while. In a
fleet within one interpreter, under other load, the end of two back ends was reported 1.4 s late,
and a third gateway sent the request that had ended them once more (2 of 16 runs):

    04:54:02.683 back end i-0-1 ended under request 93d8821e ... (attempt r2): refused
    04:54:03.903 group registry lost the lead: no quorum was heard within the lease
    04:54:04.177 ended back ends are not told of yet: this replica does not lead its group
    04:54:04.270 group registry leads term 2

Timeouts therefore count only the time in which the replica's process ran. A leader that was
replaced during its pause learns so from the first reply. A leader that is partitioned steps down
within its lease, measured in running time.
"""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.unit.consensus_simulation import Faults, Simulation

from leverjunction.consensus.slow_steps import MIN_SLOW_STEPS
from leverjunction.consensus.types import Role
from leverjunction.standstills import Standstills

SIZE = 3
SETTLE_S = 5.0
SHORTEST_S = 0.5
"""Shortest pause tested, in seconds."""


class PausableGroup:
    """A simulated group without random faults, whose replicas can be paused."""

    def __init__(self, seed: int) -> None:
        self.simulation = Simulation(seed, SIZE)
        self.simulation.faults = Faults(drop=0, repeat=0, crash_in_sync=0)
        self.paused_addresses: set[str] = set()
        self.held_steps: list[tuple[str, list[object]]] = []
        self._step = self.simulation.step
        self.simulation.step = self._hold_or_step  # type: ignore[method-assign, assignment]
        self.simulation.run(self.simulation.now_s + SETTLE_S)

    def _hold_or_step(self, address: str, events: list[object]) -> None:
        if address in self.paused_addresses:
            self.held_steps.append((address, events))
        else:
            self._step(address, events)  # type: ignore[arg-type]

    def leader(self) -> str:
        [address] = [
            node.address
            for node in self.simulation.nodes.values()
            if node.engine is not None and node.engine.core.role is Role.LEADER
        ]
        return address

    def terms(self) -> set[int]:
        return {node.engine.core.term for node in self.simulation.nodes.values() if node.engine}

    def pause(self, addresses: set[str], for_s: float) -> None:
        """Pause replicas; when they resume, timers are handled before messages of the others."""
        self.paused_addresses = set(addresses)
        self.simulation.run(self.simulation.now_s + for_s)
        self.paused_addresses = set()
        held_steps, self.held_steps = self.held_steps, []
        for address, events in sorted(
            held_steps, key=lambda item: type(item[1][0]).__name__ != "Tick"
        ):
            self.simulation.step(address, events)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("for_s", [SHORTEST_S, 1.3, 10.0])
def test_a_machine_that_was_paused_keeps_its_leader(seed: int, for_s: float) -> None:
    group = PausableGroup(seed)
    leader, terms = group.leader(), group.terms()
    group.pause(set(group.simulation.addresses), for_s)
    group.simulation.run(group.simulation.now_s + SETTLE_S)
    assert (group.leader(), group.terms()) == (leader, terms)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("for_s", [SHORTEST_S, 1.3, 10.0])
def test_a_follower_that_was_paused_does_not_campaign(seed: int, for_s: float) -> None:
    group = PausableGroup(seed)
    leader, terms = group.leader(), group.terms()
    follower = next(address for address in group.simulation.addresses if address != leader)
    group.pause({follower}, for_s)
    group.simulation.run(group.simulation.now_s + SETTLE_S)
    assert (group.leader(), group.terms()) == (leader, terms)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("step_s", [0.06, 0.12, 0.2])
@pytest.mark.parametrize("for_s", [SHORTEST_S, 1.3, 10.0])
def test_a_pause_counts_also_where_steps_are_slightly_slow(
    seed: int, step_s: float, for_s: float
) -> None:
    """Guards against pauses that are not counted on a replica whose steps are slow.

    Three steps of 0.1 s on a busy machine and a pause of 0.46 s made the leader step down. Its
    timeouts were extended by 0.07 s because of the slow steps, and pauses were no longer excluded
    in that case. It occurred when the processes of a group were stopped together for 0.2 to 0.45 s:
    a leader whose last round was acknowledged stepped down before it had sent the next one.
    """
    group = PausableGroup(seed)
    leader, terms = group.leader(), group.terms()
    for node in group.simulation.nodes.values():
        assert node.engine is not None
        for _ in range(MIN_SLOW_STEPS):
            node.engine.core.slow_steps.record(group.simulation.now_s, step_s)
    group.pause(set(group.simulation.addresses), for_s)
    group.simulation.run(group.simulation.now_s + SETTLE_S)
    assert (group.leader(), group.terms()) == (leader, terms)


@pytest.mark.parametrize("seed", range(20))
def test_a_leader_that_was_paused_alone_is_replaced_and_learns_so(seed: int) -> None:
    group = PausableGroup(seed)
    leader, [term] = group.leader(), group.terms()
    group.pause({leader}, 10.0)
    group.simulation.run(group.simulation.now_s + 0.1)
    assert group.leader() != leader
    assert min(group.terms()) > term


@pytest.mark.parametrize("seed", range(20))
def test_a_leader_that_is_partitioned_after_a_pause_steps_down_within_its_lease(seed: int) -> None:
    group = PausableGroup(seed)
    leader = group.leader()
    engine = group.simulation.nodes[leader].engine
    assert engine is not None
    group.simulation.partitioned = {leader}
    group.pause({leader}, 10.0)
    group.simulation.run(group.simulation.now_s + engine.core.lease_s + 0.1)
    assert engine.core.role is not Role.LEADER


@pytest.mark.parametrize("seed", range(20))
def test_a_dead_leader_is_replaced_although_the_others_were_paused(seed: int) -> None:
    group = PausableGroup(seed)
    leader = group.leader()
    group.simulation.crash(leader)
    others = set(group.simulation.addresses) - {leader}
    for _ in range(3):
        group.pause(others, 0.3)
        group.simulation.run(group.simulation.now_s + 0.2)
    group.simulation.run(group.simulation.now_s + SETTLE_S)
    assert group.leader() in others


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
def test_running_time_is_never_negative(steps: list[tuple[float, float]]) -> None:
    standstills, now_s = Standstills(), 0.0
    for ran_s, stood_s in steps:
        now_s += ran_s + stood_s
        standstills.note(now_s, stood_s)
    assert -1e-6 <= standstills.ran_s(0.0, now_s) <= now_s + 1e-6
