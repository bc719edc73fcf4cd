"""Faults of a replica's stored data, and the failures that report them to operators."""

from __future__ import annotations

import sqlite3

from leverjunction.errors import Execution, Failure, FailureKind, Step


class StoreCorruptError(Exception):
    """Stored data does not match its checksum; the replica must stop serving."""


def is_environment_error(error: Exception) -> bool:
    """Return whether an error comes from the host or the database file and not from a command.

    SQLite reports a damaged file with the class ``DatabaseError`` itself. Errors that a command can
    cause, such as a duplicate key, are subclasses of it that are not listed here.
    """
    host_errors = (sqlite3.OperationalError, sqlite3.InternalError, MemoryError, OSError)
    return isinstance(error, (*host_errors, StoreCorruptError)) or (
        type(error) is sqlite3.DatabaseError
    )


def corrupt_failure(path: str, reason: str) -> Failure:
    """Return the failure for damaged data, with instructions for the operator."""
    return Failure(
        kind=FailureKind.CORRUPT,
        reason=(
            f"{path}: {reason}; nothing is served from it. Move the file away and start again: "
            "the replica rejoins blank and the leader repairs it"
        ),
        step=Step.STORING,
        execution=Execution.UNKNOWN,
    )


def stopped_failure(path: str, error: Exception) -> Failure:
    """Return the failure of a replica that was stopped by an error.

    Only for damaged data does the failure tell the operator to move the file away. After any other
    error, such as a full disk, the data is intact, and moving it away on several machines would
    lose acknowledged commands.
    """
    # SQLite reports damage with DatabaseError itself; OperationalError and others are subclasses.
    if isinstance(error, StoreCorruptError) or type(error) is sqlite3.DatabaseError:
        return corrupt_failure(path, str(error))
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=(
            f"{path}: stopped serving after {error!r}. The data was left in place. Keep the file, "
            "fix the cause (such as a full disk) and start the process again"
        ),
        step=Step.STORING,
        execution=Execution.UNKNOWN,
    )
