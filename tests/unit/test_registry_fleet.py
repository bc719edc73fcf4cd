"""Integration tests of control and store processes that find each other through seed addresses.

They use real sockets and files. A *lot* is a batch job of opaque items.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from tests.unit.seeded_support import SeededFleet, wait_until
from tests.unit.test_lots_state_machine import submit

from leverjunction.errors import Failure
from leverjunction.lots.commands import (
    LotAccepted,
    OpenItems,
    ReadOpenItems,
    SubmitLot,
    encode_command,
)
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.records import JOBS_GROUP, MemberRole
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply
from leverjunction.wire.envelope import MessageKind
from testbed.routed import make_route, make_table

CONTROLS = 5
STORES = 3


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SeededFleet]:
    fleet = SeededFleet(tmp_path_factory.mktemp("seeded"))
    # The seeds start last, so that no process listens yet when the others start.
    for number in range(CONTROLS, 0, -1):
        fleet.start_control(number)
    for number in range(1, STORES + 1):
        fleet.start_store(number)
    yield fleet
    fleet.stop()


def test_machines_that_know_only_seeds_form_one_registry(fleet: SeededFleet) -> None:
    wait_until(lambda: fleet.leader() is not None)
    for node in fleet.controls.values():
        wait_until(lambda node=node: len(node.hub.status().voters) == CONTROLS)


MAX_LEADERS = 5
"""Number of leaders to wait for. All nodes of the fleet run in this process: after a pause of the
process another node may lead, and its record of contacts begins then.
"""


def has_contact(leader: RegistryNode, names: set[str]) -> bool:
    members = {item.name for item in leader.hub.view().members}
    return members == names and all(leader.silence_s(name) is not None for name in names)


def test_the_leader_learns_of_contacts_from_every_process(
    fleet: SeededFleet, paused_s: Callable[[], float]
) -> None:
    """Guards against liveness reports that never reach the leader.

    The failure: reports of some processes were lost if the leader was not among the first voters.
    """
    names = {*fleet.controls, *fleet.stores}
    for _ in range(MAX_LEADERS):
        wait_until(lambda: fleet.leader() is not None)
        leader = fleet.leader()
        if leader is None:
            continue
        wait_until(lambda leader=leader: has_contact(leader, names) or fleet.leader() is not leader)
        time.sleep(2.5)
        if fleet.leader() is leader:
            break
    assert leader is not None
    assert has_contact(leader, names)
    # All nodes of the fleet run in this process, so its pauses do not count as silence.
    silences_s = {name: leader.silence_s(name) for name in names}
    bound_s = 2.0 + paused_s()
    assert all(value is not None and value < bound_s for value in silences_s.values()), silences_s


def test_a_table_given_to_any_process_is_in_force_at_all(fleet: SeededFleet) -> None:
    wait_until(lambda: fleet.leader() is not None)
    route = make_route(RouteClass.ONCE)
    for version, node in enumerate(fleet.controls.values(), 1):
        held = node.put_table(make_table(route, version=version), f"text {version}")
        assert not isinstance(held, Failure), held
        for other in fleet.controls.values():
            source = other.table_source()
            assert not isinstance(source, Failure), source
            assert (source.version, source.source) == (version, f"text {version}")


def test_the_lots_group_is_founded_and_stores_a_lot(fleet: SeededFleet) -> None:
    wait_until(lambda: fleet.leader() is not None)
    leader = fleet.leader()
    assert leader is not None
    wait_until(lambda: leader.hub.view().group(JOBS_GROUP) is not None)
    stores = leader.hub.view().addresses(MemberRole.STORE)
    group = leader.hub.view().group(JOBS_GROUP)
    assert group is not None
    assert set(group.voters) == set(stores)
    node = fleet.stores["store-2"]

    def accepted() -> bool:
        command: SubmitLot = submit("a", "b")
        raw = node.host.call(MessageKind.PROPOSE, JOBS_GROUP, encode_command(command), 1.0)
        return isinstance(raw, bytes) and decode_reply(raw, LotAccepted) == LotAccepted("lot")

    wait_until(accepted)
    for store in fleet.stores.values():
        wait_until(lambda store=store: JOBS_GROUP in store.groups())
        opened = store.host.query(JOBS_GROUP, ReadOpenItems(), OpenItems, 1.0)
        assert isinstance(opened, OpenItems), opened
        assert [item.item_id for item in opened.items] == ["a", "b"]


def test_a_machine_that_came_back_empty_is_repaired(tmp_path: Path) -> None:
    fleet = SeededFleet(tmp_path)
    try:
        for number in (1, 2, 3):
            fleet.start_control(number)
        wait_until(lambda: fleet.leader() is not None)
        leader = fleet.leader()
        assert leader is not None
        lost = next(name for name, node in fleet.controls.items() if node is not leader)
        number = int(lost[-1])
        route = make_route(RouteClass.ONCE)
        assert not isinstance(leader.put_table(make_table(route, version=4), "four"), Failure)
        fleet.controls.pop(lost).stop()
        fleet.forget_disk(lost)
        node = fleet.start_control(number, first=False)
        wait_until(lambda: node.hub.status().role == "follower")
        source = node.table_source()
        assert not isinstance(source, Failure), source
        assert source.version == 4
    finally:
        fleet.stop()


def test_stores_lead_their_group_again_while_all_control_processes_are_down(
    tmp_path: Path,
) -> None:
    """Guards against stores that wait for a leader of the registry.

    The failure: when all machines start at once, the stores' own group had no leader until then.
    """
    fleet = SeededFleet(tmp_path)
    try:
        for number in (1, 2, 3):
            fleet.start_control(number)
            fleet.start_store(number)
        wait_until(lambda: all(JOBS_GROUP in store.groups() for store in fleet.stores.values()))
        fleet.stop()
        fleet.controls.clear()
        for number in (1, 2, 3):
            fleet.start_store(number, first=False)
        wait_until(lambda: any(store.host.leads(JOBS_GROUP) for store in fleet.stores.values()))
    finally:
        fleet.stop()
