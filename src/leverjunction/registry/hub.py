"""Serves the registry of a control process to gateways and stores by long polling.

A watch call is held until the registry is newer than the caller's copy or its waiting time is over.
"""

from __future__ import annotations

import math
import threading

import msgspec
from loguru import logger

from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.quarantine.records import SuspectList
from leverjunction.registry import view_changes
from leverjunction.registry.change_history import ChangeHistory, StateKind
from leverjunction.registry.cluster import MAX_WATCHERS
from leverjunction.registry.commands import (
    GetSuspects,
    GetTable,
    GetView,
    StateVersions,
    WatchReply,
    WatchRequest,
)
from leverjunction.registry.fresh_read import LeaderQueries, read_state, read_versions
from leverjunction.registry.records import FleetView
from leverjunction.registry.verified_state import VerifiedState
from leverjunction.registry.version_leases import SharedRevisions, VersionChanges
from leverjunction.registry.watch_encoding import encode_watch_reply
from leverjunction.routes import table_changes
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import decode_reply, encode, encode_reply

MAX_CONTACT_AGE_S = 1.2
"""Longest time without contact with the leader for which this process serves its state. Beyond it,
calls fail as stale and callers switch to another process.
"""

REFRESH_S = 0.5
"""Longest time between two reads of the replica, in case a change notification is late."""

_VIEWS = StateKind[FleetView, view_changes.ViewChanges](
    revision=lambda view: view.revision, changes=view_changes.changes, merge=view_changes.merge
)
_TABLES = StateKind[RouteTable, table_changes.TableChanges](
    revision=lambda table: table.version, changes=table_changes.changes, merge=table_changes.merge
)

MIN_WAIT_S = 0.01
CATCH_UP_S = 0.3
"""Longest wait for the replica to apply what the leader has: two heartbeats."""

MAX_AGE_S = 3600.0
"""Age that is reported for older state, and before any state is complete."""


class RegistryHub:
    """Cached registry of one control process. Thread-safe.

    Args:
        replica: Local replica of the registry group.
        leader: Sends queries to the group's leader.
        clock: Source of monotonic time.
        max_held: Limit of calls held at a time; more fail, so that their senders turn to another
            process.
    """

    def __init__(
        self,
        replica: ReplicatedGroup,
        leader: LeaderQueries,
        clock: Clock,
        max_held: int = MAX_WATCHERS,
    ) -> None:
        self._replica = replica
        self._leader = leader
        self._clock = clock
        # The replica calls ``notify_changed`` while it holds its own lock, and a refresh acquires
        # that lock. To avoid a deadlock, ``_condition`` is never held during a refresh.
        self._condition = threading.Condition()
        self._changes = 0
        self._max_held = max_held
        self._held = 0
        self._refresh_lock = threading.Lock()
        self._read_changes = -1
        self._read_s = 0.0
        self._complete_until_s = -math.inf
        """Latest time up to which the cached state is known to include all commits."""
        self._failing = False
        self._tables = ChangeHistory(RouteTable(), _TABLES)
        self._views = ChangeHistory(FleetView(), _VIEWS)
        self._table = self._tables.newest()
        self._view = self._views.newest()
        self._suspects = SuspectList()
        self._shared = SharedRevisions()
        self._version_changes = VersionChanges()
        self._verified = VerifiedState()
        self._verified_lock = threading.Lock()

    def notify_changed(self) -> None:
        """Wake waiting calls after a command was applied; called by the replica's thread."""
        with self._condition:
            self._changes += 1
            self._condition.notify_all()

    def set_shared(self, shared: SharedRevisions, *, wake: bool) -> None:
        """Set the revisions that all processes have, which replies tell.

        Args:
            shared: The revisions.
            wake: Whether calls that are held may wait for them.
        """
        is_newer, self._shared = shared.gateways > self._shared.gateways, shared
        if wake and is_newer:
            self.notify_changed()

    def note_leader(self, revision: int, sent_s: float) -> None:
        """Note the leader's revision in the reply to a call that began at a monotonic time."""
        with self._verified_lock:
            self._verified.replied(revision, sent_s)

    def age_s(self) -> float:
        """Return the upper bound of the cached state's age, in seconds."""
        self._refresh()
        return self._age_s()

    def view(self) -> FleetView:
        """Return the registry as applied by the local replica."""
        self._refresh()
        return self._view

    def suspects(self) -> SuspectList:
        """Return the suspect requests as applied by the local replica."""
        self._refresh()
        return self._suspects

    def status(self) -> GroupStatus:
        """Return the status of the registry group at the local replica."""
        return self._replica.status()

    def stale(self) -> Failure | None:
        """Return a failure if the cached state may be out of date, else None."""
        self._refresh()
        age_s = self._age_s()
        if age_s <= MAX_CONTACT_AGE_S:
            return None
        return Failure(
            kind=FailureKind.STALE,
            reason=f"no contact with the registry's leader for {age_s:.1f} s; use another process",
            step=Step.EXCHANGING,
            execution=Execution.NOT_RUN,
        )

    def watch(self, request: WatchRequest) -> WatchReply | Failure:
        """Return the state that is newer than the sender's, waiting for a change if there is none.

        Args:
            request: Versions that the sender has, and how long to wait.

        Returns:
            The newer parts, or a failure if the state here may be out of date, if the leader could
            not be reached for a fresh read, or if too many calls are held already.
        """
        if request.fresh:
            return self.stale() or self._read_from_leader()
        if request.wait_ms <= 0:
            return self._watch(request)
        with self._condition:
            if self._held >= self._max_held:
                return _too_many_held(self._max_held)
            self._held += 1
        try:
            return self._watch(request)
        finally:
            with self._condition:
                self._held -= 1

    def watch_encoded(self, request: WatchRequest) -> bytes:
        """Return the encoded reply of ``watch``; what many watchers get is encoded once."""
        reply = self.watch(request)
        if isinstance(reply, Failure):
            return encode_reply(reply)
        return encode_watch_reply(reply, self._tables.encoded, self._views.encoded)

    def _watch(self, request: WatchRequest) -> WatchReply | Failure:
        began_s = self._clock.monotonic_s()
        until_s = began_s + request.wait_ms / 1000
        while True:
            with self._condition:
                seen = self._changes
            stale = self.stale()
            if stale is not None:
                return stale
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0 or self._is_newer(request):
                break
            # If the leader becomes unreachable meanwhile, the call fails as soon as the contact is
            # too old instead of at the end of its waiting time.
            contact_left_s = max(MAX_CONTACT_AGE_S - self._age_s(), MIN_WAIT_S)
            with self._condition:
                if self._changes == seen:
                    self._condition.wait(min(left_s, REFRESH_S, contact_left_s))
        return self._make_reply(request, self._clock.monotonic_s() - began_s)

    def _make_reply(self, request: WatchRequest, held_s: float) -> WatchReply:
        # The age is read before the state: read later, it could claim a refresh that the state
        # does not contain.
        age_s = self._age_s()
        table = self._tables.newer(request.table_version, request.table_digest)
        view = self._views.newer(request.revision, request.view_digest)
        return WatchReply(
            table=table.whole,
            view=view.whole,
            controls=tuple(self._replica.status().voters),
            contact_age_s=age_s,
            suspects=self._newer_suspects(request),
            table_version=table.revision,
            revision=view.revision,
            held_s=held_s,
            table_changes=table.changes,
            view_changes=view.changes,
            shared=self._shared_now(),
            verified_age_s=self._verified_age_s(view.revision),
        )

    def _verified_age_s(self, revision: int) -> float | None:
        with self._verified_lock:
            until_s = self._verified.until_s(revision)
        return None if math.isinf(until_s) else self._clock.monotonic_s() - until_s

    def _shared_now(self) -> SharedRevisions:
        """Return what all processes share; call it after the view was read.

        A version that joined in between then counts as new for longer than needed.
        """
        return msgspec.structs.replace(self._shared, versions=self._version_changes.revision)

    def _is_newer(self, request: WatchRequest) -> bool:
        return (
            self._table.version > request.table_version
            or self._view.revision > request.revision
            or self._newer_suspects(request) is not None
            or 0 <= request.awaits_revision <= self._shared.gateways
        )

    def _newer_suspects(self, request: WatchRequest) -> SuspectList | None:
        known = request.suspects_revision
        is_newer = known is not None and self._suspects.revision > known
        return self._suspects if is_newer else None

    def _read_from_leader(self) -> WatchReply | Failure:
        """Return the state of the leader.

        A starting process needs it so that it does not use state older than others already use.
        Normally the leader gives the versions only, and this process has that state or gets it
        within a heartbeat: hundreds of processes may start at the same time.
        """
        asked_s = self._clock.monotonic_s()
        leader = read_versions(self._leader)
        if not isinstance(leader, Failure):
            if self._reaches(leader, self._clock.monotonic_s() + CATCH_UP_S):
                return msgspec.structs.replace(
                    self._make_fresh_reply((self._table, self._view), asked_s),
                    shared=self._shared_now(),
                )
        elif leader.kind is not FailureKind.CORRUPT:
            return leader
        # The leader's release does not tell versions, or the replica here lags.
        asked_s = self._clock.monotonic_s()
        state = read_state(self._leader)
        return state if isinstance(state, Failure) else self._make_fresh_reply(state, asked_s)

    def _reaches(self, leader: StateVersions, until_s: float) -> bool:
        """Return whether the cached state is as new as the leader's, waiting for it if needed."""
        while True:
            with self._condition:
                seen = self._changes
            self._refresh()
            if (
                self._table.version >= leader.table_version
                and self._view.revision >= leader.revision
            ):
                return True
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0:
                return False
            with self._condition:
                if self._changes == seen:
                    self._condition.wait(left_s)

    def _make_fresh_reply(self, state: tuple[RouteTable, FleetView], asked_s: float) -> WatchReply:
        table, view = state
        return WatchReply(
            table=table,
            view=view,
            controls=tuple(self._replica.status().voters),
            contact_age_s=self._clock.monotonic_s() - asked_s,
            table_version=table.version,
            revision=view.revision,
        )

    def _age_s(self) -> float:
        """Return the upper bound of the cached state's age, in seconds."""
        return min(self._clock.monotonic_s() - self._complete_until_s, MAX_AGE_S)

    def _refresh(self) -> None:
        """Read changes from the replica and record up to when the cached state is complete."""
        with self._refresh_lock:
            # The status is taken before the read: commands applied in between only make the state
            # newer than the status claims.
            now_s = self._clock.monotonic_s()
            status = self._replica.status()
            with self._condition:
                changes = self._changes
            is_due = changes != self._read_changes or now_s - self._read_s >= REFRESH_S
            if is_due and not self._read():
                return
            if is_due:
                self._read_changes, self._read_s = changes, now_s
            if status.applied_index >= status.commit_index:
                complete_s = now_s - status.leader_contact_age_s
                self._complete_until_s = max(self._complete_until_s, complete_s)

    def _read(self) -> bool:
        """Read the replica's tables into the cache; return whether all reads succeeded."""
        view = decode_reply(self._replica.query_local(encode(GetView())), FleetView)
        table = decode_reply(self._replica.query_local(encode(GetTable())), RouteTable)
        suspects = decode_reply(self._replica.query_local(encode(GetSuspects())), SuspectList)
        failed = next((item for item in (view, table, suspects) if isinstance(item, Failure)), None)
        if failed is not None and not self._failing:
            logger.warning("cannot read the registry from the local replica: {}", failed.reason)
        self._failing = failed is not None
        if not isinstance(view, Failure) and view.revision >= self._view.revision:
            self._version_changes.update(view, self._clock.monotonic_s())
            self._views.record(view)
            self._view = self._views.newest()
        if not isinstance(table, Failure) and table.version >= self._table.version:
            self._tables.record(table)
            self._table = self._tables.newest()
        if not isinstance(suspects, Failure) and suspects.revision >= self._suspects.revision:
            self._suspects = suspects
        return failed is None


def _too_many_held(limit: int) -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"{limit} calls are held already; use another process",
        step=Step.EXCHANGING,
        execution=Execution.NOT_RUN,
    )
