"""What a failing test leaves behind: command, seeds, output, threads, load, lateness of timers.

A failure that showed once and left nothing cannot be traced. The folder is bounded, lies outside
the repository's files (``var/failures``) and is named by the last lines of the run.
"""

from __future__ import annotations

import os
import re
import shutil
import sys
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from pathlib import Path

import pytest

FOLDER = Path(__file__).parent.parent / "var" / "failures"
FOLDERS_KEPT = 40
MOST_CHARACTERS = 400_000
"""Of a test's output; the end of it is kept."""

LOG_BYTES = 64 * 1024
"""Of each process's log; the end of it is kept."""

LOG_SOURCES: list[Callable[[], Iterable[Path]]] = []
"""Give the logs of the processes that tests have started."""

TIMER_S = 0.05
NOTED_FROM_S = 0.02
"""Timers that are less late say nothing: that much they are on a machine that idles."""

LATENESSES_KEPT = 1_200
"""Latenesses of the last minute."""


class TimerWatch:
    """Measures how late a timer fires, so that a pause of the process can be told from a fault."""

    def __init__(self) -> None:
        self.late_s: list[tuple[float, float]] = []
        self._thread = threading.Thread(target=self._run, name="timer-watch", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while True:
            due_s = time.monotonic() + TIMER_S
            time.sleep(TIMER_S)
            now_s = time.monotonic()
            self.late_s = [*self.late_s[-LATENESSES_KEPT:], (now_s, now_s - due_s)]

    def since(self, began_s: float) -> list[float]:
        """Return the latenesses since a moment, in seconds, longest first."""
        return sorted((late for at_s, late in self.late_s if at_s >= began_s), reverse=True)

    def paused_s(self, began_s: float) -> float:
        """Return for how long this process did not run since a moment, in seconds.

        A bound that is measured here is the promise's plus this: a pause of the test's own process
        is no fault of what it watches, and without one the bound is as it was.
        """
        now_s = time.monotonic()
        late_s = [*self.late_s]
        under_way_s = now_s - late_s[-1][0] - TIMER_S if late_s else 0.0
        lateness_s = [late for at_s, late in late_s if at_s >= began_s and late > NOTED_FROM_S]
        return sum(lateness_s) + (under_way_s if under_way_s > NOTED_FROM_S else 0.0)


def threads() -> str:
    """Return where every thread of this process is."""
    names = {thread.ident: thread.name for thread in threading.enumerate()}
    parts = []
    for ident, frame in sys._current_frames().items():
        stack = "".join(traceback.format_stack(frame))
        parts.append(f"Thread {names.get(ident, ident)}\n{stack}")
    return "\n".join(parts)


def keep(item: pytest.Item, report: pytest.TestReport, began_s: float, watch: TimerWatch) -> Path:
    """Write what is known of a failure and return its folder."""
    name = re.sub(r"[^A-Za-z0-9_.-]+", "_", item.nodeid)[-150:]
    folder = FOLDER / f"{time.strftime('%Y%m%dT%H%M%S')}-{os.getpid()}-{name}"
    folder.mkdir(parents=True, exist_ok=True)
    late_s = watch.since(began_s)
    facts = [
        f"test: {item.nodeid}",
        f"command: {' '.join(sys.argv)}",
        f"PYTHONHASHSEED: {os.environ.get('PYTHONHASHSEED', 'not set')}",
        f"phase: {report.when}, after {time.monotonic() - began_s:.3f} s",
        f"load of the machine (1, 5, 15 min): {os.getloadavg()}, processors: {os.cpu_count()}",
        f"timers of {TIMER_S} s since it began: {len(late_s)} fired; latest by s: "
        + ", ".join(f"{late:.3f}" for late in late_s[:5]),
    ]
    (folder / "facts.txt").write_text("\n".join(facts) + "\n", encoding="utf8")
    output = "\n".join(f"== {title}\n{text}" for title, text in report.sections)
    text = f"{report.longreprtext}\n{output}"
    (folder / "output.txt").write_text(text[-MOST_CHARACTERS:], encoding="utf8")
    (folder / "threads.txt").write_text(threads()[-MOST_CHARACTERS:], encoding="utf8")
    _keep_logs(folder / "logs")
    old = sorted(path for path in FOLDER.iterdir() if path.is_dir())[:-FOLDERS_KEPT]
    for path in old:
        shutil.rmtree(path, ignore_errors=True)
    return folder


def _keep_logs(folder: Path) -> None:
    logs = [path for source in LOG_SOURCES for path in source() if path.exists()]
    for path in logs:
        folder.mkdir(exist_ok=True)
        with path.open("rb") as log:
            log.seek(max(0, path.stat().st_size - LOG_BYTES))
            (folder / path.name).write_bytes(log.read())
