"""Tests that the RPC port of a process is open while its replica runs.

Peers take a refused connection as proof that the process has ended.
"""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
from tests.unit.seeded_support import SeededFleet

from leverjunction.consensus.group import GroupReplica
from leverjunction.errors import Failure
from leverjunction.registry.records import JOBS_GROUP, GroupRecord


def is_port_open(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=2.0):
            return True
    except OSError:
        return False


@pytest.fixture
def port_open(monkeypatch: pytest.MonkeyPatch) -> list[bool]:
    """Return whether the port was open before each start and after each stop of a replica."""
    open_states: list[bool] = []
    start, stop = GroupReplica.start, GroupReplica.stop

    def observed_start(replica: GroupReplica) -> Failure | None:
        open_states.append(is_port_open(replica.config.address))
        return start(replica)

    def observed_stop(replica: GroupReplica) -> None:
        stop(replica)
        open_states.append(is_port_open(replica.config.address))

    monkeypatch.setattr(GroupReplica, "start", observed_start)
    monkeypatch.setattr(GroupReplica, "stop", observed_stop)
    return open_states


def test_the_port_of_a_control_process_is_open_while_its_replica_runs(
    tmp_path: Path, port_open: list[bool]
) -> None:
    SeededFleet(tmp_path).start_control(1).stop()
    assert port_open == [True, True]


def test_the_port_of_a_store_is_open_while_its_replica_runs(
    tmp_path: Path, port_open: list[bool]
) -> None:
    fleet = SeededFleet(tmp_path)
    address = fleet.store_address(1)
    store = fleet.start_store(1)
    try:
        store._start_replica(GroupRecord(name=JOBS_GROUP, founders=(address,), voters=(address,)))
    finally:
        store.stop()
    assert port_open == [True, True]
