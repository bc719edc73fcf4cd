"""Which control processes hold which consensus group. Pure, and the same on every process."""

from __future__ import annotations

from itertools import zip_longest

from leverjunction.config.control import ControlConfig, ControlPeer

ROOT_GROUP = "root"
JOB_GROUP_PREFIX = "jobs-"


def job_group_names(count: int) -> list[str]:
    """Return the names of the job groups."""
    return [f"{JOB_GROUP_PREFIX}{number}" for number in range(count)]


def group_names(config: ControlConfig) -> list[str]:
    """Return the names of all groups of the cluster."""
    return [ROOT_GROUP, *job_group_names(config.job_groups)]


def voters_of(group: str, config: ControlConfig) -> list[ControlPeer]:
    """Return the first voters of a group.

    With more peers than ``replicas_per_group`` the voters are spread over zones, and each job
    group starts at another peer, so that leaders and disks share the work.
    """
    if group == ROOT_GROUP and config.root_voters:
        return [peer for peer in config.peers if peer.name in config.root_voters]
    ordered = _across_zones(config.peers)
    count = min(config.replicas_per_group, len(ordered))
    offset = 0 if group == ROOT_GROUP else 1 + int(group.removeprefix(JOB_GROUP_PREFIX))
    start = offset * count % len(ordered)
    rotated = ordered[start:] + ordered[:start]
    return rotated[:count]


def _across_zones(peers: list[ControlPeer]) -> list[ControlPeer]:
    """Order peers so that neighbours are in different zones as far as possible."""
    by_zone: dict[str, list[ControlPeer]] = {}
    for peer in sorted(peers, key=lambda peer: peer.name):
        by_zone.setdefault(peer.zone, []).append(peer)
    rounds = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
    return [peer for one_round in rounds for peer in one_round if peer is not None]


def hubs_for_zone(zone: str, peers: list[ControlPeer]) -> list[str]:
    """Return the RPC addresses of all hubs, those of ``zone`` first."""
    ordered = sorted(peers, key=lambda peer: (peer.zone != zone, peer.name))
    return [peer.rpc_address for peer in ordered]
