"""Starts one role of leverjunction on the users' platform: ``start.py gateway|control|store``."""

from __future__ import annotations

import sys
from pathlib import Path

# The package's own folder must never be on the path: its platform/ would hide the standard
# library's module of that name.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from leverjunction.clock import LOADED_S
from leverjunction.platform.roles import exit_process, main

if __name__ == "__main__":
    exit_process(main(sys.argv[1:], LOADED_S))
