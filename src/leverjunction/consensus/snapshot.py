"""Snapshots of the state machine's tables, streamed as rows while the tables keep changing.

The sender scans the ``sm_`` tables in parts. Temporary triggers record the keys of rows that change
during the scan, and these rows are sent again after it. The last part is read between two applied
entries, so the complete snapshot corresponds to exactly one log position. The tables are not
copied on the sender, and writes continue during the transfer. The receiver fills ``stage_`` tables
and replaces its own tables with them in one transaction.

Requirements on state machines: ordinary tables named ``sm_*``, without AUTOINCREMENT, views or
triggers, and a ``create_tables`` that also creates missing indexes.
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
"""Parts of changed rows after which the last part is sent, however many changed rows remain."""

Value = Any
"""A value stored by SQLite: int, float, str, bytes or None. msgspec cannot decode their union."""
Row = tuple[Value, ...]


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True):
    """Changes to the rows of one table.

    Attributes:
        table: Name of the table.
        columns: Columns of ``rows``, key columns first.
        key_columns: Number of key columns.
        rows: Rows to insert or replace.
        deleted: Keys of deleted rows.
    """

    table: str
    columns: tuple[str, ...]
    key_columns: int
    rows: tuple[Row, ...] = ()
    deleted: tuple[Row, ...] = ()


_PARTS_DECODER = msgspec.msgpack.Decoder(tuple[SnapshotPart, ...])


@dataclass(frozen=True)
class TableSchema:
    """Name, key and columns of a table.

    Attributes:
        name: Name of the table.
        key: Columns that identify a row: the rowid, its INTEGER PRIMARY KEY alias, or the primary
            key of a WITHOUT ROWID table.
        columns: All columns, key columns first.
    """

    name: str
    key: tuple[str, ...]
    columns: tuple[str, ...]

    def key_list(self, prefix: str = "") -> str:
        """Return the key columns as a SQL list, each preceded by ``prefix``."""
        return ", ".join(f"{prefix}{column}" for column in self.key)

    def key_placeholders(self) -> str:
        """Return a SQL list with one placeholder for each key column."""
        return ", ".join("?" for _ in self.key)


def table_schemas(connection: sqlite3.Connection) -> list[TableSchema]:
    """Return the schemas of the state machine's tables, sorted by name."""
    listed = connection.execute("PRAGMA table_list").fetchall()
    schemas = [
        _read_schema(connection, name, bool(without_rowid))
        for database, name, kind, _, without_rowid, _ in listed
        if database == "main" and kind == "table" and name.startswith(TABLE_PREFIX)
    ]
    return sorted(schemas, key=lambda schema: schema.name)


def _read_schema(connection: sqlite3.Connection, name: str, without_rowid: bool) -> TableSchema:
    info = connection.execute(f'PRAGMA table_info("{name}")').fetchall()
    columns = [f'"{row[1]}"' for row in info]
    primary = [row for row in sorted(info, key=lambda row: row[5]) if row[5] > 0]
    is_alias = len(primary) == 1 and str(primary[0][2]).upper() == "INTEGER"
    primary_key = [f'"{row[1]}"' for row in primary]
    key = primary_key if without_rowid or is_alias else ["rowid"]
    rest = [column for column in columns if column not in key]
    return TableSchema(name=name, key=tuple(key), columns=(*key, *rest))


def _row_bytes(row: Row) -> int:
    return sum(len(value) if isinstance(value, str | bytes) else 8 for value in row)


class SnapshotSource:
    """Sending side of a transfer. A connection supports one source at a time."""

    def __init__(self, connection: sqlite3.Connection, part_bytes: int) -> None:
        self._connection = connection
        self._part_bytes = part_bytes
        self._schemas = table_schemas(connection)
        self._catch_up_parts = 0
        for number, schema in enumerate(self._schemas):
            self._create_triggers(number, schema)
        self._scan = self._scan_tables()

    def close(self) -> None:
        """Stop recording changed rows."""
        for number in range(len(self._schemas)):
            for operation in ("insert", "update", "delete"):
                self._connection.execute(f"DROP TRIGGER IF EXISTS temp.note_{operation}_{number}")
            self._connection.execute(f"DROP TABLE IF EXISTS temp.changed_{number}")

    def next_part(self) -> tuple[bytes, bool]:
        """Return the next encoded part and whether it is the last one.

        With the last part, the snapshot equals the tables at the time of this call.
        """
        part = next(self._scan, None)
        if part is not None:
            return msgspec.msgpack.encode((part,)), False
        self._catch_up_parts += 1
        is_last = (
            self._changed_count() <= CHANGED_ROWS_PER_PART
            or self._catch_up_parts >= MAX_CATCH_UP_PARTS
        )
        limit = -1 if is_last else CHANGED_ROWS_PER_PART
        parts = [self._changed_part(number, limit) for number in range(len(self._schemas))]
        return msgspec.msgpack.encode(parts), is_last

    def _create_triggers(self, number: int, schema: TableSchema) -> None:
        keys = ", ".join(f"k{position}" for position in range(len(schema.key)))
        self._connection.execute(f"DROP TABLE IF EXISTS temp.changed_{number}")
        self._connection.execute(
            f"CREATE TEMP TABLE changed_{number} ({keys}, PRIMARY KEY ({keys})) WITHOUT ROWID"
        )
        for operation, row_aliases in (
            ("insert", ("NEW",)),
            ("update", ("OLD", "NEW")),
            ("delete", ("OLD",)),
        ):
            statements = " ".join(
                self._record_key_sql(number, schema, row_alias) for row_alias in row_aliases
            )
            self._connection.execute(f"DROP TRIGGER IF EXISTS temp.note_{operation}_{number}")
            self._connection.execute(
                f"CREATE TEMP TRIGGER note_{operation}_{number} AFTER {operation.upper()}"
                f' ON main."{schema.name}" BEGIN {statements} END'
            )

    @staticmethod
    def _record_key_sql(number: int, schema: TableSchema, row_alias: str) -> str:
        """Return the trigger statement that records the key of a changed row once.

        It uses NOT EXISTS, because inside a trigger the conflict clause of the outer statement
        overrides OR IGNORE.
        """
        key_match = " AND ".join(
            f"k{position} IS {row_alias}.{column}" for position, column in enumerate(schema.key)
        )
        return (
            f"INSERT INTO changed_{number} SELECT {schema.key_list(row_alias + '.')}"
            f" WHERE NOT EXISTS (SELECT 1 FROM changed_{number} WHERE {key_match});"
        )

    def _scan_tables(self) -> Iterator[SnapshotPart]:
        for schema in self._schemas:
            last_key: Row | None = None
            while True:
                rows = self._read_rows(schema, last_key)
                if not rows:
                    break
                last_key = rows[-1][: len(schema.key)]
                yield SnapshotPart(
                    table=schema.name,
                    columns=schema.columns,
                    key_columns=len(schema.key),
                    rows=tuple(rows),
                )

    def _read_rows(self, schema: TableSchema, after: Row | None) -> list[Row]:
        where = (
            f"WHERE ({schema.key_list()}) > ({schema.key_placeholders()})"
            if after is not None
            else ""
        )
        cursor = self._connection.execute(
            f'SELECT {", ".join(schema.columns)} FROM "{schema.name}" {where}'
            f" ORDER BY {schema.key_list()}",
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
            for number in range(len(self._schemas))
        ]
        return sum(counts)

    def _changed_part(self, number: int, limit: int) -> SnapshotPart:
        """Remove up to ``limit`` recorded keys; return their rows, and the keys without a row."""
        schema = self._schemas[number]
        key_match = " AND ".join(f"k{position} IS ?" for position in range(len(schema.key)))
        row_match = " AND ".join(f"{column} IS ?" for column in schema.key)
        keys = self._connection.execute(
            f"SELECT * FROM temp.changed_{number} LIMIT ?", (limit,)
        ).fetchall()
        self._connection.executemany(f"DELETE FROM temp.changed_{number} WHERE {key_match}", keys)
        select = f'SELECT {", ".join(schema.columns)} FROM "{schema.name}" WHERE {row_match}'
        rows: list[Row] = []
        deleted: list[Row] = []
        for key in keys:
            row = self._connection.execute(select, key).fetchone()
            if row is None:
                deleted.append(key)
            else:
                rows.append(row)
        return SnapshotPart(
            table=schema.name,
            columns=schema.columns,
            key_columns=len(schema.key),
            rows=tuple(rows),
            deleted=tuple(deleted),
        )


class SnapshotStage:
    """Receiving side of a transfer: fills ``stage_`` tables, then installs them.

    All methods run inside the caller's transaction.
    """

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    def begin(self) -> None:
        """Create empty stage tables with the schemas of the state machine's tables."""
        self.discard()
        for name, sql in self._tables(TABLE_PREFIX):
            staged = re.sub(
                rf'^CREATE TABLE\s+"?{name}"?', f'CREATE TABLE "{STAGE_PREFIX}{name}"', sql, count=1
            )
            self._connection.execute(staged)

    def discard(self) -> None:
        """Drop the stage tables of an unfinished transfer."""
        for name, _ in self._tables(STAGE_PREFIX):
            self._connection.execute(f'DROP TABLE "{name}"')

    def store(self, data: bytes) -> None:
        """Write the rows of an encoded part to the stage tables."""
        for part in _PARTS_DECODER.decode(data):
            self._store_part(part)

    def _store_part(self, part: SnapshotPart) -> None:
        table = f'"{STAGE_PREFIX}{part.table}"'
        row_match = " AND ".join(f"{column} IS ?" for column in part.columns[: part.key_columns])
        self._connection.executemany(f"DELETE FROM {table} WHERE {row_match}", part.deleted)
        # REPLACE may delete another row whose unique value this row now has; a later part sends the
        # current state of that row.
        placeholders = ", ".join("?" for _ in part.columns)
        self._connection.executemany(
            f"INSERT OR REPLACE INTO {table} ({', '.join(part.columns)}) VALUES ({placeholders})",
            part.rows,
        )

    def install(self) -> None:
        """Replace the state machine's tables with the stage tables; the caller adds the indexes."""
        for name, _ in self._tables(TABLE_PREFIX):
            self._connection.execute(f'DROP TABLE "{name}"')
            self._connection.execute(f'ALTER TABLE "{STAGE_PREFIX}{name}" RENAME TO "{name}"')

    def _tables(self, prefix: str) -> list[tuple[str, str]]:
        rows = self._connection.execute(
            "SELECT name, sql FROM main.sqlite_master WHERE type = 'table' ORDER BY name"
        ).fetchall()
        return [(name, sql) for name, sql in rows if name.startswith(prefix)]
