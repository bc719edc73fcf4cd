"""State of the harvester: owned runners, runs on engines, held work, and the rules between them.

No threads and no I/O: the harvester calls it under its lock and carries out what it returns.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterator, Mapping

from leverjunction.batch.batch_counters import HarvestCounters
from leverjunction.batch.commands import ItemResult, ItemState
from leverjunction.batch.harvest import HarvestController, HarvestTargets
from leverjunction.batch.harvest_types import GiveBack, OwnedRunner, Plan, Run, Verdict
from leverjunction.batch.held_work import HeldWork, WorkItem
from leverjunction.batch.item_run import TRIES_PER_ATTEMPT, RunEnd, RunResult
from leverjunction.batch.lease_fetcher import Demand
from leverjunction.batch.lost_answers import find_lost, looks_due
from leverjunction.wire.messages import RunnerState

RECANCEL_S = 0.3
"""A cancel may overtake the request that it is for, so it is sent again until the run ends."""

REFUSED_PAUSE_S = 0.2
BROKEN_PAUSE_S = 1.0
"""A runner that refused, or that broke off, gets nothing new for this long."""

LOST_RUNNER_S = 6.0
LOST_RUNNER_UNREPEATABLE_S = 30.0
"""Without a load report for this long a runner's runs are given up. One that may not repeat
waits longer, as its outcome would be unknown."""

MAX_BROKEN_RUNS = 3
"""An item that several engines answered with an error of their own fails with that error."""

MAX_TRIES = 20
"""An item is handed back after so many fruitless runs; those parked for online do not count."""

LOST_STATUS = 502
"""Status of the result of an item that fails since its runners were lost."""

BYTES_PER_TOKEN = 4
"""Usual length of a token of text; only the ration of prompt steps depends on it."""

STOCK_RATIO = 1.0
MIN_STOCK = 4
"""Items held ahead, against what the owned runners hold when they are full."""

DEFAULT_TARGETS = HarvestTargets(interference=0.0, batch_floor=0, batch_max_running=0)
_MAY_HAVE_RUN = '{"error":{"message":"%s","type":"outcome_unknown"}}'
_RUNNERS_LOST = (
    '{"error":{"message":"%d runners were lost while they ran the item","type":"runner_lost"}}'
)


class HarvestState:
    """See the module. Not safe for threads."""

    def __init__(self, counters: HarvestCounters) -> None:
        self.work = HeldWork()
        self.runners: dict[str, OwnedRunner] = {}
        self.runs: dict[int, Run] = {}
        self._counters = counters
        self._targets: Mapping[str, HarvestTargets] = {}
        self._priorities: Mapping[str, int] = {}
        self._max_lost_runs: Mapping[str, int] = {}

    def set_runners(self, owned: list[RunnerState], targets: Mapping[str, HarvestTargets]) -> None:
        """Take the runners owned now; the runs of others are parked by the next plan."""
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
        """Take the engine priority of batch in each service."""
        self._priorities = priorities

    def set_max_lost_runs(self, limits: Mapping[str, int]) -> None:
        """Take how many runners an item of each service may lose before it fails."""
        self._max_lost_runs = limits

    def demands(self, now_s: float) -> list[Demand]:
        """Return how many items each service's runners want held ahead."""
        capacity: dict[str, int] = {}
        models: dict[str, set[str]] = {}
        for runner in self._usable_runners(now_s):
            service = runner.state.service
            capacity[service] = capacity.get(service, 0) + runner.controller.idle_capacity()
            models.setdefault(service, set()).update(runner.state.models)
        return [
            Demand(service, sorted(models[service]), self._wanted(service, count))
            for service, count in sorted(capacity.items())
            if count > 0
        ]

    def has_work(self) -> bool:
        """Return whether any item runs or waits, so that plans are of use."""
        return bool(self.runs) or self.work.waiting_total() > 0

    def plan(self, now_s: float) -> Plan:
        """Decide for every runner."""
        plan = Plan(give_back=self._unservable(now_s))
        for runner in self.runners.values():
            if runner.owned and not runner.state.leaving:
                self._plan_runner(runner, plan, now_s)
            else:
                self._park_all(runner, plan, now_s)
            self._give_up_runs(runner, plan, now_s)
        self._cancel_again(plan, now_s)
        due = looks_due(self.runners.values(), self.runs.values(), now_s)
        plan.looks = [self.runners[runner_id].state for runner_id in due]
        return plan

    def looked(self, runner_id: str, held: set[str], asked_s: float) -> Plan:
        """Take what a runner has, as it said when asked at ``asked_s``: runs may be lost."""
        plan = Plan()
        for run in find_lost(self._runs_on(runner_id), held, asked_s):
            was_dropped, run.dropped = run.dropped, True
            self._remove(run)
            if was_dropped:
                continue
            self._counters.lost_answers.inc()
            if not run.work.leased.may_repeat:
                body = _unknown_body("the answer was lost while the item ran; it may not repeat")
                verdict = self._verdict(run, ItemState.UNKNOWN, 0, body)
                plan.verdicts += [verdict] if verdict is not None else []
                continue
            # The run's thread may still use the work that it began with.
            work = dataclasses.replace(run.work, fruitless_runs=run.work.fruitless_runs + 1)
            given = self._retry(dataclasses.replace(run, work=work))
            plan.give_back += [given] if given is not None else []
        return plan

    def _cancel_again(self, plan: Plan, now_s: float) -> None:
        """Repeat cancels until their runs end, but never one that a newer run would obey.

        Runs of an item share their id at an engine: a run whose answer was lost had each later
        one cancelled within 0.3 s, until the item's tries were spent.
        """
        wanted = {
            (run.runner_id, run.work.key)
            for run in self.runs.values()
            if not (run.parking or run.dropped)
        }
        for run in self.runs.values():
            is_over = run.parking or run.dropped
            if not is_over or (run.runner_id, run.work.key) in wanted:
                continue
            if now_s - run.cancelled_s >= RECANCEL_S:
                run.cancelled_s = now_s
                plan.cancels.append(run)

    def begins(self, run: Run, now_s: float, *, is_in_doubt: bool = False) -> bool:
        """Return whether a planned run may still be sent; called just before it is.

        Args:
            run: The run.
            now_s: Monotonic time in seconds.
            is_in_doubt: Whether the runner may be leaving by now: its item waits for a new plan.
        """
        lease = self.work.leases.get(run.work.lease_id)
        holds = lease is not None and (run.work.leased.may_repeat or now_s < lease.valid_until_s)
        if holds and not (run.dropped or run.parking or is_in_doubt):
            run.begun_s = now_s
            return True
        if id(run) in self.runs:
            self._remove(run)
            if not run.dropped:
                self.work.put_back(run.work)
        return False

    def ended(self, run: Run, result: RunResult, now_s: float) -> Verdict | GiveBack | None:
        """Take the end of a run; returns what to tell the job's group, if anything."""
        self._remove(run)
        if run.dropped:
            return None
        repeatable = run.work.leased.may_repeat
        match result.end:
            case RunEnd.DONE:
                return self._verdict(run, ItemState.DONE, result.status_code, result.body)
            case RunEnd.REFUSED:
                return self._verdict(run, ItemState.FAILED, result.status_code, result.body)
            case RunEnd.NOT_RUN:
                run.work.fruitless_runs += 1
                self._pause(run.runner_id, now_s + REFUSED_PAUSE_S)
                return self._retry(run, missing_model=result.status_code == 404)
            case RunEnd.PARKED if repeatable:
                self._counters.parks.inc()
                run.work.continue_text = result.text
                return self._retry(run)
            case RunEnd.BROKEN if repeatable:
                run.work.fruitless_runs += 1
                run.work.broken_runs += 1
                self._pause(run.runner_id, now_s + BROKEN_PAUSE_S)
                if result.status_code >= 500 and run.work.broken_runs >= MAX_BROKEN_RUNS:
                    return self._verdict(run, ItemState.FAILED, result.status_code, result.body)
                run.work.lost_runs += 1 if result.runner_lost else 0
                return self._failed_by_losses(run, run.work.lost_runs) or self._retry(run)
        # What may not repeat and did not end by itself may have run: it is never run again.
        self._pause(run.runner_id, now_s + BROKEN_PAUSE_S)
        if result.status_code >= 500:
            return self._verdict(run, ItemState.FAILED, result.status_code, result.body)
        return self._verdict(run, ItemState.UNKNOWN, 0, _unknown_body(result.reason))

    def revoke(self, lost_lease_ids: list[str], cancelled_jobs: list[str]) -> list[Run]:
        """Drop lost leases and cancelled jobs; returns the runs to cancel."""
        lost, jobs = set(lost_lease_ids), set(cancelled_jobs)
        self.work.drop_leases(lost)
        self.work.drop_jobs(jobs)
        return self._drop_runs(
            lambda run: run.work.lease_id in lost or run.work.leased.job_id in jobs
        )

    def drop_repeatable_runs(self) -> list[Run]:
        """Drop the runs that can be repeated elsewhere, for a stop; returns those to cancel."""
        return self._drop_runs(lambda run: run.work.leased.may_repeat)

    def live_runs(self) -> int:
        """Return how many runs still count."""
        return sum(1 for run in self.runs.values() if not run.dropped)

    def _usable_runners(self, now_s: float) -> Iterator[OwnedRunner]:
        """Yield the owned runners that may start items, now or soon.

        A dead runner stays listed until the platform notices. While it is its owner's only one of
        a service, items held for it would wait as long, under leases that are renewed.
        """
        for runner in self.runners.values():
            is_heard = runner.controller.seconds_without_report(now_s) < LOST_RUNNER_S
            if runner.owned and not runner.state.leaving and is_heard:
                yield runner

    def _unservable(self, now_s: float) -> list[GiveBack]:
        """Take out the waiting items that no usable runner can run."""
        servable = {
            (runner.state.service, model)
            for runner in self._usable_runners(now_s)
            for model in runner.state.models
        }
        return self._give_back(self.work.take_unservable(servable))

    def _plan_runner(self, runner: OwnedRunner, plan: Plan, now_s: float) -> None:
        decision = runner.controller.decide(now_s)
        runner.note = decision.reason
        for token in decision.park:
            self._park(self.runs[token], plan, now_s)
        if now_s < runner.not_before_s:
            return
        state = runner.state
        has_suspect = any(run.work.is_suspect for run in self._runs_on(state.runner_id))
        for _ in range(decision.start):
            work = self.work.take(state.service, state.models, now_s, may_suspect=not has_suspect)
            if work is None:
                return
            if work.deadline_s <= now_s:
                plan.give_back += self._give_back([work])
                continue
            has_suspect = has_suspect or work.is_suspect
            plan.starts.append(self._start(runner, work, now_s))

    def _start(self, runner: OwnedRunner, work: WorkItem, now_s: float) -> Run:
        work.tries += 1
        run = Run(
            work=work,
            runner_id=runner.state.runner_id,
            address=runner.state.address,
            priority=self._priorities.get(work.service, 0),
            started_s=now_s,
        )
        self.runs[id(run)] = run
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

    def _park_all(self, runner: OwnedRunner, plan: Plan, now_s: float) -> None:
        """Empty a runner that is leaving or that another gateway owns now."""
        for run in self._runs_on(runner.state.runner_id):
            if run.work.leased.may_repeat:
                self._park(run, plan, now_s)

    def _give_up_runs(self, runner: OwnedRunner, plan: Plan, now_s: float) -> None:
        """Give up the runs of a runner that has not been heard of for long."""
        for run in self._runs_on(runner.state.runner_id):
            repeatable = run.work.leased.may_repeat
            limit_s = LOST_RUNNER_S if repeatable else LOST_RUNNER_UNREPEATABLE_S
            if run.dropped or _silent_s(runner, run, now_s) < limit_s:
                continue
            run.dropped = True
            runner.controller.ended(id(run))
            verdict = self._give_up_run(run, runner.owned)
            if verdict is not None:
                plan.verdicts.append(verdict)

    def _give_up_run(self, run: Run, is_owned: bool) -> Verdict | None:
        """Have an item run again, or return its outcome. A runner of another gateway is silent
        here as its reports go there, which says nothing against the item."""
        if not run.work.leased.may_repeat:
            body = _unknown_body("the runner was lost while the item ran; it may not repeat")
            return self._verdict(run, ItemState.UNKNOWN, 0, body)
        lost_runs = run.work.lost_runs + (1 if is_owned else 0)
        verdict = self._failed_by_losses(run, lost_runs)
        if verdict is None:
            # The run's thread may still use the work that it began with.
            self.work.put_back(dataclasses.replace(run.work, lost_runs=lost_runs))
        return verdict

    def _failed_by_losses(self, run: Run, lost_runs: int) -> Verdict | None:
        """Return the failure of an item under which too many runners were lost."""
        if lost_runs < self._max_lost_runs.get(run.work.service, math.inf):
            return None
        return self._verdict(run, ItemState.FAILED, LOST_STATUS, _RUNNERS_LOST % lost_runs)

    def _retry(self, run: Run, missing_model: bool = False) -> GiveBack | None:
        """Keep an item for another run here, or give it back when that is no use."""
        work = run.work
        is_spent = work.fruitless_runs >= MAX_TRIES or work.tries >= TRIES_PER_ATTEMPT - 1
        if missing_model or is_spent:
            given = self._give_back([work])
            return given[0] if given else None
        self.work.put_back(work)
        return None

    def _verdict(self, run: Run, state: ItemState, status_code: int, body: str) -> Verdict | None:
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
        return Verdict(group=lease.group, lease_id=lease.lease_id, result=result)

    def _give_back(self, items: list[WorkItem]) -> list[GiveBack]:
        return [
            GiveBack(work, self.work.leases[work.lease_id].group)
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

    def _pause(self, runner_id: str, until_s: float) -> None:
        runner = self.runners.get(runner_id)
        if runner is not None:
            runner.not_before_s = max(runner.not_before_s, until_s)

    def _runs_on(self, runner_id: str) -> list[Run]:
        return [run for run in self.runs.values() if run.runner_id == runner_id]

    def _wanted(self, service: str, capacity: int) -> int:
        stock = max(MIN_STOCK, math.ceil(capacity * STOCK_RATIO))
        return max(0, stock - self.work.waiting(service))


def _silent_s(runner: OwnedRunner, run: Run, now_s: float) -> float:
    """Return how long a runner has been silent about a run.

    Another gateway gets the reports of a runner that is no longer owned. Such a run is told to
    stop, and is silent from then on; one that may not repeat goes on to its own end.
    """
    if not runner.owned:
        return now_s - run.parked_s
    # A runner that never reported is silent since its run began.
    return min(runner.controller.seconds_without_report(now_s), now_s - run.started_s)


def _prompt_tokens(work: WorkItem) -> int:
    """Estimate what a runner has to read before it goes on with an item."""
    return max(1, (len(work.leased.item.body) + len(work.continue_text)) // BYTES_PER_TOKEN)


def _unknown_body(reason: str) -> str:
    return _MAY_HAVE_RUN % reason.replace('"', "'").replace("\\", "/")
