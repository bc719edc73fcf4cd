"""Starts a program whose threads take turns far more often: ``hurried.py START_FILE TURN_US ROLE``.

Between two steps that seem to be one, another thread then comes in often, as on a machine with
another number of cores or another load.
"""

from __future__ import annotations

import runpy
import sys

US_PER_S = 1_000_000

if __name__ == "__main__":
    start, turn_us = sys.argv[1], int(sys.argv[2])
    sys.setswitchinterval(turn_us / US_PER_S)
    sys.argv = [start, *sys.argv[3:]]
    runpy.run_path(start, run_name="__main__")
