"""Tracks withdrawals of models and which of them all gateways have applied. Pure: no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from leverjunction.control.messages import PlacementRecord, Withdrawal
from leverjunction.wire.messages import PlacementStamp

REPORT_LAG_S = 1.0
"""Engines report their load with a lag. A report made this long after the last gateway applied a
withdrawal includes every request that gateways sent before they applied it.
"""


class Withdrawals:
    """Withdrawals of the process that leads placement, and since when all live gateways apply them.

    A withdrawal stops gateways from using a model on a runner. It is announced in placement
    records, and a gateway reports which record it has in force.

    Attributes:
        since_s: Monotonic time at which each withdrawal started, or was taken over from the last
            leader, in seconds.
    """

    def __init__(self) -> None:
        self.since_s: dict[Withdrawal, float] = {}
        self._announced: dict[Withdrawal, PlacementStamp] = {}
        self._in_force_s: dict[Withdrawal, float] = {}

    def take_over(self, record: PlacementRecord | None, now_s: float) -> None:
        """Continue with the withdrawals of the last leader's record; none if it is None."""
        withdrawn = record.withdrawn if record is not None else []
        self.since_s = dict.fromkeys(withdrawn, now_s)
        self._announced.clear()
        self._in_force_s.clear()

    def replace(self, since_s: Mapping[Withdrawal, float]) -> None:
        """Replace the withdrawals by those in force from now on, with their start times."""
        self.since_s = dict(since_s)
        for states in (self._announced, self._in_force_s):
            for withdrawal in states.keys() - self.since_s.keys():
                del states[withdrawal]

    def record_announced(self, stamp: PlacementStamp) -> None:
        """Record the stamp of a placement record that contains all current withdrawals."""
        for withdrawal in self.since_s:
            self._announced.setdefault(withdrawal, stamp)

    def update_in_force(self, in_force: PlacementStamp | None, now_s: float) -> None:
        """Update which withdrawals all live gateways have applied.

        Args:
            in_force: Oldest placement record that a live gateway has in force; None if there are no
                gateways.
            now_s: Monotonic time in seconds.
        """
        for withdrawal, stamp in self._announced.items():
            if in_force is None or in_force >= stamp:
                self._in_force_s.setdefault(withdrawal, now_s)
            else:
                self._in_force_s.pop(withdrawal, None)

    def applied(self) -> set[Withdrawal]:
        """Return the withdrawals that all live gateways have applied."""
        return set(self._in_force_s)

    def report_covers_all_requests(self, withdrawal: Withdrawal, now_s: float) -> bool:
        """Return whether a load report made now includes all requests from before a withdrawal."""
        since_s = self._in_force_s.get(withdrawal)
        return since_s is not None and now_s - since_s >= REPORT_LAG_S
