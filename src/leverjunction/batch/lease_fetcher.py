"""Keeps a few seconds' worth of leased items at hand, so that an idle gap is filled at once."""

from __future__ import annotations

import random as random_module
import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.batch.commands import Backlog, GetBacklog, GrantLease, Lease
from leverjunction.batch.directory import Control
from leverjunction.batch.lease_polls import Place, PollSchedule
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure
from leverjunction.wire.messages import PendingWork

CHECK_INTERVAL_S = 0.1
QUIET_CHECK_INTERVAL_S = 1.0
"""Between two looks at what is wanted while no work is said to be; news of work end the wait."""

CALL_TIMEOUT_S = 3.0
MAX_GRANT_ITEMS = 256


class Demand:
    """What a service's runners could use: models loaded and items wanted."""

    def __init__(self, service: str, models: list[str], wanted: int) -> None:
        self.service = service
        self.models = models
        self.wanted = wanted


Granted = Callable[[str, str, Lease, float], None]
"""Called with group, service, lease and the monotonic time at which it was asked for."""


class LeaseFetcher:
    """One thread that asks the job groups for leases.

    Args:
        control: Client of the control processes.
        clock: Monotonic clock.
        random: Source of lease ids and of the spread between polls.
        gateway_id: Owner of the leases.
        demands: Returns what is wanted now.
        granted: Takes a lease.
    """

    def __init__(
        self,
        control: Control,
        clock: Clock,
        random: random_module.Random,
        gateway_id: str,
        demands: Callable[[], list[Demand]],
        granted: Granted,
    ) -> None:
        self._control = control
        self._clock = clock
        self._random = random
        self._gateway_id = gateway_id
        self._demands = demands
        self._granted = granted
        self._groups: list[str] = []
        self._lock = threading.Lock()
        self._polls = PollSchedule(random)
        self._unanswered: dict[Place, GrantLease] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._failing = False
        self._thread = threading.Thread(target=self._run, name="batch-leases", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; grants under way are waited for, so that they can be returned."""
        self._stopped.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(CALL_TIMEOUT_S * 2)
        for place, command in list(self._unanswered.items()):
            self._ask(place, command)

    def update(self, groups: list[str]) -> None:
        """Take the names of the job groups."""
        self._groups = list(groups)

    def update_pending(self, work: list[PendingWork]) -> None:
        """Take the hub's word of where work is pending."""
        with self._lock:
            is_news = self._polls.told(work)
        if is_news:
            self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(self._check_interval_s())
            self._wake.clear()
            if self._stopped.is_set():
                return
            try:
                self.fetch_once()
            except Exception:
                # Batch must go on after any fault of one round.
                logger.exception("fetching leases failed")

    def _check_interval_s(self) -> float:
        with self._lock:
            is_quiet = self._polls.is_quiet(self._groups) and not self._unanswered
        return QUIET_CHECK_INTERVAL_S if is_quiet else CHECK_INTERVAL_S

    def fetch_once(self) -> None:
        """Ask for what is wanted, group by group from a random one on."""
        for demand in self._demands():
            groups = list(self._groups)
            self._random.shuffle(groups)
            for group in groups:
                if demand.wanted > 0 and not self._stopped.is_set():
                    demand.wanted -= self._fetch(group, demand)

    def _fetch(self, group: str, demand: Demand) -> int:
        place = Place(group, demand.service)
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_due = self._polls.is_due(place, now_s)
        if not is_due or not demand.models:
            return 0
        command = self._unanswered.get(place)
        if command is None and self._has_work(group, demand):
            command = self._new_grant(demand)
        count = 0 if command is None else self._ask(place, command)
        with self._lock:
            if count > 0:
                self._polls.had_items(place)
            else:
                is_unanswered = place in self._unanswered
                self._polls.was_empty(place, now_s, is_unanswered=is_unanswered)
        return count

    def _new_grant(self, demand: Demand) -> GrantLease:
        count = min(demand.wanted, MAX_GRANT_ITEMS)
        lease_id = f"{self._gateway_id}.{self._random.getrandbits(96):024x}"
        return GrantLease(lease_id, self._gateway_id, demand.service, demand.models, count)

    def _ask(self, place: Place, command: GrantLease) -> int:
        """Ask for a lease and return how many items it has.

        A grant whose answer was lost may be committed, so the same one is asked for again: the
        group repeats its answer. Forgotten, its items would wait for the lease to end, and those
        that may not repeat would end as unknown.
        """
        asked_s = self._clock.monotonic_s()
        lease = self._control.propose(place.group, command, Lease, CALL_TIMEOUT_S)
        if isinstance(lease, Failure):
            self._note_failure(lease)
            if lease.execution is not Execution.NOT_RUN:
                self._unanswered[place] = command
            return 0
        self._unanswered.pop(place, None)
        self._failing = False
        if lease.items:
            self._granted(place.group, place.service, lease, asked_s)
        return len(lease.items)

    def _has_work(self, group: str, demand: Demand) -> bool:
        """Ask by a read first: an empty grant would cost every replica a log entry."""
        backlog = self._control.query(group, GetBacklog(with_leases=False), Backlog, CALL_TIMEOUT_S)
        if isinstance(backlog, Failure):
            self._note_failure(backlog)
            return False
        return backlog.pending_by_service.get(demand.service, 0) > 0

    def _note_failure(self, failure: Failure) -> None:
        if not self._failing:
            logger.warning("no leases for now: {}", failure.reason)
        self._failing = True
