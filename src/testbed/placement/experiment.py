"""Plays a load pattern on a fleet of gateways and tells how it was served."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

import msgspec

from leverjunction.registry.records import RunnerRecord
from testbed.placement.back_ends import BackEnd
from testbed.placement.batch import BatchLeader, open_item
from testbed.placement.gateway import EmulatedGateway, Outcome
from testbed.placement.loads import (
    PATTERNS,
    SERVICE,
    OnlineKind,
    Pattern,
    item_time,
    items_bound,
    job_times,
    online_times,
    pooled_in_time,
)
from testbed.placement.virtual_loop import VirtualLoop
from testbed.placement.work_rate import WorkRate

ZONES = 5
WARM_S = 2.0
"""Gateways are heard before load comes."""

STORE = "store:1"


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """How large a fleet is, and whether its gateways spread their requests, and allow for rates."""

    gateways: int = 165
    back_ends: int = 40
    slots: int = 8
    spread: bool = True
    by_rate: bool = True


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """How a play was served.

    Attributes:
        online: Online requests.
        in_time: Share of them whose answer began within the aim.
        pooled: The same if all waited in one queue before all slots, and there were no batch: a
            bound for first come, first served.
        refused: Share that was refused.
        p99_s: Time to the first part that 99 of 100 met.
        behind_batch: Share that waited at a back end where batch had a slot.
        misplaced: Share that waited although no online request had some slot elsewhere.
        items: Batch items.
        items_in_time: Share of them that was done when due.
        items_bound: A bound on that share for any order in which items could run.
        idle_share: Idle slot-seconds while items waited, as a share of those and batch's own.
        item_p50_s: Median time to an item's end.
        cuts: Batch runs that were ended to give way, an item.
        words_per_s: Datagrams, a gateway and second.
        bytes_per_s: Their size, a gateway and second.
    """

    online: int
    in_time: float
    pooled: float
    refused: float
    p99_s: float
    behind_batch: float
    misplaced: float
    items: int
    items_in_time: float
    items_bound: float
    idle_share: float
    item_p50_s: float
    cuts: float
    words_per_s: float
    bytes_per_s: float


class Play:
    """One play of a pattern."""

    def __init__(self, pattern: Pattern, fleet: Fleet, seed: int) -> None:
        self._pattern = pattern
        self._fleet = fleet
        self._seed = seed
        self._kind = OnlineKind()
        self._outcomes: list[Outcome] = []
        self._came: list[tuple[float, float]] = []
        self._accepted_s: dict[str, float] = {}
        self._items: list[tuple[float, float]] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def run(self) -> Figures:
        """Play it in virtual time."""
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(self._play())

    async def _play(self) -> Figures:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        random = Random(self._seed)
        names = [f"b{n}" for n in range(self._there())]
        rates = Random(self._seed + 1)
        back_ends = {
            name: BackEnd(
                name,
                self._fleet.slots,
                WorkRate(self._pattern.uneven, n // ZONES, Random(rates.getrandbits(64))),
            )
            for n, name in enumerate(names)
        }
        records = [
            RunnerRecord(
                runner_id=key,
                service=SERVICE,
                address=f"{key}:1",
                zone=f"z{n % ZONES}",
                slots=self._fleet.slots,
            )
            for n, key in enumerate(back_ends)
        ]
        leader = BatchLeader("z0", STORE, records, back_ends)
        self._begin(leader.run())
        gateways = [
            EmulatedGateway(
                f"g{n}",
                f"z{n % ZONES}",
                f"g{n}:1",
                STORE,
                records,
                back_ends,
                Random(random.getrandbits(64)),
                self._fleet.spread,
                self._fleet.by_rate,
            )
            for n in range(self._fleet.gateways)
        ]
        for gateway in gateways:
            loop.call_later(random.random(), self._start, gateway)
        await asyncio.sleep(WARM_S)
        if self._pattern.cut_s:
            loop.call_later(self._pattern.cut_s, self._cut, leader)
        await asyncio.gather(self._online(gateways, random), self._jobs(leader, random))
        while (
            leader.open_items
            and loop.time() < WARM_S + self._pattern.length_s + self._pattern.due_s
        ):
            await asyncio.sleep(0.5)
        await asyncio.sleep(self._kind.deadline_s)
        figures = self._figures(leader, loop)
        for task in self._tasks:
            task.cancel()
        return figures

    def _there(self) -> int:
        """Return the number of back ends that are there."""
        return max(1, round(self._fleet.back_ends * (1 - self._pattern.lost_share)))

    async def _online(self, gateways: list[EmulatedGateway], random: Random) -> None:
        slots = self._fleet.back_ends * self._fleet.slots
        for at_s in online_times(self._pattern, slots, self._kind, random):
            await self._until(WARM_S + at_s)
            run_s = self._kind.run_s * random.uniform(0.6, 1.4)
            self._came.append((at_s, run_s))
            self._begin(self._serve(random.choice(gateways), run_s))

    def _cut(self, leader: BatchLeader) -> None:
        """Cut the power: runs end, and the next leader continues after a while."""
        leader.stop()
        asyncio.get_running_loop().call_later(self._pattern.cut_for_s, leader.lead)

    def _start(self, gateway: EmulatedGateway) -> None:
        self._begin(gateway.start())

    async def _serve(self, gateway: EmulatedGateway, run_s: float) -> None:
        self._outcomes.append(await gateway.serve(self._kind, run_s))

    async def _jobs(self, leader: BatchLeader, random: Random) -> None:
        slots = self._fleet.back_ends * self._fleet.slots
        loop = asyncio.get_running_loop()
        for job, at_s in enumerate(job_times(self._pattern, slots, random)):
            await self._until(WARM_S + at_s)
            now_s = loop.time()
            times_s = {
                open_item(job, place, now_s, self._pattern.due_s): item_time(self._pattern, random)
                for place in range(self._pattern.job_items)
            }
            self._accepted_s.update({item.item_id: now_s for item in times_s})
            self._items += [(at_s, time_s) for time_s in times_s.values()]
            leader.submit(times_s)

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))

    def _begin(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _figures(self, leader: BatchLeader, loop: VirtualLoop) -> Figures:
        outcomes = self._outcomes
        count = max(1, len(outcomes))
        heads = sorted(out.head_s for out in outcomes if out.head_s is not None)
        late_s = self._kind.aim_s
        times = sorted(done - self._accepted_s[key] for key, done in leader.done_s.items())
        items = len(self._accepted_s)
        span = loop.time() * self._fleet.gateways
        slots = self._there() * self._fleet.slots
        idle_s, batch_s = leader.idle_and_batch_s()
        waited = [out for out in outcomes if out.queued_s > 0]
        return Figures(
            online=len(outcomes),
            in_time=sum(1 for head in heads if head <= late_s) / count,
            pooled=pooled_in_time(self._came, slots, self._kind, self._pattern.uneven),
            refused=sum(1 for out in outcomes if out.head_s is None) / count,
            p99_s=heads[int(len(heads) * 0.99)] if heads else 0.0,
            behind_batch=sum(1 for out in waited if out.behind_batch) / count,
            misplaced=sum(1 for out in waited if out.free_elsewhere > 0) / count,
            items=items,
            items_in_time=sum(1 for time in times if time <= self._pattern.due_s) / max(1, items),
            items_bound=items_bound(
                self._came, self._items, round(slots * self._pattern.uneven.power), self._pattern
            ),
            idle_share=idle_s / max(1.0, idle_s + batch_s),
            item_p50_s=times[len(times) // 2] if times else 0.0,
            cuts=leader.cuts / max(1, items),
            words_per_s=loop.datagrams.sent / span,
            bytes_per_s=loop.datagrams.sent_bytes / span,
        )


def play(pattern: str, fleet: Fleet, seed: int) -> Figures:
    """Play a pattern of ``PATTERNS`` and return how it was served."""
    return Play(PATTERNS[pattern], fleet, seed).run()
