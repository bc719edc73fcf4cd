"""Runs a program as if on a machine of its own: its connections come from its own IP number.

``python -m testbed.fleet.machine IP PROGRAM ARGUMENTS...``, PROGRAM being ``leverjunction`` or
``testbed``. The program itself is unchanged. It ends when the launcher does: its standard input
is a pipe that only the launcher holds open.
"""

from __future__ import annotations

import importlib
import os
import signal
import sys
import threading

import urllib3.util.connection as urllib3_connection

PROGRAMS = {"leverjunction": "leverjunction.cli", "testbed": "testbed.cli"}


def main() -> None:
    """Set the source address and the watch on the launcher, then run the program."""
    own_ip, program, *arguments = sys.argv[1:]
    _connect_from(own_ip)
    threading.Thread(target=_end_with_launcher, name="launcher-watch", daemon=True).start()
    sys.argv = [program, *arguments]
    importlib.import_module(PROGRAMS[program]).main()


def _connect_from(own_ip: str) -> None:
    create_connection = urllib3_connection.create_connection

    def from_own_ip(address, timeout=None, source_address=None, socket_options=None):  # type: ignore[no-untyped-def]
        source = source_address or (own_ip, 0)
        return create_connection(address, timeout, source, socket_options)

    urllib3_connection.create_connection = from_own_ip


def _end_with_launcher() -> None:
    while os.read(0, 1):
        pass
    os.kill(os.getpid(), signal.SIGKILL)


if __name__ == "__main__":
    main()
