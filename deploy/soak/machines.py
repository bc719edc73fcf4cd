"""The programs of a deployment as real processes, each at a loopback address of its own."""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from links import Links
from nets import Net

ROOT = Path(__file__).resolve().parent.parent.parent
BROKEN = Path(__file__).resolve().parent / "broken.py"
ALTERED = Path(__file__).resolve().parent / "altered.py"
RPC_PORT = 19100
CONTROL_PORT = 19101
CALLERS_PORT = 19102
READY_PORT = 19103
FIGURES_PORT = 19104
STOP_TIMEOUT_S = 12.0
ZONES = 3
MACHINES = 11
CONTROLS = 3
MANY_CONTROLS = 5
MANY_MACHINES = 30
"""From so many machines on there are more control processes."""

LEAST_STORES = 4
LOSSES = 1
STORES_SHARE = 0.2


class Sizes:
    """How many processes of each role a deployment has.

    Args:
        machines: All of them together.
        losses: Disks that may be lost at the same time; there is one store more than these need.
    """

    __slots__ = ("control", "gateway", "losses", "store")

    def __init__(self, machines: int = MACHINES, losses: int = LOSSES) -> None:
        self.losses = losses
        least = MANY_CONTROLS if machines >= MANY_MACHINES else CONTROLS
        self.control = max(least, 2 * losses + 1)
        self.store = max(LEAST_STORES, round(machines * STORES_SHARE), 2 * losses + 2)
        self.gateway = max(2, machines - self.control - self.store)


class Programs:
    """What is started.

    Args:
        tree: Work tree whose programs are started; this one's if empty.
        rule: Rule that the programs break on purpose, empty for none.
        turn_us: Longest turn of a thread while others wait, in microseconds; 0 for the usual one.
        syncs: How much longer each sync of a store takes, as `disks` tells it; empty for the usual
            time.
    """

    __slots__ = ("_caches", "command")

    def __init__(self, tree: str = "", rule: str = "", turn_us: int = 0, syncs: str = "") -> None:
        own = not tree or Path(tree).resolve() == ROOT
        start = (ROOT if own else Path(tree).resolve()) / "deploy" / "start.py"
        words = [str(start)]
        if rule:
            words = [str(BROKEN), rule]
        elif turn_us or syncs:
            words = [str(ALTERED), str(start), str(turn_us), syncs or "0"]
        self.command = [sys.executable, *words]
        self._caches = "" if own else str(Path(tempfile.gettempdir()) / f"soak-{os.getuid()}-pyc")

    def environment(self, settings: Path) -> dict[str, str]:
        """Return the variables of a process; nothing is written into another work tree."""
        variables = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
        if self._caches:
            variables["PYTHONPYCACHEPREFIX"] = self._caches
        return {**variables, "LEVERJUNCTION_SETTINGS": str(settings)}


class Machine:
    """One process and its disk; strikes of several threads may overlap at it.

    Attributes:
        name: Its name.
        role: ``control``, ``store`` or ``gateway``.
        host: Its address.
        starts: How often it was started.
        ended_by_itself: Exit statuses of lives that nobody ended.
        disk_since_s: When its disk was new.
        disturbed_s: When it was last struck or came back.
        links: Its connections to other machines if it can be cut off, else None.
    """

    __slots__ = (
        "_folder",
        "_lock",
        "_losses",
        "_number",
        "_paused",
        "_process",
        "_programs",
        "_seeds",
        "_wanted",
        "disk_since_s",
        "disturbed_s",
        "ended_by_itself",
        "host",
        "links",
        "name",
        "role",
        "starts",
    )

    def __init__(
        self,
        folder: Path,
        role: str,
        number: int,
        host: str,
        seeds: list[str],
        programs: Programs,
        losses: int = LOSSES,
    ) -> None:
        self.name = f"{role}-{number}"
        self._losses = losses
        self.disk_since_s = 0.0
        self._number = number
        self._folder = folder / self.name
        self._process: subprocess.Popen[bytes] | None = None
        self._paused = False
        self._wanted = False
        self._lock = threading.RLock()
        self._seeds = seeds
        self._programs = programs
        self.role = role
        self.host = host
        self.starts = 0
        self.ended_by_itself: list[int] = []
        self.disturbed_s = 0.0
        self.links: Links | None = None

    @property
    def has_disk(self) -> bool:
        """Whether it keeps state."""
        return self.role != "gateway"

    @property
    def runs(self) -> bool:
        """Whether its process is there and not paused."""
        return self._process is not None and self._process.poll() is None and not self._paused

    @property
    def process_id(self) -> int:
        """Return the id of its process, 0 if there is none."""
        process = self._process
        return process.pid if process is not None and process.poll() is None else 0

    def start(self) -> None:
        """Start its process unless it is there."""
        with self._lock:
            if self._process is not None and self._process.poll() is None:
                return
            self._folder.mkdir(parents=True, exist_ok=True)
            path = self._folder / "settings.yaml"
            path.write_text(json.dumps(self._settings()))
            command = self._programs.command
            if self.links is not None:
                command = self.links.command(command)
            with (self._folder / "log").open("ab") as log:
                self._process = subprocess.Popen(
                    [*command, self.role],
                    env=self._programs.environment(path),
                    stdout=log,
                    stderr=log,
                )
            self.starts += 1
            self._wanted = True
            self._paused = False
            self.disturbed_s = time.monotonic()

    def kill(self) -> None:
        """End the process at once; its disk stays."""
        with self._lock:
            self._wanted = False
            self.disturbed_s = time.monotonic()
            if self._process is not None:
                self._process.kill()
                self._process.wait()
            self._paused = False

    def stop(self, grace_s: float = STOP_TIMEOUT_S) -> int | None:
        """End the process as planned; return its exit status, None if it didn't end in time.

        Args:
            grace_s: Time after which it is killed, in seconds.
        """
        with self._lock:
            process = self._process
            self._wanted = False
            self.disturbed_s = time.monotonic()
            if process is None:
                return None
            self.go_on()
            process.send_signal(signal.SIGTERM)
        try:
            return process.wait(grace_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def signal(self, number: signal.Signals) -> None:
        """Send its process a signal, if it is there."""
        with self._lock:
            if self._process is not None and self._process.poll() is None:
                self._process.send_signal(number)

    def pause(self) -> None:
        """Let it stand still."""
        with self._lock:
            if self.runs and self._process is not None:
                self.disturbed_s = time.monotonic()
                self._process.send_signal(signal.SIGSTOP)
                self._paused = True

    def go_on(self) -> None:
        """Wake it."""
        with self._lock:
            if self._paused and self._process is not None:
                self.disturbed_s = time.monotonic()
                self._process.send_signal(signal.SIGCONT)
                self._paused = False

    def cut_off(self, *, is_held: bool) -> None:
        """Cut it off from the other machines, not from callers and runners.

        Args:
            is_held: What is sent meanwhile comes after ``join``; otherwise it is lost.
        """
        assert self.links is not None
        self.disturbed_s = time.monotonic()
        if is_held:
            self.links.hold()
        else:
            self.links.fall_silent()

    def join(self) -> None:
        """Connect it with the other machines again."""
        if self.links is not None and self.links.is_cut:
            self.disturbed_s = time.monotonic()
            self.links.heal()

    def revive(self) -> None:
        """Start it again if it has ended by itself, as the platform does."""
        with self._lock:
            if self._wanted and self._process is not None:
                status = self._process.poll()
                if status is not None:
                    self.ended_by_itself.append(status)
                    self.start()

    def wipe(self) -> None:
        """Lose the disk; the log is kept."""
        shutil.rmtree(self._folder / "data", ignore_errors=True)
        self.disk_since_s = time.monotonic()

    def disk_bytes(self) -> int:
        """Return how much its disk holds."""
        total = 0
        for path in (self._folder / "data").rglob("*"):
            with contextlib.suppress(OSError):
                total += path.stat().st_size
        return total

    def answers(self) -> bool:
        """Return whether its process listens."""
        port = RPC_PORT if self.has_disk else READY_PORT
        try:
            socket.create_connection((self.host, port), 1.0).close()
        except OSError:
            return False
        return True

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / "log").read_text(errors="replace")

    def _settings(self) -> dict[str, object]:
        listen = {"rpc": f"{self.host}:{RPC_PORT}"}
        if self.role == "control":
            listen["control"] = f"{self.host}:{CONTROL_PORT}"
        if self.role == "gateway":
            listen["callers"] = f"{self.host}:{CALLERS_PORT}"
            listen["ready"] = f"{self.host}:{READY_PORT}"
        settings: dict[str, object] = {
            "name": self.name,
            "zone": f"z{1 + (self._number - 1) % ZONES}",
            "seeds": self._seeds,
            "rpc_seed_port": RPC_PORT,
            "first_start": self.starts == 0,
            "losses": self._losses,
            "listen": listen,
        }
        if self.has_disk:
            data = self._folder / "data"
            data.mkdir(exist_ok=True)
            settings["data_folder"] = str(data)
            settings["metrics_port"] = FIGURES_PORT
        return settings


class Machines:
    """All machines of a deployment.

    Attributes:
        losses: Disks that may be lost at the same time.

    Args:
        folder: Where they keep settings, disks and logs.
        programs: What they start.
        sizes: How many of each role there are.
        separable: Gateways that can be cut off from the other machines.
    """

    def __init__(self, folder: Path, programs: Programs, sizes: Sizes, separable: int = 0) -> None:
        self._net = Net(RPC_PORT)
        self.losses = sizes.losses
        seeds = [f"{self._net.host(number)}:{CONTROL_PORT}" for number in range(sizes.control)]
        self.all: list[Machine] = []
        for role in ("control", "store", "gateway"):
            for number in range(1, getattr(sizes, role) + 1):
                host = self._net.host(len(self.all))
                machine = Machine(folder, role, number, host, seeds, programs, sizes.losses)
                self.all.append(machine)
        peers = [f"{machine.host}:{RPC_PORT}" for machine in self.with_disks()]
        for gateway in self.of("gateway")[:separable]:
            gateway.links = Links(folder / gateway.name / "links", peers)

    def of(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.all if machine.role == role]

    def separable(self) -> list[Machine]:
        """Return the gateways that can be cut off from the other machines."""
        return [machine for machine in self.of("gateway") if machine.links is not None]

    def with_disks(self) -> list[Machine]:
        """Return the machines that keep state."""
        return [machine for machine in self.all if machine.has_disk]

    def start(self) -> None:
        """Start all that are not there."""
        for machine in self.all:
            machine.start()

    def heal(self) -> None:
        """Wake and start all."""
        for machine in self.all:
            machine.join()
            machine.go_on()
            machine.start()

    def revive(self) -> None:
        """Start again what has ended by itself."""
        for machine in self.all:
            machine.revive()

    def are_up(self) -> bool:
        """Return whether all processes listen."""
        return all(machine.answers() for machine in self.all)

    def kill(self) -> None:
        """End all that were started here."""
        for machine in self.all:
            machine.kill()
            if machine.links is not None:
                machine.links.close()
