"""Serves the registry to gateways and stores: an answer as soon as something is newer."""

from __future__ import annotations

import threading
from typing import Protocol, TypeVar

import msgspec

from leverjunction.clock import Clock
from leverjunction.consensus.api import GroupStatus, ReplicatedGroup
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.quarantine.records import SuspectList
from leverjunction.registry.commands import (
    GetSuspects,
    GetTable,
    GetView,
    WatchReply,
    WatchRequest,
)
from leverjunction.registry.records import REGISTRY_GROUP, FleetView
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import decode_reply, encode

T = TypeVar("T")

STALE_CONTACT_S = 1.2
"""A process that has not heard the leader for so long says so, and is asked no more."""

REFRESH_S = 0.5
"""Longest age of the cached state, should a notice be late."""

FRESH_TIMEOUT_S = 0.8


class LeaderQueries(Protocol):
    """The part of ``GroupHost`` that is used here."""

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Ask the group's leader."""
        ...


class RegistryHub:
    """Cached registry of one control process. Safe to share between threads."""

    def __init__(self, replica: ReplicatedGroup, leader: LeaderQueries, clock: Clock) -> None:
        self._replica = replica
        self._leader = leader
        self._clock = clock
        # The replica calls ``changed`` under its own lock, and a refresh takes that lock: so what
        # ``changed`` needs is never held during a refresh.
        self._notice = threading.Condition()
        self._changes = 0
        self._refreshing = threading.Lock()
        self._read_changes = -1
        self._read_s = 0.0
        self._table = RouteTable()
        self._view = FleetView()
        self._suspects = SuspectList()

    def changed(self) -> None:
        """Note that a command was applied; called by the replica's own thread."""
        with self._notice:
            self._changes += 1
            self._notice.notify_all()

    def view(self) -> FleetView:
        """Return the registry as applied here."""
        self._refresh()
        return self._view

    def suspects(self) -> SuspectList:
        """Return the suspect requests as applied here."""
        self._refresh()
        return self._suspects

    def status(self) -> GroupStatus:
        """Return what the local replica knows of its group."""
        return self._replica.status()

    def stale(self) -> Failure | None:
        """Return a failure while this process may be cut off from the group."""
        age_s = self._replica.status().leader_contact_age_s
        if age_s <= STALE_CONTACT_S:
            return None
        return Failure(
            kind=FailureKind.STALE,
            reason=f"the registry's leader was not heard for {age_s:.1f} s; ask another process",
            step=Step.EXCHANGING,
        )

    def watch(self, request: WatchRequest) -> WatchReply | Failure:
        """Return what is newer than the sender knows, waiting a while for it."""
        stale = self.stale()
        if stale is not None:
            return stale
        if request.fresh:
            return self._fresh()
        until_s = self._clock.monotonic_s() + request.wait_ms / 1000
        while True:
            seen = self._refresh()
            if self._is_newer(request):
                break
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0:
                break
            with self._notice:
                if self._changes == seen:
                    self._notice.wait(min(left_s, REFRESH_S))
        table, view = self._table, self._view
        # It may have been cut off while the answer was held.
        return self.stale() or self._reply(
            table if table.version > request.table_version else None,
            view if view.revision > request.revision else None,
            self._newer_suspects(request),
        )

    def _is_newer(self, request: WatchRequest) -> bool:
        return (
            self._table.version > request.table_version
            or self._view.revision > request.revision
            or self._newer_suspects(request) is not None
        )

    def _newer_suspects(self, request: WatchRequest) -> SuspectList | None:
        known = request.suspects_revision
        is_newer = known is not None and self._suspects.revision > known
        return self._suspects if is_newer else None

    def _reply(
        self,
        table: RouteTable | None,
        view: FleetView | None,
        suspects: SuspectList | None = None,
    ) -> WatchReply:
        status = self._replica.status()
        return WatchReply(
            table=table,
            view=view,
            controls=tuple(status.voters),
            contact_age_s=status.leader_contact_age_s,
            suspects=suspects,
        )

    def _fresh(self) -> WatchReply | Failure:
        """Read at the leader: a process that starts must not go back behind what others saw."""
        view = self._leader.query(REGISTRY_GROUP, GetView(), FleetView, FRESH_TIMEOUT_S)
        if isinstance(view, Failure):
            return view
        table = self._leader.query(REGISTRY_GROUP, GetTable(), RouteTable, FRESH_TIMEOUT_S)
        return table if isinstance(table, Failure) else self._reply(table, view)

    def _refresh(self) -> int:
        """Read what was applied since the last time; return how many changes that covers."""
        with self._refreshing:
            with self._notice:
                changes = self._changes
            now_s = self._clock.monotonic_s()
            if changes == self._read_changes and now_s - self._read_s < REFRESH_S:
                return changes
            self._read_changes = changes
            self._read_s = now_s
            view = decode_reply(self._replica.query_local(encode(GetView())), FleetView)
            if not isinstance(view, Failure) and view.revision >= self._view.revision:
                self._view = view
            table = decode_reply(self._replica.query_local(encode(GetTable())), RouteTable)
            if not isinstance(table, Failure) and table.version >= self._table.version:
                self._table = table
            suspects = decode_reply(self._replica.query_local(encode(GetSuspects())), SuspectList)
            if not isinstance(suspects, Failure) and suspects.revision >= self._suspects.revision:
                self._suspects = suspects
            return changes
