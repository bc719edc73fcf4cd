"""Ends requests whose head and body take too long to arrive, so that they free their threads.

cheroot's own timeout is for one read; a sender that drips a byte now and then passes it for ever.
"""

from __future__ import annotations

import socket
import threading
from typing import Protocol

from leverjunction.clock import steady_s

REQUEST_READ_TIMEOUT_S = 15.0
CHECK_INTERVAL_S = 1.0
MIN_BODY_BYTES_PER_S = 64 * 1024


class ReadingConnection(Protocol):
    """A connection whose request is being read."""

    socket: socket.socket


class SlowClientGuard:
    """Watches connections while a worker reads their requests."""

    def __init__(self, timeout_s: float = REQUEST_READ_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._due_s: dict[ReadingConnection, float] = {}
        self._stopped = threading.Event()

    def reading(self, connection: ReadingConnection) -> None:
        """A worker starts to read a request from a connection."""
        with self._lock:
            self._due_s[connection] = steady_s() + self._timeout_s

    def extend(self, connection: ReadingConnection, body_bytes: int) -> None:
        """The head is read; its body of so many bytes gets time in proportion."""
        with self._lock:
            if connection in self._due_s:
                extra_s = body_bytes / MIN_BODY_BYTES_PER_S
                self._due_s[connection] = steady_s() + self._timeout_s + extra_s

    def done(self, connection: ReadingConnection) -> None:
        """The request is read, or its connection is let go."""
        with self._lock:
            self._due_s.pop(connection, None)

    def start(self) -> None:
        """Start the watching thread."""
        threading.Thread(target=self._run, name="slow-senders", daemon=True).start()

    def stop(self) -> None:
        """End the watching thread."""
        self._stopped.set()

    def check(self, now_s: float) -> int:
        """Stop reading from connections that are too slow; returns their number."""
        with self._lock:
            slow = [item for item, due_s in self._due_s.items() if now_s > due_s]
            for connection in slow:
                del self._due_s[connection]
        for connection in slow:
            _end_reading(connection.socket)
        return len(slow)

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            self.check(steady_s())


def _end_reading(connection: socket.socket) -> None:
    """Make the worker's read end at once; the answer can still be written."""
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        # Already closed by its peer.
        return
