"""Snapshots of the state machine's tables, streamed as rows while the tables keep changing.

The sender walks the ``sm_`` tables page by page. Temporary triggers note which rows change
meanwhile; after the walk these rows are sent again, and the last part is cut between two applied
entries, so the whole stands for exactly one position. Nothing is copied aside and writes go on.
The receiver fills ``stage_`` tables and swaps them in by one transaction.

Rules for state machines: ordinary tables named ``sm_*``, no AUTOINCREMENT, views or triggers;
``create_tables`` makes missing indexes too.
"""

from __future__ import annotations

import re
import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

TABLE_PREFIX = "sm_"
STAGE_PREFIX = "stage_"
CHANGED_ROWS_PER_PART = 2_000
MAX_CATCH_UP_PARTS = 64
"""Parts of changed rows before the last one is cut, however much has changed by then."""

Value = Any
"""What SQLite stores: int, float, str, bytes or None (msgspec has no union of these)."""
Row = tuple[Value, ...]


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Rows of one table.

    Attributes:
        table: Name of the table.
        columns: Columns of ``rows``; the key comes first.
        key_columns: How many of them are the key.
        rows: Rows to insert or replace.
        deleted: Keys of rows that are gone.
    """

    table: str
    columns: tuple[str, ...]
    key_columns: int
    rows: tuple[Row, ...] = ()
    deleted: tuple[Row, ...] = ()


_PARTS_DECODER = msgspec.msgpack.Decoder(tuple[SnapshotPart, ...])


@dataclass(frozen=True)
class TableShape:
    """Key and columns of a table.

    Attributes:
        name: Name of the table.
        key: Columns that name a row: the rowid, its alias, or the primary key without rowid.
        columns: Key columns first, then the others.
    """

    name: str
    key: tuple[str, ...]
    columns: tuple[str, ...]

    def key_list(self, prefix: str = "") -> str:
        """Return the key columns as SQL, each with ``prefix``."""
        return ", ".join(f"{prefix}{column}" for column in self.key)

    def key_marks(self) -> str:
        """Return one placeholder a key column."""
        return ", ".join("?" for _ in self.key)


def table_shapes(connection: sqlite3.Connection) -> list[TableShape]:
    """Return the shapes of all tables of the state machine, by name."""
    listed = connection.execute("PRAGMA table_list").fetchall()
    shapes = [
        _shape(connection, name, bool(without_rowid))
        for schema, name, kind, _, without_rowid, _ in listed
        if schema == "main" and kind == "table" and name.startswith(TABLE_PREFIX)
    ]
    return sorted(shapes, key=lambda shape: shape.name)


def _shape(connection: sqlite3.Connection, name: str, without_rowid: bool) -> TableShape:
    info = connection.execute(f'PRAGMA table_info("{name}")').fetchall()
    columns = [f'"{row[1]}"' for row in info]
    primary = [row for row in sorted(info, key=lambda row: row[5]) if row[5] > 0]
    is_alias = len(primary) == 1 and str(primary[0][2]).upper() == "INTEGER"
    own_key = [f'"{row[1]}"' for row in primary]
    key = own_key if without_rowid or is_alias else ["rowid"]
    rest = [column for column in columns if column not in key]
    return TableShape(name=name, key=tuple(key), columns=(*key, *rest))


def _row_bytes(row: Row) -> int:
    return sum(len(value) if isinstance(value, str | bytes) else 8 for value in row)


class SnapshotSource:
    """Sender's side of one transfer. At most one at a time on a connection."""

    def __init__(self, connection: sqlite3.Connection, part_bytes: int) -> None:
        self._connection = connection
        self._part_bytes = part_bytes
        self._shapes = table_shapes(connection)
        self._catch_up_parts = 0
        for number, shape in enumerate(self._shapes):
            self._watch(number, shape)
        self._walk = self._walk_tables()

    def close(self) -> None:
        """Stop noting changed rows."""
        for number in range(len(self._shapes)):
            for operation in ("insert", "update", "delete"):
                self._connection.execute(f"DROP TRIGGER IF EXISTS temp.note_{operation}_{number}")
            self._connection.execute(f"DROP TABLE IF EXISTS temp.changed_{number}")

    def next_part(self) -> tuple[bytes, bool]:
        """Return the next part and whether it is the last.

        The last part makes the snapshot equal to the tables as they are at this call.
        """
        part = next(self._walk, None)
        if part is not None:
            return msgspec.msgpack.encode((part,)), False
        self._catch_up_parts += 1
        is_last = (
            self._changed_count() <= CHANGED_ROWS_PER_PART
            or self._catch_up_parts >= MAX_CATCH_UP_PARTS
        )
        limit = -1 if is_last else CHANGED_ROWS_PER_PART
        parts = [self._changed_part(number, limit) for number in range(len(self._shapes))]
        return msgspec.msgpack.encode(parts), is_last

    def _watch(self, number: int, shape: TableShape) -> None:
        keys = ", ".join(f"k{position}" for position in range(len(shape.key)))
        self._connection.execute(f"DROP TABLE IF EXISTS temp.changed_{number}")
        self._connection.execute(
            f"CREATE TEMP TABLE changed_{number} ({keys}, PRIMARY KEY ({keys})) WITHOUT ROWID"
        )
        for operation, sides in (
            ("insert", ("NEW",)),
            ("update", ("OLD", "NEW")),
            ("delete", ("OLD",)),
        ):
            notes = " ".join(self._note(number, shape, side) for side in sides)
            self._connection.execute(f"DROP TRIGGER IF EXISTS temp.note_{operation}_{number}")
            self._connection.execute(
                f"CREATE TEMP TRIGGER note_{operation}_{number} AFTER {operation.upper()}"
                f' ON main."{shape.name}" BEGIN {notes} END'
            )

    @staticmethod
    def _note(number: int, shape: TableShape, side: str) -> str:
        """Return the statement that notes a key once.

        NOT EXISTS instead of OR IGNORE: the conflict rule of the firing statement would win.
        """
        same = " AND ".join(
            f"k{position} IS {side}.{column}" for position, column in enumerate(shape.key)
        )
        return (
            f"INSERT INTO changed_{number} SELECT {shape.key_list(side + '.')}"
            f" WHERE NOT EXISTS (SELECT 1 FROM changed_{number} WHERE {same});"
        )

    def _walk_tables(self) -> Iterator[SnapshotPart]:
        for shape in self._shapes:
            last_key: Row | None = None
            while True:
                rows = self._page(shape, last_key)
                if not rows:
                    break
                last_key = rows[-1][: len(shape.key)]
                yield SnapshotPart(
                    table=shape.name,
                    columns=shape.columns,
                    key_columns=len(shape.key),
                    rows=tuple(rows),
                )

    def _page(self, shape: TableShape, after: Row | None) -> list[Row]:
        where = f"WHERE ({shape.key_list()}) > ({shape.key_marks()})" if after is not None else ""
        cursor = self._connection.execute(
            f'SELECT {", ".join(shape.columns)} FROM "{shape.name}" {where}'
            f" ORDER BY {shape.key_list()}",
            after or (),
        )
        rows: list[Row] = []
        size = 0
        for row in cursor:
            rows.append(row)
            size += _row_bytes(row)
            if size >= self._part_bytes:
                break
        cursor.close()
        return rows

    def _changed_count(self) -> int:
        counts = [
            self._connection.execute(f"SELECT count(*) FROM temp.changed_{number}").fetchone()[0]
            for number in range(len(self._shapes))
        ]
        return sum(counts)

    def _changed_part(self, number: int, limit: int) -> SnapshotPart:
        """Take noted keys and return the rows that they name now, or that they are gone."""
        shape = self._shapes[number]
        same = " AND ".join(f"k{position} IS ?" for position in range(len(shape.key)))
        named = " AND ".join(f"{column} IS ?" for column in shape.key)
        keys = self._connection.execute(
            f"SELECT * FROM temp.changed_{number} LIMIT ?", (limit,)
        ).fetchall()
        self._connection.executemany(f"DELETE FROM temp.changed_{number} WHERE {same}", keys)
        select = f'SELECT {", ".join(shape.columns)} FROM "{shape.name}" WHERE {named}'
        rows: list[Row] = []
        deleted: list[Row] = []
        for key in keys:
            row = self._connection.execute(select, key).fetchone()
            if row is None:
                deleted.append(key)
            else:
                rows.append(row)
        return SnapshotPart(
            table=shape.name,
            columns=shape.columns,
            key_columns=len(shape.key),
            rows=tuple(rows),
            deleted=tuple(deleted),
        )


class SnapshotStage:
    """Receiver's side: fills ``stage_`` tables, then swaps them in.

    All calls happen inside the caller's transaction.
    """

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def begin(self) -> None:
        """Make empty stage tables of the same shape as the state machine's."""
        self.discard()
        for name, sql in self._tables(TABLE_PREFIX):
            staged = re.sub(
                rf'^CREATE TABLE\s+"?{name}"?', f'CREATE TABLE "{STAGE_PREFIX}{name}"', sql, count=1
            )
            self._connection.execute(staged)

    def discard(self) -> None:
        """Drop what an unfinished transfer has left."""
        for name, _ in self._tables(STAGE_PREFIX):
            self._connection.execute(f'DROP TABLE "{name}"')

    def store(self, data: bytes) -> None:
        """Put the rows of an encoded part into the stage tables."""
        for part in _PARTS_DECODER.decode(data):
            self._store_part(part)

    def _store_part(self, part: SnapshotPart) -> None:
        table = f'"{STAGE_PREFIX}{part.table}"'
        named = " AND ".join(f"{column} IS ?" for column in part.columns[: part.key_columns])
        self._connection.executemany(f"DELETE FROM {table} WHERE {named}", part.deleted)
        # REPLACE may remove a row whose unique value has moved on; its newer state still follows.
        marks = ", ".join("?" for _ in part.columns)
        self._connection.executemany(
            f"INSERT OR REPLACE INTO {table} ({', '.join(part.columns)}) VALUES ({marks})",
            part.rows,
        )

    def install(self) -> None:
        """Put the stage tables in the place of the state machine's; indexes come afterwards."""
        for name, _ in self._tables(TABLE_PREFIX):
            self._connection.execute(f'DROP TABLE "{name}"')
            self._connection.execute(f'ALTER TABLE "{STAGE_PREFIX}{name}" RENAME TO "{name}"')

    def _tables(self, prefix: str) -> list[tuple[str, str]]:
        rows = self._connection.execute(
            "SELECT name, sql FROM main.sqlite_master WHERE type = 'table' ORDER BY name"
        ).fetchall()
        return [(name, sql) for name, sql in rows if name.startswith(prefix)]
