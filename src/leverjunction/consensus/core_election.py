"""Elections: pre-vote, votes counted by replica id, and the leader's own stepping down."""

from __future__ import annotations

import math
from random import Random

from leverjunction.consensus.core_follower import FollowerCore
from leverjunction.consensus.events import BecameLeader, MajorityLost, PeerDown
from leverjunction.consensus.messages import (
    Header,
    IdentityQuery,
    IdentityReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from leverjunction.consensus.types import DurableState, GroupConfig, Role

PRE_VOTE_RETRY_SHARE = 0.25
"""A failed pre-vote is repeated after about this share of the election timeout: it is harmless."""


class ElectionCore(FollowerCore):
    """Elections as candidate and as voter."""

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        super().__init__(config, durable, random, now_s)
        self.pre_vote = False
        self.votes: set[str] = set()
        self.refusals: set[str] = set()
        self.ask_again_s = math.inf
        """When voters that have not answered are asked again."""

    def _may_campaign(self) -> bool:
        return not self.blank and self.is_voter() and self.role is not Role.LEADER

    def next_election_step_s(self) -> float:
        """Return when this replica, which does not lead, has something to do on its own."""
        if self.role is Role.FOLLOWER and self.leader_address:
            return min(self.leader_check_s, self.election_deadline_s)
        if self.role is Role.CANDIDATE:
            return min(self.ask_again_s, self.election_deadline_s)
        return self.election_deadline_s

    def _tick_election(self) -> None:
        if self._now_s < self.election_deadline_s:
            if self.role is Role.CANDIDATE:
                self._ask_again()
            else:
                self._check_leader()
            return
        if self._may_campaign():
            self._campaign(pre_vote=True)
        else:
            self._reset_election_deadline()

    def _check_leader(self) -> None:
        """Ask a leader that missed its heartbeat; a refused connection is told by ``PeerDown``."""
        if self._now_s < self.next_election_step_s():
            return
        self.leader_check_s = self._now_s + self.config.heartbeat_interval_s
        self._send(self.leader_address, IdentityQuery(header=self.header(self.leader_id), nonce=0))

    def _peer_gone(self, event: PeerDown) -> None:
        """Elect another leader at once if it was the leader's process that ended."""
        if self.role is not Role.FOLLOWER or event.term != self.term:
            return
        if event.address != self.leader_address:
            return
        self._leader_ended()
        self._campaign_soon()

    def _identity_heard_by_other(self, message: IdentityReply) -> None:
        """Take an answer of another replica at the leader's address for the end of the leader.

        A machine that lost its disk and is started again at once refuses no connection.
        """
        super()._identity_heard_by_other(message)
        header = message.header
        if not self.blank and header.founding_id in ("", self.founding_id):
            self._note_live_replica(header)
        if self.role is not Role.FOLLOWER or header.from_address != self.leader_address:
            return
        if header.founding_id in ("", self.founding_id) and header.from_id != self.leader_id:
            self._leader_ended()
            self._campaign_soon()

    def _note_live_replica(self, header: Header) -> None:
        """Note who lives at a voter's address, and say so when most voters are lost."""
        self.lost_voters.answered(header.from_address, header.from_id)
        if self.leader_address or not self.lost_voters.newly_a_majority(self.configuration):
            return
        lost = self.lost_voters.lost(self.configuration)
        self._emit(MajorityLost(tuple(member.address for member in lost)))

    def _on_identity_query(self, message: IdentityQuery) -> None:
        """Campaign when a follower of this term takes this replica for the leader it is no more.

        The term's leader voted for itself, so after a restart it knows whom the question means;
        its followers would wait for its lease in vain.
        """
        super()._on_identity_query(message)
        header = message.header
        led_here = header.term == self.term and self.hard_state.voted_for == self.replica_id
        asked_as_leader = self._same_founding(header) and self._is_addressed(header)
        if led_here and asked_as_leader and self.role is Role.FOLLOWER and not self.leader_address:
            self.leader_contact_s = -math.inf
            self._campaign_soon()

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        """Ask all voters for a (pre-)vote."""
        self.role = Role.CANDIDATE
        self.pre_vote = pre_vote
        self.leader_id = ""
        self.leader_address = ""
        self.votes = {self.replica_id}
        self.refusals = set()
        self._reset_election_deadline()
        if pre_vote:
            share = self._random.uniform(PRE_VOTE_RETRY_SHARE, 2 * PRE_VOTE_RETRY_SHARE)
            self.election_deadline_s = self._now_s + share * self.timeout_min_s
        else:
            self._persist_term(self.term + 1, self.replica_id)
        self._ask_votes(transfer)
        self._count_votes()

    def _ask_again(self) -> None:
        """Ask those voters again whose answer may be lost: they wait for this candidate now."""
        if self._now_s >= self.ask_again_s:
            self._ask_votes(transfer=False)

    def _ask_votes(self, transfer: bool) -> None:
        self.ask_again_s = self._now_s + self.config.heartbeat_interval_s
        campaign_term = self.term + 1 if self.pre_vote else self.term
        answered = self.votes | self.refusals
        for member in self.configuration.members:
            if not member.voter or member.replica_id in answered:
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
        if message.header.from_id == self.leader_id and message.header.term > self.term:
            # It led this term and campaigns for a later one, so it leads no more.
            self._leader_ended()
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
        silence_s = self.standstills.ran_s(self.leader_contact_s, self._now_s)
        return silence_s < self.timeout_min_s

    def _on_vote_reply(self, message: VoteReply) -> None:
        self.lost_voters.answered(message.header.from_address, message.header.from_id)
        if self.role is not Role.CANDIDATE or message.pre is not self.pre_vote:
            return
        campaign_term = self.term + 1 if self.pre_vote else self.term
        if message.campaign_term != campaign_term:
            return
        if message.granted:
            self.votes.add(message.header.from_id)
            self._count_votes()
        else:
            self.refusals.add(message.header.from_id)

    def _on_timeout_now(self, message: TimeoutNow) -> None:
        if self._accept_leader(message.header) and self._may_campaign():
            self._campaign(pre_vote=False, transfer=True)
