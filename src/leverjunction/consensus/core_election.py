"""Leader election: pre-vote, vote requests, votes counted by replica id, and leader failure.

A follower whose leader's process has ended campaigns early, without waiting for the election
timeout.
"""

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

PRE_VOTE_RETRY_FRACTION = 0.25
"""Fraction of the election timeout after which a failed pre-vote is retried. The retry may come
early because a pre-vote changes no state.
"""


class ElectionCore(FollowerCore):
    """Elections, on the side of the candidate and of the voter."""

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        super().__init__(config, durable, random, now_s)
        self.pre_vote = False
        self.votes: set[str] = set()
        self.rejections: set[str] = set()
        self.vote_retry_due_s = math.inf
        """When vote requests are repeated to voters that have not replied."""

    def _may_campaign(self) -> bool:
        return not self.blank and self.is_voter() and self.role is not Role.LEADER

    def next_election_step_s(self) -> float:
        """Return the monotonic time of the next election timer of a non-leader, in seconds."""
        if self.role is Role.FOLLOWER and self.leader_address:
            return min(self.leader_probe_due_s, self.election_deadline_s)
        if self.role is Role.CANDIDATE:
            return min(self.vote_retry_due_s, self.election_deadline_s)
        return self.election_deadline_s

    def _tick_election(self) -> None:
        if self._now_s < self.election_deadline_s:
            if self.role is Role.CANDIDATE:
                self._retry_vote_requests()
            else:
                self._probe_leader()
            return
        if self._may_campaign():
            self._campaign(pre_vote=True)
        else:
            self._reset_election_deadline()

    def _probe_leader(self) -> None:
        """Query a leader that missed its heartbeat.

        If its process has ended, the connection is refused and the transport reports ``PeerDown``.
        """
        if self._now_s < self.next_election_step_s():
            return
        self.leader_probe_due_s = self._now_s + self.config.heartbeat_interval_s
        self._send(self.leader_address, IdentityQuery(header=self.header(self.leader_id), nonce=0))

    def _on_peer_down(self, event: PeerDown) -> None:
        """Start an early election if the process that ended was the current leader's."""
        if self.role is not Role.FOLLOWER or event.term != self.term:
            return
        if event.address != self.leader_address:
            return
        self._mark_leader_dead()
        self._schedule_early_election()

    def _on_identity_reply_as_non_leader(self, message: IdentityReply) -> None:
        """Treat a reply from another replica at the leader's address as the leader's failure.

        A machine that lost its disk and restarts at once never refuses a connection.
        """
        super()._on_identity_reply_as_non_leader(message)
        header = message.header
        if not self.blank and header.founding_id in ("", self.founding_id):
            self._record_live_replica(header)
        if self.role is not Role.FOLLOWER or header.from_address != self.leader_address:
            return
        if header.founding_id in ("", self.founding_id) and header.from_id != self.leader_id:
            self._mark_leader_dead()
            self._schedule_early_election()

    def _record_live_replica(self, header: Header) -> None:
        """Record which replica runs at a voter's address, and report the loss of a majority."""
        self.lost_voters.record_reply(header.from_address, header.from_id)
        if self.leader_address or not self.lost_voters.majority_newly_lost(self.configuration):
            return
        lost = self.lost_voters.lost_members(self.configuration)
        self._emit(MajorityLost(tuple(member.address for member in lost)))

    def _on_identity_query(self, message: IdentityQuery) -> None:
        """Campaign early if a follower still takes this restarted replica for the leader.

        The leader of the term voted for itself, so after a restart it recognizes such a query. Its
        followers would otherwise wait until its former lease has expired.
        """
        super()._on_identity_query(message)
        header = message.header
        led_here = header.term == self.term and self.hard_state.voted_for == self.replica_id
        asked_as_leader = self._same_founding(header) and self._is_addressed(header)
        if led_here and asked_as_leader and self.role is Role.FOLLOWER and not self.leader_address:
            self.leader_contact_s = -math.inf
            self._schedule_early_election()

    def _campaign(self, pre_vote: bool, transfer: bool = False) -> None:
        """Start a pre-vote or an election and request votes from all voters.

        Args:
            pre_vote: True for a pre-vote, which does not increment the term.
            transfer: True when the leader asked for the election (leadership transfer).
        """
        self.role = Role.CANDIDATE
        self.pre_vote = pre_vote
        self.leader_id = ""
        self.leader_address = ""
        self.votes = {self.replica_id}
        self.rejections = set()
        self._reset_election_deadline()
        if pre_vote:
            fraction = self._random.uniform(PRE_VOTE_RETRY_FRACTION, 2 * PRE_VOTE_RETRY_FRACTION)
            self.election_deadline_s = self._now_s + fraction * self.timeout_min_s
        else:
            self._persist_term(self.term + 1, self.replica_id)
        self._request_votes(transfer)
        self._count_votes()

    def _retry_vote_requests(self) -> None:
        """Repeat the vote requests whose replies may be lost.

        A voter that granted its vote waits for this candidate and does not campaign itself.
        """
        if self._now_s >= self.vote_retry_due_s:
            self._request_votes(transfer=False)

    def _request_votes(self, transfer: bool) -> None:
        self.vote_retry_due_s = self._now_s + self.config.heartbeat_interval_s
        campaign_term = self.term + 1 if self.pre_vote else self.term
        answered = self.votes | self.rejections
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
        """Start the election after a won pre-vote, or lead after a won election."""
        granted = len(self.votes & self.configuration.voter_ids())
        if granted < self.configuration.quorum():
            return
        if self.pre_vote:
            self._campaign(pre_vote=False)
            return
        self.role = Role.LEADER
        self.election_deadline_s = math.inf
        self._emit(BecameLeader(term=self.term))
        self._become_leader()

    def _can_vote(self) -> bool:
        """Return whether this replica may vote; a blank replica never does."""
        return not self.blank

    def _on_vote_request(self, message: VoteRequest) -> None:
        header = message.header
        if not self._can_vote() or not self._is_addressed(header):
            self._send_identity(header.from_address, header.from_id)
            return
        if not self._same_founding(header):
            return
        granted = self._decide_vote(message)
        reply = VoteReply(
            header=self.header(header.from_id),
            campaign_term=header.term,
            granted=granted,
            pre=message.pre,
        )
        self._send(header.from_address, reply)

    def _decide_vote(self, message: VoteRequest) -> bool:
        """Return whether the vote is granted; a real vote is persisted before the reply is sent."""
        if message.header.from_id == self.leader_id and message.header.term > self.term:
            # The leader of this term campaigns for a later one, so it has stopped leading.
            self._mark_leader_dead()
        if self._has_leader() and not message.transfer:
            return False
        candidate, campaign_term = message.header.from_id, message.header.term
        if message.pre:
            return campaign_term > self.term and message.last >= self.log.last
        if campaign_term > self.term:
            self._become_follower(campaign_term, "a candidate has a higher term")
        if campaign_term < self.term or message.last < self.log.last:
            return False
        if self.hard_state.voted_for not in ("", candidate):
            return False
        if self.hard_state.voted_for == "":
            self._persist_term(self.term, candidate)
        self._reset_election_deadline()
        return True

    def _has_leader(self) -> bool:
        """Return whether a leader's lease may still be valid (leader stickiness)."""
        if self.role is Role.LEADER:
            return True
        silence_s = self.standstills.ran_s(self.leader_contact_s, self._now_s)
        return silence_s < self.timeout_min_s

    def _on_vote_reply(self, message: VoteReply) -> None:
        self.lost_voters.record_reply(message.header.from_address, message.header.from_id)
        if self.role is not Role.CANDIDATE or message.pre is not self.pre_vote:
            return
        campaign_term = self.term + 1 if self.pre_vote else self.term
        if message.campaign_term != campaign_term:
            return
        if message.granted:
            self.votes.add(message.header.from_id)
            self._count_votes()
        else:
            self.rejections.add(message.header.from_id)

    def _on_timeout_now(self, message: TimeoutNow) -> None:
        if self._accept_leader(message.header) and self._may_campaign():
            self._campaign(pre_vote=False, transfer=True)
