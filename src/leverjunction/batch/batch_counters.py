"""Counters of the harvest in a gateway; names carry their units."""

from __future__ import annotations

import msgspec
from prometheus_client import CollectorRegistry, Counter, Gauge


class HarvestStats(msgspec.Struct, frozen=True, kw_only=True):
    """What the harvester is doing now.

    Attributes:
        running: Items on engines.
        waiting: Leased items that wait for a runner.
        parked: Waiting items that have run in part.
        uncommitted: Outcomes that are not committed yet.
        completed: Items whose outcome this gateway has committed.
        leases: Leases held.
    """

    running: int
    waiting: int
    parked: int
    uncommitted: int
    completed: int
    leases: int


class HarvestCounters:
    """All counters of one harvester. Safe to share between threads."""

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        own = registry if registry is not None else CollectorRegistry()
        self.starts = Counter(
            "leverjunction_batch_starts_total", "Runs started on engines.", registry=own
        )
        self.ends = Counter(
            "leverjunction_batch_ends_total", "Runs ended, by how.", ["end"], registry=own
        )
        self.parks = Counter(
            "leverjunction_batch_parks_total", "Runs parked for online work.", registry=own
        )
        self.committed = Counter(
            "leverjunction_batch_committed_total", "Outcomes committed first.", registry=own
        )
        self.discarded = Counter(
            "leverjunction_batch_discarded_total",
            "Outcomes discarded since another was first, or the job was cancelled.",
            registry=own,
        )
        self.leased = Counter(
            "leverjunction_batch_leased_items_total", "Items leased.", registry=own
        )
        self.lost_leases = Counter(
            "leverjunction_batch_lost_leases_total", "Leases lost before their end.", registry=own
        )
        self.lost_answers = Counter(
            "leverjunction_batch_lost_answers_total",
            "Runs that their runner does not have any more, though no answer came.",
            registry=own,
        )
        self.running = Gauge("leverjunction_batch_running_items", "Items on engines.", registry=own)
        self.waiting = Gauge(
            "leverjunction_batch_waiting_items", "Leased items that wait.", registry=own
        )
