"""Threads that do one thing again and again until they are stopped."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from loguru import logger

JOIN_TIMEOUT_S = 5.0
WOKEN_PAUSE_S = 0.2
"""Between being woken and the run: gathers what happens at the same time."""


class PeriodicTask:
    """Runs a function every ``interval_s`` in a thread of its own.

    A fault in one run is logged when it first appears and when it is over; it never ends the loop,
    since everything that a control process does in the background has to go on.
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
        """Start the loop; the first run is at once."""
        self._thread.start()

    def request_stop(self) -> None:
        """Begin no further run."""
        self._stopped.set()
        self._woken.set()

    def wake(self) -> None:
        """Run soon instead of after the interval; what is woken for meanwhile is one run."""
        self._woken.set()

    def stop(self) -> None:
        """Stop after the run in progress and wait for it."""
        self.request_stop()
        if self._thread.is_alive():
            self._thread.join(JOIN_TIMEOUT_S)

    def _loop(self) -> None:
        while not self._stopped.is_set():
            self._run_once()
            if self._woken.wait(self._interval_s):
                self._stopped.wait(WOKEN_PAUSE_S)
                self._woken.clear()

    def _run_once(self) -> None:
        try:
            self._run()
        except Exception:
            if not self._failing:
                logger.exception("task {} fails", self._name)
            self._failing = True
            return
        if self._failing:
            logger.info("task {} works again", self._name)
        self._failing = False


def stop_all(tasks: Iterable[PeriodicTask]) -> None:
    """Stop tasks together: the runs in progress end side by side, not one after another."""
    stopping = list(tasks)
    for task in stopping:
        task.request_stop()
    for task in stopping:
        task.stop()
