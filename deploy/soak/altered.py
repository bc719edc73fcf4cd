"""Starts a program in altered surroundings: ``altered.py START_FILE TURN_US SYNC_MS ROLE``.

Its threads take turns far more often: between two steps that seem to be one, another thread then
comes in often, as on a machine with another number of cores or another load. And each sync of a
store takes so much longer, as on a disk that many processes share. 0 leaves either as it is.
"""

from __future__ import annotations

import runpy
import sys
import time
from pathlib import Path

US_PER_S = 1_000_000
MS_PER_S = 1_000


def _slow_syncs(start: str, sync_ms: int) -> None:
    """Have each commit of a replica's file take longer."""
    sys.path.insert(0, str(Path(start).resolve().parent.parent / "src"))
    from leverjunction import clock  # noqa: F401  (before all others, as the program itself does)
    from leverjunction.consensus.store import Store

    commit = Store.commit

    def slow(store: Store) -> None:
        if store.connection.in_transaction:
            time.sleep(sync_ms / MS_PER_S)
        commit(store)

    Store.commit = slow  # type: ignore[method-assign]


if __name__ == "__main__":
    start, turn_us, sync_ms, role = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4]
    if turn_us:
        sys.setswitchinterval(turn_us / US_PER_S)
    if sync_ms and role == "store":
        _slow_syncs(start, sync_ms)
    sys.argv = [start, role]
    runpy.run_path(start, run_name="__main__")
