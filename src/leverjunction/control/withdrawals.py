"""Withdrawals of the process that leads placement, and which of them gateways keep to. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from leverjunction.control.messages import PlacementRecord, Withdrawal
from leverjunction.wire.messages import PlacementStamp

REPORT_LAG_S = 1.0
"""Engines report their load with a lag: what one reports this long after the last gateway has a
withdrawal in force shows every request that was sent before.
"""


class Withdrawals:
    """Withdrawals with the records that told them, and since when all live gateways have them.

    Attributes:
        since_s: When each began, or was taken over from the last leader.
    """

    def __init__(self) -> None:
        self.since_s: dict[Withdrawal, float] = {}
        self._told: dict[Withdrawal, PlacementStamp] = {}
        self._in_force_s: dict[Withdrawal, float] = {}

    def take_over(self, record: PlacementRecord | None, now_s: float) -> None:
        """Go on with those of the last leader; none without a record."""
        withdrawn = record.withdrawn if record is not None else []
        self.since_s = dict.fromkeys(withdrawn, now_s)
        self._told.clear()
        self._in_force_s.clear()

    def replace(self, since_s: Mapping[Withdrawal, float]) -> None:
        """Take those that are in force from now on; one that was lifted is forgotten."""
        self.since_s = dict(since_s)
        for known in (self._told, self._in_force_s):
            for withdrawal in known.keys() - self.since_s.keys():
                del known[withdrawal]

    def told(self, stamp: PlacementStamp) -> None:
        """Note the record that tells of all of them."""
        for withdrawal in self.since_s:
            self._told.setdefault(withdrawal, stamp)

    def heard(self, in_force: PlacementStamp | None, now_s: float) -> None:
        """Take the oldest record that a live gateway has in force; None without gateways."""
        for withdrawal, stamp in self._told.items():
            if in_force is None or in_force >= stamp:
                self._in_force_s.setdefault(withdrawal, now_s)
            else:
                self._in_force_s.pop(withdrawal, None)

    def applied(self) -> set[Withdrawal]:
        """Return those that all gateways have in force."""
        return set(self._in_force_s)

    def shows_all(self, withdrawal: Withdrawal, now_s: float) -> bool:
        """Return whether a load report of now shows each request sent before the withdrawal."""
        since_s = self._in_force_s.get(withdrawal)
        return since_s is not None and now_s - since_s >= REPORT_LAG_S
