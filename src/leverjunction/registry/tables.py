"""SQLite tables of the registry's state machine."""

from __future__ import annotations

import sqlite3
from typing import TypeVar

import msgspec

from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.verdicts import eviction_weight
from leverjunction.registry import commands
from leverjunction.registry.records import (
    BaseVersion,
    FleetView,
    GroupRecord,
    MemberRecord,
    RunnerRecord,
    RunnerState,
    SettledVersion,
)
from leverjunction.registry.version_history import former_versions, next_base_version
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode

MAX_GONE_RUNNERS = 2_000
"""Number of gone runners whose ids are kept, so that a delayed message does not restore them."""

MAX_SUSPECTS = 1_000
"""Number of suspect requests that are kept, of about 200 bytes each."""

MAX_SUSPECTS_PER_ROUTE = 250
"""Number of suspects kept for one route, so that a caller with very many crashing requests does not
evict the suspects of other routes.
"""

MAX_SUSPECTS_SENT = 400
"""Number of suspects sent to gateways: 80 KB, to hundreds of gateways after each crash. A request
that declares its prompt has two records.
"""

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
SETTLED = "settled"
BASE = "base"
_REVISION = "revision"
_SUSPECTS_REVISION = "suspects_revision"
_BASES_REVISION = "bases_revision"
"""Revision up to which base versions were recorded; a release that records none leaves it."""

R = TypeVar(
    "R", RunnerRecord, MemberRecord, GroupRecord, SuspectRecord, SettledVersion, BaseVersion
)


class RegistryTables:
    """Access to the tables for one command or query.

    Args:
        connection: Connection of the group's database.
        index: Log index of the command, stored as the revision of what it changes.
    """

    __slots__ = ("_connection", "_index")

    def __init__(self, connection: sqlite3.Connection, index: int) -> None:
        self._connection = connection
        self._index = index

    def route_table(self) -> RouteTable:
        """Return the stored route table; one without routes and version if there is none."""
        row = self._connection.execute("SELECT content FROM sm_registry_table").fetchone()
        return msgspec.json.decode(row[0], type=RouteTable) if row else RouteTable()

    def source(self) -> commands.TableSource:
        """Return the route table as the operator wrote it."""
        row = self._connection.execute("SELECT version, source FROM sm_registry_table").fetchone()
        return commands.TableSource(*row) if row else commands.TableSource(0, "")

    def table_version(self) -> int:
        """Return the version of the stored route table, 0 if there is none."""
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
        runners = self._runners()
        ended, settled = _last_ends(runners), self._settled_through()
        former = {key for key, index in ended.items() if index > settled.get(key, 0)}
        return FleetView(
            revision=self._revision(_REVISION),
            runners=tuple(item for item, _ in runners if item.state is not RunnerState.GONE),
            members=tuple(self.records(MEMBER, MemberRecord)),
            groups=tuple(self.records(GROUP, GroupRecord)),
            former_versions=former_versions(former),
            settled_versions=former_versions(ended.keys() - former),
            base_versions=tuple(self.records(BASE, BaseVersion)),
        )

    def versions(self) -> commands.StateVersions:
        """Return the versions of the route table and the view."""
        return commands.StateVersions(self.table_version(), self._revision(_REVISION))

    def base_version(self, service: str) -> str | None:
        """Return the base version of a service, None if it has none."""
        record = self.record(BASE, service, BaseVersion)
        return record.version if record is not None else None

    def update_base_version(self, service: str) -> None:
        """Record the base version of a service after its back ends or former versions changed."""
        runners = [(item, changed) for item, changed in self._runners() if item.service == service]
        live = {item.version for item, _ in runners if item.state is not RunnerState.GONE}
        settled = self._settled_through()
        ends = _last_ends(runners).items()
        former = {key[1] for key, index in ends if index > settled.get(key, 0)}
        base = self.base_version(service)
        following = next_base_version(base, live, former)
        if following is not None:
            self.put(BASE, service, BaseVersion(service, following))
        elif base is not None:
            self.delete(BASE, service)

    def reset_base_versions(self) -> None:
        """Record the base versions of services with one version alone."""
        for item in self.records(BASE, BaseVersion):
            self.delete(BASE, item.service)
        for service in sorted({item.service for item, _ in self._runners()} - {""}):
            self.update_base_version(service)

    def renew_base_versions(self) -> None:
        """Record all base versions anew if an older release has applied commands since."""
        revision = self._revision(_REVISION)
        if self._revision(_BASES_REVISION) == revision:
            return
        self.reset_base_versions()
        self._put_meta(_BASES_REVISION, self._revision(_REVISION))

    def ended_versions(self) -> dict[tuple[str, str], int]:
        """Return the log index of the last end of a runner by service and version."""
        return _last_ends(self._runners())

    def settle(self, settled: SettledVersion) -> None:
        """No longer list a version as a former one, except for ends of later log indexes."""
        self.put(SETTLED, _settled_name(settled), settled)

    def drop_unused_settled(self) -> None:
        """Delete what is stored of settled versions without a record of a gone runner."""
        ended = self.ended_versions()
        for item in self.records(SETTLED, SettledVersion):
            if (item.service, item.version) not in ended:
                self.delete(SETTLED, _settled_name(item))

    def _runners(self) -> list[tuple[RunnerRecord, int]]:
        """Return the records of runners, ordered by name, with the log index of their change."""
        rows = self._connection.execute(
            "SELECT content, changed FROM sm_registry_record WHERE kind = ? ORDER BY name",
            (RUNNER,),
        )
        return [(msgspec.json.decode(row[0], type=RunnerRecord), row[1]) for row in rows]

    def _settled_through(self) -> dict[tuple[str, str], int]:
        settled = self.records(SETTLED, SettledVersion)
        return {(item.service, item.version): item.through for item in settled}

    def suspects(self) -> SuspectList:
        """Return the most serious suspects, at most as many as are sent to gateways."""
        records = sorted(self.records(SUSPECT, SuspectRecord), key=eviction_weight, reverse=True)
        return SuspectList(
            revision=self._revision(_SUSPECTS_REVISION), suspects=tuple(records[:MAX_SUSPECTS_SENT])
        )

    def evict_excess_suspect(self, route: str) -> None:
        """Delete the least serious suspect if the route or the whole table has too many.

        Among equally serious suspects the one that was changed longest ago is deleted.
        """
        rows = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? ORDER BY changed", (SUSPECT,)
        )
        records = [msgspec.json.decode(row[0], type=SuspectRecord) for row in rows]
        route_suspects = [record for record in records if record.route == route]
        if len(route_suspects) > MAX_SUSPECTS_PER_ROUTE:
            self.delete(SUSPECT, min(route_suspects, key=eviction_weight).key)
        elif len(records) > MAX_SUSPECTS:
            self.delete(SUSPECT, min(records, key=eviction_weight).key)

    def records(self, kind: str, record_type: type[R]) -> list[R]:
        """Return the records of a kind, ordered by name."""
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
        """Write a record; an identical record leaves the revision unchanged."""
        row = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        ).fetchone()
        content = encode(record)
        if row is None or row[0] != content:
            self._write(kind, name, content, self._index)

    def put_ended(self, name: str, record: RunnerRecord) -> None:
        """Write the record of a runner that has ended now, though one may be identical."""
        gone = msgspec.structs.replace(record, state=RunnerState.GONE)
        self._write(RUNNER, name, encode(gone), self._index)

    def copy_gone(self, record: RunnerRecord, name: str) -> None:
        """Store the record of a gone runner under another name; that is not another end."""
        (changed,) = self._connection.execute(
            "SELECT changed FROM sm_registry_record WHERE kind = ? AND name = ?",
            (RUNNER, record.runner_id),
        ).fetchone()
        self._write(RUNNER, name, encode(record), changed)

    def _write(self, kind: str, name: str, content: bytes, changed: int) -> None:
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_record VALUES (?, ?, ?, ?)",
            (kind, name, content, changed),
        )
        self._set_revision(kind)

    def delete(self, kind: str, name: str) -> None:
        """Remove a record."""
        self._connection.execute(
            "DELETE FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        )
        self._set_revision(kind)

    def prune_gone_runners(self) -> None:
        """Delete the longest-gone runners beyond ``MAX_GONE_RUNNERS``.

        The last one of each version stays until the version is settled.
        """
        rows = self._connection.execute(
            "SELECT name, content, changed FROM sm_registry_record WHERE kind = ?"
            " ORDER BY changed DESC",
            (RUNNER,),
        ).fetchall()
        records = [
            (name, msgspec.json.decode(content, type=RunnerRecord), changed)
            for name, content, changed in rows
        ]
        gone = [item for item in records if item[1].state is RunnerState.GONE]
        if len(gone) <= MAX_GONE_RUNNERS:
            return
        settled = self._settled_through()
        former = {
            key: index
            for key, index in _last_ends([(record, changed) for _, record, changed in gone]).items()
            if index > settled.get(key, 0)
        }
        for name, record, changed in gone[MAX_GONE_RUNNERS:]:
            if former.get((record.service, record.version)) != changed:
                self.delete(RUNNER, name)

    def _revision(self, key: str) -> int:
        row = self._connection.execute(
            "SELECT value FROM sm_registry_meta WHERE key = ?", (key,)
        ).fetchone()
        return int(row[0]) if row else 0

    def _set_revision(self, kind: str) -> None:
        # Suspects have a revision of their own: each crash changes them, and the long list of back
        # ends must not be sent again for that.
        keys = (_SUSPECTS_REVISION,) if kind == SUSPECT else (_REVISION, _BASES_REVISION)
        for key in keys:
            self._put_meta(key, self._index)

    def _put_meta(self, key: str, value: int) -> None:
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_meta VALUES (?, ?)", (key, value)
        )


def _last_ends(runners: list[tuple[RunnerRecord, int]]) -> dict[tuple[str, str], int]:
    ends: dict[tuple[str, str], int] = {}
    for item, changed in runners:
        if item.state is RunnerState.GONE and item.service:
            key = (item.service, item.version)
            ends[key] = max(changed, ends.get(key, 0))
    return ends


def _settled_name(settled: SettledVersion) -> str:
    return encode((settled.service, settled.version)).decode()
