"""Serves the registry to gateways and stores: an answer as soon as something is newer."""

from __future__ import annotations

import math
import threading
from typing import Protocol, TypeVar

import msgspec
from loguru import logger

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

LEAST_WAIT_S = 0.01
FRESH_TIMEOUT_S = 0.8
NEVER_COMPLETE_S = 3600.0


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
        self._complete_s = -math.inf
        """Until when what was read is known to be all that was committed."""
        self._failing = False
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
        """Return a failure while what is served here may be old."""
        self._refresh()
        age_s = self._age_s()
        if age_s <= STALE_CONTACT_S:
            return None
        return Failure(
            kind=FailureKind.STALE,
            reason=f"the registry's leader was not heard for {age_s:.1f} s; ask another process",
            step=Step.EXCHANGING,
        )

    def watch(self, request: WatchRequest) -> WatchReply | Failure:
        """Return what is newer than the sender knows, waiting a while for it."""
        began_s = self._clock.monotonic_s()
        if request.fresh:
            return self.stale() or self._read_from_leader()
        until_s = began_s + request.wait_ms / 1000
        while True:
            with self._notice:
                seen = self._changes
            stale = self.stale()
            if stale is not None:
                return stale
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0 or self._is_newer(request):
                break
            # A process that is cut off meanwhile says so when its contact is too old, not later.
            fresh_s = max(STALE_CONTACT_S - self._age_s(), LEAST_WAIT_S)
            with self._notice:
                if self._changes == seen:
                    self._notice.wait(min(left_s, REFRESH_S, fresh_s))
        return self._make_reply(request, self._clock.monotonic_s() - began_s)

    def _make_reply(self, request: WatchRequest, held_s: float) -> WatchReply:
        # Before the table: a later age would say more than was read.
        age_s = self._age_s()
        table, view = self._table, self._view
        return WatchReply(
            table=table if table.version > request.table_version else None,
            view=view if view.revision > request.revision else None,
            controls=tuple(self._replica.status().voters),
            contact_age_s=age_s,
            suspects=self._newer_suspects(request),
            table_version=table.version,
            revision=view.revision,
            held_s=held_s,
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

    def _read_from_leader(self) -> WatchReply | Failure:
        """Read at the leader: a process that starts must not go back behind what others saw."""
        asked_s = self._clock.monotonic_s()
        view = self._leader.query(REGISTRY_GROUP, GetView(), FleetView, FRESH_TIMEOUT_S)
        if isinstance(view, Failure):
            return view
        table = self._leader.query(REGISTRY_GROUP, GetTable(), RouteTable, FRESH_TIMEOUT_S)
        if isinstance(table, Failure):
            return table
        return WatchReply(
            table=table,
            view=view,
            controls=tuple(self._replica.status().voters),
            contact_age_s=self._clock.monotonic_s() - asked_s,
            table_version=table.version,
            revision=view.revision,
        )

    def _age_s(self) -> float:
        """Return how old what was read last may be, in seconds."""
        return min(self._clock.monotonic_s() - self._complete_s, NEVER_COMPLETE_S)

    def _refresh(self) -> None:
        """Read what was applied since the last time, and note how far that is complete."""
        with self._refreshing:
            # First: what is applied after it can only make what is read newer.
            now_s = self._clock.monotonic_s()
            status = self._replica.status()
            with self._notice:
                changes = self._changes
            is_due = changes != self._read_changes or now_s - self._read_s >= REFRESH_S
            if is_due and not self._read():
                return
            if is_due:
                self._read_changes, self._read_s = changes, now_s
            if status.applied_index >= status.commit_index:
                complete_s = now_s - status.leader_contact_age_s
                self._complete_s = max(self._complete_s, complete_s)

    def _read(self) -> bool:
        """Read the replica's tables; return whether all could be read."""
        view = decode_reply(self._replica.query_local(encode(GetView())), FleetView)
        table = decode_reply(self._replica.query_local(encode(GetTable())), RouteTable)
        suspects = decode_reply(self._replica.query_local(encode(GetSuspects())), SuspectList)
        failed = next((item for item in (view, table, suspects) if isinstance(item, Failure)), None)
        if failed is not None and not self._failing:
            logger.warning("the registry cannot be read here: {}", failed.reason)
        self._failing = failed is not None
        if not isinstance(view, Failure) and view.revision >= self._view.revision:
            self._view = view
        if not isinstance(table, Failure) and table.version >= self._table.version:
            self._table = table
        if not isinstance(suspects, Failure) and suspects.revision >= self._suspects.revision:
            self._suspects = suspects
        return failed is None
