"""Runs one mode of the harm experiment and returns its figures."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from leverjunction.batch.harvest import HarvestTargets
from leverjunction.gateway.ownership import owner_of
from leverjunction.wire.messages import GatewayState, RunnerState
from testbed.load.harm.batch_feed import (
    BatchFeed,
    BatchMeasures,
    FeedPolicy,
    FillPolicy,
    HarvestPolicy,
    report_of,
)
from testbed.load.harm.batch_supply import LEASE_COMMIT_S, Backlog, Supply
from testbed.load.harm.online import (
    EXCHANGE_INTERVAL_S,
    LOAD_POLL_S,
    OnlineTraffic,
    VirtualGateway,
    digest_of,
)
from testbed.load.harm.scenario import HarmScenario
from testbed.load.harm.virtual_runner import VirtualRunner
from testbed.load.harm.yield_meter import YieldMeter
from testbed.load.latency import LatencyRecorder, LatencySummary
from testbed.load.workload import batch_arrivals, online_arrivals
from testbed.simulation.scheduler import Scheduler

DECIDE_INTERVAL_S = 0.05
DRAIN_S = 5.0
"""Time after the last arrival in which online answers may still end; batch is not counted."""


class Mode(StrEnum):
    """How batch is run beside the same online work."""

    ONLINE_ALONE = "online_alone"
    NO_YIELD = "baseline"
    HARVEST = "leverjunction"
    ORACLE = "oracle"
    BATCH_ALONE = "batch_alone"


@dataclass(frozen=True)
class ModeResult:
    """Figures of one mode and seed."""

    mode: Mode
    seed: int
    first_token: LatencySummary
    inter_token: LatencySummary
    online_finished: int
    online_refused: int
    batch_items_per_s: float
    batch_tokens_per_s: float
    parked: int
    to_yield: LatencySummary
    to_refill: LatencySummary


class HarmRun:
    """One deployment in virtual time with one mode of batch."""

    def __init__(self, scenario: HarmScenario, mode: Mode, seed: int) -> None:
        self._scenario = scenario
        self._mode = mode
        self._seed = seed
        self._scheduler = Scheduler()
        self._runners = [self._runner(index) for index in range(scenario.runners)]
        self._gateways = _gateways(scenario)
        self._owners = self._find_owners()
        self._online = OnlineTraffic(self._scheduler, scenario, self._gateways, self._runners, seed)
        self._batch = BatchMeasures()
        self._feeds: dict[str, BatchFeed] = {}
        allowed = _allowed_beside_online(scenario)
        self._meters = {
            runner.runner_id: YieldMeter(self._scheduler, runner, allowed)
            for runner in self._runners
        }
        self._online.arrived.append(
            lambda runner_id, _gateway_id: self._meters[runner_id].online_sent()
        )

    def run(self) -> ModeResult:
        """Run the workload to its end and return the figures."""
        workload = self._scenario.workload
        if self._mode is not Mode.BATCH_ALONE:
            self._online.schedule(online_arrivals(workload, random.Random(self._seed)))
        if self._mode is not Mode.ONLINE_ALONE:
            self._start_batch()
        self._poll_loads()
        self._exchange()
        self._scheduler.run_until(workload.duration_s)
        items, tokens = self._batch.items_done, self._batch.tokens
        self._scheduler.run_until(workload.duration_s + DRAIN_S)
        return self._result(items / workload.duration_s, tokens / workload.duration_s)

    def _runner(self, index: int) -> VirtualRunner:
        zone = self._scenario.zones[index % len(self._scenario.zones)]
        return VirtualRunner(
            self._scheduler, f"runner-{index}", zone, self._scenario.engine, self._seed + index
        )

    def _find_owners(self) -> dict[str, VirtualGateway]:
        by_id = {gateway.gateway_id: gateway for gateway in self._gateways}
        states = [_gateway_state(gateway) for gateway in self._gateways]
        owners = {}
        for runner in self._runners:
            owner = owner_of(_runner_state(runner), states)
            assert owner is not None
            owners[runner.runner_id] = by_id[owner.gateway_id]
        return owners

    def _start_batch(self) -> None:
        arrivals = batch_arrivals(self._scenario.workload, random.Random(self._seed + 1))
        backlog = Backlog(self._scheduler, arrivals)
        supplies = {
            gateway.gateway_id: self._supply(backlog, gateway) for gateway in self._gateways
        }
        for runner in self._runners:
            owner = self._owners[runner.runner_id]
            self._feeds[runner.runner_id] = self._feed(runner, supplies[owner.gateway_id])
        for gateway in self._gateways:
            supplies[gateway.gateway_id].granted = lambda g=gateway: self._act_for(g)  # type: ignore[misc]
        self._online.arrived.append(self._online_arrived)
        self._online.finished.append(self._online_finished)
        if self._mode is Mode.ORACLE:
            for runner in self._runners:
                runner.observers.append(self._observe_true_state)
        self._decide_all()

    def _supply(self, backlog: Backlog, gateway: VirtualGateway) -> Supply:
        owned = sum(1 for owner in self._owners.values() if owner is gateway)
        round_trip_s: float | None = None
        if self._mode is Mode.HARVEST:
            round_trip_s = 2 * self._scenario.cross_zone_delay_s + LEASE_COMMIT_S
        return Supply(self._scheduler, backlog, round_trip_s, max(1, owned))

    def _feed(self, runner: VirtualRunner, supply: Supply) -> BatchFeed:
        free = self._mode is not Mode.HARVEST
        return BatchFeed(
            scheduler=self._scheduler,
            runner=runner,
            policy=self._policy(),
            supply=supply,
            measures=self._batch,
            model=self._scenario.workload.model,
            delay_s=0.0 if free else self._scenario.in_zone_delay_s,
        )

    def _policy(self) -> FeedPolicy:
        slots = self._scenario.engine.max_running
        if self._mode in (Mode.NO_YIELD, Mode.BATCH_ALONE):
            return FillPolicy(slots)
        return HarvestPolicy(
            HarvestTargets(
                interference=self._scenario.interference,
                batch_floor=self._scenario.batch_floor,
                batch_max_running=slots,
            )
        )

    def _poll_loads(self) -> None:
        """The owner reads the lagging load of its runners."""
        for runner in self._runners:
            reading = runner.load_report()
            owner = self._owners[runner.runner_id]
            owner.digests[runner.runner_id] = digest_of(runner.runner_id, reading)
            if self._mode is Mode.HARVEST:
                feed = self._feeds[runner.runner_id]
                assert isinstance(feed.policy, HarvestPolicy)
                feed.policy.controller.observe(report_of(reading), self._scheduler.now_s)
                feed.act()
        self._scheduler.after(LOAD_POLL_S, self._poll_loads)

    def _exchange(self) -> None:
        """Gateways hear of runners that others own once a second, through the hubs."""
        for runner in self._runners:
            digest = self._owners[runner.runner_id].digests.get(runner.runner_id)
            for gateway in self._gateways:
                if digest is not None:
                    gateway.digests[runner.runner_id] = digest
        self._scheduler.after(EXCHANGE_INTERVAL_S, self._exchange)

    def _decide_all(self) -> None:
        for feed in self._feeds.values():
            feed.act()
        self._scheduler.after(DECIDE_INTERVAL_S, self._decide_all)

    def _act_for(self, gateway: VirtualGateway) -> None:
        for runner_id, owner in self._owners.items():
            if owner is gateway:
                self._feeds[runner_id].act()

    def _online_arrived(self, runner_id: str, gateway_id: str) -> None:
        if self._mode is not Mode.HARVEST:
            return
        feed = self._feeds[runner_id]
        assert isinstance(feed.policy, HarvestPolicy)
        controller = feed.policy.controller
        if self._owners[runner_id].gateway_id == gateway_id:
            controller.online_arrived(self._scheduler.now_s)
            feed.act()
            return
        self._scheduler.after(self._scenario.cross_zone_delay_s, lambda: self._notice(feed))

    def _notice(self, feed: BatchFeed) -> None:
        assert isinstance(feed.policy, HarvestPolicy)
        feed.policy.controller.notice_arrived(self._scheduler.now_s)
        feed.act()

    def _online_finished(self, runner_id: str, gateway_id: str) -> None:
        if self._mode is not Mode.HARVEST:
            return
        if self._owners[runner_id].gateway_id == gateway_id:
            feed = self._feeds[runner_id]
            assert isinstance(feed.policy, HarvestPolicy)
            feed.policy.controller.online_finished(self._scheduler.now_s)
            feed.act()

    def _observe_true_state(self, runner: VirtualRunner) -> None:
        """The oracle sees every change of a runner's state as it happens."""
        feed = self._feeds[runner.runner_id]
        assert isinstance(feed.policy, HarvestPolicy)
        reading = runner.load_now()
        feed.policy.controller.observe(report_of(reading), self._scheduler.now_s)
        feed.act()

    def _result(self, items_per_s: float, tokens_per_s: float) -> ModeResult:
        online = self._online.measures
        return ModeResult(
            mode=self._mode,
            seed=self._seed,
            first_token=online.first_token.summary(),
            inter_token=online.inter_token.summary(),
            online_finished=online.finished,
            online_refused=online.refused,
            batch_items_per_s=items_per_s,
            batch_tokens_per_s=tokens_per_s,
            parked=self._batch.parked,
            to_yield=_merged([meter.to_yield for meter in self._meters.values()]),
            to_refill=_merged([meter.to_refill for meter in self._meters.values()]),
        )


def _allowed_beside_online(scenario: HarmScenario) -> int:
    """Return the batch sequences that the target allows beside one online request."""
    engine = scenario.engine
    growth_s = (engine.base_step_s + engine.per_sequence_s) * scenario.interference
    return max(scenario.batch_floor, int(growth_s / engine.per_sequence_s))


def _merged(recorders: list[LatencyRecorder]) -> LatencySummary:
    whole = LatencyRecorder()
    for recorder in recorders:
        whole.add(recorder)
    return whole.summary()


def _gateways(scenario: HarmScenario) -> list[VirtualGateway]:
    return [
        VirtualGateway(gateway_id=f"{zone}-{number}", zone=zone)
        for zone in scenario.zones
        for number in range(scenario.gateways_per_zone)
    ]


def _gateway_state(gateway: VirtualGateway) -> GatewayState:
    return GatewayState(
        gateway_id=gateway.gateway_id,
        address="",
        rpc_address="",
        zone=gateway.zone,
        incarnation=1,
    )


def _runner_state(runner: VirtualRunner) -> RunnerState:
    return RunnerState(
        runner_id=runner.runner_id, address="", zone=runner.zone, service="experiment"
    )
