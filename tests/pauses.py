"""Pauses of the interpreter on purpose (``--pauses SEED``).

A machine that is short of processor stops a whole process for a while. A thread that holds the
interpreter's lock does the same to all other threads, at drawn moments: a test or a decision of
the product that takes its own pause for the silence of others then shows it.
"""

from __future__ import annotations

import ctypes
import random
import threading
import time

SHORTEST_S = 0.2
LONGEST_S = 2.0
MEAN_BETWEEN_S = 1.5
US_IN_S = 1_000_000


class Pauses:
    """Holds the interpreter's lock for 0.2 to 2 s at drawn moments, until the process ends."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        # Unlike CDLL, PyDLL keeps the interpreter's lock during a call.
        self._hold = ctypes.PyDLL(None).usleep
        threading.Thread(target=self._run, name="pauses", daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(self._random.expovariate(1 / MEAN_BETWEEN_S))
            self._hold(int(self._random.uniform(SHORTEST_S, LONGEST_S) * US_IN_S))
