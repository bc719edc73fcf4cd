"""Measures how soon batch gives way on a runner, and how soon an idle gap is filled again."""

from __future__ import annotations

from testbed.engine.types import LoadReading
from testbed.load.harm.virtual_runner import VirtualRunner
from testbed.load.latency import LatencyRecorder
from testbed.simulation.scheduler import Scheduler

YIELDED_RATIO = 0.5
"""Batch has given way once half of the batch sequences that online met are gone, or fewer run
than the interference target allows."""

REFILLED_SEQUENCES = 4
"""A gap counts as filled once this many batch sequences run again."""


class YieldMeter:
    """Watches the true state of one runner, without lag.

    Time to yield starts when a gateway sends to a runner on which no online request runs, so a
    yield notice that overtakes the request is counted too.
    """

    def __init__(self, scheduler: Scheduler, runner: VirtualRunner, allowed: int) -> None:
        self.to_yield = LatencyRecorder()
        self.to_refill = LatencyRecorder()
        self._scheduler = scheduler
        self._allowed = allowed
        self._runner = runner
        self._online = 0
        self._met_batch = 0
        self._arrived_s: float | None = None
        self._gone_s: float | None = None
        runner.observers.append(self._observe)

    def online_sent(self) -> None:
        """Start the clock when a gateway sends to the runner while it holds no online request."""
        batch = self._runner.load_now().batch_running
        if self._online or self._arrived_s is not None or batch <= self._allowed:
            return
        self._arrived_s = self._scheduler.now_s
        self._met_batch = batch
        self._gone_s = None

    def _observe(self, runner: VirtualRunner) -> None:
        reading = runner.load_now()
        online = reading.running + reading.waiting - reading.batch_running - reading.batch_waiting
        now_s = self._scheduler.now_s
        if online:
            self._gone_s = None
        if self._online and not online:
            self._gone_s = now_s
            self._arrived_s = None
        self._online = online
        self._settle(reading, now_s)

    def _settle(self, reading: LoadReading, now_s: float) -> None:
        batch = reading.batch_running
        limit = max(self._allowed, self._met_batch * YIELDED_RATIO)
        if self._arrived_s is not None and batch <= limit:
            self.to_yield.record(now_s - self._arrived_s)
            self._arrived_s = None
        if self._gone_s is not None and batch >= REFILLED_SEQUENCES:
            self.to_refill.record(now_s - self._gone_s)
            self._gone_s = None
