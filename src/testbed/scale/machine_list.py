"""The stand-in for the platform's machine list of a scale run."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from cheroot import wsgi

SERVER_THREADS = 8


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """One machine as the platform lists it."""

    id: str
    address: str
    zone: str
    service: str
    state: str = "live"
    incarnation: int = 1


class MachineList:
    """Serves the machine list by HTTP on a free port; counts its own answers."""

    def __init__(self, machines: list[Machine]) -> None:
        self.polls = 0
        self.sent_bytes = 0
        self._machines = msgspec.json.encode(machines)
        self._lock = threading.Lock()
        self._server = wsgi.Server(("127.0.0.1", 0), self._serve, numthreads=SERVER_THREADS)
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    @property
    def url(self) -> str:
        """Where control processes find the list."""
        host, port = self._server.bind_addr[:2]
        return f"http://{host}:{port}/machines"

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _serve(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        now_ms = time.time_ns() // 1_000_000
        body = b'{"as_of_ms":%d,"machines":%s}' % (now_ms, self._machines)
        with self._lock:
            self.polls += 1
            self.sent_bytes += len(body)
        start(
            "200 OK",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [body]
