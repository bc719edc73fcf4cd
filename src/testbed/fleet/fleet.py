"""A whole fleet of real processes, with faults; used by tests, demo and experiments."""

from __future__ import annotations

import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import urllib3

from testbed.engine.executions import Execution, read_executions
from testbed.engine.faults import AnswerFault
from testbed.engine.order_log import OrderRecord, read_orders
from testbed.fleet.machine_marks import MachineMarks
from testbed.fleet.network import ANY_PLACE, CLIENT_ZONE, CutRequest
from testbed.fleet.plan import FleetOptions, FleetPlan, FleetPlanner, PlannedProcess, ProcessKind
from testbed.fleet.process import FleetProcess
from testbed.fleet.traffic import Traffic
from testbed.scenarios import Scenario

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
DRAIN_TIMEOUT_S = 60.0
POLL_S = 0.05
CALL_TIMEOUT_S = 5.0
COMMAND_TIMEOUT_S = 60.0
APPLY_WAIT_S = "10"

_STOP_ORDER = (
    ProcessKind.GATEWAY,
    ProcessKind.CONTROL,
    ProcessKind.ENGINE,
    ProcessKind.MACHINE_LIST,
    ProcessKind.NETWORK,
)

_STANDING_STILL = (ProcessKind.GATEWAY, ProcessKind.CONTROL, ProcessKind.MACHINE_LIST)


class FleetError(Exception):
    """The fleet did not do what the launcher waited for; the message names logs to read."""


class Fleet:
    """A running fleet. Use as a context manager, or call ``start`` and ``stop``.

    Args:
        scenario: Deployment to run.
        options: Differences from the scenario.
        folder: Run folder; None makes a temporary one, which is removed when all went well.
    """

    def __init__(
        self,
        scenario: Scenario,
        options: FleetOptions | None = None,
        folder: Path | None = None,
    ) -> None:
        self.scenario = scenario
        self._is_folder_temporary = folder is None
        self.folder = folder or Path(tempfile.mkdtemp(prefix="leverjunction-fleet-"))
        self.plan: FleetPlan = FleetPlanner(
            scenario, options or FleetOptions(), self.folder
        ).write()
        self.http = urllib3.PoolManager(num_pools=64, maxsize=128, retries=False)
        self._processes = {p.name: FleetProcess(p) for p in self.plan.processes}
        self._cuts: set[tuple[str, str]] = set()
        self._frozen: set[str] = set()
        self._stopping: set[str] = set()
        address = self.plan.named("machines").address
        self._marks = MachineMarks(self.http, address, self.plan.machines)
        self._answer_faults: set[str] = set()

    def __enter__(self) -> Fleet:
        """Start the fleet; nothing is left running when that fails."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, kind: type[BaseException] | None, *_exc: object) -> None:
        """Stop the fleet; its files stay when something went wrong."""
        self.stop()
        if kind is None and self._is_folder_temporary:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self) -> None:
        """Start all processes, apply the settings and wait until gateways are ready."""
        for process in self._processes.values():
            process.start()
        for planned in self.plan.processes:
            if planned.kind is not ProcessKind.GATEWAY:
                self.wait_health(planned.name)
        self.apply_settings(self.scenario.settings_folder())
        for gateway in self.names(ProcessKind.GATEWAY):
            self.wait_ready(gateway)

    def stop(self) -> None:
        """End every process that was started, as planned first, then by SIGKILL."""
        for process in self._processes.values():
            process.signal(signal.SIGCONT)
        for kind in _STOP_ORDER:
            group = [p for p in self._processes.values() if p.plan.kind is kind]
            for process in group:
                process.signal(signal.SIGTERM)
            deadline_s = time.monotonic() + STOP_TIMEOUT_S
            for process in group:
                process.wait(max(deadline_s - time.monotonic(), 0.0))
                process.kill()
                process.close()
        self.http.clear()

    def names(self, kind: ProcessKind) -> list[str]:
        """Return the names of the processes of a kind."""
        return [process.name for process in self.plan.of_kind(kind)]

    def control_names(self) -> list[str]:
        """Return the names of the control processes."""
        return self.names(ProcessKind.CONTROL)

    def gateway_names(self) -> list[str]:
        """Return the names of the gateways."""
        return self.names(ProcessKind.GATEWAY)

    def process(self, name: str) -> FleetProcess:
        """Return a process by name.

        Raises:
            FleetError: There is none of that name.
        """
        if name not in self._processes:
            raise FleetError(f"no process {name!r}; there are {', '.join(self._processes)}")
        return self._processes[name]

    def planned(self, name: str) -> PlannedProcess:
        """Return the plan of a process by name."""
        return self.process(name).plan

    def kill(self, name: str) -> None:
        """SIGKILL a process."""
        self.process(name).kill()

    def freeze(self, name: str) -> None:
        """SIGSTOP a process: it lives, but does nothing and says nothing."""
        self.process(name).signal(signal.SIGSTOP)
        self._frozen.add(name)

    def thaw(self, name: str) -> None:
        """SIGCONT a frozen process."""
        self._frozen.discard(name)
        self.process(name).signal(signal.SIGCONT)

    @contextmanager
    def standing_still(self) -> Iterator[None]:
        """Stop the product and the machine list together, as a machine short of processor does.

        Engines and the network run on: what was sent before begins before the processes go on.
        """
        stopped = [
            name
            for kind in _STANDING_STILL
            for name in self.names(kind)
            if not self.is_struck(name)
        ]
        for name in stopped:
            self.freeze(name)
        try:
            yield
        finally:
            for name in stopped:
                self.thaw(name)

    def terminate(self, name: str) -> None:
        """SIGTERM a process: a planned stop."""
        self.process(name).signal(signal.SIGTERM)
        self._stopping.add(name)

    def restart(self, name: str) -> None:
        """Start a process again, after ending it if it runs, and wait until it is healthy."""
        self.begin_restart(name)
        self.wait_health(name)

    def begin_restart(self, name: str) -> None:
        """Start a process again, after ending it if it runs, without waiting for it."""
        self.process(name).kill()
        self.process(name).start()
        if self._marks.is_runner(name):
            self._marks.list_live(name)

    def wipe(self, name: str) -> None:
        """Lose a process's disk: kill it, empty its data folder and start it again."""
        self.process(name).kill()
        self.process(name).wipe()
        self.process(name).start()

    def cut(self, first: str, second: str = ANY_PLACE) -> None:
        """Cut all traffic between two places (zone or process names) in silence."""
        for place in (first, second):
            if place not in (*self._processes, *self.scenario.zones, CLIENT_ZONE, ANY_PLACE):
                raise FleetError(f"no zone or process {place!r}")
        self._cuts.add((first, second))
        self._set_cut(CutRequest(first=first, second=second, cut=True))

    def heal(self, first: str, second: str = ANY_PLACE) -> None:
        """Undo the ``cut`` with the same arguments."""
        self._cuts.discard((first, second))
        self._set_cut(CutRequest(first=first, second=second, cut=False))

    def is_struck(self, name: str) -> bool:
        """Return whether a process is down, frozen, or cut off from all others."""
        is_frozen = name in self._frozen
        return is_frozen or not self.process(name).is_running() or self.is_cut_off(name)

    def is_cut_off(self, name: str) -> bool:
        """Return whether a process, or its zone, is cut off from all others."""
        places = {name, self.planned(name).zone}
        return any(first in places and second == ANY_PLACE for first, second in self._cuts)

    def leave(self, runner: str) -> None:
        """Mark a runner as leaving in the machine list."""
        if not self._marks.is_runner(runner):
            raise FleetError(f"no runner {runner!r}; there are {', '.join(self.plan.machines)}")
        self._marks.leave(runner)

    def is_listed_leaving(self, runner: str) -> bool:
        """Return whether the machine list shows a runner as leaving, its lag being over."""
        return self._marks.is_listed_leaving(runner)

    def recover(self) -> None:
        """Undo every fault: heal cuts, thaw, start again what does not run, list all as live."""
        for first, second in list(self._cuts):
            self.heal(first, second)
        for name, process in self._processes.items():
            self.thaw(name)
            if name in self._stopping:
                self._stopping.discard(name)
                process.wait(DRAIN_TIMEOUT_S)
            if not process.is_running():
                self.restart(name)
        self._marks.recover()
        for runner in list(self._answer_faults):
            self._answer_faults.discard(runner)
            self.http.request("DELETE", self._faults_url(runner), timeout=CALL_TIMEOUT_S)
        for gateway in self.gateway_names():
            self.wait_ready(gateway)

    def add_answer_fault(self, runner: str, fault: AnswerFault) -> None:
        """Let the next answers of a runner go wrong."""
        self._answer_faults.add(runner)
        self._post(self._faults_url(runner), msgspec.json.encode(fault))

    def struck_faults(self, runner: str) -> int:
        """Return how many answers of a runner have gone wrong since its faults were cleared."""
        response = self.http.request("GET", self._faults_url(runner), timeout=CALL_TIMEOUT_S)
        return sum(msgspec.json.decode(response.data, type=dict[str, int]).values())

    def executions(self, prompt_part: str = "") -> list[Execution]:
        """Return what the engines ran, killed ones included, oldest first."""
        found: list[Execution] = []
        for process in self.plan.of_kind(ProcessKind.ENGINE):
            path = process.executions_file
            if path is not None and path.exists():
                found += [e for e in read_executions(path) if prompt_part in e.prompt]
        return sorted(found, key=lambda execution: execution.started_ms)

    def orders(self) -> list[OrderRecord]:
        """Return the orders that engines received, killed ones included, in order of arrival."""
        found: list[OrderRecord] = []
        for process in self.plan.of_kind(ProcessKind.ENGINE):
            path = process.orders_file
            if path is not None and path.exists():
                found += read_orders(path)
        return sorted(found, key=lambda record: record.received_ms)

    def operator_token(self) -> str:
        """Return the operators' bearer token."""
        return self.plan.operator_token_file.read_text(encoding="utf8").strip()

    def control_urls(self) -> list[str]:
        """Return the operators' URLs of the control processes."""
        return [f"http://{c.address}" for c in self.plan.of_kind(ProcessKind.CONTROL)]

    def gateway_urls(self) -> list[str]:
        """Return the callers' URLs of the gateways, through the network's fronts."""
        return [f"http://{g.address}" for g in self.plan.of_kind(ProcessKind.GATEWAY)]

    def online_traffic(self, label: str, model: str = "") -> Traffic:
        """Return callers through all gateways, by default of the online model; not started yet."""
        scenario = self.scenario
        asked = model or scenario.online_model()
        return Traffic(self.gateway_urls(), scenario.online_key, asked, label=label)

    def operator_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run an operators' command of the command line against this fleet."""
        command = [sys.executable, "-m", "leverjunction.cli", *arguments]
        command += ["--control", ",".join(c.removeprefix("http://") for c in self.control_urls())]
        command += ["--token_file", str(self.plan.operator_token_file)]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False
        )

    def apply_settings(self, folder: Path) -> None:
        """Apply a settings tree, again and again until control has a leader."""
        last = ""

        def applied() -> bool:
            nonlocal last
            arguments = ("settings", "apply", str(folder), "--wait", "--wait_s", APPLY_WAIT_S)
            result = self.operator_command(*arguments)
            last = result.stdout + result.stderr
            return result.returncode == 0

        self.wait_for(applied, "settings are in force", lambda: last)

    def wait_health(self, name: str) -> None:
        """Wait until a process answers ``/health`` with 200."""
        self._wait_status(name, "health")

    def wait_ready(self, name: str) -> None:
        """Wait until a process answers ``/ready`` with 200."""
        self._wait_status(name, "ready")

    def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        explain: Callable[[], str] = str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Wait until a condition holds.

        Raises:
            FleetError: It did not hold in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise FleetError(f"gave up waiting until {what}; {explain()} (logs: {self.folder})")
            time.sleep(POLL_S)

    def status_of(self, name: str, path: str) -> int:
        """Return the HTTP status that a process gives on a path; 0 when it does not answer."""
        url = f"http://{self.planned(name).direct_address}/{path}"
        try:
            return self.http.request("GET", url, timeout=1.0).status
        except urllib3.exceptions.HTTPError:
            return 0

    def _wait_status(self, name: str, path: str) -> None:
        def answered() -> bool:
            process = self.process(name)
            if not process.is_running():
                raise FleetError(
                    f"{name} ended with {process.exit_code}: {process.plan.log_file}\n"
                    f"{process.last_lines()}"
                )
            return self.status_of(name, path) == 200

        self.wait_for(answered, f"{name} answers /{path}")

    def _faults_url(self, runner: str) -> str:
        return f"http://{self.planned(runner).direct_address}/testbed/faults"

    def _set_cut(self, request: CutRequest) -> None:
        url = f"http://{self.planned('network').address}/cuts"
        self._post(url, msgspec.json.encode(request))

    def _post(self, url: str, body: bytes) -> None:
        headers = {"Content-Type": "application/json"}
        response = self.http.request(
            "POST", url, body=body, headers=headers, timeout=CALL_TIMEOUT_S
        )
        if response.status != 200:
            raise FleetError(f"{url} answered {response.status}: {response.data[:200]!r}")
