"""One item on its way through its runs."""

from __future__ import annotations

import asyncio

from loguru import logger

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_stream import ItemStream
from leverjunction.lots.run_trace import RunEnd, RunTrace
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import Route

ItemKey = tuple[str, str]
"""Lot and item."""


class ItemRun:
    """An item that is to be run.

    Attributes:
        item: What is run.
        stream: Its events so far, kept from run to run.
        progress_loaded: Whether the stream goes on from what the group has; read before a run.
        task: What runs it, None while nothing does.
        failures: Runs that failed, those not replicated yet included.
        parking: Its run is being stopped, to go on later.
        runner_id: Back end where it runs.
        worked_s: Time for which back ends have worked on it.
        trace: What is noted of its runs; decides nothing.
        sent_s: When it was sent to the back end where it runs, None while it is not.
        heard_s: When that back end was last heard of it, the sending included.
        lost_runs: Runs that were ended since their back end did not report them any more.
        raised: Runs in a row that an error here ended.
        silent: Runs in a row that were ended in silence, without a part of the item's output.
        first_output_s: When the first part of the answer came in its last run, None while none has.
        suspect_key: Its key once a back end ended under it, else empty.
    """

    __slots__ = (
        "_route",
        "_routed_by",
        "consecutive_errors",
        "failures",
        "first_output_s",
        "heard_s",
        "item",
        "lost_runs",
        "parking",
        "progress_loaded",
        "runner_id",
        "sent_s",
        "silent_runs",
        "stream",
        "suspect_key",
        "task",
        "trace",
        "worked_s",
    )

    def __init__(self, item: OpenItem) -> None:
        self.item = item
        self.stream = ItemStream()
        self.progress_loaded = False
        self.task: asyncio.Task[None] | None = None
        self.failures = item.failures
        self.parking = False
        self.runner_id = ""
        self.worked_s = 0.0
        self.trace = RunTrace()
        self.sent_s: float | None = None
        self.heard_s = 0.0
        self.silent_runs = 0
        self.lost_runs = 0
        self.consecutive_errors = 0
        self.suspect_key = ""
        self.first_output_s: float | None = None
        self._route: Route | None = None
        self._routed_by: RouteIndex | None = None

    @property
    def key(self) -> ItemKey:
        """Its lot and item."""
        return (self.item.lot_id, self.item.item_id)

    def route(self, index: RouteIndex) -> Route | None:
        """Return its route in a table."""
        if self._routed_by is not index:
            self._route = index.find(self.item.host, self.item.path)
            self._routed_by = index
        return self._route

    @property
    def route_name(self) -> str:
        """Name of the route that it was last found on, empty before."""
        return self._route.name if self._route is not None else ""

    def assign_to(self, runner_id: str) -> None:
        """Note the back end where it is run from now on."""
        self.runner_id = runner_id
        self.parking = False
        self.sent_s = None

    def mark_sent(self, now_s: float) -> None:
        """Note that its back end is asked now."""
        self.sent_s = self.heard_s = now_s
        self.first_output_s = None

    def mark_heard(self, now_s: float) -> None:
        """Note a sign of life of its run: the answer's head, or a part of it."""
        self.heard_s = now_s

    def note_output(self, now_s: float) -> None:
        """Note that a part of its answer has come."""
        if self.first_output_s is None:
            self.first_output_s = now_s

    def stop(self) -> None:
        """End the run that is under way; a later one continues."""
        if self.task is not None:
            self.task.cancel()

    def end_lost(self, now_s: float) -> None:
        """End the run whose back end does not have it any more; the next one continues."""
        if self.parking:
            return
        self.silent_runs += 1
        self.lost_runs += 1
        self.trace.set_end(RunEnd.SILENT, "its back end has it no more")
        logger.info(
            "item {} of lot {} is run again: back end {} has it no more, silent for {:.1f} s",
            self.item.item_id,
            self.item.lot_id,
            self.runner_id,
            now_s - self.heard_s,
        )
        self.sent_s = None
        self.stop()

    def restart(self) -> None:
        """Go on from what the group has: what is here does not follow on that."""
        self.progress_loaded = False
        self.stop()
