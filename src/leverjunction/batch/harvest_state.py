"""State and rules of the harvester: owned runners, runs on engines and held items.

The module uses no threads and does no I/O. The harvester calls it under its lock and carries out
the plans that it returns.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable, Iterator, Mapping

from leverjunction.batch.batch_counters import HarvestCounters
from leverjunction.batch.commands import ItemResult, ItemState, Lease
from leverjunction.batch.crash_isolation import (
    CrashIsolation,
    JobStanding,
    StartRules,
    isolation_s,
)
from leverjunction.batch.harvest import HarvestController, HarvestTargets
from leverjunction.batch.harvest_types import (
    ItemOutcome,
    OwnedRunner,
    Plan,
    ReturnedItem,
    Run,
    RunReport,
)
from leverjunction.batch.held_work import HeldWork, WorkItem
from leverjunction.batch.item_run import TRIES_PER_ATTEMPT, RunEnd, RunResult
from leverjunction.batch.lease_fetcher import Demand
from leverjunction.batch.lost_answers import find_lost_runs, select_runners_to_query
from leverjunction.batch.shared_jobs import SharedJobs
from leverjunction.wire.messages import JobAlert, RunnerState

RECANCEL_S = 0.3
"""Interval between cancels of a run.

A cancel may arrive before the request that it is meant for, so it is repeated until the run ends.
"""

REFUSED_PAUSE_S = 0.2
BROKEN_PAUSE_S = 1.0
"""Pauses in which a runner gets no new items after it refused a request or failed during one."""

LOST_RUNNER_S = 6.0
LOST_RUNNER_UNREPEATABLE_S = 30.0
"""Time without a load report after which the runs on a runner are abandoned.

A run of an item that may not repeat is kept longer, because abandoning it makes its outcome
unknown.
"""

SILENT_LOST_RUNS = 2
"""Number of lost runs from which an item on a silent runner is suspected of crashing it.

Silence alone proves no crash: the runner or the network may be held up.
"""

MAX_BROKEN_RUNS = 3
"""Number of broken runs at which a 5xx response becomes the final result of an item."""

MAX_TRIES = 20
"""Number of fruitless runs after which an item is returned to its job; parked runs do not count."""

LOST_STATUS = 502
"""Status code of the result of an item that fails because too many of its runners were lost."""

BYTES_PER_TOKEN = 4
"""Average length of a token in text; used only to estimate the prefill cost of a prompt."""

STOCK_RATIO = 1.0
MIN_STOCK = 4
"""Items to lease ahead: a ratio to the capacity of the idle owned runners, and a minimum."""

MAX_STOCKS = 4
"""Items that may wait at most, as a multiple of the items to lease ahead.

Items that must start alone do not count toward the stock, so that others are leased past them.
"""

EXPIRE_INTERVAL_S = 1.0
"""Minimum interval between two removals of crashes that no longer count."""

RETURN_INTERVAL_S = 1.0
"""Minimum interval between two returns of items that keep others from being leased."""

IDLE_WAIT_S = 10.0
"""Time for which an item that must start alone waits for a runner without online requests.

On runners that are always busy it would otherwise wait until its deadline.
"""

SUSPECTS_PER_RUNNER = 16
MAX_RESERVED_RATIO = 0.5
"""Runners reserved for items that must start alone: one for each so many of them, and at most this
ratio of the runners of the service, but at least one."""

DEFAULT_TARGETS = HarvestTargets(interference=0.0, batch_floor=0, batch_max_running=0)
_MAY_HAVE_RUN = '{"error":{"message":"%s","type":"outcome_unknown"}}'
_RUNNERS_LOST = (
    '{"error":{"message":"%d runners were lost while they ran the item","type":"runner_lost"}}'
)


class HarvestState:
    """Runs, runners and held work of one gateway. Not thread-safe.

    Args:
        counters: Metrics of the harvester.
        owner: Owner of the gateway's leases.

    Attributes:
        work: Leases and waiting items.
        runners: Known runners, by runner id.
        runs: Runs that have not ended, by ``id`` of the run.
    """

    def __init__(self, counters: HarvestCounters, owner: str = "") -> None:
        self.work = HeldWork()
        self.runners: dict[str, OwnedRunner] = {}
        self.runs: dict[int, Run] = {}
        self._counters = counters
        self._targets: Mapping[str, HarvestTargets] = {}
        self._priorities: Mapping[str, int] = {}
        self._max_lost_runs: Mapping[str, int] = {}
        self._isolation = CrashIsolation()
        self._shared = SharedJobs(owner)
        self._reserved: set[str] = set()
        self._returned_s = -math.inf
        self._trial_wait_s: dict[str, float] = {}
        self._expired_s = -math.inf

    def set_runners(self, owned: list[RunnerState], targets: Mapping[str, HarvestTargets]) -> None:
        """Replace the owned runners and the targets of their services.

        The next plan parks the runs on runners that are no longer owned.
        """
        self._targets = targets
        ids = {runner.runner_id for runner in owned}
        for runner_id, known in list(self.runners.items()):
            known.owned = runner_id in ids
            if not known.owned and not self._runs_on(runner_id):
                del self.runners[runner_id]
        for state in owned:
            target = targets.get(state.service, DEFAULT_TARGETS)
            known_runner = self.runners.get(state.runner_id)
            if known_runner is None or known_runner.state.incarnation != state.incarnation:
                self.runners[state.runner_id] = OwnedRunner(state, HarvestController(target))
            else:
                known_runner.state = state
                known_runner.controller.targets = target

    def set_priorities(self, priorities: Mapping[str, int]) -> None:
        """Set the engine priority of batch requests, by service."""
        self._priorities = priorities

    def set_max_lost_runs(self, limits: Mapping[str, int]) -> None:
        """Set how many runners may be lost while running an item before it fails, by service."""
        self._max_lost_runs = limits

    def add_lease(
        self, lease: Lease, group: str, service: str, valid_until_s: float, now_s: float
    ) -> None:
        """Add a granted lease, with what it tells about its jobs; see ``HeldWork.add_lease``."""
        self.work.add_lease(lease, group, service, valid_until_s, now_s)
        self._shared.granted(lease, now_s)
        self.alerted(lease.alerts, now_s)

    def alerted(self, alerts: Iterable[JobAlert], now_s: float) -> None:
        """Take over what a job group tells about held jobs that have lost runners."""
        held: set[str] | None = None
        for alert in alerts:
            held = self._held_jobs() if held is None else held
            if alert.job_id in held:
                self._isolation.alerted(alert, now_s)
                self._shared.alerted(alert, now_s)

    def take_reports(self) -> list[RunReport]:
        """Remove and return the reports about runs that are not sent yet."""
        return self._shared.take_reports()

    def demands(self, now_s: float) -> list[Demand]:
        """Return how many more items to lease ahead for each service."""
        capacity: dict[str, int] = {}
        models: dict[str, set[str]] = {}
        for runner in self._usable_runners(now_s):
            service = runner.state.service
            capacity[service] = capacity.get(service, 0) + runner.controller.idle_capacity()
            models.setdefault(service, set()).update(runner.state.models)
        return [
            Demand(service, sorted(models[service]), self._missing_stock(service, count))
            for service, count in sorted(capacity.items())
            if count > 0
        ]

    def has_work(self) -> bool:
        """Return whether any item is running or waiting."""
        return bool(self.runs) or self.work.waiting_total() > 0

    def plan(self, now_s: float) -> Plan:
        """Decide for every runner what to start, cancel, return and query."""
        plan = Plan(returned=self._take_unservable(now_s))
        self._expire_crashes(now_s)
        plan.returned += self._return_shared(now_s)
        self._reserved = set() if self._is_quiet() else self._reserve_runners(plan, now_s)
        if not self._is_quiet():
            plan.returned += self._return_surplus(now_s)
        rules = StartRules(self._isolation, self._runs_in_progress(), now_s)
        for runner in self.runners.values():
            if runner.owned and not runner.state.leaving:
                self._plan_runner(runner, rules, plan, now_s)
            else:
                self._park_all_on(runner, plan, now_s)
            self._abandon_silent_runs(runner, plan, now_s)
        self._repeat_cancels(plan, now_s)
        due = select_runners_to_query(self.runners.values(), self.runs.values(), now_s)
        plan.runners_to_query = [self.runners[runner_id].state for runner_id in due]
        self._shared.find_proven(self._runs_in_progress(), now_s)
        plan.reports = self.take_reports()
        return plan

    def apply_request_list(self, runner_id: str, held: set[str], asked_s: float) -> Plan:
        """Handle the runs that a runner no longer has.

        Args:
            runner_id: Runner that listed its requests.
            held: Ids of the requests that it listed.
            asked_s: Monotonic time at which it was asked.

        Returns:
            A plan with the outcomes and the returned items of the lost runs.
        """
        plan = Plan()
        for run in find_lost_runs(self._runs_on(runner_id), held, asked_s):
            was_dropped, run.dropped = run.dropped, True
            self._remove(run)
            if was_dropped:
                continue
            self._counters.lost_answers.inc()
            if not run.work.leased.may_repeat:
                body = _unknown_body("the answer was lost while the item ran; it may not repeat")
                outcome = self._make_outcome(run, ItemState.UNKNOWN, 0, body)
                plan.outcomes += [outcome] if outcome is not None else []
                continue
            # The thread of the lost run may still use its work item, so a copy is queued.
            work = dataclasses.replace(run.work, fruitless_runs=run.work.fruitless_runs + 1)
            returned_item = self._retry(dataclasses.replace(run, work=work))
            plan.returned += [returned_item] if returned_item is not None else []
        return plan

    def _repeat_cancels(self, plan: Plan, now_s: float) -> None:
        """Repeat the cancels of parked and dropped runs that have no newer run on the same runner.

        All runs of an item have the same request id at an engine, so a cancel would stop the
        newer run. A run whose answer was lost once got each later run of its item cancelled
        within 0.3 s, until the item had used up its tries.
        """
        active = {
            (run.runner_id, run.work.key)
            for run in self.runs.values()
            if not (run.parking or run.dropped)
        }
        for run in self.runs.values():
            is_ending = run.parking or run.dropped
            if not is_ending or (run.runner_id, run.work.key) in active:
                continue
            if now_s - run.cancelled_s >= RECANCEL_S:
                run.cancelled_s = now_s
                plan.cancels.append(run)

    def try_begin(self, run: Run, now_s: float, *, is_in_doubt: bool = False) -> bool:
        """Check just before sending that a planned run may still be sent, and record the time.

        Otherwise the run is removed, and its item waits again unless the run was dropped.

        Args:
            run: The planned run.
            now_s: Monotonic time in seconds.
            is_in_doubt: Whether the runner may be leaving by now, because the gateway's view of
                the cluster may be outdated.

        Returns:
            True if the run may be sent.
        """
        lease = self.work.leases.get(run.work.lease_id)
        is_lease_valid = lease is not None and (
            run.work.leased.may_repeat or now_s < lease.valid_until_s
        )
        if is_lease_valid and not (run.dropped or run.parking or is_in_doubt):
            run.sent_s = now_s
            return True
        if id(run) in self.runs:
            self._remove(run)
            if not run.dropped:
                self.work.put_back(run.work)
        return False

    def ended(self, run: Run, result: RunResult, now_s: float) -> ItemOutcome | ReturnedItem | None:
        """Record the end of a run; returns what to report to the job's group, if anything."""
        self._remove(run)
        if run.dropped:
            return None
        repeatable = run.work.leased.may_repeat
        match result.end:
            case RunEnd.DONE:
                self._isolation.completed(run)
                return self._make_outcome(run, ItemState.DONE, result.status_code, result.body)
            case RunEnd.REFUSED:
                self._isolation.completed(run)
                return self._make_outcome(run, ItemState.FAILED, result.status_code, result.body)
            case RunEnd.NOT_RUN:
                run.work.fruitless_runs += 1
                self._pause_runner(run.runner_id, now_s + REFUSED_PAUSE_S)
                return self._retry(run, missing_model=result.status_code == 404)
            case RunEnd.PARKED if repeatable:
                self._counters.parks.inc()
                run.work.continue_text = result.text
                return self._retry(run)
            case RunEnd.BROKEN if repeatable:
                run.work.fruitless_runs += 1
                run.work.broken_runs += 1
                self._pause_runner(run.runner_id, now_s + BROKEN_PAUSE_S)
                if result.status_code >= 500 and run.work.broken_runs >= MAX_BROKEN_RUNS:
                    return self._make_outcome(
                        run, ItemState.FAILED, result.status_code, result.body
                    )
                if result.runner_lost:
                    run.work.lost_runs += 1
                    self._record_loss(run, now_s)
                return self._failure_after_lost_runs(run, run.work.lost_runs) or self._retry(run)
        # The item may not repeat and may have run: it must never be run again.
        if result.runner_lost:
            self._record_loss(run, now_s)
        self._pause_runner(run.runner_id, now_s + BROKEN_PAUSE_S)
        if result.status_code >= 500:
            return self._make_outcome(run, ItemState.FAILED, result.status_code, result.body)
        return self._make_outcome(run, ItemState.UNKNOWN, 0, _unknown_body(result.reason))

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> list[Run]:
        """Drop lost leases and cancelled jobs; returns the runs to cancel on their engines."""
        lost, jobs = set(lost_lease_ids), set(cancelled_jobs)
        self.work.drop_leases(lost)
        self.work.drop_jobs(jobs)
        return self._drop_runs(
            lambda run: run.work.lease_id in lost or run.work.leased.job_id in jobs
        )

    def drop_repeatable_runs(self) -> list[Run]:
        """Drop the runs of items that may repeat; returns the runs to cancel. Used in a stop."""
        return self._drop_runs(lambda run: run.work.leased.may_repeat)

    def live_runs(self) -> int:
        """Return the number of runs that are not dropped."""
        return sum(1 for run in self.runs.values() if not run.dropped)

    def _usable_runners(self, now_s: float) -> Iterator[OwnedRunner]:
        """Yield the owned runners that can start items now or soon.

        A dead runner stays in the machine list until the platform removes it. If it is the
        gateway's only runner of a service, items leased for it would otherwise wait all that time
        under leases that the gateway keeps renewing.
        """
        for runner in self.runners.values():
            is_reporting = runner.controller.seconds_without_report(now_s) < LOST_RUNNER_S
            if runner.owned and not runner.state.leaving and is_reporting:
                yield runner

    def _take_unservable(self, now_s: float) -> list[ReturnedItem]:
        """Remove the waiting items that no usable runner can run, and return them to their jobs."""
        servable = {
            (runner.state.service, model)
            for runner in self._usable_runners(now_s)
            for model in runner.state.models
        }
        return self._return_items(self.work.take_unservable(servable))

    def _runs_in_progress(self) -> Iterator[Run]:
        """Yield the runs on the known incarnations of the runners, except dropped ones."""
        for run in self.runs.values():
            runner = self.runners.get(run.runner_id)
            if runner is None or run.dropped:
                continue
            if runner.state.incarnation == run.incarnation:
                yield run

    def _expire_crashes(self, now_s: float) -> None:
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        jobs = self._held_jobs()
        self._isolation.retain(jobs, now_s)
        self._shared.retain(jobs)
        self.work.may_hold_suspects = any(work.is_suspect for work in self.work.all_waiting())

    def _held_jobs(self) -> set[str]:
        jobs = {run.work.leased.job_id for run in self.runs.values()}
        jobs.update(work.leased.job_id for work in self.work.all_waiting())
        return jobs

    def _record_loss(self, run: Run, now_s: float) -> None:
        self._isolation.lost(run, now_s)
        self._shared.lost(run)

    def _return_shared(self, now_s: float) -> list[ReturnedItem]:
        """Return the items of jobs that are closed here, and of limited jobs that do not start."""
        if not self._shared.has_limited:
            return []
        running = {run.work.leased.job_id for run in self.runs.values()}

        def is_waiting(job_id: str) -> bool:
            return job_id in running or self._isolation.standing(job_id) is not JobStanding.FREE

        stalled = self._shared.take_stalled(now_s, is_waiting)

        def is_returned(work: WorkItem) -> bool:
            job_id = work.leased.job_id
            is_stalled = job_id in stalled and not self._isolation.needs_isolation(work)
            return is_stalled or self._shared.is_closed(job_id)

        return self._return_items(self.work.take_matching(is_returned))

    def _is_quiet(self) -> bool:
        """Return whether no item needs to start alone, so that nothing has to be looked for."""
        return not self.work.may_hold_suspects and not self._isolation.has_crashes

    def _return_surplus(self, now_s: float) -> list[ReturnedItem]:
        """Return items of jobs that run apart or are held, if they fill the stock of a service.

        The next lease takes items of other tenants in their turn.
        """
        if now_s - self._returned_s < RETURN_INTERVAL_S:
            return []
        for service in {work.service for work in self.work.all_waiting()}:
            stock = self._stock(service, now_s)
            surplus = self._waiting_alone(service) - (MAX_STOCKS - 1) * stock
            if surplus >= 0:
                self._returned_s = now_s
                return self._return_items(self.work.take_last(service, stock, self._is_restricted))
        return []

    def _is_restricted(self, work: WorkItem) -> bool:
        return self._isolation.standing(work.leased.job_id) is not JobStanding.FREE

    def _reserve_runners(self, plan: Plan, now_s: float) -> set[str]:
        """Reserve runners for the items that must start alone, and empty these runners.

        A run that has been going on alone for long enough is parked there, so that the next item
        can start alone. Its item continues its text later like any other.
        """
        waiting: dict[str, int] = {}
        for work in self.work.all_waiting():
            is_held = self._isolation.standing(work.leased.job_id) is JobStanding.HELD
            if self._isolation.needs_isolation(work) and not is_held:
                waiting[work.service] = waiting.get(work.service, 0) + 1
        runs: dict[str, list[Run]] = {}
        for run in self._runs_in_progress():
            runs.setdefault(run.runner_id, []).append(run)
            if run.is_isolated and now_s - run.started_s >= isolation_s(run.work):
                run.work.is_cleared = True
        self._trial_wait_s = {
            service: self._trial_wait_s.get(service, now_s) for service in waiting
        }
        reserved = {
            runner_id
            for service, count in waiting.items()
            for runner_id in self._choose_reserved(service, count, runs, now_s)
        }
        for runner_id in sorted(reserved):
            for run in runs.get(runner_id, []):
                is_on_trial = run.is_isolated and not run.work.is_cleared
                if run.work.leased.may_repeat and not is_on_trial:
                    self._park(run, plan, now_s)
        return reserved

    def _choose_reserved(
        self, service: str, count: int, runs: Mapping[str, list[Run]], now_s: float
    ) -> list[str]:
        """Choose the runners to reserve: those reserved now, then those with few runs."""
        usable = [
            runner for runner in self._usable_runners(now_s) if runner.state.service == service
        ]
        usable.sort(
            key=lambda runner: (
                runner.controller.is_busy(now_s),
                now_s < runner.paused_until_s,
                runner.state.runner_id not in self._reserved,
                len(runs.get(runner.state.runner_id, [])),
                runner.state.runner_id,
            )
        )
        limit = max(1, int(len(usable) * MAX_RESERVED_RATIO))
        return [
            runner.state.runner_id
            for runner in usable[: min(limit, math.ceil(count / SUSPECTS_PER_RUNNER))]
        ]

    def _plan_runner(
        self, runner: OwnedRunner, rules: StartRules, plan: Plan, now_s: float
    ) -> None:
        decision = runner.controller.decide(now_s)
        runner.last_reason = decision.reason
        for run_key in decision.park:
            self._park(self.runs[run_key], plan, now_s)
        if now_s < runner.paused_until_s:
            return
        state = runner.state
        is_reserved = state.runner_id in self._reserved
        waited_s = now_s - self._trial_wait_s.get(state.service, now_s)
        is_idle = not runner.controller.is_busy(now_s) or (is_reserved and waited_s >= IDLE_WAIT_S)

        def is_allowed(work: WorkItem) -> bool:
            return rules.may_start(work, state.runner_id, is_idle=is_idle, is_reserved=is_reserved)

        for _ in range(decision.start):
            work = self.work.take(state.service, state.models, now_s, is_allowed)
            if work is None:
                return
            if work.deadline_s <= now_s:
                plan.returned += self._return_items([work])
                continue
            run = self._start(runner, work, now_s)
            rules.started(run)
            if run.is_isolated:
                self._trial_wait_s[state.service] = now_s
            plan.starts.append(run)

    def _start(self, runner: OwnedRunner, work: WorkItem, now_s: float) -> Run:
        work.tries += 1
        run = Run(
            work=work,
            runner_id=runner.state.runner_id,
            address=runner.state.address,
            priority=self._priorities.get(work.service, 0),
            started_s=now_s,
            incarnation=runner.state.incarnation,
            is_isolated=self._isolation.needs_isolation(work),
        )
        self.runs[id(run)] = run
        self._shared.started(run)
        runner.controller.started(
            id(run),
            now_s,
            may_park=work.leased.may_repeat,
            prompt_tokens=_prompt_tokens(work),
        )
        return run

    def _park(self, run: Run, plan: Plan, now_s: float) -> None:
        if run.parking or run.dropped:
            return
        run.parking = True
        run.parked_s = now_s
        run.cancelled_s = now_s
        plan.cancels.append(run)

    def _park_all_on(self, runner: OwnedRunner, plan: Plan, now_s: float) -> None:
        """Park the runs on a runner that is leaving or is owned by another gateway now."""
        for run in self._runs_on(runner.state.runner_id):
            if run.work.leased.may_repeat:
                self._park(run, plan, now_s)

    def _abandon_silent_runs(self, runner: OwnedRunner, plan: Plan, now_s: float) -> None:
        """Abandon the runs on a runner that has not reported for too long."""
        for run in self._runs_on(runner.state.runner_id):
            repeatable = run.work.leased.may_repeat
            limit_s = LOST_RUNNER_S if repeatable else LOST_RUNNER_UNREPEATABLE_S
            if run.dropped or _silence_s(runner, run, now_s) < limit_s:
                continue
            run.dropped = True
            runner.controller.ended(id(run))
            outcome = self._abandon_run(run, runner.owned)
            if outcome is not None:
                plan.outcomes.append(outcome)

    def _abandon_run(self, run: Run, is_owned: bool) -> ItemOutcome | None:
        """Queue the item of an abandoned run again, or return the item's final outcome.

        A runner that is not owned sends its load reports to another gateway, so its silence here
        does not count as a runner lost while running the item.
        """
        if not run.work.leased.may_repeat:
            body = _unknown_body("the runner was lost while the item ran; it may not repeat")
            return self._make_outcome(run, ItemState.UNKNOWN, 0, body)
        lost_runs = run.work.lost_runs + (1 if is_owned else 0)
        outcome = self._failure_after_lost_runs(run, lost_runs)
        if outcome is None:
            # The thread of the abandoned run may still use its work item, so a copy is queued.
            is_cleared = lost_runs < SILENT_LOST_RUNS
            self.work.put_back(
                dataclasses.replace(run.work, lost_runs=lost_runs, is_cleared=is_cleared)
            )
        return outcome

    def _failure_after_lost_runs(self, run: Run, lost_runs: int) -> ItemOutcome | None:
        """Return the failure of an item if too many runners were lost while running it."""
        if lost_runs < self._max_lost_runs.get(run.work.service, math.inf):
            return None
        return self._make_outcome(run, ItemState.FAILED, LOST_STATUS, _RUNNERS_LOST % lost_runs)

    def _retry(self, run: Run, missing_model: bool = False) -> ReturnedItem | None:
        """Queue an item for another run here, or return it to its job if that is pointless."""
        work = run.work
        is_spent = work.fruitless_runs >= MAX_TRIES or work.tries >= TRIES_PER_ATTEMPT - 1
        if missing_model or is_spent:
            returned_items = self._return_items([work])
            return returned_items[0] if returned_items else None
        self.work.put_back(work)
        return None

    def _make_outcome(
        self, run: Run, state: ItemState, status_code: int, body: str
    ) -> ItemOutcome | None:
        lease = self.work.leases.get(run.work.lease_id)
        if lease is None:
            return None
        result = ItemResult(
            job_id=run.work.leased.job_id,
            index=run.work.leased.index,
            attempt=run.work.leased.attempt,
            state=state,
            status_code=status_code,
            body=body,
        )
        return ItemOutcome(group=lease.group, lease_id=lease.lease_id, result=result)

    def _return_items(self, items: list[WorkItem]) -> list[ReturnedItem]:
        return [
            ReturnedItem(work, self.work.leases[work.lease_id].group)
            for work in items
            if work.lease_id in self.work.leases
        ]

    def _drop_runs(self, is_dropped: Callable[[Run], bool]) -> list[Run]:
        dropped = [run for run in self.runs.values() if not run.dropped and is_dropped(run)]
        for run in dropped:
            run.dropped = True
        return dropped

    def _remove(self, run: Run) -> None:
        self.runs.pop(id(run), None)
        runner = self.runners.get(run.runner_id)
        if runner is not None:
            runner.controller.ended(id(run))

    def _pause_runner(self, runner_id: str, until_s: float) -> None:
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.paused_until_s = max(runner.paused_until_s, until_s)

    def _runs_on(self, runner_id: str) -> list[Run]:
        return [run for run in self.runs.values() if run.runner_id == runner_id]

    def _stock(self, service: str, now_s: float) -> int:
        """Return how many items of a service to lease ahead."""
        capacity = sum(
            runner.controller.idle_capacity()
            for runner in self._usable_runners(now_s)
            if runner.state.service == service
        )
        return _stock_for(capacity)

    def _missing_stock(self, service: str, capacity: int) -> int:
        stock = _stock_for(capacity)
        waiting = self.work.waiting(service)
        if self._is_quiet():
            return max(0, stock - waiting)
        others = waiting - self._waiting_alone(service)
        return max(0, min(stock - others, MAX_STOCKS * stock - waiting))

    def _waiting_alone(self, service: str) -> int:
        """Return the number of waiting items of a service that must start alone."""
        return sum(
            1
            for work in self.work.all_waiting()
            if work.service == service and self._isolation.needs_isolation(work)
        )


def _silence_s(runner: OwnedRunner, run: Run, now_s: float) -> float:
    """Return how long a runner has not reported while it had a run, in seconds.

    The reports of a runner that is no longer owned go to another gateway. Its runs are parked, and
    their silence counts from then on. A run that may not repeat is not parked; it continues until
    it ends by itself.
    """
    if not runner.owned:
        return now_s - run.parked_s
    # The silence of a runner that never reported counts from the start of the run.
    return min(runner.controller.seconds_without_report(now_s), now_s - run.started_s)


def _stock_for(capacity: int) -> int:
    return max(MIN_STOCK, math.ceil(capacity * STOCK_RATIO))


def _prompt_tokens(work: WorkItem) -> int:
    """Estimate the number of tokens that a runner processes before it continues an item."""
    return max(1, (len(work.leased.item.body) + len(work.continue_text)) // BYTES_PER_TOKEN)


def _unknown_body(reason: str) -> str:
    return _MAY_HAVE_RUN % reason.replace('"', "'").replace("\\", "/")
