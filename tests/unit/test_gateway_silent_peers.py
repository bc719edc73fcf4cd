"""Tests of a gateway's background calls to engines and gateways while some of them are silent."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from random import Random
from typing import Any, cast

import pytest
from silent_peer import AnsweringPeer, SilentPeer

from leverjunction.backends.client import CANCEL_TIMEOUT_S, EngineClient
from leverjunction.clock import SystemClock
from leverjunction.gateway.crashing_requests import CrashingRequests
from leverjunction.gateway.evidence_sharing import EvidenceSharing
from leverjunction.gateway.sender import Sender
from leverjunction.gateway.view import ClusterSnapshot, ClusterView
from leverjunction.gateway.yielding import YieldNotifier
from leverjunction.observability.counters import GatewayCounters
from leverjunction.quarantine.records import AgedStart, EvidenceReply, SharedRecord
from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.control_client import EVIDENCE_TIMEOUT_S, YIELD_TIMEOUT_S, ControlClient
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState
from leverjunction.wire.rpc_client import RpcClient

CALLS = 24
NOTHING = cast(Any, None)


class Listener:
    """A peer that notes when each connection arrives, and closes it.

    Attributes:
        address: ``host:port`` of the peer.
        arrived: Set once a connection has arrived.
    """

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self.arrived = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.arrived.set()
            connection.close()

    def close(self) -> None:
        self._socket.close()


@pytest.fixture
def listener() -> Iterator[Listener]:
    made = Listener()
    yield made
    made.close()


def sender_of(engines: EngineClient) -> Sender:
    return Sender(engines, NOTHING, NOTHING, NOTHING, NOTHING, NOTHING, NOTHING, SystemClock())


@pytest.mark.parametrize("silent_engines", [1, 8])
def test_a_cancel_is_sent_at_once_while_other_engines_are_silent(
    silent_engines: int, listener: Listener, paused_s: Callable[[], float]
) -> None:
    """Guards against cancels that queue behind those for an engine that stands still.

    The failure: callers of an engine that stood still hung up. Their cancels kept all threads for a
    second each, and requests of callers who hung up elsewhere ran on for seconds.
    """
    with ExitStack() as stack:
        silent = [stack.enter_context(SilentPeer()) for _ in range(silent_engines)]
        engines = EngineClient()
        sender = sender_of(engines)
        for number in range(CALLS):
            sender.cancel(silent[number % silent_engines].address, f"request-{number}")
        time.sleep(CANCEL_TIMEOUT_S * 1.5)
        paused_before_s, started_s = paused_s(), time.monotonic()
        sender.cancel(listener.address, "request")
        assert listener.arrived.wait(10)
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
        engines.close()
    assert took_s < CANCEL_TIMEOUT_S / 4


class OwnersView(ClusterView):
    """A view with one runner, of one gateway, in each zone; batch work runs on all of them."""

    def __init__(self, owners: dict[str, str]) -> None:
        super().__init__()
        self._snapshot = ClusterSnapshot(
            view_version=1,
            gateways={
                zone: GatewayState(
                    gateway_id=zone, address="", rpc_address=address, zone=zone, incarnation=1
                )
                for zone, address in owners.items()
            },
            runners={
                zone: RunnerState(
                    runner_id=zone, address="", zone=zone, service="llm", models=["m"]
                )
                for zone in owners
            },
            digests={
                zone: RunnerDigest(
                    runner_id=zone,
                    running=1,
                    waiting=0,
                    batch_running=1,
                    kv_used_ratio=0.0,
                    as_of_ms=0,
                )
                for zone in owners
            },
        )


@pytest.mark.parametrize("silent_gateways", [1, 4])
def test_an_owner_hears_of_online_work_at_once_while_others_are_silent(
    silent_gateways: int, listener: Listener, paused_s: Callable[[], float]
) -> None:
    """Guards against yield notices that queue behind those for a gateway that stands still.

    The failure: online requests for runners of a silent gateway came one after the other. Their
    notices kept all threads for 0.5 s each, and batch work elsewhere yielded seconds late.
    """
    with ExitStack() as stack:
        silent = [stack.enter_context(SilentPeer()) for _ in range(silent_gateways)]
        owners = {f"z{number}": peer.address for number, peer in enumerate(silent)}
        view = OwnersView({**owners, "near": listener.address})
        control = ControlClient(RpcClient(CLUSTER_KEY, 1), ["127.0.0.1:1"])
        notifier = YieldNotifier("other", view, control, NOTHING, SystemClock(), GatewayCounters())
        for number in range(CALLS):
            notifier.request_arrived(f"z{number % silent_gateways}", 0)
        time.sleep(YIELD_TIMEOUT_S * 1.5)
        paused_before_s, started_s = paused_s(), time.monotonic()
        notifier.request_arrived("near", 0)
        assert listener.arrived.wait(10)
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
        notifier.stop()
    assert took_s < YIELD_TIMEOUT_S / 2


def test_others_hear_of_a_crash_at_once_while_a_zone_is_silent(
    paused_s: Callable[[], float],
) -> None:
    """Guards against news of crashes that queue behind those for gateways that are cut off.

    The failure: each crash was sent to all gateways of a silent zone, each of which kept a thread
    for 0.5 s. A gateway that could be reached heard of the next crash after all of these, and sent
    the crashing request to further engines.
    """
    silent_gateways = 24
    requests = CrashingRequests(SystemClock(), lambda _address: True)
    heard = threading.Event()

    def hear(_: Envelope) -> bytes:
        heard.set()
        return encode_reply(EvidenceReply())

    with ExitStack() as stack:
        near = stack.enter_context(AnsweringPeer(hear, (MessageKind.CRASH_EVIDENCE,)))
        silent = [stack.enter_context(SilentPeer()) for _ in range(silent_gateways)]
        owners = {f"z{number}": peer.address for number, peer in enumerate(silent)}
        control = ControlClient(RpcClient(CLUSTER_KEY, 1), ["127.0.0.1:1"])
        sharing = EvidenceSharing(
            "other",
            "near",
            requests,
            OwnersView({**owners, "near": near.address}),
            control.share_evidence,
            SystemClock(),
            GatewayCounters(),
            Random(1),
        )

        def crash(number: int) -> None:
            key = f"{number:048d}"
            requests.merge((SharedRecord(key=key, starts=(AgedStart(f"e:{number}", 0),)),))
            sharing.crashed(key)

        crash(1)
        time.sleep(EVIDENCE_TIMEOUT_S * silent_gateways / 8 + EVIDENCE_TIMEOUT_S)
        crash(2)
        time.sleep(EVIDENCE_TIMEOUT_S / 5)
        heard.clear()
        paused_before_s, started_s = paused_s(), time.monotonic()
        crash(3)
        assert heard.wait(10)
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
        sharing.stop()
    assert took_s < EVIDENCE_TIMEOUT_S / 2
