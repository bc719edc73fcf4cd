"""Plan of a fleet: which processes run where, with the settings file of each."""

from __future__ import annotations

import random
import secrets
import socket
import time
from enum import StrEnum
from pathlib import Path

import msgspec
import yaml

from testbed.fleet.machine_list import Machine, MachineListConfig
from testbed.fleet.network import Front, NetworkConfig, Source
from testbed.scenarios import Scenario

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the ports that the kernel gives to clients, so that none is taken before the start."""

FIRST_HOST_NUMBER = 10
MACHINE_LIST_LAG_S = 0.5
_KEY_BYTES = 32


class ProcessKind(StrEnum):
    """Kind of a process of the fleet."""

    CONTROL = "control"
    GATEWAY = "gateway"
    ENGINE = "engine"
    NETWORK = "network"
    MACHINE_LIST = "machines"


class PlannedProcess(msgspec.Struct, frozen=True, kw_only=True):
    """One process before it is started.

    Attributes:
        name: Name in the fleet.
        kind: What it is.
        zone: Zone it runs in.
        ip: Its own IP number.
        address: ``host:port`` of its HTTP, as others reach it (through the network's front).
        direct_address: ``host:port`` of its HTTP without the network.
        rpc_address: ``host:port`` of its internal RPC as others reach it; empty if it has none.
        config_file: Settings file.
        data_folder: Folder for its files.
        log_file: Its standard error.
        executions_file: An engine's log of executions; None for others.
        orders_file: An engine's log of orders; None for others.
    """

    name: str
    kind: ProcessKind
    zone: str
    ip: str
    address: str
    direct_address: str
    rpc_address: str = ""
    config_file: Path
    data_folder: Path
    log_file: Path
    executions_file: Path | None = None
    orders_file: Path | None = None


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """All processes of a fleet, in the order in which they start."""

    folder: Path
    processes: list[PlannedProcess]
    operator_token_file: Path
    machines: dict[str, Machine]

    def named(self, name: str) -> PlannedProcess:
        """Return the process of that name."""
        return next(process for process in self.processes if process.name == name)

    def of_kind(self, kind: ProcessKind) -> list[PlannedProcess]:
        """Return the processes of a kind."""
        return [process for process in self.processes if process.kind is kind]


class FleetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How a fleet differs from its scenario.

    Attributes:
        relay_network: False connects processes directly: no delays, and nothing can be cut.
        engine_speed: Factor by which engines are faster than the scenario says.
        controls: Control processes, one a zone in turn.
        gateways: Gateways, one a zone in turn.
        engine_overrides: Fields of ``EngineConfig`` for all engines.
        control_overrides: Keys of all control settings files.
        gateway_overrides: Keys of all gateway settings files.
    """

    relay_network: bool = True
    engine_speed: float = 1.0
    controls: int = 3
    gateways: int = 3
    engine_overrides: dict[str, float | int] = {}
    control_overrides: dict[str, object] = {}
    gateway_overrides: dict[str, object] = {}


class FleetPlanner:
    """Writes the settings files of a fleet into a folder and returns its plan."""

    def __init__(self, scenario: Scenario, options: FleetOptions, folder: Path) -> None:
        self._scenario = scenario
        self._options = options
        self._folder = folder
        self._ports = PortPicker()
        self._processes: list[PlannedProcess] = []
        self._fronts: list[Front] = []
        self._sources: dict[str, Source] = {}
        self._machines: dict[str, Machine] = {}
        self._next_host = FIRST_HOST_NUMBER
        # Fleets that start side by side would else pick the same ports before either listens.
        self._network = f"127.{secrets.randbelow(254) + 1}.{secrets.randbelow(256)}"

    def write(self) -> FleetPlan:
        """Plan all processes and write their files."""
        token_file = self._write_secret("operator-token")
        key_file = self._write_secret("cluster-key")
        engines = self._plan_engines()
        machine_list = self._plan_machine_list()
        controls = self._plan_controls(key_file, token_file, machine_list.direct_address)
        gateways = self._plan_gateways(controls, key_file, token_file)
        network = [self._plan_network()] if self._options.relay_network else []
        return FleetPlan(
            folder=self._folder,
            processes=[*network, machine_list, *engines, *controls, *gateways],
            operator_token_file=token_file,
            machines=self._machines,
        )

    def _plan_engines(self) -> list[PlannedProcess]:
        engines = []
        for service, pool in self._scenario.services.items():
            for number in range(1, pool.runners + 1):
                zone = self._zone(number - 1)
                engine = self._process(f"{service}-{number}", ProcessKind.ENGINE, zone)
                self._write_engine(engine, service)
                engines.append(engine)
        return engines

    def _write_engine(self, engine: PlannedProcess, service: str) -> None:
        pool = self._scenario.services[service]
        fields = {**pool.engine, **self._options.engine_overrides}
        host, port = split_address(engine.direct_address)
        document = {
            "host": host,
            "port": port,
            "speed": self._options.engine_speed,
            "seed": sum(engine.name.encode()),
            "executions_file": str(engine.executions_file),
            "orders_file": str(engine.orders_file),
            "engine": {"runner_id": engine.name, "models": pool.models, **fields},
        }
        _write_yaml(engine.config_file, document)
        self._machines[engine.name] = Machine(
            id=engine.name,
            address=engine.address,
            zone=engine.zone,
            service=service,
            incarnation=int(time.time() * 1000),
        )

    def _plan_machine_list(self) -> PlannedProcess:
        process = self._process("machines", ProcessKind.MACHINE_LIST, self._zone(0), front=False)
        host, port = split_address(process.direct_address)
        config = MachineListConfig(
            host=host, port=port, lag_s=MACHINE_LIST_LAG_S, machines=list(self._machines.values())
        )
        _write_yaml(process.config_file, msgspec.to_builtins(config))
        return process

    def _plan_controls(
        self, key_file: Path, token_file: Path, machine_list: str
    ) -> list[PlannedProcess]:
        controls = []
        listens = []
        for number in range(1, self._options.controls + 1):
            zone = self._zone(number - 1)
            planned, rpc_port = self._product(f"control-{number}", ProcessKind.CONTROL, zone)
            controls.append(planned)
            listens.append(rpc_port)
        region = self._scenario.region
        peers = [
            {"name": c.name, "rpc_address": c.rpc_address, "zone": c.zone, "region": region}
            for c in controls
        ]
        for control, rpc_port in zip(controls, listens, strict=True):
            document = self._common(control, rpc_port, key_file) | {
                "peers": peers,
                "operator_token_file": str(token_file),
                "machine_list_url": f"http://{machine_list}/machines",
            }
            _write_yaml(control.config_file, document | self._options.control_overrides)
        return controls

    def _plan_gateways(
        self, controls: list[PlannedProcess], key_file: Path, token_file: Path
    ) -> list[PlannedProcess]:
        gateways = []
        for number in range(1, self._options.gateways + 1):
            zone = self._zone(number - 1)
            gateway, rpc_port = self._product(f"gateway-{number}", ProcessKind.GATEWAY, zone)
            hubs = sorted(controls, key=lambda c, zone=zone: c.zone != zone)  # type: ignore[misc]
            document = self._common(gateway, rpc_port, key_file) | {
                "hubs": [control.rpc_address for control in hubs],
                "operator_token_file": str(token_file),
            }
            _write_yaml(gateway.config_file, document | self._options.gateway_overrides)
            gateways.append(gateway)
        return gateways

    def _plan_network(self) -> PlannedProcess:
        process = self._process("network", ProcessKind.NETWORK, self._zone(0), front=False)
        host, port = split_address(process.direct_address)
        config = NetworkConfig(
            host=host,
            port=port,
            zone_delay_ms=self._scenario.zone_delay_ms,
            client_delay_ms=self._scenario.client_delay_ms,
            fronts=self._fronts,
            sources=self._sources,
        )
        _write_yaml(process.config_file, msgspec.to_builtins(config))
        return process

    def _common(self, process: PlannedProcess, rpc_port: int, key_file: Path) -> dict[str, object]:
        host, http_port = split_address(process.direct_address)
        return {
            "name": process.name,
            "region": self._scenario.region,
            "zone": process.zone,
            "listen": {"host": host, "http_port": http_port, "rpc_port": rpc_port},
            "cluster_key_file": str(key_file),
            "data_folder": str(process.data_folder),
        }

    def _product(self, name: str, kind: ProcessKind, zone: str) -> tuple[PlannedProcess, int]:
        """Plan a process of the product; returns it and the port on which its RPC listens."""
        # Operators talk to control directly; callers reach gateways through a front. Control's RPC
        # has a front; a gateway names its own RPC address to others, so that one is direct.
        is_gateway = kind is ProcessKind.GATEWAY
        process = self._process(name, kind, zone, front=is_gateway)
        rpc_port = self._ports.pick(process.ip)
        direct = f"{process.ip}:{rpc_port}"
        rpc_address = direct if is_gateway else self._front(process.name, zone, direct)
        return msgspec.structs.replace(process, rpc_address=rpc_address), rpc_port

    def _process(
        self, name: str, kind: ProcessKind, zone: str, *, front: bool = True
    ) -> PlannedProcess:
        ip = f"{self._network}.{self._next_host}"
        self._next_host += 1
        self._sources[ip] = Source(process=name, zone=zone)
        direct = f"{ip}:{self._ports.pick(ip)}"
        data_folder = self._folder / "data" / name
        data_folder.mkdir(parents=True)
        is_engine = kind is ProcessKind.ENGINE
        return PlannedProcess(
            name=name,
            kind=kind,
            zone=zone,
            ip=ip,
            address=self._front(name, zone, direct) if front else direct,
            direct_address=direct,
            config_file=self._folder / f"{name}.yaml",
            data_folder=data_folder,
            log_file=self._folder / f"{name}.log",
            executions_file=self._folder / f"{name}.executions" if is_engine else None,
            orders_file=self._folder / f"{name}.orders" if is_engine else None,
        )

    def _front(self, name: str, zone: str, target: str) -> str:
        if not self._options.relay_network:
            return target
        ip = target.rsplit(":", 1)[0]
        listen = f"{ip}:{self._ports.pick(ip)}"
        self._fronts.append(Front(process=name, zone=zone, listen=listen, target=target))
        return listen

    def _zone(self, number: int) -> str:
        return self._scenario.zones[number % len(self._scenario.zones)]

    def _write_secret(self, name: str) -> Path:
        path = self._folder / name
        path.write_text(secrets.token_hex(_KEY_BYTES), encoding="utf8")
        path.chmod(0o600)
        return path


class PortPicker:
    """Picks ports that are free now and that the kernel gives to no client."""

    def __init__(self) -> None:
        self._generator = random.SystemRandom()
        self._picked: set[tuple[str, int]] = set()

    def pick(self, ip: str) -> int:
        """Return a free port of an IP number."""
        while True:
            port = self._generator.randint(FIRST_PORT, LAST_PORT)
            if (ip, port) not in self._picked and _is_free(ip, port):
                self._picked.add((ip, port))
                return port


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


def _is_free(ip: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _write_yaml(path: Path, document: object) -> None:
    path.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf8")
