"""Runs the open items of a group of lots, on the store that leads the group.

A lot is a batch job: a set of opaque HTTP requests, its items, each of which is sent to a back end
until it is done or given up. The runner is one event loop in a thread of its own. It reads the open
items from the applied state of the replicated group, so a new leader continues where the previous
one stopped, and a result counts only once the group has committed it.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import threading
import time
from collections.abc import Callable, Coroutine
from functools import cache
from random import Random
from typing import TypeVar

import msgspec
from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import metrics
from leverjunction.lots.attempts import Attempts
from leverjunction.lots.batch_capacity import OccupiedSlot
from leverjunction.lots.commands import (
    OpenItem,
    OpenItems,
    OpenKeys,
    ReadOpenItems,
    ReadOpenKeys,
)
from leverjunction.lots.continuation import Continuation, Placing
from leverjunction.lots.due_plan import mark_crowded_out
from leverjunction.lots.isolation import Isolation
from leverjunction.lots.item_queue import ItemQueue
from leverjunction.lots.item_report import (
    LOOP_TIMEOUT_S,
    ItemsReport,
    ReadItems,
    call_on_loop,
    not_leading,
)
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.load_listener import LoadListener
from leverjunction.lots.load_watch import LoadWatch
from leverjunction.lots.loop_watchdog import LoopWatchdog
from leverjunction.lots.node_watch import format_thread_stack
from leverjunction.lots.outbox import Outbox
from leverjunction.lots.output_budget import OutputBudget
from leverjunction.lots.park_order import ParkOrder, ParkReason
from leverjunction.lots.placement import Placement
from leverjunction.lots.quota_relay import QuotaRelay
from leverjunction.lots.rate_placement import RunNeed
from leverjunction.lots.run_trace import RunEnd
from leverjunction.lots.runner_monitor import RunnerMonitor, RunnerSnapshot
from leverjunction.lots.slow_moves import SlowMoves
from leverjunction.lots.urgency import RunTimes, Urgency
from leverjunction.lots.usual_times import UsualTimes
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import Dialect
from leverjunction.proxy.quarantine import EvidenceReporter
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.rates.rate_exchange import RateExchange
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import MemberRole
from leverjunction.registry.version_history import VersionHistory
from leverjunction.routes.matching import RouteIndex, draw_service
from leverjunction.routes.types import Route
from leverjunction.steady_loop import SteadyLoop
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")

STEP_S = 0.1
IDLE_STEP_S = 0.5
STOP_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.3
MAX_ERROR_PAUSE_S = 5.0
"""Longest pause after runs that an unexpected error ended. The pause doubles with each such run in
a row, starting from twice ``RETRY_PAUSE_S``.
"""

HANG_TIMEOUT_S = 60.0
"""Time without a completed step after which the process reports itself as faulty, so that it exits
and is restarted. Longer than a disk may stall under a replica that still takes part in its group.
"""

RESTART_PAUSE_S = 0.5
READ_INTERVAL_S = 2.0
"""Time after which the open items are read again even if no change was reported."""

MAX_READ_SHARE = 0.02
"""Largest share of the event loop's time spent on reading open items. With very many open items
they are read less often.
"""

GIVE_UP_MARGIN_S = 3.0
"""Tolerance for clock differences between machines: an item is given up only once its time limit
has passed by this much.
"""


class LotsRunner:
    """Runs the open items of a group while this process leads it.

    The work happens on the runner's own event loop. ``changed`` and ``set_registry`` may be called
    from any thread.
    """

    def __init__(
        self,
        group: ReplicatedGroup,
        zone: str,
        dialect: Dialect,
        clock: Clock,
        random: Random,
        datagrams: str = "",
        by_rate: bool = True,
        report: EvidenceReporter | None = None,
        is_in_doubt: Callable[[], bool] = lambda: False,
        last_pause_end_s: Callable[[], float] = lambda: -math.inf,
        budget: OutputBudget | None = None,
    ) -> None:
        """Prepare a runner.

        Args:
            group: Replicated group whose items are run.
            zone: Zone of this process.
            dialect: Headers and paths that the back ends understand.
            clock: Source of time.
            random: Chooses the service on routes that split traffic.
            datagrams: Address to listen on for the gateways' reports of online requests; empty for
                none.
            by_rate: Whether decisions depend on how fast back ends work.
            report: Receives the evidence against items whose back ends crash.
            is_in_doubt: Returns whether this process was suspended and has not heard from the
                registry since; no run is started meanwhile.
            last_pause_end_s: Returns when the last detected suspension of this process ended; a
                run that was placed before it is not sent.
            budget: Room for the unrecorded outputs of all items; None for the usual one.
        """
        self._budget = budget or OutputBudget()
        self._report = report
        self._is_in_doubt = is_in_doubt
        self._last_pause_end_s = last_pause_end_s
        self._pause_end_s = -math.inf
        self._was_in_doubt = False
        self._datagrams = datagrams
        self._by_rate = by_rate
        self._group = group
        self._zone = zone
        self._dialect = dialect
        self._clock = clock
        self._random = random
        self._index: RouteIndex | None = None
        self._snapshot: Snapshot | None = None
        self._applied_snapshot: Snapshot | None = None
        self._queue = ItemQueue()
        self._times = RunTimes()
        self._usual_times = UsualTimes()
        self._monitor = RunnerMonitor(clock)
        self._last_step_s = clock.monotonic_s()
        self._timer_late_s = 0.0
        self._dirty = True
        self._next_read_s = 0.0
        self._read_failing = False
        self._is_adopted = False
        self._watchdog = LoopWatchdog()
        self._stopped = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake: asyncio.Event | None = None
        self._thread = threading.Thread(target=self._run_loop, name="lots-runner", daemon=True)

    def start(self) -> None:
        """Start the runner's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop all runs; another store continues them."""
        self._stopped = True
        self.changed()
        # A process may be stopped between the creation of its runner and the runner's start.
        if self._thread.ident is not None:
            self._thread.join(STOP_TIMEOUT_S)

    def changed(self) -> None:
        """Notify the runner that the group's state has changed."""
        self._dirty = True
        loop, wake = self._loop, self._wake
        if loop is None or wake is None:
            return
        try:
            loop.call_soon_threadsafe(wake.set)
        except RuntimeError:
            # The event loop has ended, and the next one reads everything. An exception raised here
            # would abort the command that is being applied, on this replica alone.
            logger.debug("no event loop of the lots runner is running: change not signalled")

    def set_registry(self, snapshot: Snapshot) -> None:
        """Replace the registry snapshot by a newer one."""
        self._snapshot = snapshot
        self.changed()

    def step_age_s(self) -> float:
        """Return the seconds since the event loop last completed a step."""
        return self._clock.monotonic_s() - self._last_step_s

    def describe_thread(self) -> str:
        """Return a readable description of where the event loop's thread is."""
        return format_thread_stack(self._thread)

    def report_items(self, request: ReadItems) -> ItemsReport | Failure:
        """Return why open items do not run; a failure from a store that knows another leader.

        May be called from any thread but the runner's own.
        """
        status = self._group.status()
        if status.role != "leader" and status.leader_address:
            return not_leading(status.leader_address)
        return call_on_loop(
            self._loop,
            lambda: self._monitor.report(self._monitor_snapshot(), request.item_id),
            LOOP_TIMEOUT_S,
        )

    def fault(self) -> Failure | None:
        """Return why items are no longer run, or None while they are.

        The time without a step is measured between calls, so it has to be called regularly.
        """
        silent_s = self._watchdog.check(self._clock.monotonic_s())
        if self._stopped or self._thread.ident is None or silent_s < HANG_TIMEOUT_S:
            return None
        return Failure(
            kind=FailureKind.INTERNAL,
            reason=f"the event loop of the lots runner completed no step for {silent_s:.0f} s",
            step=Step.SENDING,
            execution=Execution.UNKNOWN,
        )

    def _run_loop(self) -> None:
        """Run event loops until asked to stop, replacing any that fails."""
        while not self._stopped:
            try:
                with asyncio.Runner(loop_factory=SteadyLoop) as loop_runner:
                    loop_runner.run(self._main())
            except Exception:
                # The replica may still be the leader, and without an event loop none of its items
                # would run.
                logger.exception("the event loop of the lots runner has failed; starting another")
                time.sleep(RESTART_PAUSE_S)

    async def _main(self) -> None:
        """Run steps until asked to stop."""
        self._loop = asyncio.get_running_loop()
        self._wake = asyncio.Event()
        # Everything is read from the group again: the state of an earlier event loop belongs to its
        # cancelled tasks.
        self._queue = ItemQueue()
        self._applied_snapshot = None
        self._dirty = True
        self._is_adopted = False
        pool = RunnerPool()
        self._balancer = Balancer(self._zone, self._random)
        self._history = VersionHistory()
        self._continuation = Continuation(self._balancer, self._history)
        self._park_order = ParkOrder(self._urgency, self._need, self._done_share)
        sender = Sender(
            pool,
            self._balancer,
            self._dialect,
            on_answer=lambda owner: metrics.ANSWERS.labels(owner.value).inc(),
        )
        self._outbox = Outbox(self._group, self._monitor.records)
        self._isolation = Isolation(self._report)
        self._attempts = Attempts(
            self._group, sender, self._dialect, self._outbox, self._isolation, self._budget
        )
        self._recording: asyncio.Task[None] | None = None
        self._loads = LoadWatch(sender, self._balancer, self._zone, self._wake.set, self._by_rate)
        self._moves = SlowMoves(self._need, self._loads.work_at, self._elsewhere_s)
        self._listener = LoadListener(
            CLUSTER_KEY,
            self._has_work,
            self._yield_to_online,
            lambda: self._loads.online(self._isolation.reserved_starts()),
            lambda: self._balancer.order,
            QuotaRelay(self._leads, self._control_addresses),
            RateExchange(self._balancer.rates),
        )
        try:
            if self._datagrams:
                await self._listener.start(self._datagrams)
            while not self._stopped:
                started_s = self._loop.time()
                try:
                    self._step()
                except Exception:
                    logger.exception("a step of the lots runner failed")
                self._loads.record_lag(self._timer_late_s + self._loop.time() - started_s)
                self._watchdog.record_step()
                self._last_step_s = self._clock.monotonic_s()
                self._monitor.update(self._monitor_snapshot)
                await self._pause()
        finally:
            self._listener.close()
            self._drop_all()
            pool.close()

    def _monitor_snapshot(self) -> RunnerSnapshot:
        """Return the current state for the monitor, without changing anything."""
        return RunnerSnapshot(
            status=self._group.status(),
            index=self._index,
            back_ends=0
            if self._applied_snapshot is None
            else len(self._applied_snapshot.view.runners),
            runs=self._queue.runs,
            service=self._loads.availability,
            has_result=self._outbox.has_result,
            pending_results=self._outbox.pending_results,
            open_keys=self._open_keys,
            late_items=self._queue.late,
            is_in_doubt=self._was_in_doubt,
            hold_end_s=self._isolation.hold_end_s,
        )

    def _open_keys(self) -> tuple[ItemKey, ...] | None:
        opened = self._query(ReadOpenKeys(), OpenKeys)
        return None if opened is None else opened.keys

    def _leads(self) -> bool:
        return self._group.status().role == "leader"

    def _control_addresses(self) -> list[str]:
        snapshot = self._snapshot
        return [] if snapshot is None else snapshot.view.addresses(MemberRole.CONTROL)

    def _has_work(self) -> bool:
        return bool(self._queue.runs)

    def _yield_to_online(self) -> None:
        """Park runs at once for online requests that a gateway reported, and wake the loop.

        The freed capacity is filled again in a later step.
        """
        self._loads.apply_gateway_loads(self._listener.loads)
        self._park()
        assert self._wake is not None
        self._wake.set()

    async def _pause(self) -> None:
        assert self._wake is not None
        busy = bool(self._queue.runs) or not self._outbox.is_empty
        try:
            async with asyncio.timeout(STEP_S if busy else IDLE_STEP_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        # Load samples, new items and results that arrive at about the same time are handled in one
        # step.
        loop = asyncio.get_running_loop()
        due_s = loop.time() + STEP_S / 4
        await asyncio.sleep(STEP_S / 4)
        self._timer_late_s = loop.time() - due_s

    def _step(self) -> None:
        if not self._leads():
            self._drop_all()
            self._dirty = True
            self._is_adopted = False
            return
        # Results come first: recording them must not depend on the success of the rest of the step.
        self._record()
        self._read_if_due()
        self._pause_end_s = self._last_pause_end_s()
        # Checked before the registry's state is applied: a reply in between makes only the next
        # state current.
        self._was_in_doubt = is_in_doubt = self._is_in_doubt()
        self._apply_registry()
        self._adopt_suspects()
        index = self._index
        if index is None or not self._queue.runs:
            return
        self._loads.poll(self._queue.services(index))
        self._loads.apply_gateway_loads(self._listener.loads)
        self._log()
        self._park()
        self._end_lost_runs()
        self._rank(index)
        if not is_in_doubt:
            self._start_runs(index)
            self._move()
        self._loads.account(self._queue.count_waiting)

    def _record(self) -> None:
        """Replicate new results in a separate task.

        Runs therefore yield to online requests even during a long commit.
        """
        if self._recording is None or self._recording.done():
            recording = self._outbox.record(self._queue.runs.values())
            self._recording = asyncio.get_running_loop().create_task(_log_errors(recording))

    def _apply_registry(self) -> None:
        snapshot = self._snapshot
        if snapshot is None or snapshot is self._applied_snapshot:
            return
        self._balancer.replace(snapshot.view.runners)
        self._history.update(snapshot.view, asyncio.get_running_loop().time())
        self._isolation.set_registry(snapshot)
        self._loads.retain(frozenset(record.start for record in snapshot.view.runners))
        if self._index is None or self._index.table.version < snapshot.table.version:
            self._index = RouteIndex(snapshot.table)
        self._applied_snapshot = snapshot

    def _adopt_suspects(self) -> None:
        """Take over what is known against the open items after becoming leader.

        Again with each step until all items have been read.
        """
        if self._is_adopted or self._applied_snapshot is None:
            return
        self._is_adopted = not self._read_failing
        self._isolation.adopt(self._queue.runs.values(), self._clock.wall_ms())

    def _drop_all(self) -> None:
        for run in self._queue.running():
            run.stop()
        self._queue.clear()
        self._outbox.clear()
        self._loads.clear()
        self._isolation.clear()

    def _read_if_due(self) -> None:
        """Read the open items after a change, after a failed read, and once in a while."""
        loop = asyncio.get_running_loop()
        if not self._dirty and loop.time() < self._next_read_s:
            return
        started_cpu_s = time.thread_time()
        self._dirty = False
        complete = False
        try:
            complete = self._read_open()
        finally:
            # Processor time, since a pause of this process or a wait for the replica says nothing
            # about the next read.
            worked_s = time.thread_time() - started_cpu_s
            self._next_read_s = loop.time() + max(READ_INTERVAL_S, worked_s / MAX_READ_SHARE)
            if not complete:
                # No other signal repeats the change that this read should have picked up.
                self._dirty = True
        if complete is self._read_failing:
            self._read_failing = not complete
            logger.warning("reading the open items {}", "succeeds again" if complete else "fails")

    def _read_open(self) -> bool:
        """Add new items and stop those no longer open; return whether everything was read."""
        opened = self._query(ReadOpenKeys(), OpenKeys)
        if opened is None:
            return False
        keys = frozenset(opened.keys)
        for run in self._queue.retain(keys):
            run.stop()
            self._monitor.item_ended(run)
        self._outbox.retain(keys)
        self._isolation.retain_lots({lot_id for lot_id, _ in keys})
        complete = True
        for lot_id in self._queue.unknown_lots(opened.keys):
            items = self._query(ReadOpenItems(lot_id), OpenItems)
            if items is None:
                complete = False
            else:
                self._queue.add(items.items)
                self._monitor.lot_accepted(lot_id, items.items, self._group.status)
        return complete

    def _query(self, query: msgspec.Struct, reply_type: type[T]) -> T | None:
        reply = decode_reply(self._group.query_local(encode(query)), reply_type)
        return None if isinstance(reply, Failure) else reply

    def _log(self) -> None:
        if self._loads.is_to_log():
            self._loads.log(len(self._queue.runs), sum(1 for _ in self._queue.running()))

    def _park(self) -> None:
        """Park the runs that lose least, or have most time, where online needs their slots."""
        parked = self._loads.to_park(
            lambda: self._park_order.count_patient(
                run for run in self._queue.running() if not run.parking
            )
        )
        if not parked:
            return
        now_s = asyncio.get_running_loop().time()
        live_versions = cache(self._continuation.live_versions)
        running = [run for run in self._queue.running() if not run.parking]
        for runner_id in parked:
            candidates = [run for run in running if run.runner_id == runner_id and not run.parking]
            if not candidates:
                continue
            at_back_end = self._loads.takes_slot(runner_id)
            chosen = (
                self._park_order.pick(candidates, live_versions, now_s)
                if self._loads.weighs_rates(runner_id)
                else self._park_order.pick_most_time(candidates, now_s)
            )
            self._park_run(chosen, ParkReason.BACK_END if at_back_end else ParkReason.SERVICE)

    def _park_run(self, run: ItemRun, reason: ParkReason) -> None:
        metrics.PARKS.labels(reason.value).inc()
        run.trace.set_end(RunEnd.PARKED, reason.value)
        run.parking = True
        run.stop()

    def _move(self) -> None:
        """Move a run off a back end that has turned slow, where that pays."""
        now_s = asyncio.get_running_loop().time()
        run = self._moves.choose(self._queue.running(), now_s)
        if run is not None:
            self._park_run(run, ParkReason.MOVE)

    def _elsewhere_s(self, run: ItemRun, work_s: float) -> float | None:
        """Return the shortest time that work takes where an item's output can go on."""
        origin = run.stream.origin
        if origin is None:
            return None
        return self._loads.shortest_s(
            origin.service,
            work_s,
            lambda runner: (
                runner.record.version == origin.version
                and runner.record.start != run.runner_id
                and self._isolation.may_share(run, runner.record.start)
            ),
        )

    def _end_lost_runs(self) -> None:
        """End the runs that their back ends no longer have."""
        now_s = asyncio.get_running_loop().time()
        for run in self._loads.lost_runs.find(self._queue.running(), now_s):
            run.end_lost(now_s)

    def _rank(self, index: RouteIndex) -> None:
        """Renew the ranking if it is due, and give up waiting items whose time limit has passed."""
        now_s = asyncio.get_running_loop().time()
        if not self._queue.is_ranking_due(now_s):
            return
        started_cpu_s = time.thread_time()
        for services, runs in self._queue.by_services(index).items():
            slots = sum(self._loads.mean_work(service) for service in services)
            mark_crowded_out(runs, self._due_in_s, self._times, slots)
        self._queue.rank(now_s, self._urgency)
        self._queue.note_ranking(time.thread_time() - started_cpu_s)
        self._isolation.rank_suspects(run for run in self._queue.runs.values() if run.task is None)
        for run in self._queue.runs.values():
            if run.task is None and self._is_overdue(run.item) and not self._outbox.has_result(run):
                self._outbox.give_up(run, "its time limit has passed")

    def _start_runs(self, index: RouteIndex) -> None:
        """Start the most urgent items, as long as there is capacity for them."""
        self._isolation.update()
        with_capacity = {
            item for item in self._queue.services(index) if self._loads.has_capacity(item)
        }
        blocked: list[ItemRun] = []
        waiting = self._queue.take() if with_capacity else iter(())
        starting: set[str] = set()
        apart = [run for run in self._isolation.take_waiting() if self._queue.has(run)]
        for run in itertools.chain(apart, waiting):
            route = run.route(index)
            if route is None or run.task is not None or self._outbox.has_result(run):
                continue
            placement = self._isolation.placement(run)
            if placement is Placement.HELD:
                continue
            is_apart = placement is Placement.APART
            is_limited = not is_apart and not self._isolation.is_proven(run)
            if is_limited and (run.item.lot_id in starting or self._isolation.is_starting(run)):
                continue
            if not self._attempts.load_progress(run):
                continue
            placing = self._continuation.place(run, route, self._draw_service)
            service = placing.service
            if is_apart:
                runner = self._isolation.pick_runner(run, service, self._loads, placing.may_use)
                if runner is not None:
                    self._start_placed(run, runner)
                elif placing.starts is not None:
                    self._continuation.wait(run, asyncio.get_running_loop().time())
                continue
            runner = self._pick_shared(run, placing) if service in with_capacity else None
            if runner is not None:
                self._start_placed(run, runner)
                continue
            if placing.starts is not None and service in with_capacity:
                self._continuation.wait(run, asyncio.get_running_loop().time())
                continue
            if service in with_capacity and self._loads.has_capacity(service):
                # Its lot is limited, or what is free is reserved; both end within a ranking or two.
                starting.add(run.item.lot_id)
                continue
            with_capacity.discard(service)
            blocked.append(run)
            if not with_capacity:
                break
        for run in reversed(blocked):
            self._queue.put_back(run)

    def _draw_service(self, route: Route) -> str:
        return draw_service(route, self._random)

    def _pick_shared(self, run: ItemRun, placing: Placing) -> TrackedRunner | None:
        """Return the best back end for an item beside other requests."""
        return self._loads.pick_runner(
            placing.service,
            lambda start: placing.may_use(start) and self._isolation.may_share(run, start),
            self._need(run),
        )

    def _start_placed(self, run: ItemRun, runner: TrackedRunner) -> None:
        """Start an item at a back end that was chosen by its placement."""
        capacity = self._loads.capacity_at(runner)
        other_requests = capacity.online + capacity.own_runs
        self._start(run, runner)
        self._isolation.started(run, other_requests)

    def _start(self, run: ItemRun, runner: TrackedRunner) -> None:
        # The slot is occupied at once, so that the choice for the next item takes it into account.
        slot = OccupiedSlot(self._loads.capacity_at(runner))
        run.assign_to(runner.record.start)
        self._monitor.run_started(run)
        run.task = asyncio.get_running_loop().create_task(
            self._run(run, runner, slot, self._pause_end_s)
        )
        # A task that is cancelled before its first step runs none of its own code, so a callback
        # cleans up.
        run.task.add_done_callback(lambda _task: self._run_ended(run, slot))

    def _run_ended(self, run: ItemRun, slot: OccupiedSlot) -> None:
        """Release the slot of a run whose task has ended, and wake the loop."""
        slot.free()
        task, run.task = run.task, None
        self._monitor.run_ended(run, task)
        if self._wake is not None:
            self._wake.set()

    def _urgency(self, run: ItemRun) -> Urgency:
        spent_s = run.spent_s(self._times.seconds_per_event)
        return self._times.urgency(self._due_in_s(run), spent_s, run.is_crowded_out)

    def _need(self, run: ItemRun) -> RunNeed:
        # The events of the current run count, whose time is added only at its end.
        event_s = self._times.seconds_per_event
        spent_s = max(run.spent_s(event_s), run.stream.total * event_s)
        return RunNeed(self._times.remaining_s(spent_s), self._due_in_s(run))

    def _done_share(self, run: ItemRun) -> float:
        return self._times.done_share(run.stream.total * self._times.seconds_per_event)

    def _due_in_s(self, run: ItemRun) -> float:
        return (run.item.accepted_ms + run.item.due_ms - self._clock.wall_ms()) / 1000

    def _is_overdue(self, item: OpenItem) -> bool:
        age_s = (self._clock.wall_ms() - item.accepted_ms) / 1000
        return item.give_up_s > 0 and age_s > item.give_up_s + GIVE_UP_MARGIN_S

    async def _run(
        self, run: ItemRun, runner: TrackedRunner, slot: OccupiedSlot, pause_end_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        work = self._loads.capacity_at(runner).work
        gain_s = work.gain_s(started_s)
        earlier_events = run.stream.total
        ended = False
        try:
            ended = await self._attempts.attempt(
                run, runner, lambda: self._last_pause_end_s() != pause_end_s
            )
            run.consecutive_errors = 0
        except Exception:
            # Without this pause an item that cannot be sent is retried at each ranking, each time
            # on a new connection: 11 times in 3 s.
            slot.free()
            run.sent_s = None
            run.consecutive_errors += 1
            await asyncio.sleep(min(MAX_ERROR_PAUSE_S, RETRY_PAUSE_S * 2.0**run.consecutive_errors))
            raise
        finally:
            slot.free()
            self._isolation.run_ended(run)
            run.sent_s = None
            ended_s = loop.time()
            took_s = ended_s - started_s
            worked_s = took_s + (work.gain_s(ended_s) - gain_s)
            run.worked_s += worked_s
            events = run.stream.total - earlier_events
            self._times.record_output(events, worked_s)
        if ended:
            kind = (runner.record.service, run.route_name)
            usual_s = self._usual_times.record(kind, events, took_s)
            if usual_s is not None:
                runner.rate.record_run(took_s, usual_s, ended_s)
            self._times.record(run.spent_s(self._times.seconds_per_event))
        else:
            await asyncio.sleep(RETRY_PAUSE_S)


async def _log_errors(work: Coroutine[None, None, None]) -> None:
    try:
        await work
    except Exception:
        logger.exception("results and progress could not be recorded yet")
