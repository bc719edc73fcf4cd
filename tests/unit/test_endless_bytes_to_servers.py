"""Peers of control processes and stores that send heads or bodies without end."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from leverjunction.platform.control_calls import MAX_BODY_BYTES, read_body
from leverjunction.wire.http_thread import MAX_HEAD_BYTES, HttpServer, HttpServerOptions

MB = 1024 * 1024
FLOOD_BYTES = 40 * MB
TIMEOUT_S = 2


@contextmanager
def _serve(app: Any) -> Iterator[str]:
    server = HttpServer(
        "127.0.0.1",
        0,
        app,
        HttpServerOptions(
            name="test",
            server_name="test",
            threads=2,
            backlog=8,
            idle_timeout_s=TIMEOUT_S,
            keep_alive_connections=8,
        ),
    )
    server.start()
    try:
        yield server.address
    finally:
        server.stop()


def _flood(address: str, head: bytes, again: bytes) -> tuple[int, bytes]:
    """Send a head and then the same bytes until refused; return what was taken, and the answer."""
    host, _, port = address.rpartition(":")
    sent_bytes, answer = 0, b""
    with socket.create_connection((host, int(port)), 2 * TIMEOUT_S) as peer:
        with contextlib.suppress(OSError):
            peer.sendall(head)
            while sent_bytes < FLOOD_BYTES:
                peer.sendall(again)
                sent_bytes += len(again)
        with contextlib.suppress(OSError):
            answer = peer.recv(65536)
    return sent_bytes, answer


@pytest.mark.parametrize(
    "head",
    [b"GET /", b"GET / HTTP/1.1\r\nHost: a\r\nX: ", b"GET / HTTP/1.1\r\nHost: a\r\n"],
    ids=["request line", "field", "fields"],
)
def test_a_head_without_end_is_not_kept(head: bytes) -> None:
    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        start_response("200 OK", [("Content-Length", "0")])
        return []

    again = b"X-1: y\r\n" * 8192 if head.endswith(b"a\r\n") else b"x" * 65536
    with _serve(app) as address:
        sent_bytes, _ = _flood(address, head, again)
        # What the sockets of both sides take comes on top of what the server reads.
        assert sent_bytes < MAX_HEAD_BYTES + 16 * MB


def test_a_chunked_body_without_end_to_an_operators_call_is_not_kept() -> None:
    kept: list[int] = []

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        body = read_body(environ)
        kept.append(-1 if body is None else len(body))
        start_response("413 Refused", [("Content-Length", "0")])
        return []

    head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    with _serve(app) as address:
        sent_bytes, _ = _flood(address, head, b"10000\r\n" + b"x" * 65536 + b"\r\n")
        until_s = time.monotonic() + TIMEOUT_S
        while not kept and time.monotonic() < until_s:
            time.sleep(0.01)
        assert kept == [-1]
        assert sent_bytes < MAX_BODY_BYTES + 16 * MB


def test_a_long_body_that_nobody_reads_is_not_kept() -> None:
    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        start_response("404 Not Found", [("Content-Length", "0")])
        return []

    head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n"
    with _serve(app) as address:
        sent_bytes, _ = _flood(address, head, b"x" * 65536)
        assert sent_bytes < 16 * MB


def test_whole_chunked_bodies_are_read() -> None:
    bodies: list[bytes | None] = []

    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        bodies.append(read_body(environ))
        start_response("200 OK", [("Content-Length", "0")])
        return []

    whole = b"x" * MAX_BODY_BYTES
    pieces = [whole[at : at + 4096] for at in range(0, len(whole), 4096)]
    sent = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
    with _serve(app) as address:
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), 10 * TIMEOUT_S) as peer:
            for _ in range(2):
                peer.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
                peer.sendall(sent)
                assert peer.recv(65536).startswith(b"HTTP/1.1 200")
    assert bodies == [whole, whole]
