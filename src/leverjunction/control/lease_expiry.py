"""Expires batch leases and job deadlines on the leaders of the job groups.

Each control process runs one ``LeaseExpiry`` for the job groups that it holds; it acts only for
those that it leads. Leases are kept by the leader's monotonic clock (``batch.lease_timers``).
"""

from __future__ import annotations

import math
import threading
from typing import TypeVar

import msgspec
from loguru import logger

from leverjunction.batch.commands import (
    Backlog,
    CancelJob,
    ExpireDeadlines,
    ExpiredLeases,
    ExpireLeases,
    GetBacklog,
    GrantLease,
)
from leverjunction.batch.lease_timers import LeaseTimers
from leverjunction.batch.leasing import LEASE_DURATION_S
from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.control.messages import HeldLeases, RenewedLeases, RenewLeases
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode_reply, encode
from leverjunction.wire.messages import JobAlert

T = TypeVar("T")

TICK_INTERVAL_S = 0.5
RECONCILE_INTERVAL_S = 2.0
"""Interval at which the timers are reconciled with the open leases of the applied state."""

DEADLINE_INTERVAL_S = 1.0
"""Minimum interval between commands that process due deadlines, abandoned uploads and old results.
"""

PENDING_INTERVAL_S = 0.25
"""The pending work and the alerts are cached for this long, since every hub queries them."""

CANCELLED_REPORT_S = 30.0
"""A cancelled job is reported to the hubs for this long: far longer than any exchange takes."""

COMMAND_TIMEOUT_S = 2.0
LEADER = "leader"

_GRANT_PREFIX = encode(GrantLease("", "", "", [], 0)).split(b",", 1)[0]
_CANCEL_PREFIX = encode(CancelJob("")).split(b",", 1)[0]


class _LedGroup:
    """The in-memory state of the leader of one job group."""

    def __init__(self, duration_s: float) -> None:
        self.lock = threading.Lock()
        self.timers = LeaseTimers(duration_s)
        self.term = 0
        self.reconciled_s = 0.0
        self.deadlines_s = 0.0
        self.due_ms = 0
        self.granted_lately: set[str] = set()
        self.cancelled: dict[str, float] = {}
        self.pending: list[str] | None = None
        self.alerts: list[JobAlert] = []
        self.pending_read_s = -math.inf


class LeaseExpiry:
    """Expires leases that were not renewed, and tells holders which leases they have lost.

    Args:
        replicas: Local replicas of the job groups, by group.
        clock: Source of monotonic time.
        duration_s: Duration of a lease without renewal, in seconds, as stated in its grant.
    """

    def __init__(
        self,
        replicas: dict[str, ReplicatedGroup],
        clock: Clock,
        duration_s: float = LEASE_DURATION_S,
    ) -> None:
        self._replicas = replicas
        self._clock = clock
        self._groups = {group: _LedGroup(duration_s) for group in replicas}

    def tick(self) -> None:
        """Process what is due in each group that this process leads. Run by a background task."""
        for group, replica in self._replicas.items():
            self._tick_group(group, replica, self._groups[group])

    def committed(self, group: str, command: bytes, reply: bytes) -> None:
        """Record a proposal that was applied on this leader (see ``GroupHost``)."""
        led = self._groups.get(group)
        if led is None:
            return
        now_s = self._clock.monotonic_s()
        if command.startswith(_GRANT_PREFIX):
            lease_id = msgspec.json.decode(command, type=GrantLease).lease_id
            with led.lock:
                led.timers.granted(lease_id, now_s)
                led.granted_lately.add(lease_id)
        elif command.startswith(_CANCEL_PREFIX):
            job_id = msgspec.json.decode(command, type=CancelJob).job_id
            with led.lock:
                led.cancelled[job_id] = now_s + CANCELLED_REPORT_S

    def renew(self, group: str, renewals: RenewLeases) -> RenewedLeases | Failure:
        """Renew leases for a hub's gateways; fails unless this process leads the group."""
        replica = self._replicas.get(group)
        if replica is None:
            return _not_leader(group, "")
        status = replica.status()
        led = self._groups[group]
        if status.role != LEADER or led.term != status.term:
            return _not_leader(group, "" if status.role == LEADER else status.leader_address)
        lost = [self._renew_owner(replica, led, held) for held in renewals.held]
        now_s = self._clock.monotonic_s()
        with led.lock:
            led.cancelled = {job: end_s for job, end_s in led.cancelled.items() if end_s > now_s}
            cancelled = list(led.cancelled)
        pending, alerts = self._pending_work(replica, led, now_s)
        return RenewedLeases([held for held in lost if held.lease_ids], cancelled, pending, alerts)

    def _pending_work(
        self, replica: ReplicatedGroup, led: _LedGroup, now_s: float
    ) -> tuple[list[str] | None, list[JobAlert]]:
        """Return the services with pending work, None if unknown, and the jobs to warn of."""
        with led.lock:
            if now_s - led.pending_read_s < PENDING_INTERVAL_S:
                return led.pending, led.alerts
            led.pending_read_s = now_s
        query = GetBacklog(with_leases=False, as_of_ms=self._clock.wall_ms(), with_alerts=True)
        backlog = decode_reply(replica.query_local(encode(query)), Backlog)
        with led.lock:
            if isinstance(backlog, Failure):
                led.pending, led.alerts = None, []
            else:
                led.pending, led.alerts = sorted(backlog.pending_by_service), backlog.alerts
            return led.pending, led.alerts

    def _renew_owner(
        self, replica: ReplicatedGroup, led: _LedGroup, held: HeldLeases
    ) -> HeldLeases:
        now_s = self._clock.monotonic_s()
        with led.lock:
            unknown = led.timers.renewed(held.lease_ids, now_s)
        if unknown:
            # A grant whose proposal timed out may be applied without a call to ``committed``.
            self._reconcile(replica, led)
            with led.lock:
                unknown = led.timers.renewed(unknown, now_s)
        return HeldLeases(held.owner, unknown)

    def _tick_group(self, group: str, replica: ReplicatedGroup, led: _LedGroup) -> None:
        status = replica.status()
        if status.role != LEADER:
            led.term = 0
            return
        if led.term != status.term:
            self._take_over(group, replica, led, status)
            return
        now_s = self._clock.monotonic_s()
        if now_s - led.reconciled_s >= RECONCILE_INTERVAL_S:
            self._reconcile(replica, led)
        self._expire_leases(group, replica, led, now_s)
        is_due = 0 < led.due_ms <= self._clock.wall_ms()
        if is_due and now_s - led.deadlines_s >= DEADLINE_INTERVAL_S:
            led.deadlines_s = now_s
            _propose(replica, ExpireDeadlines(), ExpiredLeases)

    def _take_over(
        self, group: str, replica: ReplicatedGroup, led: _LedGroup, status: GroupStatus
    ) -> None:
        """Take over as leader; open leases get a full duration, because renewals are not logged."""
        with led.lock:
            led.granted_lately.clear()
        # Read through the quorum, so everything that earlier leaders committed is applied here.
        backlog = _query(replica, GetBacklog(), Backlog)
        if isinstance(backlog, Failure):
            return
        now_s = self._clock.monotonic_s()
        open_leases = _open_leases(backlog)
        with led.lock:
            led.timers.became_leader(open_leases | led.granted_lately, now_s)
            for job_id in backlog.cancelled_jobs:
                led.cancelled[job_id] = now_s + CANCELLED_REPORT_S
            led.due_ms = backlog.next_due_ms
            led.reconciled_s = now_s
            led.term = status.term
        logger.info("leading {} in term {}: {} open leases", group, status.term, len(open_leases))

    def _reconcile(self, replica: ReplicatedGroup, led: _LedGroup) -> None:
        with led.lock:
            led.granted_lately.clear()
        answer = replica.query_local(encode(GetBacklog()))
        backlog = decode_reply(answer, Backlog)
        if isinstance(backlog, Failure):
            return
        now_s = self._clock.monotonic_s()
        with led.lock:
            # Leases granted while the state was read are open but may be missing from it.
            led.timers.retain(_open_leases(backlog) | led.granted_lately, now_s)
            led.due_ms = backlog.next_due_ms
            led.reconciled_s = now_s

    def _expire_leases(
        self, group: str, replica: ReplicatedGroup, led: _LedGroup, now_s: float
    ) -> None:
        with led.lock:
            due = led.timers.expired(now_s)
        if not due:
            return
        outcome = _propose(replica, ExpireLeases(lease_ids=due), ExpiredLeases)
        if isinstance(outcome, Failure):
            return
        with led.lock:
            led.timers.ended(due)
        logger.info("{}: {} leases expired, {} items returned", group, len(due), outcome.returned)


def _open_leases(backlog: Backlog) -> set[str]:
    return {lease_id for ids in backlog.leases_by_owner.values() for lease_id in ids}


def _propose(replica: ReplicatedGroup, command: msgspec.Struct, reply: type[T]) -> T | Failure:
    raw = replica.propose(encode(command), COMMAND_TIMEOUT_S)
    return raw if isinstance(raw, Failure) else decode_reply(raw, reply)


def _query(replica: ReplicatedGroup, query: msgspec.Struct, reply: type[T]) -> T | Failure:
    raw = replica.query(encode(query), COMMAND_TIMEOUT_S)
    return raw if isinstance(raw, Failure) else decode_reply(raw, reply)


def _not_leader(group: str, leader: str) -> Failure:
    return Failure(
        kind=FailureKind.NOT_LEADER,
        reason=f"this process does not lead {group}, or has only just become its leader",
        step=Step.LEASING,
        detail=leader,
        execution=Execution.NOT_RUN,
    )
