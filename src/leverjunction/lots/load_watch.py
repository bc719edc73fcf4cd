"""Samples the load of back ends while there is batch work, and tracks the capacity left for it."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from loguru import logger

from leverjunction.lots import metrics
from leverjunction.lots.batch_capacity import LoopLag, RunnerCapacity, ServiceCapacity
from leverjunction.lots.gateway_loads import GatewayLoads
from leverjunction.lots.item_status import ServiceAvailability
from leverjunction.lots.lost_runs import LoadSample, LostRuns
from leverjunction.lots.rate_placement import Fit, RunNeed, rate_preference
from leverjunction.lots.slot_use import SlotSeconds, SlotUse, current_use
from leverjunction.lots.work_rate import WorkRate
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.tracked_runner import TrackedRunner

POLL_INTERVAL_S = 0.1
"""Pause between two load samples of a back end; it bounds how soon batch yields."""

MAX_POLLS_PER_S = 200
"""Load samples per second of all back ends of a service together; with many of them, each is
sampled less often.
"""

ACCOUNT_INTERVAL_S = 0.25
"""Interval at which the use of all slots is accounted for."""

LOG_INTERVAL_S = 5.0
MIN_LOCAL_SLOTS = 3
"""Free slots that a back end in this zone needs to be preferred to one with more in another zone.
"""


class LoadWatch:
    """Knows the load of the back ends, and chooses where batch runs start and stop.

    It belongs to one event loop.

    Args:
        sender: Sends the requests for load samples.
        balancer: Knows the back ends.
        zone: Zone of this process.
        on_sample: Called after each sample.
        by_rate: Whether decisions depend on how fast back ends work.

    Attributes:
        lost_runs: Receives each sample too, to find runs that their back ends no longer have.
    """

    def __init__(
        self,
        sender: Sender,
        balancer: Balancer,
        zone: str,
        on_sample: Callable[[], None],
        by_rate: bool = True,
    ) -> None:
        self._sender = sender
        self._balancer = balancer
        self._zone = zone
        self._on_sample = on_sample
        self._by_rate = by_rate
        self._capacities: dict[str, ServiceCapacity] = {}
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._logged_s = float("-inf")
        self._lag = LoopLag()
        self._account_due_s = float("-inf")
        self._slot_seconds: dict[str, SlotSeconds] = {}
        self.lost_runs = LostRuns()
        self._loop = asyncio.get_running_loop()

    def clear(self) -> None:
        """Forget everything: another store leads the group."""
        self._capacities.clear()
        self._slot_seconds.clear()
        self.lost_runs.clear()

    def retain(self, runner_ids: frozenset[str]) -> None:
        """Drop all back ends but those listed."""
        for capacity in self._capacities.values():
            capacity.retain(runner_ids)
        self.lost_runs.retain(runner_ids)

    def poll(self, services: Iterable[str]) -> None:
        """Keep sampling the load of every back end of these services."""
        now_s = self._loop.time()
        for service in services:
            self._capacity(service).update(now_s)
            runners = self._balancer.available(service)
            pause_s = max(POLL_INTERVAL_S, len(runners) / MAX_POLLS_PER_S)
            for runner in runners:
                key = runner.record.start
                if key not in self._polls:
                    self._polls[key] = self._loop.create_task(self._poll(runner, pause_s))

    def apply_gateway_loads(self, loads: GatewayLoads) -> None:
        """Apply what gateways report about their online requests."""
        now_s = self._loop.time()
        loads.expire(now_s)
        for service, capacity in self._capacities.items():
            for key, runner in capacity.runners.items():
                runner.report_online(loads.at_back_end(key), now_s)
            capacity.set_gateway_reports(
                loads.gateway_count,
                loads.update_interval_s(),
                loads.waiting(service),
                self._lag.recent_s,
            )
            capacity.update(now_s)

    def online(self, reserved: Collection[str] = ()) -> dict[str, int]:
        """Return the online requests at each back end with a recent load sample.

        Args:
            reserved: Starts that appear to be full, so that gateways choose others; not those of a
                service of which half of the starts are reserved.
        """
        now_s = self._loop.time()
        loads: dict[str, int] = {}
        for capacity in self._capacities.values():
            runners = list(capacity.fresh_runners(now_s))
            full = {key for key, _ in runners if key in reserved}
            if 2 * len(full) >= len(runners):
                full = set()
            for key, runner in runners:
                loads[key] = max(runner.online, runner.slots) if key in full else runner.online
        return loads

    def capacity_at(self, runner: TrackedRunner) -> RunnerCapacity:
        """Return the load of one back end."""
        return self._capacity(runner.record.service).runner(
            runner.record.start, runner.record.slots
        )

    def has_capacity(self, service: str) -> bool:
        """Return whether one more batch run of a service may start at any back end."""
        return any(free_slots > 0 for free_slots, _ in self._free_slots(service))

    def pick_runner(
        self,
        service: str,
        may_use: Callable[[str], bool] = lambda _start: True,
        need: RunNeed | None = None,
    ) -> TrackedRunner | None:
        """Return the best back end for one more batch run, None while there is no capacity.

        Args:
            service: The service.
            may_use: Returns whether a start may be chosen.
            need: What the item needs; None to choose without regard to how fast back ends work.
        """
        usable = [
            (free_slots, runner)
            for free_slots, runner in self._free_slots(service)
            if free_slots > 0 and may_use(runner.record.start)
        ]
        if need is None or not usable:
            return max(usable, key=self._preference, default=(0, None))[1]
        now_s = self._loop.time()
        entries = self._capacity(service).runners
        at_mean = rate_preference(need, WorkRate(), now_s)

        def by_rate(place: tuple[int, TrackedRunner]) -> tuple[Fit, bool, bool, int, int, str]:
            work = entries[place[1].record.start].work
            rank = at_mean if work.is_mean else rate_preference(need, work, now_s)
            is_local, free_slots, start = self._preference(place)
            # Where a slot stays free for an online request, before the rate.
            return (rank.fit, is_local, free_slots > 1, rank.band, free_slots, start)

        return max(usable, key=by_rate)[1]

    def work_at(self, start: str) -> WorkRate | None:
        """Return how fast a start works, None if it is not known."""
        entries = (capacity.runners.get(start) for capacity in self._capacities.values())
        return next((entry.work for entry in entries if entry is not None), None)

    def shortest_s(
        self, service: str, work_s: float, may_use: Callable[[TrackedRunner], bool]
    ) -> float | None:
        """Return the shortest time that work takes at a back end with more than one free slot.

        Args:
            service: The service.
            work_s: Time that it takes at the service's mean, in seconds.
            may_use: Returns whether a back end may be used.
        """
        now_s = self._loop.time()
        times_s = [
            self.capacity_at(runner).work.expected_s(work_s, now_s)
            for free_slots, runner in self._free_slots(service)
            if free_slots > 1 and may_use(runner)
        ]
        return min(times_s, default=None)

    def pick_idlest(
        self, service: str, may_use: Callable[[str], bool]
    ) -> tuple[TrackedRunner, int] | None:
        """Return the back end with the fewest requests, and their number; None without capacity.

        Args:
            service: The service.
            may_use: Returns whether a start may be chosen.
        """
        loads = [
            (capacity.online + capacity.own_runs, runner.record.start, runner)
            for free_slots, runner in self._free_slots(service)
            if free_slots > 0
            and may_use(runner.record.start)
            and (capacity := self.capacity_at(runner))
        ]
        requests, _, chosen = min(loads, default=(0, "", None))
        return None if chosen is None else (chosen, requests)

    def _free_slots(self, service: str) -> list[tuple[int, TrackedRunner]]:
        """Return the back ends that may be used, each with its free slots."""
        now_s = self._loop.time()
        if self._capacity(service).allowance(now_s) <= 0:
            return []
        return [
            (self.capacity_at(runner).free(now_s), runner)
            for runner in self._balancer.available(service)
            if runner.ejected_until_s <= now_s
        ]

    def mean_runs(self, service: str) -> float:
        """Return how many batch runs a service may have on average."""
        return self._capacity(service).mean_runs(self._loop.time())

    def mean_work(self, service: str) -> float:
        """Return the work per second that these runs do, in slots that work at the mean."""
        capacity = self._capacity(service)
        now_s = self._loop.time()
        return capacity.mean_runs(now_s) * capacity.mean_rate(now_s)

    def factor(self, runner: TrackedRunner) -> float:
        """Return the expected time of work at a back end as a multiple of the service's mean.

        It is 1 where no back end of the service has ever reported a slowdown.
        """
        if not self.weighs_rates(runner.record.start):
            return 1.0
        return runner.rate.factor(self._loop.time())

    def weighs_rates(self, start: str) -> bool:
        """Return whether decisions at a start depend on how fast back ends work."""
        return self._by_rate and self._balancer.tells_rates(start)

    def availability(self, service: str) -> ServiceAvailability:
        """Return the figures that decide whether runs of a service can start, for log lines."""
        now_s = self._loop.time()
        runners = self._balancer.available(service)
        capacity = self._capacities.get(service)
        free = (
            {key: runner.free(now_s) for key, runner in capacity.fresh_runners(now_s)}
            if capacity
            else {}
        )
        not_ejected: list[int | None] = []
        ejected: list[int | None] = []
        for runner in runners:
            kept = not_ejected if runner.ejected_until_s <= now_s else ejected
            kept.append(free.get(runner.record.start))
        return ServiceAvailability(
            known=len(runners),
            not_ejected=len(not_ejected),
            with_recent_load=sum(1 for count in not_ejected if count is not None),
            allowance=capacity.allowance(now_s) if capacity else 0,
            free=max((count or 0 for count in not_ejected), default=0),
            free_ejected=max((count or 0 for count in ejected), default=0),
            ejected_until_s=min(
                (each.ejected_until_s for each in runners if each.ejected_until_s > now_s),
                default=None,
            ),
        )

    def takes_slot(self, start: str) -> bool:
        """Return whether batch runs at a start take slots that online requests there need."""
        now_s = self._loop.time()
        entries = (capacity.runners.get(start) for capacity in self._capacities.values())
        return any(entry.excess(now_s) > 0 for entry in entries if entry is not None)

    def to_park(self, count_patient: Callable[[], Counter[str]] = Counter) -> list[str]:
        """Return the back ends at which a batch run should be parked, one entry for each run.

        Where only the service as a whole needs slots, fast ones are freed first, as they help
        online requests most; but items that are short of time keep theirs.

        Args:
            count_patient: Returns at each start how many runs can wait.
        """
        now_s = self._loop.time()
        parked: list[str] = []
        for capacity in self._capacities.values():
            to_park_at = {key: runner.excess(now_s) for key, runner in capacity.runners.items()}
            remaining = capacity.excess(now_s) - sum(to_park_at.values())
            own_runs = {
                key: runner.own_runs - to_park_at[key]
                for key, runner in capacity.fresh_runners(now_s)
            }
            bands = {key: capacity.runners[key].work.band for key in own_runs}
            patient = Counter[str]()
            if remaining > 0 and any(bands.values()):
                patient = count_patient()
                patient.subtract(to_park_at)
            while remaining > 0 and any(own_runs.values()):
                chosen = max(
                    (key for key, runs in own_runs.items() if runs),
                    key=lambda key: (patient[key] > 0, -bands[key], own_runs[key], key),
                )
                own_runs[chosen] -= 1
                patient[chosen] -= 1
                to_park_at[chosen] += 1
                remaining -= 1
            parked += [key for key, count in to_park_at.items() for _ in range(count)]
        return parked

    def record_lag(self, late_s: float) -> None:
        """Record for how long the event loop has handled no report, in seconds."""
        self._lag.record(self._loop.time(), late_s)

    def account(self, count_waiting: Callable[[], int]) -> None:
        """Account for the use of all slots since it was last due.

        Args:
            count_waiting: Returns how many items of all services wait now.
        """
        now_s = self._loop.time()
        if now_s < self._account_due_s:
            return
        self._account_due_s = now_s + ACCOUNT_INTERVAL_S
        waiting = count_waiting()
        for service, capacity in self._capacities.items():
            seconds = self._slot_seconds.setdefault(service, SlotSeconds())
            use = current_use(capacity, waiting, now_s) if waiting else {}
            for kind, slot_s in seconds.record(now_s, use).items():
                metrics.SLOT_S.labels(kind.value).inc(slot_s)

    def slot_seconds(self, service: str) -> dict[SlotUse, float]:
        """Return the slot-seconds of each use so far, while items waited."""
        return self._slot_seconds.setdefault(service, SlotSeconds()).totals

    def is_to_log(self) -> bool:
        """Return whether the next log line is due."""
        return self._loop.time() - self._logged_s >= LOG_INTERVAL_S

    def log(self, open_items: int, running: int) -> None:
        """Log how much runs for each service, and what limits it.

        Args:
            open_items: Open items of all services.
            running: Items of all services that are being run.
        """
        now_s = self._loop.time()
        self._logged_s = now_s
        for service, capacity in self._capacities.items():
            logger.info(
                "batch of {}: {} open, {} running, {} may be added; online peak {}, now {},"
                " {} slots with recent load",
                service,
                open_items,
                running,
                *capacity.summary(now_s),
            )
            logger.info(
                "batch of {}: {:.1f} runs on average at {:.2f} of the mean rate, {} slots"
                " reserved for arrivals ({} reported, {} sampled), loop {:.0f} ms late",
                service,
                capacity.mean_runs(now_s),
                capacity.mean_rate(now_s),
                *capacity.reserve_parts(now_s),
                self._lag.recent_s * 1000,
            )
            if service in self._slot_seconds:
                logger.info(
                    "slot-seconds of {} while items waited: {}",
                    service,
                    self._slot_seconds[service],
                )

    def _capacity(self, service: str) -> ServiceCapacity:
        return self._capacities.setdefault(service, ServiceCapacity())

    def _preference(self, candidate: tuple[int, TrackedRunner]) -> tuple[bool, int, str]:
        """Rank back ends: in this zone first, as item bodies are large; then by free slots."""
        free_slots, runner = candidate
        is_local = runner.record.zone == self._zone and free_slots >= MIN_LOCAL_SLOTS
        return (is_local, free_slots, runner.record.start)

    async def _poll(self, runner: TrackedRunner, pause_s: float) -> None:
        try:
            load = await self._sender.read_load(runner)
            if load is None:
                self._sender.close_idle_connections(runner)
                # The last sample expires, and then no run is added there.
                return
            now_s = self._loop.time()
            capacity = self.capacity_at(runner)
            capacity.record_sample(load.running, load.waiting, now_s)
            capacity.work.record(self.factor(runner), now_s)
            sample = LoadSample(now_s, load.running + load.waiting)
            self.lost_runs.add_sample(runner.record.start, sample)
            self._on_sample()
            await asyncio.sleep(pause_s)
        finally:
            self._polls.pop(runner.record.start, None)
