"""The HTTP server for callers during a planned stop: every connected caller gets a response."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from leverjunction.gateway.http_server import StreamingServer

REQUEST = b"GET / HTTP/1.1\r\nHost: gateway\r\n\r\n"
RESPONSE = b"refused"
WAIT_S = 30.0
CALLERS = 3


def _app(_environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
    start("503 Service Unavailable", [("Content-Length", str(len(RESPONSE)))])
    return [RESPONSE]


@pytest.fixture
def server() -> Iterator[StreamingServer]:
    server = StreamingServer("127.0.0.1", 0, _app, threads=2, name="gateway")
    server.prepare()
    yield server
    server.stop()


def _send_request(server: StreamingServer) -> socket.socket:
    caller = socket.create_connection(server.bind_addr[:2], WAIT_S)
    caller.sendall(REQUEST)
    return caller


def _read_all(caller: socket.socket) -> bytes:
    with caller:
        return b"".join(iter(lambda: caller.recv(4096), b""))


def test_callers_in_the_accept_backlog_get_a_response_at_a_stop(server: StreamingServer) -> None:
    """Connections in the accept backlog were reset at a stop, without a response.

    The server's accept loop does not run here, so the callers wait in the backlog.
    """
    callers = [_send_request(server) for _ in range(CALLERS)]
    server.stop()
    assert all(_read_all(caller).endswith(RESPONSE) for caller in callers)
    with pytest.raises(ConnectionRefusedError):
        _send_request(server)


def test_responses_of_a_stopping_server_close_their_connections(server: StreamingServer) -> None:
    server.is_stopping = True
    threading.Thread(target=server.serve, daemon=True).start()
    response = _read_all(_send_request(server))
    assert b"connection: close" in response.lower()
