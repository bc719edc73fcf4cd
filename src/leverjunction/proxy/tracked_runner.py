"""Load and health of one back end (runner) as one gateway sees them.

The load that a back end reports is a few requests old, and other gateways send to it too. Its
current load is therefore estimated as this gateway's own requests there, plus the last report less
this gateway's share of it, which decays with age.

Performs no I/O: the time is passed in.
"""

from __future__ import annotations

import math

from leverjunction.proxy.dialect import EngineLoad
from leverjunction.proxy.prompt import PREFILL_TOKENS_PER_MS
from leverjunction.rates.back_end_rate import BackEndRate
from leverjunction.registry.records import RunnerRecord

LOAD_DECAY_S = 3.0
"""Time constant of the decay of other gateways' requests since the last report."""

DELAY_AVERAGE_WEIGHT = 0.2
"""Weight of the newest response in the moving average of a back end's response delay."""

DELAY_DECAY_S = 4.0

SUSPICION_DECAY_S = 4.0
"""Time constant of the decay of suspicion, so that a back end that failed is tried again."""

MAX_SUSPICION = 5.0

SUCCESS_SUSPICION_FACTOR = 0.5
"""Part of the suspicion that a response leaves: a back end that fails every other request keeps
being avoided.
"""

SHARED_LOAD_PRECEDENCE_S = 0.4
"""How long the loads sent by the leader of batch work take precedence over those in responses:
some of its datagrams may be lost.
"""

BURST_FACTOR = 2.0
"""Requests expected per reported one, since reports may predate a burst. Share of requests in time
with 165 gateways and bursts of five times the base rate: 0.968 with 1, 0.984 with 2 (emulator,
means of three seeds).
"""

MAX_QUEUE_AGE_S = 0.5
"""Maximum age of a report that requests wait at a back end."""

FIRST_EJECTION_S = 0.5

MAX_EJECTION_S = 8.0


class TrackedRunner:
    """Load and health of one start (instance) of a back end.

    Attributes:
        record: Its record in the registry.
        own_requests: Number of requests of this gateway at the back end.
        pending_prefill_ms: Prefill time of those whose responses have not started.
        other_requests: Number of other gateways' requests, as of ``load_updated_s``.
        load_updated_s: Monotonic time of the last load report.
        rate: How fast it works.
        slots: Number of requests that the back end can run at once.
        ejected_until_s: Monotonic time until which it gets no work if there is another back end.
        reported_waiting: Number of requests in its queue at the last load report.
        reported_running: Number of requests that it was processing then.
        reported_s: Monotonic time of that report.
    """

    __slots__ = (
        "_delay_ms",
        "_delay_updated_s",
        "_lag_s",
        "_shared_load_s",
        "_suspicion",
        "_suspicion_updated_s",
        "ejected_until_s",
        "load_updated_s",
        "other_requests",
        "own_requests",
        "pending_prefill_ms",
        "rate",
        "record",
        "reported_running",
        "reported_s",
        "reported_waiting",
        "slots",
    )

    def __init__(self, record: RunnerRecord) -> None:
        self.record = record
        self.rate = BackEndRate()
        self.own_requests = 0
        self.pending_prefill_ms = 0.0
        self.other_requests = 0.0
        self.load_updated_s = 0.0
        self.slots = max(1, record.slots)
        self.ejected_until_s = 0.0
        self.reported_waiting = 0
        self.reported_running = 0
        self.reported_s = float("-inf")
        self._delay_ms = 0.0
        self._delay_updated_s = 0.0
        self._shared_load_s = float("-inf")
        self._lag_s = 0.0
        self._suspicion = 0.0
        self._suspicion_updated_s = 0.0

    def unreported(self, now_s: float, run_s: float) -> float:
        """Estimate how many requests other gateways have sent since the last load report.

        In a steady state as many requests start as finish: in the time of one run as many as the
        back end has, and in a burst more.

        Args:
            now_s: Monotonic time in seconds.
            run_s: Average time in seconds for which a request occupies a slot.
        """
        age_s = min(now_s - self.load_updated_s + self._lag_s, run_s)
        return self.other_requests * BURST_FACTOR * age_s / run_s

    def load(self, now_s: float) -> float:
        """Return the estimated number of requests at the back end, running and waiting."""
        return self.own_requests + self.other_requests * math.exp(
            (self.load_updated_s - now_s) / LOAD_DECAY_S
        )

    def queue(self, now_s: float) -> tuple[float, int]:
        """Return how many requests must finish before one more starts, and how many run at once.

        Requests that wait beside free slots wait for memory: then no more run at once than do now.

        Args:
            now_s: Monotonic time in seconds.
        """
        queue = self.load(now_s) + 1 - self.slots
        waits = self.reported_waiting > 0 and now_s - self.reported_s <= MAX_QUEUE_AGE_S
        if not waits or queue > self.reported_waiting:
            return queue, self.slots
        return self.reported_waiting + 1, max(1, min(self.slots, self.reported_running))

    def record_head(self, head_latency_s: float, tokens_in: int, now_s: float) -> None:
        """Record the latency of a response head; prefill time does not count as delay.

        Args:
            head_latency_s: Time from sending the request to the response head, in seconds.
            tokens_in: Length of the prompt.
            now_s: Monotonic time in seconds.
        """
        delay_ms = max(0.0, head_latency_s * 1000 - tokens_in / PREFILL_TOKENS_PER_MS)
        known_ms = self.delay_ms(now_s)
        self._delay_ms = known_ms + (delay_ms - known_ms) * DELAY_AVERAGE_WEIGHT
        self._delay_updated_s = now_s

    def delay_ms(self, now_s: float) -> float:
        """Return the average delay of recent responses, in milliseconds; it decays without any."""
        return self._delay_ms * math.exp((self._delay_updated_s - now_s) / DELAY_DECAY_S)

    def suspicion(self, now_s: float) -> float:
        """Return the decaying failure score: 1 right after a single failure, then less."""
        return self._suspicion * math.exp((self._suspicion_updated_s - now_s) / SUSPICION_DECAY_S)

    def failed(self, now_s: float) -> None:
        """Record a failure: eject the back end for a time that grows with each failure."""
        self._suspicion = min(MAX_SUSPICION, self.suspicion(now_s) + 1)
        self._suspicion_updated_s = now_s
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (self._suspicion - 1))
        self.ejected_until_s = max(self.ejected_until_s, now_s + pause_s)

    def succeeded(self, now_s: float) -> None:
        """Reduce the suspicion; ignored while ejected, as the request predates the failure."""
        if now_s >= self.ejected_until_s:
            self._suspicion = self.suspicion(now_s) * SUCCESS_SUSPICION_FACTOR
            self._suspicion_updated_s = now_s

    def report_load(self, load: EngineLoad, now_s: float) -> None:
        """Update the load from a response whose request still counts in ``own_requests``."""
        if load.slots:
            self.slots = load.slots
        if load.slowdown is not None:
            self.rate.report(load.slowdown, now_s)
        self.reported_waiting, self.reported_running = load.waiting, load.running
        self.reported_s = now_s
        if now_s - self._shared_load_s <= SHARED_LOAD_PRECEDENCE_S:
            # The report also counts batch work, which yields to online requests.
            return
        self.other_requests = max(0.0, load.running + load.waiting - self.own_requests)
        self.load_updated_s = now_s
        self._lag_s = 0.0

    def set_other_load(self, online: int, now_s: float, lag_s: float = 0.0) -> None:
        """Set other gateways' online requests, as sent by the leader of batch work.

        Args:
            online: Number of requests.
            now_s: Monotonic time in seconds.
            lag_s: Average age, in seconds, of the gateways' reports to the leader.
        """
        self.other_requests = online
        self.load_updated_s = self._shared_load_s = now_s
        self._lag_s = lag_s
