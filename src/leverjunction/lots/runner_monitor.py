"""Tells why open items do not run: figures, bounded lines, and a word when work lies still.

Looks at what the runner has at most once a second, and decides nothing. A fault here is logged and
never reaches the runner.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection, Iterable

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus
from leverjunction.lots import metrics
from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_lines import ItemLine, ItemLines, ms
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.item_status import Reason, ServiceSight, Standing, Standings
from leverjunction.lots.record_trace import RecordTrace
from leverjunction.lots.run_trace import RunEnd, RunTrace
from leverjunction.lots.stall_watch import LIVELY_S, StallWatch, Work
from leverjunction.lots.suppressed_errors import harmless
from leverjunction.routes.matching import RouteIndex

LOOK_INTERVAL_S = 1.0
"""Seconds. With 750 open items a look takes milliseconds, and a person reads no faster."""

LOOK_SHARE = 1 / 200
"""Of the time that looks may take: with a hundred thousand open items they are less frequent."""

TELL_AFTER_S = 5.0
"""Seconds without an event after which an item has a line: half of the silence that a run is borne
for (``lost_runs.FIRST_SILENCE_MOST_S``).
"""

COMPARE_INTERVAL_S = 5.0
"""Seconds between two comparisons with what the group has open: they read all keys."""

ITEMS_NAMED = 32
"""Items of a lot that its line names."""

PLAIN = frozenset({RunEnd.DONE})
"""Runs that are only counted."""


class Scene:
    """What there is to see at one moment.

    Attributes:
        status: Of the group's replica here.
        index: The route table, None before the first.
        back_ends: How many are known.
        runs: The open items that the runner knows.
        service: Tells of a service's room.
        has_result: Tells whether an item has ended that the group still has as open.
        waiting: Results that the group does not have yet.
        open_keys: Reads what the group has open; None when that fails.
    """

    __slots__ = (
        "back_ends",
        "has_result",
        "index",
        "open_keys",
        "runs",
        "service",
        "status",
        "waiting",
    )

    def __init__(
        self,
        *,
        status: GroupStatus,
        index: RouteIndex | None,
        back_ends: int,
        runs: dict[ItemKey, ItemRun],
        service: Callable[[str], ServiceSight],
        has_result: Callable[[ItemRun], bool],
        waiting: int,
        open_keys: Callable[[], Collection[ItemKey] | None],
    ) -> None:
        self.status = status
        self.index = index
        self.back_ends = back_ends
        self.runs = runs
        self.service = service
        self.has_result = has_result
        self.waiting = waiting
        self.open_keys = open_keys

    @property
    def table(self) -> int:
        """Version of the route table, 0 for none."""
        return 0 if self.index is None else self.index.table.version


class RunnerSight:
    """Used by the runner's event loop.

    Args:
        clock: Source of time.

    Attributes:
        records: Takes what becomes of commands.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines = ItemLines(clock)
        self.records = RecordTrace(clock.monotonic_s, self._lines)
        self._stall = StallWatch()
        self._next_s = float("-inf")
        self._compared_s = float("-inf")
        self._led_s: float | None = None
        self._started_s = float("-inf")
        self._table = -1
        self._readable = True
        self._told: dict[ItemKey, ItemRun] = {}
        self._missing: frozenset[ItemKey] = frozenset()
        self._lost = 0

    @harmless
    def taken_in(
        self, lot_id: str, items: Iterable[OpenItem], read_status: Callable[[], GroupStatus]
    ) -> None:
        """Note the open items of a lot that the runner did not know."""
        status = read_status()
        names = [item.item_id for item in items]
        self._lines.put(
            ItemLine(
                event="lot_taken_in",
                lot=lot_id,
                items=tuple(names[:ITEMS_NAMED]),
                count=len(names),
                term=status.term,
                index=status.applied_index,
            )
        )

    @harmless
    def started(self, run: ItemRun) -> None:
        """Note a run that was started; the first one of an item has no line."""
        now_s = self._started_s = self._clock.monotonic_s()
        run.trace.start(now_s)
        metrics.STARTS.inc()
        if run.trace.runs > 1:
            self._lines.put(_line("run_started", run, runs=run.trace.runs))

    @harmless
    def ended(self, run: ItemRun, task: asyncio.Task[None] | None) -> None:
        """Note the end of a run and of its task."""
        trace = run.trace
        error = task.exception() if task is not None and not task.cancelled() else None
        if error is not None:
            trace.over(RunEnd.RAISED, repr(error))
            logger.opt(exception=error).error("a run of item {} of lot {} raised", *run.key[::-1])
        trace.over(RunEnd.PARKED if run.parking else RunEnd.STOPPED)
        assert trace.end is not None
        metrics.RUNS.labels(trace.end.value).inc()
        if trace.end in PLAIN:
            return
        took_s = self._clock.monotonic_s() - trace.started_s
        self._lines.put(
            _line(
                "run_ended",
                run,
                reason=trace.end.value,
                detail=trace.why,
                since_ms=ms(took_s),
                runs=trace.runs,
                parts=trace.parts,
                events=run.stream.recorded + run.stream.count,
            )
        )

    @harmless
    def look(self, make_scene: Callable[[], Scene]) -> None:
        """Set the figures and write the lines that are due, at most once in an interval."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_s:
            return
        self._next_s = now_s + LOOK_INTERVAL_S
        begun_s = time.thread_time()
        self._look(make_scene(), now_s)
        took_s = time.thread_time() - begun_s
        self._next_s = now_s + max(LOOK_INTERVAL_S, took_s / LOOK_SHARE)
        metrics.LOOK_S.inc(took_s)

    def _look(self, scene: Scene, now_s: float) -> None:
        self._lines.renew(now_s)
        if scene.status.role != "leader":
            self._note_lead_lost(scene.status)
            return
        self._compare(scene, now_s)
        self._note_lead(scene, now_s)
        standings = Standings(scene.index, scene.service, scene.has_result)
        counts: dict[str, int] = {}
        untold: dict[str, list[tuple[ItemRun, Standing]]] = {}
        lively = 0
        heard_s = now_s
        oldest_ms = wall_ms = self._clock.wall_ms()
        for run in scene.runs.values():
            standing = standings.of(run)
            trace = run.trace
            key = _note(trace, standing.key, now_s)
            counts[key] = counts.get(key, 0) + 1
            if trace.told != key and _is_to_tell(trace, now_s):
                untold.setdefault(key, []).append((run, standing))
            if trace.heard_s < heard_s:
                heard_s = trace.heard_s
            if run.item.accepted_ms < oldest_ms:
                oldest_ms = run.item.accepted_ms
            if key in MOVING and now_s - max(trace.heard_s, trace.started_s) < LIVELY_S:
                lively += 1
        self._tell(untold, scene, now_s)
        self._note_moved(scene, now_s)
        counts[Reason.NOT_TAKEN_IN.value] = self._lost
        _set_open(counts, (wall_ms - oldest_ms) / 1000, now_s - heard_s)
        self._set_moves(scene.waiting, now_s)
        room = standings.room(scene.runs.values()) if scene.runs and not lively else 0
        self._watch(counts, lively, room, now_s)

    def _watch(self, counts: dict[str, int], lively: int, room: int, now_s: float) -> None:
        assert self._led_s is not None
        work = Work(
            open_items=sum(counts.values()),
            lively=lively,
            room=room,
            started_s=max(self._started_s, self._led_s),
            recorded_s=max(self.records.taken_s, self._led_s),
            reasons=", ".join(f"{count} {reason}" for reason, count in counts.items() if count),
        )
        word = self._stall.update(work, now_s)
        metrics.STALLED.set(self._stall.stalled)
        if word:
            logger.warning("{}", word) if self._stall.stalled else logger.info("{}", word)

    def _note_lead(self, scene: Scene, now_s: float) -> None:
        """Say what a store that begins to lead found, and when it has no table."""
        begins = self._led_s is None
        if begins:
            self._led_s = now_s
            logger.info(
                "runs the items of {} in term {}: {} open in {} lots, route table {},"
                " {} back ends known",
                scene.status.group,
                scene.status.term,
                len(scene.runs),
                len({lot for lot, _ in scene.runs}),
                scene.table or "none",
                scene.back_ends,
            )
        if scene.index is None and scene.runs and self._table != 0:
            self._table = 0
            logger.warning("{} open items wait: there is no route table yet", len(scene.runs))
        elif scene.index is not None:
            self._table = scene.table

    def _note_lead_lost(self, status: GroupStatus) -> None:
        if self._led_s is None:
            return
        logger.info("runs items no longer: {} in term {}", status.role, status.term)
        self._led_s = None
        self._table = -1
        self._told.clear()
        self._missing = frozenset()
        self._lost = 0
        self._stall = StallWatch()
        _set_open({}, 0.0, 0.0)
        for gauge in (
            metrics.RECORDS_WAITING,
            metrics.RECORD_UNDER_WAY_S,
            metrics.SINCE_START_S,
            metrics.SINCE_RECORD_S,
            metrics.STALLED,
        ):
            gauge.set(0)

    def _compare(self, scene: Scene, now_s: float) -> None:
        """Look for open items that the runner does not know, at two comparisons in a row."""
        if now_s - self._compared_s < COMPARE_INTERVAL_S:
            return
        self._compared_s = now_s
        opened = self._open_keys(scene)
        if opened is None:
            return
        missing = frozenset(key for key in opened if key not in scene.runs)
        lost = missing & self._missing
        self._missing = missing
        self._lost = len(lost)
        for lot, item in sorted(lost):
            reason = Reason.NOT_TAKEN_IN.value
            line = ItemLine(event="waits", lot=lot, item=item, reason=reason, table=scene.table)
            self._lines.put(line)

    def _open_keys(self, scene: Scene) -> Collection[ItemKey] | None:
        """Return what the group has open; None when that cannot be read, which is told."""
        why = "the group's replica refuses"
        opened: Collection[ItemKey] | None = None
        try:
            opened = scene.open_keys()
        except Exception as error:
            why = repr(error)
        if opened is None and self._readable:
            logger.warning("what is open cannot be read: {}", why)
        elif opened is not None and not self._readable:
            logger.info("what is open can be read again")
        self._readable = opened is not None
        return opened

    def _tell(
        self, untold: dict[str, list[tuple[ItemRun, Standing]]], scene: Scene, now_s: float
    ) -> None:
        """Write lines on the items that are quiet for longest, and how many have none."""
        for reason, items in untold.items():
            if self._lines.has("waits", reason):
                items.sort(key=lambda pair: pair[0].trace.heard_s, reverse=True)
            while items and self._lines.has("waits", reason):
                run, standing = items.pop()
                self._lines.put(self._waits(run, standing, scene, now_s))
                run.trace.told = reason
                run.trace.told_s = now_s
                self._told[run.key] = run
            if items:
                self._lines.left_out("waits", reason, len(items))

    def _waits(self, run: ItemRun, standing: Standing, scene: Scene, now_s: float) -> ItemLine:
        trace = run.trace
        line = _line(
            "waits",
            run,
            reason=standing.reason.value,
            detail=trace.why,
            since_ms=ms(now_s - trace.since_s),
            quiet_ms=ms(now_s - trace.heard_s),
            runs=trace.runs,
            parts=trace.parts,
            events=run.stream.recorded,
            table=scene.table,
            service=standing.name,
        )
        if standing.service is not None:
            line.figure = standing.service.room
            line.detail = str(standing.service)
        elif standing.reason is Reason.RUNS:
            line.since_ms = ms(now_s - trace.started_s)
        elif standing.reason is Reason.RESULT_WAITS:
            self._add_tries(line, run, now_s)
        return line

    def _add_tries(self, line: ItemLine, run: ItemRun, now_s: float) -> None:
        tries = self.records.tries(run.key)
        line.detail = self.records.last_failure or "no reply yet"
        if tries is not None:
            line.tries = tries.count
            line.since_ms = ms(now_s - tries.since_s)

    def _note_moved(self, scene: Scene, now_s: float) -> None:
        """Say of items that had a line that they go on."""
        for key, run in list(self._told.items()):
            trace = run.trace
            is_open = key in scene.runs
            if is_open and trace.heard_s <= trace.told_s:
                continue
            del self._told[key]
            line = _line(
                "moves_on",
                run,
                reason=trace.standing if is_open else "not_open",
                detail=f"was {trace.told}",
                since_ms=ms(now_s - trace.told_s),
                runs=trace.runs,
            )
            self._lines.put(line)
            trace.told = ""

    def _set_moves(self, waiting: int, now_s: float) -> None:
        led_s = now_s if self._led_s is None else self._led_s
        begun_s = self.records.begun_s
        metrics.RECORDS_WAITING.set(waiting)
        metrics.RECORD_UNDER_WAY_S.set(0 if begun_s is None else now_s - begun_s)
        metrics.SINCE_START_S.set(now_s - max(self._started_s, led_s))
        metrics.SINCE_RECORD_S.set(now_s - max(self.records.taken_s, led_s))


MOVING = frozenset({Reason.RUNS.value, Reason.STOPS.value, Reason.PAUSES.value})
LEFT = Reason.TASK_LEFT.value
LEFT_ONCE = "task_left_once"


def _note(trace: RunTrace, standing: str, now_s: float) -> str:
    """Take an item's standing of this moment; return what it is counted as."""
    if standing != trace.standing:
        if standing == LEFT and trace.standing != LEFT_ONCE:
            # Between the end of a task and its callback nothing is wrong.
            trace.standing, trace.since_s = LEFT_ONCE, now_s
            return Reason.PAUSES.value
        if standing != LEFT or trace.standing != LEFT_ONCE:
            trace.since_s = now_s
        trace.standing = standing
    if not trace.heard_s:
        trace.heard_s = now_s
    return standing


def _is_to_tell(trace: RunTrace, now_s: float) -> bool:
    """Return whether an item is quiet for long, for one reason at more than one look."""
    if now_s - trace.heard_s < TELL_AFTER_S:
        return False
    return now_s - trace.since_s >= (TELL_AFTER_S if trace.told else LOOK_INTERVAL_S)


def _set_open(counts: dict[str, int], oldest_s: float, quiet_s: float) -> None:
    for reason in Reason:
        metrics.OPEN_ITEMS.labels(reason.value).set(counts.get(reason.value, 0))
    metrics.OLDEST_OPEN_S.set(max(0.0, oldest_s))
    metrics.LONGEST_QUIET_S.set(quiet_s)


def _line(
    event: str,
    run: ItemRun,
    *,
    reason: str = "",
    detail: str = "",
    since_ms: int | None = None,
    quiet_ms: int | None = None,
    runs: int = 0,
    parts: int = 0,
    events: int = 0,
    table: int = 0,
    service: str = "",
) -> ItemLine:
    lot, item = run.key
    return ItemLine(
        event=event,
        lot=lot,
        item=item,
        reason=reason,
        detail=detail,
        since_ms=since_ms,
        quiet_ms=quiet_ms,
        runner_id=run.runner_id,
        runs=runs,
        parts=parts,
        events=events,
        table=table,
        service=service,
    )
