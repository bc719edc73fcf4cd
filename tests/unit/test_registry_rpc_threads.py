"""Tests that calls waiting for a leader do not block the messages that elect one."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import GroupStatus
from leverjunction.control.group_host import GroupHost
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.cluster import CALLS_AT_ONCE, CLUSTER_KEY, RPC_THREADS
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

GROUP = "jobs-0"
CALLERS = 100
WAIT_S = 1.0
PAUSE_S = 0.2
"""Pause of a caller between two calls, in seconds."""


class LeaderlessReplica:
    """Test double of a replica without a quorum: every call waits, then fails."""

    def propose(self, _command: bytes, _timeout_s: float) -> Failure:
        time.sleep(WAIT_S)
        return Failure(
            kind=FailureKind.NO_QUORUM,
            reason="no quorum",
            step=Step.PROPOSING,
            execution=Execution.NOT_RUN,
        )

    def query(self, query: bytes, timeout_s: float) -> Failure:
        return self.propose(query, timeout_s)

    def query_local(self, _query: bytes) -> bytes:
        return b""

    def status(self) -> GroupStatus:
        raise AssertionError("not asked here")


def test_votes_come_through_while_calls_wait_for_a_leader(paused_s: Callable[[], float]) -> None:
    """Guards against an election that never ends.

    The failure: calls of gateways occupied all 48 threads of each store, so no leader was elected.
    """
    rpc = RpcClient(CLUSTER_KEY, 1)
    host = GroupHost(
        "127.0.0.1:1",
        {GROUP: LeaderlessReplica()},
        {GROUP: []},
        rpc,
        SystemClock(),
        max_concurrent_calls=CALLS_AT_ONCE,
    )
    endpoint = RpcEndpoint(CLUSTER_KEY, 1)
    endpoint.register(MessageKind.PROPOSE, host.serve_client)
    endpoint.register(MessageKind.FORWARDED_PROPOSE, host.serve_forwarded)
    endpoint.register(MessageKind.RAFT, lambda _envelope, _peer: b"vote")
    server = RpcServer("127.0.0.1", 0, endpoint, RPC_THREADS)
    server.start()
    stop = threading.Event()

    def call(kind: MessageKind) -> None:
        while not stop.is_set():
            rpc.call_raw(server.address, kind, b"{}", group=GROUP, timeout_s=3.0)
            time.sleep(PAUSE_S)

    kinds = (MessageKind.PROPOSE, MessageKind.FORWARDED_PROPOSE)
    threads = [
        threading.Thread(target=call, args=(kinds[number % 2],), daemon=True)
        for number in range(CALLERS)
    ]
    try:
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        peer = RpcClient(CLUSTER_KEY, 2)
        for _ in range(5):
            started_s = time.monotonic()
            assert peer.call_raw(server.address, MessageKind.RAFT, b"", timeout_s=3.0) == b"vote"
            assert time.monotonic() - started_s < 0.5 + paused_s()
    finally:
        stop.set()
        for thread in threads:
            thread.join(5)
        server.stop()
