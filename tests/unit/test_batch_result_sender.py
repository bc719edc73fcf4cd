"""Tests of sending outcomes to the job groups."""

from __future__ import annotations

import threading
from typing import TypeVar

import msgspec
from tests.unit.batch_support import WAIT_S

from leverjunction.batch.commands import (
    CompletedItems,
    CompleteItems,
    ItemResult,
    ItemState,
    LostRunner,
    ProvenRun,
)
from leverjunction.batch.result_sender import ResultSenders
from leverjunction.errors import Execution, Failure, FailureKind, Step

T = TypeVar("T")
RESULT = ItemResult(
    job_id="j", index=0, attempt=1, state=ItemState.DONE, status_code=200, body="{}"
)


class StuckGroupControl:
    """Control client whose group "stuck" does not answer until ``answer`` is set."""

    def __init__(self) -> None:
        self.answer = threading.Event()

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        if group == "stuck":
            assert self.answer.wait(WAIT_S)
        return reply_type(accepted=1, discarded=0, cancelled_jobs=[])

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        raise AssertionError("no query is expected")


def test_a_group_that_does_not_answer_does_not_delay_others() -> None:
    control = StuckGroupControl()
    committed: list[str] = []
    changed = threading.Condition()

    def record_commit(lease_id: str, _results: list[ItemResult], _reply: CompletedItems) -> None:
        with changed:
            committed.append(lease_id)
            changed.notify_all()

    senders = ResultSenders(control, record_commit)
    senders.put("stuck", "lease-1", RESULT)
    senders.put("well", "lease-2", RESULT)
    with changed:
        assert changed.wait_for(lambda: "lease-2" in committed, WAIT_S)
    assert senders.pending() == 1
    control.answer.set()
    senders.stop(WAIT_S)
    assert committed == ["lease-2", "lease-1"]
    assert senders.pending() == 0


def test_unexpected_error_while_sending_loses_no_outcome() -> None:
    class FailingOnceControl(StuckGroupControl):
        faults = 1

        def propose(
            self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
        ) -> T | Failure:
            if self.faults:
                self.faults -= 1
                raise RuntimeError("a fault of the program")
            return super().propose(group, command, reply_type, timeout_s)

    committed = threading.Event()
    senders = ResultSenders(FailingOnceControl(), lambda _lease, _results, _reply: committed.set())
    senders.put("well", "lease", RESULT)
    assert committed.wait(WAIT_S)
    senders.stop(WAIT_S)


class RecordingControl(StuckGroupControl):
    """Control client that fails the first proposal after it was applied, and keeps all."""

    def __init__(self) -> None:
        super().__init__()
        self.commands: list[msgspec.Struct] = []

    def propose(
        self, group: str, command: msgspec.Struct, reply_type: type[T], timeout_s: float = 5.0
    ) -> T | Failure:
        self.commands.append(command)
        if len(self.commands) == 1:
            return Failure(
                kind=FailureKind.TIMEOUT,
                reason="no answer",
                step=Step.PROPOSING,
                execution=Execution.NOT_RUN,
            )
        return super().propose(group, command, reply_type, timeout_s)


def test_reports_are_sent_with_the_outcomes_and_again_after_a_lost_reply() -> None:
    control = RecordingControl()
    lost = LostRunner(job_id="j", runner_id="r", incarnation=1, is_alone=True)
    proven = ProvenRun(job_id="j", index=1, attempt=1)
    senders = ResultSenders(control, lambda *_args: None)
    for item in (lost, RESULT, proven):
        senders.put("well", "l", item)
    senders.stop(WAIT_S)
    assert senders.pending() == 0
    command = CompleteItems("l", [RESULT], lost_runners=[lost], proven_runs=[proven])
    assert set(map(msgspec.json.encode, control.commands)) == {msgspec.json.encode(command)}
    assert len(control.commands) == 2
