"""A fleet in virtual time around the product's lots runner, to measure how long items wait.

The runner is the whole product part: queue, capacity, isolation, quarantine, attempts and outbox.
Back ends, connections to them, the registry and the replicated group around the real state machine
are simulated. Histories are seeded and do not depend on the hash seed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import sqlite3
from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from enum import StrEnum
from random import Random
from typing import Any
from unittest import mock

import msgspec
from loguru import logger

from leverjunction.consensus.api import ApplyContext, GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import LotItem, OpenKeys, ReadOpenKeys, SubmitLot, encode_command
from leverjunction.lots.item_lines import ItemLineWriter
from leverjunction.lots.item_queue import ItemQueue
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import EngineLoad, ResponseMetadata
from leverjunction.proxy.dispatch import Dispatch, OpenedResponse
from leverjunction.proxy.runner_connection import ResponseEnd, ResponseHead
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import on_trial, with_ended_run
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord, RunnerState
from leverjunction.registry.suspect_review import SuspectReview
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply, encode
from testbed.placement.virtual_loop import VirtualLoop
from testbed.routed import HOST, SERVICE, make_route, make_table

BEGIN_S = 1000.0
"""Time at which a history begins: parts of the product take 0 for "never"."""

SLOTS = 19
LOT_ITEMS = 16
EVENT_S = 0.25
COMMIT_S = 0.01
WAY_S = 0.001
LOAD_READ_S = 0.1
NOTICE_S = 0.1
"""Delay of a change of the registry until the stores know it."""

REGISTER_S = 0.3
"""Delay of a back end's start until the registry has its record."""

SILENCE_S = 6.0
REVIEW_S = 0.4
ELECTION_S = 1.0
DOWN_S = 0.8
DUE_S = 60.0
GIVE_UP_S = 600.0
LOOK_S = 0.5
LOST_S = 0.002
BAD_S = (0.002, 0.1)
"""Shortest and longest time from the beginning of a harmful request to the crash."""

FIRST_OUTPUT_S = (0.3, 1.5)
RUN_S = (1.0, 4.0)


class ModelLoop(VirtualLoop):
    """An event loop in virtual time on which calls to executors and connections are simulated.

    Attributes:
        back_ends: The back ends by address; others refuse connections.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = BEGIN_S
        self.back_ends: dict[str, BackEnd] = {}

    def run_in_executor(  # type: ignore[override]
        self, executor: Executor | None, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """Call a function after the time that a commit takes."""
        future: asyncio.Future[Any] = self.create_future()

        def call() -> None:
            if not future.done():
                future.set_result(func(*args))

        self.call_later(COMMIT_S, call)
        return future

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect to a back end, as the quarantine's probe does.

        Raises:
            ConnectionRefusedError: Nothing listens there.
        """
        await asyncio.sleep(WAY_S)
        if not self.back_ends[f"{host}:{port}"].is_up:
            raise ConnectionRefusedError(f"nothing listens at {host}:{port}")
        return mock.Mock(spec=asyncio.Transport), protocol_factory()

    def _write_to_self(self) -> None:
        """Do nothing: the loop never waits."""


class ModelClock:
    """The clock of all processes."""

    def __init__(self, loop: ModelLoop) -> None:
        self._loop = loop

    def monotonic_s(self) -> float:
        """Return the virtual time."""
        return self._loop.now_s

    def wall_ms(self) -> int:
        """Return the virtual time in milliseconds."""
        return round(self._loop.now_s * 1000)


class OrderedQueue(ItemQueue):
    """Items in an order that does not depend on the hash seed."""

    __slots__ = ()

    def unknown_lots(self, keys: Iterable[ItemKey]) -> list[str]:  # type: ignore[override]
        """Return the lots with open items that are not in the queue, sorted."""
        return sorted(super().unknown_lots(keys))


@dataclasses.dataclass
class Work:
    """What an item takes, and what became of it.

    Attributes:
        first_output_s: Time from the beginning of a run to its first output.
        events: Events of its output.
        crash_s: Time from the beginning of a run to the crash that it causes; None if harmless.
        begun_s: When each run began at a back end.
        done_s: When its output was complete.
    """

    first_output_s: float
    events: int
    crash_s: float | None = None
    begun_s: list[float] = dataclasses.field(default_factory=list)
    done_s: float | None = None


class Engine:
    """A run at a back end, and the connection on which its output arrives."""

    def __init__(self, back_end: BackEnd, item: str, work: Work, from_event: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._back_end = back_end
        self._next_s = self._loop.time() + work.first_output_s
        self._event = from_event
        self._work = work
        self.item = item
        self.broken: asyncio.Future[None] = self._loop.create_future()

    def set_read_interval(self, _interval_s: float) -> None:
        """Do nothing: each event is read as it arrives."""

    async def next_event(self) -> bytes | ResponseEnd | Failure:
        """Return the next event of the output, its end, or that the connection broke."""
        if self._event >= self._work.events:
            return ResponseEnd()
        failure = await self.wait_until(self._next_s)
        if failure is not None:
            return failure
        self._event += 1
        self._next_s += EVENT_S
        return f"id: {self._event}\ndata: x\n\n".encode()

    async def wait_until(self, at_s: float) -> Failure | None:
        """Wait until a time; return a failure if the connection breaks before."""
        await asyncio.wait([self.broken], timeout=max(0.0, at_s - self._loop.time()))
        if not self.broken.done():
            return None
        return Failure(
            kind=FailureKind.UNREACHABLE,
            reason="the connection broke",
            step=Step.RELAYING,
            peer=self._back_end.address,
            execution=Execution.UNKNOWN,
        )

    async def head(self) -> Failure | None:
        """Wait for the head, which comes with the first output."""
        return await self.wait_until(self._next_s)

    def end(self) -> None:
        """Leave the back end."""
        self._back_end.engines.pop(self, None)


class BackEnd:
    """A back end whose process may crash, and starts again.

    Attributes:
        engines: Its runs.
        is_up: Whether its process runs.
        online: Online requests that it is processing.
        record: Its present start.
        works: What each item takes.
        crashes: When it crashed, and the item that caused it, empty for none.
    """

    def __init__(self, number: int, registry: Registry, works: dict[str, Work]) -> None:
        self.works = works
        self._loop = asyncio.get_running_loop()
        self._number = number
        self._registry = registry
        self.address = f"b{number}:9"
        self.engines: dict[Engine, None] = {}
        self.is_up = True
        self.online = 0
        self.crashes: list[tuple[float, str]] = []
        self.record = self._new_record()

    def _new_record(self) -> RunnerRecord:
        return RunnerRecord(
            runner_id=f"b{self._number:02}",
            service=SERVICE,
            address=self.address,
            zone="z",
            slots=SLOTS,
            born_ms=round(self._loop.time() * 1000),
        )

    def begin(self, item: str, work: Work, from_event: int) -> Engine:
        """Begin a run, which may crash the back end."""
        engine = Engine(self, item, work, from_event)
        self.engines[engine] = None
        work.begun_s.append(self._loop.time())
        if work.crash_s is not None:
            self._loop.call_later(work.crash_s, self._crash_in, engine)
        return engine

    def _crash_in(self, engine: Engine) -> None:
        if engine in self.engines:
            self.crash(DOWN_S, engine.item)

    def crash(self, down_s: float, cause: str = "") -> None:
        """End the process with all its runs, and start another one later."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append((self._loop.time(), cause))
        for engine in self.engines:
            self._loop.call_later(LOST_S, _break, engine)
        self.engines.clear()
        self._loop.call_later(SILENCE_S, self._registry.note_silence, self, self.record)
        self._loop.call_later(down_s, self._start)

    def _start(self) -> None:
        self.is_up = True
        self.record = self._new_record()
        self._loop.call_later(REGISTER_S, self._registry.publish)


def _break(engine: Engine) -> None:
    if not engine.broken.done():
        engine.broken.set_result(None)


class ModelSender:
    """Sends requests to the simulated back ends, in place of ``Sender``."""

    def __init__(self, _pool: object, balancer: Balancer, _dialect: object, **_: object) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, ModelLoop)
        self._loop = loop
        self._balancer = balancer

    def _back_end(self, runner: TrackedRunner) -> BackEnd:
        return self._loop.back_ends[runner.record.address]

    async def send(self, dispatch: Dispatch) -> OpenedResponse | Failure:
        """Send an item and wait for the head."""
        runner, back_end = dispatch.runner, self._back_end(dispatch.runner)
        await asyncio.sleep(WAY_S)
        if not back_end.is_up:
            self._balancer.failed(runner, self._loop.time())
            return _refused(back_end.address)
        item = dispatch.metadata.request_id
        done = int(dispatch.last_event_id or 0)
        engine = back_end.begin(item, back_end.works[item], done)
        try:
            async with asyncio.timeout_at(dispatch.head_timeouts.hard_s):
                failure = await engine.head()
        except BaseException:
            engine.end()
            raise
        if failure is not None:
            self._balancer.failed(runner, self._loop.time())
            return failure
        self._balancer.succeeded(runner, self._loop.time())
        head = ResponseHead(200, [], ResponseMetadata())
        return OpenedResponse(head, head.metadata, engine, runner)  # type: ignore[arg-type]

    def finish(self, response: OpenedResponse, whole: bool) -> None:
        """End a run that is complete, or is stopped."""
        engine: Any = response.connection
        engine.end()

    def close_idle_connections(self, _runner: TrackedRunner) -> None:
        """Do nothing: no connection is kept."""

    async def read_load(self, runner: TrackedRunner) -> EngineLoad | None:
        """Read the load of a back end."""
        back_end = self._back_end(runner)
        if not back_end.is_up:
            await asyncio.sleep(LOAD_READ_S)
            return None
        requests = back_end.online + len(back_end.engines)
        load = EngineLoad(min(requests, SLOTS), max(0, requests - SLOTS), SLOTS)
        await asyncio.sleep(LOAD_READ_S)
        runner.report_load(load, self._loop.time())
        return load


def _refused(address: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_LISTENING,
        reason="no connection: refused",
        step=Step.CONNECTING,
        peer=address,
        execution=Execution.NOT_RUN,
    )


class Registry:
    """The registry: back ends, and the evidence that stores report, by the product's rules."""

    def __init__(self, back_ends: list[BackEnd]) -> None:
        self._loop = asyncio.get_running_loop()
        self._back_ends = back_ends
        self._records: dict[str, RunnerRecord] = {}
        self._review = SuspectReview()
        self._suspects: dict[str, SuspectRecord] = {}
        self._revision = 0
        self._table = make_table(make_route(RouteClass.BATCH))
        self.followers: list[LotsRunner] = []

    def ended(self, run: EndedRun) -> None:
        """Take evidence of a crash."""
        self._suspects[run.key] = with_ended_run(self._suspects.get(run.key), run)
        self._tell()

    def answered(self, key: str) -> None:
        """Clear a request."""
        if self._suspects.pop(key, None) is not None:
            self._tell()

    def note_silence(self, back_end: BackEnd, record: RunnerRecord) -> None:
        """Note that a back end has been silent for long, unless it has started again."""
        if back_end.record is record and record.runner_id in self._records:
            silent = msgspec.structs.replace(record, state=RunnerState.SILENT)
            self._records[record.runner_id] = silent
            self._tell()

    def publish(self) -> None:
        """Take the records of the back ends that run."""
        for back_end in self._back_ends:
            if back_end.is_up:
                self._records[back_end.record.runner_id] = back_end.record
        self._tell()

    async def review(self) -> None:
        """Expire evidence, for ever."""
        while True:
            await asyncio.sleep(REVIEW_S)
            for change in self._review.due(self._list(), self._loop.time()):
                for key in change.on_trial:  # type: ignore[union-attr]
                    self._suspects[key] = on_trial(self._suspects[key])
                for key in change.forgotten:  # type: ignore[union-attr]
                    del self._suspects[key]
                self._tell()

    def snapshot(self) -> Snapshot:
        """Return the present state."""
        runners = tuple(self._records.values())
        view = FleetView(revision=self._revision, runners=runners)
        return Snapshot(self._table, view, self._list())

    def _list(self) -> SuspectList:
        return SuspectList(revision=self._revision, suspects=tuple(self._suspects.values()))

    def _tell(self) -> None:
        self._revision += 1
        snapshot = self.snapshot()
        for follower in self.followers:
            self._loop.call_later(NOTICE_S, follower.set_registry, snapshot)


class Tables:
    """The state of the replicated group, with the product's state machine."""

    def __init__(self, clock: ModelClock) -> None:
        self._clock = clock
        self._machine = LotsStateMachine()
        self._connection = sqlite3.connect(":memory:")
        self._machine.create_tables(self._connection)
        self.index = 0

    def apply(self, command: bytes) -> bytes:
        """Apply a command."""
        self.index += 1
        context = ApplyContext(index=self.index, term=1, wall_ms=self._clock.wall_ms())
        return self._machine.apply(self._connection, context, command)

    def query(self, query: bytes) -> bytes:
        """Run a query."""
        return self._machine.query(self._connection, query)


class Store:
    """A store: its replica of the group, and the runner of its items."""

    def __init__(self, tables: Tables, registry: Registry, clock: ModelClock) -> None:
        self._tables = tables
        self._registry = registry
        self.role = "follower"
        self.runner = LotsRunner(self, "z", PlatformDialect(), clock, Random(0), report=registry)
        registry.followers.append(self.runner)
        self.runner.set_registry(registry.snapshot())
        self._task = asyncio.get_running_loop().create_task(self.runner._main())

    def lead(self, leads: bool) -> None:
        """Become leader, or end being leader."""
        self.role = "leader" if leads else "follower"
        self.runner.changed()

    async def kill(self) -> None:
        """End the process."""
        self.lead(False)
        self._registry.followers.remove(self.runner)
        self._task.cancel()
        await asyncio.wait([self._task])

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        """Apply a command, if this store leads."""
        if self.role != "leader":
            return Failure(
                kind=FailureKind.NOT_LEADER,
                reason="another store leads",
                step=Step.SENDING,
                execution=Execution.NOT_RUN,
            )
        reply = self._tables.apply(command)
        self.runner.changed()
        return reply

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        """Run a query on the applied state."""
        return self.query_local(query)

    def query_local(self, query: bytes) -> bytes:
        """Run a query on the applied state."""
        return self._tables.query(query)

    def status(self) -> GroupStatus:
        """Return the role."""
        index = self._tables.index
        return GroupStatus(
            group="jobs-0",
            replica_id="r",
            role=self.role,
            term=1,
            leader_address="",
            commit_index=index,
            applied_index=index,
            voters=[],
            learners=[],
            leader_contact_age_s=0.0,
        )


@dataclasses.dataclass(frozen=True)
class Wait:
    """How long an item waited.

    Attributes:
        item: The item.
        wait_s: Time from the beginning of calm, or from its submission if that came later, until
            the run began that ended it; until the end of the history if none did.
        is_done: Whether its output is complete.
        holds: How it might run at each look since then, or that it ran.
    """

    item: str
    wait_s: float
    is_done: bool
    holds: tuple[str, ...]


class Fleet:
    """The back ends, two stores and the registry, with lots of items.

    Args:
        loop: The loop on which all of it runs.
        back_ends: Number of back ends.
        seed: Decides the times of items.

    Attributes:
        back_ends: The back ends.
        works: What becomes of each item.
        random: Source of all times.
    """

    def __init__(self, loop: ModelLoop, back_ends: int, seed: int) -> None:
        self._loop = loop
        self._clock = ModelClock(loop)
        self._holds: dict[str, list[tuple[float, str]]] = {}
        self._submitted_s: dict[str, float] = {}
        self._leader: Store | None = None
        self.works: dict[str, Work] = {}
        self.random = Random(seed)
        self.back_ends: list[BackEnd] = []
        self.registry = Registry(self.back_ends)
        for number in range(back_ends):
            back_end = BackEnd(number, self.registry, self.works)
            self.back_ends.append(back_end)
            loop.back_ends[back_end.address] = back_end
        self.registry.publish()
        self._tables = Tables(self._clock)
        self._stores = [Store(self._tables, self.registry, self._clock) for _ in range(2)]
        self._tasks = [loop.create_task(self.registry.review()), loop.create_task(self._look())]
        self.elect(0)

    def elect(self, number: int | None) -> None:
        """Make a store the leader, or none."""
        for place, store in enumerate(self._stores):
            store.lead(place == number)
        self._leader = None if number is None else self._stores[number]

    async def kill_stores(self) -> None:
        """End the processes of all stores, and start others."""
        self.elect(None)
        for store in self._stores:
            await store.kill()
        self._stores = [Store(self._tables, self.registry, self._clock) for _ in range(2)]

    async def close(self) -> None:
        """End everything."""
        for store in self._stores:
            await store.kill()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.wait(others)

    def submit(self, lot: str, bad: int = 0, items: int = LOT_ITEMS) -> None:
        """Submit a lot, some of whose items crash each back end that begins them."""
        harmful = set(self.random.sample(range(items), bad))
        names = [f"{lot}-{number:02}" for number in range(items)]
        for number, name in enumerate(names):
            crash_s = self.random.uniform(*BAD_S) if number in harmful else None
            events = max(1, round(self.random.uniform(*RUN_S) / EVENT_S))
            self.works[name] = Work(self.random.uniform(*FIRST_OUTPUT_S), events, crash_s)
            self._submitted_s[name] = self._loop.time()
        path = f"/{RouteClass.BATCH.value}/run"
        command = SubmitLot(
            lot_id=lot,
            host=HOST,
            path=path,
            max_attempts=3,
            give_up_s=GIVE_UP_S,
            due_ms=DUE_S * 1000,
            items=tuple(
                LotItem(item_id=name, path=path, headers=(), body=name.encode(), tokens=100)
                for name in names
            ),
        )
        self._tables.apply(encode_command(command))
        for store in self._stores:
            store.runner.changed()

    def open_items(self) -> dict[str, ItemRun]:
        """Return the open items that the leader knows."""
        runs = () if self._leader is None else self._leader.runner._queue.runs.values()
        return {run.item.item_id: run for run in runs}

    async def _look(self) -> None:
        """Note at intervals how open items may run, for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            for name, run in self.open_items().items():
                hold = "runs" if run.task is not None else run.placement.value
                self._holds.setdefault(name, []).append((self._loop.time(), hold))

    def open_names(self) -> list[str]:
        """Return the items without a recorded result."""
        opened = decode_reply(self._tables.query(encode(ReadOpenKeys())), OpenKeys)
        assert isinstance(opened, OpenKeys)
        return sorted(item for _, item in opened.keys)

    def waits(self, calm_s: float, names: Iterable[str]) -> list[Wait]:
        """Return how long items waited that were open when calm began, the longest first."""
        now_s, still_open = self._loop.time(), set(self.open_names())
        waits = []
        for name in names:
            work = self.works[name]
            from_s = max(calm_s, self._submitted_s[name])
            is_done = name not in still_open
            until_s = max(work.begun_s, default=now_s) if is_done else now_s
            running = self.open_items().get(name)
            if not is_done and running is not None and running.task is not None:
                until_s = max(work.begun_s, default=now_s)
            holds = tuple(hold for at_s, hold in self._holds.get(name, []) if at_s >= from_s)
            waits.append(Wait(name, max(0.0, until_s - from_s), is_done, holds))
        return sorted(waits, key=lambda wait: -wait.wait_s)


class Change(StrEnum):
    """What becomes of the leader at the last fault."""

    NONE = "the leader stays"
    SAME = "the same store leads again"
    OTHER = "another store leads"
    KILLED = "all stores are killed"


@dataclasses.dataclass(frozen=True)
class History:
    """What happens to a fleet before calm. All times are seconds.

    Attributes:
        back_ends: Number of back ends.
        crashes_s: Length of a series of crashes that no item causes; 0 for none.
        interval_s: Time between two crashes of the series.
        share: Share of the back ends that crash each time.
        has_power_loss: Whether all back ends crash together at the end.
        change: What becomes of the leader at the end.
        bad: Harmful items of each lot that has some; they come as calm begins, unless there is a
            series, beside the sound lots.
        online: Most online requests at a back end before calm.
        lot_interval_s: Time between two sound lots.
    """

    back_ends: int = 8
    crashes_s: float = 0.0
    interval_s: float = 1.5
    share: float = 0.5
    has_power_loss: bool = False
    change: Change = Change.NONE
    bad: tuple[int, ...] = ()
    online: int = 4
    lot_interval_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of a fleet.

    Attributes:
        waits: Waits of the items of sound lots that were open in calm, the longest first.
        bad_waits: Waits of the sound items of the other lots.
        crashes: Crashes that each lot caused within a minute of its first.
    """

    waits: list[Wait]
    bad_waits: list[Wait]
    crashes: dict[str, int]


WARM_S = 8.0
SOUND_LOTS = 3
CRASH_WINDOW_S = 60.0


def play(history: History, seed: int, calm_length_s: float) -> Outcome:
    """Play a history, and calm of a given length after it."""
    logger.disable("leverjunction")
    replaced = {"Sender": ModelSender, "ItemQueue": OrderedQueue}
    loop = ModelLoop()
    try:
        with (
            mock.patch.multiple("leverjunction.lots.runner", **replaced),
            mock.patch.object(ItemLineWriter, "_write", lambda _self, _line: None),
        ):
            return loop.run_until_complete(_play(loop, history, seed, calm_length_s))
    finally:
        loop.close()
        logger.enable("leverjunction")


async def _play(loop: ModelLoop, history: History, seed: int, calm_length_s: float) -> Outcome:
    fleet = Fleet(loop, history.back_ends, seed)
    submitting = loop.create_task(_submit(fleet, history))
    online = loop.create_task(_send_online(fleet, history.online))
    await asyncio.sleep(WARM_S)
    await _crash_in_series(fleet, history)
    await _end_faults(fleet, history)
    submitting.cancel()
    online.cancel()
    for back_end in fleet.back_ends:
        back_end.online = 0
    calm_s = loop.time()
    if not history.crashes_s:
        _submit_bad(fleet, history)
        for number in range(SOUND_LOTS):
            fleet.submit(f"calm{number}")
    names = fleet.open_names()
    end_s = calm_s + calm_length_s
    while loop.time() < end_s and (history.bad or fleet.open_names()):
        await asyncio.sleep(0.5)
    sound = [name for name in names if not name.startswith("bad")]
    beside = [name for name in names if name.startswith("bad") and not fleet.works[name].crash_s]
    outcome = Outcome(
        fleet.waits(calm_s, sound),
        fleet.waits(calm_s, beside),
        {f"bad{number}": _crashes(fleet, f"bad{number}") for number in range(len(history.bad))},
    )
    await fleet.close()
    return outcome


async def _submit(fleet: Fleet, history: History) -> None:
    number = 0
    while True:
        await asyncio.sleep(history.lot_interval_s)
        fleet.submit(f"sound{number:02}")
        number += 1


def _submit_bad(fleet: Fleet, history: History) -> None:
    for number, count in enumerate(history.bad):
        fleet.submit(f"bad{number}", count)


async def _send_online(fleet: Fleet, most: int) -> None:
    while True:
        for back_end in fleet.back_ends:
            back_end.online = fleet.random.randint(0, most)
        await asyncio.sleep(0.5)


async def _crash_in_series(fleet: Fleet, history: History) -> None:
    if not history.crashes_s:
        return
    _submit_bad(fleet, history)
    for _ in range(int(history.crashes_s / history.interval_s)):
        await asyncio.sleep(history.interval_s)
        count = max(1, round(history.share * history.back_ends))
        for back_end in fleet.random.sample(fleet.back_ends, count):
            back_end.crash(DOWN_S)


async def _end_faults(fleet: Fleet, history: History) -> None:
    """Strike a last time, and wait until all has started again."""
    if history.has_power_loss:
        for back_end in fleet.back_ends:
            back_end.crash(DOWN_S)
    if history.change is Change.KILLED:
        await fleet.kill_stores()
    elif history.change is not Change.NONE:
        fleet.elect(None)
    await asyncio.sleep(DOWN_S + REGISTER_S + NOTICE_S + ELECTION_S)
    if history.change is not Change.NONE:
        fleet.elect(0 if history.change is Change.SAME else 1)


def _crashes(fleet: Fleet, lot: str) -> int:
    times_s = sorted(
        at_s
        for back_end in fleet.back_ends
        for at_s, cause in back_end.crashes
        if cause.startswith(lot)
    )
    return sum(1 for at_s in times_s if at_s < times_s[0] + CRASH_WINDOW_S)
