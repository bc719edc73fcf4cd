"""Online traffic of the harm experiment: routed by the product's own core, measured per token."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from leverjunction.gateway.routing import Candidate, RouteQuery, choose
from leverjunction.gateway.send_ledger import SendLedger
from leverjunction.wire.messages import RunnerDigest
from testbed.engine.types import Emission, EngineRequest, LoadReading
from testbed.load.harm.scenario import HarmScenario
from testbed.load.harm.virtual_runner import VirtualRunner
from testbed.load.latency import LatencyRecorder
from testbed.load.workload import Arrival
from testbed.simulation.scheduler import Scheduler

ONLINE_PRIORITY = 8
LOAD_POLL_S = 0.2
EXCHANGE_INTERVAL_S = 1.0
MS_PER_S = 1000

OnlineListener = Callable[[str, str], None]
"""Called with a runner id and the id of the gateway that sends to it."""


@dataclass
class VirtualGateway:
    """One gateway: what it believes of each runner, and its own sends."""

    gateway_id: str
    zone: str
    ledger: SendLedger = field(default_factory=SendLedger)
    digests: dict[str, RunnerDigest] = field(default_factory=dict)


@dataclass
class OnlineMeasures:
    """Latencies of online requests."""

    first_token: LatencyRecorder = field(default_factory=LatencyRecorder)
    inter_token: LatencyRecorder = field(default_factory=LatencyRecorder)
    finished: int = 0
    refused: int = 0


class OnlineTraffic:
    """Sends the fixed arrivals through the gateways and measures first and later tokens.

    ``arrived`` and ``finished`` listeners tell the batch side of sends, as the owner's own sends
    and yield notices do in the processes.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        scenario: HarmScenario,
        gateways: list[VirtualGateway],
        runners: list[VirtualRunner],
        seed: int,
    ) -> None:
        self.measures = OnlineMeasures()
        self.arrived: list[OnlineListener] = []
        self.finished: list[OnlineListener] = []
        self._scheduler = scheduler
        self._scenario = scenario
        self._gateways = gateways
        self._runners = {runner.runner_id: runner for runner in runners}
        self._random = random.Random(seed)

    def schedule(self, arrivals: list[Arrival]) -> None:
        """Schedule every arrival, each at a gateway drawn at random."""
        for arrival in arrivals:
            gateway = self._random.choice(self._gateways)
            self._scheduler.after(
                arrival.at_s,
                lambda a=arrival, g=gateway: self._route(a, g),  # type: ignore[misc]
            )

    def _route(self, arrival: Arrival, gateway: VirtualGateway) -> None:
        choice = choose(
            [self._candidate(runner, gateway) for runner in self._runners.values()],
            RouteQuery(zone=gateway.zone, prompt_blocks=0, prefix_weight=0.0),
            self._random,
        )
        if choice.chosen is None:
            self.measures.refused += 1
            return
        runner = self._runners[choice.chosen.runner_id]
        now_ms = int(self._scheduler.now_s * MS_PER_S)
        gateway.ledger.sent(runner.runner_id, arrival.request_id, now_ms)
        for listener in self.arrived:
            listener(runner.runner_id, gateway.gateway_id)
        delay_s = self._delay_s(gateway, runner)
        self._scheduler.after(delay_s, lambda: self._send(arrival, gateway, runner))

    def _send(self, arrival: Arrival, gateway: VirtualGateway, runner: VirtualRunner) -> None:
        request = EngineRequest(
            request_id=arrival.request_id,
            model=self._scenario.workload.model,
            prompt=arrival.prompt,
            priority=ONLINE_PRIORITY,
            max_tokens=arrival.output_tokens,
            min_tokens=arrival.output_tokens,
        )
        stream = _Stream(arrival, gateway, runner, self)
        if not runner.submit(request, stream.emitted):
            self.measures.refused += 1
            self.end(gateway, runner, arrival.request_id)

    def end(self, gateway: VirtualGateway, runner: VirtualRunner, request_id: str) -> None:
        """Record the end of a request at its gateway."""
        now_ms = int(self._scheduler.now_s * MS_PER_S)
        gateway.ledger.finished(runner.runner_id, request_id, now_ms)
        for listener in self.finished:
            listener(runner.runner_id, gateway.gateway_id)

    def now_s(self) -> float:
        """Return virtual time."""
        return self._scheduler.now_s

    def _candidate(self, runner: VirtualRunner, gateway: VirtualGateway) -> Candidate:
        digest = gateway.digests.get(runner.runner_id)
        return Candidate(
            runner_id=runner.runner_id,
            address=runner.runner_id,
            zone=runner.zone,
            load=gateway.ledger.expected_load(runner.runner_id, digest),
            capacity=self._scenario.engine.max_running,
        )

    def _delay_s(self, gateway: VirtualGateway, runner: VirtualRunner) -> float:
        if gateway.zone == runner.zone:
            return self._scenario.in_zone_delay_s
        return self._scenario.cross_zone_delay_s


@dataclass
class _Stream:
    """Token times of one request, as its gateway sees them."""

    arrival: Arrival
    gateway: VirtualGateway
    runner: VirtualRunner
    traffic: OnlineTraffic
    last_token_s: float = -1.0

    def emitted(self, emission: Emission) -> None:
        """Record a token."""
        now_s = self.traffic.now_s()
        measures = self.traffic.measures
        if self.last_token_s < 0:
            measures.first_token.record(now_s - self.arrival.at_s)
        else:
            measures.inter_token.record(now_s - self.last_token_s)
        self.last_token_s = now_s
        if emission.finish_reason is not None:
            measures.finished += 1
            self.traffic.end(self.gateway, self.runner, self.arrival.request_id)


def digest_of(runner_id: str, reading: LoadReading) -> RunnerDigest:
    """Return the digest that an owner makes of a load reading."""
    return RunnerDigest(
        runner_id=runner_id,
        running=reading.running,
        waiting=reading.waiting,
        batch_running=reading.batch_running,
        kv_used_ratio=reading.kv_blocks_used / max(1, reading.kv_blocks_total),
        as_of_ms=reading.as_of_ms,
        batch_waiting=reading.batch_waiting,
    )
