"""The real processes of a scale run: control processes and some gateways."""

from __future__ import annotations

import secrets
import socket
from pathlib import Path

import msgspec
import yaml

from testbed.scale.options import ScaleOptions, region_name, zone_name
from testbed.scale.processes import ChildProcess

HOST = "127.0.0.1"
LOG_LEVEL = "INFO"
CONNECT_TIMEOUT_S = 0.5
FIRST_PORT = 20_000
LAST_PORT = 32_000


class ControlAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Where one control process listens."""

    name: str
    region: str
    zone: str
    rpc_address: str
    http_port: int
    rpc_port: int


class Secrets(msgspec.Struct, frozen=True, kw_only=True):
    """Files and values that the processes of one run share."""

    cluster_key: bytes
    cluster_key_file: str
    operator_token: str
    operator_token_file: str


def make_secrets(folder: Path) -> Secrets:
    """Write a fresh cluster key and operators' token below ``folder``."""
    cluster_key = secrets.token_hex(32)
    token = secrets.token_hex(16)
    key_file = folder / "cluster.key"
    token_file = folder / "operator.token"
    key_file.write_text(cluster_key, encoding="ascii")
    token_file.write_text(token, encoding="ascii")
    return Secrets(
        cluster_key=cluster_key.encode("ascii"),
        cluster_key_file=str(key_file),
        operator_token=token,
        operator_token_file=str(token_file),
    )


def plan_controls(options: ScaleOptions) -> list[ControlAddress]:
    """Choose names, zones and free ports of the control processes."""
    ports = free_ports(2 * options.controls)
    controls = []
    for index in range(options.controls):
        zone = control_zone(index, options)
        http_port, rpc_port = ports[2 * index], ports[2 * index + 1]
        controls.append(
            ControlAddress(
                name=f"control-{index}",
                region=region_name(zone, options.zones, options.regions),
                zone=zone_name(zone, options.zones),
                rpc_address=f"{HOST}:{rpc_port}",
                http_port=http_port,
                rpc_port=rpc_port,
            )
        )
    return controls


def control_zone(index: int, options: ScaleOptions) -> int:
    """Return the zone of a control process: spread evenly over all zones."""
    return index * options.zones // options.controls


def hubs_for_zone(zone: int, controls: list[ControlAddress]) -> list[str]:
    """Return the hubs of a zone, its own first; zones without one share the others evenly."""
    first = zone % len(controls)
    return [
        controls[(first + offset) % len(controls)].rpc_address for offset in range(len(controls))
    ]


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, below those that the kernel gives to outgoing connections.

    A port from that range could be taken by a connection before its process listens.
    """
    candidates = list(range(FIRST_PORT, LAST_PORT))
    secrets.SystemRandom().shuffle(candidates)
    ports: list[int] = []
    while len(ports) < count:
        port = candidates.pop()
        if _can_listen(port):
            ports.append(port)
    return ports


def _can_listen(port: int) -> bool:
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        return False
    return True


def is_listening(port: int) -> bool:
    """Return whether something listens on a port of this machine."""
    try:
        with socket.create_connection((HOST, port), timeout=CONNECT_TIMEOUT_S):
            return True
    except OSError:
        return False


def start_control(
    control: ControlAddress,
    controls: list[ControlAddress],
    options: ScaleOptions,
    folder: Path,
    shared: Secrets,
    machine_list_url: str,
) -> ChildProcess:
    """Start one control process on its own data folder."""
    data_folder = folder / control.name
    data_folder.mkdir(exist_ok=True)
    document = {
        "name": control.name,
        "region": control.region,
        "zone": control.zone,
        "listen": {"host": HOST, "http_port": control.http_port, "rpc_port": control.rpc_port},
        "cluster_key_file": shared.cluster_key_file,
        "data_folder": str(data_folder),
        "log": {"level": LOG_LEVEL},
        "peers": [
            {
                "name": peer.name,
                "rpc_address": peer.rpc_address,
                "zone": peer.zone,
                "region": peer.region,
            }
            for peer in controls
        ],
        "job_groups": options.job_groups,
        "operator_token_file": shared.operator_token_file,
        "machine_list_url": machine_list_url,
        "election_timeout_s": options.election_timeout_s,
        "heartbeat_interval_s": options.heartbeat_interval_s,
    }
    path = _write(control.name, document, folder)
    arguments = ["-m", "leverjunction.cli", "control", "--config", str(path)]
    return ChildProcess(control.name, arguments, folder / f"{control.name}.log")


def start_gateway(
    index: int,
    controls: list[ControlAddress],
    options: ScaleOptions,
    folder: Path,
    shared: Secrets,
) -> ChildProcess:
    """Start one real gateway process."""
    name = f"gateway-real-{index}"
    data_folder = folder / name
    data_folder.mkdir(exist_ok=True)
    zone = index % options.zones
    http_port, rpc_port = free_ports(2)
    document = {
        "name": name,
        "region": region_name(zone, options.zones, options.regions),
        "zone": zone_name(zone, options.zones),
        "listen": {"host": HOST, "http_port": http_port, "rpc_port": rpc_port},
        "cluster_key_file": shared.cluster_key_file,
        "data_folder": str(data_folder),
        "log": {"level": LOG_LEVEL},
        "hubs": hubs_for_zone(zone, controls),
        "exchange_interval_s": options.exchange_interval_s,
    }
    path = _write(name, document, folder)
    report = str(thread_report_path(name, folder))
    arguments = ["-m", "testbed.scale.watched_gateway", report, "gateway", "--config", str(path)]
    return ChildProcess(name, arguments, folder / f"{name}.log")


def thread_report_path(name: str, folder: Path) -> Path:
    """Return where a real gateway writes the processor times of its threads."""
    return folder / f"{name}.threads.json"


def _write(name: str, document: dict[str, object], folder: Path) -> Path:
    """Write the settings file of a process and return its path."""
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(document), encoding="utf8")
    return path
