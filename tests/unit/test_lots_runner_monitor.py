"""The monitor shows why items do not run, in metrics and log lines."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable, Iterator
from random import Random

import pytest
from loguru import logger
from prometheus_client import REGISTRY
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_item_queue import item
from tests.unit.test_lots_runner import OneStore, submit

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import runner_monitor as monitor_module
from leverjunction.lots.item_lines import FREQUENT_LINES, INTERVAL_S
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.item_status import ServiceAvailability
from leverjunction.lots.run_trace import RunEnd
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.runner_monitor import (
    LOG_AFTER_S,
    MAX_CPU_SHARE,
    RunnerMonitor,
    RunnerSnapshot,
)
from leverjunction.platform.headers import PlatformDialect
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.routes import RouteClass, RouteIndex, RouteTable
from testbed.routed import SERVICE, RunnerStandIn, make_route, make_table

Line = dict[str, object]
ROUTED = make_table(make_route(RouteClass.BATCH, max_attempts=3), version=7)


def metric(name: str, **labels: str) -> float:
    return REGISTRY.get_sample_value(name, labels) or 0.0


def shows_open(reason: str, count: int) -> Callable[[], bool]:
    return lambda: metric("lots_open_items", reason=reason) == count


class LineCapture:
    """The JSON lines written so far."""

    def __init__(self, capfd: pytest.CaptureFixture[str]) -> None:
        self._capfd = capfd
        self._text = ""

    def lines(self, event: str) -> list[Line]:
        self._text += self._capfd.readouterr().out
        found = [json.loads(line) for line in self._text.splitlines() if line.startswith('{"event')]
        return [line for line in found if line["event"] == event]

    def wait(self, event: str, count: int = 1) -> list[Line]:
        wait_until(lambda: len(self.lines(event)) >= count)
        return self.lines(event)


@pytest.fixture
def captured(capfd: pytest.CaptureFixture[str]) -> LineCapture:
    return LineCapture(capfd)


@pytest.fixture
def log_lines() -> Iterator[list[str]]:
    """Plain log lines, with their level."""
    written: list[str] = []
    handler = logger.add(lambda message: written.append(str(message)), format="{level} {message}")
    yield written
    logger.remove(handler)


@pytest.fixture
def store() -> OneStore:
    return OneStore()


@pytest.fixture
def back_end() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1", usual="stream") as runner:
        yield runner


@pytest.fixture
def is_fast(monkeypatch: pytest.MonkeyPatch) -> None:
    """Monitors are updated often, and log soon."""
    monkeypatch.setattr(monitor_module, "UPDATE_INTERVAL_S", 0.1)
    monkeypatch.setattr(monitor_module, "LOG_AFTER_S", 0.6)


@pytest.fixture
def runner(store: OneStore, is_fast: None) -> Iterator[LotsRunner]:
    """A runner without a registry snapshot, whose monitor is updated often."""
    made = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
    store.runner = made
    made.start()
    yield made
    made.stop()


def registry(table: RouteTable, *back_ends: RunnerStandIn, slots: int = 8) -> Snapshot:
    records = tuple(
        RunnerRecord(runner_id="i-1", service=SERVICE, address=each.address, zone="z", slots=slots)
        for each in back_ends
    )
    return Snapshot(table, FleetView(revision=1, runners=records))


def test_no_table(
    store: OneStore, runner: LotsRunner, captured: LineCapture, log_lines: list[str]
) -> None:
    submit(store, 3)
    wait_until(shows_open("no_table", 3))
    lines = captured.wait("waits", 3)
    assert {(line["lot"], line["item"], line["reason"]) for line in lines} == {
        ("lot", f"item-{number}", "no_table") for number in range(3)
    }
    assert all(int(str(line["quiet_ms"])) >= 600 for line in lines)
    (taken,) = captured.lines("lot_taken_in")
    assert (taken["items"], taken["count"], taken["term"]) == (
        ["item-0", "item-1", "item-2"],
        3,
        1,
    )
    assert "WARNING 3 open items are waiting: no route table yet\n" in log_lines
    assert metric("lots_oldest_open_seconds") > 0.5


def test_no_route(
    store: OneStore, runner: LotsRunner, back_end: RunnerStandIn, captured: LineCapture
) -> None:
    elsewhere = make_table(make_route(RouteClass.BATCH, prefix="/elsewhere/"), version=9)
    runner.set_registry(registry(elsewhere, back_end))
    submit(store, 1)
    wait_until(shows_open("no_route", 1))
    (line,) = captured.wait("waits")
    assert (line["reason"], line["table"]) == ("no_route", 9)


def test_no_back_end(store: OneStore, runner: LotsRunner, captured: LineCapture) -> None:
    runner.set_registry(registry(ROUTED))
    submit(store, 1)
    wait_until(shows_open("no_back_end", 1))
    (line,) = captured.wait("waits")
    assert (line["reason"], line["service"], line["figure"]) == ("no_back_end", SERVICE, 0)


def test_no_room_and_then_room(
    store: OneStore, runner: LotsRunner, back_end: RunnerStandIn, captured: LineCapture
) -> None:
    back_end.online = 8
    runner.set_registry(registry(ROUTED, back_end))
    submit(store, 1)
    wait_until(shows_open("no_room", 1))
    (line,) = captured.wait("waits")
    assert (line["reason"], line["figure"], line["table"]) == ("no_room", 0, 7)
    assert "0 free at the best back end; 1 back ends, 1 not ejected, 1 with recent load" in str(
        line["detail"]
    )
    back_end.online = 0
    wait_until(lambda: "item-0" in store.results())
    (moved,) = captured.wait("moves_on")
    assert (moved["item"], moved["detail"]) == ("item-0", "was no_room")
    wait_until(lambda: metric("lots_oldest_open_seconds") == 0)


def test_a_store_in_doubt_of_the_registry_says_so(
    store: OneStore, back_end: RunnerStandIn, captured: LineCapture, is_fast: None
) -> None:
    """The items were reported as waiting for their turn, and nothing said for what."""
    doubts = [True]
    runner = LotsRunner(
        store, "z", PlatformDialect(), SystemClock(), Random(1), is_in_doubt=lambda: doubts[0]
    )
    store.runner = runner
    runner.start()
    try:
        runner.set_registry(registry(ROUTED, back_end))
        submit(store, 1)
        wait_until(shows_open("in_doubt", 1))
        (line,) = captured.wait("waits")
        assert line["reason"] == "in_doubt"
        doubts[0] = False
        wait_until(lambda: "item-0" in store.results())
    finally:
        runner.stop()


def test_a_run_that_sends_nothing_more(
    store: OneStore, runner: LotsRunner, back_end: RunnerStandIn, captured: LineCapture
) -> None:
    back_end.usual = "stream that stops"
    runner.set_registry(registry(ROUTED, back_end))
    starts = metric("lots_run_starts_total")
    submit(store, 1)
    wait_until(shows_open("runs", 1))
    (line,) = captured.wait("waits")
    assert (line["reason"], line["runner_id"], line["runs"], line["events"]) == (
        "runs",
        "i-1",
        1,
        1,
    )
    assert int(str(line["since_ms"])) >= int(str(line["quiet_ms"])) >= 600
    assert metric("lots_run_starts_total") == starts + 1


def test_a_result_that_is_not_recorded(
    store: OneStore,
    runner: LotsRunner,
    back_end: RunnerStandIn,
    captured: LineCapture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    submit(store, 1)
    taking = store.propose
    refusal = Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no quorum",
        step=Step.APPLYING,
        execution=Execution.NOT_RUN,
    )
    monkeypatch.setattr(store, "propose", lambda _command, _timeout_s: refusal)
    runner.set_registry(registry(ROUTED, back_end))
    wait_until(shows_open("result_waits", 1))
    assert metric("lots_records_waiting") == 1
    (line,) = captured.wait("waits")
    assert (line["reason"], line["detail"]) == ("result_waits", "no quorum")
    assert int(str(line["tries"])) >= 2
    assert metric("lots_records_total", result="no_quorum") >= 2
    monkeypatch.setattr(store, "propose", taking)
    (recorded,) = captured.wait("recorded")
    assert (recorded["item"], recorded["detail"]) == ("item-0", "done")
    assert int(str(recorded["tries"])) > int(str(line["tries"]))


def test_a_command_that_raises_is_counted(
    store: OneStore,
    runner: LotsRunner,
    back_end: RunnerStandIn,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    submit(store, 1)
    before = metric("lots_records_total", result="raised")

    def raising(_command: bytes, _timeout_s: float) -> bytes:
        raise OSError("the disk")

    monkeypatch.setattr(store, "propose", raising)
    runner.set_registry(registry(ROUTED, back_end))
    wait_until(lambda: metric("lots_records_total", result="raised") > before)


def test_a_command_that_never_returns_is_seen(
    store: OneStore,
    runner: LotsRunner,
    back_end: RunnerStandIn,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    submit(store, 1)
    monkeypatch.setattr(store, "propose", lambda _command, _timeout_s: time.sleep(1.5))
    runner.set_registry(registry(ROUTED, back_end))
    wait_until(lambda: metric("lots_record_under_way_seconds") > 0.8)
    assert metric("lots_records_waiting") == 1


@pytest.mark.parametrize(
    ("behaviour", "end"),
    [
        ("stream cut in an event", RunEnd.CUT),
        ("reset", RunEnd.NOT_ANSWERED),
        ("not run", RunEnd.REFUSED),
        ("fault", RunEnd.FAILED),
    ],
)
def test_an_incomplete_run_has_a_line(
    store: OneStore,
    runner: LotsRunner,
    back_end: RunnerStandIn,
    captured: LineCapture,
    behaviour: str,
    end: RunEnd,
) -> None:
    back_end.then(behaviour)
    done = metric("lots_runs_total", end="done")
    runner.set_registry(registry(ROUTED, back_end))
    submit(store, 1)
    wait_until(lambda: "item-0" in store.results())
    (ended,) = captured.wait("run_ended")
    assert (ended["item"], ended["runner_id"], ended["reason"]) == ("item-0", "i-1", end.value)
    assert captured.wait("run_started")[0]["runs"] == 2
    # The run with the complete response is only counted.
    wait_until(lambda: metric("lots_runs_total", end="done") == done + 1)
    assert len(captured.lines("run_ended")) == 1


def test_a_store_logs_when_it_gains_and_loses_leadership(
    store: OneStore, log_lines: list[str], runner: LotsRunner, back_end: RunnerStandIn
) -> None:
    wait_until(
        lambda: any("running the items of jobs-0 in term 1: 0 open" in line for line in log_lines)
    )
    store.role = "follower"
    runner.changed()
    wait_until(
        lambda: any("no longer running items: follower in term 1" in line for line in log_lines)
    )
    submit(store, 2)
    back_end.online = 8
    runner.set_registry(registry(ROUTED, back_end))
    store.role = "leader"
    gained_again = (
        "INFO running the items of jobs-0 in term 1: 2 open in 1 lots, route table 7,"
        " 1 back ends known\n"
    )
    wait_until(lambda: gained_again in log_lines)
    wait_until(shows_open("no_room", 2))
    store.role = "follower"
    wait_until(shows_open("no_room", 0))


class _ManualClock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic_s(self) -> float:
        return self.now_s

    def wall_ms(self) -> int:
        return round(self.now_s * 1000)


class _EndedTask:
    """A task that has ended."""

    def done(self) -> bool:
        return True


class MonitorFixture:
    """A monitor of items that the test sets up, updated once a second."""

    def __init__(self, names: list[str], known: list[str]) -> None:
        self.clock = _ManualClock()
        self.monitor = RunnerMonitor(self.clock)
        self.runs = {run.key: run for run in (ItemRun(item(name)) for name in known)}
        self.keys = {("lot", name) for name in names}
        self.error: Exception | None = None
        self.status = _leader_status()
        self.hold_end_s: float | None = None
        self.service = ServiceAvailability(
            known=1, not_ejected=1, with_recent_load=1, allowance=4, free=4
        )

    def update(self, seconds: int = 1) -> None:
        for _ in range(seconds):
            self.clock.now_s += 1.0
            self.monitor.update(self.snapshot)

    def snapshot(self) -> RunnerSnapshot:
        return RunnerSnapshot(
            status=self.status,
            index=RouteIndex(ROUTED),
            back_ends=1,
            runs=self.runs,
            service=lambda _name: self.service,
            has_result=lambda _run: False,
            pending_results=0,
            open_keys=self._open_keys,
            hold_end_s=lambda _run: self.hold_end_s,
        )

    def _open_keys(self) -> set[ItemKey]:
        if self.error is not None:
            raise self.error
        return self.keys


def _leader_status() -> GroupStatus:
    return OneStore().status()


def test_an_item_that_the_runner_does_not_know_is_found(captured: LineCapture) -> None:
    fixture = MonitorFixture(["a", "lost"], ["a"])
    fixture.update(4)
    assert shows_open("not_taken_in", 0)()
    fixture.update(4)
    assert shows_open("not_taken_in", 1)()
    lines = captured.wait("waits", 2)
    assert [line["item"] for line in lines if line["reason"] == "not_taken_in"] == ["lost"]
    fixture.keys.discard(("lot", "lost"))
    fixture.update(5)
    assert shows_open("not_taken_in", 0)()


def test_a_group_that_cannot_be_read_is_logged_once_and_the_metrics_go_on(
    log_lines: list[str],
) -> None:
    fixture = MonitorFixture(["a"], ["a"])
    fixture.error = OSError("the disk")
    fixture.update(12)
    assert shows_open("waits_turn", 1)()
    fixture.error = None
    fixture.update(6)
    assert [line for line in log_lines if "the open items" in line] == [
        "WARNING the open items cannot be read: OSError('the disk')\n",
        "INFO the open items can be read again\n",
    ]


def test_a_task_that_ended_without_cleanup_stalls_the_store(
    captured: LineCapture, log_lines: list[str]
) -> None:
    """An incident was suspected to have ended in this state."""
    fixture = MonitorFixture(["a"], ["a"])
    ended_task: asyncio.Task[None] = _EndedTask()  # type: ignore[assignment]
    fixture.runs["lot", "a"].task = ended_task
    fixture.update(1)
    assert shows_open("pauses", 1)(), "a moment before its callback nothing is wrong"
    fixture.update(7)
    assert shows_open("task_left", 1)()
    assert metric("lots_stalled") == 1
    assert [line for line in log_lines if "stalled" in line] == [
        "WARNING stalled: 1 open items, capacity for 4 runs, no run started for 3.0 s,"
        " nothing recorded for 3.0 s; 1 task_left\n"
    ]
    (line,) = captured.wait("waits")
    assert (line["item"], line["reason"]) == ("a", "task_left")
    fixture.runs.clear()
    fixture.update()
    assert metric("lots_stalled") == 0
    assert "INFO no longer stalled, after 8.0 s: 0 open\n" in log_lines


def test_hundreds_of_items_have_few_lines(captured: LineCapture) -> None:
    names = [f"n{number}" for number in range(300)]
    fixture = MonitorFixture(names, names)
    fixture.service = ServiceAvailability(known=1, not_ejected=1, with_recent_load=1)
    fixture.update(round(LOG_AFTER_S) + 2)
    time.sleep(0.3)
    assert shows_open("no_room", 300)()
    assert len(captured.lines("waits")) == FREQUENT_LINES
    fixture.update(round(INTERVAL_S))
    (left_out,) = captured.wait("left_out")
    assert (left_out["reason"], left_out["count"]) == ("waits no_room", 300 - FREQUENT_LINES)


def test_updates_that_take_long_are_less_frequent() -> None:
    """With 100 000 open items, updates would otherwise take much of the event loop's time."""
    fixture = MonitorFixture(["a"], ["a"])
    updated_s: list[float] = []

    def slow() -> RunnerSnapshot:
        updated_s.append(fixture.clock.now_s)
        until_s = time.thread_time() + 4.5 * MAX_CPU_SHARE
        while time.thread_time() < until_s:
            pass
        return fixture.snapshot()

    for _ in range(20):
        fixture.clock.now_s += 1.0
        fixture.monitor.update(slow)
    pauses = [after - before for before, after in itertools.pairwise(updated_s)]
    assert min(pauses) >= 5.0
    assert len(updated_s) >= 2


def test_an_error_of_the_monitor_is_suppressed(log_lines: list[str]) -> None:
    fixture = MonitorFixture(["a"], ["a"])
    before = metric("lots_sight_faults_total")
    fixture.runs["lot", "a"].item = None  # type: ignore[assignment]
    fixture.update(2)
    assert metric("lots_sight_faults_total") == before + 2
    assert sum("its errors are suppressed" in line for line in log_lines) <= 1
