"""The internal RPC over real sockets, below CherryPy and on its bare server."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import cherrypy
import pytest
from cheroot import wsgi

from leverjunction.errors import Failure, FailureKind
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import Acknowledged, YieldNotice
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

KEY = b"cluster key of the tests"
LARGE_BYTES = 3_000_000


def make_endpoint() -> RpcEndpoint:
    endpoint = RpcEndpoint(KEY, incarnation=1)
    endpoint.register(MessageKind.QUERY, lambda envelope, peer: envelope.body[::-1])
    endpoint.register(MessageKind.PROPOSE, fail_unexpectedly)
    endpoint.register(MessageKind.YIELD_NOTICE, lambda _e, _p: encode_reply(Acknowledged()))
    return endpoint


def fail_unexpectedly(envelope: Envelope, peer: str) -> bytes:
    raise RuntimeError("a fault of the handler")


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
    # A peer with another key can read no reply, since the reply is signed with ours.
    assert reply.kind is expected
    rpc.close()
