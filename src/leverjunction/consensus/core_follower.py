"""Replication on the side of the follower and the learner: appends and snapshot chunks."""

from __future__ import annotations

from dataclasses import dataclass, field

from leverjunction.consensus.core_membership import MembershipCore
from leverjunction.consensus.events import (
    AppendEntries,
    SnapshotAnswered,
    SnapshotInstalled,
    StoreChunk,
    TruncateLog,
)
from leverjunction.consensus.messages import (
    AppendReply,
    AppendRequest,
    ContactReply,
    ContactRequest,
    Header,
    SnapshotChunk,
    SnapshotReply,
)
from leverjunction.consensus.types import SNAPSHOT_WINDOW_CHUNKS, LogEntry, Role

NO_CHUNK_WANTED = -1
"""``next_number`` in the reply of a replica that needs no further chunk of a transfer."""


@dataclass
class IncomingSnapshot:
    """The snapshot transfer that this replica is receiving.

    Attributes:
        stream_id: Id of the transfer.
        next_number: Number of the chunk expected next.
        early: Chunks that arrived before the expected one, by number.
    """

    stream_id: str
    next_number: int = 0
    early: dict[int, SnapshotChunk] = field(default_factory=dict)

    def accept(self, chunk: SnapshotChunk) -> list[SnapshotChunk]:
        """Return the chunks that can be stored now, in order; keep a chunk behind a gap."""
        if not 0 <= chunk.number - self.next_number < SNAPSHOT_WINDOW_CHUNKS:
            return []
        self.early[chunk.number] = chunk
        ready: list[SnapshotChunk] = []
        while (found := self.early.pop(self.next_number, None)) is not None:
            ready.append(found)
            self.next_number += 1
        return ready


class FollowerCore(MembershipCore):
    """Append requests and snapshots, on the receiving side."""

    incoming: IncomingSnapshot | None = None

    def _on_append_request(self, message: AppendRequest) -> None:
        header = message.header
        if not self._accept_leader(header):
            return
        self._query_repaired()
        entries = [entry for entry in message.entries if entry.index > self.log.base.index]
        if message.previous.index >= self.log.base.index and not self.log.holds(message.previous):
            self._reply_append(message, False, self._conflict_hint(message.previous.index))
            return
        if message.previous.index < self.log.base.index and not entries:
            self._reply_append(message, True, self.log.base.index)
            self._update_caught_up(message, self.log.base.index)
            return
        self._store_entries(entries)
        matched = message.previous.index + len(message.entries)
        self._reply_append(message, True, matched)
        commit_index = min(message.commit_index, matched)
        if commit_index > self.commit_index:
            self._commit(commit_index)
        self._update_caught_up(message, matched)

    def _on_contact_request(self, message: ContactRequest) -> None:
        """Acknowledge the leader; the commit index comes with the entries instead."""
        if self._accept_leader(message.header):
            header = self.header(message.header.from_id)
            reply = ContactReply(header=header, sequence=message.sequence)
            self._send(message.header.from_address, reply)

    def _update_caught_up(self, message: AppendRequest, matched: int) -> None:
        """Record the time at which this replica held every committed entry.

        Snapshot chunks do not count: a replica under repair hears the leader but lacks entries.
        """
        if self._is_dead_leader(message.header.from_id):
            return
        if matched >= message.commit_index and self._leader_committed_in_term(message):
            self.caught_up_s = self._now_s

    def _leader_committed_in_term(self, message: AppendRequest) -> bool:
        """Return whether the leader has committed an entry of its own term, or none at all.

        Otherwise its commit index may be incomplete: a new leader may hold entries that its
        predecessor committed and acknowledged, without knowing that they are committed.
        """
        index = message.commit_index
        return index == 0 or self.log.term_at(index) == message.header.term

    def _accept_leader(self, header: Header) -> bool:
        """Return whether to process a leader's message; follow the leader if so.

        A message for another replica id is answered with this replica's identity, and one of an
        older term with the current term.
        """
        if self.blank or not self._is_addressed(header):
            self._send_identity(header.from_address, header.from_id)
            return False
        if not self._same_founding(header):
            return False
        if header.term < self.term:
            self._reject_stale_leader(header)
            return False
        if header.term == self.term and self._is_dead_leader(header.from_id):
            # The content was valid when sent, but a delayed message is no proof of contact.
            return True
        if header.term > self.term or self.role is Role.CANDIDATE:
            self._become_follower(header.term, "another replica leads")
        self._record_leader_contact(header)
        self.lost_voters.record_reply(header.from_address, header.from_id)
        return True

    def _reject_stale_leader(self, header: Header) -> None:
        """Reply to a leader of an older term with the current term."""
        reply = AppendReply(header=self.header(header.from_id), sequence=0, accepted=False, index=0)
        self._send(header.from_address, reply)

    def _reply_append(self, message: AppendRequest, accepted: bool, index: int) -> None:
        reply = AppendReply(
            header=self.header(message.header.from_id),
            sequence=message.sequence,
            accepted=accepted,
            index=index,
        )
        self._send(message.header.from_address, reply)

    def _conflict_hint(self, index: int) -> int:
        """Return the highest index that may match the leader, given a mismatch at ``index``."""
        if index > self.log.last_index:
            return self.log.last_index
        hint = self.log.first_index_of_term_at(index) - 1
        return max(hint, self.commit_index, self.log.base.index)

    def _store_entries(self, entries: list[LogEntry]) -> None:
        """Append the new entries, after removing those that conflict with the leader's log."""
        new_entries = [entry for entry in entries if self.log.term_at(entry.index) != entry.term]
        if not new_entries:
            return
        first = new_entries[0].index
        new_entries = [entry for entry in entries if entry.index >= first]
        if first <= self.log.last_index:
            assert first > self.commit_index, "a committed entry would be removed"
            self.log.truncate(first)
            self.persisted_index = min(self.persisted_index, first - 1)
            self._emit(TruncateLog(from_index=first))
        self.log.append(new_entries)
        self._emit(AppendEntries(entries=tuple(new_entries)))
        self._reset_role()

    def _on_snapshot_chunk(self, message: SnapshotChunk) -> None:
        header = message.header
        if not self._is_addressed(header):
            self._send_identity(header.from_address, header.from_id)
            return
        if self.blank:
            self._record_leader_contact(header)
        elif not self._accept_leader(header):
            return
        if not self.blank and self._holds_start(message):
            self._reply_chunk(message, NO_CHUNK_WANTED, max(self.commit_index, message.start.index))
            return
        self._receive_chunk(message)

    def _holds_start(self, message: SnapshotChunk) -> bool:
        return self.commit_index >= message.start.index or self.log.holds(message.start)

    def _receive_chunk(self, message: SnapshotChunk) -> None:
        incoming = self.incoming
        if incoming is None or incoming.stream_id != message.stream_id:
            if message.number != 0:
                self._reply_chunk(message, 0, 0)
                return
            incoming = self.incoming = IncomingSnapshot(stream_id=message.stream_id)
        ready = incoming.accept(message)
        for chunk in ready:
            self._emit(StoreChunk(chunk=chunk))
        if not ready or ready[-1].final is None:
            self._reply_chunk(message, incoming.next_number, 0)

    def _reply_chunk(self, message: SnapshotChunk, next_number: int, matched: int) -> None:
        reply = SnapshotReply(
            header=self.header(message.header.from_id),
            stream_id=message.stream_id,
            next_number=next_number,
            matched_index=matched,
            window=SNAPSHOT_WINDOW_CHUNKS,
        )
        self._send(message.header.from_address, reply)

    def _on_snapshot_installed(self, event: SnapshotInstalled) -> None:
        """Restart the log after the position of a snapshot that was installed in the tables."""
        header = event.chunk.header
        self.founding_id = header.founding_id
        self.incoming = None
        self.log.reset(event.position, event.configuration)
        self.commit_index = event.position.index
        self.applied_index = event.position.index
        self.persisted_index = event.position.index
        if header.term > self.term:
            self._persist_term(header.term, "")
        self._reset_role()
        self._reset_election_deadline()
        self._reply_chunk(event.chunk, NO_CHUNK_WANTED, event.position.index)

    def _on_snapshot_reply(self, message: SnapshotReply) -> None:
        progress = self.progress.get(message.header.from_id)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.last_received_s = self._now_s
        self._emit(
            SnapshotAnswered(
                replica_id=message.header.from_id,
                stream_id=message.stream_id,
                next_number=message.next_number,
                matched_index=message.matched_index,
                window=message.window,
            )
        )
