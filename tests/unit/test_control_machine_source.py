"""A hub that cannot read the platform's machine list uses the list of the most recent hub."""

from __future__ import annotations

from typing import cast

from leverjunction.backends.machine_list import (
    Machine,
    MachineList,
    MachineListClient,
    MachineState,
)
from leverjunction.batch.leasing import LEASE_DURATION_S
from leverjunction.clock import Clock, SystemClock
from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.control.hub import Hub, HubIdentity
from leverjunction.control.lease_expiry import LeaseExpiry
from leverjunction.control.machine_source import MachineSource
from leverjunction.control.messages import HubState, HubSync
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.settings.commands import SettingsDelta
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import ExchangeReply, ExchangeRequest, GatewayState
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

KEY = b"cluster key of the tests"
EXCHANGE = ExchangeRequest(
    gateway=GatewayState(
        gateway_id="g1",
        address="a:8",
        rpc_address="a:9",
        zone="z",
        incarnation=1,
        stopping=False,
    ),
    settings_version=0,
    view_version=0,
    hub_incarnation=0,
)


class Platform:
    """Stub of the platform's client, which may be unreachable."""

    def __init__(self) -> None:
        self.reply: MachineList | Failure = Failure(
            kind=FailureKind.UNREACHABLE,
            reason="cut off",
            step=Step.EXCHANGING,
            execution=Execution.NOT_RUN,
        )

    def read(self) -> MachineList | Failure:
        return self.reply


def listed(as_of_ms: int, state: str) -> MachineList:
    machine = Machine(
        id="r1", address="127.0.0.1:9", zone="z", service="s", state=MachineState(state),
        incarnation=1,
    )  # fmt: skip
    return MachineList(as_of_ms=as_of_ms, machines=[machine])


def hub_beside(peer_address: str, peer_as_of_ms: int, clock: Clock | None = None) -> Hub:
    peers = {"c1": "a:1", "c2": peer_address}
    identity = HubIdentity(
        name="c1", rpc_address="a:1", zone="z", incarnation=1, peers=peers,
        zones=dict.fromkeys(peers, "z"), job_groups=1,
    )  # fmt: skip
    mirror = SettingsMirror(lambda _query: SettingsDelta(version=0, rows=[]))
    hub = Hub(identity, mirror, clock or SystemClock(), lambda: 0.0)
    state = HubState(
        name="c2", rpc_address=peer_address, zone="z", incarnation=1,
        machine_list_as_of_ms=peer_as_of_ms,
    )  # fmt: skip
    hub.handle_sync(
        HubSync(
            hub=state, from_version=0, to_version=2, full=True, gateways=[], gone_gateways=[],
            readings=[], gone_readings=[], digests=[],
        )
    )  # fmt: skip
    return hub


def test_a_hub_without_the_platform_learns_of_a_leaving_runner_from_another_hub() -> None:
    requests: list[Envelope] = []

    def on_machine_list(envelope: Envelope, _peer: str) -> bytes:
        requests.append(envelope)
        return encode_reply(listed(20, "leaving"))

    endpoint = RpcEndpoint(KEY, incarnation=1)
    endpoint.register(MessageKind.MACHINE_LIST, on_machine_list)
    server = RpcServer("127.0.0.1", 0, endpoint, threads=1)
    server.start()
    try:
        hub = hub_beside(server.address, peer_as_of_ms=20)
        hub.update_machine_list(listed(10, "live"))
        assert not hub.runners()[0].leaving
        platform = Platform()
        source = MachineSource(cast(MachineListClient, platform), hub, RpcClient(KEY, 1), 0.5)
        source.tick()
        assert hub.runners()[0].leaving
        source.tick()
        assert len(requests) == 1, "no other hub has a newer list, but another request was sent"
        platform.reply = listed(30, "live")
        source.tick()
        assert not hub.runners()[0].leaving
    finally:
        server.stop()


class SteppedClock(SystemClock):
    """Clock that a test can move forward to simulate a pause of the process."""

    paused_s = 0.0

    def monotonic_s(self) -> float:
        return super().monotonic_s() + self.paused_s


def test_the_list_of_another_hub_does_not_end_the_doubt_after_a_pause() -> None:
    """The other hub may have read it before the pause: a leaving runner would get work."""

    def on_machine_list(_envelope: Envelope, _peer: str) -> bytes:
        return encode_reply(listed(20, "live"))

    endpoint = RpcEndpoint(KEY, incarnation=1)
    endpoint.register(MessageKind.MACHINE_LIST, on_machine_list)
    server = RpcServer("127.0.0.1", 0, endpoint, threads=1)
    server.start()
    try:
        clock = SteppedClock()
        hub = hub_beside(server.address, peer_as_of_ms=20, clock=clock)
        hub.update_machine_list(listed(10, "live"))
        hub.begin_machine_list_read(0.5)
        clock.paused_s = 1.9
        hub.update_readings([], [], hub.standstills())
        platform = Platform()
        source = MachineSource(cast(MachineListClient, platform), hub, RpcClient(KEY, 1), 0.5)
        source.tick()
        assert hub.machine_list_as_of_ms() == 20
        refused = hub.exchange(EXCHANGE)
        assert isinstance(refused, Failure), "it answers by the list of the other hub"
        platform.reply = listed(30, "leaving")
        source.tick()
        reply = hub.exchange(EXCHANGE)
        assert isinstance(reply, ExchangeReply)
        assert [runner.leaving for runner in reply.runners] == [True]
    finally:
        server.stop()


def test_the_leader_keeps_leases_for_the_duration_given_to_holders() -> None:
    """Guards against a shorter lease at the leader than at its holder.

    With 6 s at the leader and 10 s at the holder an item ran at two gateways at once.
    """
    expiry = LeaseExpiry({"jobs-0": cast(ReplicatedGroup, None)}, SystemClock())
    timers = expiry._groups["jobs-0"].timers
    timers.granted("lease", 0.0)
    assert timers.expired(LEASE_DURATION_S - 0.1) == []
    assert timers.expired(LEASE_DURATION_S + 0.1) == ["lease"]
