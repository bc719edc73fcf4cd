"""Prometheus metrics of a control process. Each name ends with its unit."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

EXCHANGE_BUCKETS_S = (0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.25)


class ControlMetrics:
    """All metrics of one control process. Safe to share between threads."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.exchanges = Counter(
            "leverjunction_hub_exchanges_total", "Exchanges.", ["outcome"], registry=registry
        )
        self.exchange_s = Histogram(
            "leverjunction_hub_exchange_seconds",
            "Time to answer an exchange.",
            buckets=EXCHANGE_BUCKETS_S,
            registry=registry,
        )
        self.exchange_bytes = Counter(
            "leverjunction_hub_exchange_bytes_total",
            "Bodies of exchanges.",
            ["direction"],
            registry=registry,
        )
        self.syncs = Counter(
            "leverjunction_hub_syncs_total", "Messages of other hubs.", registry=registry
        )
        self.orders = Counter(
            "leverjunction_placement_orders_total", "Orders.", ["outcome"], registry=registry
        )
        self.gateways = self._gauge("hub_gateways", "Live gateways in the region.")
        self.runners = self._gauge("hub_runners", "Listed runners in the region.")
        self.quorum_age_s = self._gauge("hub_quorum_age_seconds", "Since the root leader spoke.")
        self.settings_version = self._gauge("settings_version", "Version of settings in force.")
        self.stale = self._gauge("hub_stale", "1 while no quorum was heard for 2 s.")

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"leverjunction_{name}", text, registry=self.registry)
