"""The state of one open item across its runs."""

from __future__ import annotations

import asyncio

from loguru import logger

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_stream import ItemStream
from leverjunction.lots.placement import Placement
from leverjunction.lots.run_trace import RunEnd, RunTrace
from leverjunction.quarantine.verdicts import ran_on
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import Route

ItemKey = tuple[str, str]
"""Ids of an item's lot and of the item."""


class ItemRun:
    """An open item and the state of its runs. All times are monotonic seconds.

    Attributes:
        item: The item as the group has it.
        stream: Its output events so far, kept from run to run.
        progress_loaded: Whether the stream continues after the events that the group has, which are
            read before a run.
        task: Task of the current run, None while there is none.
        failures: Runs that failed, including those not replicated yet.
        parking: Whether the current run is being stopped, to be continued later.
        runner_id: Back end of the current or last run.
        worked_s: Time that back ends have spent on the item, in seconds.
        earlier_events: Events of its output that other stores had recorded before.
        trace: Notes about its runs for log lines; nothing is decided by them.
        sent_s: When the item was sent to its current back end, None while it is not there.
        heard_s: When the item was sent to that back end or last heard from there.
        lost_runs: Runs that were ended because their back end no longer reported them.
        consecutive_errors: Runs in a row that ended with an unexpected error in this process.
        silent_runs: Runs in a row that were ended in silence, without any output. Those that their
            back ends no longer reported are not counted, since they were ended sooner.
        went_silent: Whether the last run was ended in silence, or its back end no longer had it,
            and no output has arrived since.
        first_output_s: When the first output of the last run arrived, None if none has.
        last_output_s: When the last output so far arrived.
        suspect_key: Key under which the item is suspected of crashing back ends, else empty.
        crashed_starts: Starts that crashed early in its runs, since its last complete response.
        alone_starts: Those of them at which nothing else ran.
        crashed_s: When the last of them was known to have crashed.
        is_crowded_out: Whether other items leave no time for it before it is due.
        placement: How the item might run when that was last decided.
        wants_version_s: Since when it has been waiting for a back end of the version that began its
            output, None if it does not.
        wants_idle_s: Since when it has been waiting for an idle back end, None if it does not.
        asked_idle_s: When one was last asked for.
    """

    __slots__ = (
        "_route",
        "_routed_by",
        "alone_starts",
        "asked_idle_s",
        "consecutive_errors",
        "crashed_s",
        "crashed_starts",
        "earlier_events",
        "failures",
        "first_output_s",
        "heard_s",
        "is_crowded_out",
        "item",
        "last_output_s",
        "lost_runs",
        "parking",
        "placement",
        "progress_loaded",
        "runner_id",
        "sent_s",
        "silent_runs",
        "stream",
        "suspect_key",
        "task",
        "trace",
        "wants_idle_s",
        "wants_version_s",
        "went_silent",
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
        self.earlier_events = item.events
        self.trace = RunTrace()
        self.sent_s: float | None = None
        self.heard_s = 0.0
        self.silent_runs = 0
        self.went_silent = False
        self.lost_runs = 0
        self.consecutive_errors = 0
        self.suspect_key = ""
        self.crashed_starts: set[str] = set()
        self.alone_starts: set[str] = set()
        self.crashed_s = 0.0
        self.is_crowded_out = False
        self.placement = Placement.SHARED
        self.wants_version_s: float | None = None
        self.wants_idle_s: float | None = None
        self.asked_idle_s = 0.0
        self.first_output_s: float | None = None
        self.last_output_s = 0.0
        self._route: Route | None = None
        self._routed_by: RouteIndex | None = None

    @property
    def key(self) -> ItemKey:
        """Ids of the lot and of the item."""
        return (self.item.lot_id, self.item.item_id)

    def route(self, index: RouteIndex) -> Route | None:
        """Return the item's route in a route table, None if it has none."""
        if self._routed_by is not index:
            self._route = index.find(self.item.host, self.item.path)
            self._routed_by = index
        return self._route

    @property
    def route_name(self) -> str:
        """Name of the route that was last found, empty if there was none."""
        return self._route.name if self._route is not None else ""

    def assign_to(self, runner_id: str) -> None:
        """Set the back end of the run that starts now."""
        self.runner_id = runner_id
        self.parking = False
        self.wants_version_s = None
        self.sent_s = None

    def mark_sent(self, now_s: float) -> None:
        """Note that the item is sent to its back end now."""
        self.sent_s = self.heard_s = now_s
        self.first_output_s = None

    def mark_heard(self, now_s: float) -> None:
        """Note a sign of life from the back end: the head of the response, or a part of it."""
        self.heard_s = now_s

    def note_output(self, now_s: float) -> None:
        """Note that a part of the output has arrived."""
        if self.first_output_s is None:
            self.first_output_s = now_s
        self.last_output_s = now_s

    def is_proven(self, now_s: float) -> bool:
        """Return whether the current run has gone on for long enough to be harmless."""
        return ran_on(self.first_output_s, now_s)

    @property
    def has_run_on(self) -> bool:
        """Whether output has been arriving for a while in the last run (``verdicts.ran_on``).

        The time of the last output counts, since the end of a response is noticed late: it is read
        at intervals, and this process may be delayed.
        """
        return ran_on(self.first_output_s, self.last_output_s)

    def spent_s(self, seconds_per_event: float) -> float:
        """Return the time that back ends have spent on its output, for other stores too."""
        return self.worked_s + self.earlier_events * seconds_per_event

    def is_at(self, start: str) -> bool:
        """Return whether it is being run at a start, or its run there has just ended."""
        return self.task is not None and self.runner_id == start

    def stop(self) -> None:
        """Stop the current run; a later one continues it."""
        if self.task is not None:
            self.task.cancel()

    def end_lost(self, now_s: float) -> None:
        """End a run that its back end no longer has; the next one continues it."""
        if self.parking:
            return
        self.went_silent = True
        self.lost_runs += 1
        self.trace.set_end(RunEnd.SILENT, "its back end no longer has it")
        logger.info(
            "retrying item {} of lot {}: back end {} no longer has it, silent for {:.1f} s",
            self.item.item_id,
            self.item.lot_id,
            self.runner_id,
            now_s - self.heard_s,
        )
        self.sent_s = None
        self.stop()

    def begin_anew(self, reason: str) -> None:
        """Discard the output so far, recorded events included: the next run writes all of it."""
        logger.info(
            "item {} of lot {} begins anew: {}", self.item.item_id, self.item.lot_id, reason
        )
        self.stream = ItemStream(replaces=True)
        self.worked_s = 0.0
        self.earlier_events = 0
        self.wants_version_s = None

    def restart(self) -> None:
        """Stop the run and discard its local events, to continue after those that the group has."""
        self.progress_loaded = False
        self.stop()
