"""Which control processes hold which consensus group. Pure, and the same on every process."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from itertools import zip_longest

import xxhash

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


def hubs_for_gateway(
    gateway_id: str,
    zone: str,
    peers: Mapping[str, str],
    zones: Mapping[str, str],
    region_of: Callable[[str], str | None],
) -> list[str]:
    """Return the RPC addresses of all hubs in the order in which a gateway should use them.

    Its own zone's first, then its region's, then the others. Within each of these the order is by
    rendezvous hash of gateway and hub, so the gateways of a dead hub spread over the rest.

    Args:
        gateway_id: The gateway.
        zone: Its zone.
        peers: RPC addresses of all control processes, by name.
        zones: Their zones, by name.
        region_of: Returns the region of a zone, None when the settings name none.
    """
    region = region_of(zone)

    def rank(name: str) -> tuple[bool, bool, int]:
        is_far = region is None or region_of(zones[name]) != region
        return zones[name] != zone, is_far, -_rendezvous(gateway_id, name)

    return [peers[name] for name in sorted(peers, key=rank)]


def _rendezvous(gateway_id: str, hub: str) -> int:
    return xxhash.xxh64_intdigest(f"{gateway_id}\0{hub}".encode())
