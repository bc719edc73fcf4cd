"""How long to wait for a response head before sending a hedged request to another back end.

Only requests that may run more than once are hedged. A head that is overdue is mostly lost: the
back end has crashed or hangs, or the response was lost. Waiting for it alone makes the response
late for certain, while hedging too early runs requests twice for nothing. The delay therefore
follows the latencies of recent heads, a budget bounds the number of hedged requests, and a head
that is merely late is still used. At a back end that works slowly the head is expected late, so
that waiting as long as elsewhere for it misses the target: its delay is shorter.

Performs no I/O.
"""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 64
"""Number of recent latencies that are kept."""

MIN_SAMPLES = 16
"""Number of latencies needed to derive the hedge delay from them."""

MIN_UNQUEUED_SAMPLES = 4
"""Number of latencies needed to estimate the one without queueing. A gateway among hundreds has
one request per second: when this was 16, it had no estimate for most of a minute.
"""

HEDGE_QUANTILE = 0.9
"""Quantile of the recent latencies from which the hedge delay is derived."""

UNQUEUED_QUANTILE = 0.1
"""Quantile taken for the latency without queueing, even while most requests queue."""

HEDGE_FACTOR = 2.5
"""Hedge delay as a multiple of that quantile."""

MIN_TARGET_SHARE = 0.5
"""Minimum hedge delay, as a share of the route's target latency."""

DEFAULT_TARGET_FACTOR = 3.0
"""Hedge delay with too few samples, as a multiple of the route's target latency."""

MIN_DEFAULT_DELAY_S = 0.4
"""Minimum hedge delay with too few samples."""

HEDGE_RATIO = 0.05
"""Maximum share of requests that are hedged: under overload all responses are late, and hedging
would only add load.
"""


class HeadLatencies:
    """Latencies of one route's recent response heads, measured from sending the request."""

    __slots__ = ("_samples_s",)

    def __init__(self) -> None:
        self._samples_s: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record(self, latency_s: float) -> None:
        """Record the latency of one response head, in seconds."""
        self._samples_s.append(latency_s)

    def unqueued_s(self) -> float | None:
        """Return the estimated latency without queueing, in seconds; None with too few samples."""
        if len(self._samples_s) < MIN_UNQUEUED_SAMPLES:
            return None
        return sorted(self._samples_s)[int(len(self._samples_s) * UNQUEUED_QUANTILE)]

    def hedge_delay_s(self, target_ms: float, factor: float = 1.0) -> float:
        """Return how many seconds to wait for the next head before hedging.

        Args:
            target_ms: Target latency of the route, in milliseconds.
            factor: Expected time of work at the back end as a multiple of the mean.
        """
        if len(self._samples_s) < MIN_SAMPLES:
            return max(MIN_DEFAULT_DELAY_S, target_ms * DEFAULT_TARGET_FACTOR / 1000)
        ranked = sorted(self._samples_s)
        quantile_s = ranked[int(len(ranked) * HEDGE_QUANTILE)]
        hedge_factor = HEDGE_FACTOR / max(1.0, factor)
        return max(quantile_s * hedge_factor, target_ms * MIN_TARGET_SHARE / 1000)
