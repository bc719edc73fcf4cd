"""Background threads that run a function periodically."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from loguru import logger

JOIN_TIMEOUT_S = 5.0
WAKE_DELAY_S = 0.2
"""Delay between ``wake`` and the run, so that one run serves several wake-ups."""


class PeriodicTask:
    """Runs a function in its own thread, with a pause of ``interval_s`` between runs.

    An exception never ends the loop, since the background tasks of a process have to continue.
    The first of a row of failures is logged, and so is the next successful run.
    """

    def __init__(self, name: str, interval_s: float, run: Callable[[], None]) -> None:
        self._name = name
        self._interval_s = interval_s
        self._run = run
        self._stopped = threading.Event()
        self._woken = threading.Event()
        self._failing = False
        self._thread = threading.Thread(target=self._loop, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first run is immediate."""
        self._thread.start()

    def request_stop(self) -> None:
        """Prevent further runs, without waiting for the one in progress."""
        self._stopped.set()
        self._woken.set()

    def wake(self) -> None:
        """Run soon instead of after the interval. Calls before that run cause no further runs."""
        self._woken.set()

    def stop(self) -> None:
        """Prevent further runs and wait for the one in progress, at most ``JOIN_TIMEOUT_S``."""
        self.request_stop()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)

    def _loop(self) -> None:
        while not self._stopped.is_set():
            self._run_once()
            if self._woken.wait(self._interval_s):
                self._stopped.wait(WAKE_DELAY_S)
                self._woken.clear()

    def _run_once(self) -> None:
        try:
            self._run()
        except Exception:
            if not self._failing:
                logger.exception("task {} failed", self._name)
            self._failing = True
            return
        if self._failing:
            logger.info("task {} recovered", self._name)
        self._failing = False


def stop_all(tasks: Iterable[PeriodicTask]) -> None:
    """Stop all tasks, waiting for their runs in progress in parallel."""
    stopping = list(tasks)
    for task in stopping:
        task.request_stop()
    for task in stopping:
        task.stop()
