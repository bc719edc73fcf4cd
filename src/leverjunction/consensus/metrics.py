"""Metrics of the consensus groups of this process."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

BATCHES = Counter(
    "leverjunction_consensus_batches_total", "Event batches handled, each with one sync", ["group"]
)
APPLIED_INDEX = Gauge(
    "leverjunction_consensus_applied_index", "Highest log index applied here", ["group"]
)
IS_LEADER = Gauge(
    "leverjunction_consensus_leads", "1 while this replica leads its group", ["group"]
)
REPAIRS = Counter(
    "leverjunction_consensus_repairs_total",
    "Lost replicas replaced, as seen by this replica",
    ["group"],
)
