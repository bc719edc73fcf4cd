from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from leverjunction.clock import SystemClock
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode, encode_reply
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    RunnerState,
)
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer
from testbed.scale.counting import CountingRpcClient, WireCounter
from testbed.scale.hollow_gateway import GatewayProfile, HollowGateway

KEY = b"cluster key"


def gateway_state(name: str, zone: str = "z1") -> GatewayState:
    return GatewayState(
        gateway_id=name, address="127.0.0.1:1", rpc_address="127.0.0.1:2", zone=zone, incarnation=1
    )


def runner_state(name: str, zone: str = "z1", leaving: bool = False) -> RunnerState:
    return RunnerState(
        runner_id=name, address="127.0.0.1:3", zone=zone, service="llm", leaving=leaving
    )


def reply(**changed: object) -> ExchangeReply:
    values: dict[str, object] = {
        "settings_version": 1,
        "settings": [],
        "view_version": 1,
        "hub_incarnation": 7,
        "full_view": False,
        "gateways": [],
        "gone_gateways": [],
        "runners": [],
        "gone_runners": [],
        "digests": [],
        "lost_lease_ids": [],
        "cancelled_jobs": [],
        "hubs": [],
        "quorum_age_s": 0.0,
    }
    return ExchangeReply(**(values | changed))  # type: ignore[arg-type]


class Hub:
    """An in-process hub that answers what the test queued and keeps what it was sent."""

    def __init__(self) -> None:
        self.requests: list[ExchangeRequest] = []
        self.replies: list[ExchangeReply | Failure] = []
        endpoint = RpcEndpoint(KEY, 7)
        endpoint.register(MessageKind.EXCHANGE, self._exchange)
        self._server = RpcServer("127.0.0.1", 0, endpoint, threads=2)
        self._server.start()

    @property
    def address(self) -> str:
        return self._server.address

    def stop(self) -> None:
        self._server.stop()

    def _exchange(self, envelope: Envelope, peer: str) -> bytes:
        request = decode(envelope.body, ExchangeRequest, peer)
        assert isinstance(request, ExchangeRequest)
        self.requests.append(request)
        return encode_reply(self.replies.pop(0))


@pytest.fixture
def hub() -> Iterator[Hub]:
    started = Hub()
    yield started
    started.stop()


def hollow(hub: Hub, counter: WireCounter | None = None, changed: float = 1.0) -> HollowGateway:
    rpc = CountingRpcClient(KEY, 1, counter or WireCounter())
    control = ControlClient(rpc, [hub.address], random=random.Random(1))
    profile = GatewayProfile(gateway_id="g1", zone="z1", hubs=[hub.address])
    return HollowGateway(profile, control, SystemClock(), random.Random(2), changed)


FULL_VIEW = reply(
    full_view=True,
    settings_version=5,
    view_version=9,
    gateways=[gateway_state("g1"), gateway_state("far", "z2")],
    runners=[runner_state("r1"), runner_state("r2"), runner_state("r3", "z2")],
)


def test_second_exchange_tells_what_the_first_one_taught(hub: Hub) -> None:
    hub.replies = [FULL_VIEW, reply(settings_version=5, view_version=9)]
    gateway = hollow(hub)
    gateway.exchange_once()
    gateway.hold_lease("jobs-0", "lease-1")
    gateway.exchange_once()
    first, second = hub.requests
    assert (first.settings_version, first.view_version, first.digests) == (0, 0, [])
    assert (second.settings_version, second.view_version, second.hub_incarnation) == (5, 9, 7)
    assert sorted(digest.runner_id for digest in second.digests) == ["r1", "r2"]
    assert second.lease_ids == {"jobs-0": ["lease-1"]}
    assert [record.version for record in gateway.in_force] == [5]


@pytest.mark.parametrize(
    ("delta", "owned"),
    [
        pytest.param({"gone_runners": ["r1"]}, ["r2"], id="runner gone"),
        pytest.param({"runners": [runner_state("r2", leaving=True)]}, ["r1"], id="leaving"),
        pytest.param({"runners": [runner_state("r4")]}, ["r1", "r2", "r4"], id="new runner"),
        pytest.param({"runners": [runner_state("r5", "z2")]}, ["r1", "r2"], id="other zone"),
    ],
)
def test_ownership_follows_the_view(hub: Hub, delta: dict[str, object], owned: list[str]) -> None:
    hub.replies = [FULL_VIEW, reply(**delta)]
    gateway = hollow(hub)
    gateway.exchange_once()
    gateway.exchange_once()
    assert gateway.owned == owned


def test_two_gateways_share_the_runners_of_a_zone(hub: Hub) -> None:
    runners = [runner_state(f"r{number}") for number in range(40)]
    view = reply(
        full_view=True, gateways=[gateway_state("g1"), gateway_state("g2")], runners=runners
    )
    hub.replies = [view]
    gateway = hollow(hub)
    gateway.exchange_once()
    assert 5 < len(gateway.owned) < 35


def test_lost_lease_is_not_renewed(hub: Hub) -> None:
    hub.replies = [reply(lost_lease_ids=["lease-1"]), reply()]
    gateway = hollow(hub)
    gateway.hold_lease("jobs-0", "lease-1")
    gateway.exchange_once()
    gateway.exchange_once()
    assert hub.requests[1].lease_ids == {}


def test_failed_exchange_changes_nothing_and_sends_digests_again(hub: Hub) -> None:
    refusal = Failure(
        kind=FailureKind.NO_QUORUM,
        reason="no leader",
        step=Step.EXCHANGING,
        execution=Execution.NOT_RUN,
    )
    hub.replies = [FULL_VIEW, refusal, reply(settings_version=5)]
    gateway = hollow(hub, changed=0.0)
    gateway.exchange_once()
    assert isinstance(gateway.exchange_once(), Failure)
    gateway.exchange_once()
    assert gateway.settings_version == 5
    assert [len(request.digests) for request in hub.requests] == [0, 2, 2]


def test_wire_bytes_cover_http_and_envelope(hub: Hub) -> None:
    hub.replies = [reply(), reply()]
    counter = WireCounter()
    gateway = hollow(hub, counter)
    gateway.exchange_once()
    before = counter.read()
    gateway.exchange_once()
    used = counter.read().minus(before)
    body = len(encode_reply(reply()))
    assert body < used.received_bytes < body + 400
    assert used.wire_bytes > used.payload_bytes
