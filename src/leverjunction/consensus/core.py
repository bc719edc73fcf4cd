"""The pure Raft core of one replica: events in, effects out.

No I/O, threads, clock or global randomness: time and a random generator are passed in, so the
processes, the simulator and the model check's conformance test all run this same code. The order
rules for effects are in ``consensus.events``.
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
    """Return whether an event may renew a leader's lease."""
    return isinstance(event, Received) and isinstance(event.message, AppendReply | ContactReply)


class RaftCore(ElectionCore):
    """One replica of one group. Not thread-safe; one driver calls it."""

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle one event.

        Args:
            event: What happened.
            now_s: Monotonic time, in seconds; never less than at the call before.

        Returns:
            Effects to carry out, in order.
        """
        self._now_s = max(self._now_s, now_s)
        self._effects = []
        if not may_renew_lease(event):
            # An answer that waited here during a slow sync counts before the lease is judged.
            self._check_lease()
        self._dispatch(event)
        if not isinstance(event, Propose | Read):
            self._after()
        return self._effects

    def begin_step(self, now_s: float) -> None:
        """Take the time at which a batch of events begins to be handled.

        What it is late by is a standstill of this replica: its timer was due before. Time up to
        the last step was counted then.
        """
        late_s = now_s - max(self.next_deadline_s(), self._now_s)
        if late_s >= NOTED_FROM_S:
            self._stood_still(now_s, late_s)

    def next_deadline_s(self) -> float:
        """Return the monotonic time at which a ``Tick`` is due, in seconds."""
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
                self._applied(event.index)
            case SnapshotInstalled():
                self._on_snapshot_installed(event)
            case SnapshotDelivered():
                self._snapshot_delivered(event.replica_id, event.matched_index)
            case ChangeTarget():
                self._change_target(event)
            case TransferLeadership():
                self._start_transfer()
            case PeerDown():
                self._peer_gone(event)

    def _after(self) -> None:
        """Take the leader's steps that any event may have made possible."""
        if self.role is not Role.LEADER:
            return
        self._advance_commit()
        if self.commit_index >= self.log.configuration_index and not self.is_voter():
            self._follow(self.term, "this replica was removed from the group")
            return
        self._drive_membership()
        if self.transferring():
            self._transfer()

    def _tick(self) -> None:
        if self.role is Role.LEADER:
            if self._now_s >= self.heartbeat_due_s:
                self._start_round()
                self._ask_missing()
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
        """Handle a reply that counts for a quorum; it must be for this very replica."""
        header = message.header
        from_blank_learner = header.founding_id == "" and isinstance(message, SnapshotReply)
        if not self._is_addressed(header):
            return
        if not self._same_founding(header) and not from_blank_learner:
            return
        if header.term > self.term:
            self._follow(header.term, "a peer has a higher term")
        match message:
            case VoteReply():
                self._on_vote_reply(message)
            case AppendReply():
                self._on_append_reply(message)
            case ContactReply():
                self._on_contact_reply(message)
            case SnapshotReply():
                self._on_snapshot_reply(message)
