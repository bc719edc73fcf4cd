"""Tells which store holds the other end of a loopback connection, from the kernel's tables."""

from __future__ import annotations

import os
import threading
from pathlib import Path

from machines import Machines

Ends = tuple[int, int]
"""Ports of the process that made a connection and of the one that took it."""

TABLE = Path("/proc/net/tcp")
NEAR_COLUMN = 1
INODE_COLUMN = 9
LOOKS = 5
"""The kernel's tables are no picture of one moment: connections that come and go hide others."""

LOOK_S = 0.05
"""Pause between two looks: the tables are read once for all connections that are new."""


class Owners:
    """Looks in a thread of its own, as no relay may wait for it; asked by any thread.

    Args:
        machines: Whose stores are looked for.
    """

    __slots__ = ("_ending", "_known", "_machines", "_new", "_thread")

    def __init__(self, machines: Machines) -> None:
        self._machines = machines
        self._new: list[tuple[Ends, int]] = []
        self._known: dict[Ends, str] = {}
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._look, daemon=True)
        self._thread.start()

    def note(self, ends: Ends) -> None:
        """Look up who made a connection, soon."""
        self._known.pop(ends, None)
        self._new.append((ends, LOOKS))

    def of(self, ends: Ends) -> str:
        """Return the store that made a connection, empty for any other process."""
        return self._known.get(ends, "")

    def close(self) -> None:
        """Look no more."""
        self._ending.set()
        self._thread.join()

    def _look(self) -> None:
        while not self._ending.wait(LOOK_S):
            new, self._new = self._new, []
            if not new:
                continue
            inodes = _inodes()
            holders = self._holders()
            for ends, looks in new:
                self._known[ends] = holders.get(inodes.get(ends, ""), "")
                if not self._known[ends] and looks > 1:
                    self._new.append((ends, looks - 1))

    def _holders(self) -> dict[str, str]:
        """Return the stores by the sockets that they hold."""
        found = {}
        for machine in self._machines.of("store"):
            process_id = machine.process_id
            for name in _open_files(process_id) if process_id else ():
                found[name.removeprefix("socket:[").removesuffix("]")] = machine.name
        return found


def _inodes() -> dict[Ends, str]:
    found = {}
    for line in TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        near, far = (column.rpartition(":")[2] for column in columns[NEAR_COLUMN : NEAR_COLUMN + 2])
        found[int(near, 16), int(far, 16)] = columns[INODE_COLUMN]
    return found


def _open_files(process_id: int) -> list[str]:
    folder = Path(f"/proc/{process_id}/fd")
    found = []
    try:
        for name in os.listdir(folder):
            try:
                found.append(os.readlink(folder / name))
            except OSError:
                continue
    except OSError:
        return []
    return [name for name in found if name.startswith("socket:")]
