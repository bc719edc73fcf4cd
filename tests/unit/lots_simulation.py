"""Simulation of the lots group in virtual time, with lost disks and replaced machines.

The expected tables are computed from the committed commands alone: these are applied in order to an
empty database, without crashes and snapshots.
"""

from __future__ import annotations

import itertools
import sqlite3
from collections.abc import Callable
from random import Random

from tests.unit.consensus_simulation import Faults, Node, Simulation
from tests.unit.replica_tables import Rows, read_tables

from leverjunction.consensus.api import ApplyContext, StateMachine
from leverjunction.consensus.events import ChangeTarget, Read, RepairDone
from leverjunction.consensus.types import Role
from leverjunction.errors import Failure
from leverjunction.lots import progress_rows
from leverjunction.lots.commands import (
    EndLot,
    ForgetLots,
    ItemFailure,
    ItemProgress,
    ItemResult,
    ItemState,
    LotCommand,
    LotItem,
    ReadResults,
    RecordRuns,
    ResultsPage,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.wire.codec import decode_reply, encode

RECOVERY_TIMEOUT_S = 200.0
RECOVERY_STEP_S = 5.0
REPEAT_WINDOW_S = 5.0
FORGET_AGE_S = (12.0, 25.0)
"""Range of the age from which lots are deleted, in seconds; no command is repeated that late."""

KILL_DELAY_S = (0.005, 0.4)
"""Range of the delay before all replicas are killed, in seconds."""

ItemKey = tuple[str, str]


class RecordingStateMachine(LotsStateMachine):
    """Records each committed command; asserts that all replicas apply the same at an index."""

    def __init__(self, log: dict[int, tuple[ApplyContext, bytes]]) -> None:
        super().__init__()
        self._log = log

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        known = self._log.setdefault(context.index, (context, command))
        assert known == (context, command), f"replicas differ at index {context.index}"
        return super().apply(connection, context, command)


class LotsSimulation(Simulation):
    """A group with voters and spare machines; ``step_randomly`` performs one random action.

    Attributes:
        log: Committed commands by index, with their contexts.
        sent: Commands sent, with the time of sending in seconds.
        events: Number of events of each item.
        lots: Ids of the submitted lots.
        read_results: Longest list of results that a read has returned, by lot.
        lost_disks: Addresses whose disk was lost and not repaired yet.
        max_lost_disks: Number of disks that the group can lose at once.
        target: Addresses of the machines that should be voters.
        spares: Addresses of the empty machines.
    """

    chunk_bytes = 300

    def __init__(self, seed: int, size: int, spares: int = 2) -> None:
        self.log: dict[int, tuple[ApplyContext, bytes]] = {}
        self.sent: list[tuple[float, bytes]] = []
        self.events: dict[ItemKey, int] = {}
        self.lots: list[str] = []
        self.read_results: dict[str, tuple[ItemResult, ...]] = {}
        self.lost_disks: set[str] = set()
        self.max_lost_disks = (size - 1) // 2
        self._lot_numbers = itertools.count()
        super().__init__(seed, size)
        self.target = set(self.addresses)
        self.spares = [f"n{size + number}" for number in range(spares)]
        for address in self.spares:
            self.nodes[address] = Node(address)

    def make_machine(self, address: str) -> StateMachine:
        return RecordingStateMachine(self.log)

    def leader(self) -> Node | None:
        """Return the leader of the highest term."""
        leaders = [
            (node.engine.core.term, address)
            for address, node in self.nodes.items()
            if node.engine is not None and node.engine.core.role is Role.LEADER
        ]
        return self.nodes[max(leaders)[1]] if leaders else None

    def step_randomly(self) -> None:
        """Perform one random action of a client or an operator, or cause a fault."""
        self._remove_old_machines()
        actions: list[tuple[float, Callable[[], None]]] = [
            (0.16, self._submit_lot),
            (0.40, self._record_runs),
            (0.10, self._repeat_command),
            (0.03, self._end_lot),
            (0.02, self._forget_lots),
            (0.10, self._query_results),
            (0.04, self._crash_one),
            (0.03, self._lose_disk),
            (0.03, self._partition),
            (0.03, self._replace_machine),
            (0.02, self._kill_all_soon),
            (0.04, lambda: None),
        ]
        weights = [weight for weight, _ in actions]
        self.random.choices([action for _, action in actions], weights)[0]()

    def _send(self, command: LotCommand) -> None:
        self._send_bytes(encode_command(command))

    def _send_bytes(self, body: bytes) -> None:
        def answered(result: bytes | Failure) -> None:
            if isinstance(result, bytes):
                self.acked.add(body)
                self.faults.count("acknowledged")

        self.sent.append((self.now_s, body))
        leader = self.leader()
        if leader is None or self.random.random() < 0.05:
            address = self.random.choice(sorted(self.target))
        else:
            address = leader.address
        if self.nodes[address].engine is not None:
            self.put(address, self._expect(address, answered), body)

    def _submit_lot(self) -> None:
        lot_id = f"lot-{next(self._lot_numbers)}"
        items = [f"i{number}" for number in range(self.random.randint(1, 8))]
        for item in items:
            self.events[lot_id, item] = self.random.randint(1, 6)
        self.lots.append(lot_id)
        self._send(
            SubmitLot(
                lot_id=lot_id,
                host="h",
                path="/p/",
                max_attempts=3,
                give_up_s=0.0,
                due_ms=1000.0,
                items=tuple(
                    LotItem(
                        item_id=item,
                        path="/p/",
                        headers=(("a", "b"),),
                        body=self.random.randbytes(self.random.randint(0, 120)),
                        tokens=7,
                    )
                    for item in items
                ),
            )
        )

    def _record_runs(self) -> None:
        """Record output of open items, mostly continuing the events that the leader has."""
        leader = self.leader()
        if leader is None or leader.connection is None:
            return
        rows = leader.connection.execute("SELECT lot, item FROM sm_lot_item").fetchall()
        chosen = self.random.sample(rows, min(len(rows), self.random.randint(1, 6)))
        results: list[ItemResult] = []
        failures: list[ItemFailure] = []
        progress: list[ItemProgress] = []
        for lot, item in chosen:
            start = progress_rows.recorded_progress(leader.connection, lot, item).count
            if self.random.random() < 0.1:
                start = self.random.randint(0, self.events[lot, item])
            kind = self.random.random()
            if kind < 0.4 and start < self.events[lot, item]:
                progress.append(self._progress(lot, item, start))
            if 0.3 < kind < 0.8:
                results.append(self._result(lot, item, start))
            elif kind >= 0.8:
                failures.append(ItemFailure(lot_id=lot, item_id=item))
        self._send(
            RecordRuns(results=tuple(results), failures=tuple(failures), progress=tuple(progress))
        )

    def _progress(self, lot: str, item: str, start: int) -> ItemProgress:
        count = self.random.randint(1, self.events[lot, item] - start)
        return ItemProgress(
            lot_id=lot,
            item_id=item,
            start=start,
            count=count,
            last_id=str(start + count),
            text=_text(start, start + count),
        )

    def _result(self, lot: str, item: str, start: int) -> ItemResult:
        if self.random.random() < 0.1:
            return ItemResult(lot_id=lot, item_id=item, state=ItemState.DEAD)
        end = max(start, self.events[lot, item])
        return ItemResult(
            lot_id=lot,
            item_id=item,
            state=ItemState.DONE,
            text=_text(start, end),
            start=start,
            count=end - start,
        )

    def _repeat_command(self) -> None:
        """Send a recent command again, as a client does after an unknown outcome."""
        self.sent = [sent for sent in self.sent if self.now_s - sent[0] < REPEAT_WINDOW_S]
        if self.sent:
            self._send_bytes(self.random.choice(self.sent)[1])

    def _end_lot(self) -> None:
        if self.lots:
            self._send(EndLot(self.random.choice(self.lots)))

    def _forget_lots(self) -> None:
        age_s = self.random.uniform(*FORGET_AGE_S)
        self._send(ForgetLots(before_ms=int((self.now_s - age_s) * 1000)))

    def _query_results(self) -> None:
        """Read results at the leader; assert that earlier results are still there."""
        leader = self.leader()
        if leader is None or leader.engine is None or not self.lots:
            return
        lot = self.random.choice(self.lots)
        before = self.read_results.get(lot, ())

        def answered(result: bytes | Failure) -> None:
            page = decode_reply(result, ResultsPage) if isinstance(result, bytes) else result
            if not isinstance(page, Failure):
                assert page.results[: len(before)] == before, "a read returned an older state"
                self.read_results[lot] = max(page.results, self.read_results.get(lot, ()), key=len)
                self.faults.count("read answered")

        request_id = self._expect(leader.address, answered)
        query = encode(ReadResults(lot_id=lot, after=0, most_bytes=1_000_000))
        leader.engine.add_read(request_id, query)
        self.step(leader.address, [Read(request_id)])

    def _crash_one(self) -> None:
        address = self.random.choice(sorted(self.target))
        self.crash(address)
        self.at(self.random.uniform(0.0, 2.0), lambda: self._restart(address))

    def _restart(self, address: str) -> None:
        """Start a machine unless it is a spare; voters to be removed run until they are spares."""
        if address not in self.spares:
            self.start(address)

    def _kill_all_soon(self) -> None:
        """Kill every process after a short random delay."""
        self.at(self.random.uniform(*KILL_DELAY_S), self.kill_all)

    def kill_all(self) -> None:
        """Kill every process at once; the disks are kept."""
        self.faults.count("all killed")
        for address in sorted(self.nodes):
            if self.nodes[address].engine is not None:
                self.crash(address)
                self.at(self.random.uniform(0.0, 1.5), lambda a=address: self._restart(a))

    def _lose_disk(self) -> None:
        """Lose the disk of a healthy voter, if the group can tolerate one more lost disk."""
        leader = self.leader()
        if leader is None or leader.engine is None or not self.acked:
            return
        voters = {m.address for m in leader.engine.core.configuration.members if m.voter}
        healthy = sorted((self.target & voters) - self.lost_disks)
        if (
            len(self.lost_disks) < self.max_lost_disks
            and len(voters) == len(self.founders)
            and healthy
        ):
            address = self.random.choice(healthy)
            self.lost_disks.add(address)
            self.crash(address)
            self.nodes[address].connection = None
            self.faults.count("disk lost")
            self.at(self.random.uniform(0.05, 2.0), lambda: self._restart(address))

    def _repaired(self, repair: RepairDone) -> None:
        """Record a repair; replicas that restart also report earlier ones."""
        engine = self.nodes[repair.address].engine
        if engine is not None and engine.core.replica_id == repair.new_id:
            self.lost_disks.discard(repair.address)
        if repair not in self.repairs:
            self.repairs.append(repair)

    def _partition(self) -> None:
        self.partitioned = set(self.random.sample(sorted(self.nodes), self.random.randint(1, 2)))
        self.at(self.random.uniform(0.1, 3.0), self.partitioned.clear)

    def _replace_machine(self) -> None:
        """Replace the machine of a random voter by a spare."""
        leader = self.leader()
        if leader is None or leader.engine is None or self.lost_disks or not self.spares:
            return
        if {m.address for m in leader.engine.core.configuration.members} != self.target:
            return
        removed = self.random.choice(sorted(self.target))
        added = self.spares.pop(0)
        self.target = (self.target - {removed}) | {added}
        self.nodes[added] = Node(added)
        self.start(added)
        self.faults.count("machine replaced")
        self._request_target()

    def _request_target(self) -> None:
        leader = self.leader()
        if leader is None or leader.engine is None:
            return
        wanted = tuple(sorted(self.target))
        if leader.engine.core.configuration.target != wanted:
            request_id = self._expect(leader.address, lambda _result: None)
            change = ChangeTarget(
                request_id=request_id, addresses=wanted, wall_ms=int(self.now_s * 1000)
            )
            self.step(leader.address, [change])

    def _remove_old_machines(self) -> None:
        """Repeat the request for the target machines; wipe those that the group has removed."""
        self._request_target()
        leader = self.leader()
        if leader is None or leader.engine is None:
            return
        core = leader.engine.core
        if core.configuration.target != tuple(sorted(self.target)):
            return
        if core.log.configuration_index > core.commit_index:
            return
        members = {member.address for member in core.configuration.members}
        if members != self.target:
            return
        for address in sorted(set(self.nodes) - self.target - set(self.spares)):
            self.crash(address)
            self.nodes[address].connection = None
            self.spares.append(address)

    def recover(self) -> None:
        """End all faults, wait until the group has settled, and check its state."""
        previous_faults = self.faults
        self.faults = Faults(drop=0, repeat=0, crash_in_sync=0, counts=previous_faults.counts)
        until_s = self.now_s + RECOVERY_TIMEOUT_S
        while self.now_s < until_s:
            self.partitioned.clear()
            for address in sorted(self.nodes):
                self._restart(address)
            self._remove_old_machines()
            self.run(self.now_s + RECOVERY_STEP_S)
            if self._is_settled():
                break
        self.check()
        self.faults = previous_faults

    def _is_settled(self) -> bool:
        leader = self.leader()
        if leader is None or leader.engine is None:
            return False
        members = leader.engine.core.configuration.members
        if {m.address for m in members if m.voter} != self.target or len(members) != len(
            self.target
        ):
            return False
        engines = [self.nodes[address].engine for address in self.target]
        last = leader.engine.core.log.last_index
        return all(engine is not None and engine.applied_index == last for engine in engines)

    def check(self) -> None:
        """Assert that all replicas have the state that results from the committed commands."""
        assert self._is_settled(), "the group did not settle"
        expected = self._replayed()
        for address in sorted(self.target):
            connection = self.nodes[address].connection
            assert connection is not None
            assert read_tables(connection) == expected, f"{address} differs from the log"
        committed = {command for _, command in self.log.values()}
        assert self.acked <= committed, "an acknowledged command is lost"
        self._check_invariants(expected)

    def _replayed(self) -> Rows:
        connection = sqlite3.connect(":memory:", isolation_level=None)
        machine = LotsStateMachine()
        machine.create_tables(connection)
        for index in sorted(self.log):
            machine.apply(connection, *self.log[index])
        tables = read_tables(connection)
        connection.close()
        return tables

    def _check_invariants(self, tables: Rows) -> None:
        open_items = {(row[0], row[1]) for row in tables["sm_lot_item"]}
        assert open_items == {(row[0], row[1]) for row in tables["sm_lot_body"]}
        assert {(row[0], row[1]) for row in tables["sm_lot_part"]} <= open_items
        for lot, *_, ended, total, listed in tables["sm_lot"]:
            results = [row for row in tables["sm_lot_result"] if row[0] == lot]
            assert [row[1] for row in results] == list(range(listed)), "positions are not dense"
            assert len({row[2] for row in results}) == listed, "an item has two results"
            open_count = sum(1 for key in open_items if key[0] == lot)
            assert open_count == 0 if ended else open_count + listed == total
            for _, _, item, state, text in results:
                if state == ItemState.DONE.value:
                    assert text == _text(0, self.events[lot, item]), (
                        "the text is not the item's output"
                    )
        lots = {row[0] for row in tables["sm_lot"]}
        assert {row[0] for table in tables.values() for row in table} <= lots


def simulate(seed: int, size: int, rounds: int, steps: int) -> LotsSimulation:
    """Run rounds of random actions and faults, with a recovery and a check after each round.

    Args:
        seed: Seed of all random choices.
        size: Number of voters.
        rounds: Number of rounds.
        steps: Number of actions in each round.

    Returns:
        The simulation, with the counts of the faults that occurred.
    """
    simulation = LotsSimulation(seed, size)
    simulation.run(simulation.now_s + 5.0)
    pauses = Random(seed)
    for _ in range(rounds):
        for _ in range(steps):
            simulation.step_randomly()
            simulation.run(simulation.now_s + pauses.uniform(0.0, 0.15))
        simulation.recover()
    return simulation


def _text(start: int, end: int) -> str:
    return "\n".join(str(number) for number in range(start, end))
