"""Starts a small deployment of the product's own programs on loopback addresses.

The programs are those of ``deploy/system.toml``. Each gets the settings that its template renders,
with the bounds of the site ``ktl-dar``, and an address of its own.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("kariakoo", "msasani", "ubungo")
BOUNDS = {
    "quota_overshoot": 0.1,
    "stop_grace_s": 8,
    "drain_ms": 2000,
    "status_s": 120,
    "in_force_ms": 2000,
}
STOP_TIMEOUT_S = 10.0
CANNOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be run."""


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def free_net() -> str:
    """Return the first three numbers of a loopback net, another one for each process id."""
    return f"127.{60 + os.getpid() % 150}.{(os.getpid() // 150) % 250}"


class Process:
    """One process of a role, with its settings, disk and log."""

    def __init__(self, folder: Path, role: str, number: int, settings: dict[str, object]) -> None:
        self.name = f"{role}-{number}"
        self.role = role
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self.settings = settings
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process."""
        path = self.folder / "settings.yaml"
        path.write_text(json.dumps({**self.settings, "first_start": self.starts == 0}))
        kept = ("PATH", "HOME", "LANG", "PYENV_VERSION")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LEVERJUNCTION_SETTINGS"] = str(path)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "deploy/start.py", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.starts += 1

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is there."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also a stopped one, and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait(STOP_TIMEOUT_S)

    def log(self) -> str:
        """Return what the process has written."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""


class Fleet:
    """All processes of a deployment; ``with`` ends them and removes their files."""

    def __init__(self, controls: int = 3, stores: int = 3, gateways: int = 2) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        net = free_net()
        hosts = [f"{net}.{number + 1}" for number in range(controls + stores + gateways)]
        self._rpc_port = free_port(hosts[0])
        self.seeds = [f"{host}:{free_port(host)}" for host in hosts[:controls]]
        self.callers: list[str] = []
        self.ready: list[str] = []
        self.processes: list[Process] = []
        roles = ["control"] * controls + ["store"] * stores + ["gateway"] * gateways
        for number, (role, host) in enumerate(zip(roles, hosts, strict=True)):
            listen = {"rpc": f"{host}:{self._rpc_port}"}
            settings: dict[str, object] = {
                "name": f"{role}-{number}",
                "zone": ZONES[number % len(ZONES)],
                "seeds": self.seeds,
                "rpc_seed_port": self._rpc_port,
                "losses": 1,
                "memory_mb": 300,
                "bounds": BOUNDS,
                "listen": listen,
            }
            if role == "control":
                listen["control"] = self.seeds[number]
            elif role == "gateway":
                listen["callers"] = f"{host}:{free_port(host)}"
                listen["ready"] = f"{host}:{free_port(host)}"
                self.callers.append(listen["callers"])
                self.ready.append(listen["ready"])
            process = Process(self.folder, role, number, settings)
            if role != "gateway":
                data = process.folder / "data"
                data.mkdir()
                settings["data_folder"] = str(data)
            self.processes.append(process)

    def __enter__(self) -> Fleet:
        # A case that is asked to end still ends what it started.
        signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(CANNOT_RUN))
        try:
            for process in self.processes:
                process.start()
        except OSError as error:
            self.__exit__()
            raise CannotRunError(f"a process could not be started: {error}") from error
        return self

    def __exit__(self, *_error: object) -> None:
        for process in self.processes:
            process.kill()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            for process in self.processes:
                Path(keep).mkdir(parents=True, exist_ok=True)
                (Path(keep) / process.name).write_text(process.log())
        shutil.rmtree(self.folder, ignore_errors=True)

    def of(self, role: str) -> list[Process]:
        """Return the processes of a role."""
        return [process for process in self.processes if process.role == role]


class Record:
    """Writes what was sent, answered and run into ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.time()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.time() - self._began_s:8.3f} {text}\n")
        self._file.flush()


def has_trouble() -> bool:
    """Return whether the disruption takes place; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def cannot_run(reason: object) -> int:
    """Report why a case could not be run; return the exit status for that."""
    print(f"the case could not run: {reason}", file=sys.stderr)
    return CANNOT_RUN
