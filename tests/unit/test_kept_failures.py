"""A failing test leaves behind what it takes to trace it, and pauses can be brought about."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

from tests.kept_failures import FOLDERS_KEPT, LOG_BYTES, TimerWatch
from tests.pauses import LONGEST_S, SHORTEST_S

ROOT = Path(__file__).parents[2]
FAILING = """
from pathlib import Path

from tests.kept_failures import LOG_SOURCES


def test_fails():
    print("a word of the test")
    LOG_SOURCES.append(lambda: [Path("process.log"), Path("never_written.log")])
    Path("process.log").write_text("x" * 100_000 + "a word of the process")
    assert False
"""


def test_a_failing_test_names_the_folder_that_it_leaves_behind(tmp_path: Path) -> None:
    (tmp_path / "test_it.py").write_text(FAILING, encoding="utf8")
    hooks = (ROOT / "tests" / "conftest.py").read_text(encoding="utf8")
    (tmp_path / "conftest.py").write_text(hooks, encoding="utf8")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(tmp_path)],
        check=False,
        capture_output=True,
        text=True,
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}"},
    )
    (line,) = [line for line in done.stdout.splitlines() if line.startswith("KEPT: ")]
    folder = ROOT / line.rpartition(": ")[2]
    try:
        facts = (folder / "facts.txt").read_text(encoding="utf8")
        for word in ("test_it.py::test_fails", "PYTHONHASHSEED", "load of the machine", "timers"):
            assert word in facts
        assert "a word of the test" in (folder / "output.txt").read_text(encoding="utf8")
        (log,) = (folder / "logs").iterdir()
        assert log.name == "process.log"
        assert log.stat().st_size == LOG_BYTES
        assert log.read_text(encoding="utf8").endswith("a word of the process")
        assert "MainThread" in (folder / "threads.txt").read_text(encoding="utf8")
        assert len(list(folder.parent.iterdir())) <= FOLDERS_KEPT
    finally:
        shutil.rmtree(folder)


def test_a_pause_of_the_interpreter_shows_as_late_timers() -> None:
    program = (
        "import time\n"
        "from tests.kept_failures import TimerWatch\n"
        "from tests.pauses import Pauses\n"
        "watch, began_s = TimerWatch(), time.monotonic()\n"
        "Pauses(1)\n"
        "while time.monotonic() < began_s + 8: time.sleep(0.01)\n"
        "print(max(watch.since(began_s)))\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], check=True, capture_output=True, text=True, cwd=ROOT
    )
    assert SHORTEST_S / 2 < float(done.stdout) < LONGEST_S + 2.0


def test_the_watch_of_timers_forgets_what_is_old() -> None:
    watch = TimerWatch()
    time.sleep(0.2)
    assert watch.since(time.monotonic() + 1.0) == []
    assert len(watch.since(0.0)) >= 2
