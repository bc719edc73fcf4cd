"""cheroot server that can hand the connection of a streamed response over to the relay loop.

A cheroot worker thread parses the request and writes the response head. It then hands the
connection over, so that no thread is occupied while the engine generates tokens. When the stream
ends, the connection returns to the server for the next request or is closed.
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
from leverjunction.gateway.slow_clients import SlowClientGuard
from leverjunction.wire.draining_connections import DrainingConnectionManager

HANDOVER_KEY = "leverjunction.handover"
REQUEST_KEY = "leverjunction.http_request"
LISTEN_BACKLOG = 512
"""Length of the kernel's accept backlog, in connections."""

KEEP_ALIVE_CONNECTIONS = 4096
SOCKET_TIMEOUT_S = 10
MAX_HEADER_BYTES = 64 * 1024
LINGER_S = 1.0
"""Time for a caller that is still sending a refused body to read the response."""

DISCARD_BYTES = 65536


class ClientConnection(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's connection on which the response head has been written.

    Attributes:
        connection: Socket of the connection.
        chunked: True if the body must be written in the chunked transfer coding.
        release: Ends the handover: True returns the connection to the server for the next request,
            False closes it.
    """

    connection: socket.socket
    chunked: bool
    release: Callable[[bool], None]


Handover = Callable[[ClientConnection], None]
"""Takes over a caller's connection; called once, after the worker thread has released it."""


class HandoverSlot:
    """Holds the handover that a request handler sets for the server.

    The slot is an object in the WSGI environment, since CherryPy copies the environment itself.

    Attributes:
        handover: Takes over the connection; None for a response that the worker writes itself.
        abandon: Called instead of ``handover`` if the response head could not be written.
    """

    def __init__(self) -> None:
        self.handover: Handover | None = None
        self.abandon: Callable[[], None] = _no_handover_to_abandon


def _no_handover_to_abandon() -> None:
    """Do nothing; used for responses without a handover."""


class _Request(cheroot_server.HTTPRequest):
    """Request whose response closes the connection if the server is stopping."""

    def send_headers(self) -> None:
        if cast(StreamingServer, self.server).is_stopping:
            self.close_connection = True
        super().send_headers()


class _Connection(cheroot_server.HTTPConnection):
    """Connection that a worker thread can hand over instead of closing it."""

    RequestHandlerClass = _Request

    def __init__(self, server: Any, sock: Any, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, makefile)
        self._pending_handover: tuple[Handover, bool, bool] | None = None
        self._body_is_unread = False

    def communicate(self) -> bool:
        guard = cast(StreamingServer, self.server).guard
        guard.reading(self)
        try:
            return cast(bool, super().communicate())
        finally:
            guard.done(self)

    def set_handover(self, handover: Handover, chunked: bool, keep_alive: bool) -> None:
        """Make the worker's call of ``close`` pass the connection to ``handover``.

        Args:
            handover: Takes over the connection.
            chunked: True if the body is written in the chunked transfer coding.
            keep_alive: True if the connection may serve another request after the stream.
        """
        self._pending_handover = (handover, chunked, keep_alive)

    def mark_body_unread(self) -> None:
        """Make ``close`` give the caller time to read the response, as its body is unread."""
        self._body_is_unread = True

    def close(self) -> None:
        # ``close`` is the worker's last use of the connection: from then on another thread may
        # use it.
        if self._pending_handover is None:
            if self._body_is_unread:
                self._discard_body()
            super().close()
            return
        handover, chunked, keep_alive = self._pending_handover
        self._pending_handover = None
        handover(
            ClientConnection(
                connection=self.socket,
                chunked=chunked,
                release=lambda reusable: self._release(reusable and keep_alive),
            )
        )

    def _discard_body(self) -> None:
        """Read and discard the rest of the body for up to ``LINGER_S``.

        Closing a socket with unread bytes resets the connection, which may lose the response.
        """
        end_s = steady_s() + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while (left_s := end_s - steady_s()) > 0:
                self.socket.settimeout(left_s)
                if not self.socket.recv(DISCARD_BYTES):
                    return
        except OSError:
            # The caller has closed the connection or stopped sending.
            return

    def _release(self, reusable: bool) -> None:
        if not reusable:
            super().close()
            return
        self.socket.settimeout(self.server.timeout)
        self.server.put_conn(self)


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that gives handlers access to the HTTP request and its handover slot."""

    def get_environ(self) -> Any:
        # The base class is annotated to return None; its subclasses return the environment.
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
        keep_alive = not self.req.close_connection
        self.req.conn.set_handover(handover, self.req.chunked_write, keep_alive)
        # The relay ends the body; cheroot must neither end it nor wait for the next request.
        self.req.chunked_write = False
        self.req.close_connection = True


def body_is_read(environ: dict[str, Any]) -> None:
    """Remove the read deadline of a request whose body has been read completely."""
    request = environ.get(REQUEST_KEY)
    if request is not None:
        request.server.guard.done(request.conn)


def refuse_body(environ: dict[str, Any]) -> None:
    """Prepare the connection for the refusal of a request whose body may be partly unread.

    If it is, the response is written without reading the rest and the connection is closed
    afterwards.
    """
    request = environ.get(REQUEST_KEY)
    if request is None:
        return
    is_read = not request.chunked_read and request.rfile.remaining <= 0
    if not is_read:
        request.close_connection = True
        request.conn.mark_body_unread()


class StreamingServer(wsgi.Server):
    """HTTP server for the callers of the gateway.

    Attributes:
        guard: Aborts requests that arrive too slowly.
        is_stopping: True during a planned stop: each response then closes its connection, so that
            callers reconnect to another gateway and no idle connection is left at the end.
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
        self.is_stopping = False

    def prepare(self) -> None:
        """Bind, listen and start the worker threads.

        Raises:
            OSError: The address is in use or not available.
        """
        super().prepare()
        self._connections.close()
        self._connections = DrainingConnectionManager(self)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Drop cheroot's log lines about disconnected callers, which metrics count."""
