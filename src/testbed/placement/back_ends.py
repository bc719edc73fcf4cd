"""Back ends that work on some requests at a time and queue the others as they come."""

from __future__ import annotations

import asyncio
from collections import deque

from leverjunction.proxy.dialect import EngineLoad

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
    """

    def __init__(self, runner_id: str, slots: int) -> None:
        self.runner_id = runner_id
        self.slots = slots
        self._loop = asyncio.get_running_loop()
        self._running: set[EngineRun] = set()
        self._queue: deque[EngineRun] = deque()
        self._reports: deque[tuple[float, EngineLoad]] = deque([(0.0, self._load())])

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

    def load(self) -> EngineLoad:
        """Return the load that an answer tells: that of now."""
        return self._load()

    def report(self) -> EngineLoad:
        """Return the load that a report tells: that of a little earlier."""
        until_s = self._loop.time() - REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= until_s:
            self._reports.popleft()
        return self._reports[0][1]

    def _begin(self) -> None:
        while self._queue and len(self._running) < self.slots:
            run = self._queue.popleft()
            self._running.add(run)
            run.began_s = self._loop.time()
            if not run.began.done():
                # Else it was given up, and leaves as soon as that word arrives.
                run.began.set_result(None)
        self._reports.append((self._loop.time(), self._load()))

    def _load(self) -> EngineLoad:
        return EngineLoad(running=len(self._running), waiting=len(self._queue), slots=self.slots)
