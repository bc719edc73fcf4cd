"""Shared pytest hooks: the list of known-red tests that CI passes over and prints."""

from __future__ import annotations

import time
from collections.abc import Callable, Generator, Iterator
from pathlib import Path

import pytest
from loguru import logger
from tests.kept_failures import FOLDER, TimerWatch, keep
from tests.known_red import pass_over, read_known_failures
from tests.pauses import Pauses

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"

BEGAN_S = pytest.StashKey[float]()
WATCH = pytest.StashKey[TimerWatch]()


@pytest.fixture(autouse=True)
def _logging_is_on() -> Iterator[None]:
    """Undo what a command under test does to its process: some switch the product's lines off."""
    yield
    logger.enable("leverjunction")


@pytest.fixture
def paused_s(request: pytest.FixtureRequest) -> Callable[[], float]:
    """Return a function that tells for how long this process did not run since the test began."""
    watch, began_s = request.config.stash[WATCH], request.node.stash[BEGAN_S]
    return lambda: watch.paused_s(began_s)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that brings pauses of the interpreter about."""
    parser.addoption(
        "--pauses",
        type=int,
        default=None,
        metavar="SEED",
        help="hold the interpreter for 0.2 to 2 s at drawn moments, as a busy machine does",
    )


def pytest_configure(config: pytest.Config) -> None:
    """Start the watch of timers, and the pauses if they are asked for."""
    config.stash[WATCH] = TimerWatch()
    seed = config.getoption("--pauses")
    if seed is not None:
        Pauses(seed)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_protocol(item: pytest.Item) -> Generator[None, None, None]:
    """Note when a test begins."""
    item.stash[BEGAN_S] = time.monotonic()
    yield


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Generator[None, pytest.Result, None]:
    """Keep what a failing test leaves behind; those that are known to be red as well."""
    outcome = yield
    report = outcome.get_result()
    if not item.config.option.runxfail:
        pass_over(report, read_known_failures(KNOWN_RED_FILE))
    if report.failed or (report.skipped and hasattr(report, "wasxfail")):
        folder = keep(item, report, item.stash[BEGAN_S], item.config.stash[WATCH])
        report.user_properties.append(("kept in", str(folder.relative_to(FOLDER.parent.parent))))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known-red tests, so that no report hides them, and where failures are kept."""
    reports = terminalreporter.getreports("failed") + terminalreporter.getreports("xfailed")
    for report in reports:
        for name, folder in report.user_properties:
            if name == "kept in":
                terminalreporter.write_line(f"KEPT: {report.nodeid}: {folder}")
    for entry in read_known_failures(KNOWN_RED_FILE):
        terminalreporter.write_line(f"KNOWN RED: {entry.test}: {entry.words}: {entry.seen}")
