"""Reports why open items do not run, by metrics, rate-limited log lines and stall warnings.

The monitor examines the runner's state at most once a second and decides nothing. Its own errors
are logged and never reach the runner.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable, Collection, Iterable

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus
from leverjunction.lots import metrics
from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_lines import ItemLine, ItemLineWriter, ms
from leverjunction.lots.item_report import MAX_ITEMS_REPORTED, ItemsReport
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.item_status import ItemStatus, Reason, ServiceAvailability, StatusClassifier
from leverjunction.lots.leader_watch import LeaderWatch
from leverjunction.lots.open_summary import RUNNING_STATUSES, OpenSummary
from leverjunction.lots.record_trace import RecordTrace
from leverjunction.lots.run_trace import RunEnd, RunTrace
from leverjunction.lots.stall_watch import ACTIVE_S, StallWatch, WorkState
from leverjunction.lots.suppressed_errors import suppress_errors
from leverjunction.lots.wait_ends import WHAT_ENDS, HoldEnd, wait_end_s
from leverjunction.routes.matching import RouteIndex

UPDATE_INTERVAL_S = 1.0
"""Seconds between two updates: often enough for a person who follows them. With 750 open items an
update takes milliseconds.
"""

MAX_CPU_SHARE = 1 / 200
"""Largest share of time that updates may take. With a hundred thousand open items they are
therefore less frequent.
"""

LOG_AFTER_S = 5.0
"""Seconds without an event after which an item is logged: half of the longest silence that is
accepted of an item's first run (``lost_runs.MAX_FIRST_SILENCE_S``).
"""

COMPARE_INTERVAL_S = 5.0
"""Seconds between two comparisons with the group's open items, each of which reads all their keys.
"""

SUMMARY_INTERVAL_S = 5.0
"""Seconds between two summaries of the open items."""

MAX_ITEMS_NAMED = 32
"""Most items of a lot that its log line names."""

UNLOGGED_ENDS = frozenset({RunEnd.DONE})
"""Ends of runs that are counted but not logged."""


class RunnerSnapshot:
    """The state of the runner at one moment.

    Attributes:
        status: Status of the group's local replica.
        index: Route table, None before the first one was received.
        is_in_doubt: Whether no run is started, because the process was suspended and has not heard
            from the registry since.
        late_items: Waiting items that were late in the last ranking.
        hold_end_s: Returns when an item that is held, or waits for an idle back end, may run at the
            latest; None if that is not known.
        back_ends: Number of known back ends.
        runs: Open items that the runner knows.
        service: Returns the figures that decide whether runs of a service can start.
        has_result: Returns whether an item has ended that the group still has as open.
        pending_results: Results that the group has not recorded yet.
        open_keys: Reads the keys of the group's open items; returns None when that fails.
    """

    __slots__ = (
        "back_ends",
        "has_result",
        "hold_end_s",
        "index",
        "is_in_doubt",
        "late_items",
        "open_keys",
        "pending_results",
        "runs",
        "service",
        "status",
    )

    def __init__(
        self,
        *,
        status: GroupStatus,
        index: RouteIndex | None,
        back_ends: int,
        runs: dict[ItemKey, ItemRun],
        service: Callable[[str], ServiceAvailability],
        has_result: Callable[[ItemRun], bool],
        pending_results: int,
        open_keys: Callable[[], Collection[ItemKey] | None],
        late_items: int = 0,
        is_in_doubt: bool = False,
        hold_end_s: HoldEnd = lambda _run: None,
    ) -> None:
        self.status = status
        self.index = index
        self.back_ends = back_ends
        self.runs = runs
        self.service = service
        self.has_result = has_result
        self.pending_results = pending_results
        self.open_keys = open_keys
        self.late_items = late_items
        self.is_in_doubt = is_in_doubt
        self.hold_end_s = hold_end_s

    @property
    def table(self) -> int:
        """Version of the route table, 0 for none."""
        return 0 if self.index is None else self.index.table.version


class RunnerMonitor:
    """Sets metrics and writes log lines about the runner's items.

    It belongs to the runner's event loop.

    Args:
        clock: Source of time.

    Attributes:
        records: Receives the outcome of commands that record results and progress.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lines = ItemLineWriter(clock)
        self.records = RecordTrace(clock.monotonic_s, self._lines)
        self._stall = StallWatch()
        self._leaders = LeaderWatch()
        self._summary: OpenSummary | None = None
        self._summarized_s = float("-inf")
        self._next_update_s = float("-inf")
        self._compared_s = float("-inf")
        self._leader_since_s: float | None = None
        self._last_start_s = float("-inf")
        self._logged_table = -1
        self._readable = True
        self._logged: dict[ItemKey, ItemRun] = {}
        self._unknown_keys: frozenset[ItemKey] = frozenset()
        self._unknown_count = 0
        self._unknown_since_s = float("inf")

    @suppress_errors
    def lot_accepted(
        self, lot_id: str, items: Iterable[OpenItem], read_status: Callable[[], GroupStatus]
    ) -> None:
        """Log the open items of a lot that are new to the runner."""
        status = read_status()
        item_ids = [item.item_id for item in items]
        self._lines.write(
            ItemLine(
                event="lot_taken_in",
                lot=lot_id,
                items=tuple(item_ids[:MAX_ITEMS_NAMED]),
                count=len(item_ids),
                term=status.term,
                index=status.applied_index,
            )
        )

    @suppress_errors
    def run_started(self, run: ItemRun) -> None:
        """Count the start of a run; only an item's second and later runs are logged."""
        now_s = self._last_start_s = self._clock.monotonic_s()
        run.trace.start(now_s)
        metrics.STARTS.inc()
        if run.trace.runs > 1:
            self._lines.write(_make_line("run_started", run, runs=run.trace.runs))

    @suppress_errors
    def run_ended(self, run: ItemRun, task: asyncio.Task[None] | None) -> None:
        """Count the end of a run whose task has ended, and log it unless the item is done."""
        trace = run.trace
        trace.stop(self._clock.monotonic_s())
        error = task.exception() if task is not None and not task.cancelled() else None
        if error is not None:
            trace.set_end(RunEnd.RAISED, repr(error))
            logger.opt(exception=error).error(
                "a run of item {} of lot {} raised an error", *run.key[::-1]
            )
        trace.set_end(RunEnd.PARKED if run.parking else RunEnd.STOPPED)
        assert trace.end is not None
        metrics.RUNS.labels(trace.end.value).inc()
        if trace.end in UNLOGGED_ENDS:
            return
        took_s = self._clock.monotonic_s() - trace.started_s
        self._lines.write(
            _make_line(
                "run_ended",
                run,
                reason=trace.end.value,
                detail=trace.detail,
                since_ms=ms(took_s),
                runs=trace.runs,
                parts=trace.parts,
                events=run.stream.recorded + run.stream.count,
            )
        )

    @suppress_errors
    def item_ended(self, run: ItemRun) -> None:
        """Count an item that is no longer open, and log how long it spent in each phase."""
        outcome = _outcome(run, self._clock.wall_ms())
        trace = run.trace
        now_s = self._clock.monotonic_s()
        age_s = (self._clock.wall_ms() - run.item.accepted_ms) / 1000
        recording_s = now_s - trace.ended_s if trace.runs else 0.0
        # Whatever is not accounted for here came before: under an earlier leader, or in the queue.
        before_s = max(0.0, age_s - trace.running_s - trace.parked_s - recording_s)
        metrics.ENDED.labels(outcome).inc()
        for phase, phase_s in (
            ("before_first_run", before_s),
            ("running", trace.running_s),
            ("parked", trace.parked_s),
            ("recording", recording_s),
        ):
            metrics.ENDED_S.labels(outcome, phase).inc(max(0.0, phase_s))
        line = _make_line("ended", run, reason=outcome, runs=trace.runs, events=run.stream.recorded)
        line.age_ms = ms(age_s)
        line.due_ms = round(run.item.due_ms)
        line.before_ms = ms(before_s)
        line.running_ms = ms(trace.running_s)
        line.parked_ms = ms(trace.parked_s)
        self._lines.write(line)

    @suppress_errors
    def update(self, take_snapshot: Callable[[], RunnerSnapshot]) -> None:
        """Set the metrics and write the log lines that are due, at most once per interval.

        Args:
            take_snapshot: Returns the runner's state; called only when an update is due.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._next_update_s:
            return
        self._next_update_s = now_s + UPDATE_INTERVAL_S
        started_s = time.thread_time()
        self._update(take_snapshot(), now_s)
        took_s = time.thread_time() - started_s
        self._next_update_s = now_s + max(UPDATE_INTERVAL_S, took_s / MAX_CPU_SHARE)
        metrics.LOOK_S.inc(took_s)

    def report(self, snapshot: RunnerSnapshot, item_id: str) -> ItemsReport:
        """Return why open items do not run, for operators; changes nothing.

        Args:
            snapshot: The runner's state.
            item_id: Only items with this id are listed; empty for all.
        """
        now_s = self._clock.monotonic_s()
        status = snapshot.status
        leads = status.role == "leader"
        opened = self._open_keys(snapshot)
        keys = [key for key in opened or () if not item_id or key[1] == item_id]
        no_leader_s = None if leads else self._leaders.missing_s(now_s) or 0.0
        return ItemsReport(
            group=status.group,
            role=status.role,
            term=status.term,
            open_items=None if opened is None else len(opened),
            no_leader_s=no_leader_s,
            summary="" if self._summary is None else self._summary.text(snapshot.hold_end_s),
            items=tuple(
                self._known_lines(snapshot, item_id, keys, now_s)
                if leads
                else _unknown_lines(Reason.NO_LEADER, keys, no_leader_s)
            ),
        )

    def _known_lines(
        self, snapshot: RunnerSnapshot, item_id: str, keys: list[ItemKey], now_s: float
    ) -> list[ItemLine]:
        """Return lines on open items, those that the runner does not know first."""
        lines = _unknown_lines(
            Reason.NOT_TAKEN_IN, [key for key in keys if key not in snapshot.runs], None
        )
        runs = [run for key, run in snapshot.runs.items() if not item_id or key[1] == item_id]
        classifier = _classifier(snapshot)
        most = MAX_ITEMS_REPORTED - len(lines)
        for run in heapq.nsmallest(most, runs, key=lambda run: run.trace.heard_s):
            status = classifier.classify(run)
            line = self._waiting_line(run, status, snapshot, now_s)
            if not run.trace.heard_s:
                line.quiet_ms = None
            if run.trace.status != status.key:
                line.since_ms = 0
            lines.append(line)
        return lines

    def _update(self, snapshot: RunnerSnapshot, now_s: float) -> None:
        self._lines.renew(now_s)
        message = self._leaders.update(snapshot.status, now_s)
        if message:
            logger.info("{}", message)
            metrics.OPEN_ITEMS.labels(Reason.NO_LEADER.value).set(0)
        if snapshot.status.role != "leader":
            self._log_leadership_lost(snapshot.status)
            self._log_missing_leader(snapshot, now_s)
            return
        self._find_unknown_items(snapshot, now_s)
        self._log_leadership_gained(snapshot, now_s)
        classifier = _classifier(snapshot)
        summary = self._summary = OpenSummary(now_s)
        unlogged: dict[str, list[tuple[ItemRun, ItemStatus]]] = {}
        active_runs = 0
        heard_s = now_s
        oldest_ms = wall_ms = self._clock.wall_ms()
        for run in snapshot.runs.values():
            status = classifier.classify(run)
            trace = run.trace
            key = _update_trace(trace, status.key, now_s)
            summary.add(key, run, status)
            if trace.logged_status != key and _is_due(trace, now_s):
                unlogged.setdefault(key, []).append((run, status))
            if trace.heard_s < heard_s:
                heard_s = trace.heard_s
            if run.item.accepted_ms < oldest_ms:
                oldest_ms = run.item.accepted_ms
            if key in RUNNING_STATUSES and now_s - max(trace.heard_s, trace.started_s) < ACTIVE_S:
                active_runs += 1
        self._log_waiting(unlogged, snapshot, now_s)
        self._log_resumed(snapshot, now_s)
        summary.add_unknown(Reason.NOT_TAKEN_IN, self._unknown_count, self._unknown_since_s)
        counts = summary.counts()
        self._log_summary(summary, snapshot, now_s)
        _set_open_gauges(summary, (wall_ms - oldest_ms) / 1000, now_s - heard_s)
        metrics.LATE_ITEMS.set(snapshot.late_items)
        self._set_record_gauges(snapshot.pending_results, now_s)
        startable_runs = (
            classifier.startable_runs(snapshot.runs.values())
            if snapshot.runs and not active_runs
            else 0
        )
        self._check_stall(counts, active_runs, startable_runs, now_s)

    def _log_summary(self, summary: OpenSummary, snapshot: RunnerSnapshot, now_s: float) -> None:
        """Log the open items by reason at the start of leading, and while any of them idles."""
        is_first = self._leader_since_s == now_s
        is_idle = summary.longest_idle_s >= LOG_AFTER_S
        if not is_first and (not is_idle or now_s - self._summarized_s < SUMMARY_INTERVAL_S):
            return
        if not summary.open_items:
            return
        self._summarized_s = now_s
        sent_s = self.records.sent_s
        logger.info(
            "open items of {} in term {}: {}; command under way for {}, {} results wait",
            snapshot.status.group,
            snapshot.status.term,
            summary.text(snapshot.hold_end_s),
            "0 s" if sent_s is None else f"{now_s - sent_s:.1f} s",
            snapshot.pending_results,
        )

    def _log_missing_leader(self, snapshot: RunnerSnapshot, now_s: float) -> None:
        """Log how many items wait for a leader, while none is known."""
        if not self._leaders.take_due(now_s, SUMMARY_INTERVAL_S):
            return
        opened = self._open_keys(snapshot)
        metrics.OPEN_ITEMS.labels(Reason.NO_LEADER.value).set(len(opened or ()))
        if opened is not None and not opened:
            return
        self._leaders.is_logged = True
        status = snapshot.status
        logger.warning(
            "{} has had no known leader for {:.1f} s: {} open items as of index {}, until {}; this"
            " replica is {} in term {}, voters {}",
            status.group,
            self._leaders.missing_s(now_s),
            "unreadable" if opened is None else len(opened),
            status.applied_index,
            WHAT_ENDS[Reason.NO_LEADER.value],
            status.role,
            status.term,
            ", ".join(status.voters) or "unknown",
        )

    def _check_stall(
        self, counts: dict[str, int], active_runs: int, startable_runs: int, now_s: float
    ) -> None:
        assert self._leader_since_s is not None
        state = WorkState(
            open_items=sum(counts.values()),
            active_runs=active_runs,
            startable_runs=startable_runs,
            started_s=max(self._last_start_s, self._leader_since_s),
            recorded_s=max(self.records.accepted_s, self._leader_since_s),
            reasons=", ".join(f"{count} {reason}" for reason, count in counts.items() if count),
        )
        message = self._stall.update(state, now_s)
        metrics.STALLED.set(self._stall.stalled)
        if message:
            logger.warning("{}", message) if self._stall.stalled else logger.info("{}", message)

    def _log_leadership_gained(self, snapshot: RunnerSnapshot, now_s: float) -> None:
        """Log what a store finds when it starts to lead, and that a route table is missing."""
        is_new = self._leader_since_s is None
        if is_new:
            self._leader_since_s = now_s
            logger.info(
                "running the items of {} in term {}: {} open in {} lots, route table {},"
                " {} back ends known",
                snapshot.status.group,
                snapshot.status.term,
                len(snapshot.runs),
                len({lot for lot, _ in snapshot.runs}),
                snapshot.table or "none",
                snapshot.back_ends,
            )
        if snapshot.index is None and snapshot.runs and self._logged_table != 0:
            self._logged_table = 0
            logger.warning("{} open items are waiting: no route table yet", len(snapshot.runs))
        elif snapshot.index is not None:
            self._logged_table = snapshot.table

    def _log_leadership_lost(self, status: GroupStatus) -> None:
        if self._leader_since_s is None:
            return
        logger.info("no longer running items: {} in term {}", status.role, status.term)
        self._leader_since_s = None
        self._summary = None
        self._logged_table = -1
        self._logged.clear()
        self._unknown_keys = frozenset()
        self._unknown_count = 0
        self._stall = StallWatch()
        _set_open_gauges(OpenSummary(0.0), 0.0, 0.0)
        for gauge in (
            metrics.LATE_ITEMS,
            metrics.RECORDS_WAITING,
            metrics.RECORD_UNDER_WAY_S,
            metrics.SINCE_START_S,
            metrics.SINCE_RECORD_S,
            metrics.STALLED,
        ):
            gauge.set(0)

    def _find_unknown_items(self, snapshot: RunnerSnapshot, now_s: float) -> None:
        """Log open items that were unknown to the runner at two comparisons in a row."""
        if now_s - self._compared_s < COMPARE_INTERVAL_S:
            return
        self._compared_s = now_s
        opened = self._open_keys(snapshot)
        if opened is None:
            return
        candidates = frozenset(key for key in opened if key not in snapshot.runs)
        unknown = candidates & self._unknown_keys
        self._unknown_keys = candidates
        if not self._unknown_count:
            self._unknown_since_s = now_s - COMPARE_INTERVAL_S
        self._unknown_count = len(unknown)
        for lot, item in sorted(unknown):
            reason = Reason.NOT_TAKEN_IN.value
            line = ItemLine(event="waits", lot=lot, item=item, reason=reason, table=snapshot.table)
            line.ends = WHAT_ENDS[reason]
            self._lines.write(line)

    def _open_keys(self, snapshot: RunnerSnapshot) -> Collection[ItemKey] | None:
        """Return the keys of the group's open items, None if they cannot be read."""
        detail = "the group's replica refused the query"
        opened: Collection[ItemKey] | None = None
        try:
            opened = snapshot.open_keys()
        except Exception as error:
            detail = repr(error)
        if opened is None and self._readable:
            logger.warning("the open items cannot be read: {}", detail)
        elif opened is not None and not self._readable:
            logger.info("the open items can be read again")
        self._readable = opened is not None
        return opened

    def _log_waiting(
        self,
        unlogged: dict[str, list[tuple[ItemRun, ItemStatus]]],
        snapshot: RunnerSnapshot,
        now_s: float,
    ) -> None:
        """Log the items longest without an event, and count those beyond the line budget."""
        for reason, items in unlogged.items():
            if self._lines.allows("waits", reason):
                items.sort(key=lambda pair: pair[0].trace.heard_s, reverse=True)
            while items and self._lines.allows("waits", reason):
                run, status = items.pop()
                self._lines.write(self._waiting_line(run, status, snapshot, now_s))
                run.trace.logged_status = reason
                run.trace.logged_s = now_s
                self._logged[run.key] = run
            if items:
                self._lines.left_out("waits", reason, len(items))

    def _waiting_line(
        self, run: ItemRun, status: ItemStatus, snapshot: RunnerSnapshot, now_s: float
    ) -> ItemLine:
        trace = run.trace
        line = _make_line(
            "waits",
            run,
            reason=status.reason.value,
            detail=trace.detail,
            since_ms=ms(now_s - trace.status_since_s),
            quiet_ms=ms(now_s - trace.heard_s),
            runs=trace.runs,
            parts=trace.parts,
            events=run.stream.recorded,
            table=snapshot.table,
            service=status.service_name,
        )
        line.ends = WHAT_ENDS[line.reason]
        end_s = wait_end_s(run, status, snapshot.hold_end_s)
        if end_s is not None:
            line.ends_in_ms = ms(end_s - now_s)
        if status.service is not None:
            line.figure = status.service.startable_runs
            line.detail = str(status.service)
        elif status.reason is Reason.RUNS:
            line.since_ms = ms(now_s - trace.started_s)
        elif status.reason is Reason.RESULT_WAITS:
            self._add_attempts(line, run, now_s)
        return line

    def _add_attempts(self, line: ItemLine, run: ItemRun, now_s: float) -> None:
        attempts = self.records.attempts(run.key)
        line.detail = self.records.last_failure or "no reply yet"
        if self.records.sent_s is not None:
            line.under_way_ms = ms(now_s - self.records.sent_s)
        if attempts is not None:
            line.tries = attempts.count
            line.since_ms = ms(now_s - attempts.first_sent_s)

    def _log_resumed(self, snapshot: RunnerSnapshot, now_s: float) -> None:
        """Log that items reported as waiting have made progress or are no longer open."""
        for key, run in list(self._logged.items()):
            trace = run.trace
            is_open = key in snapshot.runs
            if is_open and trace.heard_s <= trace.logged_s:
                continue
            del self._logged[key]
            line = _make_line(
                "moves_on",
                run,
                reason=trace.status if is_open else "not_open",
                detail=f"was {trace.logged_status}",
                since_ms=ms(now_s - trace.logged_s),
                runs=trace.runs,
            )
            self._lines.write(line)
            trace.logged_status = ""

    def _set_record_gauges(self, pending_results: int, now_s: float) -> None:
        led_s = now_s if self._leader_since_s is None else self._leader_since_s
        sent_s = self.records.sent_s
        metrics.RECORDS_WAITING.set(pending_results)
        metrics.RECORD_UNDER_WAY_S.set(0 if sent_s is None else now_s - sent_s)
        metrics.SINCE_START_S.set(now_s - max(self._last_start_s, led_s))
        metrics.SINCE_RECORD_S.set(now_s - max(self.records.accepted_s, led_s))


def _classifier(snapshot: RunnerSnapshot) -> StatusClassifier:
    return StatusClassifier(
        snapshot.index, snapshot.service, snapshot.has_result, snapshot.is_in_doubt
    )


def _unknown_lines(reason: Reason, keys: list[ItemKey], since_s: float | None) -> list[ItemLine]:
    """Return lines on items of which only the keys are known."""
    return [
        ItemLine(
            event="waits",
            lot=lot,
            item=item,
            reason=reason.value,
            ends=WHAT_ENDS[reason.value],
            since_ms=None if since_s is None else ms(since_s),
        )
        for lot, item in keys[:MAX_ITEMS_REPORTED]
    ]


TASK_LEFT = Reason.TASK_LEFT.value
TASK_LEFT_ONCE = "task_left_once"


def _outcome(run: ItemRun, wall_ms: int) -> str:
    """Return how an item that is no longer open has ended."""
    if run.trace.end is RunEnd.DONE:
        is_late = wall_ms - run.item.accepted_ms > run.item.due_ms > 0
        return "late" if is_late else "in_time"
    return "impossible" if run.trace.end is RunEnd.IMPOSSIBLE else "removed"


def _update_trace(trace: RunTrace, status: str, now_s: float) -> str:
    """Update an item's status in its trace; return the status under which it is counted."""
    if status != trace.status:
        if status == TASK_LEFT and trace.status != TASK_LEFT_ONCE:
            # A task may be seen after its end and before its callback, so only a second sighting
            # counts.
            trace.status, trace.status_since_s = TASK_LEFT_ONCE, now_s
            return Reason.PAUSES.value
        if status != TASK_LEFT or trace.status != TASK_LEFT_ONCE:
            trace.status_since_s = now_s
        trace.status = status
    if not trace.heard_s:
        trace.heard_s = now_s
    return status


def _is_due(trace: RunTrace, now_s: float) -> bool:
    """Return whether an item has had no event for long, with the same status at several updates."""
    if now_s - trace.heard_s < LOG_AFTER_S:
        return False
    return now_s - trace.status_since_s >= (
        LOG_AFTER_S if trace.logged_status else UPDATE_INTERVAL_S
    )


def _set_open_gauges(summary: OpenSummary, oldest_s: float, quiet_s: float) -> None:
    counts, longest_s = summary.counts(), summary.longest_s()
    for reason in Reason:
        metrics.OPEN_ITEMS.labels(reason.value).set(counts.get(reason.value, 0))
        metrics.LONGEST_REASON_S.labels(reason.value).set(longest_s.get(reason.value, 0.0))
    metrics.OLDEST_OPEN_S.set(max(0.0, oldest_s))
    metrics.LONGEST_QUIET_S.set(quiet_s)


def _make_line(
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
