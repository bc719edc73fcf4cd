"""Repairs that are committed and not yet reported: pure, asked and told by the core.

A replica that crashes before it has applied a repair durably learns once more that it is committed,
perhaps after the repaired machine lost its disk again. Its report would then be taken for that of
the second loss, and the next machine be touched while two of three disks are gone. So a repair is
reported only once the replica that it names has answered from its address.
"""

from __future__ import annotations

from leverjunction.consensus.events import RepairDone
from leverjunction.consensus.types import Configuration


class RepairReports:
    """Holds each repair back until the new replica answers or turns out to be lost again."""

    __slots__ = ("_asked_in_term", "_by_address")

    def __init__(self) -> None:
        self._by_address: dict[str, RepairDone] = {}
        self._asked_in_term = 0

    def committed(self, repair: RepairDone, term: int) -> None:
        """Take in a repair whose configuration is committed; ``term`` is the current one."""
        self._by_address[repair.address] = repair
        self._asked_in_term = term

    def addresses(self, configuration: Configuration) -> list[str]:
        """Return the addresses to ask, without those whose new replica was dropped meanwhile."""
        members = {member.replica_id for member in configuration.members}
        self._by_address = {
            address: repair
            for address, repair in self._by_address.items()
            if repair.new_id in members
        }
        return list(self._by_address)

    def answered(self, address: str, replica_id: str, term: int) -> RepairDone | None:
        """Return the repair to report, if the replica that answers is the one that it names.

        An answer of an earlier term is older than the question and says nothing.
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
