"""The HTTP server of the operators' API, on Cheroot (the server of CherryPy)."""

from __future__ import annotations

from typing import Any

from leverjunction.wire.http_thread import HttpServer, HttpServerOptions

OPERATORS_PORT = HttpServerOptions(
    name="http",
    server_name="leverjunction",
    threads=16,
    backlog=128,
    idle_timeout_s=10,
    keep_alive_connections=256,
)


def operators_server(host: str, port: int, app: Any) -> HttpServer:
    """Return the operators' server, not yet started. Port 0 binds a free port."""
    return HttpServer(host, port, app, OPERATORS_PORT)
