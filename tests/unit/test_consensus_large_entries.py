"""A leader keeps its leadership while it sends large entries over links of limited bandwidth.

Guards against heartbeats that wait behind a large entry. When one thread sent all messages to a
peer, an entry of 0.8 MB (a job of 200 items) delayed heartbeats at 2 MB/s for longer than the
lease of 0.36 s and the election timeout of the followers. Each leader lost its lease while the
entry was in transit, with a new term every 0.6 s, and no such entry was ever committed.

Two further faults had the same effect: a new leader queued another copy of the entry with each
heartbeat, and a call had a timeout of 0.5 s for its whole body, too short for a slow link.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster, Link

from leverjunction.errors import Failure

ELECTION_SETTINGS = {
    "heartbeat_interval_s": 0.15,
    "election_timeout_min_s": 0.4,
    "election_timeout_max_s": 0.8,
}
ENTRY_BYTES = 800_000
ENTRIES = 12
PAUSE_S = 0.5


class PacedLink(Link):
    """A transport with limited bandwidth: a call takes as long as its bytes need."""

    bytes_per_s = 0.0

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure:
        time.sleep(len(body) / self.bytes_per_s)
        return super().send(peer_address, group, body)


@pytest.fixture(params=[8_000_000.0, 2_000_000.0, 1_000_000.0], ids=["8 MB/s", "2", "1"])
def cluster(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Cluster]:
    link = type("PacedLink", (PacedLink,), {"bytes_per_s": request.param})
    cluster = Cluster(tmp_path, 3, link_type=link, **ELECTION_SETTINGS)
    cluster.start_all()
    yield cluster
    cluster.stop_all()


def test_large_entries_do_not_cost_the_lead(cluster: Cluster) -> None:
    cluster.propose(b"first=1")
    before = cluster.leader().status()
    for number in range(ENTRIES):
        cluster.propose(b"k%d=" % number + b"x" * ENTRY_BYTES)
        time.sleep(PAUSE_S)
    after = cluster.leader().status()
    assert (after.replica_id, after.term) == (before.replica_id, before.term)
