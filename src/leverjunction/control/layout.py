"""Assigns consensus groups to control processes and ranks the hubs for a gateway.

A hub is a control process in its role as a peer of gateways and of the other control processes.
All functions are pure, so every process computes the same layout from the same configuration.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping

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
    """Return the control processes that should vote in a group.

    Group root has the voters that ``root_voters`` names, if it names any. Another group has
    ``replicas_per_group`` voters, or all processes if there are fewer. The voters are in different
    regions where possible, so that a partitioned region holds a minority of every group. The next
    criteria are that a process holds fewer groups than its even share, and that its zone has few
    voters of the group. Rendezvous hashing breaks ties, so adding or removing a process moves few
    replicas.
    """
    return _layout(config)[group]


def _layout(config: ControlConfig) -> dict[str, list[ControlPeer]]:
    groups = group_names(config)
    count = min(config.replicas_per_group, len(config.peers))
    held: Counter[str] = Counter()
    fair_count = math.ceil(len(groups) * count / len(config.peers))
    layout: dict[str, list[ControlPeer]] = {}
    for group in groups:
        named = group == ROOT_GROUP and config.root_voters
        chosen = (
            [peer for peer in config.peers if peer.name in config.root_voters]
            if named
            else _choose(
                group, config.peers, count, {name for name in held if held[name] >= fair_count}
            )
        )
        held.update(peer.name for peer in chosen)
        layout[group] = chosen
    return layout


def _choose(
    group: str, peers: list[ControlPeer], count: int, full: Collection[str]
) -> list[ControlPeer]:
    chosen: list[ControlPeer] = []

    def rank(peer: ControlPeer) -> tuple[int, bool, int, int]:
        same_region = sum(1 for one in chosen if one.region == peer.region)
        same_zone = sum(1 for one in chosen if one.zone == peer.zone)
        return same_region, peer.name in full, same_zone, -_rendezvous(group, peer.name)

    while len(chosen) < count:
        chosen.append(min((peer for peer in peers if peer not in chosen), key=rank))
    return chosen


def hubs_for_gateway(
    gateway_id: str,
    zone: str,
    peers: Mapping[str, str],
    zones: Mapping[str, str],
    region_of: Callable[[str], str | None],
) -> list[str]:
    """Return the RPC addresses of all hubs in the order in which a gateway should use them.

    Hubs in the gateway's zone come first, then those in its region, then the others. Within each
    set the order is by rendezvous hash of gateway and hub, so the gateways of a dead hub spread
    over the remaining ones.

    Args:
        gateway_id: Id of the gateway.
        zone: Zone of the gateway.
        peers: RPC addresses of all control processes, by name.
        zones: Zones of all control processes, by name.
        region_of: Returns the region of a zone, or None if the settings name none.
    """
    region = region_of(zone)

    def rank(name: str) -> tuple[bool, bool, int]:
        is_far = region is None or region_of(zones[name]) != region
        return zones[name] != zone, is_far, -_rendezvous(gateway_id, name)

    return [peers[name] for name in sorted(peers, key=rank)]


def _rendezvous(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
