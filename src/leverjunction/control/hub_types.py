"""Who a hub is, its picture of the cluster, and its refusals."""

from __future__ import annotations

import msgspec

from leverjunction.control.messages import HubState, RunnerReading
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState


class HubIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """What does not change while this process runs.

    Attributes:
        name: Name of this control process.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone it runs in.
        incarnation: Start time in milliseconds.
        peers: RPC addresses of all control processes, by name, this one included.
        zones: Their zones, by name.
        job_groups: Number of job groups.
    """

    name: str
    rpc_address: str
    zone: str
    incarnation: int
    peers: dict[str, str]
    zones: dict[str, str]
    job_groups: int


class ClusterSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A copy of the hub's view for status, placement and the watch of runners."""

    gateways: list[GatewayState]
    runners: list[RunnerState]
    digests: list[RunnerDigest]
    readings: dict[str, RunnerReading]
    hubs: list[HubState]


def warming_up() -> Failure:
    """Return the refusal of a hub that knows too little to give a full view."""
    return Failure(
        kind=FailureKind.STALE,
        reason="this hub has just started and does not know the cluster yet",
        step=Step.EXCHANGING,
        retry_after_s=1.0,
    )


def list_unread() -> Failure:
    """Return the refusal of a hub that has not read the machine list since it stood still."""
    return Failure(
        kind=FailureKind.STALE,
        reason="this hub stood still and reads the machine list first",
        step=Step.EXCHANGING,
        retry_after_s=0.1,
    )


def settings_held_back(retry_after_s: float) -> Failure:
    """Return the refusal of a large settings step while others are given out."""
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason="many ask this hub for all settings at once",
        step=Step.QUERYING,
        retry_after_s=retry_after_s,
    )


def old_incarnation(gateway: GatewayState) -> Failure:
    """Return the refusal of a gateway whose name a newer process bears."""
    return Failure(
        kind=FailureKind.CONFLICT,
        reason=f"a newer process named {gateway.gateway_id} is known; names must be unique",
        step=Step.EXCHANGING,
        peer=gateway.rpc_address,
    )
