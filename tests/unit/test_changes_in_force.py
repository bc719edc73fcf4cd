"""Tests that an accepted route table is in force at each gateway in time.

This must hold while control processes fail.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import pytest
from tests.unit.seeded_support import RPC_PORT, SeededFleet, wait_until

from leverjunction.clock import SystemClock
from leverjunction.consensus.group import GroupReplica
from leverjunction.errors import Failure
from leverjunction.proxy.balancer import Balancer
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.commands import StoredTableVersion
from leverjunction.registry.follower import RegistryFollower
from leverjunction.registry.node import RegistryNode
from leverjunction.wire.rpc_client import RpcClient
from testbed.routed import make_table

CONTROLS = 5
IN_FORCE_S = 2.0
"""Time in which a change must be in force in seeded deployments, in seconds."""


class InOrder(Random):
    """Random source that does not shuffle, so control processes are polled in the given order."""

    def shuffle(self, x: object) -> None:
        pass


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[SeededFleet]:
    fleet = SeededFleet(tmp_path)
    for number in range(1, CONTROLS + 1):
        fleet.start_control(number)
    yield fleet
    fleet.stop()


def put(node: RegistryNode, version: int) -> None:
    table = make_table(version=version)

    def is_stored() -> bool:
        return node.put_table(table, str(version)) == StoredTableVersion(version)

    wait_until(is_stored)


def test_a_gateway_leaves_a_control_process_whose_start_failed(
    fleet: SeededFleet,
    monkeypatch: pytest.MonkeyPatch,
    paused_s: Callable[[], float],
) -> None:
    """Guards against a gateway that stays with a process without a running replica.

    The failure: the process kept its port open and replied "nothing newer" forever.
    """
    leader = fleet.controls["core-1"]
    wait_until(lambda: len(leader.hub.status().voters) == CONTROLS)
    put(leader, 1)
    fleet.controls.pop("core-3").stop()
    start = GroupReplica.start
    broken = f"{fleet.net}.3:{RPC_PORT}"

    def on_a_full_disk(replica: GroupReplica) -> Failure | None:
        if replica.config.address == broken:
            raise OSError(errno.ENOSPC, "No space left on device")
        return start(replica)

    monkeypatch.setattr(GroupReplica, "start", on_a_full_disk)
    # As in a real process, the exception is only printed, and threads started before it go on.
    fleet.try_to_start_control(3)
    seeds = (f"{fleet.net}.2:{RPC_PORT}", broken, *fleet.control_addresses())
    rpc = RpcClient(CLUSTER_KEY, 1)
    follower = RegistryFollower(rpc, seeds, "", SystemClock(), InOrder(), lambda _snapshot: None)
    follower.start()
    try:
        wait_until(lambda: version_of(follower) == 1)
        fleet.controls.pop("core-2").stop()
        put(leader, 2)
        began_s, before_s = time.monotonic(), paused_s()
        wait_until(lambda: version_of(follower) == 2)
        assert time.monotonic() - began_s - (paused_s() - before_s) < IN_FORCE_S
    finally:
        follower.stop()
        rpc.close()


def test_an_error_in_applying_back_ends_does_not_block_the_route_table(
    fleet: SeededFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a route table that is never in force.

    The failure: the update of the back ends, earlier in the same callback, raised an exception.
    """

    def fails(_balancer: Balancer, _records: object) -> None:
        raise KeyError("i-1")

    monkeypatch.setattr(Balancer, "replace", fails)
    wait_until(lambda: fleet.leader() is not None)
    put(fleet.controls["core-1"], 1)
    gateway = fleet.start_gateway(1)
    wait_until(gateway.is_ready, 5.0)


def version_of(follower: RegistryFollower) -> int:
    snapshot = follower.snapshot()
    return -1 if snapshot is None else snapshot.table.version
