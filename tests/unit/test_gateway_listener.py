"""The callers' port at a planned stop: whoever has connected gets an answer."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from leverjunction.gateway.http_server import StreamingServer

REQUEST = b"GET / HTTP/1.1\r\nHost: gateway\r\n\r\n"
ANSWER = b"refused"
WAIT_S = 30.0
WAITING = 3


def _app(_environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
    start("503 Service Unavailable", [("Content-Length", str(len(ANSWER)))])
    return [ANSWER]


@pytest.fixture
def server() -> Iterator[StreamingServer]:
    server = StreamingServer("127.0.0.1", 0, _app, threads=2, name="gateway")
    server.prepare()
    yield server
    server.stop()


def _call(server: StreamingServer) -> socket.socket:
    caller = socket.create_connection(server.bind_addr[:2], WAIT_S)
    caller.sendall(REQUEST)
    return caller


def _read_all(caller: socket.socket) -> bytes:
    with caller:
        return b"".join(iter(lambda: caller.recv(4096), b""))


def test_callers_that_the_system_accepted_are_answered_at_a_stop(server: StreamingServer) -> None:
    """Nobody accepts yet, so these wait in the backlog; they used to see a reset."""
    callers = [_call(server) for _ in range(WAITING)]
    server.stop()
    assert all(_read_all(caller).endswith(ANSWER) for caller in callers)
    with pytest.raises(ConnectionRefusedError):
        _call(server)


def test_answers_of_a_leaving_server_end_their_connections(server: StreamingServer) -> None:
    server.is_stopping = True
    threading.Thread(target=server.serve, daemon=True).start()
    answer = _read_all(_call(server))
    assert b"connection: close" in answer.lower()
