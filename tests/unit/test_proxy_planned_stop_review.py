"""A planned stop of a gateway whose loop stands still, or whose callers lag or send early."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from tests.unit.proxy_support import Proxy, request_headers

from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S, STOP_MARGIN_S
from leverjunction.routes import RouteClass
from testbed.routed import RawCaller, RawReply, RunnerStandIn, make_route, make_table
from testbed.routed.exchange import EVENTS_HEADER, WORK_MS_HEADER

GRACE_S = 5.0
NOT_RUN = 503
READ_TIMEOUT_S = 10.0
END_TIMEOUT_S = 15.0
NOTICE_TIMEOUT_MS = 1100.0
NOTICE_DEADLINE_MS = 1500
STREAM_TIMEOUT_MS = 8000.0
CALLERS = 8
BODY_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 64 * 1024
SMALL_BUFFER_BYTES = 4096
MANY_EVENTS = 1500
KEPT_LIMIT_BYTES = 64 * 1024 * 1024


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def proxy(runner: RunnerStandIn) -> Iterator[Proxy]:
    routes = [
        make_route(
            kind,
            timeout_ms=STREAM_TIMEOUT_MS if kind is RouteClass.STREAM else NOTICE_TIMEOUT_MS,
        )
        for kind in RouteClass
    ]
    with Proxy(make_table(*routes), [runner]) as proxy:
        yield proxy


def headers(request_id: str) -> dict[str, str]:
    return request_headers(
        Leverjunction_Request_Id=request_id,
        Leverjunction_Deadline_Ms=str(NOTICE_DEADLINE_MS),
    )


def sent(runner: RunnerStandIn, request_id: str) -> int:
    """Return how often a request reached the back end."""
    return sum(item.headers.get("leverjunction-request-id") == request_id for item in runner.seen)


def asked_to_stop(proxy: Proxy) -> None:
    proxy.stop(GRACE_S)
    while not proxy.stop_asked_s:
        time.sleep(0.001)


def until(proxy: Proxy, after_stop_s: float) -> None:
    """Wait until a time after the request to stop."""
    time.sleep(max(0.0, proxy.stop_asked_s + after_stop_s - proxy.loop_s()))


def request(request_id: str, events: int = MANY_EVENTS, work_ms: int = 100) -> bytes:
    fields = {**headers(request_id), EVENTS_HEADER: str(events), WORK_MS_HEADER: str(work_ms)}
    fields["Leverjunction-Deadline-Ms"] = f"{STREAM_TIMEOUT_MS:.0f}"
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST /stream/x HTTP/1.1\r\n{lines}Content-Length: 0\r\n\r\n".encode()


def read_all(connection: socket.socket) -> bytes:
    """Return what comes until the connection ends, regularly or by a reset."""
    parts = []
    try:
        while part := connection.recv(PIECE_BYTES):
            parts.append(part)
    except ConnectionError:
        pass
    return b"".join(parts)


class Notices:
    """A caller that sends short requests, one after the other, until the gateway has gone."""

    def __init__(self, proxy: Proxy, name: str, pause_s: float) -> None:
        self.replies: dict[str, RawReply] = {}
        self._proxy = proxy
        self._name = name
        self._pause_s = pause_s
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def join(self) -> None:
        self._thread.join(END_TIMEOUT_S)
        assert not self._thread.is_alive()

    def _run(self) -> None:
        caller: RawCaller | None = None
        while not self._proxy.ended.is_set():
            request_id = f"{self._name}-{len(self.replies)}"
            try:
                caller = caller or RawCaller(self._proxy.address, READ_TIMEOUT_S)
                caller.send("POST", "/once/x", headers(request_id), b"ask")
            except OSError:
                caller = None
                time.sleep(0.01)
                continue
            reply = self.replies[request_id] = caller.receive()
            if not reply.complete or reply.headers.get("connection") == "close":
                caller.close()
                caller = None
            time.sleep(self._pause_s)


@pytest.mark.parametrize("stands_still_s", [0.0, 0.3, 1.0])
@pytest.mark.parametrize("at_s", [ACCEPT_AFTER_STOP_S, GRACE_S - STOP_MARGIN_S])
def test_short_requests_that_were_passed_on_get_a_whole_answer_though_the_loop_stands_still(
    proxy: Proxy, runner: RunnerStandIn, stands_still_s: float, at_s: float
) -> None:
    runner.usual = "by path"
    callers = [Notices(proxy, f"c{number}", 0.003 * number) for number in range(CALLERS)]
    time.sleep(0.3)
    asked_to_stop(proxy)
    until(proxy, at_s - min(0.1, stands_still_s / 2))
    proxy.call(lambda: time.sleep(stands_still_s))
    assert proxy.ended.wait(END_TIMEOUT_S)
    for caller in callers:
        caller.join()
    replies = {name: reply for caller in callers for name, reply in caller.replies.items()}
    assert len(replies) > 10 * CALLERS
    cut = [name for name, reply in replies.items() if not reply.complete]
    assert [name for name in cut if sent(runner, name)] == []
    refused = [name for name, reply in replies.items() if reply.status == NOT_RUN]
    assert [name for name in refused if sent(runner, name)] == []
    assert all(sent(runner, name) <= 1 for name in replies)


def test_a_caller_that_is_sending_as_the_listener_closes_can_read_its_refusal(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    """A reset because of what it still sends would take the refusal."""
    asked_to_stop(proxy)
    until(proxy, ACCEPT_AFTER_STOP_S - 0.5)
    host, _, port = proxy.address.rpartition(":")
    with socket.create_connection((host, int(port)), READ_TIMEOUT_S) as connection:
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers("r1").items())
        length = f"Content-Length: {BODY_BYTES}\r\n\r\n"
        connection.sendall(f"POST /once/x HTTP/1.1\r\n{fields}{length}".encode())
        for _ in range(BODY_BYTES // PIECE_BYTES):
            connection.sendall(b"x" * PIECE_BYTES)
            time.sleep(0.02)
        answer = connection.recv(1024)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert not runner.seen
    assert proxy.ended.wait(END_TIMEOUT_S)


def test_a_whole_answer_is_not_taken_by_a_reset_because_its_caller_sends_early(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.usual = "stream"
    asked_to_stop(proxy)
    host, _, port = proxy.address.rpartition(":")
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        connection.settimeout(READ_TIMEOUT_S)
        connection.connect((host, int(port)))
        connection.sendall(request("r1"))
        until_s = time.monotonic() + READ_TIMEOUT_S
        while time.monotonic() < until_s and not any(item.whole for item in list(runner.seen)):
            time.sleep(0.01)
        time.sleep(0.1)
        connection.sendall(request("r2"))
        time.sleep(0.1)
        answer = read_all(connection)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"0\r\n\r\n"), len(answer)
    assert sent(runner, "r2") == 0
    assert proxy.ended.wait(END_TIMEOUT_S)


def test_a_whole_answer_that_is_kept_for_a_slow_caller_is_not_cut_at_the_end(
    runner: RunnerStandIn,
) -> None:
    runner.usual = "stream"
    table = make_table(make_route(RouteClass.STREAM, timeout_ms=STREAM_TIMEOUT_MS))
    with (
        Proxy(table, [runner], kept_limit_bytes=KEPT_LIMIT_BYTES) as proxy,
        socket.socket() as connection,
    ):
        host, _, port = proxy.address.rpartition(":")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        connection.settimeout(READ_TIMEOUT_S)
        connection.connect((host, int(port)))
        connection.sendall(request("r1", events=20_000, work_ms=0))
        until_s = time.monotonic() + READ_TIMEOUT_S
        while time.monotonic() < until_s and not any(item.whole for item in list(runner.seen)):
            time.sleep(0.01)
        asked_to_stop(proxy)
        assert proxy.ended.wait(END_TIMEOUT_S)
        answer = read_all(connection)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"0\r\n\r\n"), len(answer)
