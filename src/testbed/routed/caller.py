"""A caller that shows the raw bytes of what it got."""

from __future__ import annotations

import select
import socket
import time

import h11

READ_BYTES = 65536


class RawReply:
    """What came for one request.

    Attributes:
        status: Status of the answer, 0 when none came.
        headers: Its header fields by lower-case name.
        body: As much of its body as came.
        complete: True when the framing says that the body is whole.
        after_s: Time until the end of the answer or of the connection.
        body_at_s: When the first bytes of its body came, in monotonic seconds; None before.
    """

    __slots__ = ("after_s", "body", "body_at_s", "complete", "headers", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.after_s = 0.0
        self.body_at_s: float | None = None


class RawCaller:
    """One connection to a gateway."""

    def __init__(self, address: str, timeout_s: float = 5.0) -> None:
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)), timeout_s)
        self._h11 = h11.Connection(h11.CLIENT)

    def send(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a request with a length."""
        fields = [*headers.items(), ("Content-Length", str(len(body)))]
        request = h11.Request(method=method, target=target, headers=fields)
        data = self._h11.send(request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._socket.sendall(data)

    def send_head(self, method: str, target: str, headers: dict[str, str], length: int) -> None:
        """Send the head of a request whose body does not follow."""
        fields = [*headers.items(), ("Content-Length", str(length))]
        request = h11.Request(method=method, target=target, headers=fields)
        self._socket.sendall(self._h11.send(request) or b"")

    def receive(self, into: RawReply | None = None) -> RawReply:
        """Read one answer, or what comes of it.

        Args:
            into: Filled while the answer comes, so that other threads can watch it; None for a
                new one.
        """
        reply = into or RawReply()
        started_s = time.monotonic()
        try:
            while not reply.complete and self._take(reply):
                pass
        except (OSError, h11.RemoteProtocolError):
            pass
        reply.after_s = time.monotonic() - started_s
        if reply.complete and self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        return reply

    def ask(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> RawReply:
        """Send a request and read its answer."""
        self.send(method, target, headers, body)
        return self.receive()

    def has_ended(self) -> bool:
        """Return whether the other side has closed the connection: it reads nothing more."""
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        if not poll.poll(0):
            return False
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def close(self) -> None:
        """Leave."""
        self._socket.close()

    def _take(self, reply: RawReply) -> bool:
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            self._h11.receive_data(self._socket.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = {
                name.decode().lower(): value.decode() for name, value in event.headers.raw_items()
            }
        elif isinstance(event, h11.Data):
            reply.body += bytes(event.data)
            if reply.body_at_s is None:
                reply.body_at_s = time.monotonic()
        elif isinstance(event, h11.EndOfMessage):
            reply.complete = True
        elif isinstance(event, h11.ConnectionClosed):
            return False
        return True
