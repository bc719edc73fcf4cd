"""Latency histograms (HdrHistogram) and the figures read from them."""

from __future__ import annotations

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
MS_PER_S = 1_000


@dataclass(frozen=True)
class LatencySummary:
    """Percentiles of a latency, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class LatencyRecorder:
    """Records durations in seconds into one histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, duration_s: float) -> None:
        """Add one duration."""
        microseconds = max(LOWEST_US, round(duration_s * US_PER_S))
        self._histogram.record_value(min(microseconds, HIGHEST_US))

    def add(self, other: LatencyRecorder) -> None:
        """Add all durations of another recorder."""
        self._histogram.add(other._histogram)

    def summary(self) -> LatencySummary:
        """Return count and percentiles."""
        return LatencySummary(
            count=self._histogram.get_total_count(),
            p50_ms=self._percentile_ms(50),
            p95_ms=self._percentile_ms(95),
            p99_ms=self._percentile_ms(99),
            max_ms=self._histogram.get_max_value() / MS_PER_S,
        )

    def _percentile_ms(self, percentile: float) -> float:
        return float(self._histogram.get_value_at_percentile(percentile)) / MS_PER_S
