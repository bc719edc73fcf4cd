"""The operators' HTTP port, on CherryPy's own server."""

from __future__ import annotations

import threading
from typing import Any

from cheroot import wsgi

HTTP_THREADS = 16
LISTEN_BACKLOG = 128
SOCKET_TIMEOUT_S = 10
KEEP_ALIVE_CONNECTIONS = 256


class HttpServer:
    """Serves a CherryPy application in a thread.

    Args:
        host: IP number to listen on.
        port: Port; 0 picks a free one, see ``address``.
        app: The WSGI application.
    """

    def __init__(self, host: str, port: int, app: Any) -> None:
        self._server = wsgi.Server(
            (host, port),
            app,
            numthreads=HTTP_THREADS,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            server_name="leverjunction",
        )
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """``host:port`` that it listens on, known once ``start`` has returned."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind and serve in a thread; raises OSError when the address is taken."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="http", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop serving; requests in progress get cheroot's shutdown time to finish."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
            self._thread = None
