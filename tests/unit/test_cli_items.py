"""An operator finds out of one item why it does not run, at any store."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest
from tests.unit.seeded_support import SeededFleet, wait_until
from tests.unit.test_crashing_requests import run
from tests.unit.test_lots_runner import OneStore, submit
from tests.unit.test_lots_state_machine import submit as make_lot

from leverjunction.cli.output import ExitCode
from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure
from leverjunction.lots.commands import LotAccepted, encode_command
from leverjunction.lots.item_report import LOOP_TIMEOUT_S, ItemsReport, ReadItems
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.wait_ends import WHAT_ENDS
from leverjunction.platform.headers import PlatformDialect
from leverjunction.registry.records import JOBS_GROUP
from leverjunction.wire.codec import decode_reply
from leverjunction.wire.envelope import MessageKind


@pytest.fixture
def store() -> OneStore:
    return OneStore()


@pytest.fixture
def runner(store: OneStore) -> Iterator[LotsRunner]:
    runner = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    store.runner = runner
    runner.start()
    wait_until(lambda: has_started(runner))
    yield runner
    runner.stop()


def has_started(runner: LotsRunner) -> bool:
    return not isinstance(runner.report_items(ReadItems()), Failure)


def reported(runner: LotsRunner, item_id: str = "") -> ItemsReport:
    report = runner.report_items(ReadItems(item_id=item_id))
    assert isinstance(report, ItemsReport), report
    return report


def test_the_leader_reports_an_item_and_what_ends_its_wait(
    store: OneStore, runner: LotsRunner
) -> None:
    submit(store, 3)
    wait_until(lambda: "3 no_table" in reported(runner).summary)
    wait_until(lambda: all(line.since_ms for line in reported(runner).items))
    report = reported(runner)
    assert (report.open_items, report.no_leader_s, len(report.items)) == (3, None, 3)
    (line,) = reported(runner, "item-1").items
    assert (line.lot, line.item, line.reason) == ("lot", "item-1", "no_table")
    assert line.ends == WHAT_ENDS["no_table"]
    assert not reported(runner, "item-9").items


def test_a_store_without_a_leader_reports_the_items_that_it_has(
    store: OneStore, runner: LotsRunner
) -> None:
    submit(store, 2)
    store.role = "candidate"
    wait_until(lambda: (reported(runner).no_leader_s or 0.0) > 0.0)
    report = reported(runner)
    assert (report.role, report.open_items, report.summary) == ("candidate", 2, "")
    assert {line.reason for line in report.items} == {"no_leader"}


def test_a_runner_whose_loop_has_not_started_is_reported(
    store: OneStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    runner = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    store.runner = runner
    may_start = threading.Event()
    run_loop = runner._thread._target  # type: ignore[attr-defined]
    held = threading.Thread(target=lambda: may_start.wait() and run_loop(), daemon=True)
    monkeypatch.setattr(runner, "_thread", held)
    runner.start()
    failure = runner.report_items(ReadItems())
    assert isinstance(failure, Failure)
    assert "event loop of the lots runner has not started" in failure.reason
    assert failure.execution is Execution.NOT_RUN
    may_start.set()
    wait_until(lambda: has_started(runner))
    runner.stop()


def test_a_loop_that_hangs_is_reported(store: OneStore, runner: LotsRunner) -> None:
    assert runner._loop is not None
    runner._loop.call_soon_threadsafe(time.sleep, LOOP_TIMEOUT_S + 1.0)
    failure = runner.report_items(ReadItems())
    assert isinstance(failure, Failure)
    assert "event loop of the lots runner did not answer within" in failure.reason


def test_a_runner_that_has_stopped_is_reported(store: OneStore, runner: LotsRunner) -> None:
    runner.stop()
    failure = runner.report_items(ReadItems())
    assert isinstance(failure, Failure)
    assert "event loop of the lots runner failed" in failure.reason


def test_an_operator_asks_any_store(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    fleet = SeededFleet(tmp_path)
    try:
        for number in (1, 2, 3):
            fleet.start_control(number)
            fleet.start_store(number)
        wait_until(lambda: any(node.host.leads(JOBS_GROUP) for node in fleet.stores.values()))
        node = fleet.stores["store-2"]

        def accepted() -> bool:
            command = encode_command(make_lot("a", "b"))
            raw = node.host.call(MessageKind.PROPOSE, JOBS_GROUP, command, 1.0)
            return isinstance(raw, bytes) and decode_reply(raw, LotAccepted) == LotAccepted("lot")

        wait_until(accepted)
        for number in (1, 2, 3):
            control = f"--control={fleet.store_address(number)}"
            wait_until(lambda control=control: run("items", "why", "a", control) == ExitCode.OK)
            capsys.readouterr()
            assert run("items", "open", "--json", control) == ExitCode.OK
            output = capsys.readouterr()
            report, _ = json.JSONDecoder().raw_decode(output.out[output.out.index("{\n") :])
            assert {line["item"] for line in report["items"]} == {"a", "b"}
            assert "leads jobs-0 in term" in output.err
        assert run("items", "why", "c", control) == ExitCode.FAILED
        (last, *others) = list(fleet.stores)
        for name in others:
            fleet.stores.pop(name).stop()
        control = f"--control={fleet.store_address(int(last[-1]))}"
        outputs = ["", ""]

        def is_without_leader() -> bool:
            code = run("items", "why", "a", control)
            outputs[:] = capsys.readouterr()
            return code == ExitCode.UNREACHABLE and "no_leader" in outputs[0]

        wait_until(is_without_leader)
        assert "no store that answered knows a leader of jobs-0" in outputs[1]
    finally:
        fleet.stop()
