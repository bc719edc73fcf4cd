"""The whole fleet of a scale run: control processes, hollow workers, some real gateways."""

from __future__ import annotations

import os
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
from loguru import logger

from testbed.scale.cluster import (
    HOST,
    ControlAddress,
    hubs_for_zone,
    make_secrets,
    plan_controls,
    start_control,
    start_gateway,
    thread_report_path,
)
from testbed.scale.gateway_worker import GatewayWorkerReport, GatewayWorkerSpec
from testbed.scale.hollow_gateway import GatewayProfile
from testbed.scale.leadership import leader_of
from testbed.scale.lease_traffic import MODELS, SERVICE
from testbed.scale.machine_list import Machine, MachineList
from testbed.scale.operators import ROOT, ScaleError
from testbed.scale.options import (
    GATEWAYS_PER_PROCESS,
    RUNNERS_PER_PROCESS,
    ScaleOptions,
    region_name,
    zone_name,
)
from testbed.scale.processes import (
    MAX_PROCESSES,
    MAX_RESIDENT_BYTES,
    ChildProcess,
    resident_bytes,
    stop_all,
    wait_until,
)
from testbed.scale.runner_worker import RunnerProfile, RunnerWorkerSpec
from testbed.scale.watched_gateway import ThreadReport, ThreadTime

RUNNER_START_TIMEOUT_S = 60.0
THREAD_REPORT_TIMEOUT_S = 10.0

Profile = TypeVar("Profile", GatewayProfile, RunnerProfile)


class Fleet:
    """Processes of one run, in the order in which they start."""

    def __init__(self, options: ScaleOptions, folder: Path) -> None:
        self.options = options
        self.folder = folder
        self.controls: list[ControlAddress] = plan_controls(options)
        self.secrets = make_secrets(folder)
        self.control_processes: list[ChildProcess] = []
        self.gateway_workers: list[ChildProcess] = []
        self.runner_workers: list[ChildProcess] = []
        self.real_gateways: list[ChildProcess] = []
        self.machine_list: MachineList | None = None
        self._report_paths: list[Path] = []
        self._zones: dict[str, str] = {}

    @property
    def groups(self) -> list[str]:
        """Names of the job groups."""
        return [f"jobs-{index}" for index in range(self.options.job_groups)]

    def start_runners(self) -> None:
        """Start the hollow runners and list them."""
        profiles = [self._runner(index) for index in range(self.options.runners)]
        paths = [self._start_runner_worker(part) for part in by_zone(profiles, RUNNERS_PER_PROCESS)]
        if not wait_until(lambda: all(path.exists() for path in paths), RUNNER_START_TIMEOUT_S):
            raise ScaleError("the hollow runners did not start")
        addresses: dict[str, str] = {}
        for path in paths:
            addresses.update(msgspec.json.decode(path.read_bytes(), type=dict[str, str]))
        self.machine_list = MachineList(
            [
                Machine(
                    id=profile.runner_id,
                    address=addresses[profile.runner_id],
                    zone=profile.zone,
                    service=profile.service,
                )
                for profile in profiles
            ]
        )

    def start_controls(self) -> None:
        """Start the control processes."""
        assert self.machine_list is not None, "runners come first: control needs their list"
        for control in self.controls:
            child = start_control(
                control,
                self.controls,
                self.options,
                self.folder,
                self.secrets,
                self.machine_list.url,
            )
            self._zones[child.name] = control.zone
            self.control_processes.append(child)

    def start_gateways(self) -> None:
        """Start the hollow gateways and the real ones."""
        profiles = [self._gateway(index) for index in range(self.options.gateways)]
        for part in by_zone(profiles, GATEWAYS_PER_PROCESS):
            self._start_gateway_worker(part)
        for index in range(self.options.real_gateways):
            child = start_gateway(index, self.controls, self.options, self.folder, self.secrets)
            self._zones[child.name] = zone_name(index, self.options.zones)
            self.real_gateways.append(child)
        self._check_size()

    def reports(self) -> list[GatewayWorkerReport]:
        """Return the newest report of every gateway worker that has written one."""
        return [
            msgspec.json.decode(path.read_bytes(), type=GatewayWorkerReport)
            for path in self._report_paths
            if path.exists()
        ]

    def forget_latencies(self) -> None:
        """Tell the gateway workers that the measured window begins."""
        for child in self.gateway_workers:
            os.kill(child.process_id, signal.SIGUSR1)

    def gateway_threads(self) -> list[list[ThreadTime]]:
        """Return the processor times of the real gateways' threads, as of now."""
        paths = [thread_report_path(child.name, self.folder) for child in self.real_gateways]
        known = [_read_threads(path).number for path in paths]
        for child in self.real_gateways:
            os.kill(child.process_id, signal.SIGUSR1)

        def all_written() -> bool:
            numbers = [_read_threads(path).number for path in paths]
            return all(new > old for new, old in zip(numbers, known, strict=True))

        if not wait_until(all_written, THREAD_REPORT_TIMEOUT_S):
            raise ScaleError("a real gateway does not report its threads")
        return [_read_threads(path).threads for path in paths]

    def control_leader(self) -> ChildProcess:
        """Return the control process that leads group root; the last one when none says so."""
        addresses = [f"{HOST}:{control.http_port}" for control in self.controls]
        name = leader_of(ROOT, addresses, self.secrets.operator_token)
        by_name = {child.name: child for child in self.control_processes}
        return by_name.get(name or "", self.control_processes[-1])

    def zone_of(self, child: ChildProcess) -> str:
        """Return the zone in which a process stands."""
        return self._zones[child.name]

    def zones_beside(self, zone: str) -> frozenset[str]:
        """Return the zones of a zone's region."""
        options = self.options
        regions = {
            zone_name(index, options.zones): region_name(index, options.zones, options.regions)
            for index in range(options.zones)
        }
        return frozenset(each for each, region in regions.items() if region == regions[zone])

    def children_in(self, zones: frozenset[str]) -> list[ChildProcess]:
        """Return every process of some zones."""
        return [child for child in self._children() if self.zone_of(child) in zones]

    def in_step(self, version: int) -> bool:
        """Return whether all hollow gateways have ``version`` in force and own all runners."""
        self.check_memory()
        reports = self.reports()
        versions = [value for report in reports for value in report.settings_versions.values()]
        owned = sum(report.owned for report in reports)
        near = owned + self._owned_by_real_gateways()
        return (
            len(versions) == self.options.gateways
            and min(versions) >= version
            and near >= self.options.runners
        )

    def _owned_by_real_gateways(self) -> int:
        # A real gateway takes about the same share of its zone's runners as a hollow one; the
        # exact number is not visible from here, and a window may begin a second early.
        everyone = self.options.gateways + self.options.real_gateways
        share = -(-self.options.runners // everyone)
        return 3 * share * self.options.real_gateways

    def stop(self) -> None:
        """Stop every process, gateways first."""
        stop_all([*self.gateway_workers, *self.real_gateways])
        stop_all(self.control_processes)
        stop_all(self.runner_workers)
        if self.machine_list is not None:
            self.machine_list.stop()

    def _runner(self, index: int) -> RunnerProfile:
        zone = zone_name(index, self.options.zones)
        return RunnerProfile(
            runner_id=f"{SERVICE}-{zone}-r{index:04d}",
            zone=zone,
            service=SERVICE,
            models=MODELS,
            is_idle=self.options.idle_runners,
        )

    def _gateway(self, index: int) -> GatewayProfile:
        zone = zone_name(index, self.options.zones)
        return GatewayProfile(
            gateway_id=f"gateway-{zone}-{index:03d}",
            zone=zone,
            hubs=hubs_for_zone(index % self.options.zones, self.controls),
        )

    def _start_runner_worker(self, profiles: list[RunnerProfile]) -> Path:
        name = f"runners-{len(self.runner_workers)}"
        self._zones[name] = profiles[0].zone
        addresses = self.folder / f"{name}.addresses.json"
        spec = RunnerWorkerSpec(
            profiles=profiles, seed=self.options.seed, addresses_path=str(addresses)
        )
        self.runner_workers.append(self._start(name, "testbed.scale.runner_worker", spec))
        return addresses

    def _start_gateway_worker(self, profiles: list[GatewayProfile]) -> None:
        options = self.options
        name = f"gateways-{len(self.gateway_workers)}"
        self._zones[name] = profiles[0].zone
        report = self.folder / f"{name}.report.json"
        spec = GatewayWorkerSpec(
            profiles=profiles,
            cluster_key=self.secrets.cluster_key,
            groups=self.groups,
            items_per_s=options.items_per_s / options.gateways,
            lease_items=options.lease_items,
            result_bytes=options.item_bytes,
            digest_change_ratio=options.digest_change_ratio,
            exchange_interval_s=options.exchange_interval_s,
            start_spread_s=options.start_spread_s,
            seed=options.seed * 1000 + len(self.gateway_workers),
            report_path=str(report),
        )
        self._report_paths.append(report)
        self.gateway_workers.append(self._start(name, "testbed.scale.gateway_worker", spec))

    def _start(self, name: str, module: str, spec: msgspec.Struct) -> ChildProcess:
        path = self.folder / f"{name}.spec.json"
        path.write_bytes(msgspec.json.encode(spec))
        return ChildProcess(name, ["-m", module, str(path)], self.folder / f"{name}.log")

    def check_memory(self) -> None:
        """Raise ``ScaleError`` when the run has outgrown its share of the machine's memory."""
        resident = resident_bytes(self._children())
        if resident > MAX_RESIDENT_BYTES:
            raise ScaleError(f"the processes hold {resident / 1e9:.1f} GB; the run is given up")

    def _children(self) -> list[ChildProcess]:
        return [
            *self.control_processes,
            *self.gateway_workers,
            *self.runner_workers,
            *self.real_gateways,
        ]

    def _check_size(self) -> None:
        count = len(self._children())
        logger.info("{} processes", count)
        if count > MAX_PROCESSES:
            raise ScaleError(f"{count} processes are more than {MAX_PROCESSES}")


def by_zone(profiles: Sequence[Profile], most: int) -> list[list[Profile]]:
    """Deal profiles to worker processes: of one zone each, so that a zone can fail as a whole."""
    zones: dict[str, list[Profile]] = {}
    for profile in profiles:
        zones.setdefault(profile.zone, []).append(profile)
    return [
        members[start : start + most]
        for members in zones.values()
        for start in range(0, len(members), most)
    ]


def _read_threads(path: Path) -> ThreadReport:
    """Return the last report of a real gateway, an empty one before the first."""
    if not path.exists():
        return ThreadReport(0, [])
    return msgspec.json.decode(path.read_bytes(), type=ThreadReport)
