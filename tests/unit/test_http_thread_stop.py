"""HTTP servers of control processes and stores at a planned stop: each caller gets an answer."""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any
from unittest.mock import Mock

import pytest

from leverjunction.platform.control_calls import ControlCalls
from leverjunction.registry.node import RegistryNode
from leverjunction.wire.http_thread import HttpServer, HttpServerOptions

WAIT_S = 30.0
CALLERS = 3
REQUEST = b"GET / HTTP/1.1\r\nHost: control\r\n\r\n"
ANSWER = b"answered"


def _app(_environ: dict[str, Any], start: Callable[..., Any]) -> list[bytes]:
    start("200 OK", [("Content-Length", str(len(ANSWER)))])
    return [ANSWER]


OPTIONS = HttpServerOptions(
    name="calls",
    server_name="test",
    threads=2,
    backlog=16,
    idle_timeout_s=10,
    keep_alive_connections=16,
)


@pytest.fixture
def server() -> Iterator[HttpServer]:
    """A server whose accept loop does not run, so that connections wait in the listener's queue."""
    server = HttpServer("127.0.0.1", 0, _app, OPTIONS)
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


def test_a_caller_that_connects_as_the_listener_closes_is_not_reset(
    server: HttpServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It gets an answer, or learns from the failed connection that nothing was read."""
    manager = server._server._connections
    outcomes: list[str] = []

    def call_late(listener: socket.socket) -> None:
        accept_waiting(listener)
        late = socket.socket()
        late.settimeout(0.2)
        try:
            late.connect(server._server.bind_addr[:2])
        except OSError:
            outcomes.append("not connected")
            late.close()
            return
        late.sendall(REQUEST)
        outcomes.append("connected")
        callers.append(late)

    callers: list[socket.socket] = []
    accept_waiting = manager._accept_backlog
    monkeypatch.setattr(manager, "_accept_backlog", call_late)
    server.stop()
    for caller in callers:
        with caller:
            caller.settimeout(WAIT_S)
            assert caller.recv(4096).endswith(ANSWER)
    assert len(outcomes) == 1


@pytest.mark.parametrize(
    "path", ["/api/Config.Replace", "/api/Instances.Heartbeat/r", "/api/Instances.Leave/r"]
)
def test_a_call_whose_body_a_stop_cuts_short_is_not_called_invalid(path: str) -> None:
    """Its caller sends it to another process; a refusal would tell it not to."""
    node = Mock(spec=RegistryNode)
    server = HttpServer("127.0.0.1", 0, ControlCalls(node), OPTIONS)
    server.start()
    server._server.shutdown_timeout = 0.3
    caller = _connect(server)
    caller.putrequest("POST", path)
    caller.putheader("Content-Length", "1000")
    caller.endheaders(b"{")
    while all(worker.conn is None for worker in server._server.requests._threads):
        threading.Event().wait(0.01)
    server.stop()
    assert caller.getresponse().status == 503
    assert not node.mock_calls
