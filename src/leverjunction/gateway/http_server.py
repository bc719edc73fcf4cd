"""cheroot server whose streaming answers can be handed to the relay loop.

A worker thread of cheroot parses the request and writes the answer's head; then the connection is
passed on, so that no thread is held while tokens trickle in, and comes back when the stream ends.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, cast

import msgspec
from cheroot import server as cheroot_server
from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.makefile import MakeFile

from leverjunction.clock import steady_s
from leverjunction.gateway.listener import LISTEN_BACKLOG, DrainedConnections
from leverjunction.gateway.slow_clients import SlowClientGuard

HANDOVER_KEY = "leverjunction.handover"
REQUEST_KEY = "leverjunction.http_request"
KEEP_ALIVE_CONNECTIONS = 4096
SOCKET_TIMEOUT_S = 10
MAX_HEADER_BYTES = 64 * 1024
LINGER_S = 1.0
"""A refused caller that still sends its body gets so long to take the answer."""

DISCARD_BYTES = 65536


class ClientConnection(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's connection whose answer's head has been written.

    Attributes:
        connection: Its socket.
        chunked: True when the body must be written in the chunked transfer coding.
        release: Gives the connection back (True: for the next request) or closes it (False).
    """

    connection: socket.socket
    chunked: bool
    release: Callable[[bool], None]


Handover = Callable[[ClientConnection], None]
"""Takes over a caller's connection; called once, after the worker thread let go of it."""


class HandoverSlot:
    """Where a handler leaves its handover; CherryPy copies the environment, not the slot.

    Attributes:
        handover: Takes the connection over, None when the answer is an ordinary one.
        abandon: Called in its place when the answer's head could not be written.
    """

    def __init__(self) -> None:
        self.handover: Handover | None = None
        self.abandon: Callable[[], None] = _nothing_to_abandon


def _nothing_to_abandon() -> None:
    """Do nothing."""


class _Request(cheroot_server.HTTPRequest):
    """Request whose answer ends its connection when the server is about to stop."""

    def send_headers(self) -> None:
        if cast(StreamingServer, self.server).is_leaving:
            self.close_connection = True
        super().send_headers()


class _Connection(cheroot_server.HTTPConnection):
    """Connection that a worker thread passes on instead of closing it."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, makefile)
        self._pending: tuple[Handover, bool, bool] | None = None
        self._body_is_unread = False

    def communicate(self) -> bool:
        guard = cast(StreamingServer, self.server).guard
        guard.reading(self)
        try:
            return cast(bool, super().communicate())
        finally:
            guard.done(self)

    def pass_on(self, handover: Handover, chunked: bool, keep: bool) -> None:
        """Arrange that the worker's ``close`` passes the connection to ``handover``."""
        self._pending = (handover, chunked, keep)

    def leave_body_unread(self) -> None:
        """Arrange that ``close`` lets the caller read its answer although its body is unread."""
        self._body_is_unread = True

    def close(self) -> None:
        # The worker closes a connection as the last thing that it does with it: only then may
        # another thread use it.
        if self._pending is None:
            if self._body_is_unread:
                self._discard_body()
            super().close()
            return
        handover, chunked, keep = self._pending
        self._pending = None
        handover(
            ClientConnection(
                connection=self.socket,
                chunked=chunked,
                release=lambda reusable: self._release(reusable and keep),
            )
        )

    def _discard_body(self) -> None:
        """Read on for a while: closing with unread bytes resets the connection, and the caller
        may lose the answer.
        """
        end_s = steady_s() + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (left_s := end_s - steady_s()) > 0:
                self.socket.settimeout(left_s)
                if not self.socket.recv(DISCARD_BYTES):
                    return
        except OSError:
            # It closed first, or sends nothing more.
            return

    def _release(self, reusable: bool) -> None:
        if not reusable:
            super().close()
            return
        self.socket.settimeout(self.server.timeout)
        self.server.put_conn(self)


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that lets handlers reach the HTTP request and pass its connection on."""

    def get_environ(self) -> Any:
        # The base class's own annotation says None; its subclasses return the environment.
        environ: dict[str, Any] = super().get_environ()
        environ[REQUEST_KEY] = self.req
        environ[HANDOVER_KEY] = HandoverSlot()
        length = int(self.req.inheaders.get(b"Content-Length", 0))
        if length or self.req.chunked_read:
            self.req.server.guard.extend(self.req.conn, length)
        else:
            self.req.server.guard.done(self.req.conn)
        return environ

    def respond(self) -> None:
        slot = cast(HandoverSlot, self.env[HANDOVER_KEY])
        try:
            super().respond()
        except Exception:
            slot.abandon()
            raise
        handover = slot.handover
        if handover is None:
            return
        keep = not self.req.close_connection
        self.req.conn.pass_on(handover, self.req.chunked_write, keep)
        # The relay ends the body; cheroot must neither end it nor wait for the next request.
        self.req.chunked_write = False
        self.req.close_connection = True


def body_is_read(environ: dict[str, Any]) -> None:
    """Tell the server that a request's body is read, so that it is no longer timed."""
    request = environ.get(REQUEST_KEY)
    if request is not None:
        request.server.guard.done(request.conn)


def refuse_body(environ: dict[str, Any]) -> None:
    """Tell the server that a request is refused although its body is not read to its end.

    The answer is written at once and the connection closed after it.
    """
    request = environ.get(REQUEST_KEY)
    if request is None:
        return
    is_read = not request.chunked_read and request.rfile.remaining <= 0
    if not is_read:
        request.close_connection = True
        request.conn.leave_body_unread()


class StreamingServer(wsgi.Server):
    """Server of the callers' HTTP port.

    Attributes:
        is_leaving: True once a stop was asked for: each answer ends its connection, so that callers
            turn to another gateway and none is idle on a connection that is about to end.
    """

    ConnectionClass = _Connection
    request_queue_size = LISTEN_BACKLOG
    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
    max_request_header_size = MAX_HEADER_BYTES
    _connections: ConnectionManager

    def __init__(self, host: str, port: int, app: Any, threads: int, name: str) -> None:
        super().__init__(
            (host, port),
            app,
            numthreads=threads,
            server_name=name,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
        )
        self.gateway = _Gateway
        self.guard = SlowClientGuard()
        self.is_leaving = False

    def prepare(self) -> None:
        """Bind, listen and start the workers; raises OSError when the address is taken."""
        super().prepare()
        self._connections.close()
        self._connections = DrainedConnections(self)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Drop cheroot's lines about callers that went away: counters tell of them."""
