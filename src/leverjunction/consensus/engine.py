"""Executes the effects of the Raft core on a store, without threads or a clock.

The driver thread of a group replica and the simulator run the same engine. They pass in batches
of events and the current time, and receive messages and results through callbacks. All changes
of a batch are made durable by one sync.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from loguru import logger

from leverjunction.consensus.api import ApplyContext, StateMachine
from leverjunction.consensus.change_notifier import ChangeListener, ChangeNotifier, ignore_changes
from leverjunction.consensus.core import RaftCore, may_renew_lease
from leverjunction.consensus.events import (
    Appended,
    AppendEntries,
    Applied,
    BecameLeader,
    Commit,
    CompactLog,
    Effect,
    Event,
    Flush,
    MajorityLost,
    Persisted,
    PersistFounding,
    PersistHardState,
    ReadReady,
    Refused,
    RepairDone,
    Send,
    SendEntries,
    SnapshotAnswered,
    SnapshotInstalled,
    StartSnapshot,
    SteppedDown,
    StoreChunk,
    TruncateLog,
)
from leverjunction.consensus.messages import AppendRequest, Message, SnapshotChunk
from leverjunction.consensus.requests import RequestTable
from leverjunction.consensus.snapshot import SnapshotStage
from leverjunction.consensus.snapshot_sender import SnapshotSender
from leverjunction.consensus.store import Store
from leverjunction.consensus.store_faults import is_environment_error
from leverjunction.consensus.types import EntryKind, GroupConfig, LogEntry
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import encode_reply

APPLY_ENTRIES_PER_STEP = 100
APPLY_BYTES_PER_STEP = 512 * 1024
"""Limits of one ``apply_committed`` call: a leader that is busy for longer than its lease loses
its leadership."""

STAGED_BYTES_PER_SYNC = 4 * 1024 * 1024
"""Bytes of an unfinished snapshot that one sync makes durable. A larger transaction would hold
them in the write-ahead log and in the file at the same time."""

Outbox = Callable[[str, Message], None]
"""Sends a message to an address; called in the order in which messages may be sent."""

Answer = Callable[[int, bytes | Failure], None]
"""Receives the result of the proposal or read with the given request id."""


@dataclass
class EngineCallbacks:
    """Callbacks that receive the engine's output.

    Attributes:
        outbox: Sends messages to other replicas.
        answer: Receives results of proposals and reads.
        changed_role: Called after this replica became leader or stepped down.
        repaired: Called when the replacement of a lost replica is committed.
        majority_lost: Called when too many voters are lost for any election to succeed.
        listener: Called after commands were applied or a snapshot was installed.
    """

    outbox: Outbox
    answer: Answer
    changed_role: Callable[[BecameLeader | SteppedDown], None]
    repaired: Callable[[RepairDone], None]
    majority_lost: Callable[[MajorityLost], None] = lambda _lost: None
    listener: ChangeListener = ignore_changes


class ReplicaEngine:
    """One replica: core, store and state machine. Not thread-safe: a single driver calls it."""

    def __init__(
        self,
        config: GroupConfig,
        machine: StateMachine,
        store: Store,
        random: Random,
        now_s: float,
        callbacks: EngineCallbacks,
        core_type: type[RaftCore] = RaftCore,
    ) -> None:
        """Load the store and start as a follower, a learner or a blank replica.

        Args:
            config: Settings of the replica.
            machine: State machine that applies committed entries on the store's connection.
            store: Opened store.
            random: Source of timeouts and nonces.
            now_s: Monotonic time, in seconds.
            callbacks: Receive the engine's output.
            core_type: Class of the core; a testbed may pass one that breaks a protocol rule.

        Raises:
            StoreCorruptError: The store's data does not match its checksums.
        """
        self.config = config
        self.store = store
        self._machine = machine
        self._callbacks = callbacks
        machine.create_tables(store.connection)
        self.core = core_type(config, store.load(), random, now_s)
        self.applied_index = self.core.applied_index
        self._now_s = now_s
        self._requests = RequestTable(callbacks.answer)
        self._change_notifier = ChangeNotifier(config.group, callbacks.listener)
        self._snapshot_sender = SnapshotSender(
            store.connection, config.snapshot_chunk_bytes, random
        )
        self._snapshot_stage = SnapshotStage(store.connection)
        self._pending_effects: deque[Effect] = deque()
        self._executing = False
        self._held_sends: list[Send] = []
        self._unsynced = False
        self._hard_state_unsynced = False
        self._staged_bytes = 0

    def step(self, events: Sequence[Event], now_s: float) -> None:
        """Handle a batch of events and make its changes durable with one sync.

        Messages that depend on the sync are sent after it. Call ``apply_committed`` next.

        Args:
            events: Events in order of arrival.
            now_s: Monotonic time, in seconds.
        """
        self._now_s = now_s
        self.core.begin_step(now_s)
        # Peers' replies come first: they may renew the lease that decides about the other events.
        for event in sorted(events, key=_cannot_renew_lease):
            self._execute_all(self.core.handle(event, now_s))
        self._execute_all(self.core.handle(Flush(), now_s))
        self._resend_snapshot()
        while self._unsynced:
            self._sync()
            self._execute_all(self.core.handle(Persisted(self.core.log.last_index), now_s))
        self._send_held()

    def apply_committed(self) -> bool:
        """Apply a bounded number of committed entries, answer their callers, notify the listener.

        The transaction stays open and is committed with the next batch: after a crash the entries
        are applied again from the log.

        Returns:
            True when further committed entries are waiting to be applied.
        """
        first = self.applied_index + 1
        if self.core.commit_index >= first:
            limit = self.core.log.batch_end(first, APPLY_ENTRIES_PER_STEP, APPLY_BYTES_PER_STEP)
            last = min(self.core.commit_index, limit)
            for entry in self.store.entries(first, last):
                self._apply(entry)
            self.store.put_applied(self.applied_index)
            self._execute_all(self.core.handle(Applied(self.applied_index), self._now_s))
        self._answer_reads()
        self._change_notifier.notify()
        return self.core.commit_index > self.applied_index

    def commit_idle(self) -> None:
        """Commit the transaction that ``apply_committed`` left open, when no batch follows."""
        if self.store.connection.in_transaction:
            self._sync()

    def query_local(self, query: bytes) -> bytes:
        """Run a query on the applied state, which may be stale."""
        return self._machine.query(self.store.connection, query)

    def _execute_all(self, effects: Sequence[Effect]) -> None:
        """Execute effects in the order in which the core returned them.

        Executing an effect may pass another event to the core. The effects of that event are
        queued behind the earlier ones, because they may refer to entries not yet written.
        """
        self._pending_effects.extend(effects)
        if self._executing:
            return
        self._executing = True
        while self._pending_effects:
            self._execute(self._pending_effects.popleft())
        self._executing = False

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send():
                self._send_or_hold(effect)
            case SendEntries():
                self._send_or_hold(self._with_entries(effect))
            case AppendEntries():
                self.store.append(effect.entries)
                self._unsynced = True
            case Appended():
                self._requests.appended(effect.request_id, effect.position)
            case Refused():
                self._requests.refused(effect.request_id, effect.leader_address)
            case ReadReady():
                self._requests.read_ready(effect.request_id, effect.index)
            case PersistHardState():
                self.store.put_hard_state(effect.hard_state)
                self._unsynced = True
                self._hard_state_unsynced = True
            case PersistFounding():
                self.store.put_founding(effect.founding_id, effect.configuration)
                self._unsynced = True
                self._hard_state_unsynced = True
            case TruncateLog():
                self.store.truncate(effect.from_index)
                self._unsynced = True
            case CompactLog():
                self.store.compact(effect.base, effect.configuration)
            case StoreChunk():
                self._store_snapshot_chunk(effect.chunk)
            case Commit():
                pass  # apply_committed reads the commit index from the core.
            case _:
                self._execute_rare(effect)

    def _execute_rare(self, effect: Effect) -> None:
        match effect:
            case BecameLeader():
                self._callbacks.changed_role(effect)
            case SteppedDown():
                self._snapshot_sender.stop()
                self._requests.stepped_down(effect.reason)
                self._callbacks.changed_role(effect)
            case RepairDone():
                self._callbacks.repaired(effect)
            case MajorityLost():
                self._callbacks.majority_lost(effect)
            case StartSnapshot():
                self._snapshot_sender.start(effect.replica_id, effect.address, self._now_s)
                self._send_snapshot_chunks()
            case SnapshotAnswered():
                self._snapshot_answered(effect)

    def _send_or_hold(self, effect: Send) -> None:
        """Send a message now if it need not wait for a sync, else hold it until after the sync."""
        early = not effect.after_sync and not self._hard_state_unsynced
        if early or not self._unsynced:
            self._callbacks.outbox(effect.address, effect.message)
        else:
            self._held_sends.append(effect)

    def _with_entries(self, effect: SendEntries) -> Send:
        """Return the append request with its entries read from the store."""
        request = effect.request
        filled = AppendRequest(
            header=request.header,
            previous=request.previous,
            commit_index=request.commit_index,
            sequence=request.sequence,
            entries=tuple(self.store.entries(effect.first_index, effect.last_index)),
        )
        return Send(address=effect.address, message=filled, after_sync=effect.after_sync)

    def _sync(self) -> None:
        self.store.commit()
        self._staged_bytes = 0
        self._unsynced = False
        self._hard_state_unsynced = False

    def _send_held(self) -> None:
        held, self._held_sends = self._held_sends, []
        for effect in held:
            self._callbacks.outbox(effect.address, effect.message)

    def _apply(self, entry: LogEntry) -> None:
        """Apply one entry and answer its proposer, if the caller is waiting on this replica."""
        reply = b""
        if entry.kind is EntryKind.COMMAND:
            reply = self._apply_command(entry)
            self._change_notifier.mark_applied()
        self.applied_index = entry.index
        self._requests.applied(entry.index, entry.term, reply)

    def _apply_command(self, entry: LogEntry) -> bytes:
        """Apply a command; one that the state machine rejects changes nothing on any replica.

        A fault of the database or the host (disk full, damaged file) is raised: it occurs on this
        replica only, so treating it as a rejected command would make the replicas diverge.
        """
        context = ApplyContext(index=entry.index, term=entry.term, wall_ms=entry.wall_ms)
        connection = self.store.connection
        self.store.begin()
        connection.execute("SAVEPOINT entry")
        try:
            reply = self._machine.apply(connection, context, entry.payload)
        except Exception as error:
            if is_environment_error(error):
                raise
            logger.error(
                "group {}: entry {} of term {} was rolled back: the state machine raised {!r}",
                self.config.group,
                entry.index,
                entry.term,
                error,
            )
            connection.execute("ROLLBACK TO entry")
            reply = encode_reply(_apply_failure(error))
        connection.execute("RELEASE entry")
        return reply

    def _answer_reads(self) -> None:
        for request_id, query in self._requests.due_reads(self.applied_index):
            self._callbacks.answer(request_id, self.query_local(query))

    def add_read(self, request_id: int, query: bytes) -> None:
        """Store the query of a read until the core reports that it may be answered."""
        self._requests.add_read(request_id, query)

    def forget(self, request_id: int) -> None:
        """Drop a request whose caller timed out."""
        self._requests.forget(request_id)

    def _store_snapshot_chunk(self, chunk: SnapshotChunk) -> None:
        """Stage a chunk; install the snapshot after the last one.

        Chunks are acknowledged before they are durable, since a restart discards all of them.
        """
        self.store.begin()
        if chunk.number == 0:
            self._snapshot_stage.begin()
        self._snapshot_stage.store(chunk.data)
        self._staged_bytes += len(chunk.data)
        if self._staged_bytes >= STAGED_BYTES_PER_SYNC:
            self._unsynced = True
        if chunk.final is not None:
            self._install_snapshot(chunk)

    def _install_snapshot(self, chunk: SnapshotChunk) -> None:
        """Replace the tables and the log with the received snapshot, in one transaction."""
        assert chunk.final is not None
        self._snapshot_stage.install()
        self._machine.create_tables(self.store.connection)
        self.store.reset_log(chunk.header.founding_id, chunk.final, chunk.configuration)
        self._sync()
        self.applied_index = chunk.final.index
        self._change_notifier.mark_replaced()
        self._requests.snapshot_installed(chunk.final.index)
        event = SnapshotInstalled(
            position=chunk.final, configuration=chunk.configuration, chunk=chunk
        )
        self._execute_all(self.core.handle(event, self._now_s))

    def _send_snapshot_chunks(self) -> None:
        sender = self._snapshot_sender
        for chunk in sender.next_chunks(self.core, self.applied_index, self._now_s):
            self._callbacks.outbox(sender.address, chunk)

    def _snapshot_answered(self, effect: SnapshotAnswered) -> None:
        outcome = self._snapshot_sender.handle_answer(effect)
        if outcome.send_next:
            self._send_snapshot_chunks()
        if outcome.ended is not None:
            self._snapshot_sender.stop()
            self._execute_all(self.core.handle(outcome.ended, self._now_s))

    def _resend_snapshot(self) -> None:
        """Resend an unanswered chunk, or abort the transfer when the receiver stays silent."""
        chunk = self._snapshot_sender.overdue_chunk(self._now_s)
        if chunk is not None:
            self._callbacks.outbox(self._snapshot_sender.address, chunk)
        ended = self._snapshot_sender.expired(self._now_s)
        if ended is not None:
            self._snapshot_sender.stop()
            self._execute_all(self.core.handle(ended, self._now_s))


def _cannot_renew_lease(event: Event) -> bool:
    return not may_renew_lease(event)


def _apply_failure(error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=f"the state machine did not take the command: {error!r}",
        step=Step.APPLYING,
        execution=Execution.NOT_RUN,
    )
