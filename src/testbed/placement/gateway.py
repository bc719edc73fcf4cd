"""A gateway of the emulation: the product's admission and balancer before emulated back ends."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random

from leverjunction.proxy.admission import Ticket
from leverjunction.proxy.admission_gate import AdmissionGate
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import EngineLoad
from leverjunction.proxy.hedge_delay import HeadLatencies
from leverjunction.proxy.load_socket import LoadSocket
from leverjunction.proxy.prompt import Prompt
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.rates.rate_exchange import RateExchange
from leverjunction.registry.records import RunnerRecord
from testbed.placement.back_ends import BackEnd
from testbed.placement.loads import SERVICE, OnlineKind

CLUSTER_KEY = b"emulation"
WAY_S = 0.001
"""From a gateway to a back end, or back."""


class Outcome:
    """What became of one online request.

    Attributes:
        came_s: When it came.
        head_s: Time to the first part of its answer, None when it was refused.
        queued_s: Time in the back end's queue.
        behind_batch: Whether batch had a slot there when it came to wait.
        free_elsewhere: Slots that no online request had at other back ends then.
        held_s: Time at the gateway.
    """

    __slots__ = ("behind_batch", "came_s", "free_elsewhere", "head_s", "held_s", "queued_s")

    def __init__(self, came_s: float) -> None:
        self.came_s = came_s
        self.head_s: float | None = None
        self.queued_s = 0.0
        self.held_s = 0.0
        self.behind_batch = False
        self.free_elsewhere = 0


class LoadReader:
    """Reads the load of emulated back ends, as ``Sender`` does of real ones."""

    def __init__(self, back_ends: Mapping[str, BackEnd]) -> None:
        self._back_ends = back_ends
        self._loop = asyncio.get_running_loop()

    async def read_load(self, runner: TrackedRunner) -> EngineLoad | None:
        """Return what a back end reports."""
        await asyncio.sleep(WAY_S)
        load = self._back_ends[runner.record.runner_id].report()
        await asyncio.sleep(WAY_S)
        runner.report_load(load, self._loop.time())
        return load

    def close_idle_connections(self, runner: TrackedRunner) -> None:
        """Do nothing: there are no connections."""


class EmulatedGateway:
    """Used by one event loop."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        store: str,
        records: list[RunnerRecord],
        back_ends: Mapping[str, BackEnd],
        random: Random,
        spread: bool,
        by_rate: bool = True,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._back_ends = back_ends
        self._address = address
        self._balancer = Balancer(zone, random, spread, by_rate)
        self._balancer.replace(records)
        self._port = LoadSocket(
            name,
            CLUSTER_KEY,
            1,
            lambda: (store,),
            lambda: self._balancer.order,
            self._others_told,
            rates=RateExchange(self._balancer.rates) if by_rate else None,
        )
        self._gate = AdmissionGate(
            self._balancer,
            LoadReader(back_ends),  # type: ignore[arg-type]
            self._port.held_changed,
        )
        self._heads: dict[str, HeadLatencies] = {}

    async def start(self) -> None:
        """Open its port."""
        await self._port.start(self._address)

    async def serve(self, kind: OnlineKind, run_s: float) -> Outcome:
        """Serve one request."""
        outcome = Outcome(self._loop.time())
        refused = await self._gate.enter(SERVICE, self._ticket(kind, outcome.came_s))
        outcome.held_s = self._loop.time() - outcome.came_s
        if refused is None:
            await self._send(kind, run_s, outcome)
        return outcome

    def _others_told(self, others: dict[str, int], lag_s: float) -> None:
        self._balancer.set_other_loads(others, self._loop.time(), lag_s)

    def _ticket(self, kind: OnlineKind, came_s: float) -> Ticket:
        last_s = came_s + kind.deadline_s - (self._balancer.mean_run_s(SERVICE) or 0.0)
        unqueued_s = self._heads_of(kind).unqueued_s() or 0.0
        return Ticket(came_s, came_s + kind.aim_s, last_s, unqueued_s)

    async def _send(self, kind: OnlineKind, run_s: float, outcome: Outcome) -> None:
        choice = self._balancer.choose(SERVICE, Prompt((), kind.tokens_in), (), self._loop.time())
        assert choice is not None
        runner = choice.runner
        back_end = self._back_ends[runner.record.runner_id]
        sent_s = self._loop.time()
        self._count(runner, 1)
        await asyncio.sleep(WAY_S)
        self._look(back_end, outcome)
        run = back_end.come(is_batch=False)
        await run.began
        outcome.queued_s = self._loop.time() - run.came_s
        begun_s = self._loop.time()
        await back_end.work(kind.read_s)
        load = back_end.load()
        await asyncio.sleep(WAY_S)
        now_s = self._loop.time()
        runner.report_load(load, now_s)
        runner.record_head(now_s - sent_s, kind.tokens_in, now_s)
        self._balancer.succeeded(runner, now_s)
        self._heads_of(kind).record(now_s - sent_s)
        outcome.head_s = now_s - outcome.came_s
        await back_end.work(run_s)
        took_s = self._loop.time() - begun_s
        back_end.leave(run)
        await asyncio.sleep(WAY_S)
        self._count(runner, -1)
        unqueued_s = self._heads_of(kind).unqueued_s()
        if unqueued_s is not None:
            self._balancer.record_run(SERVICE, self._loop.time() - now_s + unqueued_s)
            self._balancer.record_run_at(runner, kind.name, took_s, self._loop.time())

    def _look(self, back_end: BackEnd, outcome: Outcome) -> None:
        """Note what a request meets that comes to wait."""
        if back_end.idle_slots > 0:
            return
        outcome.behind_batch = back_end.batch_runs > 0
        outcome.free_elsewhere = sum(
            max(0, other.idle_slots + other.batch_runs - other.waiting_online)
            for other in self._back_ends.values()
            if other is not back_end
        )

    def _count(self, runner: TrackedRunner, change: int) -> None:
        runner.own_requests += change
        self._port.runner_changed(runner)

    def _heads_of(self, kind: OnlineKind) -> HeadLatencies:
        return self._heads.setdefault(kind.name, HeadLatencies())
