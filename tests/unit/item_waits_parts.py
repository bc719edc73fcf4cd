"""Back ends and connections in virtual time, for ``item_waits_model``."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from random import Random
from typing import Any
from unittest import mock

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots.item_queue import ItemQueue
from leverjunction.lots.item_run import ItemKey
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import EngineLoad, ResponseMetadata
from leverjunction.proxy.dispatch import Dispatch, OpenedResponse
from leverjunction.proxy.runner_connection import ResponseEnd, ResponseHead
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.records import RunnerRecord
from testbed.placement.virtual_loop import VirtualLoop
from testbed.routed import SERVICE

BEGIN_S = 1000.0
"""Time at which a history begins: parts of the product take 0 for "never"."""

SLOTS = 19
EVENT_S = 0.25
COMMIT_S = 0.01
WAY_S = 0.001
LOAD_READ_S = 0.1
REGISTER_S = 0.3
"""Delay of a back end's start until the registry has its record."""

SILENCE_S = 6.0
DOWN_S = 0.8
PROCESS_LOSS_S = (0.002, 0.002)
"""Time until a connection breaks whose back end's process ended."""

HOST_LOSS_S = (2.0, 4.0)
"""The same if its host was lost: probes of the connection find out."""


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
    """

    first_output_s: float
    events: int
    crash_s: float | None = None
    begun_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Faults:
    """Faults of the connections to back ends, until calm.

    Attributes:
        random: Decides which runs they meet.
        lost_share: Share of the runs whose output no longer arrives from some event on, while the
            back end ends them in time.
        hung_share: Share of the runs that do not go on either.
        loss_s: Shortest and longest time until a connection to a crashed back end breaks.
    """

    random: Random
    lost_share: float = 0.0
    hung_share: float = 0.0
    loss_s: tuple[float, float] = PROCESS_LOSS_S

    def stop(self) -> None:
        """Begin calm."""
        self.lost_share = self.hung_share = 0.0


class Engine:
    """A run at a back end, and the connection on which its output arrives.

    Attributes:
        item: The item.
        broken: Done once the connection is broken.
        silent_from: Number of events after which none arrives.
    """

    def __init__(self, back_end: BackEnd, item: str, work: Work, from_event: int) -> None:
        self.silent_from = math.inf
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
        failure = await self._wait_until(self._next_s)
        if failure is not None:
            return failure
        self._event += 1
        self._next_s += EVENT_S
        return f"id: {self._event}\ndata: x\n\n".encode()

    async def _wait_until(self, at_s: float) -> Failure | None:
        """Wait for an event that is due at a time; return a failure if the connection breaks."""
        is_silent = self._event >= self.silent_from
        timeout_s = None if is_silent else max(0.0, at_s - self._loop.time())
        await asyncio.wait([self.broken], timeout=timeout_s)
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
        return await self._wait_until(self._next_s)

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

    Args:
        number: Its number.
        works: What each item takes.
        faults: Faults of the connections to it.
        started: Called once the registry knows of another start.
        silenced: Called with the record of a start that has been silent for long.
    """

    def __init__(
        self,
        number: int,
        works: dict[str, Work],
        faults: Faults,
        started: Callable[[], None],
        silenced: Callable[[RunnerRecord], None],
    ) -> None:
        self.works = works
        self._loop = asyncio.get_running_loop()
        self._number = number
        self._faults = faults
        self._started = started
        self._silenced = silenced
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
        self._draw_fault(engine, work, from_event)
        return engine

    def _draw_fault(self, engine: Engine, work: Work, from_event: int) -> None:
        faults = self._faults
        if not faults.lost_share + faults.hung_share:
            return
        drawn = faults.random.random()
        if drawn >= faults.lost_share + faults.hung_share:
            return
        engine.silent_from = faults.random.randint(from_event, work.events - 1)
        if drawn < faults.lost_share:
            run_s = work.first_output_s + (work.events - from_event) * EVENT_S
            self._loop.call_later(run_s, engine.end)

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
            loss_s = self._faults.random.uniform(*self._faults.loss_s)
            self._loop.call_later(loss_s, _break, engine)
        self.engines.clear()
        self._loop.call_later(SILENCE_S, self._silenced, self.record)
        self._loop.call_later(down_s, self._start)

    def _start(self) -> None:
        self.is_up = True
        self.record = self._new_record()
        self._loop.call_later(REGISTER_S, self._started)


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
