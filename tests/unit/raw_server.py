"""A server that answers with bytes as a test wants them, cut ones too."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Callable

READ_BYTES = 65536
RESET_DELAY_S = 0.004
"""Time for the other end to read what was sent: a reset discards what it has not read."""

Answer = Callable[[bytes, bytes], bytes | None]
"""Returns the bytes to send for a request's head and body; None closes without any."""


class RawServer:
    """Answers the first request of each connection with raw bytes, then ends the connection.

    Args:
        answer: Returns the bytes to send.

    Attributes:
        by_reset: Whether connections are reset, not closed in order.
        address: ``host:port`` on which it listens.
        answered: Number of requests that were answered.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        host, port = self._listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.by_reset = False
        self.answered = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                request = _read_request(connection)
                if request is None:
                    return
                self.answered += 1
                connection.sendall(self._answer(*request) or b"")
                if self.by_reset:
                    time.sleep(RESET_DELAY_S)
                    linger_off = struct.pack("ii", 1, 0)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_off)
            except OSError:
                return


def _read_request(connection: socket.socket) -> tuple[bytes, bytes] | None:
    """Return the head and the body of a request, None if the connection ended before."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(READ_BYTES)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    size_bytes = int(field(head, b"content-length") or b"0")
    while len(body) < size_bytes:
        part = connection.recv(READ_BYTES)
        if not part:
            return None
        body += part
    return head, body


def field(head: bytes, name: bytes) -> bytes:
    """Return the value of a field of a head by its name in lower case, empty without it."""
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""
