"""Starts a program in altered surroundings: ``altered.py START_FILE TURN_US SYNCS ROLE``.

Its threads take turns far more often: between two steps that seem to be one, another thread then
comes in often, as on a machine with another number of cores or another load. And each sync of a
store takes longer, in a way that `disks` tells. 0 leaves either as it is.
"""

from __future__ import annotations

import json
import os
import runpy
import sys
from pathlib import Path

from disks import SHARED, SlowDisk

US_PER_S = 1_000_000
UNCHANGED = "0"


def _slow_syncs(start: str, disk: SlowDisk) -> None:
    """Have each commit of a replica's file take longer."""
    sys.path.insert(0, str(Path(start).resolve().parent.parent / "src"))
    from leverjunction import clock  # noqa: F401  (before all others, as the program itself does)
    from leverjunction.consensus.store import Store

    commit = Store.commit

    def slow(store: Store) -> None:
        if store.connection.in_transaction:
            disk.flush()
        commit(store)

    Store.commit = slow  # type: ignore[method-assign]


def _name() -> str:
    return str(json.loads(Path(os.environ["LEVERJUNCTION_SETTINGS"]).read_text())["name"])


if __name__ == "__main__":
    start, turn_us, syncs, role = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]
    if turn_us:
        sys.setswitchinterval(turn_us / US_PER_S)
    # Where replicas share a disk, those of the registry are among them.
    if syncs != UNCHANGED and (role == "store" or (role == "control" and syncs.startswith(SHARED))):
        _slow_syncs(start, SlowDisk(syncs, _name()))
    sys.argv = [start, role]
    runpy.run_path(start, run_name="__main__")
