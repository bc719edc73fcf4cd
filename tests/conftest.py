"""Shared pytest hooks: the list of known-red tests that CI passes over and prints."""

from __future__ import annotations

import time
from collections.abc import Callable, Generator, Iterator
from pathlib import Path

import pytest
from loguru import logger
from tests.kept_failures import FOLDER, TimerWatch, keep
from tests.pauses import Pauses

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_LIMIT = 3

BEGAN_S = pytest.StashKey[float]()
WATCH = pytest.StashKey[TimerWatch]()


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
    if report.failed or (report.skipped and hasattr(report, "wasxfail")):
        folder = keep(item, report, item.stash[BEGAN_S], item.config.stash[WATCH])
        report.user_properties.append(("kept in", str(folder.relative_to(FOLDER.parent.parent))))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let exactly the listed tests fail without failing the run."""
    known_red = _known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason=known_red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known-red tests, so that no report hides them, and where failures are kept."""
    reports = terminalreporter.getreports("failed") + terminalreporter.getreports("xfailed")
    for report in reports:
        for name, folder in report.user_properties:
            if name == "kept in":
                terminalreporter.write_line(f"KEPT: {report.nodeid}: {folder}")
    for test, cause in _known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause}")
