"""Identity of a hub, snapshots of its view, and the failures with which it refuses requests."""

from __future__ import annotations

import msgspec

from leverjunction.control.messages import HubState, RunnerReading
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState


class HubIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a control process that are fixed for its lifetime.

    Attributes:
        name: Name of this control process.
        rpc_address: ``host:port`` of its internal RPC.
        zone: Zone in which it runs.
        incarnation: Start time in milliseconds.
        peers: RPC addresses of all control processes, including this one, by name.
        zones: Zones of all control processes, by name.
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
    """A copy of a hub's view, for status reports and placement."""

    gateways: list[GatewayState]
    runners: list[RunnerState]
    digests: list[RunnerDigest]
    readings: dict[str, RunnerReading]
    hubs: list[HubState]


def warming_up_failure() -> Failure:
    """Return the failure of a hub that does not know enough to serve a full view."""
    return Failure(
        kind=FailureKind.STALE,
        reason="this hub has just started and does not know the cluster yet",
        step=Step.EXCHANGING,
        retry_after_s=1.0,
        execution=Execution.NOT_RUN,
    )


def machine_list_stale_failure() -> Failure:
    """Return the failure of a hub that has not read the machine list since it was paused."""
    return Failure(
        kind=FailureKind.STALE,
        reason="this hub was paused and has to read the machine list first",
        step=Step.EXCHANGING,
        retry_after_s=0.1,
        execution=Execution.NOT_RUN,
    )


def settings_throttled_failure(retry_after_s: float) -> Failure:
    """Return the failure for a large settings read while too many others are in progress."""
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason="too many full settings reads in progress at this hub",
        step=Step.QUERYING,
        retry_after_s=retry_after_s,
        execution=Execution.NOT_RUN,
    )


def old_incarnation_failure(gateway: GatewayState) -> Failure:
    """Return the failure for a gateway whose name is used by a newer process."""
    return Failure(
        kind=FailureKind.CONFLICT,
        reason=f"a newer process named {gateway.gateway_id} is known; names must be unique",
        step=Step.EXCHANGING,
        peer=gateway.rpc_address,
        execution=Execution.NOT_RUN,
    )
