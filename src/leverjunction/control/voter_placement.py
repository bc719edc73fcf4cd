"""Changes the voters of the consensus groups to match the layout.

The layout changes when control processes are added to or removed from the configuration. The leader
of each group then proposes the target addresses. Consensus adds the new voters one at a time, each
once it holds every committed entry, and only then removes the old ones. A process continues to run
a replica that the layout has moved away.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from loguru import logger

from leverjunction.consensus.group import GroupReplica
from leverjunction.errors import Failure

CHANGE_TIMEOUT_S = 2.0
LEADER = "leader"


class _Target(msgspec.Struct, frozen=True):
    """A committed target and its term. It stays in force, so it is proposed once a term."""

    term: int
    addresses: tuple[str, ...]


class VoterPlacement:
    """Compares the voters of all groups with the layout. Called by one background task.

    Args:
        replicas: The local replicas, by group.
        wanted: RPC addresses of the voters that the layout assigns, by group.
    """

    def __init__(
        self, replicas: Mapping[str, GroupReplica], wanted: Mapping[str, list[str]]
    ) -> None:
        self._replicas = replicas
        self._wanted = {group: tuple(sorted(addresses)) for group, addresses in wanted.items()}
        self._committed: dict[str, _Target] = {}

    def tick(self) -> None:
        """Propose the target of each group that this process leads and whose voters differ."""
        for group, replica in self._replicas.items():
            status = replica.status()
            target = _Target(status.term, self._wanted[group])
            if status.role != LEADER or self._committed.get(group) == target:
                continue
            if set(status.voters) == set(target.addresses):
                continue
            reply = replica.change_members(list(target.addresses), CHANGE_TIMEOUT_S)
            if isinstance(reply, Failure):
                continue
            self._committed[group] = target
            logger.info(
                "changing the voters of group {} from {} to {}",
                group,
                status.voters,
                target.addresses,
            )
