"""Reads the rows of a state machine's tables, to compare replicas."""

from __future__ import annotations

import sqlite3
from typing import Any

from leverjunction.consensus.snapshot import table_schemas

Rows = dict[str, list[tuple[Any, ...]]]
"""Sorted rows by table."""

ROWID = "rowid"


def read_tables(connection: sqlite3.Connection) -> Rows:
    """Return the rows of all ``sm_`` tables, without the rowids that SQLite assigned."""
    return {
        schema.name: _rows(connection, schema.name, [c for c in schema.columns if c != ROWID])
        for schema in table_schemas(connection)
    }


def _rows(connection: sqlite3.Connection, table: str, columns: list[str]) -> list[tuple[Any, ...]]:
    return sorted(connection.execute(f'SELECT {", ".join(columns)} FROM "{table}"').fetchall())
