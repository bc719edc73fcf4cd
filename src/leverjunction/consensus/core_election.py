"""Elections: pre-vote, votes counted by replica id, and the leader's own stepping down."""

from __future__ import annotations

import math
from random import Random

from leverjunction.consensus.core_follower import FollowerCore
from leverjunction.consensus.events import BecameLeader, PeerGone
from leverjunction.consensus.messages import (
    IdentityQuery,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from leverjunction.consensus.types import DurableState, GroupConfig, Role

PRE_VOTE_RETRY_SHARE = 0.25
"""A failed pre-vote is repeated after about this share of the election timeout: it is harmless."""


GONE_SPREAD_SHARE = 0.25
"""Followers that learn together that their leader is gone campaign within this share of the
shortest election timeout.
"""


class ElectionCore(FollowerCore):
    """Elections as candidate and as voter."""

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        super().__init__(config, durable, random, now_s)
        self.pre_vote = False
        self.votes: set[str] = set()

    def _may_campaign(self) -> bool:
        return not self.blank and self.is_voter() and self.role is not Role.LEADER

    def next_election_step_s(self) -> float:
        """Return when this replica, which does not lead, has something to do on its own."""
        if self.role is Role.FOLLOWER and self.leader_address:
            return min(self.leader_check_s, self.election_deadline_s)
        return self.election_deadline_s

    def _tick_election(self) -> None:
        if self._now_s < self.election_deadline_s:
            self._check_leader()
            return
        if self._may_campaign():
            self._campaign(pre_vote=True)
        else:
            self._reset_election_deadline()

    def _check_leader(self) -> None:
        """Ask a leader that missed its heartbeat; a refused connection is told by ``PeerGone``."""
        if self._now_s < self.next_election_step_s():
            return
        self.leader_check_s = self._now_s + self.config.heartbeat_interval_s
        self._send(self.leader_address, IdentityQuery(header=self.header(self.leader_id), nonce=0))

    def _peer_gone(self, event: PeerGone) -> None:
        """Elect another leader at once if it was the leader's process that ended.

        Its lease ended with it, so nobody has to wait for that. A process that has been started
        again meanwhile can lead only in a later term.
        """
        if self.role is not Role.FOLLOWER or event.term != self.term:
            return
        if event.address != self.leader_address:
            return
        self.leader_id = ""
        self.leader_address = ""
        self.leader_contact_s = -math.inf
        spread_s = GONE_SPREAD_SHARE * self.config.election_timeout_min_s
        self.election_deadline_s = self._now_s + self._random.uniform(0.0, spread_s)

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        """Ask all voters for a (pre-)vote."""
        self.role = Role.CANDIDATE
        self.pre_vote = pre_vote
        self.leader_id = ""
        self.leader_address = ""
        self.votes = {self.replica_id}
        self._reset_election_deadline()
        if pre_vote:
            share = self._random.uniform(PRE_VOTE_RETRY_SHARE, 2 * PRE_VOTE_RETRY_SHARE)
            self.election_deadline_s = self._now_s + share * self.timeout_min_s
        else:
            self._persist_term(self.term + 1, self.replica_id)
        self._ask_votes(transfer)
        self._count_votes()

    def _ask_votes(self, transfer: bool) -> None:
        campaign_term = self.term + 1 if self.pre_vote else self.term
        for member in self.configuration.members:
            if not member.voter or member.replica_id == self.replica_id:
                continue
            request = VoteRequest(
                header=self.header(member.replica_id, campaign_term),
                last=self.log.last,
                pre=self.pre_vote,
                transfer=transfer,
            )
            self._send(member.address, request)

    def _count_votes(self) -> None:
        """Go on to the real election, or lead, once a quorum of voters granted it."""
        granted = len(self.votes & self.configuration.voter_ids())
        if granted < self.configuration.quorum():
            return
        if self.pre_vote:
            self._campaign(pre_vote=False)
            return
        self.role = Role.LEADER
        self.election_deadline_s = math.inf
        self._emit(BecameLeader(term=self.term))
        self._lead()

    def _may_vote(self) -> bool:
        """Return whether this replica may vote at all: a blank one never does."""
        return not self.blank

    def _on_vote_request(self, message: VoteRequest) -> None:
        header = message.header
        if not self._may_vote() or not self._is_addressed(header):
            self._send_identity(header.from_address, header.from_id)
            return
        if not self._same_founding(header):
            return
        granted = self._grants(message)
        reply = VoteReply(
            header=self.header(header.from_id),
            campaign_term=header.term,
            granted=granted,
            pre=message.pre,
        )
        self._send(header.from_address, reply)

    def _grants(self, message: VoteRequest) -> bool:
        """Decide on a vote; a real one is persisted before the reply leaves."""
        if self._has_leader() and not message.transfer:
            return False
        candidate, campaign_term = message.header.from_id, message.header.term
        if message.pre:
            return campaign_term > self.term and message.last >= self.log.last
        if campaign_term > self.term:
            self._follow(campaign_term, "a candidate has a higher term")
        if campaign_term < self.term or message.last < self.log.last:
            return False
        if self.hard_state.voted_for not in ("", candidate):
            return False
        if self.hard_state.voted_for == "":
            self._persist_term(self.term, candidate)
        self._reset_election_deadline()
        return True

    def _has_leader(self) -> bool:
        """Return whether a leader's lease may still be running (leader stickiness)."""
        if self.role is Role.LEADER:
            return True
        silence_s = self._now_s - self.leader_contact_s
        return silence_s < self.timeout_min_s

    def _on_vote_reply(self, message: VoteReply) -> None:
        if self.role is not Role.CANDIDATE or message.pre is not self.pre_vote:
            return
        campaign_term = self.term + 1 if self.pre_vote else self.term
        if message.granted and message.campaign_term == campaign_term:
            self.votes.add(message.header.from_id)
            self._count_votes()

    def _on_timeout_now(self, message: TimeoutNow) -> None:
        if self._accept_leader(message.header) and self._may_campaign():
            self._campaign(pre_vote=False, transfer=True)
