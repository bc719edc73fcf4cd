"""Stand-in of the platform's machine list: changes show only after a lag."""

from __future__ import annotations

import signal
import threading
import time
from pathlib import Path

import cherrypy
import msgspec
import yaml

from testbed.engine.process import serve

SERVER_THREADS = 12
_MS_PER_S = 1000


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """One listed machine, as ``docs/BACKENDS.md`` publishes it."""

    id: str
    address: str
    zone: str
    service: str
    state: str = "live"
    incarnation: int = 0


class MachineListing(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to ``GET /machines``."""

    as_of_ms: int
    machines: list[Machine]


class MachineListConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Settings file of the stand-in: address, lag of changes, machines at the start."""

    host: str
    port: int
    lag_s: float
    machines: list[Machine]


class MachineListApi:
    """``GET /machines`` for the product; ``POST`` and ``DELETE /machines/ID`` for tests."""

    def __init__(self, config: MachineListConfig) -> None:
        self._lag_s = config.lag_s
        self._lock = threading.Lock()
        self._visible = {machine.id: machine for machine in config.machines}
        self._pending: list[tuple[float, str, Machine | None]] = []

    @cherrypy.expose
    def machines(self, machine_id: str = "") -> bytes:
        """List the machines (GET), or change one after the lag (POST, DELETE)."""
        method = cherrypy.request.method
        if method == "POST":
            machine = msgspec.json.decode(cherrypy.request.body.fp.read(), type=Machine)
            self._change(machine_id, machine)
        elif method == "DELETE":
            self._change(machine_id, None)
        return self._list()

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer 200."""
        return b"{}"

    def _change(self, machine_id: str, machine: Machine | None) -> None:
        with self._lock:
            self._pending.append((time.monotonic() + self._lag_s, machine_id, machine))

    def _list(self) -> bytes:
        with self._lock:
            self._show_due()
            machines = list(self._visible.values())
        as_of_ms = int(time.time() * _MS_PER_S)
        return msgspec.json.encode(MachineListing(as_of_ms=as_of_ms, machines=machines))

    def _show_due(self) -> None:
        now_s = time.monotonic()
        due = [change for change in self._pending if change[0] <= now_s]
        self._pending = [change for change in self._pending if change[0] > now_s]
        for _, machine_id, machine in due:
            if machine is None:
                self._visible.pop(machine_id, None)
            else:
                self._visible[machine_id] = machine


def run_file(path: Path) -> int:
    """Serve as a settings file says, until SIGTERM or SIGINT."""
    document = yaml.safe_load(path.read_text(encoding="utf8"))
    config = msgspec.convert(document, MachineListConfig)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    serve(MachineListApi(config), config.host, config.port, SERVER_THREADS)
    stopping.wait()
    cherrypy.engine.exit()
    return 0
