"""Keeps a few seconds' worth of leased items at hand, so that an idle gap is filled at once."""

from __future__ import annotations

import random as random_module
import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.batch.commands import Backlog, GetBacklog, GrantLease, Lease
from leverjunction.batch.directory import Control
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure

CHECK_INTERVAL_S = 0.1
EMPTY_POLL_S = 0.5
MAX_EMPTY_POLL_S = 2.0
"""A group without work is asked again after this, longer each time, spread by half. Most jobs come
in heaps 10 s apart, so a longest wait near that would leave the fleet idle for much of it."""

CALL_TIMEOUT_S = 3.0
MAX_GRANT_ITEMS = 256


class Demand:
    """What a service's runners could use: models loaded and items wanted."""

    def __init__(self, service: str, models: list[str], wanted: int) -> None:
        self.service = service
        self.models = models
        self.wanted = wanted


_Place = tuple[str, str]
"""Group and service."""

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
        self._next_poll_s: dict[_Place, float] = {}
        self._empty_polls: dict[_Place, int] = {}
        self._unanswered: dict[_Place, GrantLease] = {}
        self._stopped = threading.Event()
        self._failing = False
        self._thread = threading.Thread(target=self._run, name="batch-leases", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; grants under way are waited for, so that they can be returned."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(CALL_TIMEOUT_S * 2)
        for place, command in list(self._unanswered.items()):
            self._ask(place, command)

    def update(self, groups: list[str]) -> None:
        """Take the names of the job groups."""
        self._groups = list(groups)

    def _run(self) -> None:
        while not self._stopped.wait(CHECK_INTERVAL_S):
            try:
                self.fetch_once()
            except Exception:
                # Batch must go on after any fault of one round.
                logger.exception("fetching leases failed")

    def fetch_once(self) -> None:
        """Ask for what is wanted, group by group from a random one on."""
        for demand in self._demands():
            groups = list(self._groups)
            self._random.shuffle(groups)
            for group in groups:
                if demand.wanted > 0 and not self._stopped.is_set():
                    demand.wanted -= self._fetch(group, demand)

    def _fetch(self, group: str, demand: Demand) -> int:
        place = (group, demand.service)
        now_s = self._clock.monotonic_s()
        if now_s < self._next_poll_s.get(place, 0.0) or not demand.models:
            return 0
        command = self._unanswered.get(place)
        if command is None and self._has_work(group, demand):
            command = self._new_grant(demand)
        count = 0 if command is None else self._ask(place, command)
        if count == 0:
            self._wait_longer(place, now_s)
        return count

    def _new_grant(self, demand: Demand) -> GrantLease:
        count = min(demand.wanted, MAX_GRANT_ITEMS)
        lease_id = f"{self._gateway_id}.{self._random.getrandbits(96):024x}"
        return GrantLease(lease_id, self._gateway_id, demand.service, demand.models, count)

    def _ask(self, place: _Place, command: GrantLease) -> int:
        """Ask for a lease and return how many items it has.

        A grant whose answer was lost may be committed, so the same one is asked for again: the
        group repeats its answer. Forgotten, its items would wait for the lease to end, and those
        that may not repeat would end as unknown.
        """
        group, service = place
        asked_s = self._clock.monotonic_s()
        lease = self._control.propose(group, command, Lease, CALL_TIMEOUT_S)
        if isinstance(lease, Failure):
            self._note_failure(lease)
            if lease.execution is not Execution.NOT_RUN:
                self._unanswered[place] = command
            return 0
        self._unanswered.pop(place, None)
        self._failing = False
        if lease.items:
            self._empty_polls.pop(place, None)
            self._granted(group, service, lease, asked_s)
        return len(lease.items)

    def _has_work(self, group: str, demand: Demand) -> bool:
        """Ask by a read first: an empty grant would cost every replica a log entry."""
        backlog = self._control.query(group, GetBacklog(with_leases=False), Backlog, CALL_TIMEOUT_S)
        if isinstance(backlog, Failure):
            self._note_failure(backlog)
            return False
        return backlog.pending_by_service.get(demand.service, 0) > 0

    def _wait_longer(self, place: tuple[str, str], now_s: float) -> None:
        polls = self._empty_polls.get(place, 0) + 1
        self._empty_polls[place] = polls
        if place in self._unanswered:
            # Its items may be leased to this gateway already, and would wait for the lease's end.
            polls = 1
        wait_s = min(EMPTY_POLL_S * polls, MAX_EMPTY_POLL_S) * self._random.uniform(0.5, 1.0)
        self._next_poll_s[place] = now_s + wait_s

    def _note_failure(self, failure: Failure) -> None:
        if not self._failing:
            logger.warning("no leases for now: {}", failure.reason)
        self._failing = True
