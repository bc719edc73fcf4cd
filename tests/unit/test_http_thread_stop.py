"""HTTP servers of control processes and stores during a planned stop: each caller gets an answer."""

from __future__ import annotations

import http.client
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from leverjunction.wire.http_thread import HttpServer, HttpServerOptions

WAIT_S = 30.0
CALLERS = 3
ANSWER = b"answered"


def _app(_environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
    start("200 OK", [("Content-Length", str(len(ANSWER)))])
    return [ANSWER]


@pytest.fixture
def server() -> Iterator[HttpServer]:
    """A server whose accept loop does not run, so that connections wait in the listener's queue."""
    options = HttpServerOptions(
        name="calls",
        server_name="test",
        threads=2,
        backlog=16,
        idle_timeout_s=10,
        keep_alive_connections=16,
    )
    server = HttpServer("127.0.0.1", 0, _app, options)
    server._server.prepare()
    yield server
    server.stop()


def _connect(server: HttpServer) -> http.client.HTTPConnection:
    host, port = server._server.bind_addr[:2]
    caller = http.client.HTTPConnection(host, port, timeout=WAIT_S)
    caller.connect()
    return caller


def _read_answer(caller: http.client.HTTPConnection) -> bytes:
    try:
        return caller.getresponse().read()
    finally:
        caller.close()


def test_calls_in_the_queue_of_a_stopping_listener_are_answered(server: HttpServer) -> None:
    callers = [_connect(server) for _ in range(CALLERS)]
    for caller in callers:
        caller.request("GET", "/")
    server.stop()
    assert [_read_answer(caller) for caller in callers] == [ANSWER] * CALLERS


def test_a_call_on_a_kept_connection_that_arrived_before_the_stop_is_answered(
    server: HttpServer,
) -> None:
    caller = _connect(server)
    caller.request("GET", "/")
    manager = server._server._connections
    server._server.process_conn(manager._from_server_socket(server._server.socket))
    assert caller.getresponse().read() == ANSWER
    registered = threading.Event()
    while manager._num_connections < 1:
        assert not registered.wait(0.01)
    caller.request("GET", "/")
    server.stop()
    response = caller.getresponse()
    assert response.read() == ANSWER
    assert response.headers["Connection"] == "close"
