"""One disk that stalls for seconds: what it costs a group of three, and what it does not.

The time of each sync is the test's, so that the disk of the machine has no part in it.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster
from tests.unit.test_consensus_large_entries import (
    ENTRIES,
    ENTRY_BYTES,
    PAUSE_S,
    TERMS,
    PacedLink,
)

from leverjunction.consensus import store as store_module
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.store import Store

SYNC_S = 0.005
STALL_S = 3.0
ANSWERED_S = 1.0
"""Longest wait of a command while a majority of disks is well: a sync and two messages."""

LED_AGAIN_S = 2.0
"""A lease, an election timeout and its spread: 0.36, 0.8 and 0.8 s."""


class Disks:
    """Disks of a cluster, on which each sync takes what is said here.

    Attributes:
        stalls_s: Of a store's file, how long its next sync takes.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.stalls_s: dict[str, float] = {}
        connect, commit = store_module._connect, Store.commit
        paths: dict[sqlite3.Connection, str] = {}

        def connected(path: str) -> sqlite3.Connection:
            connection = connect(path)
            connection.execute("PRAGMA synchronous=OFF")
            paths[connection] = path
            return connection

        def synced(store: Store) -> None:
            if store.connection.in_transaction:
                path = paths.get(store.connection, "")
                time.sleep(self.stalls_s.pop(path, SYNC_S))
            commit(store)

        patch.setattr(store_module, "_connect", connected)
        patch.setattr(Store, "commit", synced)


@pytest.fixture
def disks(monkeypatch: pytest.MonkeyPatch) -> Disks:
    return Disks(monkeypatch)


@pytest.fixture
def cluster(tmp_path: Path, disks: Disks) -> Iterator[Cluster]:
    made = Cluster(tmp_path, 3, **TERMS)
    made.start_all()
    made.propose(b"first=1")
    yield made
    made.stop_all()


def address_of(cluster: Cluster, replica: GroupReplica) -> str:
    return next(address for address, one in cluster.replicas.items() if one is replica)


def test_a_followers_stalled_disk_costs_neither_the_lead_nor_time(
    cluster: Cluster, disks: Disks
) -> None:
    leader = cluster.leader()
    led = leader.status()
    follower = next(one for one in cluster.addresses if cluster.replicas[one] is not leader)
    disks.stalls_s[str(cluster.path(follower))] = STALL_S
    until_s = time.monotonic() + STALL_S
    number = 0
    while time.monotonic() < until_s:
        began_s = time.monotonic()
        number += 1
        assert leader.propose(b"k=%d" % number, ANSWERED_S) == b"applied k=%d" % number
        assert time.monotonic() - began_s < ANSWERED_S
        time.sleep(0.1)
    leads = cluster.leader().status()
    assert (leads.replica_id, leads.term) == (led.replica_id, led.term)


def test_a_leaders_stalled_disk_costs_an_election_and_no_more(
    cluster: Cluster, disks: Disks
) -> None:
    """The others lead on without it: waiting for its disk would take longer than an election."""
    leader = cluster.leader()
    stalled = address_of(cluster, leader)
    others = [cluster.replicas[one] for one in cluster.addresses if one != stalled]
    disks.stalls_s[str(cluster.path(stalled))] = STALL_S
    began_s = time.monotonic()
    leader.propose(b"k=1", SYNC_S)
    while not any(one.status().role == "leader" for one in others):
        assert time.monotonic() - began_s < LED_AGAIN_S
        time.sleep(0.01)
    new = next(one for one in others if one.status().role == "leader")
    assert new.propose(b"k=2", ANSWERED_S) == b"applied k=2"
    time.sleep(max(0.0, began_s + STALL_S + LED_AGAIN_S - time.monotonic()))
    assert [one.status().role for one in cluster.replicas.values()].count("leader") == 1
    assert cluster.leader().status().term == new.status().term


@pytest.mark.parametrize("bytes_per_s", [8_000_000.0, 2_000_000.0, 1_000_000.0])
def test_large_entries_do_not_cost_the_lead_whatever_the_disk_of_the_machine_does(
    tmp_path: Path, disks: Disks, bytes_per_s: float
) -> None:
    link = type("PacedLink", (PacedLink,), {"bytes_per_s": bytes_per_s})
    cluster = Cluster(tmp_path, 3, link_type=link, **TERMS)
    cluster.start_all()
    try:
        cluster.propose(b"first=1")
        led = cluster.leader().status()
        for number in range(ENTRIES):
            cluster.propose(b"k%d=" % number + b"x" * ENTRY_BYTES)
            time.sleep(PAUSE_S)
        leads = cluster.leader().status()
        assert (leads.replica_id, leads.term) == (led.replica_id, led.term)
    finally:
        cluster.stop_all()
