"""Tests of a control process with more followers than it holds calls for."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from tests.unit.test_registry_hub import make_hub

from leverjunction.registry.cluster import CLUSTER_KEY, MAX_WATCHERS, RPC_THREADS
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.watch_schedule import WAIT_MS
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

FOLLOWERS = 256
NEWEST = WatchRequest(table_version=1, revision=1, wait_ms=WAIT_MS)


def test_votes_come_through_while_many_gateways_follow_one_process(
    paused_s: Callable[[], float],
) -> None:
    """Guards against elections that fail because followers of the registry hold all threads.

    The failure: other control processes were silent or gone, and their followers came to this one.
    Each held a thread of the RPC server, and messages between replicas queued behind them.
    """
    hub, _replica = make_hub()
    endpoint = RpcEndpoint(CLUSTER_KEY, 1)

    def on_watch(envelope: Envelope, peer: str) -> bytes:
        request = decode(envelope.body, WatchRequest, peer)
        assert isinstance(request, WatchRequest)
        return encode_reply(hub.watch(request))

    endpoint.register(MessageKind.REGISTRY_WATCH, on_watch)
    endpoint.register(MessageKind.RAFT, lambda _envelope, _peer: b"vote")
    server = RpcServer("127.0.0.1", 0, endpoint, RPC_THREADS + MAX_WATCHERS)
    server.start()
    stop = threading.Event()

    def follow() -> None:
        rpc = RpcClient(CLUSTER_KEY, 1)
        while not stop.is_set():
            rpc.call(server.address, MessageKind.REGISTRY_WATCH, NEWEST, WatchReply, timeout_s=3.0)
            stop.wait(0.5)

    threads = [threading.Thread(target=follow, daemon=True) for _ in range(FOLLOWERS)]
    took_s = []
    try:
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        peer = RpcClient(CLUSTER_KEY, 2)
        for _ in range(10):
            started_s, paused_before_s = time.monotonic(), paused_s()
            assert peer.call_raw(server.address, MessageKind.RAFT, b"", timeout_s=5.0) == b"vote"
            took_s.append(time.monotonic() - started_s - (paused_s() - paused_before_s))
            time.sleep(0.05)
    finally:
        stop.set()
        for thread in threads:
            thread.join(5)
        server.stop()
    assert sorted(took_s)[len(took_s) // 2] < 0.1
