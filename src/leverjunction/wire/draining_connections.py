"""Graceful stop of the listening socket and of the idle keep-alive connections.

cheroot closes both at once when it stops. A caller whose connection was still in the accept
backlog, or whose request had just arrived on a keep-alive connection, then saw a reset and could
not know whether its request had run. Here each of them still gets a response.
"""

from __future__ import annotations

import selectors
import socket
from typing import Any

from cheroot.connections import ConnectionManager


class DrainingConnectionManager(ConnectionManager):
    """Connection manager that serves connections and requests that arrived before the stop."""

    _selector: Any

    def stop(self) -> None:
        """Stop the accept loop, then serve the waiting connections and requests."""
        super().stop()
        listener: socket.socket = self.server.socket
        # The backlog keeps the waiting connections. Of new ones the kernel queues a single one and
        # drops the SYN packets of the others, so that many new callers cannot delay the stop.
        listener.listen(0)
        self._accept_backlog(listener)
        # From here on connections are refused, which tells the caller that no request has run.
        listener.close()
        self._serve_keep_alive()

    def _accept_backlog(self, listener: socket.socket) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(listener, selectors.EVENT_READ)
            for _ in range(self.server.request_queue_size):
                if not selector.select(timeout=0):
                    return
                self._accept(listener)

    def _accept(self, listener: socket.socket) -> None:
        try:
            accepted, address = listener.accept()
        except OSError:
            # The caller disconnected while it waited in the backlog.
            return
        accepted.settimeout(self.server.timeout)
        connection = self.server.ConnectionClass(self.server, accepted)
        connection.remote_addr, connection.remote_port = address[:2]
        self.server.process_conn(connection)

    def _serve_keep_alive(self) -> None:
        """Pass keep-alive connections with a new request to the worker threads."""
        for descriptor, connection in self._selector.select(timeout=0):
            if connection is not self.server:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
