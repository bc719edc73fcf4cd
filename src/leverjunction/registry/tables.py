"""Tables of the registry's state machine, in SQLite."""

from __future__ import annotations

import sqlite3
from typing import TypeVar

import msgspec

from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import eviction_weight
from leverjunction.registry import commands
from leverjunction.registry.records import (
    FleetView,
    GroupRecord,
    MemberRecord,
    RunnerRecord,
    RunnerState,
)
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode

GONE_KEPT = 2_000
"""Runners that are gone whose ids are remembered, so that a late message does not revive them."""

SUSPECTS_KEPT = 1_000
"""Suspect requests that are remembered, some 200 bytes each."""

SUSPECTS_OF_ROUTE = 250
"""Of one route: a caller with very many bad requests pushes out no other route's suspects."""

SUSPECTS_TOLD = 200
"""Of them that gateways are told: 40 KB, to hundreds of gateways after a crash."""

TABLES = """
CREATE TABLE IF NOT EXISTS sm_registry_meta (
    key TEXT PRIMARY KEY, value INTEGER NOT NULL
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sm_registry_table (
    id INTEGER PRIMARY KEY, version INTEGER NOT NULL, content BLOB NOT NULL, source TEXT NOT NULL
);
CREATE TABLE IF NOT EXISTS sm_registry_record (
    kind TEXT NOT NULL, name TEXT NOT NULL, content BLOB NOT NULL, changed INTEGER NOT NULL,
    PRIMARY KEY (kind, name)
) WITHOUT ROWID;
"""
RUNNER = "runner"
MEMBER = "member"
GROUP = "group"
SUSPECT = "suspect"
_REVISION = "revision"
_SUSPECTS_REVISION = "suspects_revision"

R = TypeVar("R", RunnerRecord, MemberRecord, GroupRecord, SuspectRecord)


class RegistryTables:
    """The tables, at the log index of the command under way."""

    __slots__ = ("_connection", "_index")

    def __init__(self, connection: sqlite3.Connection, index: int) -> None:
        self._connection = connection
        self._index = index

    def route_table(self) -> RouteTable:
        """Return the route table in force."""
        row = self._connection.execute("SELECT content FROM sm_registry_table").fetchone()
        return msgspec.json.decode(row[0], type=RouteTable) if row else RouteTable()

    def source(self) -> commands.TableSource:
        """Return the operator's text of the route table."""
        row = self._connection.execute("SELECT version, source FROM sm_registry_table").fetchone()
        return commands.TableSource(*row) if row else commands.TableSource(0, "")

    def table_version(self) -> int:
        """Return the version of the route table, 0 for none."""
        row = self._connection.execute("SELECT version FROM sm_registry_table").fetchone()
        return int(row[0]) if row else 0

    def set_table(self, change: commands.PutTable) -> None:
        """Replace the route table."""
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_table VALUES (0, ?, ?, ?)",
            (change.table.version, encode(change.table), change.source),
        )

    def view(self) -> FleetView:
        """Return the registry without the route table."""
        runners = self.records(RUNNER, RunnerRecord)
        return FleetView(
            revision=self._revision(_REVISION),
            runners=tuple(item for item in runners if item.state is not RunnerState.GONE),
            members=tuple(self.records(MEMBER, MemberRecord)),
            groups=tuple(self.records(GROUP, GroupRecord)),
        )

    def suspects(self) -> SuspectList:
        """Return those that gateways are told: the most serious ones."""
        records = sorted(self.records(SUSPECT, SuspectRecord), key=eviction_weight, reverse=True)
        return SuspectList(
            revision=self._revision(_SUSPECTS_REVISION), suspects=tuple(records[:SUSPECTS_TOLD])
        )

    def limit_suspects(self, route: str) -> None:
        """Give up what is least serious, and oldest, of a route that has very many suspects."""
        rows = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? ORDER BY changed", (SUSPECT,)
        )
        records = [msgspec.json.decode(row[0], type=SuspectRecord) for row in rows]
        own = [record for record in records if record.route == route]
        if len(own) > SUSPECTS_OF_ROUTE:
            self.delete(SUSPECT, min(own, key=eviction_weight).key)
        elif len(records) > SUSPECTS_KEPT:
            self.delete(SUSPECT, min(records, key=eviction_weight).key)

    def records(self, kind: str, record_type: type[R]) -> list[R]:
        """Return the records of a kind, by their names."""
        rows = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? ORDER BY name", (kind,)
        )
        return [msgspec.json.decode(row[0], type=record_type) for row in rows]

    def record(self, kind: str, name: str, record_type: type[R]) -> R | None:
        """Return one record, None if there is none."""
        row = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        ).fetchone()
        return msgspec.json.decode(row[0], type=record_type) if row else None

    def put(self, kind: str, name: str, record: R) -> None:
        """Write a record; one that says the same changes nothing."""
        row = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        ).fetchone()
        content = encode(record)
        if row is not None and row[0] == content:
            return
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_record VALUES (?, ?, ?, ?)",
            (kind, name, content, self._index),
        )
        self._touch(kind)

    def delete(self, kind: str, name: str) -> None:
        """Remove a record."""
        self._connection.execute(
            "DELETE FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        )
        self._touch(kind)

    def forget_old_runners(self) -> None:
        """Forget the ids of those that are gone longest."""
        rows = self._connection.execute(
            "SELECT name, content FROM sm_registry_record WHERE kind = ? ORDER BY changed DESC",
            (RUNNER,),
        ).fetchall()
        gone = [
            name
            for name, content in rows
            if msgspec.json.decode(content, type=RunnerRecord).state is RunnerState.GONE
        ]
        for name in gone[GONE_KEPT:]:
            self.delete(RUNNER, name)

    def _revision(self, key: str) -> int:
        row = self._connection.execute(
            "SELECT value FROM sm_registry_meta WHERE key = ?", (key,)
        ).fetchone()
        return int(row[0]) if row else 0

    def _touch(self, kind: str) -> None:
        # Suspects change in each crash: the long list of back ends is not sent again for them.
        key = _SUSPECTS_REVISION if kind == SUSPECT else _REVISION
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_meta VALUES (?, ?)", (key, self._index)
        )
