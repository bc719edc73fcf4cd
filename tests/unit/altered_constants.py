"""Starts a program with other constants, so that what takes a minute can be played in seconds.

``altered_constants.py START_FILE MODULE:NAME=VALUE... ROLE``
"""

from __future__ import annotations

import importlib
import runpy
import sys
from pathlib import Path


def alter(constant: str) -> None:
    """Set a constant, given as ``MODULE:NAME=VALUE``, there and where it was imported by name."""
    place, _, value = constant.partition("=")
    module, _, name = place.partition(":")
    known = getattr(importlib.import_module(module), name)
    for loaded in list(sys.modules.values()):
        if loaded.__name__.startswith("leverjunction.") and vars(loaded).get(name) is known:
            setattr(loaded, name, float(value))


if __name__ == "__main__":
    start, *constants, role = sys.argv[1:]
    sys.path.insert(0, str(Path(start).resolve().parent.parent / "src"))
    # Before all others, as the program itself does.
    importlib.import_module("leverjunction.clock")
    for item in constants:
        alter(item)
    sys.argv = [start, role]
    runpy.run_path(start, run_name="__main__")
