"""Turns readings of a window into the figures of a result."""

from __future__ import annotations

from collections.abc import Sequence

import numpy
from hdrh.histogram import HdrHistogram

from testbed.scale.counting import WireCount
from testbed.scale.gateway_worker import (
    MAX_LATENCY_US,
    SIGNIFICANT_DIGITS,
    GatewayWorkerReport,
)
from testbed.scale.hollow_gateway import InForce
from testbed.scale.lease_traffic import LeaseCount
from testbed.scale.operators import ChangeTime
from testbed.scale.resources import Usage
from testbed.scale.result import ChangeResult, GatewaySide, Quantiles
from testbed.scale.strikes import Struck

US_PER_MS = 1000.0


def quantiles(values: Sequence[float]) -> Quantiles:
    """Return median, 99th percentile and maximum; zeros when there are no values."""
    if not values:
        return Quantiles(0.0, 0.0, 0.0, 0)
    p50, p99 = numpy.percentile(numpy.array(values), [50, 99])
    return Quantiles(float(p50), float(p99), float(max(values)), len(values))


def merged_latency(reports: Sequence[GatewayWorkerReport]) -> Quantiles:
    """Return the exchange latency of all workers, in milliseconds."""
    merged = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for report in reports:
        merged.decode_and_add(report.latency)
    if merged.get_total_count() == 0:
        return Quantiles(0.0, 0.0, 0.0, 0)
    return Quantiles(
        merged.get_value_at_percentile(50) / US_PER_MS,
        merged.get_value_at_percentile(99) / US_PER_MS,
        merged.get_max_value() / US_PER_MS,
        int(merged.get_total_count()),
    )


def gateway_side(
    before: Sequence[GatewayWorkerReport],
    after: Sequence[GatewayWorkerReport],
    worker_usage: Sequence[Usage],
    gateways: int,
) -> GatewaySide:
    """Return what all hollow gateways did between two sets of reports, worker by worker."""
    wire = WireCount()
    leases = LeaseCount()
    exchanges_per_s = 0.0
    payload = wire_total = sent = received = digests = 0.0
    for first, last in zip(before, after, strict=True):
        seconds = max(last.monotonic_s - first.monotonic_s, 1e-9)
        wire = last.wire.minus(first.wire)
        exchanges_per_s += (last.exchanges - first.exchanges) / seconds
        payload += wire.payload_bytes / seconds
        wire_total += wire.wire_bytes / seconds
        sent += wire.sent_bytes / seconds
        received += wire.received_bytes / seconds
        digests += (last.digests_received - first.digests_received) / seconds
        leases = leases.plus(last.leases.minus(first.leases))
    return GatewaySide(
        exchanges_per_s=exchanges_per_s,
        failed_exchanges=_total(after, "failed_exchanges") - _total(before, "failed_exchanges"),
        full_views=_total(after, "full_views") - _total(before, "full_views"),
        exchange_ms=merged_latency(after),
        payload_bytes_per_gateway_s=payload / gateways,
        wire_bytes_per_gateway_s=wire_total / gateways,
        sent_payload_bytes_per_gateway_s=sent / gateways,
        received_payload_bytes_per_gateway_s=received / gateways,
        digests_per_gateway_s=digests / gateways,
        core_ratio_per_gateway=sum(usage.core_ratio for usage in worker_usage) / gateways,
        rss_bytes_per_gateway=sum(usage.rss_bytes for usage in worker_usage) / gateways,
        leases=leases,
        failure_reasons=_reasons(after),
    )


def change_result(
    change: ChangeTime, records: Sequence[InForce], struck: Struck | None
) -> ChangeResult:
    """Return how long a change took to be in force, over the gateways that got it."""
    zones = frozenset[str]() if struck is None else struck.zones
    spared = _first_in_force([each for each in records if each.zone not in zones], change.version)
    hit = _first_in_force([each for each in records if each.zone in zones], change.version)
    caught_up: list[float] = []
    if struck is not None and struck.until_s is not None:
        # A change that was in force before the strike has nothing to catch up with.
        since_s = max(change.sent_s, struck.until_s)
        caught_up = [time_s - since_s for time_s in hit if time_s > struck.at_s]
    return ChangeResult(
        version=change.version,
        acknowledged_s=change.acknowledged_s - change.sent_s,
        in_force_s=quantiles([time_s - change.sent_s for time_s in spared]),
        reached=len(spared) + len(hit),
        caught_up_s=quantiles(caught_up),
        after_strike=struck is not None and change.sent_s > struck.at_s,
    )


def _first_in_force(records: Sequence[InForce], version: int) -> list[float]:
    """Return when each gateway first had a version, or a later one, in force."""
    first: dict[str, float] = {}
    for record in records:
        if record.version >= version:
            earlier = first.get(record.gateway_id, record.monotonic_s)
            first[record.gateway_id] = min(earlier, record.monotonic_s)
    return list(first.values())


def _total(reports: Sequence[GatewayWorkerReport], field: str) -> int:
    return sum(int(getattr(report, field)) for report in reports)


def _reasons(reports: Sequence[GatewayWorkerReport]) -> dict[str, int]:
    total: dict[str, int] = {}
    for report in reports:
        for reason, count in report.failure_reasons.items():
            total[reason] = total.get(reason, 0) + count
    return total
