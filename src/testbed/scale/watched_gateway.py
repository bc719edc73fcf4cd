"""A real gateway process that writes the processor time of its threads when it is asked to.

Usage: ``python -m testbed.scale.watched_gateway REPORT.json gateway --config FILE``; the arguments
after the report are those of ``leverjunction``. SIGUSR1 asks for a report. Names of threads are
known inside the process only, so the operating system's view from outside would not do.
"""

from __future__ import annotations

import re
import signal
import sys
import threading
from pathlib import Path

import msgspec

from leverjunction.cli.commands import main as run_leverjunction

NANOSECONDS_PER_S = 1e9
_NUMBER = re.compile(r"[-_]\d+.*$")


class ThreadTime(msgspec.Struct, frozen=True):
    """Processor time of all living threads of one name, without the numbers of a pool's threads."""

    name: str
    cpu_s: float


class ThreadReport(msgspec.Struct, frozen=True):
    """Processor times since the threads' start; ``number`` rises with each report of a process."""

    number: int
    threads: list[ThreadTime]


def read_threads() -> list[ThreadTime]:
    """Return the processor times of this process's threads, by name."""
    times: dict[str, float] = {}
    for thread in threading.enumerate():
        name = _NUMBER.sub("", thread.name)
        times[name] = times.get(name, 0.0) + _cpu_s(thread.native_id)
    return [ThreadTime(name, cpu_s) for name, cpu_s in sorted(times.items())]


def _cpu_s(native_id: int | None) -> float:
    """Return a thread's time on processors, 0 when it has ended; finer than ticks of 10 ms."""
    try:
        counts = Path(f"/proc/self/task/{native_id}/schedstat").read_text(encoding="ascii")
    except OSError:
        return 0.0
    return int(counts.split()[0]) / NANOSECONDS_PER_S


def main() -> None:
    """Run the gateway."""
    path = Path(sys.argv.pop(1))
    number = 0

    def report(_number: int, _frame: object) -> None:
        nonlocal number
        number += 1
        partial = path.with_suffix(".partial")
        partial.write_bytes(msgspec.json.encode(ThreadReport(number, read_threads())))
        partial.replace(path)

    signal.signal(signal.SIGUSR1, report)
    run_leverjunction()


if __name__ == "__main__":
    main()
