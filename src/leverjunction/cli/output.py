"""Shared exit codes and output functions: data goes to stdout, everything else to stderr."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from enum import IntEnum

import msgspec
from rich.console import Console
from rich.table import Table

from leverjunction.errors import Failure, FailureKind

MAX_LINE_CHARACTERS = 4000
UNREACHABLE_HINT = (
    "the same command can safely be run again; 'leverjunction status' shows which control "
    "processes respond, and whether they reach a quorum"
)
_MS_PER_S = 1000


class ExitCode(IntEnum):
    """Exit status of a command."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


_CODE_BY_KIND = {
    FailureKind.BAD_REQUEST: ExitCode.BAD_INPUT,
    FailureKind.TOO_LARGE: ExitCode.BAD_INPUT,
    FailureKind.CONFLICT: ExitCode.CONFLICT,
    FailureKind.KEY_REUSED: ExitCode.CONFLICT,
    FailureKind.UNREACHABLE: ExitCode.UNREACHABLE,
    FailureKind.NOT_LISTENING: ExitCode.UNREACHABLE,
    FailureKind.NO_QUORUM: ExitCode.UNREACHABLE,
    FailureKind.NOT_LEADER: ExitCode.UNREACHABLE,
    FailureKind.STALE: ExitCode.UNREACHABLE,
    FailureKind.STOPPING: ExitCode.UNREACHABLE,
    FailureKind.TIMEOUT: ExitCode.UNREACHABLE,
    FailureKind.OVERLOADED: ExitCode.UNREACHABLE,
    FailureKind.OUTCOME_UNKNOWN: ExitCode.UNREACHABLE,
}


def exit_code(failure: Failure) -> ExitCode:
    """Return the exit status for a failure."""
    return _CODE_BY_KIND.get(failure.kind, ExitCode.FAILED)


def print_failure(failure: Failure, code: ExitCode | None = None) -> ExitCode:
    """Print a failure on stderr, with its step and peer, and return the exit code.

    ``code`` overrides the exit code of the failure's kind.
    """
    peer = f", peer {failure.peer}" if failure.peer else ""
    print(f"error: {failure.reason} (step {failure.step}{peer})", file=sys.stderr)
    status = exit_code(failure) if code is None else code
    if status is ExitCode.UNREACHABLE:
        print_progress(UNREACHABLE_HINT)
    return status


def print_progress(text: str) -> None:
    """Print a progress message on stderr."""
    print(text, file=sys.stderr, flush=True)


def print_json(value: object) -> None:
    """Print a value as one JSON document on stdout."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_json_line(value: object) -> None:
    """Print a value as one line of JSON on stdout."""
    print(msgspec.json.encode(value).decode(), flush=True)


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table on stdout, or only "<title>: none" when it has no rows.

    Each row stays on one line whatever the terminal's width, so that the output can be searched.
    """
    table = Table(box=None, pad_edge=False, padding=(0, 2, 0, 0), header_style="bold")
    for column in columns:
        table.add_column(column, no_wrap=True)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console = Console(width=MAX_LINE_CHARACTERS, soft_wrap=False)
    if not table.row_count:
        console.print(f"{title}: none", highlight=False, markup=False)
        return
    console.print(f"{title}:", highlight=False, markup=False)
    console.print(table, highlight=False, markup=False)
    console.print()


def format_utc(wall_ms: int) -> str:
    """Format a wall-clock time in milliseconds as UTC text, or as a dash when it is 0."""
    if not wall_ms:
        return "-"
    moment = datetime.fromtimestamp(wall_ms / _MS_PER_S, tz=UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
