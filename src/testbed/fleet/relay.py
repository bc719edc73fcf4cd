"""TCP relay of the stand-in network: carries a delay by source and destination, can be cut.

A cut link loses nothing and closes nothing: bytes wait, as with a network that drops packets and
a transport that sends them again once the link is back.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

LISTEN_BACKLOG = 512
PROBE_INTERVAL_S = 0.05

HIGH_WATER_BYTES = 1 << 20
"""Bytes that may wait towards a slow reader before the sender is paused."""


class Link:
    """State of the traffic from one place to another.

    Attributes:
        delay_s: One-way delay.
        cut: True while nothing passes.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.cut = False
        self._heal_callbacks: list[Callable[[], None]] = []

    def set_cut(self, cut: bool) -> None:
        """Cut or heal the link; what waited passes after it is healed."""
        self.cut = cut
        if cut:
            return
        callbacks, self._heal_callbacks = self._heal_callbacks, []
        for callback in callbacks:
            callback()

    def when_healed(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once the link is healed."""
        self._heal_callbacks.append(callback)


class _Pipe:
    """One direction of a connection: bytes in order, each after the link's delay."""

    def __init__(self, link: Link, loop: asyncio.AbstractEventLoop) -> None:
        self.link = link
        self._loop = loop
        self._waiting: deque[bytes | None] = deque()
        self._target: asyncio.Transport | None = None
        self._blocked = False

    def attach(self, target: asyncio.Transport) -> None:
        self._target = target
        self._drain_all()

    def put(self, data: bytes | None) -> None:
        """Send bytes, or the end of the stream (None), after the delay."""
        self._waiting.append(data)
        self._loop.call_later(self.link.delay_s, self._drain_one)

    def _drain_one(self) -> None:
        if self._target is None or self._blocked:
            return
        if self.link.cut:
            self._blocked = True
            self.link.when_healed(self._unblock)
            return
        if self._waiting:
            self._write(self._waiting.popleft())

    def _unblock(self) -> None:
        self._blocked = False
        self._drain_all()

    def _drain_all(self) -> None:
        for _ in range(len(self._waiting)):
            self._drain_one()

    def _write(self, data: bytes | None) -> None:
        assert self._target is not None
        if self._target.is_closing():
            return
        if data is None:
            self._target.close()
        else:
            self._target.write(data)


class _Side(asyncio.Protocol):
    """One end of a relayed connection: what it receives goes into its pipe."""

    def __init__(self, pipe: _Pipe) -> None:
        self._pipe = pipe
        self.transport: asyncio.Transport | None = None
        self.peer: _Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    def data_received(self, data: bytes) -> None:
        self._pipe.put(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._pipe.put(None)

    def pause_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.resume_reading()


LinkFinder = Callable[[str], tuple[Link, Link]]
"""Gives the links (towards the target, back from it) for a source's IP number."""


class FrontListener:
    """Listens on a front address while its target does, and relays each connection.

    A dead target's front closes as the target's port did, so that callers are refused.

    Args:
        listen: Front address.
        target: Real address.
        find_links: Links by source.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int], find_links: LinkFinder
    ) -> None:
        self._listen = listen
        self._target = target
        self._find_links = find_links
        self._server: asyncio.Server | None = None
        self._probe: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Front(loop, self._target, self._find_links, self.target_refused),
            *self._listen,
            backlog=LISTEN_BACKLOG,
        )

    def target_refused(self) -> None:
        """Close the front until the target listens again."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._probe = asyncio.get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            try:
                _, writer = await asyncio.open_connection(*self._target)
            except OSError:
                continue
            writer.close()
            await self.open()
            return


class _Front(_Side):
    """The accepted end; opens the other end once it knows who connects."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        target: tuple[str, int],
        find_links: LinkFinder,
        refused: Callable[[], None],
    ) -> None:
        super().__init__(_Pipe(Link(0.0), loop))
        self._refused = refused
        self._loop = loop
        self._target = target
        self._find_links = find_links

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        forward, backward = self._find_links(transport.get_extra_info("peername")[0])
        self._pipe = _Pipe(forward, self._loop)
        self._task = self._loop.create_task(self._connect(forward, backward))

    async def _connect(self, forward: Link, backward: Link) -> None:
        assert self.transport is not None
        while forward.cut:
            healed = asyncio.Event()
            forward.when_healed(healed.set)
            await healed.wait()
        back = _Pipe(backward, self._loop)
        back.attach(self.transport)
        try:
            _, side = await self._loop.create_connection(lambda: _Side(back), *self._target)
        except OSError:
            # The caller sees its connection reset; the next one is refused.
            self.transport.abort()
            self._refused()
            return
        side.peer, self.peer = self, side
        assert side.transport is not None
        self._pipe.attach(side.transport)
