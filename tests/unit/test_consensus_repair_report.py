"""When a repair is reported as done, and what a group says that has lost most of its disks.

Symptom: simulator, hanbit 148: the settings' group had no leader for good. Sequence: the disk of
one of three machines is lost and repaired, and lost again; another machine crashes in a sync before
it has applied the first repair durably, starts, learns once more that this is committed, and
reports it. Its report is word for word that of the loss that is not repaired yet. Who goes by it,
as the operators' page asks, touches the next machine, and two of three disks are gone. The one
voter that was left asked for votes for 40 s and said nothing of why it got none.
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
    """Return a core that holds a repair of C by ``c2`` and does not know that it is committed."""
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
    """Have the leader ``b`` tell that the repair is committed."""
    message = AppendRequest(
        header=header("b", "B"),
        previous=LogPosition(term=2, index=1),
        commit_index=1,
        sequence=1,
    )
    return core.handle(Received(message), now_s)


def answer(core: RaftCore, from_id: str, now_s: float, term: int = TERM) -> list[Effect]:
    """Have whoever lives at C tell its id; a blank one belongs to no founding."""
    founding_id = "f" if from_id == "c2" else ""
    reply = IdentityReply(header=header(from_id, "C", term, founding_id), nonce=0)
    return core.handle(Received(reply), now_s)


def reports(effects: list[Effect]) -> list[RepairDone]:
    return [effect for effect in effects if isinstance(effect, RepairDone)]


def asked(effects: list[Effect]) -> list[str]:
    return [
        effect.address
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, IdentityQuery)
    ]


def test_a_repair_is_reported_once_the_new_replica_has_answered() -> None:
    core = follower()
    effects = heartbeat(core, START_S + 0.1)
    assert reports(effects) == []
    assert asked(effects) == ["C"]
    assert reports(answer(core, "c2", START_S + 0.11)) == [RepairDone("c1", "c2", "C")]
    assert reports(answer(core, "c2", START_S + 0.12)) == []
    assert asked(heartbeat(core, START_S + 0.2)) == []


def test_a_repair_whose_replica_is_lost_again_is_not_reported() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    assert reports(answer(core, "c3", START_S + 0.11)) == []
    assert reports(answer(core, "c2", START_S + 0.12)) == []
    assert asked(heartbeat(core, START_S + 0.2)) == []


def test_a_replica_that_did_not_answer_is_asked_with_each_heartbeat() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    assert asked(heartbeat(core, START_S + 0.2)) == ["C"]


def test_an_answer_of_an_earlier_term_is_older_than_the_question() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    assert reports(answer(core, "c2", START_S + 0.11, TERM - 1)) == []
    assert reports(answer(core, "c2", START_S + 0.12)) == [RepairDone("c1", "c2", "C")]


def test_a_voter_that_finds_most_disks_lost_says_so_once() -> None:
    core = follower()
    heartbeat(core, START_S + 0.1)
    core.handle(Tick(), START_S + 2.0)
    assert core.role == "candidate"
    assert not core.majority_lost()
    core.handle(Received(IdentityReply(header=header("b9", "B", 0, ""), nonce=0)), START_S + 2.01)
    assert not core.majority_lost()
    effects = answer(core, "c9", START_S + 2.02, 0)
    assert MajorityLost(("B", "C")) in effects
    assert core.majority_lost()
    again = answer(core, "c9", START_S + 2.03, 0)
    assert not any(isinstance(effect, MajorityLost) for effect in again)


def test_a_voter_that_answers_after_all_is_not_lost() -> None:
    """An answer of a process that is gone may come late; the living one is heard again."""
    core = follower()
    core.handle(Received(IdentityReply(header=header("b9", "B", 0, ""), nonce=0)), START_S + 2.01)
    answer(core, "c9", START_S + 2.02, 0)
    heartbeat(core, START_S + 2.1)
    assert not core.majority_lost()


def test_replicas_that_lost_most_disks_say_so_and_how_to_go_on(tmp_path: Path) -> None:
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
