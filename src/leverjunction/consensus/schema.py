"""Helpers shared by the state machines of all groups."""

from __future__ import annotations

import sqlite3

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step


def create_missing_tables(connection: sqlite3.Connection, script: str) -> None:
    """Run the statements of a script without committing an open transaction.

    ``executescript`` would commit it. A statement must not contain a semicolon.
    """
    for statement in script.split(";"):
        if statement.strip():
            connection.execute(statement)


def decode_failure(group: str, error: msgspec.MsgspecError, step: Step) -> Failure:
    """Return the failure of a command or query that does not decode as one of the group's."""
    return Failure(
        kind=FailureKind.CORRUPT,
        reason=f"not for group {group}: {error}",
        step=step,
        execution=Execution.NOT_RUN,
    )
