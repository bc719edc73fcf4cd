"""Tells which store holds the other end of a loopback connection, from the kernel's tables."""

from __future__ import annotations

import os
import threading
from pathlib import Path

from machines import Machines

TABLE = Path("/proc/net/tcp")
ADDRESS_COLUMN = 1
INODE_COLUMN = 9
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
        self._new: list[int] = []
        self._known: dict[int, str] = {}
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._look, daemon=True)
        self._thread.start()

    def note(self, port: int) -> None:
        """Look up who connects from a local port, soon."""
        self._known.pop(port, None)
        self._new.append(port)

    def of(self, port: int) -> str:
        """Return the store that connected from a port, empty for any other process."""
        return self._known.get(port, "")

    def close(self) -> None:
        """Look no more."""
        self._ending.set()
        self._thread.join()

    def _look(self) -> None:
        while not self._ending.wait(LOOK_S):
            ports, self._new = self._new, []
            if not ports:
                continue
            inodes = _inodes()
            holders = self._holders()
            for port in ports:
                self._known[port] = holders.get(inodes.get(port, ""), "")

    def _holders(self) -> dict[str, str]:
        """Return the stores by the sockets that they hold."""
        found = {}
        for machine in self._machines.of("store"):
            process_id = machine.process_id
            for name in _open_files(process_id) if process_id else ():
                found[name.removeprefix("socket:[").removesuffix("]")] = machine.name
        return found


def _inodes() -> dict[int, str]:
    found = {}
    for line in TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        found[int(columns[ADDRESS_COLUMN].rpartition(":")[2], 16)] = columns[INODE_COLUMN]
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
