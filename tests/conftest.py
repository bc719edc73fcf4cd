"""Shared pytest hooks: the list of known-red tests that CI passes over and prints."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3


def _known_red() -> dict[str, str]:
    """Return the listed tests with cause and issue; one ``test, cause, issue`` a line."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED_FILE.read_text(encoding="utf8").splitlines()]
    entries = [line.split(",", 1) for line in lines if line and not line.startswith("#")]
    if len(entries) > KNOWN_RED_LIMIT:
        raise pytest.UsageError(f"KNOWN-RED.txt lists more than {KNOWN_RED_LIMIT} tests")
    return {entry[0].strip(): entry[-1].strip() for entry in entries}


@pytest.fixture(autouse=True)
def _logging_is_on() -> Iterator[None]:
    """Undo what a command under test does to its process: some switch the product's lines off."""
    yield
    logger.enable("leverjunction")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let exactly the listed tests fail without failing the run."""
    known_red = _known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason=known_red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known-red tests, so that no report hides them."""
    for test, cause in _known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")
