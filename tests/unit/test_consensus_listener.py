"""A listener that raises has no effect on the commands that a replica applies.

Guards against replicas that diverge. The state machine used to call its listener from ``apply``,
so an exception of the listener, such as "Event loop is closed" during a shutdown, was taken for an
error of the command. That replica alone undid the committed command: of three replicas, the two
whose listeners raised had no rows. If such a replica became leader, it never ran items that had
been accepted. If the leader's own listener raised, the caller received "the state machine did not
take the command".
"""

from __future__ import annotations

import sqlite3

import pytest
from tests.unit.consensus_simulation import Simulation
from tests.unit.consensus_support import LogMachine
from tests.unit.replica_tables import Rows, read_tables

from leverjunction.consensus.api import ApplyContext, StateMachine
from leverjunction.errors import Failure
from leverjunction.lots.commands import LotAccepted, LotItem, SubmitLot, encode_command
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
    pytest.param(LotsStateMachine, LOT, LotAccepted, id="lots"),
    pytest.param(RegistryStateMachine, MEMBER, Done, id="registry"),
]


class GroupWithListeners(Simulation):
    """A simulated group without faults and with short logs, in which some listeners raise."""

    kept_entries = 2

    def __init__(self, machine_type: MachineType, size: int, raising: set[str]) -> None:
        self._machine_type = machine_type
        self.raising = raising
        self.notifications: list[tuple[str, bool]] = []
        super().__init__(1, size)
        self.faults.drop = self.faults.repeat = self.faults.crash_in_sync = 0.0
        self.run(self.now_s + SETTLE_S)

    def make_machine(self, address: str) -> StateMachine:
        return self._machine_type()

    def listen(self, address: str, replaced: bool) -> None:
        self.notifications.append((address, replaced))
        if address in self.raising:
            raise RuntimeError("Event loop is closed")

    def leader(self) -> str:
        for node in self.nodes.values():
            if node.engine is not None and node.engine.core.role.value == "leader":
                return node.address
        raise AssertionError("the group has no leader")

    def propose_and_wait(self, command: bytes) -> bytes | Failure:
        """Propose a command on the leader and return its reply."""
        answers: list[bytes | Failure] = []
        address = self.leader()
        request_id = self._expect(address, answers.append)
        self.put(address, request_id, command)
        self.run(self.now_s + SETTLE_S)
        return answers[0]

    def tables(self) -> dict[str, Rows]:
        """Return the rows of each running replica's tables by address."""
        return {
            node.address: read_tables(node.connection)
            for node in self.nodes.values()
            if node.connection is not None
        }


@pytest.mark.parametrize(("machine_type", "command", "reply_type"), CASES)
def test_a_command_is_applied_although_the_leaders_listener_raises(
    machine_type: MachineType, command: bytes, reply_type: type
) -> None:
    group = GroupWithListeners(machine_type, 1, {"n0"})
    reply = group.propose_and_wait(command)
    assert isinstance(reply, bytes)
    assert isinstance(decode_reply(reply, reply_type), reply_type)
    assert any(group.tables()["n0"].values())
    assert ("n0", False) in group.notifications


@pytest.mark.parametrize(("machine_type", "command", "reply_type"), CASES)
def test_replicas_stay_equal_although_the_followers_listeners_raise(
    machine_type: MachineType, command: bytes, reply_type: type
) -> None:
    group = GroupWithListeners(machine_type, 3, {"n0", "n1", "n2"})
    group.raising.remove(group.leader())
    reply = group.propose_and_wait(command)
    assert isinstance(reply, bytes)
    assert isinstance(decode_reply(reply, reply_type), reply_type)
    first, *others = group.tables().values()
    assert any(first.values())
    assert others == [first, first]
    assert {address for address, _ in group.notifications} == set(group.addresses)


@pytest.mark.parametrize(("machine_type", "command", "reply_type"), CASES)
def test_each_replica_notifies_its_listener_once_per_batch(
    machine_type: MachineType, command: bytes, reply_type: type
) -> None:
    group = GroupWithListeners(machine_type, 3, set())
    assert group.notifications == []
    group.propose_and_wait(command)
    assert sorted(group.notifications) == [(address, False) for address in group.addresses]


def test_a_failed_notification_is_repeated() -> None:
    group = GroupWithListeners(RegistryStateMachine, 1, {"n0"})
    group.propose_and_wait(MEMBER)
    assert len(group.notifications) > 1
    group.raising.clear()
    group.run(group.now_s + SETTLE_S)
    count = len(group.notifications)
    group.run(group.now_s + SETTLE_S)
    assert len(group.notifications) == count


def test_the_listener_is_notified_of_an_installed_snapshot() -> None:
    group = GroupWithListeners(LotsStateMachine, 3, set())
    group.propose_and_wait(LOT)
    follower = next(address for address in group.addresses if address != group.leader())
    group.crash(follower)
    group.nodes[follower].connection = None
    for _ in range(5):
        group.propose_and_wait(LOT)
    group.notifications.clear()
    group.start(follower)
    group.run(group.now_s + 10 * SETTLE_S)
    assert (follower, True) in group.notifications
    assert group.tables()[follower] == group.tables()[group.leader()]


class RaisingMachine(LogMachine):
    """A state machine whose database file is damaged on this host."""

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        raise sqlite3.DatabaseError("database disk image is malformed")


def test_damage_found_while_applying_stops_the_replica_and_undoes_no_command() -> None:
    group = GroupWithListeners(RaisingMachine, 1, set())
    with pytest.raises(sqlite3.DatabaseError, match="malformed"):
        group.propose_and_wait(b"a=1")
