"""Replicated state machine of the registry group.

State is kept in SQLite tables, written inside the group's own transaction. The rules:

* A route table replaces another only by a higher version; an equal or lower one changes nothing
  and is acknowledged.
* A runner that is gone never returns: another start has another id. A message with a lower number
  than one taken before changes nothing.
* A group's founders are set once.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.schema import create_missing, not_decoded
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.registry import commands
from leverjunction.registry.records import (
    REGISTRY_GROUP,
    FleetView,
    GroupRecord,
    MemberRecord,
    RunnerRecord,
    RunnerState,
)
from leverjunction.routes.types import RouteTable
from leverjunction.wire.codec import encode, encode_reply

GONE_KEPT = 2_000
"""Runners that are gone whose ids are remembered, so that a late message does not revive them."""

_TABLES = """
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
_REVISION = "revision"
_RUNNER = "runner"
_MEMBER = "member"
_GROUP = "group"
_COMMANDS = msgspec.json.Decoder(commands.RegistryCommand)
_QUERIES = msgspec.json.Decoder(commands.RegistryQuery)

R = TypeVar("R", RunnerRecord, MemberRecord, GroupRecord)
C = TypeVar("C", bound=msgspec.Struct)
Handler = Callable[["_Tables", Any], msgspec.Struct]
_HANDLERS: dict[type[msgspec.Struct], Handler] = {}


def _handles(
    command: type[C],
) -> Callable[[Callable[[_Tables, C], msgspec.Struct]], Callable[[_Tables, C], msgspec.Struct]]:
    def register(
        handler: Callable[[_Tables, C], msgspec.Struct],
    ) -> Callable[[_Tables, C], msgspec.Struct]:
        _HANDLERS[command] = handler
        return handler

    return register


class RegistryStateMachine:
    """State machine of group ``registry`` (``consensus.api.StateMachine``)."""

    __slots__ = ()

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create the tables if they are missing."""
        create_missing(connection, _TABLES)

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply."""
        try:
            decoded = _COMMANDS.decode(command)
        except msgspec.MsgspecError as error:
            return encode_reply(not_decoded(REGISTRY_GROUP, error, Step.APPLYING))
        return encode_reply(_HANDLERS[type(decoded)](_Tables(connection, context.index), decoded))

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Answer a read and return its encoded reply."""
        try:
            decoded = _QUERIES.decode(query)
        except msgspec.MsgspecError as error:
            return encode_reply(not_decoded(REGISTRY_GROUP, error, Step.QUERYING))
        tables = _Tables(connection, 0)
        if isinstance(decoded, commands.GetView):
            return encode_reply(tables.view())
        if isinstance(decoded, commands.GetTable):
            return encode_reply(tables.route_table())
        return encode_reply(tables.source())


class _Tables:
    """The tables, at the log index of the command under way."""

    __slots__ = ("_connection", "_index")

    def __init__(self, connection: sqlite3.Connection, index: int) -> None:
        self._connection = connection
        self._index = index

    def route_table(self) -> RouteTable:
        row = self._connection.execute("SELECT content FROM sm_registry_table").fetchone()
        return msgspec.json.decode(row[0], type=RouteTable) if row else RouteTable()

    def source(self) -> commands.TableSource:
        row = self._connection.execute("SELECT version, source FROM sm_registry_table").fetchone()
        return commands.TableSource(*row) if row else commands.TableSource(0, "")

    def table_version(self) -> int:
        row = self._connection.execute("SELECT version FROM sm_registry_table").fetchone()
        return int(row[0]) if row else 0

    def set_table(self, change: commands.PutTable) -> None:
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_table VALUES (0, ?, ?, ?)",
            (change.table.version, encode(change.table), change.source),
        )

    def view(self) -> FleetView:
        row = self._connection.execute(
            "SELECT value FROM sm_registry_meta WHERE key = ?", (_REVISION,)
        ).fetchone()
        runners = self.records(_RUNNER, RunnerRecord)
        return FleetView(
            revision=int(row[0]) if row else 0,
            runners=tuple(item for item in runners if item.state is not RunnerState.GONE),
            members=tuple(self.records(_MEMBER, MemberRecord)),
            groups=tuple(self.records(_GROUP, GroupRecord)),
        )

    def records(self, kind: str, record_type: type[R]) -> list[R]:
        rows = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? ORDER BY name", (kind,)
        )
        return [msgspec.json.decode(row[0], type=record_type) for row in rows]

    def record(self, kind: str, name: str, record_type: type[R]) -> R | None:
        row = self._connection.execute(
            "SELECT content FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        ).fetchone()
        return msgspec.json.decode(row[0], type=record_type) if row else None

    def put(self, kind: str, name: str, record: RunnerRecord | MemberRecord | GroupRecord) -> None:
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
        self._touch()

    def delete(self, kind: str, name: str) -> None:
        self._connection.execute(
            "DELETE FROM sm_registry_record WHERE kind = ? AND name = ?", (kind, name)
        )
        self._touch()

    def forget_old_runners(self) -> None:
        """Forget the ids of those that are gone longest."""
        rows = self._connection.execute(
            "SELECT name, content FROM sm_registry_record WHERE kind = ? ORDER BY changed DESC",
            (_RUNNER,),
        ).fetchall()
        gone = [
            name
            for name, content in rows
            if msgspec.json.decode(content, type=RunnerRecord).state is RunnerState.GONE
        ]
        for name in gone[GONE_KEPT:]:
            self.delete(_RUNNER, name)

    def _touch(self) -> None:
        self._connection.execute(
            "INSERT OR REPLACE INTO sm_registry_meta VALUES (?, ?)", (_REVISION, self._index)
        )


@_handles(commands.PutTable)
def _put_table(tables: _Tables, change: commands.PutTable) -> commands.TableHeld:
    held = tables.table_version()
    if change.table.version <= held:
        return commands.TableHeld(held)
    tables.set_table(change)
    return commands.TableHeld(change.table.version)


@_handles(commands.PutRunner)
def _put_runner(tables: _Tables, change: commands.PutRunner) -> commands.Done:
    record = change.record
    known = tables.record(_RUNNER, record.runner_id, RunnerRecord)
    if known is None or _supersedes(record, known):
        tables.put(_RUNNER, record.runner_id, record)
    return commands.Done()


def _supersedes(record: RunnerRecord, known: RunnerRecord) -> bool:
    if known.state is RunnerState.GONE:
        return False
    # One that leaves does not come back under the same id, however late another word comes.
    if known.state is RunnerState.LEAVING and record.state is not RunnerState.LEAVING:
        return False
    return record.sequence >= known.sequence or record.state is RunnerState.LEAVING


@_handles(commands.RemoveRunner)
def _remove_runner(tables: _Tables, change: commands.RemoveRunner) -> commands.Done:
    known = tables.record(_RUNNER, change.runner_id, RunnerRecord)
    if known is None:
        # Remembered all the same: its first message may still be on its way.
        known = RunnerRecord(runner_id=change.runner_id, service="", address="", zone="", slots=0)
    gone = msgspec.structs.replace(known, state=RunnerState.GONE)
    tables.put(_RUNNER, change.runner_id, gone)
    tables.forget_old_runners()
    return commands.Done()


@_handles(commands.ExpireRunners)
def _expire_runners(tables: _Tables, change: commands.ExpireRunners) -> commands.Done:
    for runner_id in change.runner_ids:
        known = tables.record(_RUNNER, runner_id, RunnerRecord)
        if known is None:
            continue
        if known.state is RunnerState.LEAVING:
            gone = msgspec.structs.replace(known, state=RunnerState.GONE)
            tables.put(_RUNNER, runner_id, gone)
        elif known.state is RunnerState.READY:
            silent = msgspec.structs.replace(known, state=RunnerState.SILENT)
            tables.put(_RUNNER, runner_id, silent)
    return commands.Done()


@_handles(commands.JoinMember)
def _join_member(tables: _Tables, change: commands.JoinMember) -> commands.Done:
    known = tables.record(_MEMBER, change.record.name, MemberRecord)
    retiring = known is not None and known.retiring
    record = msgspec.structs.replace(change.record, retiring=retiring)
    tables.put(_MEMBER, record.name, record)
    return commands.Done()


@_handles(commands.DropMember)
def _drop_member(tables: _Tables, change: commands.DropMember) -> commands.Done:
    tables.delete(_MEMBER, change.name)
    return commands.Done()


@_handles(commands.PutGroup)
def _put_group(tables: _Tables, change: commands.PutGroup) -> commands.Done:
    known = tables.record(_GROUP, change.name, GroupRecord)
    founders = known.founders if known is not None else change.voters
    group = GroupRecord(name=change.name, founders=founders, voters=change.voters)
    tables.put(_GROUP, change.name, group)
    return commands.Done()


@_handles(commands.StartRetirement)
def _start_retirement(tables: _Tables, change: commands.StartRetirement) -> commands.Done | Failure:
    member = tables.record(_MEMBER, change.name, MemberRecord)
    if member is None:
        return Failure(
            kind=FailureKind.NOT_FOUND,
            reason=f"there is no machine {change.name!r}",
            step=Step.APPLYING,
        )
    if member.retiring:
        return commands.Done()
    others = [
        other
        for other in tables.records(_MEMBER, MemberRecord)
        if other.role is member.role and not other.retiring and other.name != member.name
    ]
    if len(others) < change.least_members:
        return Failure(
            kind=FailureKind.CONFLICT,
            reason=f"{len(others)} machines would be left, at least {change.least_members} must",
            step=Step.APPLYING,
        )
    tables.put(_MEMBER, member.name, msgspec.structs.replace(member, retiring=True))
    return commands.Done()
