"""Back ends that work on some requests at a time and queue the others as they come."""

from __future__ import annotations

import asyncio
from collections import deque

from leverjunction.proxy.dialect import EngineLoad
from testbed.placement.work_rate import WorkRate

REPORT_LAG_S = 0.05
"""Age of the load that a report tells."""


class EngineRun:
    """One request at a back end.

    Attributes:
        is_batch: Whether it is an item of a batch.
        began: Done once it has a slot.
        came_s: When it came.
        began_s: When it got a slot, None before.
    """

    __slots__ = ("began", "began_s", "came_s", "is_batch")

    def __init__(self, is_batch: bool, came_s: float) -> None:
        self.is_batch = is_batch
        self.came_s = came_s
        self.began_s: float | None = None
        self.began: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class BackEnd:
    """First come, first served on a fixed number of slots.

    Attributes:
        runner_id: Its id.
        slots: Requests that it works on at a time.
        rate: How fast it works on each.
    """

    def __init__(self, runner_id: str, slots: int, rate: WorkRate) -> None:
        self.rate = rate
        self.runner_id = runner_id
        self.slots = slots
        self._loop = asyncio.get_running_loop()
        self._running: set[EngineRun] = set()
        self._queue: deque[EngineRun] = deque()
        self._reports: deque[tuple[float, EngineLoad]] = deque([(0.0, self._load(0.0))])

    @property
    def idle_slots(self) -> int:
        """Slots that nothing has."""
        return self.slots - len(self._running)

    @property
    def batch_runs(self) -> int:
        """Slots that batch has."""
        return sum(1 for run in self._running if run.is_batch)

    @property
    def waiting_online(self) -> int:
        """Online requests in the queue."""
        return sum(1 for run in self._queue if not run.is_batch)

    def come(self, is_batch: bool) -> EngineRun:
        """Take a request."""
        run = EngineRun(is_batch, self._loop.time())
        self._queue.append(run)
        self._begin()
        return run

    def leave(self, run: EngineRun) -> None:
        """End a request, wherever it is."""
        if run in self._running:
            self._running.remove(run)
        elif run in self._queue:
            self._queue.remove(run)
        self._begin()

    async def work(self, work_s: float) -> None:
        """Do work that a back end of speed 1 does in this many seconds."""
        await asyncio.sleep(self.rate.time_s(self._loop.time(), work_s))

    def load(self) -> EngineLoad:
        """Return the load that an answer tells: that of now."""
        return self._load(self._loop.time())

    def report(self) -> EngineLoad:
        """Return the load that a report tells: that of a little earlier, without a slowdown."""
        until_s = self._loop.time() - REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= until_s:
            self._reports.popleft()
        load = self._reports[0][1]
        return EngineLoad(load.running, load.waiting, load.slots, None)

    def _begin(self) -> None:
        while self._queue and len(self._running) < self.slots:
            run = self._queue.popleft()
            self._running.add(run)
            run.began_s = self._loop.time()
            if not run.began.done():
                # Else it was given up, and leaves as soon as that word arrives.
                run.began.set_result(None)
        self._reports.append((self._loop.time(), self._load(self._loop.time())))

    def _load(self, at_s: float) -> EngineLoad:
        return EngineLoad(
            running=len(self._running),
            waiting=len(self._queue),
            slots=self.slots,
            slowdown=self._told_slowdown(at_s),
        )

    def _told_slowdown(self, at_s: float) -> float | None:
        return self.rate.slowdown(at_s) if self.rate.told else None
