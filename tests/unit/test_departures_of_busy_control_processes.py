"""Until when leaving back ends are used, beside a control process that handles messages late.

What it tells of its state must not be newer than it is: requests may reach a leaving back end only
for ``DrainMs`` after its leave was acknowledged (RULES.md, DRAIN).
"""

from __future__ import annotations

import time
from pathlib import Path
from random import Random

from tests.unit.seeded_support import SeededFleet, wait_until

from leverjunction.clock import SystemClock, steady_s
from leverjunction.proxy.departures import REACH_MARGIN_S
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.registry.verified_state import VerifiedState
from leverjunction.wire.rpc_client import RpcClient

LATE_S = 0.6
BACK_ENDS = 10


def _handle_late(node: RegistryNode) -> None:
    """Have messages of other control processes wait, as in a process that is busy."""
    inbox = node._replica._inbox
    put_call = inbox.put_call

    def put_late(*call: object) -> None:
        time.sleep(LATE_S)
        put_call(*call)  # type: ignore[arg-type]

    inbox.put_call = put_late  # type: ignore[method-assign, assignment]


def _beat(leader: RegistryNode, number: int, state: RunnerState) -> None:
    record = RunnerRecord(
        runner_id=f"i-{number}",
        service="s",
        address=f"127.0.0.1:{number + 1}",
        zone="z",
        slots=4,
        state=state,
        sequence=2 if state is RunnerState.LEAVING else 1,
        born_ms=1,
    )
    assert leader.handle_heartbeat(record) is None


def test_a_back_end_is_not_taken_for_ready_after_its_leave_was_acknowledged(
    tmp_path: Path,
) -> None:
    fleet = SeededFleet(tmp_path)
    nodes = [fleet.start_control(number) for number in (1, 2, 3)]
    wait_until(lambda: fleet.leader() is not None)
    leader = fleet.leader()
    assert leader is not None
    late = next(number for number, node in enumerate(nodes, 1) if node is not leader)
    _handle_late(nodes[late - 1])
    known_until_s: dict[str, float] = {}

    def changed(_snapshot: object) -> None:
        snapshot = follower.snapshot()
        assert snapshot is not None
        for record in snapshot.view.runners:
            if record.state is RunnerState.LEAVING:
                known_until_s.setdefault(record.runner_id, steady_s() - follower.verified_age_s())

    rpc = RpcClient(CLUSTER_KEY, 1)
    address = fleet.control_addresses()[late - 1]
    follower = RegistryFollower(rpc, (address,), "", SystemClock(), Random(1), changed)
    follower._update_hubs = lambda _controls: None  # type: ignore[method-assign]
    follower.start()
    acknowledged_s: dict[str, float] = {}
    random = Random(1)
    for number in range(BACK_ENDS):
        _beat(leader, number, RunnerState.READY)
        time.sleep(random.uniform(0.7, 1.4))
        _beat(leader, number, RunnerState.LEAVING)
        acknowledged_s[f"i-{number}"] = steady_s()
    wait_until(lambda: len(known_until_s) == BACK_ENDS)
    follower.stop()
    fleet.stop()
    late_s = [known_until_s[name] - at_s for name, at_s in acknowledged_s.items()]
    too_late = [f"{item:.2f}" for item in late_s if item > REACH_MARGIN_S]
    assert not too_late, "known as ready for longer than the margin after the acknowledgement"


def test_a_state_older_than_the_leaders_is_not_verified() -> None:
    state = VerifiedState()
    state.replied(7, 1.0)
    assert state.until_s(6) == float("-inf")
    state.replied(9, 2.0)
    assert state.until_s(8) == 1.0
    # A leader of an earlier release does not tell its revision.
    state.replied(-1, 3.0)
    assert state.until_s(9) == 2.0
