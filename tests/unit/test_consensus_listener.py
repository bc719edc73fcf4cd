"""What listens to a replica never decides which commands count on it.

Symptom: one replica of a group lacks a committed command for good, the others have it; if it leads
later, accepted items are not in its tables, so that it never runs them, while others list them.
Sequence: a command is committed; a replica applies it, and its listener raises inside of that, as
when the loop that it wakes is being closed; the replica undoes the command and goes on, alone.
Cause: the state machine called its listener while it applied, so an error of the listener passed
for one of the command. Settled by the tables after one command on three replicas: rows on the
leader, none on the two whose listeners raised; where the leader's own listener raised, the answer
was "the state machine did not take the command: RuntimeError('Event loop is closed')".
"""

from __future__ import annotations

import sqlite3

import pytest
from tests.unit.consensus_simulation import Simulation
from tests.unit.consensus_support import LogMachine
from tests.unit.replica_tables import Rows, read_tables

from leverjunction.consensus.api import ApplyContext, StateMachine
from leverjunction.errors import Failure
from leverjunction.lots.commands import LotItem, LotTaken, SubmitLot, encode_command
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.registry.commands import Done, JoinMember
from leverjunction.registry.records import MemberRecord, MemberRole
from leverjunction.registry.state_machine import RegistryStateMachine
from leverjunction.wire.codec import decode_reply, encode

SETTLE_S = 5.0
MachineType = type[LotsStateMachine] | type[RegistryStateMachine] | type[LogMachine]

LOT = encode_command(
    SubmitLot(
        lot_id="lot",
        host="h",
        path="/p/",
        max_attempts=3,
        give_up_s=0.0,
        due_ms=1000.0,
        items=(LotItem(item_id="a", path="/p/", headers=(), body=b"{}", tokens=1),),
    )
)
MEMBER = encode(
    JoinMember(MemberRecord(name="s1", role=MemberRole.STORE, address="s1:1", zone="z"))
)
CASES = [
    pytest.param(LotsStateMachine, LOT, LotTaken, id="lots"),
    pytest.param(RegistryStateMachine, MEMBER, Done, id="registry"),
]


class ListenedGroup(Simulation):
    """A group without faults and with short logs; the listeners of some replicas raise."""

    kept_entries = 2

    def __init__(self, machine_type: MachineType, size: int, raising: set[str]) -> None:
        self._machine_type = machine_type
        self.raising = raising
        self.told: list[tuple[str, bool]] = []
        super().__init__(1, size)
        self.faults.drop = self.faults.repeat = self.faults.crash_in_sync = 0.0
        self.run(self.now_s + SETTLE_S)

    def make_machine(self, address: str) -> StateMachine:
        return self._machine_type()

    def listen(self, address: str, replaced: bool) -> None:
        self.told.append((address, replaced))
        if address in self.raising:
            raise RuntimeError("Event loop is closed")

    def leader(self) -> str:
        for node in self.nodes.values():
            if node.engine is not None and node.engine.core.role.value == "leader":
                return node.address
        raise AssertionError("nobody leads")

    def ask(self, command: bytes) -> bytes | Failure:
        """Propose a command on the leader and return its answer."""
        answers: list[bytes | Failure] = []
        address = self.leader()
        request_id = self._expect(address, answers.append)
        self.put(address, request_id, command)
        self.run(self.now_s + SETTLE_S)
        return answers[0]

    def tables(self) -> dict[str, Rows]:
        """Return each replica's tables."""
        return {
            node.address: read_tables(node.connection)
            for node in self.nodes.values()
            if node.connection is not None
        }


@pytest.mark.parametrize(("machine_type", "command", "reply_type"), CASES)
def test_a_command_counts_though_the_leaders_listener_raises(
    machine_type: MachineType, command: bytes, reply_type: type
) -> None:
    group = ListenedGroup(machine_type, 1, {"n0"})
    reply = group.ask(command)
    assert isinstance(reply, bytes)
    assert isinstance(decode_reply(reply, reply_type), reply_type)
    assert any(group.tables()["n0"].values())
    assert ("n0", False) in group.told


@pytest.mark.parametrize(("machine_type", "command", "reply_type"), CASES)
def test_replicas_are_equal_though_the_listener_of_one_raises(
    machine_type: MachineType, command: bytes, reply_type: type
) -> None:
    group = ListenedGroup(machine_type, 3, {"n0", "n1", "n2"})
    group.raising.remove(group.leader())
    reply = group.ask(command)
    assert isinstance(reply, bytes)
    assert isinstance(decode_reply(reply, reply_type), reply_type)
    first, *others = group.tables().values()
    assert any(first.values())
    assert others == [first, first]
    assert {address for address, _ in group.told} == set(group.addresses)


@pytest.mark.parametrize(("machine_type", "command", "reply_type"), CASES)
def test_each_replica_tells_once_of_a_batch(
    machine_type: MachineType, command: bytes, reply_type: type
) -> None:
    group = ListenedGroup(machine_type, 3, set())
    assert group.told == []
    group.ask(command)
    assert sorted(group.told) == [(address, False) for address in group.addresses]


def test_a_notice_that_failed_is_repeated() -> None:
    group = ListenedGroup(RegistryStateMachine, 1, {"n0"})
    group.ask(MEMBER)
    assert len(group.told) > 1
    group.raising.clear()
    group.run(group.now_s + SETTLE_S)
    told = len(group.told)
    group.run(group.now_s + SETTLE_S)
    assert len(group.told) == told


def test_a_snapshot_is_told() -> None:
    group = ListenedGroup(LotsStateMachine, 3, set())
    group.ask(LOT)
    follower = next(address for address in group.addresses if address != group.leader())
    group.crash(follower)
    group.nodes[follower].connection = None
    for _ in range(5):
        group.ask(LOT)
    group.told.clear()
    group.start(follower)
    group.run(group.now_s + 10 * SETTLE_S)
    assert (follower, True) in group.told
    assert group.tables()[follower] == group.tables()[group.leader()]


class RaisingMachine(LogMachine):
    """Its tables are damaged on this machine."""

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        raise sqlite3.DatabaseError("database disk image is malformed")


def test_damage_that_is_met_while_applying_ends_the_replica_and_undoes_no_command() -> None:
    group = ListenedGroup(RaisingMachine, 1, set())
    with pytest.raises(sqlite3.DatabaseError, match="malformed"):
        group.ask(b"a=1")
