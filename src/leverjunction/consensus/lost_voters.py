"""Detects lost voters by the replica ids that reply from their addresses. Does no I/O.

A voter that lost its disk comes back under another id, as a blank replica, which does not vote.
When a majority of voters is lost in this way, no candidate can win an election. The group must
report this instead of campaigning silently, since only an operator can decide to continue without
the data on the lost disks.
"""

from __future__ import annotations

from leverjunction.consensus.types import Configuration, Member


class LostVoters:
    """Tracks the replica that last replied from each address."""

    __slots__ = ("_live_ids", "_reported")

    def __init__(self) -> None:
        self._live_ids: dict[str, str] = {}
        self._reported = False

    def record_reply(self, address: str, replica_id: str) -> None:
        """Record which replica replied from an address."""
        self._live_ids[address] = replica_id

    def lost_members(self, configuration: Configuration) -> list[Member]:
        """Return the voters whose address now holds another replica."""
        return [
            member
            for member in configuration.members
            if member.voter
            and self._live_ids.get(member.address, member.replica_id) != member.replica_id
        ]

    def is_majority_lost(self, configuration: Configuration) -> bool:
        """Return whether fewer voters remain than make a quorum."""
        remaining = len(configuration.voter_ids()) - len(self.lost_members(configuration))
        return remaining < configuration.quorum()

    def majority_newly_lost(self, configuration: Configuration) -> bool:
        """Return True on the first call after a majority became lost, False until it recovers."""
        lost = self.is_majority_lost(configuration)
        newly = lost and not self._reported
        self._reported = lost
        return newly
