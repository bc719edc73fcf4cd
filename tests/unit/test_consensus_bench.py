"""The consensus bench runs whole with real processes, and its figures fit together."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from testbed.load.consensus_bench import failover, repair
from testbed.load.consensus_reports import FailoverReport, RepairReport

pytestmark = pytest.mark.fleet

BODY_SHARE = 0.5
"""Least share of the state's size that a repair sends and stores; log, indexes and free pages
are not sent."""


@pytest.mark.parametrize(("replicas", "change_leader"), [(3, False), (5, True)])
def test_a_wiped_replica_is_repaired_with_as_many_bytes_as_it_held(
    tmp_path: Path, replicas: int, change_leader: bool
) -> None:
    file = tmp_path / "repair.json"
    repair(replicas, megabytes=3, foreground_s=0.5, change_leader=change_leader, json=str(file))
    report = msgspec.json.decode(file.read_bytes(), type=RepairReport)
    assert report.sent_mb > 3 * BODY_SHARE
    assert report.repaired_mb > 3 * BODY_SHARE
    assert report.during.count > 0


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_another_replica_leads_after_a_fault_of_the_leader(tmp_path: Path, fault: str) -> None:
    file = tmp_path / "failover.json"
    failover(fault=fault, repetitions=1, json=str(file))
    report = msgspec.json.decode(file.read_bytes(), type=FailoverReport)
    assert report.all_s
