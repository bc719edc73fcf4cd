"""Runs batch items on the spare capacity of the runners that this gateway owns.

One thread makes decisions (``batch.harvest`` determines how many items each runner may hold),
worker threads run items on engines, one thread leases items ahead, and one thread per job group
commits outcomes. One lock guards all state; it is not held during calls to engines or to control
processes.
"""

from __future__ import annotations

import math
import random as random_module
import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from loguru import logger
from prometheus_client import CollectorRegistry

from leverjunction.backends.types import LoadReport
from leverjunction.batch.batch_counters import HarvestCounters, HarvestStats
from leverjunction.batch.commands import (
    CompletedItems,
    CompleteItems,
    ItemResult,
    ItemState,
    Lease,
)
from leverjunction.batch.directory import GroupClient
from leverjunction.batch.harvest import HarvestTargets
from leverjunction.batch.harvest_state import HarvestState
from leverjunction.batch.harvest_types import ItemOutcome, Plan, ReturnedItem, Run, RunReport
from leverjunction.batch.item_run import Engines, RunEnd, RunResult, request_id_of, run_item
from leverjunction.batch.lease_fetcher import Demand, LeaseFetcher
from leverjunction.batch.orphan_sweep import RequestOwner
from leverjunction.batch.result_sender import ResultSenders
from leverjunction.clock import Clock
from leverjunction.errors import Failure
from leverjunction.settings.resolved import ResolvedServing
from leverjunction.wire.messages import JobAlert, PendingWork, RunnerState
from leverjunction.wire.peer_calls import PeerCalls

TICK_S = 0.02
MAX_RUN_THREADS = 512
CANCEL_THREADS = 32
CANCELS_PER_ENGINE = 8
CANCEL_MAX_WAIT_S = 5.0
"""Time after which a cancel that waits for a silent engine is dropped: later it could hit the next
run of the same request.
"""

STOP_WAIT_S = 60.0
"""How long a planned stop waits for items that may not repeat.

It is half the time that a gateway waits for its open requests, which include these items.
"""

STOP_COMMIT_S = 5.0


class Harvester:
    """Leases batch items and runs them on the gateway's runners. Thread-safe.

    Args:
        control: Client of the control processes.
        engines: Client of the engines.
        clock: Monotonic and wall clock.
        random: Source of lease ids and of the jitter between polls.
        gateway_id: Owner of the leases.
        registry: Registry for the metrics; None creates a private one.
        incarnation: Start time of this process, in milliseconds.
        is_in_doubt: Returns whether runners may have been marked as leaving, or withdrawn, while
            this process was paused. Nothing is planned or sent until a hub has confirmed the view.
        last_pause_end_s: Returns when the last detected pause of this process ended, in seconds.
    """

    def __init__(
        self,
        control: GroupClient,
        engines: Engines,
        clock: Clock,
        random: random_module.Random,
        gateway_id: str,
        registry: CollectorRegistry | None = None,
        incarnation: int = 0,
        is_in_doubt: Callable[[], bool] = lambda: False,
        last_pause_end_s: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._is_in_doubt = is_in_doubt
        self._last_pause_end_s = last_pause_end_s
        self._gateway_id = gateway_id
        self._incarnation = incarnation
        self._control = control
        self._engines = engines
        self._clock = clock
        self.counters = HarvestCounters(registry)
        self._changed = threading.Condition()
        self._state = HarvestState(self.counters, gateway_id)
        self._completed = 0
        self._had_work = False
        self._started = False
        self._stopping = False
        self._renewal: tuple[float, list[str]] = (0.0, [])
        self._run_threads = ThreadPoolExecutor(MAX_RUN_THREADS, thread_name_prefix="batch-run")
        self._cancel_threads = ThreadPoolExecutor(CANCEL_THREADS, thread_name_prefix="batch-cancel")
        self._engine_calls = PeerCalls(
            self._cancel_threads, CANCEL_THREADS, clock, CANCEL_MAX_WAIT_S, CANCELS_PER_ENGINE
        )
        self._sender = ResultSenders(control, self._committed)
        self._fetcher = LeaseFetcher(
            control, clock, random, gateway_id, self._demands, self._granted
        )
        self._thread = threading.Thread(target=self._run, name="harvester", daemon=True)

    def update(
        self,
        owned: list[RunnerState],
        services: Mapping[str, ResolvedServing],
        groups: list[str],
    ) -> None:
        """Update the owned runners, the settings of their services and the job groups.

        The gateway calls this after each successful exchange with a hub. The exchange renewed the
        leases that ``lease_ids`` returned before it, so they are extended here.
        """
        with self._changed:
            if self._stopping:
                return
            asked_s, lease_ids = self._renewal
            self._state.work.renew(lease_ids, asked_s)
            self._state.set_runners(owned, {name: _targets(s) for name, s in services.items()})
            self._state.set_priorities({name: s.batch_priority for name, s in services.items()})
            lost_runs = {name: s.batch_max_lost_runs for name, s in services.items()}
            self._state.set_max_lost_runs(lost_runs)
            self._fetcher.update(groups)
            self._changed.notify_all()
        self._start_threads()

    def observe_load(self, runner_id: str, report: LoadReport) -> None:
        """Process the load report of an owned runner."""
        with self._changed:
            runner = self._state.runners.get(runner_id)
            if runner is not None:
                runner.controller.observe(report, self._clock.monotonic_s())

    def online_arrived(self, runner_id: str) -> None:
        """Record that an online request is about to be sent to an owned runner."""
        with self._changed:
            runner = self._state.runners.get(runner_id)
            if runner is not None:
                runner.controller.online_arrived(self._clock.monotonic_s())
                self._changed.notify_all()

    def online_finished(self, runner_id: str) -> None:
        """Record the end of an online request on an owned runner."""
        with self._changed:
            runner = self._state.runners.get(runner_id)
            if runner is not None:
                runner.controller.online_finished(self._clock.monotonic_s())

    def notice_arrived(self, runner_id: str) -> None:
        """Record a yield notice: another gateway has sent an online request to an owned runner."""
        with self._changed:
            runner = self._state.runners.get(runner_id)
            if runner is not None:
                runner.controller.notice_arrived(self._clock.monotonic_s())
                self._changed.notify_all()

    def lease_ids(self) -> dict[str, list[str]]:
        """Return the ids of the held leases by job group, for renewal in the next exchange."""
        with self._changed:
            by_group: dict[str, list[str]] = {}
            for lease in self._state.work.leases.values():
                by_group.setdefault(lease.group, []).append(lease.lease_id)
            self._renewal = (self._clock.monotonic_s(), list(self._state.work.leases))
            return by_group

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> None:
        """Drop lost leases and cancelled jobs, and cancel their items on the engines."""
        with self._changed:
            lost = [lease for lease in lost_lease_ids if lease in self._state.work.leases]
            self.counters.lost_leases.inc(len(lost))
            dropped = self._state.revoke(lost_lease_ids, cancelled_jobs)
        if lost:
            logger.warning("batch leases lost: {}", lost)
        self._cancel_later(dropped)

    def alerted(self, alerts: list[JobAlert]) -> None:
        """Take note of jobs that have lost runners lately, as reported by the hub."""
        with self._changed:
            self._state.alerted(alerts, self._clock.monotonic_s())

    def update_pending(self, work: list[PendingWork]) -> None:
        """Update which job groups have pending work, as reported by the hub."""
        self._fetcher.update_pending(work)

    def stats(self) -> HarvestStats:
        """Return the current numbers of items and leases."""
        with self._changed:
            work = self._state.work
            return HarvestStats(
                running=len(self._state.runs),
                waiting=work.waiting_total(),
                parked=work.parked_total(),
                uncommitted=self._sender.pending(),
                completed=self._completed,
                leases=len(work.leases),
            )

    def decision_reasons(self) -> dict[str, str]:
        """Return the explanation of the last decision for each known runner, by runner id."""
        with self._changed:
            return {name: runner.last_reason for name, runner in self._state.runners.items()}

    def stop(self) -> None:
        """Stop starting items, wait for items that may not repeat, and release all leases."""
        with self._changed:
            if self._stopping:
                return
            self._stopping = True
            self._changed.notify_all()
        self._fetcher.stop()
        with self._changed:
            stopped = self._state.drop_repeatable_runs()
        for run in stopped:
            self._cancel_threads.submit(self._cancel, run)
        deadline_s = self._clock.monotonic_s() + STOP_WAIT_S
        with self._changed:
            while self._state.live_runs() and self._clock.monotonic_s() < deadline_s:
                self._changed.wait(TICK_S)
        self._sender.stop(STOP_COMMIT_S)
        self._release_leases()
        self._run_threads.shutdown(wait=False, cancel_futures=True)
        self._cancel_threads.shutdown(wait=False)

    def _release_leases(self) -> None:
        with self._changed:
            leases = list(self._state.work.leases.values())
            unstarted = self._state.work.drain_waiting()
            self._state.work.drop_leases([lease.lease_id for lease in leases])
        for lease in leases:
            # Releasing a lease returns its items that may repeat. Items that may not repeat must
            # be listed as not run, and items with lost runs are listed to pass on the count.
            results = [
                returned_item_result(ReturnedItem(work, lease.group))
                for work in unstarted
                if work.lease_id == lease.lease_id
                and (work.lost_runs > 0 or not work.leased.may_repeat)
            ]
            reply = self._control.propose(
                lease.group,
                CompleteItems(lease.lease_id, results, release=True),
                CompletedItems,
                STOP_COMMIT_S,
            )
            if isinstance(reply, Failure):
                logger.warning("could not release lease {}: {}", lease.lease_id, reply.reason)

    def _start_threads(self) -> None:
        with self._changed:
            if self._started or self._stopping:
                return
            self._started = True
        self._fetcher.start()
        self._thread.start()

    def _run(self) -> None:
        while self._wait_for_round():
            try:
                self.tick()
            except Exception:
                # An unexpected error in one round must not end the thread.
                logger.exception("batch scheduling round failed")

    def _wait_for_round(self) -> bool:
        """Wait until the next round is due; returns False after a stop.

        Without work there is nothing to decide, so the thread sleeps until some arrives. One more
        round runs after the last work has ended, to update the gauges.
        """
        with self._changed:
            if self._had_work:
                self._changed.wait(TICK_S)
            else:
                self._changed.wait_for(lambda: self._stopping or self._state.has_work())
            self._had_work = self._state.has_work()
            return not self._stopping

    def tick(self) -> None:
        """Make one round of decisions for all runners and carry them out."""
        with self._changed:
            if self._stopping or self._is_in_doubt():
                return
            plan = self._state.plan(self._clock.monotonic_s())
            self.counters.running.set(len(self._state.runs))
            self.counters.waiting.set(self._state.work.waiting_total())
        self._cancel_later(plan.cancels)
        for run in plan.starts:
            self.counters.starts.inc()
            self._run_threads.submit(self._execute, run)
        for runner in plan.runners_to_query:
            query = partial(self._query_held_requests, runner)
            self._engine_calls.submit(runner.address, query)
        self._send_outcomes(plan)

    def _query_held_requests(self, runner: RunnerState) -> Failure | None:
        """Ask a runner which requests it holds, to detect lost runs."""
        asked_s = self._clock.monotonic_s()
        held = self._engines.held_requests(runner.address)
        if isinstance(held, Failure):
            logger.debug(
                "could not list the requests of runner {}: {}", runner.runner_id, held.reason
            )
            return held
        with self._changed:
            plan = self._state.apply_request_list(
                runner.runner_id, {request.request_id for request in held}, asked_s
            )
            self._changed.notify_all()
        self._send_outcomes(plan)
        return None

    def _send_outcomes(self, plan: Plan) -> None:
        for outcome in plan.outcomes:
            self._send_outcome(outcome)
        self._send_returned(plan.returned)
        self._send_reports(plan.reports)

    def _execute(self, run: Run) -> None:
        pause_end_s = self._last_pause_end_s()
        with self._changed:
            may_start = self._state.try_begin(
                run, self._clock.monotonic_s(), is_in_doubt=self._is_in_doubt()
            )
        if not may_start:
            return
        try:
            owner = self._owner_label(run)
            result = run_item(
                self._engines,
                run.work,
                run.address,
                run.priority,
                owner,
                lambda: self._last_pause_end_s() != pause_end_s,
            )
        except Exception as error:
            # After any error the run must be recorded as ended, or its item would be stuck.
            logger.exception("batch request {} failed", request_id_of(run.work))
            result = RunResult(end=RunEnd.BROKEN, reason=repr(error))
        self._run_ended(run, result)

    def _owner_label(self, run: Run) -> str:
        may_repeat = run.work.leased.may_repeat
        return RequestOwner(self._gateway_id, self._incarnation, may_repeat).label()

    def _run_ended(self, run: Run, result: RunResult) -> None:
        self.counters.ends.labels(result.end.value).inc()
        with self._changed:
            outcome = self._state.ended(run, result, self._clock.monotonic_s())
            reports = self._state.take_reports()
            self._changed.notify_all()
        self._send_reports(reports)
        if isinstance(outcome, ItemOutcome):
            self._send_outcome(outcome)
        elif isinstance(outcome, ReturnedItem):
            self._send_returned([outcome])

    def _send_outcome(self, outcome: ItemOutcome) -> None:
        self._sender.put(outcome.group, outcome.lease_id, outcome.result)

    def _send_returned(self, items: list[ReturnedItem]) -> None:
        for item in items:
            self._sender.put(item.group, item.work.lease_id, returned_item_result(item))

    def _send_reports(self, reports: list[RunReport]) -> None:
        for report in reports:
            self._sender.put(report.group, report.lease_id, report.content)

    def _committed(self, lease_id: str, results: list[ItemResult], reply: CompletedItems) -> None:
        self.counters.committed.inc(reply.accepted)
        self.counters.discarded.inc(reply.discarded)
        final = sum(1 for result in results if result.state != ItemState.PENDING)
        with self._changed:
            self._completed += final
            keys = [(result.job_id, result.index) for result in results]
            self._state.work.close_items(lease_id, keys)
            self._state.alerted(reply.alerts, self._clock.monotonic_s())
        if reply.cancelled_jobs:
            self.revoke([], reply.cancelled_jobs)

    def _cancel_later(self, runs: Iterable[Run]) -> None:
        for run in runs:
            self._engine_calls.submit(run.address, partial(self._cancel, run))

    def _cancel(self, run: Run) -> Failure | None:
        return self._engines.cancel(run.address, request_id_of(run.work))

    def _demands(self) -> list[Demand]:
        with self._changed:
            return [] if self._stopping else self._state.demands(self._clock.monotonic_s())

    def _granted(self, group: str, service: str, lease: Lease, asked_s: float) -> None:
        self.counters.leased.inc(len(lease.items))
        with self._changed:
            valid_until_s = asked_s + lease.duration_s
            now_s = self._clock.monotonic_s()
            self._state.add_lease(lease, group, service, valid_until_s, now_s)
            self._changed.notify_all()


def returned_item_result(item: ReturnedItem) -> ItemResult:
    """Return the result that puts an item back into the queue of its job."""
    leased = item.work.leased
    return ItemResult(
        job_id=leased.job_id,
        index=leased.index,
        attempt=leased.attempt,
        state=ItemState.PENDING,
        status_code=0,
        body="",
        lost_runs=item.work.lost_runs,
    )


def _targets(serving: ResolvedServing) -> HarvestTargets:
    return HarvestTargets(
        interference=serving.interference,
        batch_floor=serving.batch_floor,
        batch_max_running=serving.batch_max_running,
    )
