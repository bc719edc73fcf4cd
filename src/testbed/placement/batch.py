"""The leader of batch in the emulation: the product's room, ranking and told loads."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random

import msgspec

from leverjunction.lots.batch_capacity import OccupiedSlot
from leverjunction.lots.commands import OpenItem
from leverjunction.lots.due_plan import mark_crowded_out
from leverjunction.lots.item_queue import ItemQueue
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.load_listener import LoadListener
from leverjunction.lots.load_watch import LoadWatch
from leverjunction.lots.runner import IDLE_STEP_S, STEP_S
from leverjunction.lots.slot_use import SlotUse
from leverjunction.lots.urgency import RunTimes, Urgency
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.rates.rate_exchange import RateExchange
from leverjunction.registry.records import RunnerRecord
from testbed.placement.back_ends import BackEnd
from testbed.placement.gateway import CLUSTER_KEY, WAY_S, LoadReader
from testbed.placement.loads import SERVICE

READ_S = 0.01
"""Time to read an item's prompt, at each run anew."""


EVENTS_PER_S = 50
"""Events of an item's output in a second with a slot."""


class BatchLeader:
    """Used by one event loop.

    Attributes:
        done_s: When each item was done, by its id.
        cuts: Runs that were ended to give way.
        runs: Runs that were begun.
    """

    def __init__(
        self,
        zone: str,
        address: str,
        records: list[RunnerRecord],
        back_ends: Mapping[str, BackEnd],
    ) -> None:
        self._zone = zone
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._back_ends = back_ends
        self._left_s: dict[str, float] = {}
        self._events: dict[str, int] = {}
        self._leads = True
        self._wake = asyncio.Event()
        self._balancer = Balancer(zone, Random(0))
        self._balancer.replace(records)
        self._queue = ItemQueue()
        self._times = RunTimes()
        self.done_s: dict[str, float] = {}
        self.cuts = 0
        self.runs = 0
        reader = LoadReader(back_ends)
        self._loads = LoadWatch(reader, self._balancer, zone, self._wake.set)  # type: ignore[arg-type]
        self._listener = LoadListener(
            CLUSTER_KEY,
            lambda: bool(self._queue.runs),
            self._give_way,
            self._loads.online,
            lambda: self._balancer.order,
            rates=RateExchange(self._balancer.rates),
        )

    async def run(self) -> None:
        """Run items until cancelled."""
        await self._listener.start(self._address)
        while True:
            self._step()
            await self._pause()

    def submit(self, items: Mapping[OpenItem, float]) -> None:
        """Take items, each with the time in seconds for which it has a slot."""
        self._left_s.update({item.item_id: time_s for item, time_s in items.items()})
        self._queue.add(items)
        self._wake.set()

    def stop(self) -> None:
        """End all runs, and run nothing until another leader continues."""
        self._leads = False
        for run in self._queue.running():
            run.stop()

    def lead(self) -> None:
        """Continue as another leader, which knows the open items and what they have written."""
        items = [
            msgspec.structs.replace(run.item, events=self._events.get(run.item.item_id, 0))
            for run in self._queue.runs.values()
        ]
        self._queue = ItemQueue()
        self._queue.add(items)
        self._times = RunTimes()
        self._loads.clear()
        self._leads = True
        self._wake.set()

    def idle_and_batch_s(self) -> tuple[float, float]:
        """Return the slot-seconds that were idle while items waited, and those of batch."""
        totals = self._loads.slot_seconds(SERVICE)
        idle = sum(totals[use] for use in SlotUse if use not in (SlotUse.ONLINE, SlotUse.BATCH))
        return idle, totals[SlotUse.BATCH]

    @property
    def open_items(self) -> int:
        """Items that are not done."""
        return len(self._queue.runs)

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(STEP_S if self._queue.runs else IDLE_STEP_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        await asyncio.sleep(STEP_S / 4)

    def _give_way(self) -> None:
        self._loads.apply_gateway_loads(self._listener.loads)
        self._park()
        self._wake.set()

    def _step(self) -> None:
        if not self._queue.runs or not self._leads:
            return
        self._loads.poll([SERVICE])
        self._loads.apply_gateway_loads(self._listener.loads)
        self._park()
        self._start_runs()
        self._loads.account(self._queue.count_waiting)

    def _start_runs(self) -> None:
        self._rank()
        for run in self._queue.take():
            runner = self._loads.pick_runner(SERVICE)
            if runner is None:
                self._queue.put_back(run)
                return
            self._start(run, runner)

    def _park(self) -> None:
        parked = self._loads.to_park()
        running = [run for run in self._queue.running() if not run.parking]
        for runner_id in parked:
            here = [run for run in running if run.runner_id == runner_id and not run.parking]
            if here:
                run = max(here, key=self._urgency)
                run.parking = True
                self.cuts += 1
                run.stop()

    def _start(self, run: ItemRun, runner: TrackedRunner) -> None:
        slot = OccupiedSlot(self._loads.capacity_at(runner))
        run.assign_to(runner.record.runner_id)
        self.runs += 1
        run.task = self._loop.create_task(self._run(run, slot))
        run.task.add_done_callback(lambda _task: self._ended(run, slot))

    def _ended(self, run: ItemRun, slot: OccupiedSlot) -> None:
        slot.free()
        run.task = None
        self._wake.set()

    async def _run(self, run: ItemRun, slot: OccupiedSlot) -> None:
        back_end = self._back_ends[run.runner_id]
        await asyncio.sleep(WAY_S)
        engine_run = back_end.come(is_batch=True)
        try:
            await engine_run.began
            await asyncio.sleep(READ_S)
            begun_s = self._loop.time()
            try:
                await back_end.work(self._left_s[run.item.item_id])
            finally:
                worked_s = self._loop.time() - begun_s
                run.worked_s += worked_s
                work_s = back_end.rate.work_s(begun_s, self._loop.time())
                self._left_s[run.item.item_id] -= work_s
                events = int(work_s * EVENTS_PER_S)
                self._events[run.item.item_id] = self._events.get(run.item.item_id, 0) + events
                self._times.record_output(events, worked_s)
        finally:
            self._loop.call_later(WAY_S, back_end.leave, engine_run)
        self._times.record(run.spent_s(self._times.seconds_per_event))
        self.done_s[run.item.item_id] = self._loop.time()
        keys = frozenset(key for key in self._queue.runs if key != run.key)
        self._queue.retain(keys)

    def _rank(self) -> None:
        if not self._queue.is_ranking_due(self._loop.time()):
            return
        mark_crowded_out(
            self._queue.runs.values(), self._due_in_s, self._times, self._loads.mean_runs(SERVICE)
        )
        self._queue.rank(self._loop.time(), self._urgency)

    def _urgency(self, run: ItemRun) -> Urgency:
        spent_s = run.spent_s(self._times.seconds_per_event)
        return self._times.urgency(self._due_in_s(run), spent_s, run.is_crowded_out)

    def _due_in_s(self, run: ItemRun) -> float:
        return run.item.due_ms / 1000 + run.item.accepted_ms / 1000 - self._loop.time()


def open_item(job: int, place: int, now_s: float, due_s: float) -> OpenItem:
    """Return an item as the group of lots has it."""
    return OpenItem(
        lot_id=f"job-{job}",
        item_id=f"{job}-{place}",
        host="h",
        path="/batch",
        headers=(),
        tokens=2000,
        max_attempts=3,
        give_up_s=600.0,
        due_ms=due_s * 1000,
        accepted_ms=round(now_s * 1000),
        failures=0,
    )
