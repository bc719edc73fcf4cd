"""The open items, and the order in which waiting ones are run. Pure: the time is passed in.

With a backlog there are hundreds of open items, and capacity for a few more runs many times a
second. Starting a run therefore never goes through all items: the waiting ones are ranked only at
intervals.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from operator import itemgetter

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.urgency import Urgency
from leverjunction.routes.matching import RouteIndex

RANKING_MAX_AGE_S = 0.25
"""How long a ranking is used. Items parked or failed in the meantime wait for the next one."""


RANKING_MAX_SHARE = 0.05
"""Largest share of the event loop's time spent on ranking. With very many open items they are
ranked less often.
"""


class ItemQueue:
    """All open items, with a ranked queue of those that wait. It belongs to one event loop.

    Attributes:
        runs: Open items by their key, waiting or running.
        late: Waiting items that were late in the last ranking.
    """

    __slots__ = (
        "_queue",
        "_ranked_s",
        "_ranking_took_s",
        "_services",
        "_services_index",
        "late",
        "runs",
    )

    def __init__(self) -> None:
        self.runs: dict[ItemKey, ItemRun] = {}
        self.late = 0
        self._queue: deque[ItemRun] = deque()
        self._ranked_s = float("-inf")
        self._ranking_took_s = 0.0
        self._services: frozenset[str] = frozenset()
        self._services_index: RouteIndex | None = None

    def clear(self) -> None:
        """Drop all items."""
        self.runs.clear()
        self._discard_ranking()

    def unknown_lots(self, keys: Iterable[ItemKey]) -> set[str]:
        """Return the lots with open items that are not in the queue."""
        return {lot_id for lot_id, item_id in keys if (lot_id, item_id) not in self.runs}

    def add(self, items: Iterable[OpenItem]) -> None:
        """Add the items that are not in the queue yet."""
        for item in items:
            run = ItemRun(item)
            self.runs.setdefault(run.key, run)
        self._discard_ranking()

    def retain(self, keys: frozenset[ItemKey]) -> list[ItemRun]:
        """Drop all items but those listed, and return the dropped ones."""
        gone = [run for key, run in self.runs.items() if key not in keys]
        for run in gone:
            del self.runs[run.key]
        if gone:
            self._discard_ranking()
        return gone

    def has(self, run: ItemRun) -> bool:
        """Return whether an item is still open."""
        return self.runs.get(run.key) is run

    def running(self) -> Iterator[ItemRun]:
        """Return the items that are being run."""
        return (run for run in self.runs.values() if run.task is not None)

    def count_waiting(self) -> int:
        """Return the number of items that are not being run."""
        return sum(1 for run in self.runs.values() if run.task is None)

    def services(self, index: RouteIndex) -> frozenset[str]:
        """Return the services that the routes of the open items lead to."""
        if self._services_index is not index:
            routes = {run.route(index) for run in self.runs.values()}
            self._services = frozenset(
                part.service for route in routes if route is not None for part in route.services
            )
            self._services_index = index
        return self._services

    def by_services(self, index: RouteIndex) -> dict[tuple[str, ...], list[ItemRun]]:
        """Return the items by the services that their routes lead to."""
        groups: dict[tuple[str, ...], list[ItemRun]] = {}
        names: dict[int, tuple[str, ...]] = {}
        for run in self.runs.values():
            route = run.route(index)
            if route is None:
                continue
            if id(route) not in names:
                names[id(route)] = tuple(sorted(part.service for part in route.services))
            groups.setdefault(names[id(route)], []).append(run)
        return groups

    def is_ranking_due(self, now_s: float) -> bool:
        """Return whether the last ranking is too old to be used."""
        max_age_s = max(RANKING_MAX_AGE_S, self._ranking_took_s / RANKING_MAX_SHARE)
        return now_s - self._ranked_s >= max_age_s

    def note_ranking(self, took_s: float) -> None:
        """Note how long a ranking and the plan for it took; the next one waits accordingly.

        Args:
            took_s: Processor time, in seconds. With a pause of the process in it, one ranking of a
                few items would be used for many times that pause.
        """
        self._ranking_took_s = took_s

    def rank(self, now_s: float, urgency: Callable[[ItemRun], Urgency]) -> bool:
        """Rank the waiting items unless that was done recently; return whether it was done now."""
        if not self.is_ranking_due(now_s):
            return False
        waiting = [(urgency(run), run) for run in self.runs.values() if run.task is None]
        waiting.sort(key=itemgetter(0))
        self._queue = deque(run for _, run in waiting)
        self.late = sum(1 for rank, _ in waiting if rank.late)
        self._ranked_s = now_s
        return True

    def take(self) -> Iterator[ItemRun]:
        """Yield the waiting items, the most urgent first, each only once in a ranking."""
        while self._queue:
            run = self._queue.popleft()
            if run.task is None and self.has(run):
                yield run

    def put_back(self, run: ItemRun) -> None:
        """Return an item that could not be run to the front of the queue."""
        self._queue.appendleft(run)

    def _discard_ranking(self) -> None:
        self._queue.clear()
        self._ranked_s = float("-inf")
        self._services_index = None
