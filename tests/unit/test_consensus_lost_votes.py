"""A candidate asks voters again whose answer was lost: they granted it, and wait for it to lead."""

from __future__ import annotations

from random import Random

import pytest

from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.events import BecameLeader, Effect, Received, Send, Tick
from leverjunction.consensus.messages import Header, VoteReply, VoteRequest
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    GroupConfig,
    HardState,
    Member,
    Role,
)

IDS = ("a", "b", "c", "d", "e")
START_S = 100.0
HEARTBEAT_S = 0.15
TERM = 4


def candidate() -> tuple[RaftCore, float]:
    """Return a core that has just won its pre-vote, and the time."""
    members = tuple(Member(replica_id=one, address=one) for one in IDS)
    durable = DurableState(
        replica_id="a",
        founding_id="f",
        hard_state=HardState(term=TERM, voted_for="c"),
        base_configuration=Configuration(members, IDS),
    )
    config = GroupConfig(
        group="root",
        address="a",
        first_members=IDS,
        heartbeat_interval_s=HEARTBEAT_S,
        election_timeout_min_s=0.6,
        election_timeout_max_s=1.2,
    )
    core = RaftCore(config, durable, Random(1), START_S)
    now_s = core.next_deadline_s()
    core.handle(Tick(), now_s)
    for voter in ("b", "c"):
        core.handle(Received(answer(voter, pre=True)), now_s)
    assert core.role is Role.CANDIDATE
    assert core.term == TERM + 1
    return core, now_s


def answer(voter: str, *, pre: bool = False, granted: bool = True) -> VoteReply:
    header = Header(founding_id="f", from_id=voter, from_address=voter, to_id="a", term=TERM)
    return VoteReply(header=header, campaign_term=TERM + 1, granted=granted, pre=pre)


def asked(effects: list[Effect]) -> list[str]:
    return [
        effect.address
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, VoteRequest)
    ]


def test_voters_that_have_not_answered_are_asked_again_after_a_heartbeat() -> None:
    """The group had no leader for another election timeout, 3.4 s in all."""
    core, now_s = candidate()
    core.handle(Received(answer("b")), now_s)
    core.handle(Received(answer("c", granted=False)), now_s)
    assert core.next_deadline_s() == pytest.approx(now_s + HEARTBEAT_S)
    assert asked(core.handle(Tick(), now_s + HEARTBEAT_S - 0.01)) == []
    assert asked(core.handle(Tick(), now_s + HEARTBEAT_S)) == ["d", "e"]
    assert asked(core.handle(Tick(), now_s + HEARTBEAT_S + 0.01)) == []
    assert core.term == TERM + 1
    effects = core.handle(Received(answer("d")), now_s + HEARTBEAT_S + 0.02)
    assert any(isinstance(effect, BecameLeader) for effect in effects)


def test_a_voter_that_is_asked_again_gives_the_same_vote() -> None:
    core, now_s = candidate()
    rival = Header(founding_id="f", from_id="b", from_address="b", to_id="a", term=TERM + 2)
    for _ in range(2):
        effects = core.handle(
            Received(VoteRequest(header=rival, last=core.log.last, pre=False)), now_s
        )
        replies = [one.message for one in effects if isinstance(one, Send)]
        assert [reply.granted for reply in replies if isinstance(reply, VoteReply)] == [True]


def test_a_candidate_whom_nobody_answers_begins_anew_after_its_timeout() -> None:
    core, now_s = candidate()
    until_s = core.election_deadline_s
    while core.next_deadline_s() < until_s:
        now_s = core.next_deadline_s()
        assert asked(core.handle(Tick(), now_s)) == ["b", "c", "d", "e"]
    core.handle(Tick(), until_s)
    assert core.pre_vote
    assert core.term == TERM + 1
