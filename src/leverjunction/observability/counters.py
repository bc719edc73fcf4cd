"""Prometheus metrics of a gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)


class GatewayCounters:
    """The metrics of one gateway, in a separate registry.

    Thread-safe.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry if registry is not None else CollectorRegistry()
        self.requests = self._counter(
            "requests_total", "Callers' requests by HTTP status.", ["service", "status"]
        )
        self.refusals = self._counter(
            "refusals_total", "Requests refused before any back end was tried.", ["kind"]
        )
        self.attempts = self._counter("attempts_total", "Sends to back ends.", ["outcome"])
        self.retries = self._counter("retries_total", "Repeated sends.", ["reason"])
        self.stream_repairs = self._counter(
            "stream_repairs_total", "Broken streams by how they went on.", ["how"]
        )
        self.relayed_bytes = self._counter("relayed_bytes_total", "Stream bytes to callers.")
        self.client_gone = self._counter("client_gone_total", "Callers gone before their answer.")
        self.yield_notices = self._counter("yield_notices_total", "Yield notices.", ["direction"])
        self.crash_evidence = self._counter(
            "crash_evidence_total",
            "Messages between gateways about requests that crash engines.",
            ["outcome"],
        )
        self.exchanges = self._counter("exchanges_total", "Exchanges with hubs.", ["outcome"])
        self.standstills = self._counter(
            "standstills_total", "Times that this process did not run for a second and more."
        )
        self.cache_event_gaps = self._counter(
            "cache_event_gaps_total", "Gaps in engines' cache events."
        )
        self.orphans_cancelled = self._counter(
            "batch_orphans_cancelled_total", "Batch requests of dead gateways that were cancelled."
        )
        self.open_streams = self._gauge("open_streams", "Streams being relayed.")
        self.queued = self._gauge("queued_requests", "Requests waiting for admission.")
        self.settings_version = self._gauge("settings_version", "Version of settings in force.")
        self.hub_quorum_age_s = self._gauge(
            "hub_quorum_age_seconds", "Since the hub heard the root group's leader."
        )
        self.owned_runners = self._gauge("owned_runners", "Runners owned by this gateway.")
        self.first_byte_s = Histogram(
            "leverjunction_first_byte_seconds",
            "From request read to first body byte sent.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

        self.usable_runners = Gauge(
            "leverjunction_usable_runners",
            "Runners listed that are neither leaving, unreachable nor ejected.",
            ["service"],
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, labels: list[str] | None = None) -> Counter:
        return Counter(f"leverjunction_{name}", text, labels or [], registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"leverjunction_{name}", text, registry=self.registry)
