"""Callers that send more while their request is in progress."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest
from tests.unit.proxy_support import Proxy, request_headers

from leverjunction.routes import RouteClass
from testbed.routed import RunnerStandIn, make_route, make_table

READ_TIMEOUT_S = 10.0
SEND_S = 1.0
PIECE_BYTES = 64 * 1024
MEMORY_BYTES = 32 * 1024 * 1024
"""An eighth of a gateway's memory; the kernel's buffers of one connection fit into it."""

REQUESTS = 400
BODY_BYTES = 1024 * 1024


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def proxy(runner: RunnerStandIn) -> Iterator[Proxy]:
    routes = [make_route(kind, timeout_ms=8000.0) for kind in RouteClass]
    with Proxy(make_table(*routes), [runner]) as proxy:
        yield proxy


def connect(proxy: Proxy) -> socket.socket:
    host, _, port = proxy.address.rpartition(":")
    return socket.create_connection((host, int(port)), READ_TIMEOUT_S)


def request(request_id: str, body: bytes = b"") -> bytes:
    fields = request_headers(Leverjunction_Request_Id=request_id, Leverjunction_Deadline_Ms="8000")
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = f"POST /once/x HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_a_caller_that_sends_without_end_does_not_fill_the_memory(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    runner.usual = "silent"
    taken_bytes = 0
    with connect(proxy) as connection:
        connection.sendall(request("r1"))
        connection.settimeout(SEND_S)
        until_s = time.monotonic() + SEND_S
        try:
            while time.monotonic() < until_s:
                taken_bytes += connection.send(b"x" * PIECE_BYTES)
        except TimeoutError:
            pass
    assert taken_bytes < MEMORY_BYTES


def test_requests_that_are_sent_early_are_all_answered_in_their_order(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    """Together they are larger than what is read ahead, and so is the body of the last one."""
    early = b"".join(request(f"r{number}") for number in range(REQUESTS))
    last = request("last", b"x" * BODY_BYTES)
    answers = b""
    with connect(proxy) as connection:
        sender = threading.Thread(target=connection.sendall, args=(early + last,), daemon=True)
        sender.start()
        while answers.count(b"answer to /once/x") <= REQUESTS:
            part = connection.recv(PIECE_BYTES)
            assert part
            answers += part
        sender.join(READ_TIMEOUT_S)
    assert answers.count(b"HTTP/1.1 200 ") == REQUESTS + 1
    ids = [item.headers["leverjunction-request-id"] for item in runner.seen]
    assert ids == [*(f"r{number}" for number in range(REQUESTS)), "last"]
