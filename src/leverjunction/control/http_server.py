"""The operators' HTTP port, on CherryPy's own server."""

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
    """Return the server of the operators' port, not yet started; port 0 picks a free one."""
    return HttpServer(host, port, app, OPERATORS_PORT)
