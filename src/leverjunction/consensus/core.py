"""The pure Raft core of one replica: it takes events and returns effects.

The core does no I/O and has no threads, clock or global randomness. Time and a random generator
are passed in, so the processes, the simulator and the conformance test of the model checker all
run the same code. ``consensus.events`` states the order in which effects must be carried out.
"""

from __future__ import annotations

import math

from leverjunction.consensus.core_election import ElectionCore
from leverjunction.consensus.events import (
    Appended,
    Applied,
    ChangeTarget,
    Effect,
    Event,
    Flush,
    PeerDown,
    Persisted,
    Propose,
    Read,
    Received,
    Refused,
    SnapshotDelivered,
    SnapshotInstalled,
    Tick,
    TransferLeadership,
)
from leverjunction.consensus.messages import (
    AppendReply,
    AppendRequest,
    ContactReply,
    ContactRequest,
    FoundReply,
    FoundRequest,
    IdentityQuery,
    IdentityReply,
    Message,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from leverjunction.consensus.types import EntryKind, Role
from leverjunction.standstills import NOTED_FROM_S


def may_renew_lease(event: Event) -> bool:
    """Return whether the event is a follower's reply, which may renew the leader's lease."""
    return isinstance(event, Received) and isinstance(event.message, AppendReply | ContactReply)


class RaftCore(ElectionCore):
    """The Raft state machine of one replica of one group.

    Not thread-safe: a single driver calls it.
    """

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event.

        Args:
            event: The event to handle.
            now_s: Monotonic time, in seconds; not less than in the previous call.

        Returns:
            Effects to carry out, in order.
        """
        self._now_s = max(self._now_s, now_s)
        self._effects = []
        if not may_renew_lease(event):
            # A reply that was queued during a slow sync counts before the lease is checked.
            self._check_lease()
        self._dispatch(event)
        if not isinstance(event, Propose | Read):
            self._advance_leader()
        return self._effects

    def begin_step(self, now_s: float) -> None:
        """Detect a pause of this replica when it begins to handle a batch of events.

        A batch that begins after the replica's timer was due shows that the process did not run in
        between. Time before the last step is not counted again.

        Args:
            now_s: Monotonic time, in seconds.
        """
        late_s = now_s - max(self.next_deadline_s(), self._now_s)
        if late_s >= NOTED_FROM_S:
            self._on_standstill(now_s, late_s)

    def next_deadline_s(self) -> float:
        """Return the monotonic time at which the next ``Tick`` is due, in seconds."""
        if self.role is Role.LEADER:
            return self.heartbeat_due_s
        if self.is_founder():
            return self.founding_due_s
        return self.next_election_step_s() if not self.blank else math.inf

    def _dispatch(self, event: Event) -> None:
        match event:
            case Tick():
                self._tick()
            case Flush():
                self._flush()
            case Received():
                self._receive(event.message)
            case Propose():
                self._propose(event)
            case Read():
                self._read(event.request_id)
            case Persisted():
                self.persisted_index = min(event.last_index, self.log.last_index)
            case Applied():
                self._on_applied(event.index)
            case SnapshotInstalled():
                self._on_snapshot_installed(event)
            case SnapshotDelivered():
                self._on_snapshot_delivered(event.replica_id, event.matched_index)
            case ChangeTarget():
                self._change_target(event)
            case TransferLeadership():
                self._start_transfer()
            case PeerDown():
                self._on_peer_down(event)

    def _advance_leader(self) -> None:
        """Take the leader's follow-up steps, which any event may have enabled."""
        if self.role is not Role.LEADER:
            return
        self._advance_commit()
        if self.commit_index >= self.log.configuration_index and not self.is_voter():
            self._become_follower(self.term, "this replica was removed from the group")
            return
        self._drive_membership()
        if self.transferring():
            self._transfer()

    def _tick(self) -> None:
        if self.role is Role.LEADER:
            if self._now_s >= self.heartbeat_due_s:
                self._start_round()
                self._query_missing_targets()
        elif self.blank:
            self._tick_founding()
        else:
            self._tick_election()

    def _propose(self, event: Propose) -> None:
        if self.role is not Role.LEADER or self.transferring():
            self._emit(Refused(request_id=event.request_id, leader_address=self.leader_address))
            return
        position = self._append_own(EntryKind.COMMAND, event.payload, event.wall_ms)
        self._emit(Appended(request_id=event.request_id, position=position))

    def _receive(self, message: Message) -> None:
        if isinstance(message, VoteReply | AppendReply | ContactReply | SnapshotReply):
            self._receive_reply(message)
            return
        match message:
            case VoteRequest():
                self._on_vote_request(message)
            case AppendRequest():
                self._on_append_request(message)
            case ContactRequest():
                self._on_contact_request(message)
            case SnapshotChunk():
                self._on_snapshot_chunk(message)
            case TimeoutNow():
                self._on_timeout_now(message)
            case IdentityQuery():
                self._on_identity_query(message)
            case IdentityReply():
                self._on_identity_reply(message)
            case FoundRequest():
                self._on_found_request(message)
            case FoundReply():
                self._on_found_reply(message)

    def _receive_reply(
        self, message: VoteReply | AppendReply | ContactReply | SnapshotReply
    ) -> None:
        """Handle a reply that may count towards a quorum.

        Replies to another replica id or from another founding of the group are dropped.
        """
        header = message.header
        from_blank_learner = header.founding_id == "" and isinstance(message, SnapshotReply)
        if not self._is_addressed(header):
            return
        if not self._same_founding(header) and not from_blank_learner:
            return
        if header.term > self.term:
            self._become_follower(header.term, "a peer has a higher term")
        match message:
            case VoteReply():
                self._on_vote_reply(message)
            case AppendReply():
                self._on_append_reply(message)
            case ContactReply():
                self._on_contact_reply(message)
            case SnapshotReply():
                self._on_snapshot_reply(message)
