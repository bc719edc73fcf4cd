"""A WSGI application on CherryPy's own HTTP server, served in a thread."""

from __future__ import annotations

import threading
from typing import Any

import msgspec
from cheroot import wsgi


class HttpServerOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What distinguishes one HTTP port from another.

    Attributes:
        name: Name of the serving thread.
        server_name: Sent with each answer.
        threads: Requests served at once.
        backlog: Connections that may wait to be accepted.
        idle_timeout_s: For a kept connection, and for a sender that stops in the middle: it holds
            a thread.
        keep_alive_connections: Idle connections kept open; cheroot's own default is 10.
    """

    name: str
    server_name: str
    threads: int
    backlog: int
    idle_timeout_s: int
    keep_alive_connections: int


class HttpServer:
    """Serves an application in a thread of its own.

    Args:
        host: IP number to listen on.
        port: Port; 0 picks a free one, see ``address``.
        app: The WSGI application.
        options: Limits of the port.
    """

    def __init__(self, host: str, port: int, app: Any, options: HttpServerOptions) -> None:
        self._name = options.name
        self._server = wsgi.Server(
            (host, port),
            app,
            numthreads=options.threads,
            request_queue_size=options.backlog,
            timeout=options.idle_timeout_s,
            server_name=options.server_name,
        )
        self._server.keep_alive_conn_limit = options.keep_alive_connections
        self._thread: threading.Thread | None = None
        self._listening = threading.Event()
        self._fault: OSError | None = None

    @property
    def address(self) -> str:
        """``host:port`` that it listens on, known once ``start`` has returned."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind and serve in a thread; raises OSError when the address is taken."""
        self._thread = threading.Thread(target=self._serve, name=self._name, daemon=True)
        self._thread.start()
        self._listening.wait()
        if self._fault is not None:
            raise self._fault

    def _serve(self) -> None:
        # Here, so that the workers are daemon threads as well: a process whose start failed after
        # its port was opened went on answering for good, since the interpreter waited for them.
        try:
            self._server.prepare()
        except OSError as error:
            self._fault = error
            return
        finally:
            self._listening.set()
        self._server.serve()

    def stop(self) -> None:
        """Stop serving; requests in progress get cheroot's shutdown time to finish."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
            self._thread = None
