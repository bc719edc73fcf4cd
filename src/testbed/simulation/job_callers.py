"""Simulated callers of batch jobs: they submit in heaps, resend, cancel and read by cursor."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeVar

from leverjunction.api.batches_upload import UploadTerms
from leverjunction.batch.commands import JobState, JobView, ResultPage
from leverjunction.errors import Execution, Failure, FailureKind, Step
from testbed.engine.text import Answer
from testbed.simulation.fiber import Fibers, Resume
from testbed.simulation.gateway_front import GatewayFront
from testbed.simulation.history import (
    BATCH_MARK,
    FINAL_JOB_STATES,
    JobAction,
    JobAnswer,
    JobRecord,
    JobRequest,
)
from testbed.simulation.linearizability import NEVER_S, Operation
from testbed.simulation.machine import Machine
from testbed.simulation.network import Reply
from testbed.simulation.scenario import ANSWER_MAX_TOKENS, ANSWER_MIN_TOKENS, TENANTS, ServicePlan
from testbed.simulation.world_parts import WorldParts

T = TypeVar("T")

JOBS_PER_HEAP = (1, 3)
ITEMS_PER_JOB = (2, 9)
ONCE_ONLY_SHARE = 0.3
CANCEL_SHARE = 0.2
LONG_CANCEL_SHARE = 0.6
RESEND_SHARE = 0.4
SUBMIT_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 6.0
RETRY_PAUSE_S = 0.5
MAX_TRIES = 25
READ_INTERVAL_S = 3.0
DEADLINE_MS = 3_600_000
PROMPT_WORDS = 20
ITEM_TOKENS = 24
LONG_ITEM_TOKENS = 60
LONG_SHARE = 0.3
"""Items take some 3 s, and long ones 8 s, so that faults, parking and cancels meet them."""

AUDIT_TRIES = 8


class JobCallers:
    """All callers of batch jobs."""

    def __init__(
        self, parts: WorldParts, machine: Machine, fibers: Fibers, generator: random.Random
    ) -> None:
        self._parts = parts
        self._machine = machine
        self._fibers = fibers
        self._random = generator

    def start(self, begin_s: float, end_s: float) -> None:
        """Submit heaps of jobs between two moments."""
        services = [s for s in self._parts.scenario.services if s.takes_batch]
        moment_s = begin_s
        while moment_s < end_s:
            for _ in range(self._random.randint(*JOBS_PER_HEAP)):
                service = self._random.choice(services)
                at_s = moment_s + self._random.random()
                self._spawn_at(at_s, self._life_of_job(service, len(self._parts.history.jobs)))
            moment_s += self._parts.scenario.heap_interval_s * (0.8 + 0.4 * self._random.random())

    def audit(self) -> None:
        """Read every accepted job whole; blocks."""
        for record in self._parts.history.jobs.values():
            if record.accepted_s == NEVER_S:
                continue
            view = self._show(record)
            if isinstance(view, Failure):
                continue
            record.final_state = view.state
            record.discarded = view.discarded
            lines, after = [], 0
            while True:
                page = self._page(record, after, AUDIT_TRIES)
                if page is None:
                    break
                lines += page.lines
                after = page.next_cursor
                if page.complete or not page.lines:
                    record.final_lines = lines
                    break

    def _show(self, record: JobRecord) -> JobView | Failure:
        return self._until(lambda front: front.show(record.tenant, record.job_id), AUDIT_TRIES)

    def _spawn_at(self, moment_s: float, life: Callable[[], None]) -> None:
        self._parts.scheduler.after(moment_s, lambda: self._fibers.spawn(self._machine, life))

    def _life_of_job(self, service: ServicePlan, number: int) -> Callable[[], None]:
        tenant = self._random.choice(TENANTS)
        key = f"job-{number}"
        count = self._random.randint(*ITEMS_PER_JOB)
        prompts = [
            f"{BATCH_MARK}{tenant}/{key}/{index} "
            + " ".join(f"w{self._random.randrange(100)}" for _ in range(PROMPT_WORDS))
            for index in range(count)
        ]
        is_long = self._random.random() < LONG_SHARE
        tokens = LONG_ITEM_TOKENS if is_long else ITEM_TOKENS
        record = JobRecord(
            tenant=tenant,
            key=key,
            item_count=count,
            may_repeat=self._random.random() >= ONCE_ONLY_SHARE,
            deadline_ms=self._machine.wall_ms() + DEADLINE_MS,
            expected=[_answer(service.model, prompt, tokens) for prompt in prompts],
        )
        self._parts.history.jobs[(tenant, key)] = record
        lines = [
            _line(service.model, index, prompt, tokens) for index, prompt in enumerate(prompts)
        ]
        cancels = self._random.random() < (LONG_CANCEL_SHARE if is_long else CANCEL_SHARE)

        def life() -> None:
            if not self._submit(record, lines, self._random.random() < RESEND_SHARE):
                return
            if cancels:
                self._fibers.sleep(self._machine, self._random.random() * 4.0)
                self._cancel(record)
            self._follow(record)

        return life

    def _submit(self, record: JobRecord, lines: list[dict[str, object]], again: bool) -> bool:
        terms = UploadTerms(
            tenant=record.tenant,
            idempotency_key=record.key,
            batch_class="night",
            may_repeat=record.may_repeat,
            deadline_ms=record.deadline_ms,
            accept=True,
        )
        for _ in range(MAX_TRIES):
            view = self._operate(
                record,
                JobAction.ACCEPT,
                lambda front: front.submit(lines, terms),
                SUBMIT_TIMEOUT_S,
            )
            if isinstance(view, JobView):
                record.opened_ids.add(view.spec.job_id)
                if record.accepted_s == NEVER_S:
                    record.job_id = view.spec.job_id
                    record.accepted_s = self._machine.monotonic_s()
                    self._parts.history.counts["acknowledged_jobs"] += 1
                    self._parts.history.counts["acknowledged_items"] += record.item_count
                if not again:
                    return True
                again = False
                self._parts.history.faults["job_resent_after_answer"] += 1
            else:
                self._parts.history.faults["job_resent_after_lost_answer"] += 1
            self._fibers.sleep(self._machine, RETRY_PAUSE_S * (0.5 + self._random.random()))
        return record.accepted_s != NEVER_S

    def _cancel(self, record: JobRecord) -> None:
        record.cancel_sent_s = self._machine.monotonic_s()
        for _ in range(MAX_TRIES):
            view = self._operate(
                record,
                JobAction.CANCEL,
                lambda front: front.cancel(record.tenant, record.job_id),
                CALL_TIMEOUT_S,
            )
            if isinstance(view, JobView):
                if view.state is JobState.CANCELLED:
                    record.cancelled_s = self._machine.monotonic_s()
                    self._parts.history.counts["acknowledged_cancels"] += 1
                return
            self._fibers.sleep(self._machine, RETRY_PAUSE_S)

    def _follow(self, record: JobRecord) -> None:
        """Read state and results now and then, through any gateway, until all is there."""
        after = 0
        while True:
            self._fibers.sleep(self._machine, READ_INTERVAL_S * (0.5 + self._random.random()))
            view = self._operate(
                record,
                JobAction.READ,
                lambda front: front.show(record.tenant, record.job_id),
                CALL_TIMEOUT_S,
            )
            page = self._page(record, after, 1)
            if page is not None:
                record.pages += page.lines
                after = page.next_cursor
                if page.complete:
                    return
            if isinstance(view, JobView) and view.state in FINAL_JOB_STATES and page is None:
                continue

    def _page(self, record: JobRecord, after: int, tries: int) -> ResultPage | None:
        page = self._until(lambda front: front.results(record.tenant, record.job_id, after), tries)
        return page if isinstance(page, ResultPage) else None

    def _operate(
        self,
        record: JobRecord,
        action: str,
        function: Callable[[GatewayFront], JobView | Failure],
        timeout_s: float,
    ) -> JobView | Failure:
        """Do one call and record it for the linearizability check."""
        called_s = self._machine.monotonic_s()
        view = self._call(function, timeout_s)
        answer = None
        returned_s = NEVER_S
        if isinstance(view, JobView):
            final = view.done + view.failed + view.unknown + view.cancelled + view.expired
            answer = JobAnswer(view.state, final)
            returned_s = self._machine.monotonic_s()
        if answer is not None or action != JobAction.READ:
            operation = Operation(called_s, returned_s, JobRequest(action), answer)
            record.operations.append(operation)
        return view

    def _until(self, function: Callable[[GatewayFront], T | Failure], tries: int) -> T | Failure:
        result: T | Failure = _unreachable()
        for _ in range(tries):
            result = self._call(function, CALL_TIMEOUT_S)
            if not isinstance(result, Failure):
                return result
        return result

    def _call(
        self, function: Callable[[GatewayFront], T | Failure], timeout_s: float
    ) -> T | Failure:
        """Call some gateway's front; the call may be lost, late, or arrive twice."""
        gateway = self._random.choice(list(self._parts.gateways.values()))
        if not self._parts.network.connects(self._machine.name, gateway.name):
            self._fibers.sleep(self._machine, RETRY_PAUSE_S)
            return _unreachable()

        def handle(reply: Reply) -> None:
            self._fibers.spawn(gateway.machine, lambda: reply(function(gateway.front)))

        def arm(resume: Resume) -> None:
            self._parts.network.call(self._machine, gateway.name, handle, resume, timeout_s)

        return self._fibers.wait(arm)  # type: ignore[return-value]


def _answer(model: str, prompt: str, tokens: int) -> str:
    answer = Answer(model, prompt, ANSWER_MIN_TOKENS, ANSWER_MAX_TOKENS)
    return answer.text(max(answer.length, tokens))


def _line(model: str, index: int, prompt: str, tokens: int) -> dict[str, object]:
    body = {"model": model, "prompt": prompt, "min_tokens": tokens}
    return {
        "custom_id": f"item-{index}",
        "method": "POST",
        "url": "/v1/completions",
        "body": body,
    }


def _unreachable() -> Failure:
    return Failure(
        kind=FailureKind.UNREACHABLE,
        reason="no connection to the gateway",
        step=Step.CONNECTING,
        execution=Execution.NOT_RUN,
    )
