"""Reads of the registry at the leader of its group, for processes without any state.

A process that starts must not use state older than others already use. Where all processes of a
deployment start together, the leader is asked for its versions only, and control processes give the
state that they have; the whole state comes from the leader only where that fails.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

from leverjunction.errors import Failure
from leverjunction.registry.commands import GetTable, GetVersions, GetView, StateVersions
from leverjunction.registry.records import REGISTRY_GROUP, FleetView
from leverjunction.routes.types import RouteTable

T = TypeVar("T")

FRESH_TIMEOUT_S = 0.8


class LeaderQueries(Protocol):
    """The part of ``GroupHost`` that a hub uses."""

    def query(
        self, group: str, query: msgspec.Struct, reply_type: type[T], timeout_s: float
    ) -> T | Failure:
        """Send a query to the group's leader and return its reply."""
        ...


def read_versions(leader: LeaderQueries) -> StateVersions | Failure:
    """Return the leader's versions; a CORRUPT failure from a release that does not tell them."""
    return leader.query(REGISTRY_GROUP, GetVersions(), StateVersions, FRESH_TIMEOUT_S)


def read_state(leader: LeaderQueries) -> tuple[RouteTable, FleetView] | Failure:
    """Return the leader's state."""
    view = leader.query(REGISTRY_GROUP, GetView(), FleetView, FRESH_TIMEOUT_S)
    if isinstance(view, Failure):
        return view
    table = leader.query(REGISTRY_GROUP, GetTable(), RouteTable, FRESH_TIMEOUT_S)
    return table if isinstance(table, Failure) else (table, view)


__all__ = ["LeaderQueries", "read_state", "read_versions"]
