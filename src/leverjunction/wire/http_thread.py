"""Serves a WSGI application in a thread, on Cheroot (the HTTP server of CherryPy)."""

from __future__ import annotations

import threading
from typing import Any

import msgspec
from cheroot import wsgi
from cheroot.connections import ConnectionManager

from leverjunction.wire.draining_connections import DrainingConnectionManager

MAX_HEAD_BYTES = 64 * 1024
"""Bytes of the request line and of all header fields of a request; Cheroot has no bound."""


MAX_BODY_BYTES = 64 * 1024 * 1024
"""Bytes of the largest request's body that any server accepts."""


class HttpServerOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Name and limits of an HTTP server.

    Attributes:
        name: Name of the serving thread.
        server_name: Value of the ``Server`` header of each response.
        threads: Number of requests served concurrently.
        backlog: Connections that may wait to be accepted.
        idle_timeout_s: Timeout of an idle connection, and of a client that stalls within a request
            and so occupies a thread.
        keep_alive_connections: Number of idle connections kept open. The default of Cheroot is 10.
        max_body_bytes: Maximum size of a request's body. Larger ones are refused by their head, as
            Cheroot would read what the application leaves unread at once.
    """

    name: str
    server_name: str
    threads: int
    backlog: int
    idle_timeout_s: int
    keep_alive_connections: int
    max_body_bytes: int = MAX_BODY_BYTES


class _Server(wsgi.Server):
    """Server that answers the calls which had arrived before it was stopped."""

    _connections: ConnectionManager

    def prepare(self) -> None:
        super().prepare()
        self._connections.close()
        self._connections = DrainingConnectionManager(self)


class HttpServer:
    """Serves a WSGI application in its own thread.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 binds a free port, see ``address``.
        app: The WSGI application.
        options: Name and limits of the server.
    """

    def __init__(self, host: str, port: int, app: Any, options: HttpServerOptions) -> None:
        self._name = options.name
        self._server = _Server(
            (host, port),
            app,
            numthreads=options.threads,
            request_queue_size=options.backlog,
            timeout=options.idle_timeout_s,
            server_name=options.server_name,
        )
        self._server.keep_alive_conn_limit = options.keep_alive_connections
        self._server.max_request_header_size = MAX_HEAD_BYTES
        self._server.max_request_body_size = options.max_body_bytes
        self._thread: threading.Thread | None = None
        self._listening = threading.Event()
        self._start_error: OSError | None = None

    @property
    def address(self) -> str:
        """``host:port`` that the server listens on, known once ``start`` has returned."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the port and serve in a thread.

        Raises:
            OSError: The address is in use.
        """
        self._thread = threading.Thread(target=self._serve, name=self._name, daemon=True)
        self._thread.start()
        self._listening.wait()
        if self._start_error is not None:
            raise self._start_error

    def _serve(self) -> None:
        # Prepared in this daemon thread, so that the workers become daemon threads as well. The
        # interpreter waits for other threads, and a process whose start failed after its port was
        # opened would keep serving.
        try:
            self._server.prepare()
        except OSError as error:
            self._start_error = error
            return
        finally:
            self._listening.set()
        self._server.serve()

    def stop(self) -> None:
        """Answer the calls that have arrived, then stop serving.

        Calls in progress have Cheroot's shutdown timeout to finish.
        """
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
            self._thread = None
