"""Back ends of the simulated deployment: they answer whole, and tell the registry of themselves."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import h11

from leverjunction.registry.commands import Done
from leverjunction.registry.records import RunnerRecord, RunnerState
from testbed import platform_words as words
from testbed.routed import SERVICE
from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.seeded.control_port import ControlPort
from testbed.simulation.seeded.history import BackEndStart, Run, SeededHistory, Worked
from testbed.simulation.seeded.operators import LONG_PREFIX, RESUMABLE_PREFIX
from testbed.simulation.virtual_loop import StreamBoard, VirtualLoop

PORT = 80
HEARTBEAT_S = 0.7
SHORTEST_WORK_S = 0.01
LONGEST_WORK_S = 0.3
EVENTS = 4
EVENT_PAUSE_S = 0.05
STREAM_PREFIXES = (b"/route-2/", LONG_PREFIX.encode())
EVENTS_HEADER = "run-events"
"""Number of events that a caller asks of a stream of several seconds."""

SLOW_EVENT_PAUSE_S = 0.2
LONG_EVENTS = 20
LONG_EVENT_PAUSE_S = 0.08
KEEP_ALIVE = "timeout=20"
GATEWAY_HEADER = "via-gateway"
"""Set by callers, so that a run shows which gateway was asked."""


class BackEnd:
    """One back end; its machine and its id outlive the process.

    Attributes:
        machine: The machine.
        leaving: It tells that it leaves.
        pace: Factor of the time that its work takes.
        is_silent: It takes requests and answers none.
        released: Version that each further start has; empty to draw one.

    Args:
        control: Control processes as it calls them.
        streams: Connections of the run.
        fibers: Fibers of the run.
        history: Takes what it works on.
        generator: Draws times of work and control processes.
        versions: Versions of its software, of which each start draws one; empty for none.
        slots: Requests that it says it works on at once.
    """

    def __init__(
        self,
        control: ControlPort,
        streams: StreamBoard,
        fibers: Fibers,
        history: SeededHistory,
        generator: random.Random,
        versions: Sequence[str] = (),
        slots: int = 8,
    ) -> None:
        self.version = ""
        self.released = ""
        self.pace = 1.0
        self.is_silent = False
        self._unanswered: set[str] = set()
        self._slots = slots
        self._versions = versions
        self.machine: Machine = control.machine
        self.leaving = False
        self._control = control
        self._streams = streams
        self._fibers = fibers
        self._history = history
        self._random = generator
        self._load = _Load()
        self._sequence = 0

    @property
    def name(self) -> str:
        """Name of its machine, which is its id."""
        return self.machine.name

    @property
    def start_number(self) -> int:
        """Number of its present start."""
        return self.machine.incarnation

    def start(self) -> None:
        """Start the process."""
        self.machine.start()
        self.leaving = False
        self._load = _Load()
        self._sequence = 0
        if self._versions:
            self.version = self.released or self._random.choice(self._versions)
            at_s = self.machine.monotonic_s()
            self._history.back_end_starts.append(BackEndStart(self.name, self.version, at_s))
        VirtualLoop(self.machine, self._fibers, self._streams).begin(self._serve)
        born_ms = self.machine.wall_ms()
        self.machine.after(
            0.0, lambda: self._fibers.spawn(self.machine, lambda: self._beat(born_ms))
        )

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: _Connection(self), self.name, PORT)

    def _beat(self, born_ms: int) -> None:
        """Tell one control process after the other of this start."""
        while True:
            self._beat_once(born_ms)
            self._fibers.sleep(self.machine, HEARTBEAT_S)

    def _beat_once(self, born_ms: int) -> None:
        self._sequence += 1
        record = RunnerRecord(
            runner_id=self.name,
            service=SERVICE,
            address=f"{self.name}:{PORT}",
            zone=self.machine.zone,
            slots=self._slots,
            state=RunnerState.LEAVING if self.leaving else RunnerState.READY,
            sequence=self._sequence,
            born_ms=born_ms,
            version=self.version,
        )
        name = self._random.choice(self._control.names())
        answer = self._control.call(name, lambda node: node.handle_heartbeat(record) or Done())
        if isinstance(answer, Done) and record.state is RunnerState.LEAVING:
            place = self.name, self.start_number
            self._history.left.setdefault(place, self.machine.monotonic_s())

    def report(self) -> bytes:
        """Return what it says of its load."""
        return b'{"Running":%d,"Waiting":0}' % self._load.running

    def worked(self, request_id: str, begin_s: float) -> None:
        """Note that the work on a request has ended, unless it only kept silent."""
        if request_id not in self._unanswered:
            now_s = self.machine.monotonic_s()
            self._history.worked.append(Worked(request_id, self.name, begin_s, now_s))

    async def work(self, request_id: str, gateway: str) -> None:
        """Work on a request."""
        now_s = self.machine.monotonic_s()
        self._history.runs.append(Run(request_id, self.name, self.start_number, now_s, gateway))
        load = self._load
        load.running += 1
        try:
            await asyncio.sleep(self._random.uniform(SHORTEST_WORK_S, LONGEST_WORK_S) * self.pace)
            if self.is_silent:
                self._unanswered.add(request_id)
                await asyncio.get_running_loop().create_future()
        finally:
            load.running -= 1


class _Load:
    """Requests that one start of a back end works on."""

    def __init__(self) -> None:
        self.running = 0


class _Connection(asyncio.Protocol):
    """One connection of a gateway; a request at a time."""

    def __init__(self, back_end: BackEnd) -> None:
        self._back_end = back_end
        self._h11 = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._advance()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    def _advance(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.EndOfMessage):
                self._task = asyncio.get_running_loop().create_task(self._answer())
                return
            elif not isinstance(event, h11.Data):
                return

    async def _answer(self) -> None:
        assert self._request is not None
        fields = {name.decode(): value.decode() for name, value in self._request.headers}
        target = self._request.target
        if target == words.REPORT_PATH.encode():
            self._whole(200, [], self._back_end.report())
        elif fields.get(words.EXPECT_INSTANCE.lower(), "") != self._back_end.name:
            self._whole(421, [(words.NOT_EXECUTED, "1")], b"")
        else:
            if target.startswith(RESUMABLE_PREFIX.encode()):
                await self._run_long(fields)
            else:
                begin_s = self._back_end.machine.monotonic_s()
                try:
                    await self._run(fields, is_stream=target.startswith(STREAM_PREFIXES))
                finally:
                    self._back_end.worked(fields[words.REQUEST_ID.lower()], begin_s)
        if self._transport is not None and not self._transport.is_closing():
            self._task = None
            self._h11.start_next_cycle()
            self._advance()

    async def _run(self, fields: dict[str, str], is_stream: bool) -> None:
        request_id = fields[words.REQUEST_ID.lower()]
        own = [
            (words.REQUEST_ID, request_id),
            (words.SERVER_STAMP, "stamp"),
            (words.KEEP_ALIVE, KEEP_ALIVE),
        ]
        gateway = fields.get(GATEWAY_HEADER, "")
        if not is_stream:
            await self._back_end.work(request_id, gateway)
            self._whole(200, own, request_id.encode())
            return
        await self._back_end.work(request_id, gateway)
        self._send(h11.Response(status_code=200, headers=own))
        pause_s = SLOW_EVENT_PAUSE_S if EVENTS_HEADER in fields else EVENT_PAUSE_S
        for number in range(1, int(fields.get(EVENTS_HEADER, EVENTS)) + 1):
            self._send(h11.Data(data=b"id: %d\ndata: %s\n\n" % (number, request_id.encode())))
            await asyncio.sleep(pause_s)
        self._send(h11.EndOfMessage())

    async def _run_long(self, fields: dict[str, str]) -> None:
        """Send the events of a long stream from the one after the named one."""
        request_id = fields[words.REQUEST_ID.lower()]
        own = [(words.REQUEST_ID, request_id), (words.SERVER_STAMP, "stamp")]
        await self._back_end.work(request_id, fields.get(GATEWAY_HEADER, ""))
        self._send(h11.Response(status_code=200, headers=own))
        last = int(fields.get(words.LAST_EVENT_ID.lower(), "0"))
        version = self._back_end.version.encode()
        for number in range(last + 1, LONG_EVENTS + 1):
            self._send(h11.Data(data=b"id: %d\ndata: %s\n\n" % (number, version)))
            await asyncio.sleep(LONG_EVENT_PAUSE_S)
        self._send(h11.EndOfMessage())

    def _whole(self, status: int, fields: list[tuple[str, str]], body: bytes) -> None:
        headers = [*fields, ("Content-Length", str(len(body)))]
        self._send(h11.Response(status_code=status, headers=headers))
        if body:
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())

    def _send(self, event: h11.Event) -> None:
        data = self._h11.send(event)
        if data and self._transport is not None:
            self._transport.write(data)
