"""The list of known failures: which tests may fail for now, and with which words."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

SEPARATOR = " | "
ERROR_LINE = "E "
"""Begins the lines of a report that say what failed; the others quote the test."""


@dataclass(frozen=True)
class KnownFailure:
    """One entry of the list.

    Attributes:
        test: Node id of the test, or the command that shows the failure where no test does.
        words: Part of what the failing test says; a test that fails otherwise is not this failure.
        seen: Command, seed and what was seen, with the issue.
    """

    test: str
    words: str
    seen: str


def read_known_failures(file: Path) -> list[KnownFailure]:
    """Return the entries of ``file``, one ``test | words | seen, issue`` a line; none without it.

    Raises:
        pytest.UsageError: A line has no three parts, or an entry no words.
    """
    if not file.exists():
        return []
    lines = [line.strip() for line in file.read_text(encoding="utf8").splitlines()]
    return [_read(line) for line in lines if line and not line.startswith("#")]


def _read(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split(SEPARATOR, 2)]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"KNOWN-RED.txt: expected 'test | words | what was seen': {line}")
    return KnownFailure(*parts)


def entry_of(report: pytest.TestReport, entries: Iterable[KnownFailure]) -> KnownFailure | None:
    """Return the entry whose failure ``report`` shows, None when it is a new one."""
    said = "\n".join(
        line for line in report.longreprtext.splitlines() if line.startswith(ERROR_LINE)
    )
    for entry in entries:
        if entry.test == report.nodeid and entry.words in said:
            return entry
    return None


def pass_over(report: pytest.TestReport, entries: Iterable[KnownFailure]) -> None:
    """Let a listed test fail as its entry says without failing the run; mark it if it passes."""
    if report.failed:
        entry = entry_of(report, entries)
        if entry is not None:
            report.outcome = "skipped"
            report.wasxfail = entry.seen  # type: ignore[attr-defined]
    elif report.when == "call" and report.passed:
        seen = [entry.seen for entry in entries if entry.test == report.nodeid]
        if seen:
            report.wasxfail = "; ".join(seen)  # type: ignore[attr-defined]


__all__ = ["KnownFailure", "entry_of", "pass_over", "read_known_failures"]
