"""Which voters are lost, by the ids that their addresses answer with: pure.

A voter whose disk is lost comes back under another id, as a blank replica that votes for nobody.
With a majority of voters gone so, no election ends; the group must say so rather than campaign in
silence, since only an operator can decide to go on without what the lost disks held.
"""

from __future__ import annotations

from leverjunction.consensus.types import Configuration, Member


class LostVoters:
    """The replica that last answered from each address."""

    __slots__ = ("_live_ids", "_told")

    def __init__(self) -> None:
        self._live_ids: dict[str, str] = {}
        self._told = False

    def answered(self, address: str, replica_id: str) -> None:
        """Note which replica lives at an address."""
        self._live_ids[address] = replica_id

    def lost(self, configuration: Configuration) -> list[Member]:
        """Return the voters at whose address another replica lives."""
        return [
            member
            for member in configuration.members
            if member.voter
            and self._live_ids.get(member.address, member.replica_id) != member.replica_id
        ]

    def majority(self, configuration: Configuration) -> bool:
        """Return whether fewer voters than a quorum are left."""
        left = len(configuration.voter_ids()) - len(self.lost(configuration))
        return left < configuration.quorum()

    def newly_a_majority(self, configuration: Configuration) -> bool:
        """Return True once each time that a majority turns out to be lost."""
        lost = self.majority(configuration)
        newly = lost and not self._told
        self._told = lost
        return newly
