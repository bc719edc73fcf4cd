"""The runner finishes items at back ends that misbehave, and each result is listed once."""

from __future__ import annotations

import asyncio
import os
import socket
import sqlite3
import threading
import time
from collections.abc import Iterator
from random import Random

import msgspec
import pytest
from tests.unit.seeded_support import wait_until

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import ApplyContext, GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import lost_runs
from leverjunction.lots.batch_capacity import RunnerCapacity
from leverjunction.lots.commands import (
    EndLot,
    ItemProgress,
    LotItem,
    LotQuery,
    OpenItems,
    ReadOpenItems,
    ReadOpenKeys,
    ReadProgress,
    ReadResults,
    RecordedProgress,
    RecordRuns,
    ResultsPage,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.online_loads import OnlineLoads
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.origins import StreamOrigin
from leverjunction.registry.records import FleetView, RunnerRecord
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply, encode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind, encode_envelope
from testbed.routed import HOST, SERVICE, RunnerStandIn, make_route, make_table
from testbed.routed.behaviours import BEHAVIOURS
from testbed.routed.exchange import Exchange
from testbed.routed.silent_path import SilentPath

HOST_IP = f"127.{20 + (os.getpid() >> 8) % 200}.{os.getpid() & 255}.253"
"""Loopback address of this process alone, so that no datagram for another test's runner arrives
here.
"""

UDP_PORT = 19083
QUERIES = msgspec.json.Decoder(LotQuery)
QUERY_FAILED = Failure(
    kind=FailureKind.INTERNAL, reason="not now", step=Step.QUERYING, execution=Execution.NOT_RUN
)
WHOLE_TEXT = "\n".join(f"event {number}" for number in range(1, 6))


class OneStore:
    """A group of one replica, without a log."""

    def __init__(self) -> None:
        self.role = "leader"
        self.runner: LotsRunner | None = None
        self.commit_s = 0.0
        self.slow_commits = 0
        self.failing: dict[type[msgspec.Struct], int] = {}
        """Number of the next queries of a type that fail."""
        self._lock = threading.Lock()
        self._machine = LotsStateMachine()
        self._connection = sqlite3.connect(":memory:", check_same_thread=False)
        self._machine.create_tables(self._connection)
        self._index = 0

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        if self.commit_s:
            self.slow_commits += 1
            time.sleep(min(self.commit_s, timeout_s))
        with self._lock:
            self._index += 1
            wall_ms = SystemClock().wall_ms()
            context = ApplyContext(index=self._index, term=1, wall_ms=wall_ms)
            reply = self._machine.apply(self._connection, context, command)
        if self.runner is not None:
            self.runner.changed()
        return reply

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        return self.query_local(query)

    def query_local(self, query: bytes) -> bytes:
        kind = type(QUERIES.decode(query))
        if self.failing.get(kind, 0):
            self.failing[kind] -= 1
            return encode_reply(QUERY_FAILED)
        with self._lock:
            return self._machine.query(self._connection, query)

    def status(self) -> GroupStatus:
        return GroupStatus(
            group="jobs-0",
            replica_id="r",
            role=self.role,
            term=1,
            leader_address="",
            commit_index=self._index,
            applied_index=self._index,
            voters=[],
            learners=[],
            leader_contact_age_s=0.0,
        )

    def results(self, lot: str = "lot") -> dict[str, tuple[str, str]]:
        """Return state and text of each listed item; fail if an item is listed twice."""
        page = decode_reply(self.query_local(encode(ReadResults(lot, 0, 10**6))), ResultsPage)
        assert isinstance(page, ResultsPage)
        listed = {item.item_id: (item.state.value, item.text) for item in page.results}
        assert len(listed) == len(page.results)
        return listed

    def progress(self) -> RecordedProgress | Failure:
        """Return what the group has recorded of the first item."""
        return decode_reply(
            self.query_local(encode(ReadProgress("lot", "item-0"))), RecordedProgress
        )


@pytest.fixture
def store() -> OneStore:
    return OneStore()


@pytest.fixture
def back_end() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1", usual="stream") as runner:
        yield runner


@pytest.fixture
def runner(store: OneStore, back_end: RunnerStandIn) -> Iterator[LotsRunner]:
    runner = LotsRunner(
        store, "z", PlatformDialect(), SystemClock(), Random(1), datagrams=f"{HOST_IP}:{UDP_PORT}"
    )
    store.runner = runner
    record = RunnerRecord(
        runner_id="i-1", service=SERVICE, address=back_end.address, zone="z", slots=8
    )
    table = make_table(make_route(RouteClass.BATCH, max_attempts=3))
    runner.set_registry(Snapshot(table, FleetView(revision=1, runners=(record,))))
    runner.start()
    yield runner
    runner.stop()


def submit(store: OneStore, count: int, lot_id: str = "lot") -> list[str]:
    names = [f"item-{number}" for number in range(count)]
    lot = SubmitLot(
        lot_id=lot_id,
        host=HOST,
        path="/batch/lot",
        max_attempts=3,
        give_up_s=60.0,
        due_ms=20_000.0,
        items=tuple(
            LotItem(
                item_id=name, path=f"/batch/{name}", headers=(("X-A", "b"),), body=b"b", tokens=9
            )
            for name in names
        ),
    )
    store.propose(encode_command(lot), 1.0)
    return names


@pytest.mark.usefixtures("runner")
def test_all_items_are_done_whole(store: OneStore, back_end: RunnerStandIn) -> None:
    names = submit(store, 20)
    wait_until(lambda: len(store.results()) == 20)
    assert store.results() == {name: ("done", WHOLE_TEXT) for name in names}
    seen = back_end.seen[0]
    assert (seen.method, seen.headers["host"], seen.headers["x-a"]) == ("POST", HOST, "b")
    ids = sorted(run.headers["leverjunction-request-id"] for run in back_end.seen)
    assert ids == sorted(names)


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize(
    "behaviour",
    ["stream cut in an event", "reset", "no answer", "crossed", "not run", "no bytes of HTTP"],
)
def test_a_run_that_breaks_is_continued(
    store: OneStore, back_end: RunnerStandIn, behaviour: str
) -> None:
    back_end.then(behaviour)
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    last = back_end.seen[-1].headers.get("last-event-id")
    assert last == ("1" if behaviour == "stream cut in an event" else None)


@pytest.mark.usefixtures("runner")
def test_a_run_whose_event_never_ends_is_continued(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    """The event was collected for as long as the back end sent, and its run held a slot."""

    async def endless_event(exchange: Exchange) -> None:
        exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
        exchange.data(exchange.events()[0] + b"data: ")
        while not exchange.is_gone():
            exchange.data(b"x" * 65536)
            await exchange.flush()
        raise ConnectionResetError

    BEHAVIOURS["endless event"] = endless_event
    back_end.then("endless event")
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    assert back_end.seen[-1].headers.get("last-event-id") == "1"


@pytest.mark.usefixtures("runner")
def test_items_whose_responses_are_lost_are_retried_soon(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    """Guards against items staying open for 10 s at each lost response.

    A back end runs an item, but the response, the rest of it or its end is lost while the
    connection stays open, here twice in a row for each item. Only silence on the connection was
    watched, for 10 s at each run because live runs may be silent; the back end's load samples, read
    ten times a second, showed fewer requests than the store had there and were not used. An item
    with one lost response took 10.6 s and two runs, whichever part was lost; with two in a row, 21
    s.
    """
    back_end.then(*["answer lost", "rest lost", "end lost"] * 2)
    names = submit(store, 3)
    whole = {name: ("done", WHOLE_TEXT) for name in names}
    wait_until(lambda: store.results() == whole, 9.0)


@pytest.mark.usefixtures("runner")
def test_an_item_whose_responses_are_lost_four_times_is_retried_soon(
    store: OneStore, back_end: RunnerStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Load samples end three of its runs, so that the fourth waits for silence. Limits are shorter.

    The silence that was accepted of the fourth run was eight times as long as of a first one: with
    the usual limits an item was done after 36 s, due in 20 s, and its back end was idle.
    """
    monkeypatch.setattr(lost_runs, "CONFIRM_S", 0.3)
    monkeypatch.setattr(lost_runs, "SETTLE_S", 0.2)
    monkeypatch.setattr(lost_runs, "MIN_SILENCE_S", 1.0)
    monkeypatch.setattr(lost_runs, "SILENCE_DUE_SHARE", 0.05)
    back_end.then(*["answer lost"] * (lost_runs.MAX_TRUSTED_ENDS + 1))
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)}, 7.0)
    assert len(back_end.seen) == lost_runs.MAX_TRUSTED_ENDS + 2


def test_an_item_on_a_kept_connection_that_went_silent_is_retried_soon(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    """Guards against a store trying one silent kept connection after the other.

    A store has run items at a back end and keeps its connections for the next ones; then all of
    these go silent for good, while new connections work. A run on such a connection was waited for
    10 s, and the next load sample and the next run took another silent one. A lot of one item
    stayed open for 10.6 s, and the back end saw only the last run of it.
    """
    with SilentPath(back_end.address) as path:
        runner = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
        store.runner = runner
        record = RunnerRecord(
            runner_id="i-1", service=SERVICE, address=path.address, zone="z", slots=8
        )
        table = make_table(make_route(RouteClass.BATCH, max_attempts=3))
        runner.set_registry(Snapshot(table, FleetView(revision=1, runners=(record,))))
        runner.start()
        try:
            submit(store, 8)
            wait_until(lambda: len(store.results()) == 8)
            path.silence()
            submit(store, 1, "next")
            wait_until(lambda: store.results("next") == {"item-0": ("done", WHOLE_TEXT)}, 5.0)
        finally:
            runner.stop()


@pytest.mark.usefixtures("runner")
def test_a_silent_run_that_is_alive_is_not_cut(store: OneStore, back_end: RunnerStandIn) -> None:
    """A preempted run is silent, but its back end reports it all the time."""
    back_end.then("stream with a pause")
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    assert len(back_end.seen) == 1


def test_a_run_that_has_ended_is_not_taken_for_lost(
    store: OneStore, back_end: RunnerStandIn, runner: LotsRunner
) -> None:
    """Guards against counting the pause before the next run as a run.

    Its back end seemed to have lost a run then, and another one was ended in its place.
    """
    back_end.usual = "not run"
    submit(store, 1)
    wait_until(lambda: len(back_end.seen) == 1)
    time.sleep(0.1)
    (run,) = runner._queue.runs.values()
    assert (run.task is not None, run.sent_s) == (True, None)


@pytest.mark.usefixtures("runner")
def test_a_run_that_hangs_is_ended_within_a_share_of_its_due_time(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    """The back end reports the run all the time, so only its silence shows that it hangs."""
    back_end.then("silent")
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)}, 6.0)
    assert back_end.seen[0].gone_after_s is not None


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize(("behaviour", "runs"), [("unprocessable", 1), ("fault", 3)])
def test_an_item_that_cannot_be_done_is_given_up(
    store: OneStore, back_end: RunnerStandIn, behaviour: str, runs: int
) -> None:
    back_end.usual = behaviour
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("dead", "")})
    time.sleep(0.5)
    assert len(back_end.seen) == runs


def test_a_parked_run_continues_where_it_stopped(
    store: OneStore, back_end: RunnerStandIn, runner: LotsRunner
) -> None:
    back_end.then("stream that stops")
    submit(store, 1)
    wait_until(lambda: len(back_end.seen) == 1)
    time.sleep(0.2)
    back_end.online = 8
    wait_until(lambda: back_end.seen[0].gone_after_s is not None, 2.0)
    time.sleep(0.6)
    assert len(back_end.seen) == 1
    back_end.online = 0
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    assert back_end.seen[-1].headers["last-event-id"] == "1"


def report_online(online: int) -> None:
    """Report online requests at the back end to the runner, as a gateway does."""
    report = OnlineLoads(gateway="g", whole=True, runners={"i-1": online}, held={})
    envelope = Envelope(kind=MessageKind.ONLINE_LOADS, incarnation=1, body=encode(report))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_envelope(envelope, CLUSTER_KEY), (HOST_IP, UDP_PORT))


@pytest.mark.usefixtures("runner")
def test_batch_yields_to_a_request_that_no_sample_shows_yet(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    """Guards against a request waiting behind batch until a load sample shows it."""
    back_end.usual = "stream that stops"
    report_online(0)
    submit(store, 8)
    wait_until(lambda: len(back_end.seen) >= 4)
    for _ in range(20):
        report_online(8)
        time.sleep(0.02)
    assert all(run.gone_after_s is not None for run in back_end.seen[:4])


class _UnsampledLoads:
    """Load of one back end, without any samples."""

    def __init__(self) -> None:
        self.capacity = RunnerCapacity(8)

    def capacity_at(self, _seat: TrackedRunner) -> RunnerCapacity:
        return self.capacity


def test_a_run_that_is_parked_before_its_first_step_is_run_again(store: OneStore) -> None:
    """Guards against an item that is never run again while its slot stays occupied.

    A gateway's report that is handled right after the start of a run cancels its task before the
    task's first step.
    """

    async def scenario() -> None:
        runner = LotsRunner(store, "z", PlatformDialect(), SystemClock(), Random(1))
        loads = _UnsampledLoads()
        runner._loads = loads  # type: ignore[assignment]
        runner._wake = asyncio.Event()
        submit(store, 1)
        opened = decode_reply(store.query_local(encode(ReadOpenItems())), OpenItems)
        assert isinstance(opened, OpenItems)
        run = ItemRun(opened.items[0])
        record = RunnerRecord(runner_id="i-1", service=SERVICE, address="a:1", zone="z", slots=8)
        runner._start(run, TrackedRunner(record))
        assert loads.capacity.own_runs == 1
        run.stop()
        await asyncio.sleep(0.05)
        assert (run.task, loads.capacity.own_runs) == (None, 0)
        assert runner._wake.is_set()

    asyncio.run(scenario())


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize("query", [ReadOpenKeys, ReadOpenItems])
def test_a_failed_read_of_the_open_items_is_repeated(
    store: OneStore, query: type[msgspec.Struct]
) -> None:
    """Guards against accepted items waiting until something else changes, or for good.

    A store becomes leader, its read of the open items or of one lot's items fails, and nothing else
    changes. The change was marked as read before the read: 15 s later the items were still unknown,
    with no log line and no request to a back end.
    """
    store.role = "follower"
    time.sleep(0.6)
    submit(store, 2)
    store.failing[query] = 1
    store.role = "leader"
    wait_until(lambda: len(store.results()) == 2)


@pytest.mark.usefixtures("runner")
def test_a_loop_that_fails_is_started_again(
    store: OneStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a store that remains leader and silently runs nothing.

    An error outside the event loop's step ends the loop's thread, and items are accepted later.
    Nothing started another loop or notified the process.
    """
    pause = LotsRunner._pause
    ended: list[bool] = []

    async def end_once(self: LotsRunner) -> None:
        if not ended:
            ended.append(True)
            raise OSError("outside the step")
        await pause(self)

    monkeypatch.setattr(LotsRunner, "_pause", end_once)
    wait_until(lambda: ended)
    submit(store, 2)
    wait_until(lambda: len(store.results()) == 2)


@pytest.mark.usefixtures("runner")
def test_batch_yields_while_a_commit_takes_long(store: OneStore, back_end: RunnerStandIn) -> None:
    back_end.then("stream that stops")
    submit(store, 1)
    store.commit_s = 1.5
    wait_until(lambda: store.slow_commits == 1)
    back_end.online = 8
    wait_until(lambda: back_end.seen[0].gone_after_s is not None, 0.8)


@pytest.mark.usefixtures("runner")
def test_an_ended_lot_frees_its_back_ends(store: OneStore, back_end: RunnerStandIn) -> None:
    back_end.usual = "stream that stops"
    submit(store, 3)
    wait_until(lambda: len(back_end.seen) == 3)
    store.propose(encode_command(EndLot("lot")), 1.0)
    wait_until(lambda: all(run.gone_after_s is not None for run in back_end.seen), 2.0)


@pytest.mark.usefixtures("runner")
def test_a_store_that_does_not_lead_runs_nothing(store: OneStore, back_end: RunnerStandIn) -> None:
    back_end.usual = "stream that stops"
    submit(store, 2)
    wait_until(lambda: len(back_end.seen) == 2)
    store.role = "follower"
    wait_until(lambda: all(run.gone_after_s is not None for run in back_end.seen), 2.0)
    time.sleep(0.6)
    assert len(back_end.seen) == 2


@pytest.mark.usefixtures("runner")
def test_the_next_leader_continues_the_runs(store: OneStore, back_end: RunnerStandIn) -> None:
    """Guards against each change of leader restarting all runs, at the cost of seconds of work."""
    back_end.then("stream that stops")
    submit(store, 1)
    began = RecordedProgress(1, "1", StreamOrigin(SERVICE, ""))
    wait_until(lambda: store.progress() == began)
    store.role = "follower"
    wait_until(lambda: back_end.seen[0].gone_after_s is not None, 2.0)
    store.role = "leader"
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    assert back_end.seen[-1].headers["last-event-id"] == "1"


@pytest.mark.usefixtures("runner")
def test_a_run_that_differs_from_the_group_continues_from_its_events(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    """A new leader may start runs before it has applied all that its predecessor recorded."""
    back_end.then("stream that stops")
    submit(store, 1)
    wait_until(lambda: len(back_end.seen) == 1)
    other = ItemProgress(
        lot_id="lot", item_id="item-0", start=0, count=2, last_id="2", text="event 1\nevent 2"
    )
    store.propose(encode_command(RecordRuns(progress=(other,))), 1.0)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    assert back_end.seen[-1].headers["last-event-id"] == "2"


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize(
    ("behaviour", "continued"),
    [
        ("stream without length", None),
        ("stream without length, ends in an event", "1"),
        ("stream without length, reset", "1"),
    ],
)
def test_an_output_without_length_is_whole_only_at_the_end_of_an_event(
    store: OneStore, back_end: RunnerStandIn, behaviour: str, continued: str | None
) -> None:
    back_end.then(behaviour)
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
    assert back_end.seen[-1].headers.get("last-event-id") == continued


def test_a_runner_that_has_not_started_can_be_stopped() -> None:
    """A store that stops while its replica starts failed to join the runner's thread."""
    runner = LotsRunner(OneStore(), "z", PlatformDialect(), SystemClock(), Random(1))
    runner.stop()
    runner.start()
    wait_until(lambda: not runner._thread.is_alive())
