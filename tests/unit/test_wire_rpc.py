"""Tests of the internal RPC over sockets, mounted in CherryPy and served without it."""

from __future__ import annotations

import gc
import hashlib
import hmac
import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator

import cherrypy
import pytest
from cheroot import wsgi

from leverjunction.errors import Execution, Failure, FailureKind
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import (
    HMAC_BYTES,
    MAX_ENVELOPE_BYTES,
    Envelope,
    MessageKind,
    decode_envelope,
    encode_envelope,
)
from leverjunction.wire.messages import Acknowledged, YieldNotice
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

KEY = b"cluster key of the tests"
LARGE_BYTES = 3_000_000
SOCKET_TIMEOUT_S = 5.0


def make_endpoint() -> RpcEndpoint:
    endpoint = RpcEndpoint(KEY, incarnation=1)
    endpoint.register(MessageKind.QUERY, lambda envelope, peer: envelope.body[::-1])
    endpoint.register(MessageKind.PROPOSE, fail_unexpectedly)
    endpoint.register(MessageKind.YIELD_NOTICE, lambda _e, _p: encode_reply(Acknowledged()))
    return endpoint


def fail_unexpectedly(envelope: Envelope, peer: str) -> bytes:
    raise RuntimeError("error in the handler")


@pytest.fixture(params=["bare", "mounted"])
def address(request: pytest.FixtureRequest) -> Iterator[str]:
    if request.param == "bare":
        server = RpcServer("127.0.0.1", 0, make_endpoint(), threads=2)
        server.start()
        yield server.address
        server.stop()
        return
    tree = cherrypy._cptree.Tree()
    tree.mount(make_endpoint(), "/rpc")
    mounted = wsgi.Server(("127.0.0.1", 0), tree, numthreads=2)
    mounted.prepare()
    thread = threading.Thread(target=mounted.serve)
    thread.start()
    host, port = mounted.bind_addr
    yield f"{host}:{port}"
    mounted.stop()
    thread.join()


def test_calls_on_one_kept_connection(address: str) -> None:
    rpc = RpcClient(KEY, 1)
    for _ in range(3):
        assert rpc.call_raw(address, MessageKind.QUERY, b"abc", group="root") == b"cba"
    pool = rpc._pool.connection_from_url(f"http://{address}")
    assert pool.num_connections == 1
    body = b"x" * LARGE_BYTES
    assert rpc.call_raw(address, MessageKind.QUERY, body) == body
    rpc.close()


def test_typed_call(address: str) -> None:
    notice = YieldNotice(runner_id="r1", sent_ms=1)
    rpc = RpcClient(KEY, 1)
    assert rpc.call(address, MessageKind.YIELD_NOTICE, notice, Acknowledged) == Acknowledged()
    rpc.close()


@pytest.mark.parametrize(
    ("key", "kind", "expected"),
    [
        (b"another key", MessageKind.QUERY, FailureKind.UNAUTHENTICATED),
        (KEY, MessageKind.EXCHANGE, FailureKind.NOT_FOUND),
        (KEY, MessageKind.PROPOSE, FailureKind.INTERNAL),
    ],
)
def test_refusals(address: str, key: bytes, kind: MessageKind, expected: FailureKind) -> None:
    rpc = RpcClient(key, 1)
    reply = rpc.call(address, kind, Acknowledged(), Acknowledged)
    assert isinstance(reply, Failure)
    # A client with another key rejects every reply, since the server signs it with its own key.
    assert reply.kind is expected
    rpc.close()


MALFORMED = {
    "negative length": (b"Content-Length: -1\r\n\r\nabc", b"400"),
    "length that is no number": (b"Content-Length: abc\r\n\r\nabc", b"400"),
    "no body": (b"\r\n", b"400"),
    "announced too large": (f"Content-Length: {MAX_ENVELOPE_BYTES + 1}\r\n\r\n".encode(), b"413"),
    "body that ends early": (b"Content-Length: 1000\r\n\r\nabc", b"400"),
    "no envelope": (b"Content-Length: 3\r\n\r\nabc", b"200"),
}


@pytest.mark.parametrize("form", MALFORMED)
def test_malformed_calls_are_rejected_and_do_not_affect_others(address: str, form: str) -> None:
    rest, expected = MALFORMED[form]
    host, port = address.split(":")
    for _ in range(3):
        # More calls than the server has threads: if they blocked, the last call would fail.
        with socket.create_connection((host, int(port)), SOCKET_TIMEOUT_S) as connection:
            connection.sendall(b"POST /rpc HTTP/1.1\r\nHost: x\r\n" + rest)
            connection.shutdown(socket.SHUT_WR)
            assert connection.recv(100).split()[1] == expected
    assert RpcClient(KEY, 1).call_raw(address, MessageKind.QUERY, b"abc") == b"cba"


@pytest.mark.parametrize(
    ("damage", "expected"),
    [
        (lambda data: data[:-1], FailureKind.UNAUTHENTICATED),
        (lambda data: data[:-1] + bytes([data[-1] ^ 1]), FailureKind.UNAUTHENTICATED),
        (lambda data: data[:20] + b"x" + data[21:], FailureKind.UNAUTHENTICATED),
        (lambda data: data[:HMAC_BYTES], FailureKind.CORRUPT),
        (lambda data: b"XXXX" + data[4:], FailureKind.CORRUPT),
        (lambda data: b"", FailureKind.CORRUPT),
    ],
    ids=["truncated", "other tag", "other content", "only a tag", "other magic", "empty"],
)
def test_damaged_envelopes(damage: Callable[[bytes], bytes], expected: FailureKind) -> None:
    data = encode_envelope(Envelope(kind=MessageKind.QUERY, body=b"abc" * 10), KEY)
    decoded = decode_envelope(damage(data), KEY, "peer")
    assert isinstance(decoded, Failure)
    assert decoded.kind is expected
    assert decoded.peer == "peer"


def test_a_message_above_the_size_limit_is_not_sent() -> None:
    body = b"x" * MAX_ENVELOPE_BYTES
    refused = RpcClient(KEY, 1).call_raw("127.0.0.1:1", MessageKind.QUERY, body)
    assert isinstance(refused, Failure)
    assert (refused.kind, refused.execution) == (FailureKind.TOO_LARGE, Execution.NOT_RUN)


def test_a_decoded_body_is_not_kept_by_a_cycle() -> None:
    """Guards against bodies inside parsed containers, which refer to themselves.

    Such a body stays in memory until the next run of the cyclic garbage collector.
    """
    key, body, decoded_envelopes = KEY, b"x" * 1_000_000, 20
    data = encode_envelope(Envelope(kind=MessageKind.QUERY, group="g" * 255, body=body), key)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(decoded_envelopes):
            decoded = decode_envelope(data, key, "peer")
            assert isinstance(decoded, Envelope)
            assert decoded.body == body
        held_bytes, _peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert held_bytes < 3 * len(body)


@pytest.mark.parametrize("announced", [0, 3, 2**31])
def test_a_signed_body_of_another_length_than_announced_is_malformed(announced: int) -> None:
    data = encode_envelope(Envelope(kind=MessageKind.QUERY, body=b"abcdef"), KEY)
    unsigned = data[: -HMAC_BYTES - 10] + announced.to_bytes(4, "big") + b"abcdef"
    forged = unsigned + hmac.digest(KEY, unsigned, hashlib.sha256)
    decoded = decode_envelope(forged, KEY, "peer")
    assert isinstance(decoded, Failure)
    assert decoded.kind is FailureKind.CORRUPT


def _header_names(message: bytes) -> set[bytes]:
    lines = message.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    return {line.partition(b":")[0].lower() for line in lines}


def test_calls_carry_no_unused_headers() -> None:
    """The exchanges of a gateway may take 3 KB/s, and each carries all fixed headers."""
    seen: list[bytes] = []

    def serve(listener: socket.socket) -> None:
        connection, _ = listener.accept()
        with connection:
            seen.append(connection.recv(65536))

    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = f"127.0.0.1:{listener.getsockname()[1]}"
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        RpcClient(KEY, 1).call(peer, MessageKind.EXCHANGE, Acknowledged(), Acknowledged)
        thread.join()
    assert _header_names(seen[0]) == {b"host", b"content-length"}
    server = RpcServer("127.0.0.1", 0, make_endpoint())
    server.start()
    host, port = server.address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(b"POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
        reply = connection.recv(65536)
    server.stop()
    assert _header_names(reply) == {b"content-length", b"date", b"server"}


SLOW_BYTES_PER_S = 2_000_000
SLOW_BODY_BYTES = 4_000_000
SMALL_BUFFER_BYTES = 16_384


def read_slowly(listener: socket.socket) -> None:
    """Receive one call at a limited rate and reply to it."""
    connection, _ = listener.accept()
    with connection:
        read_bytes = 0
        while read_bytes < SLOW_BODY_BYTES:
            read_bytes += len(connection.recv(SMALL_BUFFER_BYTES))
            time.sleep(SMALL_BUFFER_BYTES / SLOW_BYTES_PER_S)
        body = encode_envelope(
            Envelope(kind=MessageKind.QUERY, group="", incarnation=1, body=b"whole"), KEY
        )
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)


def test_a_large_call_gets_through_a_slow_link() -> None:
    """Guards against a connect timeout (0.5 s) that also limits the sending of the body.

    A log entry that took longer to send never reached a replica, however often it was sent and
    whatever the timeout of the call.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        host, port = listener.getsockname()
        threading.Thread(target=read_slowly, args=(listener,), daemon=True).start()
        reply = RpcClient(KEY, 1).call_raw(
            f"{host}:{port}", MessageKind.QUERY, bytes(SLOW_BODY_BYTES), timeout_s=30.0
        )
    assert reply == b"whole"
