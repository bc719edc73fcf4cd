"""Open items, and the order in which those that wait are run. Pure: the time is passed in.

With a backlog there are hundreds of open items and only some room for more runs, many times a
second. So nothing here goes through all items for each run: what waits is ranked anew only every
now and then.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator

from leverjunction.lots.commands import OpenItem
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.urgency import Urgency
from leverjunction.routes.matching import RouteIndex

RANKING_MAX_AGE_S = 0.25
"""How long a ranking is used; what is parked or fails meanwhile waits for the next one."""


class ItemQueue:
    """Used by one event loop."""

    __slots__ = ("_queue", "_ranked_s", "_services", "_services_index", "runs")

    def __init__(self) -> None:
        self.runs: dict[ItemKey, ItemRun] = {}
        self._queue: deque[ItemRun] = deque()
        self._ranked_s = float("-inf")
        self._services: frozenset[str] = frozenset()
        self._services_index: RouteIndex | None = None

    def clear(self) -> None:
        """Forget all items."""
        self.runs.clear()
        self._discard_ranking()

    def unknown_lots(self, keys: Iterable[ItemKey]) -> set[str]:
        """Return the lots with open items that are not here."""
        return {lot_id for lot_id, item_id in keys if (lot_id, item_id) not in self.runs}

    def add(self, items: Iterable[OpenItem]) -> None:
        """Take items in that are not here."""
        for item in items:
            run = ItemRun(item)
            self.runs.setdefault(run.key, run)
        self._discard_ranking()

    def keep(self, keys: frozenset[ItemKey]) -> list[ItemRun]:
        """Drop items that are not open any more; return them."""
        gone = [run for key, run in self.runs.items() if key not in keys]
        for run in gone:
            del self.runs[run.key]
        if gone:
            self._discard_ranking()
        return gone

    def running(self) -> Iterator[ItemRun]:
        """Return the items that are run now."""
        return (run for run in self.runs.values() if run.task is not None)

    def services(self, index: RouteIndex) -> frozenset[str]:
        """Return the services of the open items."""
        if self._services_index is not index:
            routes = {run.route(index) for run in self.runs.values()}
            self._services = frozenset(
                part.service for route in routes if route is not None for part in route.services
            )
            self._services_index = index
        return self._services

    def rank(self, now_s: float, urgency: Callable[[ItemRun], Urgency]) -> bool:
        """Rank what waits if the last ranking is old; return whether it was."""
        if now_s - self._ranked_s < RANKING_MAX_AGE_S:
            return False
        waiting = [run for run in self.runs.values() if run.task is None]
        self._queue = deque(sorted(waiting, key=urgency))
        self._ranked_s = now_s
        return True

    def take(self) -> Iterator[ItemRun]:
        """Yield what waits, the most urgent first; what is yielded comes in no later call."""
        while self._queue:
            run = self._queue.popleft()
            if run.task is None and self.runs.get(run.key) is run:
                yield run

    def put_back(self, run: ItemRun) -> None:
        """Have an item that could not be run come first in the next call."""
        self._queue.appendleft(run)

    def _discard_ranking(self) -> None:
        self._queue.clear()
        self._ranked_s = float("-inf")
        self._services_index = None
