"""Simulates the engines of one group in virtual time, with seeded network and disk faults."""

from __future__ import annotations

import heapq
import itertools
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tests.unit.consensus_support import LogMachine

from leverjunction.consensus.api import ApplyContext, StateMachine
from leverjunction.consensus.core import RaftCore
from leverjunction.consensus.engine import EngineCallbacks, ReplicaEngine
from leverjunction.consensus.events import (
    BecameLeader,
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
from leverjunction.consensus.store import Store, open_store
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Failure

QUIET_END_S = 30.0


class CrashedError(Exception):
    """The simulated process crashed before the sync of a batch."""


class CrashingStore(Store):
    """A store that can crash the process in a commit, before anything is durable."""

    crash_next = False

    def commit(self) -> None:
        if self.crash_next:
            raise CrashedError
        super().commit()


class CheckedMachine(LogMachine):
    """A state machine that checks that all replicas apply the same command at the same index."""

    def __init__(self, applied: dict[int, bytes]) -> None:
        self._applied = applied

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        known = self._applied.setdefault(context.index, command)
        assert known == command, f"replicas differ at index {context.index}"
        return super().apply(connection, context, command)


@dataclass
class Node:
    """A machine, whose disk survives a crash of its process unless it is wiped."""

    address: str
    connection: sqlite3.Connection | None = None
    engine: ReplicaEngine | None = None
    starts: int = 0


@dataclass
class Faults:
    """Probabilities and counts of faults.

    The probabilities are per message or step; ``counts`` counts the faults that occurred.
    """

    drop: float = 0.05
    repeat: float = 0.05
    crash_in_sync: float = 0.002
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


class Simulation:
    """A group of ``size`` nodes; ``run`` executes events up to a virtual time."""

    chunk_bytes = 64
    kept_entries = 0
    """Entries that each log retains; 0 to draw the number at each start."""

    def __init__(self, seed: int, size: int, core_type: type[RaftCore] = RaftCore) -> None:
        self.random = Random(seed)
        self.core_type = core_type
        self.faults = Faults()
        self.now_s = 100.0
        self.addresses = [f"n{number}" for number in range(size)]
        self.founders = list(self.addresses)
        self.nodes = {address: Node(address) for address in self.addresses}
        self.applied: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.acked: set[bytes] = set()
        self.repairs: list[RepairDone] = []
        self.unrepaired: str = ""
        self.partitioned: set[str] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._pending: dict[tuple[str, int], Callable[[bytes | Failure], None]] = {}
        for address in self.addresses:
            self.start(address)

    def make_machine(self, address: str) -> StateMachine:
        """Return the state machine of a starting replica."""
        return CheckedMachine(self.applied)

    def listen(self, address: str, replaced: bool) -> None:
        """Handle a notification that the tables of a replica have changed."""

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._numbers), action))

    def run(self, until_s: float) -> None:
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = until_s

    def start(self, address: str) -> None:
        node = self.nodes[address]
        if node.engine is not None:
            return
        node.starts += 1
        if node.connection is None:
            opened = open_store(":memory:", self.random)
            assert not isinstance(opened, Failure)
            node.connection = opened.connection
        config = GroupConfig(
            group="root",
            address=address,
            first_members=tuple(self.founders),
            log_kept_entries=self.kept_entries or self.random.choice([2, 20, 1000]),
            snapshot_chunk_bytes=self.chunk_bytes,
            max_batch_entries=self.random.choice([1, 5, 100]),
        )
        callbacks = EngineCallbacks(
            outbox=lambda to, message: self._post(address, to, message),
            answer=lambda request_id, result: self._answer(address, request_id, result),
            changed_role=lambda effect: self._role_changed(node, effect),
            repaired=self._repaired,
            listener=lambda replaced: self.listen(address, replaced),
        )
        node.engine = ReplicaEngine(
            config,
            self.make_machine(address),
            CrashingStore(node.connection, self.random, None),
            self.random,
            self.now_s,
            callbacks,
            self.core_type,
        )
        self._schedule_tick(node)

    def crash(self, address: str) -> None:
        node = self.nodes[address]
        if node.engine is not None:
            node.engine.store.discard_uncommitted()
            node.engine = None
            self.faults.count("crash")

    def wipe(self, address: str) -> None:
        """Lose a machine's disk, unless an earlier loss is still unrepaired."""
        founded = self.nodes[address].engine is not None and bool(self.acked)
        if self.unrepaired or not founded:
            return
        self.crash(address)
        self.nodes[address].connection = None
        self.unrepaired = address
        self.faults.count("wipe")
        self.at(self.random.uniform(0.1, 2.0), lambda: self.start(address))

    def step(self, address: str, events: list[Event]) -> None:
        node = self.nodes[address]
        engine = node.engine
        if engine is None:
            return
        store = engine.store
        assert isinstance(store, CrashingStore)
        store.crash_next = self.random.random() < self.faults.crash_in_sync
        try:
            engine.step(events, self.now_s)
            engine.apply_committed()
        except CrashedError:
            self.faults.count("crash in sync")
            self.crash(address)
            self.at(self.random.uniform(0.01, 1.0), lambda: self.start(address))
            return
        if self.random.random() < 0.3:
            store.crash_next = False
            engine.commit_idle()

    def propose(self, address: str, command: bytes) -> None:
        def answered(result: bytes | Failure) -> None:
            if isinstance(result, bytes):
                self.acked.add(command)

        self.put(address, self._expect(address, answered), command)

    def put(self, address: str, request_id: int, command: bytes) -> None:
        """Propose a command on a replica."""
        self.step(address, [Propose(request_id, command, int(self.now_s * 1000))])

    def read(self, address: str) -> None:
        """Read all commands; the result must include every command acknowledged before."""
        before = set(self.acked)

        def answered(result: bytes | Failure) -> None:
            if isinstance(result, bytes):
                self.faults.count("read answered")
                assert before <= set(result.split(b",")), "a linearizable read missed a write"

        engine = self.nodes[address].engine
        if engine is not None:
            request_id = self._expect(address, answered)
            engine.add_read(request_id, b"*")
            self.step(address, [Read(request_id)])

    def heal(self) -> None:
        """End all faults and let the group settle."""
        self.faults = Faults(drop=0, repeat=0, crash_in_sync=0, counts=self.faults.counts)
        self.partitioned.clear()
        for address in self.addresses:
            self.start(address)
        self.run(self.now_s + QUIET_END_S)

    def check_end(self) -> None:
        """Check that every replica holds every acknowledged command exactly once."""
        states = [self._state(node) for node in self.nodes.values()]
        assert all(state == states[0] for state in states), "replicas did not converge"
        assert len(states[0]) == len(set(states[0])), "a command was applied twice"
        assert self.acked <= set(states[0]), "an acknowledged command is lost"
        assert not self.unrepaired, "a lost replica was not repaired"

    def _state(self, node: Node) -> list[bytes]:
        assert node.engine is not None
        assert node.engine.core.is_voter(), f"{node.address} does not vote"
        return node.engine.query_local(b"*").split(b",")

    def _expect(self, address: str, answered: Callable[[bytes | Failure], None]) -> int:
        request_id = next(self._numbers)
        self._pending[address, request_id] = answered
        return request_id

    def _answer(self, address: str, request_id: int, result: bytes | Failure) -> None:
        answered = self._pending.pop((address, request_id), None)
        if answered is not None:
            answered(result)

    def _post(self, origin: str, to: str, message: Message) -> None:
        if (origin in self.partitioned) != (to in self.partitioned):
            return
        if self.random.random() < self.faults.drop:
            return
        copies = 2 if self.random.random() < self.faults.repeat else 1
        for _ in range(copies):
            delay_s = self.random.uniform(0.0005, 0.02)
            if self.random.random() < self.faults.repeat:
                delay_s += self.random.uniform(0.0, 3.0)
            self.at(delay_s, lambda: self._arrive(origin, to, message))

    def _arrive(self, origin: str, to: str, message: Message) -> None:
        """Deliver a message; the port of an ended process usually refuses the connection."""
        if self.nodes[to].engine is not None:
            self.step(to, [Received(message)])
        elif self.random.random() >= self.faults.drop:
            self.faults.count("refused connection")
            gone = PeerDown(address=to, term=message.header.term)
            self.at(self.random.uniform(0.0005, 0.5), lambda: self.step(origin, [gone]))

    def _schedule_tick(self, node: Node) -> None:
        engine = node.engine
        assert engine is not None
        delay_s = max(0.001, min(engine.core.next_deadline_s() - self.now_s, 0.5))

        def tick() -> None:
            if node.engine is engine:
                self.step(node.address, [Tick()])
            if node.engine is engine:
                self._schedule_tick(node)

        self.at(delay_s, tick)

    def _role_changed(self, node: Node, effect: BecameLeader | SteppedDown) -> None:
        if isinstance(effect, SteppedDown) or node.engine is None:
            return
        replica_id = node.engine.core.replica_id
        known = self.leaders.setdefault(effect.term, replica_id)
        assert known == replica_id, f"two leaders in term {effect.term}"

    def _repaired(self, repair: RepairDone) -> None:
        if repair in self.repairs:
            return
        self.repairs.append(repair)
        if repair.address == self.unrepaired:
            self.unrepaired = ""
            if self.random.random() < 0.3:
                self.at(0.0, lambda: self.wipe(self.random.choice(self.addresses)))
