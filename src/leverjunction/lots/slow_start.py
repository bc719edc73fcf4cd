"""Limits at how many back ends the first items of a lot run. Pure.

A lot may consist of items that crash their back ends. If all of its items started at once, each
back end would be lost before the first crash is noticed. A lot therefore starts with a few runs at
a few back ends, and spreads as its runs are *proven*: as they produce output for longer than
harmful requests do before the crash. A crash makes it start again. Runs that go on for long without
any output let it spread as well, or the last items of a lot with slow first outputs would wait for
idle back ends; but such runs do not end the limit.
"""

from __future__ import annotations

from collections import Counter

FIRST_BACK_ENDS = 2
"""Back ends at which a lot may have unproven runs at first."""

RUNS_PER_BACK_END = 1
"""Unproven runs that a lot may have at one back end: items that are lost together all become
suspects, and each of them has to run apart once more.
"""

PROVEN_PER_BACK_END = 3
"""Proven or overdue runs that allow one further back end."""

OPEN_AFTER = 24
"""Proven runs without a crash after which a lot is not limited. If one in ten of its items were
harmful, one lot in 13 would come that far (0.9 to the power of 24).
"""


class _LotState:
    """One lot that is limited.

    Attributes:
        proven: Proven runs since its start or its last crash.
        overdue: Runs since then that produced nothing for long, and did not crash.
        unproven: Unproven runs by the start of the back end.
    """

    __slots__ = ("overdue", "proven", "unproven")

    def __init__(self) -> None:
        self.proven = 0
        self.overdue = 0
        self.unproven: Counter[str] = Counter()


class SlowStart:
    """Counts proven and unproven runs of each lot. Not thread-safe."""

    __slots__ = ("_lots", "_open")

    def __init__(self) -> None:
        self._lots: dict[str, _LotState] = {}
        self._open: set[str] = set()

    def is_open(self, lot_id: str) -> bool:
        """Return whether a lot is not limited."""
        return lot_id in self._open

    def is_full(self, lot_id: str) -> bool:
        """Return whether a lot may not start any run now."""
        state = self._lots.get(lot_id)
        if state is None or lot_id in self._open or self._may_spread(state):
            return False
        return all(runs >= RUNS_PER_BACK_END for runs in state.unproven.values())

    def may_run(self, lot_id: str, start: str) -> bool:
        """Return whether a lot may have one more unproven run at a start."""
        if lot_id in self._open:
            return True
        state = self._lots.setdefault(lot_id, _LotState())
        if start in state.unproven:
            return state.unproven[start] < RUNS_PER_BACK_END
        return self._may_spread(state)

    def started(self, lot_id: str, start: str) -> None:
        """Count a run, until ``proven`` or ``ended``."""
        self._lots.setdefault(lot_id, _LotState()).unproven[start] += 1

    def ended(self, lot_id: str, start: str) -> None:
        """Record that an unproven run has ended."""
        state = self._lots.get(lot_id)
        if state is not None:
            state.unproven -= Counter((start,))

    def overdue(self, lot_id: str, start: str) -> None:
        """Record that an unproven run goes on, but is no longer waited for."""
        self.ended(lot_id, start)
        state = self._lots.get(lot_id)
        if state is not None:
            state.overdue += 1

    def proven(self, lot_id: str, start: str) -> None:
        """Record that a run has been proven."""
        self.ended(lot_id, start)
        state = self._lots.get(lot_id)
        if state is None:
            return
        state.proven += 1
        if state.proven >= OPEN_AFTER:
            self._open.add(lot_id)

    def crashed(self, lot_id: str) -> None:
        """Record that a back end crashed early in a run of a lot."""
        self._open.discard(lot_id)
        state = self._lots.setdefault(lot_id, _LotState())
        state.proven = state.overdue = 0

    def _may_spread(self, state: _LotState) -> bool:
        harmless = state.proven + state.overdue
        return len(state.unproven) < FIRST_BACK_ENDS + harmless // PROVEN_PER_BACK_END

    def retain(self, lot_ids: set[str]) -> None:
        """Drop all lots but those listed."""
        self._open &= lot_ids
        self._lots = {lot_id: state for lot_id, state in self._lots.items() if lot_id in lot_ids}


__all__ = ["SlowStart"]
