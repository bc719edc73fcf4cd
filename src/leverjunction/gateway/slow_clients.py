"""Aborts requests whose head or body arrives too slowly, so that they release their threads.

cheroot's timeout applies to a single read; a client that sends a byte from time to time never
exceeds it.
"""

from __future__ import annotations

import math
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
    """Enforces a deadline on connections while a worker thread reads their requests.

    Args:
        timeout_s: Time in seconds for the head of a request. The body has the same time again, plus
            its size divided by ``MIN_BODY_BYTES_PER_S``.
    """

    def __init__(self, timeout_s: float = REQUEST_READ_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._due_s: dict[ReadingConnection, float] = {}
        self._stopped = threading.Event()

    def reading(self, connection: ReadingConnection) -> None:
        """Start the deadline of a connection from which a worker starts to read a request."""
        with self._lock:
            self._due_s[connection] = steady_s() + self._timeout_s

    def extend(self, connection: ReadingConnection, body_bytes: int) -> None:
        """Restart the deadline after the head, with additional time for the size of the body."""
        with self._lock:
            if connection in self._due_s:
                extra_s = body_bytes / MIN_BODY_BYTES_PER_S
                self._due_s[connection] = steady_s() + self._timeout_s + extra_s

    def done(self, connection: ReadingConnection) -> None:
        """Remove the deadline of a connection whose request was read or which was released."""
        with self._lock:
            self._due_s.pop(connection, None)

    def start(self) -> None:
        """Start the thread that checks the deadlines."""
        threading.Thread(target=self._run, name="slow-senders", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread that checks the deadlines."""
        self._stopped.set()

    def check(self, now_s: float) -> int:
        """Stop reading from connections past their deadline; returns their number."""
        with self._lock:
            slow = [item for item, due_s in self._due_s.items() if now_s > due_s]
            for connection in slow:
                del self._due_s[connection]
        for connection in slow:
            _shut_down_reading(connection.socket)
        return len(slow)

    def stop_reading(self) -> int:
        """Stop reading from all connections whose requests are incomplete; returns their number."""
        return self.check(math.inf)

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            self.check(steady_s())


def _shut_down_reading(connection: socket.socket) -> None:
    """End the worker's read immediately; the response can still be written."""
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        # The peer has already closed the connection.
        return
