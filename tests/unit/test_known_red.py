"""A known failure is passed over only when it fails as its entry says; each entry is printed."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from tests.known_red import read_known_failures

ROOT = Path(__file__).parents[2]
TESTS = """
import pytest


@pytest.mark.parametrize("count", [1, 2, 3])
def test_count(count):
    assert count == 3, "two items are left" if count == 2 else "one item is left"


def test_quotes_the_words():
    words = "one item is left"
    count = len(words)
    assert count == 0, "another failure"
"""
LIST = """# a remark
checks/test_it.py::test_count[1] | one item is left | seed 1; issue 1
checks/test_it.py::test_count[1] | the job did not end | seed 2; issue 1
checks/test_it.py::test_count[2] | one item is left | seed 3; issue 1
checks/test_it.py::test_count[3] | one item is left | seed 4; issue 1
checks/test_it.py::test_quotes_the_words | one item is left | seed 5; issue 1
"""


def run(folder: Path, *options: str) -> subprocess.CompletedProcess[str]:
    """Run ``TESTS`` with this project's hooks beside ``LIST``."""
    checks = folder / "checks"
    checks.mkdir()
    hooks = (ROOT / "tests" / "conftest.py").read_text(encoding="utf8")
    (checks / "conftest.py").write_text(hooks, encoding="utf8")
    (checks / "test_it.py").write_text(TESTS, encoding="utf8")
    (folder / "KNOWN-RED.txt").write_text(LIST, encoding="utf8")
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options, "checks"],
        check=False,
        capture_output=True,
        text=True,
        cwd=folder,
        env={**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}"},
    )


@pytest.mark.parametrize("options", [(), ("-n", "2")], ids=["one process", "two"])
def test_a_listed_test_that_fails_with_other_words_fails_the_run(
    tmp_path: Path, options: tuple[str, ...]
) -> None:
    done = run(tmp_path, *options)
    assert done.returncode == 1
    assert "2 failed, 1 xfailed, 1 xpassed" in done.stdout
    for failed in ("test_count[2]", "test_quotes_the_words"):
        assert f"FAILED checks/test_it.py::{failed}" in done.stdout


def test_each_entry_is_printed_also_two_of_one_test(tmp_path: Path) -> None:
    printed = [line for line in run(tmp_path).stdout.splitlines() if line.startswith("KNOWN RED: ")]
    assert len(printed) == 5
    assert "KNOWN RED: checks/test_it.py::test_count[1]: the job did not end: seed 2" in printed[1]


@pytest.mark.parametrize("line", ["a test, a cause", "a test | words", "a test |  | seen"])
def test_an_entry_without_words_is_refused(tmp_path: Path, line: str) -> None:
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text(line + "\n", encoding="utf8")
    with pytest.raises(pytest.UsageError, match="KNOWN-RED"):
        read_known_failures(file)


def test_the_list_of_this_project_names_files_that_exist() -> None:
    entries = read_known_failures(ROOT / "KNOWN-RED.txt")
    files = [entry.test.partition("::")[0] for entry in entries if entry.test.startswith("tests/")]
    assert [file for file in files if not (ROOT / file).exists()] == []
