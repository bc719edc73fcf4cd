"""Child processes of a scale run: started, read and stopped by their ids."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import psutil

STOP_TIMEOUT_S = 15.0
POLL_S = 0.1
MAX_RESIDENT_BYTES = 12_000_000_000
"""Bound of a whole run: well under half of a developer's machine of 32 GB."""

MAX_PROCESSES = 190
"""Bound of a whole run: a developer's machine is shared."""


class ChildProcess:
    """One process that the run started."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self._log = log_path.open("wb")
        self._process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    @property
    def process_id(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Whether it is still alive."""
        return self._process.poll() is None

    def kill(self) -> None:
        """End it at once, as a machine failure would, and wait for the end."""
        self._process.kill()
        self._process.wait(STOP_TIMEOUT_S)

    def send_kill(self) -> None:
        """End it at once, without waiting."""
        self._process.kill()

    def freeze(self) -> None:
        """Let it stand still until :meth:`thaw`."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self._process.send_signal(signal.SIGCONT)

    def ask_to_stop(self) -> None:
        """Send SIGTERM."""
        if self.running:
            os.kill(self.process_id, signal.SIGTERM)

    def wait_or_kill(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Wait for it to end after :meth:`ask_to_stop`; kill it when it does not."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self._log.close()


def stop_all(children: list[ChildProcess]) -> None:
    """Stop processes together, and wait for each."""
    for child in children:
        child.ask_to_stop()
    for child in children:
        child.wait_or_kill()


def resident_bytes(children: list[ChildProcess]) -> int:
    """Return the resident memory of all of them together."""
    total = 0
    for child in children:
        try:
            total += psutil.Process(child.process_id).memory_info().rss
        except psutil.Error:
            continue
    return total


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Poll until ``condition`` holds; returns whether it did in time."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(POLL_S)
    return condition()
