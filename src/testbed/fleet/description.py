"""What a running fleet tells others about itself: one JSON object."""

from __future__ import annotations

from pathlib import Path

import msgspec

from testbed.fleet.fleet import Fleet
from testbed.fleet.plan import ProcessKind


class ProcessDescription(msgspec.Struct, frozen=True, kw_only=True):
    """One running process."""

    name: str
    kind: ProcessKind
    zone: str
    pid: int
    address: str
    direct_address: str
    rpc_address: str
    data_folder: str
    log_file: str


class FleetDescription(msgspec.Struct, frozen=True, kw_only=True):
    """A running fleet.

    Attributes:
        scenario: Name of the scenario.
        folder: Run folder.
        faults_url: URL that ``testbed faults`` calls.
        operator_token_file: File with the operators' token.
        control: ``host:port`` of each control process's operators' HTTP.
        gateways: Callers' URLs.
        online_key: API key for online requests.
        batch_key: API key for batch jobs.
        online_model: Model for online requests.
        batch_model: Model for batch items.
        processes: All processes.
    """

    scenario: str
    folder: str
    faults_url: str
    operator_token_file: str
    control: list[str]
    gateways: list[str]
    online_key: str
    batch_key: str
    online_model: str
    batch_model: str
    processes: list[ProcessDescription]


def describe(fleet: Fleet, faults_url: str) -> FleetDescription:
    """Return the description of a running fleet."""
    scenario = fleet.scenario
    return FleetDescription(
        scenario=scenario.name,
        folder=str(fleet.folder),
        faults_url=faults_url,
        operator_token_file=str(fleet.plan.operator_token_file),
        control=[url.removeprefix("http://") for url in fleet.control_urls()],
        gateways=fleet.gateway_urls(),
        online_key=scenario.online_key,
        batch_key=scenario.batch_key,
        online_model=scenario.online_model(),
        batch_model=scenario.batch_model(),
        processes=[_describe_process(fleet, planned.name) for planned in fleet.plan.processes],
    )


def read_description(path: Path) -> FleetDescription:
    """Read what ``testbed fleet up --json`` wrote."""
    return msgspec.json.decode(path.read_bytes(), type=FleetDescription)


def _describe_process(fleet: Fleet, name: str) -> ProcessDescription:
    planned = fleet.planned(name)
    return ProcessDescription(
        name=planned.name,
        kind=planned.kind,
        zone=planned.zone,
        pid=fleet.process(name).pid,
        address=planned.address,
        direct_address=planned.direct_address,
        rpc_address=planned.rpc_address,
        data_folder=str(planned.data_folder),
        log_file=str(planned.log_file),
    )
