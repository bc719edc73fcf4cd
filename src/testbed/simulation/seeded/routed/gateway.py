"""A gateway of the simulated deployment: the product's ``ProxyNode`` on an event loop."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from functools import partial
from unittest import mock

import msgspec
from loguru import logger

from leverjunction.config.machine import MachineConfig, MachineListen, MachinePolicies
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy import decision_log as decision_log_module
from leverjunction.proxy import process as process_module
from leverjunction.proxy.caller_connection import Responder
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.decision_log import DecisionLine
from leverjunction.proxy.forwarding import Caller, LocalHandler
from leverjunction.proxy.headers import find
from leverjunction.proxy.process import ProxyNode
from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from leverjunction.registry.follower import RegistryFollower, Snapshot
from leverjunction.routes import Route
from leverjunction.routes.matching import RouteIndex
from leverjunction.wire.rpc_client import RpcClient
from testbed import platform_words as words
from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.rpc import RpcBoard, SimulatedRpc
from testbed.simulation.seeded.history import (
    InForce,
    PlannedStop,
    ResumptionLogged,
    SeededHistory,
)
from testbed.simulation.virtual_loop import StreamBoard, VirtualLoop

CALLERS_PORT = 80
READY_PORT = 81
RPC_PORT = 1
READY_PATH = "/ready"
RESUMED = "resumed"
"""Event of the decision about a stream that a caller resumes."""


class RoutedGateway:
    """One gateway; its machine outlives the process.

    Args:
        machine: The machine.
        seeds: Control processes that it first asks.
        board: Their RPC handlers.
        streams: Connections of the run.
        fibers: Fibers of the run.
        history: Takes what it puts in force.
        generator: Returns the source of randomness of one life.
    """

    def __init__(
        self,
        machine: Machine,
        seeds: Sequence[str],
        board: RpcBoard,
        streams: StreamBoard,
        fibers: Fibers,
        history: SeededHistory,
        generator: Callable[[int], random.Random],
    ) -> None:
        self.machine = machine
        self._seeds = tuple(seeds)
        self._board = board
        self._streams = streams
        self._fibers = fibers
        self._history = history
        self._generator = generator
        self._node: _ObservedProxy | None = None
        self._asked: tuple[float, Callable[[], None]] | None = None
        self._load_s = 0.0

    def start(self, load_s: float = 0.0) -> None:
        """Start the process, which needs some time to load its code."""
        machine = self.machine
        machine.start()
        self._node = self._asked = None
        self._load_s = load_s
        self._history.started[machine.name, machine.incarnation] = machine.monotonic_s()
        VirtualLoop(machine, self._fibers, self._streams).begin(self._serve)

    @property
    def serves(self) -> bool:
        """Whether the process has started, lives, and was not asked to stop."""
        return self._node is not None and self.machine.up and not self.machine.frozen

    def stop(self, then: Callable[[], None]) -> None:
        """Ask the process to end as planned, also while it starts; ``then`` runs once it has."""
        asked_s = self.machine.monotonic_s()
        node, self._node = self._node, None
        if node is None:
            self._asked = asked_s, then
            return
        loop, stop = node.loop, partial(node.end_as_planned, asked_s, then)

        def signal() -> None:
            loop.call_soon_threadsafe(stop)

        self.machine.deliver(signal)

    def kill_late(self, asked_s: float, incarnation: int, then: Callable[[], None]) -> None:
        """Kill a process that was asked to end and has not, as the platform does."""
        machine = self.machine
        if machine.up and machine.incarnation == incarnation:
            now_s = machine.monotonic_s()
            self._history.stops.append(PlannedStop(machine.name, asked_s, now_s, is_killed=True))
            machine.kill()
            self._node = None
            then()

    async def _serve(self) -> None:
        if self._load_s:
            await asyncio.sleep(self._load_s)
        with self._virtual_parts():
            node = _ObservedProxy(self._config(), self.machine, self._history)
        await node.start()
        if self._asked is None:
            self._node = node
        else:
            node.end_as_planned(*self._asked)

    def _config(self) -> MachineConfig:
        name = self.machine.name
        return MachineConfig(
            name=name,
            zone=self.machine.zone,
            listen=MachineListen(
                callers=f"{name}:{CALLERS_PORT}", ready=f"{name}:{READY_PORT}", rpc=f"{name}:2"
            ),
            seeds=self._seeds,
            rpc_seed_port=RPC_PORT,
            policies=MachinePolicies(tell_online_loads=False),
        )

    @contextmanager
    def _virtual_parts(self) -> Iterator[None]:
        """Have a ``ProxyNode`` that is made in the block live on the simulated machine."""
        machine = self.machine
        drawn = self._generator(machine.incarnation)
        substitutes: dict[str, object] = {
            "SystemClock": lambda: machine,
            "Random": lambda: drawn,
            "RpcClient": lambda _key, _incarnation: SimulatedRpc(machine, self._board),
        }
        with ExitStack() as stack:
            for name, substitute in substitutes.items():
                stack.enter_context(mock.patch.object(process_module, name, substitute))
            lines = partial(_LoggedLines, machine, self._history)
            stack.enter_context(mock.patch.object(decision_log_module, "LineWriter", lines))
            yield


class _LoggedLines:
    """Stands in for the thread that writes the journal's lines."""

    def __init__(self, machine: Machine, history: SeededHistory, _lost: object) -> None:
        self._machine = machine
        self._history = history

    def put(self, line: bytes) -> None:
        logger.info("{}", line.decode())
        decision = msgspec.json.decode(line, type=DecisionLine)
        if decision.event == RESUMED:
            name, now_s = self._machine.name, self._machine.monotonic_s()
            self._history.resumptions.append(ResumptionLogged(name, now_s, decision.reason))

    def flush(self, _timeout_s: float) -> None:
        """Do nothing: each line is written at once."""


class _ObservedProxy(ProxyNode):
    """Notes each table that it has put in force, and its planned stop."""

    def __init__(self, config: MachineConfig, machine: Machine, history: SeededHistory) -> None:
        self._machine = machine
        self._history = history
        self._started_s = machine.monotonic_s()
        self._asked_s = math.inf
        super().__init__(config, PlatformDialect(), READY_PATH, _make_nothing_local)
        answer, self._port.handler = self._port.handler, self._handle
        self._answer = answer

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Its event loop."""
        return self._loop

    async def _handle(self, request: CallerRequest, responder: Responder) -> None:
        request_id = (find(request.headers, words.REQUEST_ID.lower().encode()) or b"").decode()
        now_s, counts = self._loop.time(), self._history.counts
        self._history.read.setdefault(request_id, now_s)
        counts["read_while_stopping"] += now_s >= self._asked_s
        counts["read_late_while_stopping"] += now_s >= self._asked_s + ACCEPT_AFTER_STOP_S
        await self._answer(request, responder)

    def end_as_planned(self, asked_s: float, then: Callable[[], None]) -> None:
        """Do what ``run`` does once it was asked to stop, and end the process."""
        # A process that stood still takes the signal once it goes on, one that starts at once.
        self._asked_s = asked_s
        if asked_s < self._started_s:
            self._stop_request.note(asked_s)
        self.note_stop()

        async def stop() -> None:
            await self._drain()
            self.close()
            # What was written has left by now; the process ends outside of its own loop.
            self._machine.after(0.0, end)

        def end() -> None:
            ended_s = self._machine.monotonic_s()
            self._history.stops.append(PlannedStop(self._machine.name, asked_s, ended_s))
            self._machine.kill()
            then()

        self._loop.create_task(stop())

    def _take_table(self, snapshot: Snapshot) -> None:
        before = self._index
        super()._take_table(snapshot)
        if self._index is None or self._index is before:
            return
        table, machine = self._index.table, self._machine
        routes = tuple(route.name for route in table.routes)
        self._history.in_force.append(
            InForce(machine.name, machine.incarnation, table.version, machine.monotonic_s(), routes)
        )


def _make_nothing_local(_rpc: RpcClient, _follower: RegistryFollower, _zone: str) -> LocalHandler:
    return _nothing_local


async def _nothing_local(
    _request: CallerRequest,
    _responder: Responder,
    _index: RouteIndex,
    _route: Route | None,
    _caller: Caller,
) -> bool:
    return False
