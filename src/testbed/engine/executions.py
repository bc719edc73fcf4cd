"""Log of every execution that an engine began: what checkers prove at-most-once with."""

from __future__ import annotations

import threading
from pathlib import Path

import msgspec


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One execution of a request.

    Attributes:
        runner_id: Engine that ran it.
        request_id: Request.
        attempt: Attempt.
        model: Model asked for.
        priority: Priority asked for.
        started_ms: Wall-clock time of its acceptance, in milliseconds.
        prompt: Start of the prompt, for checkers.
        continued: Tokens that an earlier execution had generated already.
        tokens: Tokens generated in all, 0 while it runs.
        finish: Finish reason, empty while it runs.
    """

    runner_id: str
    request_id: str
    attempt: int
    model: str
    priority: int
    started_ms: int
    prompt: str
    continued: int = 0
    tokens: int = 0
    finish: str = ""


class ExecutionLog:
    """Keeps executions in memory and appends each start and end to a JSONL file.

    The file outlives a killed engine. Safe to share between threads.
    """

    def __init__(self, path: Path | None) -> None:
        self._lock = threading.Lock()
        self._executions: dict[tuple[str, int, int], Execution] = {}
        self._file = path.open("ab", buffering=0) if path else None

    def record(self, execution: Execution) -> None:
        """Record the start of an execution, or its end (same id, attempt and start)."""
        key = (execution.request_id, execution.attempt, execution.started_ms)
        with self._lock:
            self._executions[key] = execution
            if self._file is not None:
                self._file.write(msgspec.json.encode(execution) + b"\n")

    def all(self) -> list[Execution]:
        """Return all executions, in order of their start."""
        with self._lock:
            return sorted(self._executions.values(), key=lambda execution: execution.started_ms)


def read_executions(path: Path) -> list[Execution]:
    """Read a log file; the last line of an execution is its newest state."""
    latest: dict[tuple[str, int, int], Execution] = {}
    for line in path.read_bytes().splitlines():
        try:
            execution = msgspec.json.decode(line, type=Execution)
        except msgspec.DecodeError:
            continue  # a killed engine can leave half a line
        latest[(execution.request_id, execution.attempt, execution.started_ms)] = execution
    return list(latest.values())
