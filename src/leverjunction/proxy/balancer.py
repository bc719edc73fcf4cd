"""Load balancer: chooses the back end of a request by a cost estimate in milliseconds.

Performs no I/O: the time and the random generator are passed in.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from random import Random

from leverjunction.proxy.admission import LoadEstimate
from leverjunction.proxy.affinity import affinity_runner, long_prompt_runners
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.prompt import PREFILL_TOKENS_PER_MS, Prompt
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.proxy.water_filling import (
    Candidate,
    CostSteps,
    expected_assignments,
    weighted_choice,
)
from leverjunction.rates.back_end_rate import BackEndRate
from leverjunction.rates.usual_time import moved_average
from leverjunction.registry.records import RunnerRecord, RunnerState

RUNNING_REQUEST_COST_MS = 6.0
"""Cost of each request that a back end already has."""

QUEUED_REQUEST_COST_MS = 250.0
"""Additional cost of each request beyond the back end's slots."""

DELAY_COST_FACTOR = 0.5
"""Cost per millisecond of a back end's average response delay."""

LONG_PROMPT_MEMORY_S = 20.0
"""Time after a service's last long prompt during which back ends stay reserved for long prompts."""

LONG_PROMPT_RUNNER_COST_MS = 30.0
"""Cost, for short prompts, of a back end that serves long prompts, since it may be busy prefilling
one: as much as five running requests.
"""

OTHER_ZONE_COST_MS = 4.0
SUSPICION_COST_MS = 400.0
"""Cost of a back end right after a single failure."""

OWN_TIME_COST_MS = 12.0
"""Cost of a back end for the time that the request itself takes there beyond the mean, for each
multiple of the mean. As much as two running requests: slow back ends take fewer requests, and are
used before fast ones are full.
"""

MAX_CANDIDATES = 64
"""Back ends compared per request. With 1,200 back ends a choice takes 1.0 ms of CPU time, against
6.1 ms when all are compared (0.2 ms with 45 back ends). The best of 64 random ones is among the
best 5 % of all, except for one time in 27.
"""

MAX_LOAD_AGE_S = 0.5
"""Maximum age of a load that admission relies on. With an older one the request is sent: the
response reports the current load.
"""

DEFAULT_RUN_S = 1.0
"""Assumed time for which a request occupies a slot, until the first request has finished."""

RUN_AVERAGE_WEIGHT = 0.1
"""Weight of the newest request in the moving average of the run time."""


class Choice:
    """The chosen back end and what the choice was based on.

    Attributes:
        runner: The back end.
        load: Its estimated number of requests at the time of the choice.
        candidates: Number of back ends to choose from.
        factor: Expected time of work there as a multiple of the mean.
        is_departing: Whether the back end is leaving: it may be sent requests for a while only.
    """

    __slots__ = ("candidates", "factor", "is_departing", "load", "runner")

    def __init__(
        self,
        runner: TrackedRunner,
        load: float,
        candidates: int,
        factor: float = 1.0,
        *,
        is_departing: bool = False,
    ) -> None:
        self.factor = factor
        self.is_departing = is_departing
        self.runner = runner
        self.load = load
        self.candidates = candidates


class Balancer:
    """Tracks the back ends of all services and chooses among them. Not thread-safe.

    Args:
        zone: Zone of this process.
        random: Random generator for sampling, weighted choices and tie-breaking.
        spread: Whether to allow for requests that other gateways have sent but that the known
            loads don't contain yet. Otherwise the cheapest back end is always chosen.
        by_rate: Whether to allow for how fast each back end works, where that is known.

    Attributes:
        order: Order of all back ends in a load row.
    """

    __slots__ = (
        "_by_rate",
        "_by_service",
        "_departed",
        "_last_long_prompt_s",
        "_long_prompt_ids",
        "_mean_run_s",
        "_mixed_services",
        "_random",
        "_rated_services",
        "_runners",
        "_spread",
        "_usual_pause_s",
        "_usual_run_s",
        "_zone",
        "order",
    )

    def __init__(
        self, zone: str, random: Random, spread: bool = True, by_rate: bool = True
    ) -> None:
        self._zone = zone
        self._spread = spread
        self._by_rate = by_rate
        self._random = random
        self._runners: dict[str, TrackedRunner] = {}
        self._rated_services: set[str] = set()
        self.order = BackEndOrder(())
        self._by_service: dict[str, list[TrackedRunner]] = {}
        self._departed: dict[str, TrackedRunner] = {}
        self._mixed_services: set[str] = set()
        self._long_prompt_ids: frozenset[str] = frozenset()
        self._last_long_prompt_s: dict[str, float] = {}
        self._mean_run_s: dict[str, float] = {}
        self._usual_run_s: dict[tuple[str, str], float] = {}
        self._usual_pause_s: dict[tuple[str, str], float] = {}

    def replace(
        self, records: Iterable[RunnerRecord], departing: Collection[str] = frozenset()
    ) -> None:
        """Replace the back ends by the registry's records.

        Loads and failures are kept for the starts (instances of a back end) that remain.

        Args:
            records: All back ends.
            departing: Starts that are kept for resumed streams though they are no longer among
                them, unless another start has their address.
        """
        known = {**self._departed, **self._runners}
        runners: dict[str, TrackedRunner] = {}
        by_service: dict[str, list[TrackedRunner]] = {}
        for record in records:
            runner = known.get(record.start) or TrackedRunner(record)
            runner.record = record
            runners[record.start] = runner
            by_service.setdefault(record.service, []).append(runner)
        addresses = {runner.record.address for runner in runners.values()}
        self._departed = {
            start: known[start]
            for start in departing
            if start in known
            and start not in runners
            and known[start].record.address not in addresses
        }
        self._runners = runners
        self.order = BackEndOrder(runners)
        self._by_service = by_service
        self._mixed_services = {
            service
            for service in by_service
            if len({runner.record.version for runner in self.available(service)}) > 1
        }
        self._long_prompt_ids = frozenset(
            key
            for service, members in by_service.items()
            for key in long_prompt_runners(service, _ids(members))
        )

    def rates(self) -> dict[str, BackEndRate]:
        """Return the rates of all back ends by start."""
        return {start: runner.rate for start, runner in self._runners.items()}

    def uneven_rates(self, now_s: float, limit: int) -> list[tuple[str, BackEndRate]]:
        """Return start and rate of the back ends that differ most from the mean, for metrics."""
        differing = [
            (abs(math.log(runner.rate.factor(now_s))), start)
            for start, runner in self._runners.items()
            if runner.rate.has_told or runner.rate.factor(now_s) != 1.0
        ]
        return [(start, self._runners[start].rate) for _, start in heapq.nlargest(limit, differing)]

    def tells_rates(self, start: str) -> bool:
        """Return whether a back end of a start's service is known to have reported a slowdown.

        It is known once this was asked for the one that has: among thousands of back ends, not all
        are looked at each time.
        """
        runner = self._runners.get(start)
        if runner is None:
            return False
        if runner.rate.has_told:
            self._rated_services.add(runner.record.service)
        return runner.record.service in self._rated_services

    def available(self, service: str, version: str | None = None) -> list[TrackedRunner]:
        """Return the back ends of a service that accept new work.

        Args:
            service: The service.
            version: Version of their software; None for any.
        """
        known = self._by_service.get(service, [])
        if version is not None:
            known = [runner for runner in known if runner.record.version == version]
        ready = [runner for runner in known if runner.record.state is RunnerState.READY]
        # They may be silent only because they can't reach the control processes.
        return ready or [runner for runner in known if runner.record.state is RunnerState.SILENT]

    def departing(
        self, service: str, version: str | None, starts: Collection[str]
    ) -> list[TrackedRunner]:
        """Return the back ends of a service and version with the given starts that are leaving."""
        leaving = [
            runner
            for runner in self._by_service.get(service, [])
            if runner.record.state is RunnerState.LEAVING
        ]
        return [
            runner
            for runner in (*leaving, *self._departed.values())
            if runner.record.start in starts
            and (runner.record.service, runner.record.version) == (service, version)
        ]

    def counts(self) -> Counter[tuple[str, str]]:
        """Return the number of back ends that accept new work, by service and version."""
        return Counter(
            (service, runner.record.version)
            for service in self._by_service
            for runner in self.available(service)
        )

    def choose(
        self,
        service: str,
        prompt: Prompt,
        avoided: Collection[str],
        now_s: float,
        version: str | None = None,
        departing: Collection[str] = frozenset(),
    ) -> Choice | None:
        """Choose a back end, with a preference for cheap ones; None if there is none.

        Args:
            service: Service of the request.
            prompt: Prompt of the request.
            avoided: Starts of back ends that were already tried.
            now_s: Monotonic time in seconds.
            version: Version of the software that the back end must have; None for any.
            departing: Starts of leaving back ends of that version, to be used if none is ready.
        """
        runners = self._candidates(service, version, avoided, departing)
        if not runners:
            return None
        healthy = [runner for runner in runners if runner.ejected_until_s <= now_s] or runners
        if prompt.is_long:
            self._last_long_prompt_s[service] = now_s
        preferred_id = affinity_runner(prompt, _ids(healthy), self._long_prompt_ids)
        by_queue = version is not None or self._has_several_versions(service)
        sample = self._sample(healthy, preferred_id)
        best = self._pick(sample, preferred_id, prompt, now_s, by_queue)
        factor = self._factors([best], now_s)[0]
        load = best.load(now_s)
        is_departing = best.record.start in departing
        return Choice(best, load, len(healthy), factor, is_departing=is_departing)

    def choose_least_loaded(
        self,
        service: str,
        avoided: Collection[str],
        now_s: float,
        version: str | None = None,
        departing: Collection[str] = frozenset(),
    ) -> Choice | None:
        """Return the least loaded back end, for a request that may crash it; None if there is none.

        Args:
            service: Service of the request.
            avoided: Starts of back ends to use only if there is no other.
            now_s: Monotonic time in seconds.
            version: Version of the software that the back end must have; None for any.
            departing: Starts of leaving back ends of that version, as for ``choose``.
        """
        runners = self._candidates(service, version, (), departing)
        healthy = [runner for runner in runners if runner.ejected_until_s <= now_s] or runners
        preferred = [runner for runner in healthy if runner.record.start not in avoided] or healthy
        if not preferred:
            return None
        best = min(preferred, key=lambda runner: (runner.load(now_s), self._random.random()))
        is_departing = best.record.start in departing
        return Choice(best, best.load(now_s), len(preferred), is_departing=is_departing)

    def _candidates(
        self,
        service: str,
        version: str | None,
        avoided: Collection[str],
        departing: Collection[str],
    ) -> list[TrackedRunner]:
        """Return the back ends to choose from: ready ones, else leaving ones, else silent ones.

        A back end that is leaving was heard of recently, a silent one may have crashed.
        """
        available = self.available(service, version)
        left = [item for item in available if item.record.start not in avoided]
        if any(item.record.state is RunnerState.READY for item in available):
            return left
        leaving = self.departing(service, version, departing)
        return [item for item in leaving if item.record.start not in avoided] or left

    def _sample(self, runners: list[TrackedRunner], preferred_id: str) -> list[TrackedRunner]:
        """Return the back ends to compare: a random sample, and always the preferred one."""
        if len(runners) <= MAX_CANDIDATES:
            return runners
        drawn = self._random.sample(runners, MAX_CANDIDATES)
        preferred = [
            runner
            for runner in runners
            if runner.record.runner_id == preferred_id and runner not in drawn
        ]
        return drawn + preferred

    def _pick(
        self,
        runners: list[TrackedRunner],
        preferred_id: str,
        prompt: Prompt,
        now_s: float,
        by_queue: bool,
    ) -> TrackedRunner:
        """Choose by weighted random: gateways with the same loads must not all choose alike."""
        factors = self._factors(runners, now_s)
        unreported = self._unreported(runners, factors, now_s)
        loads = [runner.load(now_s) for runner in runners]
        candidates = [
            Candidate(
                self._cost_ms(runner, load, factor, preferred_id, prompt, now_s)
                + (
                    _memory_queue(runner, load, now_s) * QUEUED_REQUEST_COST_MS if by_queue else 0.0
                ),
                runner.slots - load,
                factor,
            )
            for runner, load, factor in zip(runners, loads, factors, strict=True)
        ]
        if not self._spread:
            return min(zip(runners, candidates, strict=True), key=lambda pair: pair[1].cost_ms)[0]
        weights = expected_assignments(
            candidates, unreported, CostSteps(RUNNING_REQUEST_COST_MS, QUEUED_REQUEST_COST_MS)
        )
        return runners[weighted_choice(weights, self._random)]

    def _factors(self, runners: list[TrackedRunner], now_s: float) -> list[float]:
        """Return the expected time of work at each back end as a multiple of the mean.

        It is 1 for all where none of them has ever reported a slowdown.
        """
        if not self._by_rate or not any(runner.rate.has_told for runner in runners):
            return [1.0] * len(runners)
        return [runner.rate.factor(now_s) for runner in runners]

    def _unreported(
        self, runners: list[TrackedRunner], factors: list[float], now_s: float
    ) -> float:
        """Estimate how many requests other gateways have sent since the loads were measured."""
        run_s = self._mean_run_s.get(runners[0].record.service) or DEFAULT_RUN_S
        return sum(
            runner.unreported(now_s, run_s * factor)
            for runner, factor in zip(runners, factors, strict=True)
        )

    def set_other_loads(self, others: Mapping[str, int], now_s: float, lag_s: float = 0.0) -> None:
        """Set the number of other gateways' online requests at the given back ends.

        Args:
            others: Number of requests by start of the back end.
            now_s: Monotonic time in seconds.
            lag_s: Average age of these numbers, in seconds.
        """
        for start, online in others.items():
            runner = self._runners.get(start)
            if runner is not None:
                runner.set_other_load(online, now_s, lag_s)

    def record_run(self, service: str, run_s: float) -> None:
        """Record for how many seconds a request occupied a slot, without its time in a queue."""
        known_s = self._mean_run_s.get(service, run_s)
        self._mean_run_s[service] = known_s + (run_s - known_s) * RUN_AVERAGE_WEIGHT

    def usual_run_s(self, service: str, kind: str) -> float:
        """Return for how many seconds a kind of request usually occupies a slot, 0 if unknown."""
        return self._usual_run_s.get((service, kind), 0.0)

    def record_run_at(self, runner: TrackedRunner, kind: str, run_s: float, now_s: float) -> None:
        """Record how long a request occupied a slot of a back end.

        Args:
            runner: The back end.
            kind: Kind of the request; run times are compared within a kind.
            run_s: Time for which it occupied a slot, in seconds.
            now_s: Monotonic time in seconds.
        """
        key = (runner.record.service, kind)
        usual_s = self._usual_run_s.get(key)
        if usual_s is not None:
            runner.rate.record_run(run_s, usual_s, now_s)
        # Divided by the pace, so that what is usual doesn't move with it.
        paced_s = run_s / runner.rate.pace_during(run_s, now_s)
        self._usual_run_s[key] = moved_average(usual_s, paced_s)

    def record_pause_at(
        self, runner: TrackedRunner, kind: str, pause_s: float, now_s: float
    ) -> None:
        """Record the pause between two events of a response; the arguments as for a run."""
        key = (runner.record.service, kind)
        usual_s = self._usual_pause_s.get(key)
        if usual_s is not None:
            runner.rate.record_pause(pause_s, usual_s, now_s)
        paced_s = pause_s / runner.rate.pace_during(0.0, now_s)
        self._usual_pause_s[key] = moved_average(usual_s, paced_s)

    def mean_run_s(self, service: str) -> float | None:
        """Return the average time in seconds for which a request occupies a slot, if known."""
        return self._mean_run_s.get(service)

    def estimate_load(
        self, service: str, now_s: float, version: str | None = None
    ) -> LoadEstimate | None:
        """Return the load that one more request would meet; None if it is unknown.

        It is unknown while the last known load of the least loaded back end is too old. Until a
        first request of the service has finished, back ends of unknown load count as full for new
        requests while they all read a prompt that this gateway has sent: all callers of a gateway
        come back when it starts again.

        Args:
            service: Service of the request.
            now_s: Monotonic time in seconds.
            version: Version of the software of the back ends that may run it; None for any.
        """
        run_s = self._mean_run_s.get(service, DEFAULT_RUN_S)
        runners = [
            runner for runner in self.available(service, version) if runner.ejected_until_s <= now_s
        ]
        if not runners:
            return None
        factors = self._factors(runners, now_s)
        by_queue = version is not None or self._has_several_versions(service)
        excess = _queue_s if by_queue else _excess
        best, factor = min(
            zip(runners, factors, strict=True), key=lambda pair: excess(pair[0], pair[1], now_s)
        )
        capacity = sum(
            runner.slots * (factor / other) for runner, other in zip(runners, factors, strict=True)
        )
        if now_s - best.load_updated_s > MAX_LOAD_AGE_S:
            is_new_here = version is None and service not in self._mean_run_s
            if not is_new_here or any(runner.pending_prefill_ms == 0 for runner in runners):
                return None
            return LoadEstimate(best.slots, best.slots, run_s, 0.0, round(capacity))
        queue, slots = (
            best.queue(now_s) if by_queue else (best.load(now_s) + 1 - best.slots, best.slots)
        )
        return LoadEstimate(
            queue=queue,
            slots=slots,
            run_s=run_s * factor,
            backlog=sum(max(0.0, runner.load(now_s) - runner.slots) for runner in runners),
            capacity=round(capacity),
            is_run_assumed=service not in self._mean_run_s and self._has_several_versions(service),
        )

    def _has_several_versions(self, service: str) -> bool:
        """Return whether some back ends of a service can't continue the streams of others."""
        return service in self._mixed_services

    def failed(self, runner: TrackedRunner, now_s: float) -> None:
        """Record a failure of a back end."""
        runner.failed(now_s)

    def succeeded(self, runner: TrackedRunner, now_s: float) -> None:
        """Record a response of a back end."""
        runner.succeeded(now_s)

    def _cost_ms(
        self,
        runner: TrackedRunner,
        load: float,
        factor: float,
        preferred_id: str,
        prompt: Prompt,
        now_s: float,
    ) -> float:
        cost_ms = (
            load * RUNNING_REQUEST_COST_MS
            + max(0.0, load + 1 - runner.slots) * QUEUED_REQUEST_COST_MS
        ) * factor + (factor - 1.0) * OWN_TIME_COST_MS
        if runner.record.zone != self._zone:
            cost_ms += OTHER_ZONE_COST_MS
        if preferred_id and runner.record.runner_id != preferred_id:
            cost_ms += prompt.shared_tokens / PREFILL_TOKENS_PER_MS * factor
        cost_ms += runner.pending_prefill_ms * factor
        takes_long_prompts = runner.record.runner_id in self._long_prompt_ids
        if prompt.is_long and not takes_long_prompts:
            # Requests that arrive there later wait until its prefill is done.
            cost_ms += prompt.prefill_ms
        elif (
            takes_long_prompts
            and not prompt.is_long
            and self._had_long_prompts(runner.record.service, now_s)
        ):
            cost_ms += LONG_PROMPT_RUNNER_COST_MS
        cost_ms += runner.delay_ms(now_s) * DELAY_COST_FACTOR
        return cost_ms + runner.suspicion(now_s) * SUSPICION_COST_MS

    def _had_long_prompts(self, service: str, now_s: float) -> bool:
        """Return whether a service has recently had long prompts."""
        return now_s - self._last_long_prompt_s.get(service, float("-inf")) <= LONG_PROMPT_MEMORY_S


def _excess(runner: TrackedRunner, factor: float, now_s: float) -> float:
    """Return the time that a back end needs for its queue, or less the more slots are free."""
    queue = runner.load(now_s) - runner.slots
    return queue * factor if queue > 0 else queue / factor


def _memory_queue(runner: TrackedRunner, load: float, now_s: float) -> float:
    """Return how many requests wait at a back end beyond those that wait for a slot."""
    queue, _ = runner.queue(now_s)
    return max(0.0, queue - max(0.0, load + 1 - runner.slots))


def _queue_s(runner: TrackedRunner, factor: float, now_s: float) -> float:
    """Return the relative time until one more request starts, or less the more slots are free."""
    queue, slots = runner.queue(now_s)
    return queue * factor / slots if queue > 0 else queue / factor


def _ids(runners: list[TrackedRunner]) -> list[str]:
    return [runner.record.runner_id for runner in runners]
