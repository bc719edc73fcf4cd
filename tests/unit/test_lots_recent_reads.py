"""Bounded-staleness reads, which a store answers without asking the leader."""

from __future__ import annotations

import pytest

from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import ItemBody
from leverjunction.lots.recent_reads import MAX_STALENESS_S, answer_recent
from leverjunction.wire.codec import decode_reply, encode_reply

PRESENT = ItemBody(b"\x00present")
MISSING = Failure(
    kind=FailureKind.NOT_FOUND,
    reason="there is no lot x",
    step=Step.QUERYING,
    execution=Execution.NOT_RUN,
)


class Replica:
    """Test double for a replica with a given role, age of its state and reply to every query."""

    def __init__(self, role: str, age_s: float, answer: bytes) -> None:
        self._status = GroupStatus(
            group="jobs-0",
            replica_id="r",
            role=role,
            term=1,
            leader_address="leader:1",
            commit_index=1,
            applied_index=1,
            voters=[],
            learners=[],
            leader_contact_age_s=age_s,
        )
        self._answer = answer

    def status(self) -> GroupStatus:
        return self._status

    def query_local(self, _query: bytes) -> bytes:
        return self._answer


def ask(role: str, age_s: float, answer: bytes) -> ItemBody | Failure:
    replica = Replica(role, age_s, answer)
    return decode_reply(answer_recent(replica, b"q"), ItemBody)  # type: ignore[arg-type]


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_recent_state_answers(role: str) -> None:
    assert ask(role, MAX_STALENESS_S / 2, encode_reply(PRESENT)) == PRESENT


@pytest.mark.parametrize(
    ("role", "age_s", "answer"),
    [
        ("follower", MAX_STALENESS_S * 1.1, encode_reply(PRESENT)),
        ("leader", MAX_STALENESS_S * 1.1, encode_reply(PRESENT)),
        ("candidate", 0.0, encode_reply(PRESENT)),
        ("learner", 0.0, encode_reply(PRESENT)),
        ("blank", 0.0, encode_reply(PRESENT)),
        ("follower", 0.0, encode_reply(MISSING)),
    ],
    ids=["stale", "without quorum", "election", "learner", "blank", "missing"],
)
def test_other_reads_are_redirected_to_the_leader(role: str, age_s: float, answer: bytes) -> None:
    """An entry missing from this state may be newer: only the leader may report it as missing."""
    reply = ask(role, age_s, answer)
    assert isinstance(reply, Failure)
    assert (reply.kind, reply.detail) == (FailureKind.NOT_LEADER, "leader:1")
