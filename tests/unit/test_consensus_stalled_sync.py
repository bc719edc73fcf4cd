"""Effects of a disk that stalls for seconds on a group of three replicas.

Syncs are simulated with fixed durations, so that the speed of the host's disk does not matter.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster
from tests.unit.test_consensus_large_entries import (
    ELECTION_SETTINGS,
    ENTRIES,
    ENTRY_BYTES,
    PAUSE_S,
    PacedLink,
)

from leverjunction.consensus import store as store_module
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.store import Store

SYNC_S = 0.005
STALL_S = 3.0
COMMIT_TIMEOUT_S = 1.0
"""Longest time to commit a command while a majority of disks works: a sync and two messages."""

REELECTION_S = 2.0
"""Longest time to a new leader: a lease, an election timeout and its spread (0.36, 0.8, 0.8 s)."""


class Disks:
    """Simulated disks of a cluster, with a set duration for each sync.

    Attributes:
        stalls_s: Duration of the next sync of a store, in seconds, by the path of its file.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.stalls_s: dict[str, float] = {}
        connect, commit = store_module._connect, Store.commit
        paths: dict[sqlite3.Connection, str] = {}

        def connect_without_sync(path: str) -> sqlite3.Connection:
            connection = connect(path)
            connection.execute("PRAGMA synchronous=OFF")
            paths[connection] = path
            return connection

        def simulated_commit(store: Store) -> None:
            if store.connection.in_transaction:
                path = paths.get(store.connection, "")
                time.sleep(self.stalls_s.pop(path, SYNC_S))
            commit(store)

        patch.setattr(store_module, "_connect", connect_without_sync)
        patch.setattr(Store, "commit", simulated_commit)


@pytest.fixture
def disks(monkeypatch: pytest.MonkeyPatch) -> Disks:
    return Disks(monkeypatch)


@pytest.fixture
def cluster(tmp_path: Path, disks: Disks) -> Iterator[Cluster]:
    started = Cluster(tmp_path, 3, **ELECTION_SETTINGS)
    started.start_all()
    started.propose(b"first=1")
    yield started
    started.stop_all()


def address_of(cluster: Cluster, replica: GroupReplica) -> str:
    return next(address for address, one in cluster.replicas.items() if one is replica)


def test_a_followers_stalled_disk_delays_no_command_and_causes_no_election(
    cluster: Cluster, disks: Disks
) -> None:
    leader = cluster.leader()
    before = leader.status()
    follower = next(one for one in cluster.addresses if cluster.replicas[one] is not leader)
    disks.stalls_s[str(cluster.path(follower))] = STALL_S
    until_s = time.monotonic() + STALL_S
    number = 0
    while time.monotonic() < until_s:
        began_s = time.monotonic()
        number += 1
        assert leader.propose(b"k=%d" % number, COMMIT_TIMEOUT_S) == b"applied k=%d" % number
        assert time.monotonic() - began_s < COMMIT_TIMEOUT_S
        time.sleep(0.1)
    after = cluster.leader().status()
    assert (after.replica_id, after.term) == (before.replica_id, before.term)


def test_a_leaders_stalled_disk_causes_a_single_election(cluster: Cluster, disks: Disks) -> None:
    """The followers elect a new leader: waiting for the disk would take longer than an election."""
    leader = cluster.leader()
    stalled = address_of(cluster, leader)
    others = [cluster.replicas[one] for one in cluster.addresses if one != stalled]
    disks.stalls_s[str(cluster.path(stalled))] = STALL_S
    began_s = time.monotonic()
    leader.propose(b"k=1", SYNC_S)
    while not any(one.status().role == "leader" for one in others):
        assert time.monotonic() - began_s < REELECTION_S
        time.sleep(0.01)
    new = next(one for one in others if one.status().role == "leader")
    assert new.propose(b"k=2", COMMIT_TIMEOUT_S) == b"applied k=2"
    time.sleep(max(0.0, began_s + STALL_S + REELECTION_S - time.monotonic()))
    assert [one.status().role for one in cluster.replicas.values()].count("leader") == 1
    assert cluster.leader().status().term == new.status().term


@pytest.mark.parametrize("bytes_per_s", [8_000_000.0, 2_000_000.0, 1_000_000.0])
def test_large_entries_do_not_cost_the_lead_whatever_the_disk_of_the_machine_does(
    tmp_path: Path, disks: Disks, bytes_per_s: float
) -> None:
    link = type("PacedLink", (PacedLink,), {"bytes_per_s": bytes_per_s})
    cluster = Cluster(tmp_path, 3, link_type=link, **ELECTION_SETTINGS)
    cluster.start_all()
    try:
        cluster.propose(b"first=1")
        before = cluster.leader().status()
        for number in range(ENTRIES):
            cluster.propose(b"k%d=" % number + b"x" * ENTRY_BYTES)
            time.sleep(PAUSE_S)
        after = cluster.leader().status()
        assert (after.replica_id, after.term) == (before.replica_id, before.term)
    finally:
        cluster.stop_all()
