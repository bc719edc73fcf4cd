"""Stands in for sockets and selectors: the product's relay loop runs on simulated connections."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from typing import NamedTuple

from testbed.simulation.fiber import Resume
from testbed.simulation.virtual_threads import VirtualThreading


class VirtualSocket:
    """One end of a connection, always writable; never blocks."""

    def __init__(
        self,
        on_send: Callable[[bytes], None] | None = None,
        on_close: Callable[[], None] | None = None,
    ) -> None:
        self._inbox = bytearray()
        self._ended = False
        self._broken = False
        self._closed = False
        self._on_send = on_send
        self._on_close = on_close
        self._selectors: list[VirtualSelector] = []

    def feed(self, data: bytes) -> None:
        """Take bytes that arrived."""
        self._inbox += data
        self._changed()

    def end(self) -> None:
        """The other end closed in good order."""
        self._ended = True
        self._changed()

    def break_off(self) -> None:
        """The connection was reset."""
        self._broken = True
        self._changed()

    def readable(self) -> bool:
        """Return whether ``recv`` would not block."""
        return bool(self._inbox) or self._ended or self._broken

    def setblocking(self, _blocking: bool) -> None:
        """Do nothing: calls never block."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return bytes that arrived, empty at the end."""
        if self._inbox:
            data = bytes(self._inbox[:size])
            if not flags & socket.MSG_PEEK:
                del self._inbox[:size]
            return data
        if self._broken:
            raise ConnectionResetError("connection reset")
        if self._ended:
            return b""
        raise BlockingIOError

    def send(self, data: bytes) -> int:
        """Send bytes."""
        if self._broken or self._closed:
            raise ConnectionResetError("connection reset")
        if self._on_send is not None:
            self._on_send(bytes(data))
        return len(data)

    def close(self) -> None:
        """Close the connection."""
        if self._closed:
            return
        self._closed = True
        if self._on_close is not None:
            self._on_close()

    def watch(self, selector: VirtualSelector) -> None:
        """Tell a selector of changes from here on."""
        self._selectors.append(selector)

    def unwatch(self, selector: VirtualSelector) -> None:
        """Tell a selector no more."""
        self._selectors.remove(selector)

    def _changed(self) -> None:
        for selector in list(self._selectors):
            selector.wake()


class Key(NamedTuple):
    """What is registered for a socket."""

    fileobj: VirtualSocket
    events: int
    data: object


class VirtualSelector:
    """A level-triggered selector over virtual sockets."""

    def __init__(self, threading: VirtualThreading) -> None:
        self._threading = threading
        self._keys: dict[VirtualSocket, Key] = {}
        self._waiting: Resume | None = None

    def register(self, fileobj: VirtualSocket, events: int, data: object = None) -> Key:
        """Begin to watch a socket."""
        if fileobj in self._keys:
            raise KeyError(f"{fileobj!r} is already registered")
        fileobj.watch(self)
        self._keys[fileobj] = Key(fileobj, events, data)
        self.wake()
        return self._keys[fileobj]

    def modify(self, fileobj: VirtualSocket, events: int, data: object = None) -> Key:
        """Change what is watched of a socket."""
        self._keys[fileobj] = Key(fileobj, events, data)
        self.wake()
        return self._keys[fileobj]

    def unregister(self, fileobj: VirtualSocket) -> Key:
        """Watch a socket no more."""
        fileobj.unwatch(self)
        return self._keys.pop(fileobj)

    def get_map(self) -> dict[VirtualSocket, Key]:
        """Return all that is watched."""
        return self._keys

    def get_key(self, fileobj: VirtualSocket) -> Key:
        """Return what is registered for a socket."""
        return self._keys[fileobj]

    def select(self, timeout: float | None = None) -> list[tuple[Key, int]]:
        """Return what is ready, waiting for it if nothing is."""
        ready = self._ready()
        if ready:
            return ready
        machine = self._threading.machine()

        def arm(resume: Resume) -> None:
            self._waiting = resume
            if timeout is not None:
                machine.after(timeout, lambda: resume(None))

        self._threading.fibers.wait(arm)
        self._waiting = None
        return self._ready()

    def wake(self) -> None:
        """Let ``select`` look again."""
        if self._waiting is not None:
            resume, self._waiting = self._waiting, None
            resume(None)

    def _ready(self) -> list[tuple[Key, int]]:
        ready = []
        for key in list(self._keys.values()):
            events = selectors.EVENT_READ if key.fileobj.readable() else 0
            events = (events | selectors.EVENT_WRITE) & key.events
            if events:
                ready.append((key, events))
        return ready


class VirtualSelectors:
    """Stands in for the ``selectors`` module."""

    EVENT_READ = selectors.EVENT_READ
    EVENT_WRITE = selectors.EVENT_WRITE

    def __init__(self, threading: VirtualThreading) -> None:
        self._threading = threading

    def DefaultSelector(self) -> VirtualSelector:  # noqa: N802 (name of the standard library)
        """Return a selector."""
        return VirtualSelector(self._threading)


class VirtualSocketModule:
    """Stands in for the ``socket`` module."""

    MSG_PEEK = socket.MSG_PEEK

    @staticmethod
    def socketpair() -> tuple[VirtualSocket, VirtualSocket]:
        """Return a reader and the writer that feeds it."""
        reader = VirtualSocket()
        return reader, VirtualSocket(on_send=reader.feed)
