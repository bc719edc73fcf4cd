"""Starts a program whose connections go by other addresses: ``routed.py ROUTES_FILE COMMAND...``.

The file maps each ``HOST:PORT`` that is reached by way of a relay to the relay's address.
"""

from __future__ import annotations

import json
import runpy
import socket
import sys
from pathlib import Path
from typing import Any


def route(routes: dict[str, str]) -> None:
    """Have connections to the keys of a table go to its values."""
    connect = socket.socket.connect

    def connect_by_relay(self: socket.socket, address: Any) -> None:
        if isinstance(address, tuple):
            relay = routes.get(f"{address[0]}:{address[1]}")
            if relay is not None:
                host, _, port = relay.rpartition(":")
                address = (host, int(port))
        connect(self, address)

    socket.socket.connect = connect_by_relay  # type: ignore[method-assign]


if __name__ == "__main__":
    route(json.loads(Path(sys.argv[1]).read_text()))
    sys.argv = sys.argv[2:]
    runpy.run_path(sys.argv[0], run_name="__main__")
