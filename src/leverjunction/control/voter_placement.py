"""Moves the voters of groups to where the layout wants them, after a change of the configuration.

Control processes are added and removed in the configuration. The leader of a group then tells its
group the wanted addresses; consensus adds the new voters one at a time, each once it holds every
committed entry, and only then drops the old ones. A process goes on running a replica that the
layout no longer puts there.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from loguru import logger

from leverjunction.consensus.group import GroupReplica
from leverjunction.errors import Failure

CHANGE_TIMEOUT_S = 2.0
LEADER = "leader"


class _Asked(msgspec.Struct, frozen=True):
    """A target that was committed, in which term: asked for once, since it stays in force."""

    term: int
    addresses: tuple[str, ...]


class VoterPlacement:
    """One look at all groups for each tick. Called by one background task.

    Args:
        replicas: The local replicas, by group.
        wanted: RPC addresses that shall hold each group's voters, by group.
    """

    def __init__(
        self, replicas: Mapping[str, GroupReplica], wanted: Mapping[str, list[str]]
    ) -> None:
        self._replicas = replicas
        self._wanted = {group: tuple(sorted(addresses)) for group, addresses in wanted.items()}
        self._asked: dict[str, _Asked] = {}

    def tick(self) -> None:
        """Set the target of each group that this process leads, if its voters differ from it."""
        for group, replica in self._replicas.items():
            status = replica.status()
            asked = _Asked(status.term, self._wanted[group])
            if status.role != LEADER or self._asked.get(group) == asked:
                continue
            if set(status.voters) == set(asked.addresses):
                continue
            answer = replica.change_members(list(asked.addresses), CHANGE_TIMEOUT_S)
            if isinstance(answer, Failure):
                continue
            self._asked[group] = asked
            logger.info("group {} moves from {} to {}", group, status.voters, asked.addresses)
