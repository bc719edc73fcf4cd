"""Controller of the number of batch requests on one runner.

Harvesting means running batch requests on capacity that online requests leave unused. An idle
runner is filled with batch requests; a runner with online requests keeps only a few.

The controller does no I/O and reads no clock. The harvester of a gateway and the simulator create
one per runner, report events to it together with their time, and ask it for decisions.

Rules:

* *Idle* (no known online request): fill the runner, but limit the step time, because an online
  request that arrives must wait for the end of the running step.
* *Busy*: ``interference`` limits how much batch work may lengthen a step. That allowance is split
  between decoding and prefill. If decoding used all of it, no prompt could be read and no new
  item could start.
* With a small ``interference``, one prefill chunk alone makes a step longer than allowed. Such
  steps are rationed so that they do not show in the 99th percentile of the step time.
* *Parking* cancels a batch request and keeps its text, so that it can be continued later. Batch
  requests are parked as soon as an online request arrives, and the runner is refilled only after
  online requests have been absent for a moment. Load reports lag, so without that delay the same
  items would be parked and restarted again and again.
* ``batch_floor`` decoding requests stay on the runner in any case.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from leverjunction.backends.types import LoadReport
from leverjunction.batch.step_time import StepTimeModel

DECODE_SHARE = 0.5
"""Share of the allowed step growth for decoding batch requests; the rest is for their prefill."""

MIN_LONG_STEP_RATIO = 0.002
"""Share of steps that may exceed the target because of batch prefill.

A p99 ignores 1% of the steps. Batch prefill may use a fifth of that; prompts of online requests
use up the rest.
"""

LONG_STEP_EXPONENT = 4
"""Exponent of the growth of the long-step share as the target approaches the prefill step time.

With this exponent, long steps do not show in the p99 while the target is below a third of a
prefill step.
"""

REFILL_DELAY_S = 0.15
"""Time without online requests before the runner is refilled.

It is longer than the usual lag of a load report and far shorter than 1 s.
"""

NOTICE_HOLD_S = 0.5
"""How long a yield notice counts as an online request.

A notice does not announce the end of its request, so it holds until load reports can show it.
"""

REPORT_LAG_S = 0.2
"""Usual age of a load report's content on arrival, including the network delay."""

REPORT_STALE_S = 2.0
"""Age of the last load report beyond which the runner's state is unknown and nothing starts."""

IDLE_GROWTH_BASE = 0.5
IDLE_GROWTH_PER_INTERFERENCE = 5.0
"""Allowed relative growth of a step on an idle runner: base + factor * interference.

This bounds how long an arriving online request waits for the running step.
"""

PREFILL_CHUNK_TOKENS = 128
"""Prompt tokens of batch requests that an engine processes per step."""

DEFAULT_PROMPT_TOKENS = 768
"""Prompt length assumed when the caller does not know it."""

DEFAULT_PROMPT_STEPS = math.ceil(DEFAULT_PROMPT_TOKENS / PREFILL_CHUNK_TOKENS)

MAX_PREFILL_CREDIT_STEPS = 16.0
"""Upper limit of the saved prefill credit: enough to start about one request."""

ONLINE_FORGET_AFTER_S = 1.0
ONLINE_FORGET_AFTER_REPORTS = 3
"""When announced online requests are considered gone without an announced end.

That is after this many consecutive load reports without online requests, all received later than
this time after the last arrival. The end of a request is never announced if its process was
killed or the calling thread died.
"""


class HarvestTargets(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a service that limit batch work on its runners.

    Attributes:
        interference: Allowed growth of the step time while online requests run; 0.05 is 5%.
        batch_floor: Batch requests that stay on the runner even while online requests run.
        batch_max_running: Maximum number of batch requests on the runner.
    """

    interference: float
    batch_floor: int
    batch_max_running: int


class HarvestDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Changes to make now to the batch work on one runner.

    Attributes:
        allowed: Number of batch requests that the runner may hold.
        start: Number of batch requests that may be started now.
        park: Keys of the requests to cancel now; they are continued later with their text.
        reason: Explanation for operators.
    """

    allowed: int
    start: int
    park: list[int]
    reason: str


@dataclass
class _HeldRequest:
    """A batch request on the runner.

    Attributes:
        started_s: When the request was sent, in monotonic seconds.
        may_park: Whether the request may be cancelled and continued later.
        prefill_end_s: Estimated end of its prefill, in monotonic seconds.
        is_prefill_paid: Whether its prefill steps were deducted from the prefill credit.
        parking: Whether parking has been decided.
    """

    started_s: float
    may_park: bool
    prefill_end_s: float
    is_prefill_paid: bool
    parking: bool = False


@dataclass
class HarvestController:
    """Decides how many batch requests one runner holds. Not thread-safe.

    Args:
        targets: Settings in force; replace the attribute when they change.
        step_time: Model of the runner's step time.
    """

    targets: HarvestTargets
    step_time: StepTimeModel = field(default_factory=StepTimeModel)
    _held: dict[int, _HeldRequest] = field(default_factory=dict)
    _local_online: int = 0
    _last_arrival_s: float = -math.inf
    _empty_reports: int = 0
    _reported_online: int = 0
    _reported_s: float = -math.inf
    _notice_until_s: float = -math.inf
    _busy_until_s: float = -math.inf
    _prefill_credit_steps: float = 0.0
    _prefill_end_s: float = -math.inf
    _credit_updated_s: float = 0.0

    @property
    def held(self) -> int:
        """Number of batch requests on the runner that are not being parked."""
        return sum(1 for held in self._held.values() if not held.parking)

    def online_arrived(self, now_s: float) -> None:
        """Record that this process is about to send an online request to the runner."""
        self._mark_busy(now_s, now_s + REFILL_DELAY_S)
        self._local_online += 1
        self._last_arrival_s = now_s
        self._empty_reports = 0

    def online_finished(self, now_s: float) -> None:
        """Record the end of an online request that ``online_arrived`` announced."""
        self._local_online = max(0, self._local_online - 1)
        self._busy_until_s = max(self._busy_until_s, now_s + REFILL_DELAY_S)

    def notice_arrived(self, now_s: float) -> None:
        """Record a yield notice: another process has sent an online request to the runner."""
        self._mark_busy(now_s, now_s + NOTICE_HOLD_S)
        self._notice_until_s = now_s + NOTICE_HOLD_S

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Process a load report, which may be older than events recorded before it."""
        batch = report.batch_running + report.batch_waiting
        online_count = max(0, report.running + report.waiting - batch)
        if online_count:
            self._mark_busy(now_s, now_s + REFILL_DELAY_S)
        self._reported_online = online_count
        self._reported_s = now_s
        if online_count:
            self._empty_reports = 0
        elif now_s - self._last_arrival_s > ONLINE_FORGET_AFTER_S:
            self._empty_reports += 1
            if self._empty_reports >= ONLINE_FORGET_AFTER_REPORTS:
                self._local_online = 0
        prefilling = self._count_prefilling(now_s)
        self.step_time.observe(
            max(0, report.running - min(prefilling, report.batch_running)),
            report.step_ms,
            has_prefill=prefilling > 0,
            with_online=self._reported_online > 0,
        )

    def started(
        self,
        request: int,
        now_s: float,
        *,
        may_park: bool = True,
        prompt_tokens: int = DEFAULT_PROMPT_TOKENS,
    ) -> None:
        """Record that a batch request was sent to the runner.

        Args:
            request: Key of the request, used in ``ended`` and in ``HarvestDecision.park``.
            now_s: Monotonic time in seconds.
            may_park: Whether the request may be cancelled.
            prompt_tokens: Tokens that the runner processes before it decodes.
        """
        steps = math.ceil(prompt_tokens / PREFILL_CHUNK_TOKENS)
        step_ms = self.step_time.predict_ms(self.held, has_prefill=True)
        # Prompts are processed one after another, one chunk per step.
        self._prefill_end_s = max(self._prefill_end_s, now_s) + steps * step_ms / 1000
        is_busy = self.is_busy(now_s)
        if is_busy:
            self._prefill_credit_steps -= steps
        self._held[request] = _HeldRequest(
            started_s=now_s,
            may_park=may_park,
            prefill_end_s=self._prefill_end_s,
            is_prefill_paid=is_busy,
        )

    def ended(self, request: int) -> None:
        """Record that a batch request has left the runner: finished, failed or parked."""
        self._held.pop(request, None)

    def online_count(self, now_s: float) -> int:
        """Return the estimated number of online requests on the runner."""
        noticed = 1 if now_s < self._notice_until_s else 0
        reported = self._reported_online if now_s - self._reported_s < REPORT_STALE_S else 0
        return max(self._local_online, noticed, reported)

    def idle_capacity(self) -> int:
        """Return how many batch requests the runner may hold without online requests."""
        growth = IDLE_GROWTH_BASE + IDLE_GROWTH_PER_INTERFERENCE * self.targets.interference
        budget_ms = self.step_time.predict_ms(1) * (1.0 + growth) - self.step_time.predict_ms(0)
        return min(
            self.targets.batch_max_running,
            max(1, math.floor(budget_ms / self.step_time.per_sequence_ms)),
        )

    def seconds_without_report(self, now_s: float) -> float:
        """Return the time since the runner's last load report, in seconds."""
        return now_s - self._reported_s

    def is_busy(self, now_s: float) -> bool:
        """Return whether the runner has online requests, or had some a moment ago."""
        return self.online_count(now_s) > 0 or now_s < self._busy_until_s

    def decide(self, now_s: float) -> HarvestDecision:
        """Return the decision after all recorded events; the caller must apply it immediately."""
        if now_s - self._reported_s > REPORT_STALE_S:
            return HarvestDecision(
                allowed=self.held, start=0, park=[], reason="no recent load report: starts nothing"
            )
        if not self.is_busy(now_s):
            return self._decide_idle(now_s)
        return self._decide_with_online(now_s)

    def _mark_busy(self, now_s: float, until_s: float) -> None:
        """Count the runner as busy at least until ``until_s``.

        Prefill credit is earned only while the runner is busy. On a change from idle to busy the
        credit therefore starts from now, even if no decision was requested while it was idle.
        """
        if not self.is_busy(now_s):
            self._credit_updated_s = now_s
        self._busy_until_s = max(self._busy_until_s, until_s)

    def _count_prefilling(self, now_s: float) -> int:
        """Return how many batch requests were in prefill when the newest report was made.

        The report is assumed to have the usual age.
        """
        report_time_s = now_s - REPORT_LAG_S
        return sum(
            1
            for held in self._held.values()
            if held.started_s <= report_time_s < held.prefill_end_s
        )

    def _decide_idle(self, now_s: float) -> HarvestDecision:
        self._credit_updated_s = now_s
        allowed = self.idle_capacity()
        return HarvestDecision(
            allowed=allowed,
            start=max(0, allowed - self.held),
            park=[],
            reason=f"no online requests: up to {allowed} batch requests, predicted step "
            f"{self.step_time.predict_ms(allowed):.1f} ms",
        )

    def _decide_with_online(self, now_s: float) -> HarvestDecision:
        online_count = self.online_count(now_s)
        step_ms = self.step_time.predict_ms(max(1, online_count))
        decode_ms = step_ms * self.targets.interference * DECODE_SHARE
        fitting = math.floor(decode_ms / self.step_time.per_sequence_ms)
        allowed = min(self.targets.batch_max_running, max(fitting, self.targets.batch_floor))
        self._add_prefill_credit(now_s, step_ms)
        missing = max(0, allowed - self.held)
        # Requests start one at a time, once the credit covers a prompt of the default length; the
        # cost of the actual prompt is known only in started().
        start = min(missing, 1) if self._prefill_credit_steps >= DEFAULT_PROMPT_STEPS else 0
        return HarvestDecision(
            allowed=allowed,
            start=start,
            park=self._select_parked(allowed, now_s, step_ms),
            reason=f"{online_count} online requests: {fitting} batch requests fit into "
            f"{decode_ms:.2f} ms of a {step_ms:.1f} ms step, floor {self.targets.batch_floor}",
        )

    def _long_step_ratio(self, step_ms: float) -> float:
        """Return the share of steps that may contain batch prefill while online requests run.

        If a prefill chunk fits into the target, every step may contain one. Otherwise the share
        is small enough to keep such steps out of the p99, and grows only as the target approaches
        their length.
        """
        budget_ms = step_ms * self.targets.interference * (1.0 - DECODE_SHARE)
        share = budget_ms / self.step_time.prefill_ms
        return min(1.0, max(MIN_LONG_STEP_RATIO, share**LONG_STEP_EXPONENT))

    def _add_prefill_credit(self, now_s: float, step_ms: float) -> None:
        """Add the steps since the last call that may contain batch prefill to the credit."""
        steps = max(0.0, now_s - self._credit_updated_s) * 1000 / step_ms
        self._credit_updated_s = now_s
        earned = self._prefill_credit_steps + steps * self._long_step_ratio(step_ms)
        self._prefill_credit_steps = min(earned, MAX_PREFILL_CREDIT_STEPS)

    def _select_parked(self, allowed: int, now_s: float, step_ms: float) -> list[int]:
        """Select the requests to park, newest first, and mark them.

        The newest requests have the least progress to lose and may still be in prefill. Requests
        in prefill are parked even below the floor, because their steps are the long ones, unless
        the credit has paid for them. The floor is kept by the decoding requests and refilled at
        the rate that the credit allows.
        """
        candidates = sorted(
            (held.started_s, request)
            for request, held in self._held.items()
            if held.may_park and not held.parking
        )
        candidates.reverse()
        surplus = max(0, self.held - allowed)
        chosen = [request for _, request in candidates[:surplus]]
        if self._long_step_ratio(step_ms) < 1.0:
            chosen += [
                request
                for _, request in candidates[surplus:]
                if self._held[request].prefill_end_s > now_s
                and not self._held[request].is_prefill_paid
            ]
        for request in chosen:
            self._held[request].parking = True
        return chosen
