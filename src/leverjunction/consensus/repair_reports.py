"""Repairs that are committed and not yet reported. Pure logic without I/O, called by the core.

A repair replaces a replica that lost its disk with a new one at the same address. A replica that
crashes before it durably applied a repair learns a second time that the repair is committed,
possibly after the repaired machine lost its disk again. That late report would be mistaken for the
end of the second repair, and the next machine could be taken down while two of three disks are
lost. A repair is therefore reported only after the new replica has answered from its address.
"""

from __future__ import annotations

from leverjunction.consensus.events import RepairDone
from leverjunction.consensus.types import Configuration


class RepairReports:
    """Delays each report until the new replica answers; drops it if that replica is lost again."""

    __slots__ = ("_asked_in_term", "_by_address")

    def __init__(self) -> None:
        self._by_address: dict[str, RepairDone] = {}
        self._asked_in_term = 0

    def committed(self, repair: RepairDone, term: int) -> None:
        """Add a repair whose configuration is committed; ``term`` is the current term."""
        self._by_address[repair.address] = repair
        self._asked_in_term = term

    def addresses(self, configuration: Configuration) -> list[str]:
        """Return the addresses to query; drop repairs whose new replica is no longer a member."""
        members = {member.replica_id for member in configuration.members}
        self._by_address = {
            address: repair
            for address, repair in self._by_address.items()
            if repair.new_id in members
        }
        return list(self._by_address)

    def answered(self, address: str, replica_id: str, term: int) -> RepairDone | None:
        """Return the repair to report if the answering replica is the new replica of a repair.

        If another replica answers from the address, the repair is dropped. An answer with a term
        before that of the query is ignored.
        """
        repair = self._by_address.get(address)
        if repair is None:
            return None
        if replica_id != repair.new_id:
            del self._by_address[address]
            return None
        if term < self._asked_in_term:
            return None
        return self._by_address.pop(address)
