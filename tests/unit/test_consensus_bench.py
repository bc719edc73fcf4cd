"""The consensus benchmark runs with real processes and reports consistent figures."""

from __future__ import annotations

import socket
from pathlib import Path

import msgspec
import pytest

from leverjunction.consensus.codec import encode_messages
from leverjunction.consensus.messages import Header, IdentityQuery
from leverjunction.wire.envelope import (
    Envelope,
    MessageKind,
    decode_envelope,
    encode_envelope,
)
from testbed.load.consensus_bench import failover, repair
from testbed.load.consensus_cluster import BenchError, ReplicaCluster
from testbed.load.consensus_reports import FailoverReport, RepairReport
from testbed.load.consensus_worker import CLUSTER_KEY, GROUP, Worker

pytestmark = pytest.mark.fleet

MIN_STATE_FRACTION = 0.5
"""Least fraction of the state's size that a repair must send and store; log, indexes and free
pages are not sent."""


@pytest.mark.parametrize(("replicas", "change_leader"), [(3, False), (5, True)])
def test_a_wiped_replica_is_repaired_with_as_many_bytes_as_it_held(
    tmp_path: Path, replicas: int, change_leader: bool
) -> None:
    file = tmp_path / "repair.json"
    repair(replicas, megabytes=3, foreground_s=0.5, change_leader=change_leader, json=str(file))
    report = msgspec.json.decode(file.read_bytes(), type=RepairReport)
    assert report.sent_mb > 3 * MIN_STATE_FRACTION
    assert report.repaired_mb > 3 * MIN_STATE_FRACTION
    assert report.during.count > 0


def test_bytes_in_replies_to_a_peer_are_counted(tmp_path: Path) -> None:
    peer, own = "127.0.0.1:1", "127.0.0.1:2"
    worker = Worker(own, [peer, own], tmp_path / "group.sqlite")
    assert worker.replica.start() is None
    header = Header(founding_id="", from_id="p", from_address=peer, to_id="", term=0)
    asked = Envelope(
        kind=MessageKind.RAFT,
        group=GROUP,
        incarnation=1,
        body=encode_messages([IdentityQuery(header=header, nonce=1)]),
    )
    answered = decode_envelope(
        worker.endpoint.dispatch(encode_envelope(asked, CLUSTER_KEY), peer), CLUSTER_KEY, peer
    )
    assert isinstance(answered, Envelope)
    assert worker.status().sent_bytes == len(answered.body) > 0
    worker.replica.stop()


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_another_replica_leads_after_a_fault_of_the_leader(tmp_path: Path, fault: str) -> None:
    file = tmp_path / "failover.json"
    failover(fault=fault, repetitions=1, json=str(file))
    report = msgspec.json.decode(file.read_bytes(), type=FailoverReport)
    assert report.all_s


def test_a_replica_that_cannot_listen_is_reported_at_once(tmp_path: Path) -> None:
    cluster = ReplicaCluster(3, tmp_path)
    host, _, port = cluster.addresses[1].rpartition(":")
    with socket.socket() as other:
        other.bind((host, int(port)))
        other.listen()
        with pytest.raises(BenchError, match=f"{host}:{port} has ended"), cluster:
            pass


def test_clusters_use_distinct_addresses() -> None:
    first, second = (ReplicaCluster(5, Path()).addresses for _ in range(2))
    assert len({*first, *second}) == 10
