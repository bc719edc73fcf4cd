"""The registry as a watcher knows it, and how replies of control processes change it.

Replies carry whole states or what changed since the one that the watcher has. Changes are applied
only if their result has the digest that they give; otherwise the next request asks for the whole
state. Thousands of records, of which a few change at a time, are then sent once to each process.

This module does no I/O.
"""

from __future__ import annotations

import msgspec

from leverjunction.quarantine.records import SuspectList
from leverjunction.registry import view_changes
from leverjunction.registry.commands import WatchReply, WatchRequest
from leverjunction.registry.records import FleetView
from leverjunction.routes import table_changes
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import digest_of


class Snapshot(msgspec.Struct, frozen=True):
    """State of the registry as one gateway or store knows it.

    Attributes:
        table: The route table in force.
        view: The runners and the machines.
        suspects: Requests during which back ends crashed.
    """

    table: RouteTable
    view: FleetView
    suspects: SuspectList = SuspectList()


class WatchedState:
    """A watcher's copy of the registry.

    Attributes:
        snapshot: The newest state, None before the first reply.
        whole_asked: Number of times that changes did not fit, so that a whole state is asked for.
    """

    __slots__ = ("_table_digest", "_view_digest", "snapshot", "whole_asked")

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.whole_asked = 0
        self._table_digest = ""
        self._view_digest = ""

    def make_request(
        self, wait_ms: int, member: str = "", gateway: str = "", awaits_revision: int = -1
    ) -> WatchRequest:
        """Return the request for newer state.

        Args:
            wait_ms: Longest time for which the reply may be held, in milliseconds.
            member: Name of the sending machine if it may hold replicas, else empty.
            gateway: Name of the sending gateway, empty for another process.
            awaits_revision: Revision at which the sender waits for all gateways, -1 for none.
        """
        known = self.snapshot
        return WatchRequest(
            table_version=known.table.version if known else -1,
            revision=known.view.revision if known else -1,
            wait_ms=wait_ms,
            member=member,
            fresh=known is None,
            suspects_revision=known.suspects.revision if known else 0,
            table_digest=self._table_digest,
            view_digest=self._view_digest,
            gateway=gateway,
            awaits_revision=awaits_revision,
        )

    def merge(self, reply: WatchReply) -> bool:
        """Take over what is newer in a reply.

        Returns:
            True if the state is now as new as the reply's; False if changes did not fit.
        """
        known = self.snapshot or Snapshot(RouteTable(), FleetView())
        table = _newer_table(known.table, reply)
        view = _newer_view(known.view, reply)
        suspects = known.suspects
        if reply.suspects is not None and reply.suspects.revision > suspects.revision:
            suspects = reply.suspects
        if table is not known.table:
            self._table_digest = digest_of(table) if table is not None else ""
        if view is not known.view:
            self._view_digest = digest_of(view) if view is not None else ""
        is_complete = table is not None and view is not None
        if not is_complete:
            self.whole_asked += 1
            if self.snapshot is None:
                return False
        later = Snapshot(table or known.table, view or known.view, suspects)
        is_same = later.table is known.table and later.view is known.view
        if self.snapshot is None or not is_same or suspects is not known.suspects:
            self.snapshot = later
        return is_complete


def _newer_table(known: RouteTable, reply: WatchReply) -> RouteTable | None:
    if reply.table is not None:
        return reply.table if reply.table.version > known.version else known
    change = reply.table_changes
    if change is None or change.version <= known.version:
        return known
    return table_changes.apply(known, change)


def _newer_view(known: FleetView, reply: WatchReply) -> FleetView | None:
    if reply.view is not None:
        return reply.view if reply.view.revision > known.revision else known
    change = reply.view_changes
    if change is None or change.revision <= known.revision:
        return known
    return view_changes.apply(known, change)


__all__ = ["Snapshot", "WatchedState"]
