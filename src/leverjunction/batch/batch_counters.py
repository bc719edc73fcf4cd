"""Metrics of the batch work of a gateway."""

from __future__ import annotations

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge


class HarvestStats(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of a harvester's state.

    Attributes:
        running: Number of items on engines.
        waiting: Number of leased items that wait for a runner.
        parked: Number of waiting items that have already generated some text.
        uncommitted: Number of outcomes that are not committed yet.
        completed: Number of items whose outcome this gateway has committed.
        leases: Number of held leases.
    """

    running: int
    waiting: int
    parked: int
    uncommitted: int
    completed: int
    leases: int


class HarvestCounters:
    """Prometheus metrics of one harvester. Thread-safe.

    Args:
        registry: Registry for the metrics; None creates a private one.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        target = registry if registry is not None else CollectorRegistry()
        self.starts = Counter(
            "leverjunction_batch_starts_total", "Runs started on engines.", registry=target
        )
        self.ends = Counter(
            "leverjunction_batch_ends_total", "Runs ended, by how.", ["end"], registry=target
        )
        self.parks = Counter(
            "leverjunction_batch_parks_total", "Runs parked for online work.", registry=target
        )
        self.committed = Counter(
            "leverjunction_batch_committed_total", "Outcomes committed first.", registry=target
        )
        self.discarded = Counter(
            "leverjunction_batch_discarded_total",
            "Outcomes discarded since another was first, or the job was cancelled.",
            registry=target,
        )
        self.leased = Counter(
            "leverjunction_batch_leased_items_total", "Items leased.", registry=target
        )
        self.lost_leases = Counter(
            "leverjunction_batch_lost_leases_total",
            "Leases lost before their end.",
            registry=target,
        )
        self.lost_answers = Counter(
            "leverjunction_batch_lost_answers_total",
            "Runs that their runner does not have any more, though no answer came.",
            registry=target,
        )
        self.running = Gauge(
            "leverjunction_batch_running_items", "Items on engines.", registry=target
        )
        self.waiting = Gauge(
            "leverjunction_batch_waiting_items", "Leased items that wait.", registry=target
        )
