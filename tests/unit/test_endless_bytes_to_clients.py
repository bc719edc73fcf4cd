"""Peers that answer a call of this process with a body without end."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from leverjunction.backends import machine_list, stream
from leverjunction.backends.machine_list import MachineListClient
from leverjunction.backends.stream import EngineStream
from leverjunction.errors import Failure
from leverjunction.wire import bounded_bodies, rpc_client
from leverjunction.wire.codec import encode
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.messages import Acknowledged
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer
from leverjunction.wire.whole_heads import new_pool_manager

MB = 1024 * 1024
KEY = b"k" * 32
FLOOD_BYTES = 48 * MB
BOUND_BYTES = 1 * MB
HEADS = {
    "until the connection closes": (b"Connection: close\r\n\r\n", b"x" * 65536),
    "chunked": (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + b"x" * 65536 + b"\r\n"),
}


class Flooder:
    """Answers each connection with a body without end.

    Attributes:
        sent_bytes: Bytes of the body that were taken.
    """

    def __init__(self, head: bytes, again: bytes, pause_s: float = 0.0) -> None:
        self._head = b"HTTP/1.1 200 OK\r\n" + head
        self._again = again
        self._pause_s = pause_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent_bytes = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._listener.close()

    def _run(self) -> None:
        try:
            peer, _ = self._listener.accept()
            with peer:
                peer.recv(65536)
                peer.sendall(self._head)
                while self.sent_bytes < FLOOD_BYTES:
                    peer.sendall(self._again)
                    self.sent_bytes += len(self._again)
                    time.sleep(self._pause_s)
        except OSError:
            return


@contextmanager
def _flooder(head: bytes, again: bytes, pause_s: float = 0.0) -> Iterator[Flooder]:
    flooder = Flooder(head, again, pause_s)
    try:
        yield flooder
    finally:
        flooder.close()


def _call(peer: str, timeout_s: float = 2.0) -> bytes | Failure:
    client = RpcClient(KEY, 1)
    return client.call_raw(peer, MessageKind.QUERY, encode(Acknowledged()), timeout_s=timeout_s)


@pytest.mark.parametrize("kind", HEADS)
def test_a_reply_without_end_is_not_kept(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rpc_client, "MAX_ENVELOPE_BYTES", BOUND_BYTES, raising=False)
    with _flooder(*HEADS[kind]) as peer:
        reply = _call(peer.address)
        assert isinstance(reply, Failure)
        assert peer.sent_bytes < BOUND_BYTES + 16 * MB


def test_a_dripped_reply_ends_soon_after_the_time_of_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bounded_bodies, "PATIENCE_S", 0.5)
    with _flooder(b"Connection: close\r\n\r\n", b"x", 0.05) as peer:
        started_s = time.monotonic()
        results: list[bytes | Failure] = []
        thread = threading.Thread(
            target=lambda: results.append(_call(peer.address, 0.5)), daemon=True
        )
        thread.start()
        thread.join(3.0)
        assert results and isinstance(results[0], Failure)
        assert time.monotonic() - started_s < 2.0


@pytest.mark.parametrize("kind", HEADS)
def test_a_machine_list_without_end_is_not_kept(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine_list, "MAX_LIST_BYTES", BOUND_BYTES, raising=False)
    with _flooder(*HEADS[kind]) as peer:
        reply = MachineListClient(f"http://{peer.address}/machines").read()
        assert isinstance(reply, Failure)
        assert peer.sent_bytes < BOUND_BYTES + 16 * MB


def test_a_whole_large_reply_is_read_and_its_connection_kept() -> None:
    endpoint = RpcEndpoint(KEY, 2)
    large = b"x" * (20 * MB)
    endpoint.register(MessageKind.QUERY, lambda _envelope, _peer: large)
    server = RpcServer("127.0.0.1", 0, endpoint)
    server.start()
    try:
        client = RpcClient(KEY, 1)
        for _ in range(3):
            assert client.call_raw(server.address, MessageKind.QUERY, b"") == large
        (pool,) = [client._pool.connection_from_url(f"http://{server.address}")]
        assert pool.num_connections == 1
    finally:
        server.stop()


def test_a_body_that_ends_early_is_a_failure() -> None:
    listener = socket.create_server(("127.0.0.1", 0))

    def cut() -> None:
        peer, _ = listener.accept()
        with peer:
            peer.recv(65536)
            peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}")

    threading.Thread(target=cut, daemon=True).start()
    reply = MachineListClient(f"http://127.0.0.1:{listener.getsockname()[1]}/machines").read()
    listener.close()
    assert isinstance(reply, Failure)
    assert "IncompleteRead" in reply.reason


@pytest.mark.parametrize("kind", HEADS)
def test_an_engine_body_without_end_is_not_kept(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream, "MAX_BODY_BYTES", BOUND_BYTES, raising=False)
    with _flooder(*HEADS[kind]) as engine:
        response = new_pool_manager().request(
            "GET", f"http://{engine.address}/", preload_content=False, timeout=2.0
        )
        body = EngineStream(response, engine.address).read_all()
        assert isinstance(body, Failure)
        assert engine.sent_bytes < BOUND_BYTES + 16 * MB
