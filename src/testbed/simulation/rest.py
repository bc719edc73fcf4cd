"""Looks at the groups of control processes when no fault strikes any more."""

from __future__ import annotations

from testbed.simulation.history import GroupAtRest
from testbed.simulation.replica import Replica
from testbed.simulation.world_parts import WorldParts


def groups_at_rest(parts: WorldParts) -> list[GroupAtRest]:
    """Return each group: who holds its data, by the disks, and whether somebody commits."""
    nodes = list(parts.control.values())
    groups = nodes[0].replicas if nodes else {}
    return [
        _at_rest(name, [node.replicas[name] for node in nodes], parts.scheduler.now_s)
        for name in groups
    ]


def _at_rest(name: str, replicas: list[Replica], moment_s: float) -> GroupAtRest:
    newest = max(replicas, key=lambda replica: replica.core.commit_index).core.configuration
    on_disk = {replica.core.replica_id for replica in replicas if not replica.core.blank}
    return GroupAtRest(
        name=name,
        moment_s=moment_s,
        whole_voters=len(newest.voter_ids() & on_disk),
        quorum=newest.quorum(),
        commits=any(
            replica.leads and replica.core.commit_index >= replica.core.term_start_index
            for replica in replicas
        ),
    )
