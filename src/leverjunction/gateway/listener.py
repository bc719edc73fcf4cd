"""The callers' listening socket and the connections that wait for a request, up to their end.

cheroot closes both at once when it stops. A caller whose connection the system had accepted, or
whose request had arrived on a kept connection, then saw a reset and could not know whether its
request had run. Here each of them still gets its answer, which is the refusal of a stop.
"""

from __future__ import annotations

import selectors
import socket
from typing import Any

from cheroot.connections import ConnectionManager

LISTEN_BACKLOG = 512
"""Connections that the system accepts for this process before the process does so itself."""


class DrainedConnections(ConnectionManager):
    """Hands all that has arrived to the workers before the listening socket is closed."""

    _selector: Any

    def stop(self) -> None:
        """End the loop that accepts, then take in what it has left."""
        super().stop()
        listener: socket.socket = self.server.socket
        # What waits is kept; of what comes now the system keeps one and drops the others' first
        # packet, so that a flood of callers cannot hold up the stop.
        listener.listen(0)
        self._accept_waiting(listener)
        # From here on connections are refused: a caller then knows that nothing ran.
        listener.close()
        self._serve_kept()

    def _accept_waiting(self, listener: socket.socket) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(listener, selectors.EVENT_READ)
            for _ in range(LISTEN_BACKLOG):
                if not selector.select(timeout=0):
                    return
                self._accept(listener)

    def _accept(self, listener: socket.socket) -> None:
        try:
            accepted, address = listener.accept()
        except OSError:
            # The caller went away while it waited.
            return
        accepted.settimeout(self.server.timeout)
        connection = self.server.ConnectionClass(self.server, accepted)
        connection.remote_addr, connection.remote_port = address[:2]
        self.server.process_conn(connection)

    def _serve_kept(self) -> None:
        """Hand over the kept connections on which a request has arrived."""
        for descriptor, connection in self._selector.select(timeout=0):
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
