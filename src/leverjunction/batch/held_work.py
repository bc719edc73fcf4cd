"""Leases and items that a gateway holds: what waits, what runs, and until when it may start."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from leverjunction.batch.commands import Lease, LeasedItem

START_MARGIN_S = 2.0
"""An item that may not repeat starts only while its lease holds for this much longer."""

SUSPECT_LOST_RUNS = 2
"""An item under which so many runners were lost is suspected to kill them. A runner runs at most
one suspect at a time, so that those that ran beside the culprit are not lost with it again."""

MS_PER_S = 1000

ItemKey = tuple[str, int]
"""Job id and index: an item is held at most once at a time."""


@dataclass
class WorkItem:
    """An item of a lease, with the text that earlier runs of it have generated.

    ``deadline_s`` is the job's deadline by this process's monotonic clock. Of the ``tries``, those
    are fruitless that ended neither with an answer nor by being parked; broken ones may have run,
    and of the ``lost_runs``, which count those of former leases too, the runner may have died.
    """

    leased: LeasedItem
    lease_id: str
    service: str
    sequence: int
    deadline_s: float
    continue_text: str = ""
    tries: int = 0
    fruitless_runs: int = 0
    broken_runs: int = 0
    lost_runs: int = 0

    @property
    def key(self) -> ItemKey:
        """Key of the item in the whole group."""
        return (self.leased.job_id, self.leased.index)

    @property
    def is_suspect(self) -> bool:
        """Whether the item may be what kills its runners."""
        return self.lost_runs >= SUSPECT_LOST_RUNS


def request_id_of(work: WorkItem) -> str:
    """Return the request id under which engines know an item."""
    return f"{work.leased.job_id}-{work.leased.index}"


@dataclass
class HeldLease:
    """A lease by this process's monotonic clock."""

    lease_id: str
    group: str
    duration_s: float
    valid_until_s: float
    open_items: set[ItemKey] = field(default_factory=set)


class HeldWork:
    """Bookkeeping without threads or I/O; the harvester calls it under its lock."""

    def __init__(self) -> None:
        self.leases: dict[str, HeldLease] = {}
        self._waiting: dict[tuple[str, str], deque[WorkItem]] = {}
        self._sequence = 0

    def add_lease(
        self, lease: Lease, group: str, service: str, valid_until_s: float, now_s: float
    ) -> None:
        """Take a granted lease and queue its items."""
        held = HeldLease(lease.lease_id, group, lease.duration_s, valid_until_s)
        self.leases[lease.lease_id] = held
        for leased in lease.items:
            self._sequence += 1
            deadline_s = now_s + (leased.deadline_ms - lease.granted_ms) / MS_PER_S
            work = WorkItem(
                leased,
                lease.lease_id,
                service,
                self._sequence,
                deadline_s,
                lost_runs=leased.lost_runs,
            )
            held.open_items.add(work.key)
            self._queue(work).append(work)

    def waiting(self, service: str) -> int:
        """Return how many items of a service wait to be started."""
        return sum(len(queue) for (name, _), queue in self._waiting.items() if name == service)

    def waiting_total(self) -> int:
        """Return how many items wait to be started."""
        return sum(len(queue) for queue in self._waiting.values())

    def parked_total(self) -> int:
        """Return how many waiting items have run in part."""
        return sum(1 for work in self._all_waiting() if work.continue_text)

    def take(
        self, service: str, models: Iterable[str], now_s: float, may_suspect: bool = True
    ) -> WorkItem | None:
        """Return the next item that a runner with these models may start, or None.

        Parked items come first, since they were put back at the front of their queue. Suspects
        are passed over unless ``may_suspect``.
        """
        queues = [self._waiting.get((service, model)) for model in models]
        heads = [queue for queue in queues if queue]
        heads.sort(key=lambda queue: queue[0].sequence)
        for queue in heads:
            for position, work in enumerate(queue):
                if self._may_start(work, now_s) and (may_suspect or not work.is_suspect):
                    del queue[position]
                    return work
        return None

    def put_back(self, work: WorkItem) -> None:
        """Queue an item again, ahead of those that have never run."""
        if work.lease_id in self.leases:
            self._queue(work).appendleft(work)

    def close_items(self, lease_id: str, keys: Iterable[ItemKey]) -> None:
        """Note that outcomes of these items are committed; an empty lease is forgotten."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return
        lease.open_items.difference_update(keys)
        if not lease.open_items:
            del self.leases[lease_id]

    def renew(self, lease_ids: Iterable[str], asked_s: float) -> None:
        """Extend leases whose renewal was asked for at ``asked_s`` and answered since."""
        for lease_id in lease_ids:
            lease = self.leases.get(lease_id)
            if lease is not None:
                lease.valid_until_s = max(lease.valid_until_s, asked_s + lease.duration_s)

    def drop_leases(self, lease_ids: Iterable[str]) -> None:
        """Forget lost leases and the waiting items of them."""
        lost = set(lease_ids)
        for lease_id in lost:
            self.leases.pop(lease_id, None)
        self._drop_waiting(lambda work: work.lease_id in lost)

    def drop_jobs(self, job_ids: Iterable[str]) -> None:
        """Forget the waiting items of cancelled jobs."""
        cancelled = set(job_ids)
        self._drop_waiting(lambda work: work.leased.job_id in cancelled)
        for lease in list(self.leases.values()):
            keys = [key for key in lease.open_items if key[0] in cancelled]
            self.close_items(lease.lease_id, keys)

    def take_unservable(self, servable: set[tuple[str, str]]) -> list[WorkItem]:
        """Take out the waiting items whose service and model are not among ``servable``."""
        items: list[WorkItem] = []
        for key in [key for key in self._waiting if key not in servable]:
            items += self._waiting.pop(key)
        return items

    def drain_waiting(self) -> list[WorkItem]:
        """Take out all waiting items, to hand them back."""
        items = list(self._all_waiting())
        self._waiting.clear()
        return items

    def _may_start(self, work: WorkItem, now_s: float) -> bool:
        lease = self.leases.get(work.lease_id)
        if lease is None:
            return False
        margin_s = 0.0 if work.leased.may_repeat else START_MARGIN_S
        return now_s + margin_s < lease.valid_until_s

    def _queue(self, work: WorkItem) -> deque[WorkItem]:
        return self._waiting.setdefault((work.service, work.leased.item.model), deque())

    def _all_waiting(self) -> Iterator[WorkItem]:
        for queue in self._waiting.values():
            yield from queue

    def _drop_waiting(self, is_dropped: Callable[[WorkItem], bool]) -> None:
        for key, queue in list(self._waiting.items()):
            self._waiting[key] = deque(work for work in queue if not is_dropped(work))
