"""One replica of a consensus group, run by a process.

A driver thread owns the engine. It collects the requests and messages that arrived during the
previous sync, handles them as one batch with one sync, and then applies committed entries. Each
peer has a sender thread, and a second one once a large message is sent to it. A call from a peer
blocks until its messages are handled and returns the replies.
"""

from __future__ import annotations

import itertools
import sqlite3
import threading
from random import Random

import msgspec
from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus import metrics
from leverjunction.consensus.api import GroupStatus, StateMachine
from leverjunction.consensus.change_notifier import ChangeListener, ignore_changes
from leverjunction.consensus.codec import decode_messages, encode_messages
from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.engine import EngineCallbacks, ReplicaEngine
from leverjunction.consensus.events import (
    BecameLeader,
    ChangeTarget,
    Event,
    MajorityLost,
    PeerDown,
    Propose,
    Read,
    Received,
    RepairDone,
    SteppedDown,
    Tick,
    TransferLeadership,
)
from leverjunction.consensus.inbox import Inbox, PeerCall, PendingResult
from leverjunction.consensus.messages import Message, SnapshotChunk
from leverjunction.consensus.status import status_of, stopped_status, unknown_status
from leverjunction.consensus.store_faults import (
    StoreCorruptError,
    corrupt_failure,
    stopped_failure,
)
from leverjunction.consensus.store_recovery import open_or_rejoin
from leverjunction.consensus.transport import PeerSender, RaftTransport
from leverjunction.consensus.types import GroupConfig, Role
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import encode_reply

PEER_CALL_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 5.0
TRANSFER_TIMEOUT_S = 1.0


class GroupReplica:
    """Implements ``ReplicatedGroup`` with an engine and a driver thread. Thread-safe."""

    def __init__(
        self,
        config: GroupConfig,
        machine: StateMachine,
        transport: RaftTransport,
        clock: Clock,
        random: Random,
        core_type: type[RaftCore] = RaftCore,
        silent_since_s: float | None = None,
        listener: ChangeListener = ignore_changes,
    ) -> None:
        """Create a replica without opening its file; see ``start``.

        Args:
            config: Settings of the replica.
            machine: State machine of the group.
            transport: Sends messages to peers.
            clock: Source of time.
            random: Source of ids, timeouts and nonces; used by this replica only.
            core_type: Class of the core; a testbed may pass one that breaks a protocol rule.
            silent_since_s: Monotonic time, in seconds, since which no replica on this file has
                answered a peer, such as the start of this process. None means the time at which
                this replica starts.
            listener: Called with the replica's lock held after the tables have changed.
        """
        self.config = config
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._random = random
        self._core_type = core_type
        self._silent_since_s = silent_since_s
        self._listener = listener
        self._lock = threading.Lock()
        self._inbox = Inbox()
        self._request_ids = itertools.count(1)
        self._pending_results: dict[int, PendingResult] = {}
        self._senders: dict[str, PeerSender] = {}
        self._open_peer_calls: dict[str, PeerCall] = {}
        self._engine: ReplicaEngine | None = None
        self._thread: threading.Thread | None = None
        self._stop_requested = False
        self._fault: Failure | None = None
        self._repairs: list[RepairDone] = []
        self._leadership_changed = threading.Condition()

    def start(self) -> Failure | None:
        """Open the replica's file and start its threads.

        Returns:
            None on success. For a damaged file, a CORRUPT failure: no thread is started, and
            every call returns this failure.
        """
        self._fault = self._open()
        if self._fault is not None:
            return self._fault
        self._thread = threading.Thread(
            target=self._drive, name=f"raft-{self.config.group}", daemon=True
        )
        self._thread.start()
        return None

    def _open(self) -> Failure | None:
        """Open the replica's file and create the engine on it."""
        store = open_or_rejoin(self.config, self._random)
        if isinstance(store, Failure):
            return store
        callbacks = EngineCallbacks(
            outbox=self._send,
            answer=self._answer,
            changed_role=self._role_changed,
            repaired=self._repair_done,
            majority_lost=self._majority_lost,
            listener=self._listener,
        )
        try:
            self._engine = ReplicaEngine(
                self.config,
                self._machine,
                store,
                self._random,
                self._clock.monotonic_s(),
                callbacks,
                self._core_type,
            )
        except StoreCorruptError as error:
            store.close_without_commit()
            return corrupt_failure(self.config.data_path, str(error))
        if self._silent_since_s is not None:
            self._engine.core.backdate_leader_contact(self._silent_since_s)
        return None

    def stop(self) -> None:
        """Transfer leadership if this replica leads, stop the threads and close the file."""
        if self._thread is None or self._engine is None:
            return
        self._transfer_leadership()
        self._stop_requested = True
        self._inbox.wake()
        self._thread.join(STOP_TIMEOUT_S)
        for sender in self._senders.values():
            sender.stop()
        for sender in self._senders.values():
            sender.join(STOP_TIMEOUT_S)
        with self._lock:
            if self._fault is None:
                self._engine.store.close()
            self._fault = self._fault or _stopping_failure()
        self._fail_all(self._fault)

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        """Replicate a command and return its reply (see ``ReplicatedGroup``)."""
        if self._fault is not None:
            return msgspec.structs.replace(self._fault, execution=Execution.NOT_RUN)
        pending_result, request_id = self._register_request()
        proposal = Propose(request_id=request_id, payload=command, wall_ms=self._clock.wall_ms())
        self._inbox.put_proposal(proposal)
        return self._wait(pending_result, request_id, timeout_s, Execution.UNKNOWN)

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        """Run a linearizable query (see ``ReplicatedGroup``)."""
        pending_result, request_id = self._register_request()
        self._inbox.put_read(Read(request_id=request_id), query)
        return self._wait(pending_result, request_id, timeout_s, Execution.NOT_RUN)

    def query_local(self, query: bytes) -> bytes:
        """Run a query on this replica's applied state, which may be stale.

        The reply is an encoded failure when the replica is not running.
        """
        with self._lock:
            if self._fault is not None:
                return encode_reply(self._fault)
            if self._engine is None:
                return encode_reply(_not_started_failure(self.config.group))
            return self._engine.query_local(query)

    def change_members(self, addresses: list[str], timeout_s: float) -> bytes | Failure:
        """Set the target addresses of the voters; the leader then changes the membership.

        Args:
            addresses: RPC addresses that should host the voters.
            timeout_s: Longest time to wait for the target to be committed, in seconds.

        Returns:
            Empty bytes once the target is committed, or a failure. ``status`` shows the progress
            of the membership change.
        """
        pending_result, request_id = self._register_request()
        self._inbox.put(
            ChangeTarget(
                request_id=request_id,
                addresses=tuple(addresses),
                wall_ms=self._clock.wall_ms(),
            )
        )
        return self._wait(pending_result, request_id, timeout_s, Execution.UNKNOWN)

    def receive(self, body: bytes) -> bytes:
        """Handle the messages of a peer's call and return the encoded replies, empty if none."""
        batch = decode_messages(body)
        if isinstance(batch, Failure) or not batch or self._fault is not None:
            return b""
        call = PeerCall(address=batch[0].header.from_address)
        self._inbox.put_call([Received(message) for message in batch], call)
        call.wait(PEER_CALL_TIMEOUT_S)
        return encode_messages(call.replies())

    def receive_snapshot(self, body: bytes) -> bytes:
        """Handle a peer's snapshot chunk in the same way as any other message."""
        return self.receive(body)

    def status(self) -> GroupStatus:
        """Return this replica's view of its group."""
        with self._lock:
            if self._engine is None:
                return unknown_status(self.config)
            status = status_of(self._engine, self._clock.monotonic_s())
            return status if self._fault is None else stopped_status(status)

    def fault(self) -> Failure | None:
        """Return the failure that stopped this replica, or None while it runs."""
        return self._fault

    def repairs(self) -> list[RepairDone]:
        """Return the repairs that were reported as committed on this replica, oldest first."""
        return list(self._repairs)

    def _drive(self) -> None:
        """Run the engine until ``stop`` is called (driver thread)."""
        try:
            more = False
            while not self._stop_requested:
                more = self._drive_once(more)
        except Exception as error:
            logger.exception("group {} stopped serving after an error", self.config.group)
            self._fault = stopped_failure(self.config.data_path, error)
            self._fail_all(self._fault)
            with self._lock:
                if self._engine is not None:
                    self._engine.store.close_without_commit()

    def _drive_once(self, more: bool) -> bool:
        """Handle one batch; return whether committed entries are still waiting to be applied."""
        engine = self._engine
        assert engine is not None
        deadline_s = engine.core.next_deadline_s()
        wait_s = 0.0 if more else deadline_s - self._clock.monotonic_s()
        batch = self._inbox.take(wait_s)
        now_s = self._clock.monotonic_s()
        events: list[Event] = batch.events
        if now_s >= deadline_s:
            events.append(Tick())
        with self._lock:
            for request_id, query in batch.reads:
                engine.add_read(request_id, query)
            self._open_peer_calls = {call.address: call for call in batch.calls}
            if events:
                engine.step(events, now_s)
                metrics.BATCHES.labels(self.config.group).inc()
            self._open_peer_calls = {}
            for call in batch.calls:
                call.done()
            more = engine.apply_committed()
            if not batch.has_events and not more:
                engine.commit_idle()
            self._record_step_time(now_s, deadline_s)
        metrics.APPLIED_INDEX.labels(self.config.group).set(engine.applied_index)
        return more

    def _record_step_time(self, begun_s: float, deadline_s: float) -> None:
        """Report to the core how long this step, and its late start, delayed incoming events."""
        assert self._engine is not None
        now_s = self._clock.monotonic_s()
        self._engine.core.slow_steps.record(now_s, now_s - min(begun_s, deadline_s))

    def _send(self, address: str, message: Message) -> None:
        """Send a message, as part of the reply if a call from that peer is being handled.

        Snapshot chunks are sent by calls of their own, which can be in progress side by side.
        """
        call = self._open_peer_calls.get(address)
        if call is not None and not isinstance(message, SnapshotChunk):
            call.add(message)
            return
        sender = self._senders.get(address)
        if sender is None:
            sender = PeerSender(
                self._transport, self.config.group, address, self._deliver, self._peer_down
            )
            self._senders[address] = sender
        sender.put(message)

    def _deliver(self, batch: list[Message]) -> None:
        self._inbox.put_all([Received(message) for message in batch])

    def _peer_down(self, event: PeerDown) -> None:
        self._inbox.put(event)

    def _register_request(self) -> tuple[PendingResult, int]:
        request_id = next(self._request_ids)
        pending_result = PendingResult()
        self._pending_results[request_id] = pending_result
        return pending_result, request_id

    def _answer(self, request_id: int, result: bytes | Failure) -> None:
        pending_result = self._pending_results.pop(request_id, None)
        if pending_result is not None:
            pending_result.resolve(result)

    def _wait(
        self, pending_result: PendingResult, request_id: int, timeout_s: float, execution: Execution
    ) -> bytes | Failure:
        if self._fault is not None:
            self._answer(request_id, self._fault)
        result = pending_result.wait(timeout_s)
        if result is not None:
            return result
        self._pending_results.pop(request_id, None)
        engine = self._engine
        if engine is not None:
            with self._lock:
                engine.forget(request_id)
        return _timeout_failure(timeout_s, execution)

    def _fail_all(self, failure: Failure) -> None:
        for request_id in list(self._pending_results):
            self._answer(request_id, failure)

    def _role_changed(self, effect: BecameLeader | SteppedDown) -> None:
        leads = isinstance(effect, BecameLeader)
        metrics.IS_LEADER.labels(self.config.group).set(1 if leads else 0)
        if isinstance(effect, SteppedDown):
            logger.info("group {} lost leadership: {}", self.config.group, effect.reason)
        else:
            logger.info("group {} became leader in term {}", self.config.group, effect.term)
        with self._leadership_changed:
            self._leadership_changed.notify_all()

    def _repair_done(self, repair: RepairDone) -> None:
        metrics.REPAIRS.labels(self.config.group).inc()
        self._repairs.append(repair)
        logger.info(
            "group {}: replica {} at {} replaced lost replica {}",
            self.config.group,
            repair.new_id,
            repair.address,
            repair.old_id,
        )

    def _majority_lost(self, event: MajorityLost) -> None:
        logger.error(
            "group {} has lost the disks of a majority of its voters: new replicas answer at {}. "
            "It cannot elect a leader and serves no requests until an operator founds it again; "
            "see docs/operators/durable-state.md, 'A quorum is lost'",
            self.config.group,
            ", ".join(event.lost),
        )

    def _transfer_leadership(self) -> None:
        """Transfer leadership to another voter, so that a planned stop causes no leaderless gap."""
        engine = self._engine
        assert engine is not None
        if engine.core.role is not Role.LEADER or len(engine.core.configuration.voter_ids()) < 2:
            return
        self._inbox.put(TransferLeadership())
        with self._leadership_changed:
            self._leadership_changed.wait_for(
                lambda: engine.core.role is not Role.LEADER, TRANSFER_TIMEOUT_S
            )


def start_replica(replica: GroupReplica) -> Failure | None:
    """Start a replica; return a failure if its file cannot be opened, read or written."""
    try:
        return replica.start()
    except (OSError, sqlite3.Error) as error:
        return stopped_failure(replica.config.data_path, error)


def _timeout_failure(timeout_s: float, execution: Execution) -> Failure:
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason=f"no quorum answered within {timeout_s:g} s",
        step=Step.PROPOSING,
        execution=execution,
    )


def _not_started_failure(group: str) -> Failure:
    # The kind is the one of a process that stops: callers turn to another process in both cases.
    return Failure(
        kind=FailureKind.STOPPING,
        reason=f"the replica of {group} has not started yet; send the request to another process",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )


def _stopping_failure() -> Failure:
    return Failure(
        kind=FailureKind.STOPPING,
        reason="this process is stopping; send the request to another process",
        step=Step.STOPPING,
        execution=Execution.UNKNOWN,
    )
