"""Opens a listening socket before the code that serves it has been loaded.

Load pattern: all gateways start at once after a loss of power, and callers connect at once. Loading
a gateway takes as long as many callers wait at all. A caller whose connection is refused has used
up an attempt; one whose connection waits in the socket's queue is answered once the gateway runs.

Imports nothing of the product, and nothing that takes long to load.
"""

from __future__ import annotations

import signal
import socket

BACKLOG = 1024

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that ask a process to stop."""


def open_listener(address: str) -> socket.socket:
    """Listen on ``host:port``; connections wait in the queue until the socket is served.

    Raises:
        OSError: The address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        # As servers of asyncio do: the port may still be held by closed connections.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


__all__ = ["BACKLOG", "STOP_SIGNALS", "open_listener"]
