"""Runs the open items of a group of lots, on the store that leads the group.

One event loop in a thread of its own. What is open is read from the group's applied state, so a
new leader goes on where the old one stopped; results count only once the group has them.
"""

from __future__ import annotations

import asyncio
import threading
from random import Random

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Failure
from leverjunction.lots.commands import (
    ItemBody,
    ItemFailure,
    ItemResult,
    ItemState,
    OpenItem,
    OpenItems,
    ReadBody,
    ReadOpenItems,
    Recorded,
    RecordRuns,
    encode_command,
)
from leverjunction.lots.item_stream import ItemStream
from leverjunction.lots.room import SeatRoom, ServiceRoom
from leverjunction.proxy.attempt import OpenedAnswer, Patience, Sender
from leverjunction.proxy.balancer import Balancer, RunnerSeat
from leverjunction.proxy.caller_connection import CallerRequest
from leverjunction.proxy.dialect import Dialect
from leverjunction.proxy.runner_connection import AnswerEnd, AnswerHead, RunnerPool
from leverjunction.registry.follower import Snapshot
from leverjunction.routes.matching import RouteIndex, draw_service
from leverjunction.routes.types import Route
from leverjunction.wire.codec import decode_reply, encode

STEP_S = 0.1
IDLE_STEP_S = 0.5
RUN_TIMEOUT_S = 60.0
SILENCE_S = 10.0
"""A run that is cut must be run again, so silence is borne for long."""

READ_INTERVAL_S = 0.25
READ_TIMEOUT_S = 0.6
GIVE_UP_MARGIN_S = 3.0
"""Clocks of machines differ: an item is given up only when its time is surely over."""

PROPOSE_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 0.3
TYPICAL_RUN_S = 4.0
TELL_INTERVAL_S = 5.0
RUN_WEIGHT = 0.1
"""Of a run's time in the running average, which begins with the typical one."""

NEAR_ROOM = 3
"""Slots that a back end in this zone must have free to be preferred to one with more elsewhere."""

UNPROCESSABLE = 422
SERVER_ERROR = 500
OK = 200

Key = tuple[str, str]
"""Lot and item."""


class _Run:
    """An item that is being run.

    Attributes:
        item: What is run.
        stream: Its events so far, kept from run to run.
        task: What runs it.
        failures: Runs that failed, those not replicated yet included.
    """

    __slots__ = ("failures", "item", "stream", "task")

    def __init__(self, item: OpenItem) -> None:
        self.item = item
        self.stream = ItemStream()
        self.task: asyncio.Task[None] | None = None
        self.failures = item.failures


class LotsRunner:
    """Used by its own event loop; ``changed`` and ``set_registry`` by any thread."""

    def __init__(
        self,
        group: ReplicatedGroup,
        zone: str,
        dialect: Dialect,
        clock: Clock,
        random: Random,
    ) -> None:
        self._group = group
        self._zone = zone
        self._dialect = dialect
        self._clock = clock
        self._random = random
        self._index: RouteIndex | None = None
        self._runs: dict[Key, _Run] = {}
        self._finished: dict[Key, ItemResult] = {}
        self._failures: list[ItemFailure] = []
        self._rooms: dict[str, ServiceRoom] = {}
        self._run_s = TYPICAL_RUN_S
        self._told_s = float("-inf")
        self._reading: dict[str, asyncio.Task[None]] = {}
        self._dirty = True
        self._stopped = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake: asyncio.Event | None = None
        self._thread = threading.Thread(target=self._run_loop, name="lots-runner", daemon=True)
        self._snapshot: Snapshot | None = None

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop all runs; another store goes on with them."""
        self._stopped = True
        self.changed()
        self._thread.join(2.0)

    def changed(self) -> None:
        """Note that the group's state changed."""
        self._dirty = True
        loop, wake = self._loop, self._wake
        if loop is not None and wake is not None and not loop.is_closed():
            loop.call_soon_threadsafe(wake.set)

    def set_registry(self, snapshot: Snapshot) -> None:
        """Take a newer registry."""
        self._snapshot = snapshot
        self.changed()

    def _run_loop(self) -> None:
        asyncio.run(self._main())

    async def _main(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._wake = asyncio.Event()
        self._pool = RunnerPool()
        self._balancer = Balancer(self._zone, self._random)
        self._sender = Sender(self._pool, self._balancer, self._dialect)
        while not self._stopped:
            try:
                await self._step()
            except Exception:
                logger.exception("a step of the runner of lots failed")
            await self._pause()
        self._drop_all()
        self._pool.close()

    async def _pause(self) -> None:
        assert self._wake is not None
        busy = bool(self._runs or self._finished or self._failures)
        try:
            async with asyncio.timeout(STEP_S if busy else IDLE_STEP_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        # What is accepted or listed at the same time is handled together.
        await asyncio.sleep(STEP_S / 4)

    async def _step(self) -> None:
        if self._group.status().role != "leader":
            self._drop_all()
            self._dirty = True
            return
        self._take_registry()
        await self._record()
        if self._dirty:
            self._dirty = False
            self._read_open()
        if self._runs:
            self._read_loads()
            self._tell()
        self._start_runs()

    def _take_registry(self) -> None:
        snapshot = self._snapshot
        if snapshot is None:
            return
        self._balancer.replace(snapshot.view.runners)
        ids = frozenset(record.runner_id for record in snapshot.view.runners)
        for room in self._rooms.values():
            room.keep(ids)
        if self._index is None or self._index.table.version < snapshot.table.version:
            self._index = RouteIndex(snapshot.table)

    def _drop_all(self) -> None:
        for run in self._runs.values():
            if run.task is not None:
                run.task.cancel()
        self._runs.clear()
        self._finished.clear()
        self._failures.clear()
        self._rooms.clear()

    def _read_open(self) -> None:
        """Take new items in; stop those that are not open any more."""
        raw = self._group.query_local(encode(ReadOpenItems()))
        opened = decode_reply(raw, OpenItems)
        if isinstance(opened, Failure):
            return
        items = {(item.lot_id, item.item_id): item for item in opened.items}
        for key in [key for key in self._runs if key not in items]:
            run = self._runs.pop(key)
            if run.task is not None:
                run.task.cancel()
        kept = {}
        for key, item in items.items():
            kept[key] = self._runs.get(key) or _Run(item)
        self._runs = kept

    async def _record(self) -> None:
        """Replicate results and failed runs; kept until the group has them."""
        if not self._finished and not self._failures:
            return
        results = tuple(self._finished.values())
        failures = tuple(self._failures)
        command = encode_command(RecordRuns(results=results, failures=failures))
        loop = asyncio.get_running_loop()
        raw = await loop.run_in_executor(None, self._group.propose, command, PROPOSE_TIMEOUT_S)
        reply = raw if isinstance(raw, Failure) else decode_reply(raw, Recorded)
        if isinstance(reply, Failure):
            logger.warning("results are not recorded yet: {}", reply.reason)
            return
        for result in results:
            self._finished.pop((result.lot_id, result.item_id), None)
        del self._failures[: len(failures)]

    def _tell(self) -> None:
        """Say every few seconds, while there is work, how much runs and why not more."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._told_s < TELL_INTERVAL_S:
            return
        self._told_s = now_s
        running = sum(1 for run in self._runs.values() if run.task is not None)
        for service, room in self._rooms.items():
            logger.info(
                "batch of {}: {} open, {} running, {} may be added; online peak {}, now {},"
                " {} slots read",
                service,
                len(self._runs),
                running,
                *room.figures(now_s),
            )

    def _read_loads(self) -> None:
        """Ask every back end of the services in question for its load, a few times a second."""
        if self._index is None:
            return
        services = {
            part.service
            for run in self._runs.values()
            if (route := self._route(run.item)) is not None
            for part in route.services
        }
        for service in services:
            self._room(service).note(asyncio.get_running_loop().time())
            for seat in self._balancer.seats(service):
                key = seat.record.runner_id
                if key not in self._reading:
                    task = asyncio.get_running_loop().create_task(self._read_load(seat))
                    self._reading[key] = task

    async def _read_load(self, seat: RunnerSeat) -> None:
        path, headers = self._dialect.load_request()
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                body = await self._sender.fetch(seat.record.address, path, headers)
            load = self._dialect.read_load(body) if isinstance(body, bytes) else None
            if load is not None:
                now_s = asyncio.get_running_loop().time()
                self._seat_room(seat).told(load.running, load.waiting, now_s)
            await asyncio.sleep(READ_INTERVAL_S)
        except TimeoutError:
            # The reading grows old, and then nothing is added there.
            pass
        finally:
            self._reading.pop(seat.record.runner_id, None)

    def _room(self, service: str) -> ServiceRoom:
        return self._rooms.setdefault(service, ServiceRoom())

    def _seat_room(self, seat: RunnerSeat) -> SeatRoom:
        return self._room(seat.record.service).seat(seat.record.runner_id, seat.record.slots)

    def _start_runs(self) -> None:
        for key, run in sorted(self._runs.items(), key=self._urgency):
            if run.task is not None or key in self._finished:
                continue
            if self._is_over(run.item):
                self._end(run, ItemState.DEAD, "its time is over")
                continue
            route = self._route(run.item)
            if route is None:
                continue
            seat = self._free_seat(draw_service(route, self._random))
            if seat is None:
                continue
            # Counted at once, so that the next item sees this one.
            self._seat_room(seat).started()
            run.task = asyncio.get_running_loop().create_task(self._run(key, run, seat))

    def _route(self, item: OpenItem) -> Route | None:
        return self._index.find(item.host, item.path) if self._index is not None else None

    def _is_over(self, item: OpenItem) -> bool:
        age_s = (self._clock.wall_ms() - item.accepted_ms) / 1000
        return item.give_up_s > 0 and age_s > item.give_up_s + GIVE_UP_MARGIN_S

    def _free_seat(self, service: str) -> RunnerSeat | None:
        """Return the back end with most room for batch; None while online requests need it all."""
        now_s = asyncio.get_running_loop().time()
        if self._room(service).allowance(now_s) <= 0:
            return None
        free = [
            (self._seat_room(seat).free(now_s), seat)
            for seat in self._balancer.seats(service)
            if seat.ejected_until_s <= now_s
        ]
        room, seat = max(free, key=self._preference, default=(0, None))
        return seat if room > 0 else None

    def _preference(self, candidate: tuple[int, RunnerSeat]) -> tuple[bool, int, str]:
        """Rank back ends: with room in this zone, as bodies are large; then by room."""
        room, seat = candidate
        near = seat.record.zone == self._zone
        return (room > 0 and near and room >= NEAR_ROOM, room, seat.record.runner_id)

    def _urgency(self, entry: tuple[Key, _Run]) -> tuple[bool, float]:
        """Rank items: those that can still be in time by when they are due; then the late ones.

        When there is too much work, the first due first would make all of them late.
        """
        item = entry[1].item
        due_s = (item.accepted_ms + item.due_ms - self._clock.wall_ms()) / 1000
        return (due_s < self._run_s, due_s)

    async def _run(self, key: Key, run: _Run, seat: RunnerSeat) -> None:
        room = self._seat_room(seat)
        started_s = asyncio.get_running_loop().time()
        try:
            failed = await self._attempt(run, seat)
        finally:
            room.ended()
        if not failed:
            spent_s = asyncio.get_running_loop().time() - started_s
            self._run_s += (spent_s - self._run_s) * RUN_WEIGHT
        try:
            if failed:
                await asyncio.sleep(RETRY_PAUSE_S)
        finally:
            run.task = None
            if self._wake is not None:
                self._wake.set()

    async def _attempt(self, run: _Run, seat: RunnerSeat) -> bool:
        """Run an item once; return whether it should pause before the next run."""
        request = self._request(run)
        if request is None:
            return True
        loop = asyncio.get_running_loop()
        facts = self._dialect.read_request(request.headers)
        until_s = loop.time() + RUN_TIMEOUT_S
        answer = await self._sender.send(
            request,
            facts,
            seat,
            repeatable=True,
            last_event_id=run.stream.last_id,
            until_s=until_s,
            patience=Patience.until(loop.time() + SILENCE_S),
        )
        if isinstance(answer, Failure):
            return True
        return await self._take_answer(run, answer)

    async def _take_answer(self, run: _Run, answer: OpenedAnswer) -> bool:
        whole = False
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    event = await answer.connection.next_event()
                if isinstance(event, Failure | AnswerHead):
                    break
                if isinstance(event, AnswerEnd):
                    whole = True
                    break
                if answer.head.status == OK:
                    run.stream.feed(event)
        except TimeoutError:
            pass
        finally:
            self._sender.finish(answer, whole)
        if whole and answer.head.status == OK and run.stream.is_between_events:
            self._end(run, ItemState.DONE, "whole")
            return False
        run.stream.broken()
        if whole and answer.head.status == UNPROCESSABLE:
            self._end(run, ItemState.DEAD, "it can never be done")
            return False
        if whole and answer.head.status == SERVER_ERROR:
            self._note_failure(run)
        return True

    def _note_failure(self, run: _Run) -> None:
        run.failures += 1
        self._failures.append(ItemFailure(lot_id=run.item.lot_id, item_id=run.item.item_id))
        if run.failures >= max(1, run.item.max_attempts):
            self._end(run, ItemState.DEAD, f"{run.failures} runs failed")

    def _end(self, run: _Run, state: ItemState, reason: str) -> None:
        item = run.item
        text = run.stream.text() if state is ItemState.DONE else ""
        self._finished[item.lot_id, item.item_id] = ItemResult(
            lot_id=item.lot_id, item_id=item.item_id, state=state, text=text
        )
        if state is ItemState.DEAD:
            logger.info("item {} of lot {} is given up: {}", item.item_id, item.lot_id, reason)

    def _request(self, run: _Run) -> CallerRequest | None:
        item = run.item
        raw = self._group.query_local(encode(ReadBody(item.lot_id, item.item_id)))
        body = decode_reply(raw, ItemBody)
        if isinstance(body, Failure):
            return None
        headers = [(name.encode(), value.encode()) for name, value in item.headers]
        headers = self._dialect.item_headers(headers, item.host, item.item_id)
        return CallerRequest(
            b"POST", item.path.encode(), headers, body.body, asyncio.get_running_loop().time()
        )
