"""Replicated state machine of the root group: settings by compare-and-set, and order fences.

State is kept in SQLite tables, which are written inside the group's own transaction. The rules:

* Changes are idempotent by change id: a resend gets the first outcome, whether accepted or
  refused. A different change under the same id is refused.
* A change is accepted only if its base is the current version, so of two changes on the same base
  only one is accepted.
* Each accepted change increments the version; versions never decrease.
* The sender's content hash must match the tree after the change, so a change that was computed
  from a different tree is refused.
"""

from __future__ import annotations

import sqlite3

import msgspec

from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.schema import create_missing_tables, decode_failure
from leverjunction.errors import Step
from leverjunction.settings.commands import (
    ApplyChange,
    ChangeOutcome,
    ChangeRecord,
    Fence,
    GetSettings,
    LeafChange,
    RootCommand,
    RootQuery,
    SettingsDelta,
)
from leverjunction.settings.flatten import EMPTY_HASH, PATH_SEPARATOR, encode_value, update_hash
from leverjunction.wire.codec import encode, encode_reply
from leverjunction.wire.messages import SettingRow

MAX_NAMED_PATHS = 1000
MAX_HISTORY = 1000

_TABLES = """
CREATE TABLE IF NOT EXISTS sm_settings_leaf (
    path TEXT PRIMARY KEY, value TEXT NOT NULL, version INTEGER NOT NULL, deleted INTEGER NOT NULL
) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS sm_settings_leaf_version ON sm_settings_leaf (version);
CREATE TABLE IF NOT EXISTS sm_settings_change (
    version INTEGER PRIMARY KEY, change_id TEXT NOT NULL, author TEXT NOT NULL,
    wall_ms INTEGER NOT NULL, content_hash TEXT NOT NULL, paths BLOB NOT NULL
);
CREATE TABLE IF NOT EXISTS sm_settings_outcome (
    change_id TEXT PRIMARY KEY, content_hash TEXT NOT NULL, outcome BLOB NOT NULL
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sm_placement_fence (
    name TEXT PRIMARY KEY, term INTEGER NOT NULL, sequence INTEGER NOT NULL
) WITHOUT ROWID;
"""
_FENCE_NAME = "orders"
_COMMANDS = msgspec.json.Decoder(RootCommand)
_QUERIES = msgspec.json.Decoder(RootQuery)


class _Head(msgspec.Struct, frozen=True):
    """The current version and the change that created it."""

    version: int
    content_hash: str
    author: str
    wall_ms: int


class SettingsStateMachine:
    """State machine of the consensus group ``root`` (``consensus.api.StateMachine``)."""

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create the tables if they are missing."""
        create_missing_tables(connection, _TABLES)

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply."""
        try:
            decoded = _COMMANDS.decode(command)
        except msgspec.MsgspecError as error:
            return encode_reply(decode_failure("root", error, Step.APPLYING))
        if isinstance(decoded, ApplyChange):
            return encode_reply(_apply_change(connection, context, decoded))
        return encode_reply(_next_fence(connection, context))

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Answer a read and return its encoded reply."""
        try:
            decoded = _QUERIES.decode(query)
        except msgspec.MsgspecError as error:
            return encode_reply(decode_failure("root", error, Step.QUERYING))
        if isinstance(decoded, GetSettings):
            return encode_reply(_delta(connection, decoded.after_version))
        return encode_reply(_history(connection, decoded.limit))


def _apply_change(
    connection: sqlite3.Connection, context: ApplyContext, change: ApplyChange
) -> ChangeOutcome:
    first = _first_outcome(connection, change)
    if first is not None:
        return first
    outcome = _decide(connection, context, change)
    connection.execute(
        "INSERT INTO sm_settings_outcome VALUES (?, ?, ?)",
        (change.change_id, change.content_hash, encode(outcome)),
    )
    return outcome


def _first_outcome(connection: sqlite3.Connection, change: ApplyChange) -> ChangeOutcome | None:
    row = connection.execute(
        "SELECT content_hash, outcome FROM sm_settings_outcome WHERE change_id = ?",
        (change.change_id,),
    ).fetchone()
    if row is None:
        return None
    if row[0] != change.content_hash:
        reason = f"change id {change.change_id} was used for another change; choose a new one"
        return _refused(_head(connection), reason)
    return msgspec.structs.replace(msgspec.json.decode(row[1], type=ChangeOutcome), replayed=True)


def _decide(
    connection: sqlite3.Connection, context: ApplyContext, change: ApplyChange
) -> ChangeOutcome:
    head = _head(connection)
    if change.base_version != head.version:
        return _conflict(connection, change, head)
    if not change.changes:
        return _refused(head, "the change holds no changed leaf")
    duplicate = _duplicate_path(change.changes)
    if duplicate:
        return _refused(head, f"the change sets {duplicate} twice")
    new_hash = _hash_after(connection, head, change.changes)
    if new_hash != change.content_hash:
        return _refused(
            head,
            f"content hash after the change is {new_hash}, the sender expected "
            f"{change.content_hash}: read the settings again and plan anew",
        )
    conflicting = _conflicting_path(connection, change.changes)
    if conflicting:
        return _refused(head, f"{conflicting} would be both a value and a mapping")
    return _commit(connection, context, change, head)


def _conflict(connection: sqlite3.Connection, change: ApplyChange, head: _Head) -> ChangeOutcome:
    if change.base_version > head.version:
        return _refused(
            head, f"base version {change.base_version} does not exist, {head.version} is in force"
        )
    rows = connection.execute(
        "SELECT path FROM sm_settings_leaf WHERE version > ? ORDER BY path", (change.base_version,)
    ).fetchall()
    named = [row[0] for row in rows[:MAX_NAMED_PATHS]]
    return ChangeOutcome(
        accepted=False,
        version=head.version,
        replayed=False,
        winner=head.author,
        winner_ms=head.wall_ms,
        differing_paths=named,
        reason=f"base version {change.base_version} is no longer in force: {head.author} made "
        f"version {head.version}; differing paths: {len(rows)}, named here: {len(named)}",
    )


def _refused(head: _Head, reason: str) -> ChangeOutcome:
    return ChangeOutcome(
        accepted=False,
        version=head.version,
        replayed=False,
        winner="",
        winner_ms=0,
        differing_paths=[],
        reason=reason,
    )


def _duplicate_path(changes: list[LeafChange]) -> str:
    seen: set[str] = set()
    for leaf in changes:
        if leaf.path in seen:
            return leaf.path
        seen.add(leaf.path)
    return ""


def _hash_after(connection: sqlite3.Connection, head: _Head, changes: list[LeafChange]) -> str:
    # Updated from the stored hash: hashing all of 50,000 leaves would block the group.
    removed: dict[str, object] = {}
    for leaf in changes:
        row = connection.execute(
            "SELECT value FROM sm_settings_leaf WHERE path = ? AND deleted = 0", (leaf.path,)
        ).fetchone()
        if row:
            removed[leaf.path] = msgspec.json.decode(row[0])
    added = {leaf.path: leaf.value for leaf in changes if not leaf.deleted}
    return update_hash(head.content_hash, removed, added)


def _conflicting_path(connection: sqlite3.Connection, changes: list[LeafChange]) -> str:
    """Return a path that would be both a leaf and an ancestor of leaves, or an empty string.

    Gateways rebuild a nested tree from the leaves, which is impossible with such a path.
    """
    after = {leaf.path: not leaf.deleted for leaf in changes}
    for leaf in changes:
        if leaf.deleted:
            continue
        for ancestor in _ancestors(leaf.path):
            if after.get(ancestor, _is_set(connection, ancestor)):
                return ancestor
        for descendant in _descendants(connection, leaf.path):
            if after.get(descendant, True):
                return leaf.path
    return ""


def _ancestors(path: str) -> list[str]:
    parts = path.split(PATH_SEPARATOR)
    return [PATH_SEPARATOR.join(parts[:count]) for count in range(1, len(parts))]


def _is_set(connection: sqlite3.Connection, path: str) -> bool:
    row = connection.execute(
        "SELECT 1 FROM sm_settings_leaf WHERE path = ? AND deleted = 0", (path,)
    ).fetchone()
    return row is not None


def _descendants(connection: sqlite3.Connection, path: str) -> list[str]:
    after_separator = chr(ord(PATH_SEPARATOR) + 1)
    rows = connection.execute(
        "SELECT path FROM sm_settings_leaf WHERE path > ? AND path < ? AND deleted = 0",
        (path + PATH_SEPARATOR, path + after_separator),
    ).fetchall()
    return [row[0] for row in rows]


def _commit(
    connection: sqlite3.Connection, context: ApplyContext, change: ApplyChange, head: _Head
) -> ChangeOutcome:
    version = head.version + 1
    connection.executemany(
        "INSERT OR REPLACE INTO sm_settings_leaf VALUES (?, ?, ?, ?)",
        [
            (leaf.path, encode_value(None if leaf.deleted else leaf.value), version, leaf.deleted)
            for leaf in change.changes
        ],
    )
    paths = encode([leaf.path for leaf in change.changes])
    connection.execute(
        "INSERT INTO sm_settings_change VALUES (?, ?, ?, ?, ?, ?)",
        (version, change.change_id, change.author, context.wall_ms, change.content_hash, paths),
    )
    return ChangeOutcome(
        accepted=True,
        version=version,
        replayed=False,
        winner="",
        winner_ms=0,
        differing_paths=[],
        reason="",
    )


def _head(connection: sqlite3.Connection) -> _Head:
    row = connection.execute(
        "SELECT version, content_hash, author, wall_ms FROM sm_settings_change"
        " ORDER BY version DESC LIMIT 1"
    ).fetchone()
    return _Head(*row) if row else _Head(0, EMPTY_HASH, "", 0)


def _next_fence(connection: sqlite3.Connection, context: ApplyContext) -> Fence:
    row = connection.execute(
        "SELECT term, sequence FROM sm_placement_fence WHERE name = ?", (_FENCE_NAME,)
    ).fetchone()
    term, sequence = row if row else (0, 0)
    fence = Fence(term=max(term, context.term), sequence=sequence + 1)
    connection.execute(
        "INSERT OR REPLACE INTO sm_placement_fence VALUES (?, ?, ?)",
        (_FENCE_NAME, fence.term, fence.sequence),
    )
    return fence


def _delta(connection: sqlite3.Connection, after_version: int) -> SettingsDelta:
    # A reader that holds no leaves yet needs no tombstones.
    include_deleted = after_version > 0
    rows = connection.execute(
        "SELECT path, value, version, deleted FROM sm_settings_leaf"
        " WHERE version > ? AND (deleted = 0 OR ?) ORDER BY version, path",
        (after_version, include_deleted),
    ).fetchall()
    return SettingsDelta(
        version=_head(connection).version,
        rows=[
            SettingRow(path, msgspec.json.decode(value), version, bool(deleted))
            for path, value, version, deleted in rows
        ],
    )


def _history(connection: sqlite3.Connection, limit: int) -> list[ChangeRecord]:
    rows = connection.execute(
        "SELECT version, change_id, author, wall_ms, content_hash, paths FROM sm_settings_change"
        " ORDER BY version DESC LIMIT ?",
        (max(0, min(limit, MAX_HISTORY)),),
    ).fetchall()
    return [_record(*row) for row in rows]


def _record(
    version: int, change_id: str, author: str, wall_ms: int, content_hash: str, paths: bytes
) -> ChangeRecord:
    named = msgspec.json.decode(paths, type=list[str])[:MAX_NAMED_PATHS]
    return ChangeRecord(
        version=version,
        change_id=change_id,
        author=author,
        wall_ms=wall_ms,
        content_hash=content_hash,
        paths=named,
    )
