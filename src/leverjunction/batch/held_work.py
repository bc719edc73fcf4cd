"""Leases that a gateway holds, and their items that wait for a runner."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from leverjunction.batch.commands import Lease, LeasedItem

START_MARGIN_S = 2.0
"""Remaining validity of a lease that is required to start an item that may not repeat."""

SUSPECT_LOST_RUNS = 1
"""Number of lost runs at which an item becomes suspected of crashing its runners.

A suspect starts alone on its runner (``crash_isolation``). Otherwise the items that run beside the
crashing item would be lost together with it again.
"""

MS_PER_S = 1000

ItemKey = tuple[str, int]
"""Job id and index of an item; a gateway holds an item at most once at a time."""


@dataclass
class WorkItem:
    """An item of a lease, with the state that its earlier runs have left.

    Attributes:
        leased: The item as leased by its job group.
        lease_id: Lease that contains the item.
        service: Service whose runners may run it.
        sequence: Position in the order in which this gateway leased items.
        deadline_s: Deadline of the job by this process's monotonic clock.
        continue_text: Text that earlier runs have generated; the next run continues after it.
        tries: Runs under this lease.
        fruitless_runs: Runs that ended neither with an answer nor by being parked.
        broken_runs: Fruitless runs that may have been executed.
        lost_runs: Runs whose runner may have died, including runs under earlier leases.
        is_cleared: Whether the item has run alone for long enough since its last lost run.
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
    is_cleared: bool = False

    @property
    def key(self) -> ItemKey:
        """Key of the item, unique in its job group."""
        return (self.leased.job_id, self.leased.index)

    @property
    def is_suspect(self) -> bool:
        """Whether the item is suspected to crash its runners."""
        return self.lost_runs >= SUSPECT_LOST_RUNS


def request_id_of(work: WorkItem) -> str:
    """Return the request id of an item at the engines; all runs of the item share it."""
    return f"{work.leased.job_id}-{work.leased.index}"


@dataclass
class HeldLease:
    """A lease that this gateway holds.

    Attributes:
        lease_id: Id of the lease.
        group: Job group that granted it.
        duration_s: How long a grant or a renewal is valid.
        valid_until_s: End of its validity by this process's monotonic clock.
        open_items: Items without a committed outcome.
    """

    lease_id: str
    group: str
    duration_s: float
    valid_until_s: float
    open_items: set[ItemKey] = field(default_factory=set)


class HeldWork:
    """Held leases and queues of waiting items. Not thread-safe; does no I/O.

    Attributes:
        may_hold_suspects: Whether a suspect was queued since the attribute was last reset.
    """

    def __init__(self) -> None:
        self.leases: dict[str, HeldLease] = {}
        self._waiting: dict[tuple[str, str], deque[WorkItem]] = {}
        self._sequence = 0
        self.may_hold_suspects = False

    def add_lease(
        self, lease: Lease, group: str, service: str, valid_until_s: float, now_s: float
    ) -> None:
        """Add a granted lease and queue its items.

        Args:
            lease: The lease as granted.
            group: Job group that granted it.
            service: Service whose runners may run its items.
            valid_until_s: End of its validity, in monotonic seconds.
            now_s: Monotonic time in seconds, from which the items' deadlines are computed.
        """
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
            self.may_hold_suspects |= work.is_suspect
            self._queue(work).append(work)

    def waiting(self, service: str) -> int:
        """Return the number of waiting items of a service."""
        return sum(len(queue) for (name, _), queue in self._waiting.items() if name == service)

    def waiting_total(self) -> int:
        """Return the number of waiting items."""
        return sum(len(queue) for queue in self._waiting.values())

    def parked_total(self) -> int:
        """Return the number of waiting items that have already generated some text."""
        return sum(1 for work in self.all_waiting() if work.continue_text)

    def take(
        self,
        service: str,
        models: Iterable[str],
        now_s: float,
        is_allowed: Callable[[WorkItem], bool] = lambda _work: True,
    ) -> WorkItem | None:
        """Remove and return the next item that a runner with these models may start, or None.

        Parked items come first, because they were put back at the front of their queue. Items for
        which ``is_allowed`` returns False are skipped.
        """
        queues = [self._waiting.get((service, model)) for model in models]
        candidates = [queue for queue in queues if queue]
        candidates.sort(key=lambda queue: queue[0].sequence)
        for queue in candidates:
            for position, work in enumerate(queue):
                if self._may_start(work, now_s) and is_allowed(work):
                    del queue[position]
                    return work
        return None

    def put_back(self, work: WorkItem) -> None:
        """Queue an item again, before the items that have never run."""
        if work.lease_id in self.leases:
            self.may_hold_suspects |= work.is_suspect
            self._queue(work).appendleft(work)

    def close_items(self, lease_id: str, keys: Iterable[ItemKey]) -> None:
        """Record committed outcomes of items; a lease without open items is removed."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return
        lease.open_items.difference_update(keys)
        if not lease.open_items:
            del self.leases[lease_id]

    def renew(self, lease_ids: Iterable[str], asked_s: float) -> None:
        """Extend leases after a successful renewal that was requested at ``asked_s``."""
        for lease_id in lease_ids:
            lease = self.leases.get(lease_id)
            if lease is not None:
                lease.valid_until_s = max(lease.valid_until_s, asked_s + lease.duration_s)

    def drop_leases(self, lease_ids: Iterable[str]) -> None:
        """Remove lost leases and their waiting items."""
        lost = set(lease_ids)
        for lease_id in lost:
            self.leases.pop(lease_id, None)
        self._drop_waiting(lambda work: work.lease_id in lost)

    def drop_jobs(self, job_ids: Iterable[str]) -> None:
        """Remove the items of cancelled jobs."""
        cancelled = set(job_ids)
        self._drop_waiting(lambda work: work.leased.job_id in cancelled)
        for lease in list(self.leases.values()):
            keys = [key for key in lease.open_items if key[0] in cancelled]
            self.close_items(lease.lease_id, keys)

    def take_unservable(self, servable: set[tuple[str, str]]) -> list[WorkItem]:
        """Remove and return the waiting items whose service and model are not in ``servable``."""
        items: list[WorkItem] = []
        for key in [key for key in self._waiting if key not in servable]:
            items += self._waiting.pop(key)
        return items

    def take_last(
        self, service: str, count: int, is_taken: Callable[[WorkItem], bool]
    ) -> list[WorkItem]:
        """Remove and return up to ``count`` items from the ends of a service's queues."""
        items: list[WorkItem] = []
        for (name, _), queue in self._waiting.items():
            if name != service:
                continue
            for work in [work for work in reversed(queue) if is_taken(work)]:
                if len(items) < count:
                    queue.remove(work)
                    items.append(work)
        return items

    def take_matching(self, is_taken: Callable[[WorkItem], bool]) -> list[WorkItem]:
        """Remove and return the waiting items for which ``is_taken`` returns True."""
        items = [work for work in self.all_waiting() if is_taken(work)]
        taken = {work.key for work in items}
        if taken:
            self._drop_waiting(lambda work: work.key in taken)
        return items

    def drain_waiting(self) -> list[WorkItem]:
        """Remove and return all waiting items."""
        items = list(self.all_waiting())
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

    def all_waiting(self) -> Iterator[WorkItem]:
        """Yield all waiting items."""
        for queue in self._waiting.values():
            yield from queue

    def _drop_waiting(self, is_dropped: Callable[[WorkItem], bool]) -> None:
        for key, queue in list(self._waiting.items()):
            self._waiting[key] = deque(work for work in queue if not is_dropped(work))
