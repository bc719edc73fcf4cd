"""Exit codes and printing that the commands share: data on stdout, everything else on stderr."""

from __future__ import annotations

import sys
from enum import IntEnum

from leverjunction.errors import Failure


class ExitCode(IntEnum):
    """Exit status of every command."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_IN_FORCE = 5


def print_failure(failure: Failure, code: ExitCode) -> ExitCode:
    """Print a failure on stderr, with step and peer, and return the given exit code."""
    peer = f", peer {failure.peer}" if failure.peer else ""
    print(f"error: {failure.reason} (step {failure.step}{peer})", file=sys.stderr)
    return code
