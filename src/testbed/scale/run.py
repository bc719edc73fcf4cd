"""One scale run: start the fleet, bring it into step, measure a window, stop it."""

from __future__ import annotations

import random as random_module
import subprocess
import threading
import time
from pathlib import Path

import msgspec
from loguru import logger

from leverjunction.clock import SystemClock
from leverjunction.wire.control_client import ControlClient
from leverjunction.wire.rpc_client import RpcClient
from testbed.scale.cluster import is_listening
from testbed.scale.figures import change_result, gateway_side
from testbed.scale.fleet import Fleet
from testbed.scale.operators import ChangeTime, Operator, ScaleError, submit_job
from testbed.scale.options import ScaleOptions
from testbed.scale.processes import ChildProcess, wait_until
from testbed.scale.resources import (
    Reading,
    SocketCount,
    ThreadUsage,
    Usage,
    folder_bytes,
    load_average,
    read_process,
    read_sockets,
    threads_between,
    usage_between,
    wire_bytes_per_s,
)
from testbed.scale.result import ChangeResult, ControlResult, GatewaySide, ScaleResult
from testbed.scale.strikes import Strike, Struck, kill, silence

QUORUM_TIMEOUT_S = 40.0
IN_STEP_TIMEOUT_S = 60.0
REPORT_LAG_S = 1.5
"""Workers write a report each second; the last one may be this old."""

CHANGE_SETTLE_S = 4.0
MEMORY_CHECK_S = 1.0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Readings of all processes at one time."""

    monotonic_s: float
    processes: dict[int, Reading]
    sockets: dict[tuple[int, int], SocketCount]


def run_scale(options: ScaleOptions, folder: Path) -> ScaleResult:
    """Run once below ``folder`` and return what was measured."""
    load_before = load_average()
    fleet = Fleet(options, folder)
    try:
        return _measure(fleet, load_before)
    finally:
        fleet.stop()


def _measure(fleet: Fleet, load_before: float) -> ScaleResult:
    options = fleet.options
    random = random_module.Random(options.seed)
    fleet.start_runners()
    fleet.start_controls()
    _wait_for_controls(fleet)
    control = _control_client(fleet, random)
    operator = Operator(control, random)
    _seed_settings(operator, options)
    jobs_submitted_s = _submit_jobs(control, fleet, random)
    started_s = time.monotonic()
    fleet.start_gateways()
    in_step_timeout_s = IN_STEP_TIMEOUT_S + options.start_spread_s
    in_step = wait_until(lambda: fleet.in_step(operator.version), in_step_timeout_s)
    start_s = time.monotonic() - started_s
    logger.info("gateways in step: {} after {:.1f} s", in_step, start_s)
    time.sleep(options.warmup_s)
    fleet.forget_latencies()
    time.sleep(REPORT_LAG_S)
    window = _Window(fleet, operator)
    window.run()
    return ScaleResult(
        options=options,
        commit=current_commit(),
        command=command_line(options),
        window_s=window.seconds,
        load_before=load_before,
        load_after=load_average(),
        start_s=start_s,
        controls=window.control_results(),
        gateways=window.gateway_results(),
        real_gateways=window.real_gateway_usage(),
        real_gateway_wire_bytes_per_s=window.real_gateway_wire(None),
        real_gateway_control_bytes_per_s=window.real_gateway_wire(
            frozenset(control.rpc_port for control in fleet.controls)
        ),
        real_gateway_threads=window.real_gateway_threads(),
        changes=window.change_results(),
        struck=window.struck,
        machine_list_polls_per_s=window.polls_per_s,
        jobs_submitted_s=jobs_submitted_s,
        outcome="complete" if in_step else "not all gateways came into step",
    )


class _Window:
    """The measured window: readings at both ends, changes and a strike in between."""

    def __init__(self, fleet: Fleet, operator: Operator) -> None:
        self._fleet = fleet
        self._operator = operator
        self._changes: list[ChangeTime] = []
        self._struck: Struck | None = None
        self.seconds = 0.0
        self.polls_per_s = 0.0

    def run(self) -> None:
        options = self._fleet.options
        assert self._fleet.machine_list is not None
        polls = self._fleet.machine_list.polls
        self._reports_before = self._fleet.reports()
        # The reports cost the gateways processor time, so the readings lie between them.
        self._threads_before = self._fleet.gateway_threads()
        self._before = self._snapshot()
        self._ends_s = time.monotonic() + options.window_s
        operator = threading.Thread(target=self._make_changes, daemon=True)
        operator.start()
        if options.strike is not Strike.NONE:
            time.sleep(options.window_s / 2)
            self._struck = self._strike(options)
        while time.monotonic() < self._ends_s:
            self._fleet.check_memory()
            time.sleep(min(MEMORY_CHECK_S, max(0.0, self._ends_s - time.monotonic())))
        self._after = self._snapshot()
        self._threads_after = self._fleet.gateway_threads()
        self._reports_after = self._fleet.reports()
        self.seconds = self._after.monotonic_s - self._before.monotonic_s
        self.polls_per_s = (self._fleet.machine_list.polls - polls) / self.seconds
        operator.join(timeout=CHANGE_SETTLE_S * 3)
        if options.changes:
            time.sleep(CHANGE_SETTLE_S + REPORT_LAG_S)
        self._reports_last = self._fleet.reports()

    def control_results(self) -> list[ControlResult]:
        results = []
        for child in self._fleet.control_processes:
            usage = self._usage(child)
            results.append(
                ControlResult(
                    name=child.name,
                    usage=usage,
                    wire_bytes_per_s=self._wire(child) if usage is not None else 0.0,
                    struck=self._struck is not None and child.name in self._struck.processes,
                    data_bytes=folder_bytes(self._fleet.folder / child.name),
                )
            )
        return results

    def gateway_results(self) -> GatewaySide:
        usages = [self._usage(child) for child in self._fleet.gateway_workers]
        return gateway_side(
            self._reports_before,
            self._reports_after,
            [usage for usage in usages if usage is not None],
            self._fleet.options.gateways,
        )

    def real_gateway_usage(self) -> list[Usage]:
        usages = [self._usage(child) for child in self._fleet.real_gateways]
        return [usage for usage in usages if usage is not None]

    def real_gateway_wire(self, peer_ports: frozenset[int] | None) -> list[float]:
        return [self._wire(child, peer_ports) for child in self._fleet.real_gateways]

    def real_gateway_threads(self) -> list[list[ThreadUsage]]:
        pairs = zip(self._threads_before, self._threads_after, strict=True)
        return [threads_between(before, after, self.seconds) for before, after in pairs]

    def change_results(self) -> list[ChangeResult]:
        records = [record for report in self._reports_last for record in report.in_force]
        return [change_result(change, records, self._struck) for change in self._changes]

    @property
    def struck(self) -> Struck | None:
        """What the strike hit; None when there was none."""
        return self._struck

    def _make_changes(self) -> None:
        options = self._fleet.options
        if options.changes == 0:
            return
        pause_s = options.window_s / (options.changes + 1)
        for number in range(options.changes):
            time.sleep(pause_s)
            if not self._make_change(number):
                return

    def _make_change(self, number: int) -> bool:
        """Send one change until it has an outcome, or the window is long over."""
        give_up_s = self._ends_s + CHANGE_SETTLE_S
        while time.monotonic() < give_up_s:
            try:
                self._changes.append(self._operator.small_change(number))
                return True
            except ScaleError as error:
                logger.warning("{}", error)
        return False

    def _strike(self, options: ScaleOptions) -> Struck:
        leader = self._fleet.control_leader()
        if options.strike is Strike.KILL_LEADER:
            return kill([leader], frozenset())
        zone = self._fleet.zone_of(leader)
        if options.strike is Strike.LOSE_ZONE:
            zones = frozenset({zone})
            return kill(self._fleet.children_in(zones), zones)
        zones = self._fleet.zones_beside(zone)
        return silence(self._fleet.children_in(zones), zones, options.silence_s)

    def _snapshot(self) -> Snapshot:
        fleet = self._fleet
        children = [*fleet.control_processes, *fleet.gateway_workers, *fleet.real_gateways]
        readings = {child.process_id: read_process(child.process_id) for child in children}
        return Snapshot(
            monotonic_s=time.monotonic(),
            processes={key: value for key, value in readings.items() if value is not None},
            sockets=read_sockets(),
        )

    def _usage(self, child: ChildProcess) -> Usage | None:
        before = self._before.processes.get(child.process_id)
        after = self._after.processes.get(child.process_id)
        if before is None or after is None:
            return None
        return usage_between(before, after)

    def _wire(self, child: ChildProcess, peer_ports: frozenset[int] | None = None) -> float:
        return wire_bytes_per_s(
            self._before.sockets,
            self._after.sockets,
            child.process_id,
            self.seconds,
            peer_ports,
        )


def _wait_for_controls(fleet: Fleet) -> None:
    """Wait until all control processes listen; fail at once when one has ended."""

    def ended_or_listening() -> bool:
        ended = any(not child.running for child in fleet.control_processes)
        return ended or all(is_listening(control.rpc_port) for control in fleet.controls)

    in_time = wait_until(ended_or_listening, QUORUM_TIMEOUT_S)
    for child in fleet.control_processes:
        if not child.running:
            raise ScaleError(f"{child.name} ended; see {fleet.folder / child.name}.log")
    if not in_time:
        raise ScaleError("the control processes do not listen")


def _control_client(fleet: Fleet, random: random_module.Random) -> ControlClient:
    rpc = RpcClient(fleet.secrets.cluster_key, SystemClock().wall_ms())
    hubs = [control.rpc_address for control in fleet.controls]
    return ControlClient(rpc, hubs, random=random_module.Random(random.getrandbits(64)))


def _seed_settings(operator: Operator, options: ScaleOptions) -> None:
    deadline_s = time.monotonic() + QUORUM_TIMEOUT_S
    while True:
        try:
            operator.seed(options)
            return
        except ScaleError as error:
            if operator.version or time.monotonic() > deadline_s:
                raise
            logger.info("control is not ready: {}", error)
            time.sleep(1.0)


def _submit_jobs(control: ControlClient, fleet: Fleet, random: random_module.Random) -> float:
    options = fleet.options
    started_s = time.monotonic()
    for number in range(options.jobs):
        submit_job(
            control,
            fleet.groups[number % len(fleet.groups)],
            random,
            tenant=f"tenant-{number % options.tenants:05d}",
            items=options.items_per_job,
            item_bytes=options.item_bytes,
        )
    return time.monotonic() - started_s


def current_commit() -> str:
    """Return the short commit id, with ``+`` when the work tree's sources differ from it."""
    head = _git("rev-parse", "--short", "HEAD")
    return head + ("+" if _git("status", "--porcelain", "--", ":/src") else "")


def _git(*arguments: str) -> str:
    try:
        done = subprocess.run(
            ["git", *arguments],
            capture_output=True,
            text=True,
            timeout=10,
            check=False,
            cwd=Path(__file__).parent,
        )
    except OSError:
        return ""
    return done.stdout.strip()


def command_line(options: ScaleOptions) -> str:
    """Return the command that repeats a run; flags at their defaults are left out."""
    defaults = ScaleOptions()
    flags = [
        f"--{field.replace('_', '-')}={getattr(options, field)}"
        for field in options.__struct_fields__
        if getattr(options, field) != getattr(defaults, field)
    ]
    return " ".join(["testbed scale", *flags])
