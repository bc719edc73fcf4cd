"""Leases batch items ahead of their start, so that spare capacity can be used immediately."""

from __future__ import annotations

import random as random_module
import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.batch.commands import Backlog, GetBacklog, GrantLease, Lease
from leverjunction.batch.directory import GroupClient
from leverjunction.batch.held_work import MS_PER_S
from leverjunction.batch.lease_polls import PollSchedule, PollTarget
from leverjunction.clock import Clock
from leverjunction.errors import Execution, Failure
from leverjunction.wire.messages import PendingWork

CHECK_INTERVAL_S = 0.1
IDLE_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the demand while no work is pending; new work ends the wait."""

CALL_TIMEOUT_S = 3.0
MAX_GRANT_ITEMS = 256


class Demand:
    """Demand of one service for items.

    Attributes:
        service: Name of the service.
        models: Models that its usable runners have loaded.
        wanted: Number of items to lease.
    """

    def __init__(self, service: str, models: list[str], wanted: int) -> None:
        self.service = service
        self.models = models
        self.wanted = wanted


Granted = Callable[[str, str, Lease, float], None]
"""Called with group, service, lease and the monotonic time at which the lease was requested."""


class LeaseFetcher:
    """Requests leases from the job groups in two threads of its own.

    One asks the groups that answer, the other one those whose last call failed: a group whose
    leader is silent delays no other.

    Args:
        control: Client of the control processes.
        clock: Monotonic clock.
        random: Source of lease ids, of the order of groups and of the jitter between polls.
        gateway_id: Owner of the leases.
        demands: Returns the current demand of each service.
        granted: Called with each granted lease.
    """

    def __init__(
        self,
        control: GroupClient,
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
        self._unanswered_grants: dict[PollTarget, GrantLease] = {}
        self._group_epoch_ms: dict[str, int] = {}
        self._has_failed: dict[str, bool] = {}
        """Whether the last call to a group failed, if one was made in this round."""
        self._failing_groups: set[str] = set()
        self._wake = threading.Event()
        self._wake_failing = threading.Event()
        self._stopped = threading.Event()
        self._failing = False
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start the thread that asks the groups that answer; the other one starts when needed."""
        self._start_thread(self._run, "batch-leases")

    def stop(self) -> None:
        """End the threads, then request the unanswered grants again so that they can be released.

        Waits for calls under way.
        """
        self._stopped.set()
        self._wake.set()
        self._wake_failing.set()
        for thread in list(self._threads):
            if thread.is_alive():
                thread.join(CALL_TIMEOUT_S * 2)
        for target, command in list(self._unanswered_grants.items()):
            self._request_lease(target, command)

    def _start_thread(self, run: Callable[[], None], name: str) -> None:
        thread = threading.Thread(target=run, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def update(self, groups: list[str]) -> None:
        """Replace the names of the job groups."""
        self._groups = list(groups)

    def update_pending(self, work: list[PendingWork]) -> None:
        """Update which job groups have pending work, as reported by the hub."""
        with self._lock:
            has_new_work = self._polls.update(work)
        if has_new_work:
            self._wake.set()
            self._wake_failing.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(self._check_interval_s())
            self._wake.clear()
            if self._stopped.is_set():
                return
            self._fetch_round(is_failing=False)

    def _run_failing(self) -> None:
        while True:
            with self._lock:
                has_groups = bool(self._failing_groups)
            self._wake_failing.wait(self._check_interval_s() if has_groups else None)
            self._wake_failing.clear()
            if self._stopped.is_set():
                return
            self._fetch_round(is_failing=True)

    def _fetch_round(self, *, is_failing: bool) -> None:
        try:
            self._fetch_from(lambda group: (group in self._failing_groups) is is_failing)
        except Exception:
            # An unexpected error in one round must not end the thread.
            logger.exception("requesting batch leases failed")

    def _check_interval_s(self) -> float:
        with self._lock:
            is_idle = self._polls.is_idle(self._groups) and not self._unanswered_grants
        return IDLE_CHECK_INTERVAL_S if is_idle else CHECK_INTERVAL_S

    def fetch_once(self) -> None:
        """Request leases for the current demand, from all job groups in random order."""
        self._fetch_from(lambda _group: True)

    def _fetch_from(self, is_asked: Callable[[str], bool]) -> None:
        for demand in self._demands():
            groups = list(self._groups)
            self._random.shuffle(groups)
            for group in groups:
                if demand.wanted > 0 and is_asked(group) and not self._stopped.is_set():
                    demand.wanted -= self._fetch(group, demand)
                    self._sort_group(group)

    def _sort_group(self, group: str) -> None:
        """Leave a group to the thread that asks groups of its kind."""
        with self._lock:
            has_failed = self._has_failed.pop(group, None)
            if has_failed is False:
                self._failing_groups.discard(group)
            elif has_failed:
                self._failing_groups.add(group)
                self._wake_failing.set()
            needs_thread = bool(has_failed) and len(self._threads) == 1
        if needs_thread:
            self._start_thread(self._run_failing, "batch-leases-failing")

    def _fetch(self, group: str, demand: Demand) -> int:
        target = PollTarget(group, demand.service)
        now_s = self._clock.monotonic_s()
        with self._lock:
            is_due = self._polls.is_due(target, now_s)
        if not is_due or not demand.models:
            return 0
        command = self._unanswered_grants.get(target)
        if command is None and self._has_pending_items(group, demand):
            command = self._new_grant(demand)
        count = 0 if command is None else self._request_lease(target, command)
        with self._lock:
            if count > 0:
                self._polls.record_items(target)
            else:
                is_unanswered = target in self._unanswered_grants
                self._polls.record_empty(target, now_s, is_unanswered=is_unanswered)
        return count

    def _new_grant(self, demand: Demand) -> GrantLease:
        count = min(demand.wanted, MAX_GRANT_ITEMS)
        lease_id = f"{self._gateway_id}.{self._random.getrandbits(96):024x}"
        return GrantLease(lease_id, self._gateway_id, demand.service, demand.models, count)

    def _request_lease(self, target: PollTarget, command: GrantLease) -> int:
        """Request a lease and return the number of its items.

        A grant whose reply was lost may have been committed, so the same command is kept and sent
        again; the group then repeats its reply. Without that, its items would wait until the lease
        expires, and the outcome of items that may not repeat would become unknown.
        """
        asked_s = self._clock.monotonic_s()
        lease = self._control.propose(target.group, command, Lease, CALL_TIMEOUT_S)
        if isinstance(lease, Failure):
            self._record_failure(target.group, lease)
            if lease.execution is not Execution.NOT_RUN:
                self._unanswered_grants[target] = command
            return 0
        self._unanswered_grants.pop(target, None)
        self._record_reply(target.group)
        self._failing = False
        self._group_epoch_ms[target.group] = lease.granted_ms - int(asked_s * MS_PER_S)
        if lease.items:
            self._granted(target.group, target.service, lease, asked_s)
        return len(lease.items)

    def _has_pending_items(self, group: str, demand: Demand) -> bool:
        """Return whether a group has pending items of the demand's service.

        This is a read. An empty grant would cost a log entry on every replica instead.
        """
        # The wall clock of the group's log is known from the last grant.
        epoch_ms = self._group_epoch_ms.get(group)
        as_of_ms = 0 if epoch_ms is None else epoch_ms + int(self._clock.monotonic_s() * MS_PER_S)
        query = GetBacklog(with_leases=False, owner=self._gateway_id, as_of_ms=as_of_ms)
        backlog = self._control.query(group, query, Backlog, CALL_TIMEOUT_S)
        if isinstance(backlog, Failure):
            self._record_failure(group, backlog)
            return False
        self._record_reply(group)
        return backlog.pending_by_service.get(demand.service, 0) > 0

    def _record_reply(self, group: str) -> None:
        with self._lock:
            self._has_failed[group] = False

    def _record_failure(self, group: str, failure: Failure) -> None:
        with self._lock:
            self._has_failed[group] = True
        if not self._failing:
            logger.warning("cannot lease batch items: {}", failure.reason)
        self._failing = True
