"""Tests of the reports of crashed runs while control processes are silent."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from seeded_support import wait_until
from silent_peer import AnsweringPeer, SilentPeer

from leverjunction.clock import SystemClock
from leverjunction.quarantine.records import EndedRun
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.commands import Done, ReportRuns
from leverjunction.registry.run_reporter import CALL_TIMEOUT_S, RunReporter
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient


class Control:
    """Stand-in of a control process that accepts reports.

    Attributes:
        reported: Keys of the runs that were reported.
    """

    def __init__(self) -> None:
        self.reported: list[str] = []
        self._lock = threading.Lock()

    def answer(self, envelope: Envelope) -> bytes:
        report = decode(envelope.body, ReportRuns)
        assert isinstance(report, ReportRuns)
        with self._lock:
            self.reported += [run.key for run in report.ended]
        return encode_reply(Done())


def run(number: int) -> EndedRun:
    return EndedRun(key=f"key-{number}", start=f"runner-{number}:1")


@contextmanager
def reporting(hubs: list[str]) -> Iterator[RunReporter]:
    reporter = RunReporter(RpcClient(CLUSTER_KEY, 1), lambda: hubs, SystemClock())
    reporter.start()
    try:
        yield reporter
    finally:
        reporter.stop()


def test_a_silent_control_process_delays_one_report_only(paused_s: Callable[[], float]) -> None:
    """Guards against reports of crashes that wait for the same silent process one by one.

    The failure: each report waited 1.2 s for the first control process of the list, which stood
    still. Meanwhile other gateways sent the crashing request to further back ends.
    """
    control = Control()
    with (
        SilentPeer() as silent,
        AnsweringPeer(control.answer, (MessageKind.PROPOSE,)) as answering,
        reporting([silent.address, answering.address]) as reporter,
    ):
        reporter.ended(run(0))
        wait_until(lambda: len(control.reported) == 1)
        for number in (1, 2, 3):
            started_s, paused_before_s = time.monotonic(), paused_s()
            reporter.ended(run(number))
            wait_until(lambda count=number + 1: len(control.reported) == count)  # type: ignore[misc]
            took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
            assert took_s < CALL_TIMEOUT_S / 2


def test_crashes_are_reported_after_an_error() -> None:
    """One error ended the reporter's thread, and no crash that was seen here was told any more."""
    control = Control()
    asked: list[bool] = []

    with AnsweringPeer(control.answer, (MessageKind.PROPOSE,)) as answering:

        def hubs() -> list[str]:
            asked.append(True)
            if len(asked) == 1:
                raise RuntimeError("not now")
            return [answering.address]

        reporter = RunReporter(RpcClient(CLUSTER_KEY, 1), hubs, SystemClock())
        reporter.start()
        reporter.ended(run(0))
        wait_until(lambda: control.reported == ["key-0"])
        reporter.stop()
