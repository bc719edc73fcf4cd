"""What the state machines of all groups do alike."""

from __future__ import annotations

import sqlite3

import msgspec

from leverjunction.errors import Failure, FailureKind, Step


def create_missing_tables(connection: sqlite3.Connection, script: str) -> None:
    """Run the statements of a script, each inside the transaction that may be open.

    ``executescript`` would commit it.
    """
    for statement in script.split(";"):
        if statement.strip():
            connection.execute(statement)


def decode_failure(group: str, error: msgspec.MsgspecError, step: Step) -> Failure:
    """Return the failure of a command or query that is none of a group's."""
    return Failure(kind=FailureKind.CORRUPT, reason=f"not for group {group}: {error}", step=step)
