"""Runs the product's replica engine over the simulated network, on a disk that crashes and wipes.

Core, store, snapshots and state machines are the product's. A step's sync takes virtual time: what
the engine sends after its commit leaves the machine only then. A crash may strike inside a sync,
before or after it took effect.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from leverjunction.consensus.api import StateMachine
from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.engine import EngineCallbacks, ReplicaEngine
from leverjunction.consensus.events import (
    BecameLeader,
    ChangeTarget,
    Event,
    PeerDown,
    Propose,
    Read,
    Received,
    RepairDone,
    SteppedDown,
    Tick,
)
from leverjunction.consensus.messages import Message
from leverjunction.consensus.store import MEMORY_PATH, Store, open_store
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Failure
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, Reply

SYNC_FASTEST_S = 0.0005
SYNC_MEAN_S = 0.002
SYNC_STALL_SHARE = 0.01
SYNC_STALL_S = 0.4
TIMER_SLACK_S = 0.002


class SimulatedCrashError(Exception):
    """Ends a step in the middle of a sync: the process is gone."""


class ReplicaDisk:
    """What outlives the process: the store's committed state.

    Attributes:
        store: The product's store, in memory.
        crash_in_sync: Set by a fault: the next sync ends the process.
        commits: Number of syncs.
        slow_sync_s: Longest further time of a sync.
        stalled_until_s: No sync ends before, by the steady clock of its machine.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self.crash_in_sync = False
        self.commits = 0
        self.slow_sync_s = 0.0
        self.stalled_until_s = 0.0
        self.store = self._new_store()

    def wipe(self) -> None:
        """Lose everything; the next start is blank, with another replica id."""
        self.store.connection.close()
        self.store = self._new_store()
        self.crash_in_sync = False

    def crash(self) -> None:
        """Lose what was not synced."""
        self.store.discard_uncommitted()
        self.crash_in_sync = False

    def _new_store(self) -> Store:
        store = open_store(MEMORY_PATH, self._random)
        assert not isinstance(store, Failure)
        commit = store.commit

        def observed_commit() -> None:
            self._commit(commit)

        store.commit = observed_commit  # type: ignore[method-assign]
        return store

    def _commit(self, commit: Callable[[], None]) -> None:
        if self.store.connection.in_transaction:
            self.commits += 1
        if not self.crash_in_sync:
            commit()
            return
        if self._random.random() < 0.5:
            commit()
        raise SimulatedCrashError


class Replica:
    """One replica of one group in one control process.

    Attributes:
        config: Its group's configuration.
        engine: The product's engine, made anew at each start.
        disk: Its disk, which outlives the process.
        on_leader: Called when it begins or ceases to lead.
        on_repair: Called when it reports a repair as done.
        on_crash: Called when a crash strikes inside a sync.
        on_applied: Called after commands were applied, or a snapshot installed.
    """

    engine_type: type[ReplicaEngine] = ReplicaEngine
    core_type: type[RaftCore] = RaftCore

    def __init__(
        self,
        config: GroupConfig,
        machine: Machine,
        network: Network,
        state_machine: StateMachine,
        generator: random.Random,
        peers: dict[str, dict[str, Replica]],
    ) -> None:
        self.config = config
        self.disk = ReplicaDisk(generator)
        self.on_leader: Callable[[bool], None] = lambda _leads: None
        self.on_repair: Callable[[RepairDone], None] = lambda _done: None
        self.on_crash: Callable[[], None] = lambda: None
        self.on_applied: Callable[[], None] = lambda: None
        self._machine = machine
        self._network = network
        self._state_machine = state_machine
        self._random = generator
        self._peers = peers
        self._next_request = 0
        self.start()

    def start(self) -> None:
        """Load what is durable and begin."""
        self.engine = self.engine_type(
            self.config,
            self._state_machine,
            self.disk.store,
            self._random,
            self._machine.monotonic_s(),
            EngineCallbacks(
                outbox=self._send,
                answer=self._answer,
                changed_role=self._changed_role,
                repaired=lambda done: self.on_repair(done),
                listener=lambda _replaced: self.on_applied(),
            ),
            self.core_type,
        )
        self._inbox: list[Event] = []
        self._replies: dict[int, Reply] = {}
        self._busy = False
        self._commits_before = self.disk.commits
        self._delayed: list[Callable[[], None]] = []
        self._timer_due_s = float("inf")
        self._set_timer()

    @property
    def core(self) -> RaftCore:
        """Return the core."""
        return self.engine.core

    @property
    def leads(self) -> bool:
        """Return whether this replica leads its group."""
        return self.core.role == "leader"

    def propose(self, command: bytes, reply: Reply) -> None:
        """Replicate a command; the reply comes once it is applied here."""
        request_id = self._register(reply)
        self._handle(Propose(request_id, command, self._machine.wall_ms()))

    def query(self, query: bytes, reply: Reply) -> None:
        """Answer a linearizable read on the leader."""
        request_id = self._register(reply)
        self.engine.add_read(request_id, query)
        self._handle(Read(request_id))

    def query_local(self, query: bytes) -> bytes:
        """Answer from the applied state of this replica."""
        return self.engine.query_local(query)

    def change_members(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses that shall hold the voters; the leader works towards it."""
        request_id = self._register(lambda _result: None)
        self._handle(ChangeTarget(request_id, addresses, self._machine.wall_ms()))

    def receive(self, message: Message) -> None:
        """Handle a message of a peer."""
        self._handle(Received(message))

    def _register(self, reply: Reply) -> int:
        self._next_request += 1
        self._replies[self._next_request] = reply
        return self._next_request

    def _handle(self, event: Event) -> None:
        """Queue an event; one batch of events is handled and synced at a time."""
        self._inbox.append(event)
        if not self._busy:
            self._run()

    def _run(self) -> None:
        while self._inbox and not self._busy:
            events, self._inbox = self._inbox, []
            if not self._step(events):
                return
        self._set_timer()

    def _step(self, events: list[Event]) -> bool:
        """Handle one batch; False when a crash struck in its sync."""
        self._commits_before = self.disk.commits
        try:
            self.engine.step(events, self._machine.monotonic_s())
            while self.engine.apply_committed():
                pass
        except SimulatedCrashError:
            self.on_crash()
            return False
        if self.disk.commits > self._commits_before:
            self._busy = True
            self._machine.after(self._sync_time_s(), self._synced)
        return True

    def _sync_time_s(self) -> float:
        duration_s = SYNC_FASTEST_S + self._random.expovariate(1.0) * SYNC_MEAN_S
        if self._random.random() < SYNC_STALL_SHARE:
            duration_s += self._random.random() * SYNC_STALL_S
        if self.disk.slow_sync_s > 0.0:
            duration_s += self._random.random() * self.disk.slow_sync_s
        return max(duration_s, self.disk.stalled_until_s - self._machine.monotonic_s())

    def _synced(self) -> None:
        """The sync's time is over: what waited for it leaves, and the next batch begins."""
        self._busy = False
        delayed, self._delayed = self._delayed, []
        for leave in delayed:
            leave()
        self._run()

    def _send(self, address: str, message: Message) -> None:
        self._leave(lambda: self._post(address, message))

    def _post(self, address: str, message: Message) -> None:
        origin = self._machine.name
        if self._network.refuses(origin, address):
            gone = PeerDown(address=address, term=message.header.term)
            delay_s = self._network.ordered_delay_s(origin, address)
            self._machine.after(delay_s, lambda: self._handle(gone))
            return
        peer = self._peers[address][self.config.group]
        self._network.send(origin, address, lambda: peer.receive(message))

    def _answer(self, request_id: int, result: bytes | Failure) -> None:
        reply = self._replies.pop(request_id, None)
        if reply is not None:
            self._leave(lambda: reply(result))

    def _leave(self, action: Callable[[], None]) -> None:
        """Let something out at once, or after the sync that the running step has made."""
        if self._busy or self.disk.commits > self._commits_before:
            self._delayed.append(action)
        else:
            action()

    def _changed_role(self, change: BecameLeader | SteppedDown) -> None:
        leads = isinstance(change, BecameLeader)
        self._machine.after(0.0, lambda: self.on_leader(leads))

    def _set_timer(self) -> None:
        if self._busy:
            # The end of the sync sets it: a tick now would only wait for that.
            return
        due_s = max(self.core.next_deadline_s(), self._machine.monotonic_s() + TIMER_SLACK_S)
        if due_s < self._timer_due_s - TIMER_SLACK_S:
            self._timer_due_s = due_s
            self._machine.after(due_s - self._machine.monotonic_s(), lambda: self._fire(due_s))

    def _fire(self, due_s: float) -> None:
        if due_s != self._timer_due_s:
            return
        self._timer_due_s = float("inf")
        if self._machine.monotonic_s() >= self.core.next_deadline_s() - TIMER_SLACK_S / 2:
            self._handle(Tick())
        self._set_timer()
