"""One process of the fleet: start, stop, kill, freeze; its standard error goes to a file."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys

from testbed.fleet.plan import PlannedProcess, ProcessKind

_SUBCOMMANDS = {
    ProcessKind.CONTROL: ("leverjunction", "control"),
    ProcessKind.GATEWAY: ("leverjunction", "gateway"),
    ProcessKind.ENGINE: ("testbed", "engine"),
    ProcessKind.NETWORK: ("testbed", "network"),
    ProcessKind.MACHINE_LIST: ("testbed", "machines"),
}


LINES_TOLD = 8
"""Of the log of a process that ended before it was ready."""


class FleetProcess:
    """A process that the launcher starts and ends, by its own id only."""

    def __init__(self, plan: PlannedProcess) -> None:
        self.plan = plan
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the running process, 0 before it is started."""
        return self._process.pid if self._process else 0

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while it runs or before it is started."""
        return self._process.poll() if self._process else None

    def is_running(self) -> bool:
        """Return whether it runs (a frozen one does)."""
        return self._process is not None and self._process.poll() is None

    def last_lines(self, count: int = LINES_TOLD) -> str:
        """Return the last lines of its log."""
        text = self.plan.log_file.read_text(encoding="utf8", errors="replace")
        return "\n".join(text.splitlines()[-count:])

    def start(self) -> None:
        """Start it; its data folder is kept from an earlier run."""
        program, subcommand = _SUBCOMMANDS[self.plan.kind]
        command = [sys.executable, "-m", "testbed.fleet.machine", self.plan.ip, program]
        command += [subcommand, "--config", str(self.plan.config_file)]
        with self.plan.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """SIGKILL it and wait until it is gone."""
        self.signal(signal.SIGKILL)
        self.wait(None)

    def wait(self, timeout_s: float | None) -> int | None:
        """Wait for its end and return the exit code; None when it goes on running."""
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """Release the pipe that tells it that the launcher lives."""
        if self._process is not None and self._process.stdin is not None:
            self._process.stdin.close()

    def wipe(self) -> None:
        """Delete its data folder's files, as a lost disk does; it must not run."""
        shutil.rmtree(self.plan.data_folder, ignore_errors=True)
        self.plan.data_folder.mkdir(parents=True)
