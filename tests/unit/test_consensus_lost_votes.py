"""A candidate repeats vote requests whose replies were lost.

The voters granted their votes and wait for the candidate, so they do not campaign themselves.
"""

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
    """Return a core that has just won its pre-vote, and the current time."""
    members = tuple(Member(replica_id=item, address=item) for item in IDS)
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
        core.handle(Received(vote(voter, pre=True)), now_s)
    assert core.role is Role.CANDIDATE
    assert core.term == TERM + 1
    return core, now_s


def vote(voter: str, *, pre: bool = False, granted: bool = True) -> VoteReply:
    header = Header(founding_id="f", from_id=voter, from_address=voter, to_id="a", term=TERM)
    return VoteReply(header=header, campaign_term=TERM + 1, granted=granted, pre=pre)


def asked(effects: list[Effect]) -> list[str]:
    return [
        effect.address
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, VoteRequest)
    ]


def test_voters_that_have_not_replied_are_asked_again_after_a_heartbeat() -> None:
    """Without the retry, a group had no leader for another election timeout, 3.4 s in total."""
    core, now_s = candidate()
    core.handle(Received(vote("b")), now_s)
    core.handle(Received(vote("c", granted=False)), now_s)
    assert core.next_deadline_s() == pytest.approx(now_s + HEARTBEAT_S)
    assert asked(core.handle(Tick(), now_s + HEARTBEAT_S - 0.01)) == []
    assert asked(core.handle(Tick(), now_s + HEARTBEAT_S)) == ["d", "e"]
    assert asked(core.handle(Tick(), now_s + HEARTBEAT_S + 0.01)) == []
    assert core.term == TERM + 1
    effects = core.handle(Received(vote("d")), now_s + HEARTBEAT_S + 0.02)
    assert any(isinstance(effect, BecameLeader) for effect in effects)


def test_a_voter_that_is_asked_again_gives_the_same_vote() -> None:
    core, now_s = candidate()
    rival = Header(founding_id="f", from_id="b", from_address="b", to_id="a", term=TERM + 2)
    for _ in range(2):
        effects = core.handle(
            Received(VoteRequest(header=rival, last=core.log.last, pre=False)), now_s
        )
        replies = [effect.message for effect in effects if isinstance(effect, Send)]
        assert [reply.granted for reply in replies if isinstance(reply, VoteReply)] == [True]


def test_a_candidate_without_replies_starts_over_after_its_timeout() -> None:
    core, now_s = candidate()
    until_s = core.election_deadline_s
    while core.next_deadline_s() < until_s:
        now_s = core.next_deadline_s()
        assert asked(core.handle(Tick(), now_s)) == ["b", "c", "d", "e"]
    core.handle(Tick(), until_s)
    assert core.pre_vote
    assert core.term == TERM + 1
