"""How many batch requests one runner may hold: all it can while idle, little beside online work.

Pure: one controller a runner, fed with events (each with the time), asked for a decision. Used by
the harvester in a gateway and by the simulator.

The rules, and why:

* *Idle* (no online request known): fill the runner, but only up to the step time that an arriving
  online request may find running, since a step that has begun cannot be stopped.
* *Busy*: the growth of the step that ``interference`` allows is split between decoding and
  reading prompts. Filling decode slots up to the target would leave no room for prompts, and
  then no item could start.
* A prompt chunk makes single steps longer than the target when the target is small. Such steps
  are kept so rare that they stay out of the 99th percentile.
* *Park at once* on the first arrival, *refill only after* online has been gone for a moment:
  reports lag, and parking at every arrival with a lag would restart the same items for ever. A
  floor keeps ``batch_floor`` requests on the runner whatever happens.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from leverjunction.backends.types import LoadReport
from leverjunction.batch.step_time import StepTimeModel

DECODE_SHARE = 0.5
"""Share of the allowed growth for decoding batch sequences; the rest is for their prompts."""

RARE_STEP_RATIO = 0.002
"""Share of steps that may exceed the target for a prompt: a fifth of what the p99 shows, as online
prompts themselves use up the rest."""

LONG_STEP_POWER = 4
"""How steeply the ration grows as the target comes near the length of a prompt step: so that the
share of longer steps stays out of the 99th percentile until the target is a third of one."""

REFILL_HOLD_S = 0.15
"""Online must be gone this long before a refill: above a report's usual lag, far below 1 s."""

NOTICE_HOLD_S = 0.5
"""A yield notice says nothing of the request's end: it holds until reports can show it."""

REPORT_LAG_S = 0.2
"""Usual age of what a report tells, its way included."""

REPORT_STALE_S = 2.0
"""Without a report for this long the runner's state is unknown and nothing new starts."""

IDLE_GROWTH_BASE = 0.5
IDLE_GROWTH_PER_INTERFERENCE = 5.0
"""Idle steps may grow by base + factor * interference: what an arriving request may find."""

PREFILL_CHUNK_TOKENS = 128
"""Prompt tokens that engines read in a step for batch work: what a start costs in steps."""

DEFAULT_PROMPT_TOKENS = 768
"""Assumed when the caller does not know the length of a prompt."""

USUAL_PROMPT_STEPS = math.ceil(DEFAULT_PROMPT_TOKENS / PREFILL_CHUNK_TOKENS)

MAX_CREDIT_STEPS = 16.0
"""Steps beyond the target that may be saved up: about one start."""

FORGET_ONLINE_S = 1.0
FORGET_ONLINE_REPORTS = 3
"""Announced requests count as gone when so many reports, this long after, show none: the end of
one may never be announced (a process was killed, a caller's thread died)."""


class HarvestTargets(msgspec.Struct, frozen=True, kw_only=True):
    """The service's settings that bound batch on a runner.

    Attributes:
        interference: Allowed growth of the step time beside online work; 0.05 is 5%.
        batch_floor: Batch requests kept even beside online work.
        batch_max_running: Most batch requests on the runner at any time.
    """

    interference: float
    batch_floor: int
    batch_max_running: int


class HarvestDecision(msgspec.Struct, frozen=True, kw_only=True):
    """What to do with one runner's batch work now.

    Attributes:
        allowed: Batch requests that it may hold.
        start: How many may be started now.
        park: Requests to cancel now; their text is kept and they go on later.
        reason: One sentence that says why.
    """

    allowed: int
    start: int
    park: list[int]
    reason: str


@dataclass
class _Held:
    """A batch request on the runner.

    ``prompt_read_s`` is when its prompt is estimated to have been read; ``is_rationed`` says that
    its prompt steps beside online work are paid for.
    """

    started_s: float
    may_park: bool
    prompt_read_s: float
    is_rationed: bool
    parking: bool = False


@dataclass
class HarvestController:
    """Controller of one runner. Not safe for threads; the caller serialises calls.

    Args:
        targets: Settings in force; replace the attribute when they change.
    """

    targets: HarvestTargets
    step_time: StepTimeModel = field(default_factory=StepTimeModel)
    _held: dict[int, _Held] = field(default_factory=dict)
    _local_online: int = 0
    _last_arrival_s: float = -math.inf
    _empty_reports: int = 0
    _reported_online: int = 0
    _reported_s: float = -math.inf
    _notice_until_s: float = -math.inf
    _busy_until_s: float = -math.inf
    _credit_steps: float = 0.0
    _prompts_read_s: float = -math.inf
    _credit_s: float = 0.0

    @property
    def held(self) -> int:
        """Batch requests on the runner that are not being parked."""
        return sum(1 for held in self._held.values() if not held.parking)

    def online_arrived(self, now_s: float) -> None:
        """An online request is about to be sent to the runner through this process."""
        self._be_busy(now_s, now_s + REFILL_HOLD_S)
        self._local_online += 1
        self._last_arrival_s = now_s
        self._empty_reports = 0

    def online_finished(self, now_s: float) -> None:
        """An online request that was announced by ``online_arrived`` has ended."""
        self._local_online = max(0, self._local_online - 1)
        self._busy_until_s = max(self._busy_until_s, now_s + REFILL_HOLD_S)

    def notice_arrived(self, now_s: float) -> None:
        """Another process has sent an online request to the runner (yield notice)."""
        self._be_busy(now_s, now_s + NOTICE_HOLD_S)
        self._notice_until_s = now_s + NOTICE_HOLD_S

    def observe(self, report: LoadReport, now_s: float) -> None:
        """Take a load report, which may lag behind the events above."""
        batch = report.batch_running + report.batch_waiting
        online = max(0, report.running + report.waiting - batch)
        if online:
            self._be_busy(now_s, now_s + REFILL_HOLD_S)
        self._reported_online = online
        self._reported_s = now_s
        if online:
            self._empty_reports = 0
        elif now_s - self._last_arrival_s > FORGET_ONLINE_S:
            self._empty_reports += 1
            if self._empty_reports >= FORGET_ONLINE_REPORTS:
                self._local_online = 0
        reading = self._reading(now_s)
        self.step_time.observe(
            max(0, report.running - min(reading, report.batch_running)),
            report.step_ms,
            reads_prompt=reading > 0,
            beside_online=self._reported_online > 0,
        )

    def started(
        self,
        request: int,
        now_s: float,
        *,
        may_park: bool = True,
        prompt_tokens: int = DEFAULT_PROMPT_TOKENS,
    ) -> None:
        """A batch request was sent to the runner.

        Args:
            request: Key of the request, for ``ended`` and for parking.
            now_s: Monotonic time.
            may_park: False when it must not be cancelled.
            prompt_tokens: Tokens that the runner has to read before it decodes.
        """
        steps = math.ceil(prompt_tokens / PREFILL_CHUNK_TOKENS)
        step_ms = self.step_time.predict_ms(self.held, reads_prompt=True)
        # Prompts are read one after another, a chunk in each step.
        self._prompts_read_s = max(self._prompts_read_s, now_s) + steps * step_ms / 1000
        is_busy = self.is_busy(now_s)
        if is_busy:
            self._credit_steps -= steps
        self._held[request] = _Held(
            started_s=now_s,
            may_park=may_park,
            prompt_read_s=self._prompts_read_s,
            is_rationed=is_busy,
        )

    def ended(self, request: int) -> None:
        """A batch request has left the runner: finished, failed or parked."""
        self._held.pop(request, None)

    def online(self, now_s: float) -> int:
        """Return how many online requests the runner is believed to have."""
        noticed = 1 if now_s < self._notice_until_s else 0
        reported = self._reported_online if now_s - self._reported_s < REPORT_STALE_S else 0
        return max(self._local_online, noticed, reported)

    def idle_capacity(self) -> int:
        """Return how many batch requests the runner may hold while no online work is there."""
        growth = IDLE_GROWTH_BASE + IDLE_GROWTH_PER_INTERFERENCE * self.targets.interference
        room_ms = self.step_time.predict_ms(1) * (1.0 + growth) - self.step_time.predict_ms(0)
        return min(
            self.targets.batch_max_running,
            max(1, math.floor(room_ms / self.step_time.per_sequence_ms)),
        )

    def seconds_without_report(self, now_s: float) -> float:
        """Return how long the runner has not reported its load."""
        return now_s - self._reported_s

    def is_busy(self, now_s: float) -> bool:
        """Return whether online work is there, or was a moment ago."""
        return self.online(now_s) > 0 or now_s < self._busy_until_s

    def decide(self, now_s: float) -> HarvestDecision:
        """Decide from all events so far; the caller carries the decision out at once."""
        if now_s - self._reported_s > REPORT_STALE_S:
            return HarvestDecision(
                allowed=self.held, start=0, park=[], reason="no load report; nothing new starts"
            )
        if not self.is_busy(now_s):
            return self._decide_idle(now_s)
        return self._decide_busy(now_s)

    def _be_busy(self, now_s: float, until_s: float) -> None:
        """Count as busy until a time, or for longer if more says so.

        Idle time earns no prompt steps, also when nobody asked for a decision meanwhile.
        """
        if not self.is_busy(now_s):
            self._credit_s = now_s
        self._busy_until_s = max(self._busy_until_s, until_s)

    def _reading(self, now_s: float) -> int:
        """Return how many batch prompts were still being read at the time of a usual report."""
        then_s = now_s - REPORT_LAG_S
        return sum(
            1 for held in self._held.values() if held.started_s <= then_s < held.prompt_read_s
        )

    def _decide_idle(self, now_s: float) -> HarvestDecision:
        self._credit_s = now_s
        allowed = self.idle_capacity()
        return HarvestDecision(
            allowed=allowed,
            start=max(0, allowed - self.held),
            park=[],
            reason=f"no online request: fills up to {allowed}, a step of "
            f"{self.step_time.predict_ms(allowed):.1f} ms",
        )

    def _decide_busy(self, now_s: float) -> HarvestDecision:
        online = self.online(now_s)
        step_ms = self.step_time.predict_ms(max(1, online))
        decode_ms = step_ms * self.targets.interference * DECODE_SHARE
        within = math.floor(decode_ms / self.step_time.per_sequence_ms)
        allowed = min(self.targets.batch_max_running, max(within, self.targets.batch_floor))
        self._earn_credit(now_s, step_ms)
        wanted = max(0, allowed - self.held)
        # One at a time, once a usual prompt is paid for: its own cost is known when it starts.
        start = min(wanted, 1) if self._credit_steps >= USUAL_PROMPT_STEPS else 0
        return HarvestDecision(
            allowed=allowed,
            start=start,
            park=self._to_park(allowed, now_s, step_ms),
            reason=f"{online} online: {within} fit into {decode_ms:.2f} ms of a {step_ms:.1f} ms "
            f"step, floor {self.targets.batch_floor}",
        )

    def _long_step_ratio(self, step_ms: float) -> float:
        """Return the share of steps that may read batch prompts beside online work.

        Within the target every step may. Longer ones are rationed: so few that the p99 shows none
        while the target is far below their length, more only as it comes near.
        """
        budget_ms = step_ms * self.targets.interference * (1.0 - DECODE_SHARE)
        share = budget_ms / self.step_time.prefill_ms
        return min(1.0, max(RARE_STEP_RATIO, share**LONG_STEP_POWER))

    def _earn_credit(self, now_s: float, step_ms: float) -> None:
        """Earn steps that may read batch prompts beside online work."""
        steps = max(0.0, now_s - self._credit_s) * 1000 / step_ms
        self._credit_s = now_s
        earned = self._credit_steps + steps * self._long_step_ratio(step_ms)
        self._credit_steps = min(earned, MAX_CREDIT_STEPS)

    def _to_park(self, allowed: int, now_s: float, step_ms: float) -> list[int]:
        """Choose what to park: the newest first, as they lose least and still read prompts.

        Those that are still reading go even below the floor, unless that is paid for: their steps
        are the long ones. The floor is kept by those that decode, and by the ration.
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
                if self._held[request].prompt_read_s > now_s and not self._held[request].is_rationed
            ]
        for request in chosen:
            self._held[request].parking = True
        return chosen
