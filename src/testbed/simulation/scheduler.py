"""Virtual time: a thin layer over SimPy that runs callbacks at simulated moments."""

from __future__ import annotations

from collections.abc import Callable

import simpy

Callback = Callable[[], None]

WALL_EPOCH_MS = 1_800_000_000_000
"""Wall-clock time at the start of every run, in milliseconds since the Unix epoch."""


class Scheduler:
    """Runs callbacks in the order of virtual time; ties run in the order of scheduling."""

    def __init__(self) -> None:
        self._environment = simpy.Environment()

    @property
    def now_s(self) -> float:
        """Return virtual seconds since the start of the run."""
        return float(self._environment.now)

    def after(self, delay_s: float, callback: Callback) -> None:
        """Run ``callback`` once, ``delay_s`` virtual seconds from now."""
        timeout = simpy.Timeout(self._environment, max(0.0, delay_s))
        assert timeout.callbacks is not None
        timeout.callbacks.append(lambda _event: callback())

    def run_until(self, moment_s: float) -> None:
        """Run everything that is due up to ``moment_s``."""
        self._environment.run(until=moment_s)
