"""A leader keeps its group while large entries go out over links of limited speed.

A store lost its lease while jobs of 200 items came, 0.8 MB each. What a leader sends to a peer goes
out by one thread, call after call, so heartbeats wait behind the entry; at 2 MB/s that is longer
than the lease of 0.36 s, and than the silence after which a follower campaigns. At that speed no
such entry was ever committed, each leader was deposed while it was on its way:

    05:06:01.225 group root lost the lead: no quorum was heard within the lease
    05:06:01.687 group root leads term 3
    05:06:02.068 group root lost the lead: no quorum was heard within the lease
    05:06:02.390 group root leads term 4      (and so on, a term each 0.6 s)

A new leader also sent the entry again with each heartbeat, one copy behind the other. And a call
had half a second for its whole body, so over a slow link it never got through.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster, Link

from leverjunction.errors import Failure

TERMS = {"heartbeat_interval_s": 0.15, "election_timeout_min_s": 0.4, "election_timeout_max_s": 0.8}
ENTRY_BYTES = 800_000
ENTRIES = 12
PAUSE_S = 0.5


class PacedLink(Link):
    """A transport whose calls take the time of their bytes."""

    bytes_per_s = 0.0

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure:
        time.sleep(len(body) / self.bytes_per_s)
        return super().send(peer_address, group, body)


@pytest.fixture(params=[8_000_000.0, 2_000_000.0, 1_000_000.0], ids=["8 MB/s", "2", "1"])
def cluster(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[Cluster]:
    link = type("PacedLink", (PacedLink,), {"bytes_per_s": request.param})
    cluster = Cluster(tmp_path, 3, link_type=link, **TERMS)
    cluster.start_all()
    yield cluster
    cluster.stop_all()


def test_large_entries_do_not_cost_the_lead(cluster: Cluster) -> None:
    cluster.propose(b"first=1")
    led = cluster.leader().status()
    for number in range(ENTRIES):
        cluster.propose(b"k%d=" % number + b"x" * ENTRY_BYTES)
        time.sleep(PAUSE_S)
    leads = cluster.leader().status()
    assert (leads.replica_id, leads.term) == (led.replica_id, led.term)
