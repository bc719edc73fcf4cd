"""Settings file of a process that learns its peers from seeds.

Checked by msgspec: such processes are started by the dozen, also all at once after a failure, and
each other checker would be a fifth of what a start costs.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from leverjunction.config.document import bad_file, read_document
from leverjunction.errors import Failure

Port = Annotated[int, Meta(gt=0, lt=65536)]
PositiveNumber = Annotated[float, Meta(gt=0)]


class MachineListen(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Addresses that a process listens on, ``host:port``; empty for what it does not serve."""

    callers: str = ""
    ready: str = ""
    control: str = ""
    rpc: str


class MachineBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Times that the deployment promises.

    Attributes:
        stop_grace_s: Time between being asked to stop and being killed.
        drain_ms: Time in which a leaving runner gets no new work anywhere.
        status_s: Time for which an ended batch job stays readable.
        in_force_ms: Time in which an accepted change of routes is in force at all gateways.
    """

    stop_grace_s: PositiveNumber = 8.0
    drain_ms: PositiveNumber = 2000.0
    status_s: PositiveNumber = 120.0
    in_force_ms: PositiveNumber = 2000.0


class MachineElections(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Times of a consensus group; alike on all its machines.

    While nobody leads, nothing can be accepted, and each change of leader costs about the shortest
    timeout. It must outlast pauses of a process that is not dead: a quota of its core, a slow sync.

    Attributes:
        heartbeat_s: Longest pause between two messages of a leader.
        timeout_min_s: Shortest silence after which a replica campaigns.
        timeout_max_s: Longest silence after which it does.
    """

    heartbeat_s: PositiveNumber = 0.15
    timeout_min_s: PositiveNumber = 0.4
    timeout_max_s: PositiveNumber = 0.8

    def __post_init__(self) -> None:
        if not self.heartbeat_s * 2 <= self.timeout_min_s < self.timeout_max_s:
            raise ValueError("twice heartbeat_s at most timeout_min_s, that below timeout_max_s")


class MachinePolicies(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Switches of policies, to compare a deployment with and without them.

    Attributes:
        hold_late_requests: Gateways hold online requests that could not be in time now.
        tell_online_loads: Gateways tell the leader of batch work their online requests.
        spread_requests: Gateways allow for what others have sent since the loads were true.
    """

    hold_late_requests: bool = True
    tell_online_loads: bool = True
    spread_requests: bool = True


class MachineConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of one process.

    Attributes:
        name: Unique name of the machine.
        zone: Zone it runs in.
        listen: Its addresses.
        seeds: Addresses of control processes; only the host is used, with ``rpc_seed_port``.
        rpc_seed_port: Port of the control processes' internal RPC.
        data_folder: Where it keeps state; None on a machine without a disk.
        first_start: True only when the whole system starts for the first time.
        losses: Machines whose disks may be lost at once.
        memory_mb: Memory that the process may use.
        bounds: Times that the deployment promises.
        elections: Times of its consensus groups.
        policies: Switches of policies.
        metrics_port: Port of the figures, 0 for none.
    """

    name: str
    zone: str
    listen: MachineListen
    seeds: Annotated[tuple[str, ...], Meta(min_length=1)]
    rpc_seed_port: Port
    data_folder: str | None = None
    first_start: bool = False
    losses: Annotated[int, Meta(ge=0)] = 1
    memory_mb: Annotated[int, Meta(gt=0)] = 256
    bounds: MachineBounds = MachineBounds()
    elections: MachineElections = MachineElections()
    policies: MachinePolicies = MachinePolicies()
    metrics_port: Annotated[int, Meta(ge=0, lt=65536)] = 0

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the RPC addresses of the seeds."""
        hosts = [seed.partition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.rpc_seed_port}" for host in hosts)


def load_machine_config(path: Path) -> MachineConfig | Failure:
    """Read and check a settings file.

    Returns:
        The settings, or a failure naming file, key, what was expected and what was got.
    """
    document = read_document(path)
    if isinstance(document, Failure):
        return document
    try:
        return msgspec.convert(document, MachineConfig)
    except msgspec.ValidationError as error:
        return bad_file(path, _explain(str(error), document))


def _explain(message: str, document: dict[str, object]) -> str:
    """Make ``Expected `int`, got `str` - at `$.losses` `` a sentence that begins with the key."""
    expected, _, place = message.partition(" - at ")
    expected = expected[:1].lower() + expected[1:].replace("`", "")
    key = place.strip("`").removeprefix("$").removeprefix(".")
    if not key:
        return expected
    got = "" if ", got " in expected else _got(key, document)
    return f"key {key}: {expected}{got}"


def _got(key: str, document: dict[str, object]) -> str:
    """Return the words for a plain value at a dotted key, empty when there is none."""
    value: object = document
    for part in key.split("."):
        if not isinstance(value, dict) or part not in value:
            return ""
        value = value[part]
    return "" if isinstance(value, dict) else f", got {value!r}"
