"""A relay on loopback in front of a runner, by which its connections come to harm."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Callable

from testbed.routed.runner import end_tasks

READ_BYTES = 65536
HELD_POLL_S = 0.02
Connected = Callable[[tuple[int, int]], None]


class _Connection:
    """One connection through a relay.

    Attributes:
        near: Towards the system.
        far: Towards the runner.
        mute_to: Whatever still comes for the runner is swallowed, for good.
        mute_from: Whatever still comes from the runner is swallowed, for good.
    """

    __slots__ = ("far", "mute_from", "mute_to", "near")

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.near = near
        self.far = far
        self.mute_to = False
        self.mute_from = False


class Relay:
    """Carries connections to an address; used by its own event loop, set by any thread.

    A connection that has swallowed a piece stays silent when the others are healed: no network
    lets a piece go missing and carries the next.

    Attributes:
        delay_s: How long each piece is held back, both ways.
        held: Nothing is carried now; it will be later.
        silent_to: Pieces towards the runner are swallowed.
        silent_from: Pieces from the runner are swallowed.
        address: Where it listens.
        ends: Ports of both ends of each connection, by the port from which the runner sees it.

    Args:
        target: Where the runner listens.
        connected: Called with the ports of both ends of each connection that comes.
    """

    def __init__(self, target: str, connected: Connected = lambda _ends: None) -> None:
        self._target = target
        self._connected = connected
        self._loop = asyncio.new_event_loop()
        self._connections: set[_Connection] = set()
        self._started = threading.Event()
        self.delay_s = 0.0
        self.held = False
        self.silent_to = False
        self.silent_from = False
        self.address = ""
        self.ends: dict[int, tuple[int, int]] = {}
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)
        self._thread.start()
        self._started.wait()

    @property
    def is_harmed(self) -> bool:
        """Whether anything is done to what it carries."""
        return bool(self.delay_s or self.held or self.silent_to or self.silent_from)

    def heal(self) -> None:
        """Carry everything at once again, on connections that have lost nothing."""
        self.delay_s = 0.0
        self.held = False
        self.silent_to = self.silent_from = False

    def reset(self) -> None:
        """Reset all connections."""
        self._call(self._reset_all)

    def lose_answers(self) -> None:
        """Swallow the answers of all connections that are open now; they stay open."""
        self._call(self._lose_answers)

    def fall_silent(self) -> None:
        """Carry nothing more on all connections that are open now; they stay open."""
        self._call(self._fall_silent)

    def close(self) -> None:
        """Stop; nobody listens there then. A relay that was stopped before stays so."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _call(self, action: Callable[[], None]) -> None:
        """Have something done by the loop; of one that was stopped nothing is left to harm."""
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(action)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, "127.0.0.1", 0))
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self._started.set()
        self._loop.run_forever()
        server.close()
        end_tasks(self._loop)
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._join(reader, writer)
        except asyncio.CancelledError:
            # The relay closes.
            writer.transport.abort()

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            onward_reader, onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        ends = (_port(writer, "peername"), _port(writer, "sockname"))
        self.ends[_port(onward, "sockname")] = ends
        self._connected(ends)
        connection = _Connection(writer, onward)
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(connection, reader, towards=True))
                group.create_task(self._carry(connection, onward_reader, towards=False))
        except* OSError:
            pass
        finally:
            self._connections.discard(connection)
            writer.close()
            onward.close()

    async def _carry(
        self, connection: _Connection, reader: asyncio.StreamReader, *, towards: bool
    ) -> None:
        writer = connection.far if towards else connection.near
        while data := await reader.read(READ_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while self.held:
                await asyncio.sleep(HELD_POLL_S)
            if self._is_swallowed(connection, towards=towards):
                continue
            writer.write(data)
            await writer.drain()
        # Who waits at a silent connection isn't told that its other end is gone.
        if towards or not connection.mute_from:
            writer.close()

    def _is_swallowed(self, connection: _Connection, *, towards: bool) -> bool:
        if towards:
            connection.mute_to = connection.mute_to or self.silent_to
            return connection.mute_to
        connection.mute_from = connection.mute_from or self.silent_from
        return connection.mute_from

    def _lose_answers(self) -> None:
        for connection in self._connections:
            connection.mute_from = True

    def _fall_silent(self) -> None:
        for connection in self._connections:
            connection.mute_from = connection.mute_to = True

    def _reset_all(self) -> None:
        linger_off = struct.pack("ii", 1, 0)
        for connection in list(self._connections):
            for writer in (connection.near, connection.far):
                # One that is closing has given its socket back.
                own = writer.get_extra_info("socket")
                if own is not None and own.fileno() >= 0:
                    own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_off)
                writer.transport.abort()


def _port(writer: asyncio.StreamWriter, side: str) -> int:
    address = writer.get_extra_info(side)
    return int(address[1]) if address else 0
