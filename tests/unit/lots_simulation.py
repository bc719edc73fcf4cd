"""The group that keeps lots in virtual time: its commands, lost disks and changing machines.

What its tables must hold is told by the committed commands alone: they are applied once more, in
order, on an empty database that knows no crash and no snapshot.
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

CALM_AT_MOST_S = 200.0
CALM_STEP_S = 5.0
REPEATED_WITHIN_S = 5.0
FORGET_AGE_S = (12.0, 25.0)
"""Age of lots that are forgotten, in seconds: no command is sent again so late."""

KILL_AFTER_S = (0.005, 0.4)
"""When all replicas are killed after an answer, in seconds."""

ItemKey = tuple[str, str]


class RecordingLots(LotsStateMachine):
    """Notes each committed command; every replica must be given the same at an index."""

    def __init__(self, log: dict[int, tuple[ApplyContext, bytes]]) -> None:
        super().__init__()
        self._log = log

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        known = self._log.setdefault(context.index, (context, command))
        assert known == (context, command), f"replicas differ at index {context.index}"
        return super().apply(connection, context, command)


class LotsSimulation(Simulation):
    """Voters and spare machines; ``act`` does one random thing."""

    chunk_bytes = 300

    def __init__(self, seed: int, size: int, spares: int = 2) -> None:
        self.log: dict[int, tuple[ApplyContext, bytes]] = {}
        self.sent: list[tuple[float, bytes]] = []
        self.events: dict[ItemKey, int] = {}
        self.lots: list[str] = []
        self.shown: dict[str, tuple[ItemResult, ...]] = {}
        self.lost: set[str] = set()
        self.most_lost = (size - 1) // 2
        self._lot_numbers = itertools.count()
        super().__init__(seed, size)
        self.target = set(self.addresses)
        self.spares = [f"n{size + number}" for number in range(spares)]
        for address in self.spares:
            self.nodes[address] = Node(address)

    def make_machine(self, address: str) -> StateMachine:
        return RecordingLots(self.log)

    def leader(self) -> Node | None:
        """Return the leader of the highest term."""
        leaders = [
            (node.engine.core.term, address)
            for address, node in self.nodes.items()
            if node.engine is not None and node.engine.core.role is Role.LEADER
        ]
        return self.nodes[max(leaders)[1]] if leaders else None

    def act(self) -> None:
        """Let a client, an operator or a fault act."""
        self._take_away()
        actions: list[tuple[float, Callable[[], None]]] = [
            (0.16, self._submit),
            (0.40, self._record),
            (0.10, self._repeat),
            (0.03, self._end),
            (0.02, self._forget),
            (0.10, self._read_results),
            (0.04, self._crash_one),
            (0.03, self._lose_disk),
            (0.03, self._cut),
            (0.03, self._change_machines),
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

    def _submit(self) -> None:
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

    def _record(self) -> None:
        """Record what runs of open items brought, mostly going on from what the leader has."""
        leader = self.leader()
        if leader is None or leader.connection is None:
            return
        rows = leader.connection.execute("SELECT lot, item FROM sm_lot_item").fetchall()
        chosen = self.random.sample(rows, min(len(rows), self.random.randint(1, 6)))
        results: list[ItemResult] = []
        failures: list[ItemFailure] = []
        progress: list[ItemProgress] = []
        for lot, item in chosen:
            start = progress_rows.known(leader.connection, lot, item).count
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

    def _repeat(self) -> None:
        """Send a command again, as after an outcome that was not known."""
        self.sent = [sent for sent in self.sent if self.now_s - sent[0] < REPEATED_WITHIN_S]
        if self.sent:
            self._send_bytes(self.random.choice(self.sent)[1])

    def _end(self) -> None:
        if self.lots:
            self._send(EndLot(self.random.choice(self.lots)))

    def _forget(self) -> None:
        age_s = self.random.uniform(*FORGET_AGE_S)
        self._send(ForgetLots(before_ms=int((self.now_s - age_s) * 1000)))

    def _read_results(self) -> None:
        """Read at the leader; what a read showed earlier must still be there."""
        leader = self.leader()
        if leader is None or leader.engine is None or not self.lots:
            return
        lot = self.random.choice(self.lots)
        before = self.shown.get(lot, ())

        def answered(result: bytes | Failure) -> None:
            page = decode_reply(result, ResultsPage) if isinstance(result, bytes) else result
            if not isinstance(page, Failure):
                assert page.results[: len(before)] == before, "a read showed an older state"
                self.shown[lot] = max(page.results, self.shown.get(lot, ()), key=len)
                self.faults.count("read answered")

        request_id = self._expect(leader.address, answered)
        query = encode(ReadResults(lot_id=lot, after=0, most_bytes=1_000_000))
        leader.engine.add_read(request_id, query)
        self.step(leader.address, [Read(request_id)])

    def _crash_one(self) -> None:
        address = self.random.choice(sorted(self.target))
        self.crash(address)
        self.at(self.random.uniform(0.0, 2.0), lambda: self._start_again(address))

    def _start_again(self, address: str) -> None:
        """Start a machine that was not taken away; a voter that is to go runs until then."""
        if address not in self.spares:
            self.start(address)

    def _kill_all_soon(self) -> None:
        """Kill every process a moment after what was last acknowledged."""
        self.at(self.random.uniform(*KILL_AFTER_S), self.kill_all)

    def kill_all(self) -> None:
        """Kill every process at once; the disks stay."""
        self.faults.count("all killed")
        for address in sorted(self.nodes):
            if self.nodes[address].engine is not None:
                self.crash(address)
                self.at(self.random.uniform(0.0, 1.5), lambda a=address: self._start_again(a))

    def _lose_disk(self) -> None:
        """Lose up to as many disks at once as the group bears."""
        leader = self.leader()
        if leader is None or leader.engine is None or not self.acked:
            return
        voters = {m.address for m in leader.engine.core.configuration.members if m.voter}
        healthy = sorted((self.target & voters) - self.lost)
        if len(self.lost) < self.most_lost and len(voters) == len(self.founders) and healthy:
            address = self.random.choice(healthy)
            self.lost.add(address)
            self.crash(address)
            self.nodes[address].connection = None
            self.faults.count("disk lost")
            self.at(self.random.uniform(0.05, 2.0), lambda: self._start_again(address))

    def _repaired(self, repair: RepairDone) -> None:
        """Note a repair; replicas that start again tell of old ones too."""
        engine = self.nodes[repair.address].engine
        if engine is not None and engine.core.replica_id == repair.new_id:
            self.lost.discard(repair.address)
        if repair not in self.repairs:
            self.repairs.append(repair)

    def _cut(self) -> None:
        self.partitioned = set(self.random.sample(sorted(self.nodes), self.random.randint(1, 2)))
        self.at(self.random.uniform(0.1, 3.0), self.partitioned.clear)

    def _change_machines(self) -> None:
        """Replace a voter's machine by a spare one."""
        leader = self.leader()
        if leader is None or leader.engine is None or self.lost or not self.spares:
            return
        if {m.address for m in leader.engine.core.configuration.members} != self.target:
            return
        gone = self.random.choice(sorted(self.target))
        fresh = self.spares.pop(0)
        self.target = (self.target - {gone}) | {fresh}
        self.nodes[fresh] = Node(fresh)
        self.start(fresh)
        self.faults.count("machine replaced")
        self._ask_target()

    def _ask_target(self) -> None:
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

    def _take_away(self) -> None:
        """Ask again for the wanted machines; empty those that the group has let go."""
        self._ask_target()
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

    def calm(self) -> None:
        """End all faults and let the group settle; then check what must hold."""
        kept = self.faults
        self.faults = Faults(drop=0, repeat=0, crash_in_sync=0, struck=kept.struck)
        until_s = self.now_s + CALM_AT_MOST_S
        while self.now_s < until_s:
            self.partitioned.clear()
            for address in sorted(self.nodes):
                self._start_again(address)
            self._take_away()
            self.run(self.now_s + CALM_STEP_S)
            if self._is_settled():
                break
        self.check()
        self.faults = kept

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
        """Check that all replicas hold what the committed commands say."""
        assert self._is_settled(), "the group did not settle"
        expected = self._replayed()
        for address in sorted(self.target):
            connection = self.nodes[address].connection
            assert connection is not None
            assert read_tables(connection) == expected, f"{address} differs from the log"
        committed = {command for _, command in self.log.values()}
        assert self.acked <= committed, "an acknowledged command is lost"
        self._check_lots(expected)

    def _replayed(self) -> Rows:
        connection = sqlite3.connect(":memory:", isolation_level=None)
        machine = LotsStateMachine()
        machine.create_tables(connection)
        for index in sorted(self.log):
            machine.apply(connection, *self.log[index])
        tables = read_tables(connection)
        connection.close()
        return tables

    def _check_lots(self, tables: Rows) -> None:
        open_items = {(row[0], row[1]) for row in tables["sm_lot_item"]}
        assert open_items == {(row[0], row[1]) for row in tables["sm_lot_body"]}
        assert {(row[0], row[1]) for row in tables["sm_lot_part"]} <= open_items
        for lot, *_, ended, total, listed in tables["sm_lot"]:
            results = [row for row in tables["sm_lot_result"] if row[0] == lot]
            assert [row[1] for row in results] == list(range(listed)), "positions are not dense"
            assert len({row[2] for row in results}) == listed, "an item is listed twice"
            waiting = sum(1 for key in open_items if key[0] == lot)
            assert waiting == 0 if ended else waiting + listed == total
            for _, _, item, state, text in results:
                if state == ItemState.DONE.value:
                    assert text == _text(0, self.events[lot, item]), "pieces do not fit"
        known = {row[0] for row in tables["sm_lot"]}
        assert {row[0] for table in tables.values() for row in table} <= known


def play(seed: int, size: int, rounds: int, steps: int) -> LotsSimulation:
    """Let clients, operators and faults act, with a calm and a check after each round."""
    simulation = LotsSimulation(seed, size)
    simulation.run(simulation.now_s + 5.0)
    pauses = Random(seed)
    for _ in range(rounds):
        for _ in range(steps):
            simulation.act()
            simulation.run(simulation.now_s + pauses.uniform(0.0, 0.15))
        simulation.calm()
    return simulation


def _text(start: int, end: int) -> str:
    return "\n".join(str(number) for number in range(start, end))
