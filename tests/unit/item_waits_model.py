"""A fleet in virtual time around the product's lots runner, to measure how long items wait.

The runner is the whole product part: queue, capacity, isolation, quarantine, attempts and outbox.
Back ends, connections to them, the registry and the replicated group around the real state machine
are simulated. Histories are seeded and do not depend on the hash seed.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import math
import sqlite3
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from random import Random
from unittest import mock

import msgspec
from loguru import logger
from tests.unit.item_waits_parts import (
    DOWN_S,
    EVENT_S,
    HOST_LOSS_S,
    PROCESS_LOSS_S,
    REGISTER_S,
    BackEnd,
    Faults,
    ModelClock,
    ModelLoop,
    ModelSender,
    OrderedQueue,
    Work,
)

from leverjunction.consensus.api import ApplyContext, GroupStatus
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.commands import (
    LotItem,
    OpenKeys,
    ReadOpenKeys,
    SubmitLot,
    encode_command,
)
from leverjunction.lots.item_lines import ItemLineWriter
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.runner import LotsRunner
from leverjunction.lots.state_machine import LotsStateMachine
from leverjunction.platform.headers import PlatformDialect
from leverjunction.quarantine.records import EndedRun, SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import on_trial, with_ended_run
from leverjunction.registry.commands import ReviewSuspects
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerRecord, RunnerState
from leverjunction.registry.suspect_review import SuspectReview
from leverjunction.routes import RouteClass
from leverjunction.wire.codec import decode_reply, encode
from testbed.routed import HOST, make_route, make_table

LOT_ITEMS = 16
NOTICE_S = 0.1
"""Delay of a change of the registry until the stores know it."""

REVIEW_S = 0.4
ELECTION_S = 1.0
DUE_S = 60.0
GIVE_UP_S = 600.0
LOOK_S = 0.5
BAD_S = (0.002, 0.1)
"""Shortest and longest time from the beginning of a harmful request to the crash."""

FIRST_OUTPUT_S = (0.3, 1.5)
RUN_S = (1.0, 4.0)


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

    def note_silence(self, record: RunnerRecord) -> None:
        """Note that a start has been silent for long, unless there is a later one."""
        if self._records.get(record.runner_id) is record:
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
                assert isinstance(change, ReviewSuspects)
                for key in change.on_trial:
                    self._suspects[key] = on_trial(self._suspects[key])
                for key in change.forgotten:
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
        random: Source of all times but those of faults of connections.
        faults: Faults of the connections to back ends.
        headers: Headers of the items that are submitted.
    """

    def __init__(self, loop: ModelLoop, back_ends: int, seed: int) -> None:
        self._loop = loop
        self._clock = ModelClock(loop)
        self._holds: dict[str, list[tuple[float, str]]] = {}
        self._submitted_s: dict[str, float] = {}
        self._leader: Store | None = None
        self.works: dict[str, Work] = {}
        self.headers: tuple[tuple[str, str], ...] = ()
        self.random = Random(seed)
        self.faults = Faults(Random(seed + 1))
        self.back_ends: list[BackEnd] = []
        self.registry = Registry(self.back_ends)
        for number in range(back_ends):
            back_end = BackEnd(
                number, self.works, self.faults, self.registry.publish, self.registry.note_silence
            )
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
                LotItem(
                    item_id=name, path=path, headers=self.headers, body=name.encode(), tokens=100
                )
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
        lot_items: Items of a sound lot.
        has_caller: Whether all lots come from one caller with credentials.
        are_hosts_lost: Whether hosts crash and not processes, so that connections break late.
        lost_share: Share of the runs before calm whose output no longer arrives.
        hung_share: Share of the runs before calm that do not go on.
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
    lot_items: int = LOT_ITEMS
    has_caller: bool = False
    are_hosts_lost: bool = False
    lost_share: float = 0.0
    hung_share: float = 0.0


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


SERIES_S = 20.0
HISTORIES = {
    "series": History(crashes_s=SERIES_S),
    "series, same leader": History(crashes_s=SERIES_S, change=Change.SAME),
    "series, other leader": History(crashes_s=SERIES_S, change=Change.OTHER),
    "series, all killed": History(crashes_s=SERIES_S, has_power_loss=True, change=Change.KILLED),
    "series of hosts": History(crashes_s=SERIES_S, are_hosts_lost=True),
    "series, one caller": History(crashes_s=SERIES_S, has_caller=True),
    "series, lots of 40": History(crashes_s=SERIES_S, lot_items=40, lot_interval_s=6.0),
    "series, 20 back ends": History(crashes_s=SERIES_S, back_ends=20),
    "power loss of back ends": History(has_power_loss=True),
    "power loss of back ends, one caller": History(has_power_loss=True, has_caller=True),
    "power loss of back ends, other leader": History(has_power_loss=True, change=Change.OTHER),
    "power loss of all": History(has_power_loss=True, change=Change.KILLED),
    "lost responses": History(crashes_s=SERIES_S, share=0.0, lost_share=0.5),
    "hung responses": History(crashes_s=SERIES_S + 4.0, share=0.0, hung_share=0.3),
    "1 harmful item": History(bad=(1,)),
    "3 harmful items": History(bad=(3,)),
    "16 harmful items": History(bad=(16,)),
    "3 harmful items, one caller": History(bad=(3,), has_caller=True),
    "5 lots with a harmful item": History(bad=(1, 1, 1, 1, 1)),
    "series and 3 harmful items": History(crashes_s=SERIES_S, bad=(3,)),
    "series, power loss, other leader, 1 harmful item": History(
        crashes_s=SERIES_S, bad=(1,), has_power_loss=True, change=Change.OTHER
    ),
}
"""Histories by what happens in them."""

WARM_S = 8.0
SOUND_LOTS = 3
CRASH_WINDOW_S = 60.0


def play(history: History, seed: int, calm_length_s: float) -> Outcome:
    """Play a history, and calm of a given length after it."""
    logger.disable("leverjunction")
    loop = ModelLoop()
    try:
        with (
            mock.patch("leverjunction.lots.runner.Sender", ModelSender),
            mock.patch("leverjunction.lots.runner.ItemQueue", OrderedQueue),
            mock.patch.object(ItemLineWriter, "_write", lambda _self, _line: None),
        ):
            return loop.run_until_complete(_play(loop, history, seed, calm_length_s))
    finally:
        loop.close()
        logger.enable("leverjunction")


async def _play(loop: ModelLoop, history: History, seed: int, calm_length_s: float) -> Outcome:
    fleet = Fleet(loop, history.back_ends, seed)
    fleet.headers = (("Authorization", "Bearer caller"),) if history.has_caller else ()
    fleet.faults.loss_s = HOST_LOSS_S if history.are_hosts_lost else PROCESS_LOSS_S
    fleet.faults.lost_share, fleet.faults.hung_share = history.lost_share, history.hung_share
    submitting = loop.create_task(_submit(fleet, history))
    online = loop.create_task(_send_online(fleet, history.online))
    await asyncio.sleep(WARM_S)
    await _crash_in_series(fleet, history)
    await _end_faults(fleet, history)
    submitting.cancel()
    online.cancel()
    fleet.faults.stop()
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
        fleet.submit(f"sound{number:02}", items=history.lot_items)
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
        count = math.ceil(history.share * history.back_ends)
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


def main() -> None:
    """Print the longest wait of each seed of a history, as measured in a long calm."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("history", nargs="+", choices=HISTORIES)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--calm", type=float, default=80.0, help="length of calm in seconds")
    options = parser.parse_args()
    for name in options.history:
        for seed in range(options.first_seed, options.first_seed + options.seeds):
            outcome = play(HISTORIES[name], seed, options.calm)
            longest = outcome.waits[0]
            looks = dict(Counter(longest.holds))
            beside = outcome.bad_waits[0].wait_s if outcome.bad_waits else None
            print(
                f"{name}, seed {seed}: {len(outcome.waits)} items, longest {longest.wait_s:.1f} s"
                f" ({longest.item}: {looks}); of a harmful lot {beside}; {outcome.crashes}"
            )


if __name__ == "__main__":
    main()
