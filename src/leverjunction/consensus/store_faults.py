"""Faults of a replica's stored data, and what they mean to an operator."""

from __future__ import annotations

import sqlite3

from leverjunction.errors import Failure, FailureKind, Step


class StoreCorruptError(Exception):
    """Stored data does not match its checksum; the replica must stop serving."""


def is_environment_error(error: Exception) -> bool:
    """Return whether an error is the machine's or its file's, whatever was asked of it.

    Damage is the bare class ``DatabaseError``; what a command can bring about, such as a key that
    is there twice, are its other subclasses.
    """
    of_the_machine = (sqlite3.OperationalError, sqlite3.InternalError, MemoryError, OSError)
    return isinstance(error, (*of_the_machine, StoreCorruptError)) or (
        type(error) is sqlite3.DatabaseError
    )


def corrupt_failure(path: str, reason: str) -> Failure:
    """Return the failure for damaged data, with the operator's way out."""
    return Failure(
        kind=FailureKind.CORRUPT,
        reason=(
            f"{path}: {reason}; nothing is served from it. Move the file away and start again: "
            "the replica rejoins blank and the leader repairs it"
        ),
        step=Step.STORING,
    )


def failure_of(path: str, error: Exception) -> Failure:
    """Return the failure of a replica that an error has stopped.

    Only damage asks for the file to be moved away. After any other error, such as a full disk,
    the data is good: moving it away on several machines would lose what was acknowledged.
    """
    # OperationalError and the like derive from DatabaseError; damage is the bare class.
    if isinstance(error, StoreCorruptError) or type(error) is sqlite3.DatabaseError:
        return corrupt_failure(path, str(error))
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=(
            f"{path}: stopped serving by {error!r}. The data was left as it is, keep it: mend "
            "the cause (such as a full disk) and start the process again"
        ),
        step=Step.STORING,
    )
