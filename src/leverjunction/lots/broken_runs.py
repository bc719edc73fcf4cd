"""Runs that were broken off, until it is known whether their back ends crashed.

The proof of a crash mostly takes milliseconds, but seconds if only the registry notices it. An item
that is broken off again and again meanwhile must not run at one back end after the other. Pure: the
time is passed in.
"""

from __future__ import annotations

import math
from collections import Counter

from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.placement import Placement
from leverjunction.quarantine.crash_detector import PROOF_TIMEOUT_S

APART_BROKEN_RUNS = 2
HELD_BROKEN_RUNS = 3
"""Early runs of an item without a proof from which it runs apart, or waits for the proofs."""


class BrokenRun:
    """A run that was broken off.

    Attributes:
        run: The item.
        was_alone: Whether nothing else ran at its back end.
        was_early: Whether it had not gone on for long enough to be proven, and no proof has come.
        broken_s: When it was broken off, in monotonic seconds.
        ran_s: How long it had been unproven, in seconds; infinite if it was proven.
    """

    __slots__ = ("broken_s", "ran_s", "run", "was_alone", "was_early")

    def __init__(
        self,
        run: ItemRun,
        was_alone: bool,
        was_early: bool,
        broken_s: float,
        ran_s: float = math.inf,
    ) -> None:
        self.ran_s = ran_s
        self.run = run
        self.was_alone = was_alone
        self.was_early = was_early
        self.broken_s = broken_s


class BrokenRuns:
    """Runs that wait for a proof, by the ids of item and start. Not thread-safe."""

    __slots__ = ("_early", "_runs")

    def __init__(self) -> None:
        self._runs: dict[tuple[str, str], BrokenRun] = {}
        self._early: Counter[ItemKey] = Counter()

    @property
    def has_early(self) -> bool:
        """Whether any early run waits for a proof."""
        return bool(self._early)

    def add(self, broken: BrokenRun) -> None:
        """Add a run that was just broken off, while its item still names its back end."""
        run = broken.run
        self._runs[run.item.item_id, run.runner_id] = broken
        self._count_early()

    def take_proof(self, item_id: str, start: str) -> BrokenRun | None:
        """Return the run of an item at a start that is proved to have crashed, None if unknown.

        It is kept, since the crash is reported under each key of the request.
        """
        broken = self._runs.get((item_id, start))
        if broken is not None and broken.was_early:
            broken.was_early = False
            self._count_early()
        return broken

    def placement(self, item: ItemKey) -> Placement:
        """Return how an item may run by its runs without a proof."""
        runs = self._early[item]
        if runs >= HELD_BROKEN_RUNS:
            return Placement.HELD
        return Placement.APART if runs >= APART_BROKEN_RUNS else Placement.SHARED

    def answered(self, run: ItemRun) -> None:
        """Drop an item's runs after a complete response: it did not cause what is proved later."""
        self._keep({key: broken for key, broken in self._runs.items() if broken.run is not run})

    def expire(self, now_s: float) -> None:
        """Drop the runs for which no proof can come any more."""
        if not self._runs:
            return
        from_s = now_s - PROOF_TIMEOUT_S
        self._keep({key: broken for key, broken in self._runs.items() if broken.broken_s >= from_s})

    def clear(self) -> None:
        """Drop all runs."""
        self._keep({})

    def _keep(self, runs: dict[tuple[str, str], BrokenRun]) -> None:
        if len(runs) != len(self._runs):
            self._runs = runs
            self._count_early()

    def _count_early(self) -> None:
        self._early = Counter(broken.run.key for broken in self._runs.values() if broken.was_early)


__all__ = ["BrokenRun", "BrokenRuns"]
