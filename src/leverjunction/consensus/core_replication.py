"""Replication on the side of the leader, with its commit rule, linearizable reads and lease."""

from __future__ import annotations

from random import Random

from leverjunction.consensus.core_founding import FoundingCore
from leverjunction.consensus.events import (
    AppendEntries,
    Commit,
    CompactLog,
    ReadReady,
    Refused,
    RepairDone,
    SendEntries,
    StartSnapshot,
)
from leverjunction.consensus.messages import (
    AppendReply,
    AppendRequest,
    ContactReply,
    Header,
    IdentityQuery,
)
from leverjunction.consensus.progress import Progress, ProgressState
from leverjunction.consensus.repair_reports import RepairReports
from leverjunction.consensus.types import (
    DurableState,
    EntryKind,
    GroupConfig,
    LogEntry,
    LogPosition,
    Role,
)

COMPACT_THRESHOLD_FACTOR = 1.5
"""Factor by which the log exceeds its retention limits before it is compacted, so that compaction
runs rarely.
"""


class ReplicationCore(FoundingCore):
    """Replication, on the side of the leader."""

    def __init__(
        self, config: GroupConfig, durable: DurableState, random: Random, now_s: float
    ) -> None:
        super().__init__(config, durable, random, now_s)
        self.sequence = 0
        self.heartbeat_due_s = 0.0
        self.term_start_index = 0
        self.snapshot_peer = ""
        self.round_sent_s: dict[int, float] = {}
        self.pending_reads: list[int] = []
        self.round_reads: list[int] = []
        self.read_index = 0
        self.read_round = 0
        self.repair_reports = RepairReports()

    def _become_leader(self) -> None:
        """Initialize the leader's state and append the no-op entry of the term."""
        self.leader_id = self.replica_id
        self.leader_address = self.config.address
        self.leader_since_s = self._now_s
        self.sequence = 0
        self.round_sent_s = {}
        self.pending_reads = []
        self.round_reads = []
        self.snapshot_peer = ""
        self.progress = {}
        self._sync_progress()
        self.term_start_index = self.log.last_index + 1
        self._append_own(EntryKind.NO_OP, b"", 0)
        self._start_round()

    def _clear_leader_state(self) -> None:
        super()._clear_leader_state()
        for request_id in [*self.pending_reads, *self.round_reads]:
            self._emit(Refused(request_id=request_id, leader_address=""))
        self.pending_reads = []
        self.round_reads = []

    def _sync_progress(self) -> None:
        """Keep one ``Progress`` for each member other than this replica."""
        members = {member.replica_id for member in self.configuration.members}
        members.discard(self.replica_id)
        # Sorted, so that a simulation can be replayed from its seed.
        for replica_id in sorted(members - set(self.progress)):
            self.progress[replica_id] = Progress(
                next_index=self.log.last_index + 1, contact_s=self._now_s
            )
        for replica_id in sorted(set(self.progress) - members):
            del self.progress[replica_id]

    def _append_own(self, kind: EntryKind, payload: bytes, wall_ms: int) -> LogPosition:
        """Append an entry of the leader's own term.

        Args:
            kind: Kind of the entry.
            payload: Payload of the entry.
            wall_ms: Wall-clock time of the entry, in milliseconds.

        Returns:
            Position of the entry in the log.
        """
        entry = LogEntry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            wall_ms=wall_ms,
            payload=payload,
        )
        self.log.append([entry])
        self._emit(AppendEntries(entries=(entry,)))
        if kind is EntryKind.CONFIGURATION:
            self._sync_progress()
        return LogPosition(term=entry.term, index=entry.index)

    def _start_round(self) -> None:
        """Send every peer its missing entries, or a heartbeat, under a new sequence number."""
        self.sequence += 1
        self.round_sent_s[self.sequence] = self._now_s
        oldest_s = self._now_s - max(self.timeout_max_s, self.lease_s)
        self.round_sent_s = {
            number: sent_s for number, sent_s in self.round_sent_s.items() if sent_s >= oldest_s
        }
        self.heartbeat_due_s = self._now_s + self.config.heartbeat_interval_s
        for replica_id, progress in self.progress.items():
            progress.probe_sent = False
            if not self._send_entries_to(replica_id, progress):
                self._send_heartbeat(replica_id, progress)

    def _flush(self) -> None:
        """Replicate the entries that the batch appended, and start a round for waiting reads."""
        if self.role is not Role.LEADER:
            return
        if self.pending_reads and not self.round_reads and self.has_committed_in_term():
            self._start_read_round()
            return
        for replica_id, progress in self.progress.items():
            self._send_entries_to(replica_id, progress)

    def _send_heartbeat(self, replica_id: str, progress: Progress) -> None:
        previous_index = progress.next_index - 1
        if progress.state is ProgressState.SNAPSHOT or self.log.term_at(previous_index) is None:
            previous_index = 0
        self._send_append(replica_id, previous_index, previous_index)

    def _send_entries_to(self, replica_id: str, progress: Progress) -> bool:
        """Send the entries that a peer is missing; return whether any were sent."""
        sent = False
        while self._may_send(progress):
            if progress.blank or self.log.term_at(progress.next_index - 1) is None:
                self._start_snapshot(replica_id, progress)
                return sent
            last = self.log.batch_end(
                progress.next_index, self.config.max_batch_entries, self.config.max_batch_bytes
            )
            self._send_append(replica_id, progress.next_index - 1, last)
            sent = True
            if progress.state is ProgressState.PROBE:
                progress.probe_sent = True
                return sent
            progress.inflight.append(last)
            progress.next_index = last + 1
        return sent

    def _may_send(self, progress: Progress) -> bool:
        if progress.blank and progress.state is not ProgressState.SNAPSHOT:
            return True
        if progress.next_index > self.log.last_index:
            return False
        if progress.state is ProgressState.PROBE:
            return not progress.probe_sent
        if progress.state is ProgressState.REPLICATE:
            window_open = len(progress.inflight) < self.config.max_inflight_batches
            return window_open or self._window_compacted(progress)
        return False

    def _window_compacted(self, progress: Progress) -> bool:
        """Return whether the log was compacted past the last entry in flight to a peer.

        If that entry was lost, no heartbeat can detect it, since its position is no longer in the
        log. If it was not lost, the entries after it need a snapshot all the same.
        """
        return self.log.term_at(progress.next_index - 1) is None

    def _send_append(self, replica_id: str, previous_index: int, last: int) -> None:
        member = self.configuration.find(replica_id)
        if member is None:
            return
        previous = LogPosition() if previous_index == 0 else self._term_position(previous_index)
        request = AppendRequest(
            header=self.header(replica_id),
            previous=previous,
            commit_index=self.commit_index,
            sequence=self.sequence,
        )
        if last > previous_index:
            self._emit(
                SendEntries(
                    address=member.address,
                    request=request,
                    first_index=previous_index + 1,
                    last_index=last,
                )
            )
        else:
            self._send(member.address, request)

    def _start_snapshot(self, replica_id: str, progress: Progress) -> None:
        """Start a snapshot transfer, unless another is in progress or the peer is silent."""
        silence_s = self._now_s - progress.last_received_s
        if self.snapshot_peer or silence_s > self.timeout_max_s:
            return
        member = self.configuration.find(replica_id)
        if member is None:
            return
        self.snapshot_peer = replica_id
        progress.state = ProgressState.SNAPSHOT
        progress.inflight.clear()
        self._emit(StartSnapshot(replica_id=replica_id, address=member.address))

    def _on_snapshot_delivered(self, replica_id: str, matched_index: int | None) -> None:
        if self.snapshot_peer == replica_id:
            self.snapshot_peer = ""
        progress = self.progress.get(replica_id)
        if progress is None or progress.state is not ProgressState.SNAPSHOT:
            return
        progress.become_probe(progress.match_index + 1)
        if matched_index is None:
            progress.probe_sent = True
            return
        progress.blank = False
        progress.record_match(matched_index)
        self._send_entries_to(replica_id, progress)

    def _on_append_reply(self, message: AppendReply) -> None:
        progress = self._record_follower_reply(message.header, message.sequence)
        if progress is None:
            return
        if message.accepted:
            self._record_match(progress, message.index)
        elif progress.state is not ProgressState.SNAPSHOT and message.index >= progress.match_index:
            progress.become_probe(min(message.index + 1, progress.next_index))
        self._advance_commit()
        self._finish_reads()
        self._send_entries_to(message.header.from_id, progress)

    def _on_contact_reply(self, message: ContactReply) -> None:
        """Handle the acknowledgement of a heartbeat that overtook entries in flight."""
        if self._record_follower_reply(message.header, message.sequence) is not None:
            self._finish_reads()

    def _record_follower_reply(self, header: Header, sequence: int) -> Progress | None:
        """Count a reply towards the lease.

        Returns:
            The sender's ``Progress``, or None if this replica does not lead or the reply is not
            for its term.
        """
        progress = self.progress.get(header.from_id)
        if self.role is not Role.LEADER or header.term != self.term or progress is None:
            return None
        progress.last_received_s = self._now_s
        self._record_round_ack(progress, sequence)
        self._check_lease()
        return progress if self.role is Role.LEADER else None

    def _record_match(self, progress: Progress, index: int) -> None:
        if progress.state is ProgressState.SNAPSHOT:
            return
        progress.blank = False
        progress.record_match(min(index, self.log.last_index))

    def _record_round_ack(self, progress: Progress, sequence: int) -> None:
        """Record that a peer acknowledged this leader as of the time the round was sent."""
        progress.acked_sequence = max(progress.acked_sequence, sequence)
        sent_s = self.round_sent_s.get(sequence)
        if sent_s is not None:
            progress.contact_s = max(progress.contact_s, sent_s)

    def quorum_contact_s(self) -> float:
        """Return the monotonic time up to which a quorum followed this leader, in seconds."""
        contacts = {replica_id: item.contact_s for replica_id, item in self.progress.items()}
        contacts[self.replica_id] = self._now_s
        return max(self._quorum_of(contacts), self.leader_since_s)

    def _check_lease(self) -> None:
        """Step down if no quorum replied within the lease, not counting pauses of this process."""
        if self.role is Role.LEADER and self._lease_expired():
            self._become_follower(self.term, "no quorum was heard within the lease")

    def _lease_expired(self) -> bool:
        return self.standstills.ran_s(self.quorum_contact_s(), self._now_s) > self.lease_s

    def has_committed_in_term(self) -> bool:
        """Return whether this leader has committed an entry of its own term.

        Only then does its commit index cover everything that earlier leaders committed.
        """
        return self.commit_index >= self.term_start_index

    def _advance_commit(self) -> None:
        """Commit the entries that a quorum has persisted, if the last is of this term.

        Entries of earlier terms are committed only indirectly (Ongaro, 3.6.2).
        """
        if self.role is not Role.LEADER:
            return
        matches: dict[str, float] = {
            replica_id: item.match_index for replica_id, item in self.progress.items()
        }
        matches[self.replica_id] = self.persisted_index
        index = int(self._quorum_of(matches))
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit(index)

    def _commit(self, index: int) -> None:
        previous = self.commit_index
        self.commit_index = index
        self._emit(Commit(index=index))
        for changed_index in self.log.configuration_indexes(previous + 1, index):
            self._detect_repairs(changed_index)

    def _detect_repairs(self, index: int) -> None:
        """Detect a repair in a committed configuration that removes a lost replica.

        Every replica reports the repair, so the report survives a failure of the leader.
        """
        voters = [member for member in self.log.configuration_at(index).members if member.voter]
        kept_ids = {member.replica_id for member in voters}
        for old in self.log.configuration_at(index - 1).members:
            if not old.voter or old.replica_id in kept_ids:
                continue
            for new in voters:
                if new.address == old.address:
                    self._on_repair_committed(
                        RepairDone(old.replica_id, new.replica_id, old.address)
                    )

    def _on_repair_committed(self, repair: RepairDone) -> None:
        """Report a repair at this replica's own address at once, others once they reply."""
        if repair.new_id == self.replica_id:
            self._emit(repair)
            return
        self.repair_reports.committed(repair, self.term)
        self._query_repaired()

    def _query_repaired(self) -> None:
        """Query the identity of the replicas at the addresses of unreported repairs."""
        for address in self.repair_reports.addresses(self.configuration):
            self._send(address, IdentityQuery(header=self.header(""), nonce=0))

    def _on_repaired_identity(self, header: Header) -> None:
        repair = self.repair_reports.answered(header.from_address, header.from_id, header.term)
        if repair is not None:
            self._emit(repair)

    def _read(self, request_id: int) -> None:
        if self.role is not Role.LEADER:
            self._emit(Refused(request_id=request_id, leader_address=self.leader_address))
            return
        self.pending_reads.append(request_id)

    def _start_read_round(self) -> None:
        """Serve all waiting reads by one round (ReadIndex; Ongaro, 6.4)."""
        self.round_reads, self.pending_reads = self.pending_reads, []
        self.read_index = self.commit_index
        self._start_round()
        self.read_round = self.sequence
        self._finish_reads()

    def _finish_reads(self) -> None:
        if self.role is not Role.LEADER or not self.round_reads:
            return
        acked: dict[str, float] = {
            replica_id: item.acked_sequence for replica_id, item in self.progress.items()
        }
        acked[self.replica_id] = self.sequence
        if self._quorum_of(acked) < self.read_round:
            return
        for request_id in self.round_reads:
            self._emit(ReadReady(request_id=request_id, index=self.read_index))
        self.round_reads = []

    def _on_applied(self, index: int) -> None:
        """Compact applied entries beyond those retained for peers that lag slightly."""
        self.applied_index = max(self.applied_index, index)
        entries = self.applied_index - self.log.base.index
        over_entries = entries > self.config.log_kept_entries * COMPACT_THRESHOLD_FACTOR
        limit_bytes = self.config.log_kept_bytes * COMPACT_THRESHOLD_FACTOR
        if not over_entries and self.log.payload_bytes_up_to(self.applied_index) <= limit_bytes:
            return
        first = self.log.first_retained_index(
            self.applied_index, self.config.log_kept_entries, self.config.log_kept_bytes
        )
        base = self._term_position(first - 1)
        configuration = self.log.configuration_at(base.index)
        self.log.compact(base)
        self._emit(CompactLog(base=base, configuration=configuration))
