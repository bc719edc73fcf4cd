"""Reads that a store answers without asking the leader."""

from __future__ import annotations

import pytest

from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.lots.commands import ItemBody
from leverjunction.lots.recent_reads import MAX_STALENESS_S, answer_recent
from leverjunction.wire.codec import decode_reply, encode_reply

HERE = ItemBody(b"\x00here")
MISSING = Failure(kind=FailureKind.NOT_FOUND, reason="there is no lot x", step=Step.QUERYING)


class Replica:
    """A replica with a role, the age of its state, and an answer."""

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
def test_a_recent_state_answers(role: str) -> None:
    assert ask(role, MAX_STALENESS_S / 2, encode_reply(HERE)) == HERE


@pytest.mark.parametrize(
    ("role", "age_s", "answer"),
    [
        ("follower", MAX_STALENESS_S * 1.1, encode_reply(HERE)),
        ("leader", MAX_STALENESS_S * 1.1, encode_reply(HERE)),
        ("candidate", 0.0, encode_reply(HERE)),
        ("learner", 0.0, encode_reply(HERE)),
        ("blank", 0.0, encode_reply(HERE)),
        ("follower", 0.0, encode_reply(MISSING)),
    ],
    ids=["old", "without quorum", "election", "learner", "blank", "not there"],
)
def test_else_the_leader_is_to_be_asked(role: str, age_s: float, answer: bytes) -> None:
    """What is not here may be newer than this state: only the leader may say that it is not."""
    reply = ask(role, age_s, answer)
    assert isinstance(reply, Failure)
    assert (reply.kind, reply.detail) == (FailureKind.NOT_LEADER, "leader:1")
