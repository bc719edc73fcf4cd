"""A group keeps committing commands when each sync takes some tenths of a second.

Guards against leaders that lose their lease because syncs take 0.2 s or more, as on a disk that
many processes share. The driver thread of a replica waits for its own sync, so replicas handle
each other's messages late. With a fixed lease of 0.36 s, each leader stepped down before it heard
from a quorum, and accepted batch items were not run. In 12 s the group committed 87 commands with
syncs of 0.15 s, 7 with 0.2 s and none with 0.3 s, and went through 10 to 17 terms. Three real
stores with syncs of 0.3 s ran nothing for 41 s.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster

from leverjunction.consensus.store import Store
from leverjunction.errors import Failure

ELECTION_SETTINGS = {
    "heartbeat_interval_s": 0.15,
    "election_timeout_min_s": 0.4,
    "election_timeout_max_s": 0.8,
}
RUN_S = 12.0
PROPOSE_TIMEOUT_S = 3.0
PROPOSERS = 3
MIN_COMMITTED = 8
"""More than two commands of each proposer; a command takes about four syncs."""

MAX_TERMS = 4
"""Elections until the replicas have measured how slow their syncs are."""


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    started = Cluster(tmp_path, 3, **ELECTION_SETTINGS)
    started.start_all()
    started.propose(b"first=1")
    yield started
    started.stop_all()


@pytest.mark.parametrize("sync_s", [0.15, 0.3])
def test_a_group_with_slow_syncs_keeps_committing(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch, sync_s: float
) -> None:
    commit = Store.commit

    def slow_commit(store: Store) -> None:
        if store.connection.in_transaction:
            time.sleep(sync_s)
        commit(store)

    monkeypatch.setattr(Store, "commit", slow_commit)
    term = cluster.leader().status().term
    committed: list[bytes] = []
    until_s = time.monotonic() + RUN_S

    def propose(name: int) -> None:
        number = 0
        while time.monotonic() < until_s:
            number += 1
            for replica in list(cluster.replicas.values()):
                if replica.status().role == "leader":
                    reply = replica.propose(b"k%d=%d" % (name, number), PROPOSE_TIMEOUT_S)
                    if not isinstance(reply, Failure):
                        committed.append(reply)
            time.sleep(0.02)

    proposers = [threading.Thread(target=propose, args=(name,)) for name in range(PROPOSERS)]
    for thread in proposers:
        thread.start()
    for thread in proposers:
        thread.join()
    terms = max(replica.status().term for replica in cluster.replicas.values()) - term
    assert len(committed) >= MIN_COMMITTED
    assert terms <= MAX_TERMS
