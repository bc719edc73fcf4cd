"""Reports of one control process about revisions, and the reports that it gets as the leader."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus
from leverjunction.errors import Failure
from leverjunction.registry.failures import not_leader
from leverjunction.registry.hub import RegistryHub
from leverjunction.registry.records import MemberRole
from leverjunction.registry.version_leases import (
    EXCHANGE_INTERVAL_S,
    PENDING_INTERVAL_S,
    ControlLease,
    FollowedViews,
    ReportViews,
    SharedRevisions,
    VersionChanges,
    ViewReports,
)
from leverjunction.wire.codec import decode, decode_reply, encode, encode_reply
from leverjunction.wire.envelope import Envelope

SendToLeader = Callable[[bytes, Callable[[], bytes | Failure]], bytes | Failure]
"""Sends a report to the leader; the second argument handles it if this process leads."""


class LeaseExchange:
    """Holds the lease of this control process on the set of versions. Thread-safe.

    Args:
        address: RPC address of this process.
        hub: The registry as this process knows it.
        clock: Source of monotonic time.
        send: Sends a report to the leader.
        view_lease_s: Longest time for which a gateway trusts a state, in seconds.
        controls: RPC addresses of the control processes that are configured.
    """

    def __init__(
        self,
        address: str,
        hub: RegistryHub,
        clock: Clock,
        send: SendToLeader,
        view_lease_s: float,
        controls: Iterable[str],
    ) -> None:
        self._address = address
        self._hub = hub
        self._clock = clock
        self._send = send
        self._configured = frozenset(controls)
        self.followed = FollowedViews(view_lease_s, clock.monotonic_s())
        self._changes = VersionChanges()
        self._lock = threading.Lock()
        self._lease = ControlLease()
        self._reports: tuple[int, ViewReports] | None = None
        self._sent_s = -math.inf

    def is_valid(self) -> bool:
        """Return whether a version that this process has not heard of is not used yet."""
        age_s = self._hub.age_s()
        with self._lock:
            return self._lease.is_valid(age_s, self._clock.monotonic_s())

    def step(self) -> None:
        """Report to the leader if it is due; call it each ``PENDING_INTERVAL_S``."""
        now_s = self._clock.monotonic_s()
        view = self._hub.view()
        self._changes.update(view, now_s)
        is_pending = self._changes.is_pending(self._lease.shared, now_s)
        if now_s - self._sent_s < (PENDING_INTERVAL_S / 2 if is_pending else EXCHANGE_INTERVAL_S):
            return
        self._sent_s = now_s
        report = self.followed.report(self._address, view.revision, now_s)
        reply = self._send(encode(report), lambda: self._record(report))
        shared = reply if isinstance(reply, Failure) else decode_reply(reply, SharedRevisions)
        if isinstance(shared, Failure):
            logger.debug("the leader took no report of revisions: {}", shared.reason)
            return
        self._hub.note_leader(shared.leader, now_s)
        with self._lock:
            self._lease.granted(shared, now_s)
        self._hub.set_shared(self._lease.shared, wake=is_pending)

    def handle(self, envelope: Envelope, peer: str) -> bytes:
        """Handle the report of another control process."""
        report = decode(envelope.body, ReportViews, peer)
        reply = report if isinstance(report, Failure) else self._record(report)
        return encode_reply(reply) if isinstance(reply, Failure) else reply

    def _record(self, report: ReportViews) -> bytes | Failure:
        status = self._hub.status()
        if status.role != "leader":
            return not_leader(status.leader_address)
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._reports is None or self._reports[0] != status.term:
                self._reports = (status.term, ViewReports(now_s))
            reports = self._reports[1]
            reports.record(report, now_s)
            shared = reports.shared(self._controls(status), now_s)
        leader = self._hub.view().revision
        return encode_reply(msgspec.structs.replace(shared, leader=leader))

    def _controls(self, status: GroupStatus) -> set[str]:
        members = self._hub.view().addresses(MemberRole.CONTROL)
        return {*status.voters, *status.learners, *members, *self._configured}


__all__ = ["LeaseExchange"]
