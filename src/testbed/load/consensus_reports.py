"""Figures that the consensus bench gives."""

from __future__ import annotations

import msgspec

from testbed.load.latency import LatencySummary


class ThroughputReport(msgspec.Struct, frozen=True, kw_only=True):
    """Committed items and latency of their acknowledgement."""

    replicas: int
    writers: int
    items_per_command: int
    body_bytes: int
    seconds: float
    items_per_s: float
    commands_per_s: float
    acknowledged: LatencySummary
    leader_cores: float
    retries: int


class FailoverReport(msgspec.Struct, frozen=True, kw_only=True):
    """Times from the fault to the first item that another leader acknowledges, in seconds."""

    replicas: int
    fault: str
    repetitions: int
    p50_s: float
    max_s: float
    all_s: list[float]


class RepairReport(msgspec.Struct, frozen=True, kw_only=True):
    """Repair of a wiped replica; foreground is a small steady load on the leader.

    Attributes:
        replicas: Replicas of the group.
        held_mb: Size of the leader's files before the disk was lost.
        seconds: From the start of the blank process until the lost id is dropped.
        repaired_mb: Size of the repaired replica's files when the repair is reported.
        sent_mb: What all replicas sent to their peers in that time.
        before: Foreground acknowledgement latency before the loss.
        during: The same during the repair.
        survivor_peak_mb: Highest resident memory of a replica that kept its disk.
        repaired_peak_mb: Highest resident memory of the repaired replica.
    """

    replicas: int
    held_mb: float
    repaired_mb: float
    seconds: float
    sent_mb: float
    before: LatencySummary
    during: LatencySummary
    survivor_peak_mb: float
    repaired_peak_mb: float


class MemoryReport(msgspec.Struct, frozen=True, kw_only=True):
    """Resident memory of the replicas, in megabytes, before and at its highest."""

    replicas: int
    items: int
    body_bytes: int
    seconds: float
    before_mb: list[float]
    peak_mb: list[float]
