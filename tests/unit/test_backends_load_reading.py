"""Load readings over kept connections, against an engine that answers byte for byte as told."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import msgspec
import pytest

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport
from leverjunction.errors import Failure, FailureKind

REPORT = LoadReport(
    as_of_ms=1,
    incarnation=1,
    running=3,
    waiting=0,
    batch_running=0,
    batch_waiting=0,
    kv_blocks_used=0,
    kv_blocks_total=1,
    step_ms=1.0,
)
BODY = msgspec.json.encode(REPORT)
ECHO = b"x-request-id: monitor\r\nX-Attempt: 1\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
OK = b"HTTP/1.1 200 OK\r\n"
PLAIN = OK + ECHO + LENGTH + b"\r\n" + BODY
TWO_CHUNKS = b"3\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (BODY[:3], len(BODY) - 3, BODY[3:])


class ScriptedEngine:
    """Gives the same answer to each request, and closes the connection after it when told to."""

    def __init__(self) -> None:
        self.answer = PLAIN
        self.closes = False
        self.connections = 0
        self._server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self._ended = threading.Semaphore(0)
        threading.Thread(target=self._accept, daemon=True).start()

    def wait_closed(self) -> None:
        """Wait until a connection has been closed by this side."""
        assert self._ended.acquire(timeout=20.0)

    def stop(self) -> None:
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        # A client that has seen enough closes before it has read everything.
        with contextlib.suppress(OSError), connection:
            while connection.recv(65536):
                middle = len(self.answer) // 2
                connection.sendall(self.answer[:middle])
                connection.sendall(self.answer[middle:])
                if self.closes:
                    break
        self._ended.release()


@pytest.fixture
def engine() -> Iterator[ScriptedEngine]:
    made = ScriptedEngine()
    yield made
    made.stop()


@pytest.fixture
def client() -> Iterator[EngineClient]:
    made = EngineClient()
    yield made
    made.close()


def test_readings_share_a_connection(engine: ScriptedEngine, client: EngineClient) -> None:
    assert [client.load(engine.address) for _ in range(3)] == [REPORT] * 3
    assert engine.connections == 1


@pytest.mark.parametrize("says_so", [False, True])
def test_a_connection_that_the_engine_closed_is_not_used_again(
    engine: ScriptedEngine, client: EngineClient, says_so: bool
) -> None:
    engine.closes = True
    if says_so:
        engine.answer = PLAIN.replace(ECHO, ECHO + b"Connection: close\r\n")
    for _ in range(3):
        assert client.load(engine.address) == REPORT
        engine.wait_closed()
    assert engine.connections == 3


@pytest.mark.parametrize(
    "head", [b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n", LENGTH]
)
def test_other_ways_to_end_an_answer_are_understood(
    engine: ScriptedEngine, client: EngineClient, head: bytes
) -> None:
    body = TWO_CHUNKS if b"chunked" in head else BODY
    engine.answer = OK + ECHO + head + b"\r\n" + body
    engine.closes = b"close" in head
    assert [client.load(engine.address) for _ in range(2)] == [REPORT] * 2


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (OK + LENGTH + b"\r\n" + BODY, FailureKind.BACKEND_MISMATCH),
        (PLAIN.replace(b"monitor", b"another"), FailureKind.BACKEND_MISMATCH),
        (PLAIN.replace(b"X-Attempt: 1", b"X-Attempt: 2"), FailureKind.BACKEND_MISMATCH),
        (PLAIN.replace(b"200 OK", b"503 Busy"), FailureKind.BACKEND_FAILED),
        (PLAIN.replace(b"HTTP/1.1", b"SSH-2.0-x"), FailureKind.BACKEND_FAILED),
        (PLAIN.replace(LENGTH, b"Content-Length: -1\r\n"), FailureKind.BACKEND_FAILED),
        (PLAIN.replace(LENGTH, b"Content-Length: 99999999999\r\n"), FailureKind.BACKEND_FAILED),
        (PLAIN.replace(BODY, b"x" * len(BODY)), FailureKind.CORRUPT),
        (PLAIN[:-5], FailureKind.BACKEND_FAILED),
        (PLAIN + b"more", FailureKind.BACKEND_FAILED),
    ],
)
def test_a_wrong_answer_is_a_failure_and_its_connection_is_not_used_again(
    engine: ScriptedEngine, client: EngineClient, answer: bytes, kind: FailureKind
) -> None:
    engine.answer = answer
    engine.closes = True
    failure = client.load(engine.address)
    assert isinstance(failure, Failure)
    assert failure.kind == kind
    engine.answer = PLAIN
    engine.wait_closed()
    assert client.load(engine.address) == REPORT


def test_an_engine_that_is_not_there_or_does_not_answer(client: EngineClient) -> None:
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        failure = client.load(address, timeout_s=0.05)
        assert isinstance(failure, Failure)
        assert failure.kind == FailureKind.BACKEND_FAILED
    refused = client.load(address)
    assert isinstance(refused, Failure)
    assert refused.kind == FailureKind.UNREACHABLE
