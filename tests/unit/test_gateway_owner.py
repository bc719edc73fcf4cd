"""Poll intervals of owned runners: busy runners are polled always, idle ones less often."""

from __future__ import annotations

import random

import pytest

from leverjunction.backends.types import LoadReport
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.exchange import DigestOutbox
from leverjunction.gateway.owner import RunnerPoller
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.gateway.view import ClusterView
from leverjunction.wire.messages import RunnerState

RUNNER = RunnerState(runner_id="e1", address="a", zone="z1", service="llm")
UNREACHABLE = Failure(
    kind=FailureKind.UNREACHABLE, reason="", step=Step.CONNECTING, execution=Execution.NOT_RUN
)


def report(running: int = 0, waiting: int = 0) -> LoadReport:
    return LoadReport(
        as_of_ms=1,
        incarnation=1,
        running=running,
        waiting=waiting,
        batch_running=0,
        batch_waiting=0,
        kv_blocks_used=0,
        kv_blocks_total=1,
        step_ms=1.0,
    )


class StubEngines:
    def __init__(self) -> None:
        self.answer: LoadReport | Failure = report()

    def load(self, _address: str, _timeout_s: float) -> LoadReport | Failure:
        return self.answer


class StubFeed:
    def update(self, _owned: list[RunnerState]) -> None:
        return None


@pytest.mark.parametrize(
    ("answer", "has_batch", "open_sends", "is_due"),
    [
        (report(), False, 0, False),
        (report(), True, 0, True),
        (report(), False, 1, True),
        (report(running=1), False, 0, True),
        (report(waiting=1), False, 0, True),
        (UNREACHABLE, False, 0, True),
    ],
)
def test_only_an_idle_runner_without_expected_work_is_polled_less_often(
    answer: LoadReport | Failure, has_batch: bool, open_sends: int, is_due: bool
) -> None:
    engines, view = StubEngines(), ClusterView()
    pool = RunnerPool(view, "z1", SystemClock(), random.Random(1))
    poller = RunnerPoller(
        engines,  # type: ignore[arg-type]
        view,
        pool,
        DigestOutbox(),
        lambda _runner_id, _report: None,
        StubFeed(),  # type: ignore[arg-type]
    )
    poller.update([RUNNER])
    assert poller._is_due("e1", False), "it was never polled"
    engines.answer = answer
    poller._poll(RUNNER)
    for number in range(open_sends):
        pool.record_send("e1", f"r.{number}", [])
    assert poller._is_due("e1", has_batch) is is_due
