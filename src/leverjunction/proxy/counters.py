"""Counters of a proxy process (prometheus_client)."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter


class ProxyCounters:
    """What a proxy counts."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.requests = Counter(
            "proxy_requests_total", "Requests passed on, by outcome", ["outcome"], registry=registry
        )
        self.refusals = Counter(
            "proxy_refusals_total", "The proxy's own answers, by kind", ["kind"], registry=registry
        )
        self.sends = Counter(
            "proxy_sends_total", "Sends to back ends, by result", ["result"], registry=registry
        )
        self.lines_lost = Counter(
            "log_lines_lost_total", "Decision lines lost to a slow reader", registry=registry
        )
