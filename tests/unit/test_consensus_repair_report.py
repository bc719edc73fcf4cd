"""When a repair is reported as done, and what a group reports when most of its disks are lost.

Guards against a repeated repair report. In the simulator (scenario hanbit, seed 148), the group of
the settings lost its leader permanently. The disk of one of three machines was lost, repaired and
lost again. Another machine crashed in a sync before it had durably applied the first repair,
restarted, learned again that the repair was committed, and reported it. The report read the same
as one for the second loss, which was not repaired yet. An operator who relies on such a report, as
the operators' manual says, takes down the next machine, and two of three disks are gone. The
remaining voter requested votes for 40 s without reporting why it received none.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

from loguru import logger
from tests.unit.consensus_support import Cluster, wait_for

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.events import (
    Effect,
    MajorityLost,
    Received,
    RepairDone,
    Send,
    Tick,
)
from leverjunction.consensus.messages import (
    AppendRequest,
    Header,
    IdentityQuery,
    IdentityReply,
)
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    GroupConfig,
    HardState,
    LogPosition,
    Member,
)

ADDRESSES = ("A", "B", "C")
TERM = 3
START_S = 100.0
BEFORE = Configuration(
    (Member("a", "A"), Member("b", "B"), Member("c1", "C"), Member("c2", "C")), ADDRESSES
)
AFTER = Configuration((Member("a", "A"), Member("b", "B"), Member("c2", "C")), ADDRESSES)


def follower() -> RaftCore:
    """Return a core whose log holds the repair of C by ``c2``, not known to be committed."""
    durable = DurableState(
        replica_id="a",
        founding_id="f",
        hard_state=HardState(term=TERM, voted_for=""),
        base_configuration=BEFORE,
        term_starts=(LogPosition(term=2, index=1),),
        last_index=1,
        entry_bytes=(100,),
        configurations=((1, AFTER),),
    )
    config = GroupConfig(
        group="root",
        address="A",
        first_members=ADDRESSES,
        heartbeat_interval_s=0.1,
        election_timeout_min_s=0.4,
        election_timeout_max_s=0.8,
    )
    return RaftCore(config, durable, Random(1), START_S)


def header(from_id: str, address: str, term: int = TERM, founding_id: str = "f") -> Header:
    return Header(
        founding_id=founding_id, from_id=from_id, from_address=address, to_id="a", term=term
    )


def heartbeat(core: RaftCore, now_s: float) -> list[Effect]:
    """Handle a heartbeat of the leader ``b`` that commits the repair; return the effects."""
    message = AppendRequest(
        header=header("b", "B"),
        previous=LogPosition(term=2, index=1),
        commit_index=1,
        sequence=1,
    )
    return core.handle(Received(message), now_s)


def identify(core: RaftCore, from_id: str, now_s: float, term: int = TERM) -> list[Effect]:
    """Handle an identity reply of the replica at C; only ``c2`` belongs to the founding."""
    founding_id = "f" if from_id == "c2" else ""
    reply = IdentityReply(header=header(from_id, "C", term, founding_id), nonce=0)
    return core.handle(Received(reply), now_s)


def reports(effects: list[Effect]) -> list[RepairDone]:
    return [effect for effect in effects if isinstance(effect, RepairDone)]


def queried(effects: list[Effect]) -> list[str]:
    return [
        effect.address
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, IdentityQuery)
    ]


def test_a_repair_is_reported_once_the_new_replica_has_replied() -> None:
    core = follower()
    effects = heartbeat(core, START_S + 0.1)
    assert reports(effects) == []
    assert queried(effects) == ["C"]
    assert reports(identify(core, "c2", START_S + 0.11)) == [RepairDone("c1", "c2", "C")]
    assert reports(identify(core, "c2", START_S + 0.12)) == []
    assert queried(heartbeat(core, START_S + 0.2)) == []


def test_a_repair_whose_replica_is_lost_again_is_not_reported() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    assert reports(identify(core, "c3", START_S + 0.11)) == []
    assert reports(identify(core, "c2", START_S + 0.12)) == []
    assert queried(heartbeat(core, START_S + 0.2)) == []


def test_a_replica_that_did_not_reply_is_queried_with_each_heartbeat() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    assert queried(heartbeat(core, START_S + 0.2)) == ["C"]


def test_a_reply_of_an_earlier_term_is_ignored() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    assert reports(identify(core, "c2", START_S + 0.11, TERM - 1)) == []
    assert reports(identify(core, "c2", START_S + 0.12)) == [RepairDone("c1", "c2", "C")]


def test_a_voter_that_finds_most_disks_lost_reports_it_once() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    core.handle(Tick(), START_S + 2.0)
    assert core.role == "candidate"
    assert not core.majority_lost()
    core.handle(Received(IdentityReply(header=header("b9", "B", 0, ""), nonce=0)), START_S + 2.01)
    assert not core.majority_lost()
    effects = identify(core, "c9", START_S + 2.02, 0)
    assert MajorityLost(("B", "C")) in effects
    assert core.majority_lost()
    again = identify(core, "c9", START_S + 2.03, 0)
    assert not any(isinstance(effect, MajorityLost) for effect in again)


def test_a_voter_that_replies_again_is_not_lost() -> None:
    """A delayed reply of an ended process is corrected by the next message of the live voter."""
    core = follower()
    core.handle(Received(IdentityReply(header=header("b9", "B", 0, ""), nonce=0)), START_S + 2.01)
    identify(core, "c9", START_S + 2.02, 0)
    heartbeat(core, START_S + 2.1)
    assert not core.majority_lost()


def test_a_lost_majority_is_logged_with_the_recovery_page(tmp_path: Path) -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, level="ERROR", format="{message}")
    cluster = Cluster(tmp_path, 3)
    try:
        cluster.start_all()
        cluster.propose(b"one")
        kept, *lost = cluster.addresses
        for address in lost:
            cluster.stop(address)
            cluster.wipe(address)
        for address in lost:
            assert cluster.start(address) is None
        wait_for(lambda: cluster.replicas[kept].status().majority_lost)
        (line,) = [item for item in lines if "majority" in item]
        assert all(address in line for address in lost)
        assert "durable-state" in line
    finally:
        logger.remove(sink)
        cluster.stop_all()
