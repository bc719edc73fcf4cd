"""An asyncio event loop in virtual time: protocols, tasks and timers of one simulated process.

The standard loop's own base runs callbacks and timers. Its clock is the machine's, its sockets are
ordered connections of the simulated network, and it waits in a fiber of the process.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from testbed.simulation.channel import Channel, Connections
from testbed.simulation.fiber import Fibers, Resume
from testbed.simulation.machine import Machine
from testbed.simulation.network import LOCAL_DELAY_S, Network
from testbed.simulation.scheduler import Scheduler

RESOLUTION_S = 1e-9
CONNECT_RETRY_S = 1.0
"""Time after which the system sends the first packet of a connection again."""

PROBE_INTERVAL_S = 1.0
PROBES = 3
"""Unanswered keep-alive probes that end a connection, for one that asked for them."""

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop of one life of a process; ends with it.

    Args:
        machine: Where the process runs.
        fibers: Fibers of the run.
        streams: Connections of the run.
    """

    def __init__(self, machine: Machine, fibers: Fibers, streams: StreamBoard) -> None:
        super().__init__()
        self.machine = machine
        self._incarnation = machine.incarnation
        self._fibers = fibers
        self._streams = streams
        self._clock_resolution = RESOLUTION_S
        self._selector = _NothingToSelect()
        self._waiting: Resume | None = None
        self.set_exception_handler(self._note_error)

    @property
    def lives(self) -> bool:
        """Whether the process that it belongs to has not ended."""
        return self.machine.up and self.machine.incarnation == self._incarnation

    def begin(self, main: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a coroutine, and whatever it starts, until the process ends."""

        def run() -> None:
            self.call_soon(lambda: self.create_task(main()))
            self._pump()

        self.machine.after(0.0, lambda: self._fibers.spawn(self.machine, run))

    def time(self) -> float:
        """Return the machine's steady clock, in seconds."""
        return self.machine.monotonic_s()

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str, port: int
    ) -> tuple[VirtualTransport, asyncio.BaseProtocol]:
        """Connect; waits while the link is cut, as TCP does.

        Raises:
            ConnectionRefusedError: Nobody listens there.
        """
        await asyncio.sleep(2 * LOCAL_DELAY_S)
        while (transport := self._streams.connect(self, host, port)) is None:
            await asyncio.sleep(CONNECT_RETRY_S)
        protocol = protocol_factory()
        transport.begin(protocol)
        return transport, protocol

    async def create_server(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str, port: int, *, backlog: int = 0
    ) -> VirtualServer:
        """Listen."""
        return self._streams.listen(self, protocol_factory, host, port)

    def __del__(self) -> None:
        """Do nothing: what a killed process leaves behind ends with it, without a word."""

    def _pump(self) -> None:
        while True:
            outer = asyncio._get_running_loop()
            asyncio._set_running_loop(self)
            try:
                self._run_once()  # type: ignore[attr-defined]
            finally:
                asyncio._set_running_loop(outer)
            if not self._ready:  # type: ignore[attr-defined]
                self._wait_for_work()

    def _wait_for_work(self) -> None:
        timers = self._scheduled  # type: ignore[attr-defined]

        def arm(resume: Resume) -> None:
            self._waiting = resume
            if timers:
                wait_s = max(0.0, timers[0].when() - self.time())
                self.machine.after(wait_s, lambda: resume(None))

        self._fibers.wait(arm)
        self._waiting = None

    def _write_to_self(self) -> None:
        """Wake the loop: work came from outside of it."""
        if self._waiting is not None:
            resume, self._waiting = self._waiting, None
            resume(None)

    def _process_events(self, _events: object) -> None:
        """Do nothing: what arrives is a callback."""

    def _note_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        # What a process was doing when it was killed is not an error.
        if self.lives:
            logger.error("{}: {}", context["message"], context.get("exception"))


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: VirtualLoop, channel: Channel, peer: str) -> None:
        super().__init__()
        self._loop = loop
        self._channel = channel
        self._peer = peer
        self._protocol: asyncio.Protocol | None = None
        self._closing = False
        self._paused = False
        self._unread: list[bytes] = []
        self._has_ended = False
        self._lost_probes = 0
        channel.attach(loop.machine, self)

    def begin(self, protocol: asyncio.BaseProtocol) -> None:
        """Hand what arrives to a protocol from now on."""
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol
        protocol.connection_made(self)

    def received(self, _channel: Channel, message: object) -> None:
        """Take bytes from the network."""
        assert isinstance(message, bytes)
        self._loop.call_soon_threadsafe(self._take, message)

    def broken(self, _channel: Channel) -> None:
        """Take the end of the connection from the network."""
        self._loop.call_soon_threadsafe(self._take_end)

    def probe(self) -> None:
        """Look for the other end from now on, and give the connection up without an answer."""
        self._loop.call_later(PROBE_INTERVAL_S, self._probe)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        if data and not self._closing:
            self._channel.send(self._loop.machine, bytes(data))

    def close(self) -> None:
        """Close after what was sent."""
        if not self._closing:
            self._channel.close(self._loop.machine)
            self._lose(None)

    def abort(self) -> None:
        """Close at once."""
        self.close()

    def is_closing(self) -> bool:
        """Return whether it is closed, or about to be."""
        return self._closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the other end's name, or something that takes options of a socket."""
        return {"peername": (self._peer, 0), "socket": _SocketOptions(self)}.get(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return who takes what arrives."""
        assert self._protocol is not None
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Hand what arrives to another protocol."""
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol

    def pause_reading(self) -> None:
        """Hold back what arrives."""
        self._paused = True

    def resume_reading(self) -> None:
        """Hand over what was held back."""
        self._paused = False
        self._loop.call_soon(self._hand_over)

    def is_reading(self) -> bool:
        """Return whether what arrives is handed over."""
        return not self._paused and not self._closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: what is sent leaves at once."""

    def get_write_buffer_size(self) -> int:
        """Return 0: what is sent leaves at once."""
        return 0

    def can_write_eof(self) -> bool:
        """Return False: a connection ends in both directions."""
        return False

    def _take(self, data: bytes) -> None:
        self._unread.append(data)
        self._hand_over()

    def _take_end(self) -> None:
        self._has_ended = True
        self._hand_over()

    def _hand_over(self) -> None:
        while self._unread and self.is_reading():
            assert self._protocol is not None
            self._protocol.data_received(self._unread.pop(0))
        if self._has_ended and self.is_reading() and self._protocol is not None:
            self._protocol.eof_received()
            self._lose(None)

    def _lose(self, error: Exception | None) -> None:
        if self._closing:
            return
        self._closing = True
        if self._protocol is not None:
            self._loop.call_soon(self._protocol.connection_lost, error)

    def _probe(self) -> None:
        if self._closing:
            return
        self._lost_probes = 0 if self._channel.reaches_both_ways() else self._lost_probes + 1
        if self._lost_probes >= PROBES:
            self._channel.close(self._loop.machine)
            self._lose(TimeoutError("no answer to keep-alive probes"))
            return
        self._loop.call_later(PROBE_INTERVAL_S, self._probe)


class VirtualServer:
    """A listening port."""

    def __init__(self, loop: VirtualLoop, protocol_factory: ProtocolFactory) -> None:
        self._loop = loop
        self._make_protocol = protocol_factory
        self._closed = False

    @property
    def is_listening(self) -> bool:
        """Whether the process lives and has not closed the port."""
        return not self._closed and self._loop.lives

    def close(self) -> None:
        """Take no more connections."""
        self._closed = True

    def accept(self, channel: Channel, peer: str) -> None:
        """Take a connection; its protocol is made when the process gets to it."""
        transport = VirtualTransport(self._loop, channel, peer)

        def begin() -> None:
            transport.begin(self._make_protocol())

        def wake() -> None:
            self._loop.call_soon_threadsafe(begin)

        self._loop.machine.deliver(wake)


class StreamBoard:
    """Listening ports of all machines, and the connections between them.

    Attributes:
        connections: The connections.
    """

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        self.connections = Connections(scheduler, network)
        self._network = network
        self._servers: dict[tuple[str, int], VirtualServer] = {}

    def listen(
        self, loop: VirtualLoop, protocol_factory: ProtocolFactory, host: str, port: int
    ) -> VirtualServer:
        """Open a port; it closes with its process."""
        server = self._servers[host, port] = VirtualServer(loop, protocol_factory)
        return server

    def connect(self, loop: VirtualLoop, host: str, port: int) -> VirtualTransport | None:
        """Return a connection, None while its first packets are lost.

        Raises:
            ConnectionRefusedError: Nobody listens there.
        """
        source = loop.machine.name
        if not self._network.connects(source, host) and not self._network.refuses(source, host):
            return None
        server = self._servers.get((host, port))
        if server is None or not server.is_listening:
            raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
        channel = self.connections.open(loop.machine, self._network.machines[host])
        transport = VirtualTransport(loop, channel, host)
        server.accept(channel, source)
        return transport


class _NothingToSelect:
    """Stands in for a selector: what arrives is a callback."""

    def select(self, _timeout: float | None) -> list[object]:
        return []


class _SocketOptions:
    """Takes the options of a connection's socket."""

    def __init__(self, transport: VirtualTransport) -> None:
        self._transport = transport

    def fileno(self) -> int:
        """Return that it has no descriptor."""
        return -1

    def setsockopt(self, _level: int, option: int, _value: int) -> None:
        if option == socket.SO_KEEPALIVE:
            self._transport.probe()


__all__ = ["StreamBoard", "VirtualLoop", "VirtualServer", "VirtualTransport"]
