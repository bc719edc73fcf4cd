"""Jobs: exactly one readable result for each accepted item, cancellation, linearizable state."""

from __future__ import annotations

from collections.abc import Iterable

from leverjunction.batch.commands import ItemState, JobState, ResultLine
from testbed.simulation.checkers.base import Finding
from testbed.simulation.history import (
    FINAL_ITEM_STATES,
    FINAL_JOB_STATES,
    History,
    JobAction,
    JobAnswer,
    JobRecord,
    JobRequest,
)
from testbed.simulation.linearizability import NEVER_S, Operation, is_linearizable

STOPPED_WITHIN_S = 12.0
"""Longest time from an acknowledged cancellation until no item starts any more.

A gateway that the cancellation cannot reach loses its lease by its own clock.
"""

ABSENT = "absent"
JobModelState = tuple[str, int]

_RANK = {
    ABSENT: 0,
    JobState.OPEN: 1,
    JobState.ACCEPTED: 2,
    JobState.COMPLETED: 3,
    JobState.CANCELLED: 3,
    JobState.EXPIRED: 3,
}


class ExactlyOnce:
    """An accepted item completes exactly once, and its result stays readable afterwards."""

    name = "accepted_item_completes_exactly_once"

    def check(self, history: History) -> Finding:
        """Check the audit of every acknowledged job and every page read before it."""
        finding = Finding()
        for job in history.jobs.values():
            finding.expect(
                len(job.opened_ids) <= 1, f"key {job.key} opened jobs {sorted(job.opened_ids)}"
            )
            if job.accepted_s < NEVER_S:
                self._check_job(job, finding)
        return finding

    def _check_job(self, job: JobRecord, finding: Finding) -> None:
        if job.final_lines is None:
            finding.expect(False, f"results of {job.job_id} could not be read at the end")
            return
        finding.expect(
            job.final_state in FINAL_JOB_STATES, f"{job.job_id} ended as {job.final_state}"
        )
        by_index: dict[int, list[ResultLine]] = {}
        for line in job.final_lines:
            by_index.setdefault(line.index, []).append(line)
        for index in range(job.item_count):
            self._check_item(job, index, by_index.get(index, []), finding)
        finding.expect(
            all(index < job.item_count for index in by_index),
            f"{job.job_id} has results of items it never had",
        )
        self._check_pages(job, finding)

    def _check_item(
        self, job: JobRecord, index: int, lines: list[ResultLine], finding: Finding
    ) -> None:
        finding.expect(
            len(lines) == 1, f"item {index} of {job.job_id} has {len(lines)} results, want 1"
        )
        if not lines:
            return
        line = lines[0]
        finding.expect(
            line.state in _allowed_states(job),
            f"item {index} of {job.job_id} ended as {line.state}",
        )
        if line.state is ItemState.DONE:
            finding.expect(
                job.expected[index] in line.body,
                f"item {index} of {job.job_id} holds another item's result",
            )

    def _check_pages(self, job: JobRecord, finding: Finding) -> None:
        """A line that was once read is still there, unchanged."""
        final = {line.cursor: line for line in job.final_lines or []}
        for line in job.pages:
            finding.expect(
                final.get(line.cursor) == line,
                f"result {line.cursor} of {job.job_id} was read and has changed or is gone",
            )


class CancelledJobStops:
    """A cancelled job stops."""

    name = "cancelled_job_stops"

    def check(self, history: History) -> Finding:
        """Check that no item starts after a cancellation and that its state stays."""
        finding = Finding()
        cancelled = {job.job_id: job for job in history.jobs.values() if job.cancelled_s < NEVER_S}
        for job in cancelled.values():
            finding.expect(
                job.final_state in FINAL_JOB_STATES,
                f"{job.job_id} was cancelled and ended as {job.final_state}",
            )
        for run in history.runs:
            job_id, _, _ = run.work_id.rpartition("/")
            if not run.batch or job_id not in cancelled:
                continue
            limit_s = cancelled[job_id].cancelled_s + STOPPED_WITHIN_S
            finding.expect(
                run.received_s <= limit_s,
                f"{run.work_id} began on {run.runner} at {run.received_s:.3f} s, "
                f"{run.received_s - cancelled[job_id].cancelled_s:.1f} s after cancellation",
            )
        return finding


class LinearizableJobs:
    """What callers are told of a job is linearizable."""

    name = "linearizable_jobs"

    def check(self, history: History) -> Finding:
        """Search, for each job, for a sequential order that explains the answers."""
        finding = Finding()
        for job in history.jobs.values():
            finding.expect(
                is_linearizable(JobModel(), job.operations),
                f"no sequential order explains the answers about {job.job_id or job.key}",
            )
        return finding


class JobModel:
    """Sequential job: its state only moves on, and the number of final items only rises.

    Completion and expiry happen by themselves, so a read may find them.
    """

    def initial(self) -> JobModelState:
        """Return a job that nobody opened."""
        return ABSENT, 0

    def step(
        self, state: JobModelState, operation: Operation[JobRequest, JobAnswer]
    ) -> Iterable[JobModelState]:
        """Return the state after an operation, or nothing when its answer contradicts."""
        current, final_items = state
        answer = operation.answer
        if answer is None:
            yield self._act(current, operation.request.action), final_items
            return
        if answer.final_items < final_items:
            return
        after = self._act(current, operation.request.action)
        if _may_become(after, answer.state):
            yield answer.state, answer.final_items

    def _act(self, current: str, action: str) -> str:
        if action == JobAction.OPEN and current == ABSENT:
            return JobState.OPEN
        if action == JobAction.ACCEPT and current == JobState.OPEN:
            return JobState.ACCEPTED
        if action == JobAction.CANCEL and current in (JobState.OPEN, JobState.ACCEPTED):
            return JobState.CANCELLED
        return current


def _may_become(current: str, observed: str) -> bool:
    if current == observed:
        return True
    by_itself = observed in (JobState.COMPLETED, JobState.EXPIRED)
    return by_itself and _RANK[current] in (1, 2)


def _allowed_states(job: JobRecord) -> frozenset[ItemState]:
    allowed = {ItemState.DONE}
    if not job.may_repeat:
        allowed.add(ItemState.UNKNOWN)
    if job.cancel_sent_s < NEVER_S:
        allowed.add(ItemState.CANCELLED)
    if job.final_state is JobState.EXPIRED:
        allowed.add(ItemState.EXPIRED)
    return frozenset(allowed & FINAL_ITEM_STATES)
