"""Loopback nets: one for each soak that runs on this machine, whatever their process ids."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from pathlib import Path

FIRST_NET = 20
NETS = 200
HOSTS_A_PART = 250
TOP_PART = 252
"""Addresses are 127.NET.PART.HOST; parts are counted downwards from this one."""


class Net:
    """A net that no other soak uses while this process lives.

    Args:
        port: A port that must be free at its first address.
    """

    __slots__ = ("_lock", "number")

    def __init__(self, port: int) -> None:
        for step in range(NETS):
            self.number = FIRST_NET + (os.getpid() + step) % NETS
            path = Path(tempfile.gettempdir()) / f"soak-net-{os.getuid()}-{self.number}"
            self._lock = path.open("w")
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                self._lock.close()
                continue
            if self._is_free(port):
                return
            self._lock.close()
        raise OSError("no loopback net is free")

    def host(self, index: int) -> str:
        """Return the address of a machine; indices begin with 0."""
        part, host = divmod(index, HOSTS_A_PART)
        return f"127.{self.number}.{TOP_PART - part}.{host + 1}"

    def _is_free(self, port: int) -> bool:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((self.host(0), port))
            except OSError:
                return False
        return True
