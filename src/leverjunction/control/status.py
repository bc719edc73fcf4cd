"""The cluster status that ``GET /operator/status`` returns."""

from __future__ import annotations

import msgspec

from leverjunction.batch.commands import Backlog, GetBacklog
from leverjunction.control.group_host import GroupHost
from leverjunction.control.hub import Hub
from leverjunction.control.messages import HubState, RunnerReading, Withdrawal
from leverjunction.control.settings_mirror import SettingsMirror
from leverjunction.errors import Failure
from leverjunction.wire.messages import GatewayState, RunnerDigest, RunnerState

QUERY_TIMEOUT_S = 1.0


class RunnerLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A runner's load digest, encoded by field name instead of by position."""

    runner_id: str
    running: int
    waiting: int
    batch_running: int
    kv_used_ratio: float
    as_of_ms: int
    healthy: bool


class PlacementStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of placement, as known by its leader; empty on the other processes.

    Attributes:
        leads: True on the process that leads placement.
        in_progress: Orders in progress, as text.
        withdrawn: Models that gateways may not use on a runner at present.
        blocked: Changes that cannot be made now, each with its reason.
    """

    leads: bool = False
    in_progress: list[str] = []
    withdrawn: list[Withdrawal] = []
    blocked: list[str] = []


class ClusterStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the response to ``GET /operator/status``.

    Attributes:
        name: Name of the control process that responded.
        settings_version: Version of the settings in force at this process.
        quorum_age_s: Seconds since its last contact with the leader of group root.
        hubs: All control processes that it has contact with, itself first.
        silent_hubs: Names of the control processes that it has no contact with.
        gateways: Live gateways, each with the settings version that it has in force.
        runners: Listed runners.
        readings: Last reading of each runner's engine.
        digests: Last load digest of each runner, by position as in an exchange.
        loads: The same digests by field name, for people and scripts.
        backlog: Pending batch items by service.
        leases: Open batch leases by owner gateway.
        unknown_groups: Job groups that did not reply; ``backlog`` and ``leases`` lack their part.
        placement: State of placement.
    """

    name: str
    settings_version: int
    quorum_age_s: float
    hubs: list[HubState]
    silent_hubs: list[str]
    gateways: list[GatewayState]
    runners: list[RunnerState]
    readings: list[RunnerReading]
    digests: list[RunnerDigest]
    loads: list[RunnerLoad]
    backlog: dict[str, int]
    leases: dict[str, int]
    unknown_groups: list[str]
    placement: PlacementStatus


def cluster_status(
    own: HubState,
    hub: Hub,
    host: GroupHost,
    mirror: SettingsMirror,
    peers: list[str],
    job_groups: list[str],
    placement: PlacementStatus,
) -> ClusterStatus:
    """Return the cluster status as known by this process. Called by the operators' API."""
    snapshot = hub.snapshot()
    backlog: dict[str, int] = {}
    leases: dict[str, int] = {}
    unknown_groups: list[str] = []
    for group in job_groups:
        reply = host.query(group, GetBacklog(), Backlog, QUERY_TIMEOUT_S)
        if isinstance(reply, Failure):
            unknown_groups.append(group)
            continue
        for service, items in reply.pending_by_service.items():
            backlog[service] = backlog.get(service, 0) + items
        for owner, ids in reply.leases_by_owner.items():
            leases[owner] = leases.get(owner, 0) + len(ids)
    live = {state.name for state in snapshot.hubs} | {own.name}
    return ClusterStatus(
        name=own.name,
        settings_version=mirror.version,
        quorum_age_s=own.quorum_age_s,
        hubs=[own, *sorted(snapshot.hubs, key=lambda state: state.name)],
        silent_hubs=sorted(set(peers) - live),
        gateways=sorted(snapshot.gateways, key=lambda state: state.gateway_id),
        runners=sorted(snapshot.runners, key=lambda state: state.runner_id),
        readings=sorted(snapshot.readings.values(), key=lambda reading: reading.runner_id),
        digests=snapshot.digests,
        loads=[
            msgspec.convert(digest, RunnerLoad, from_attributes=True) for digest in snapshot.digests
        ],
        backlog=backlog,
        leases=leases,
        unknown_groups=unknown_groups,
        placement=placement,
    )
