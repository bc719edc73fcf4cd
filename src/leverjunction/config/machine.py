"""Configuration file of a process that discovers its peers from seed addresses.

It is validated by msgspec. Dozens of such processes may start at once after a failure, and loading
another validation library would take a fifth of the cost of a start.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from leverjunction.config.document import bad_file, read_document
from leverjunction.errors import Failure

if TYPE_CHECKING:
    from leverjunction.quota.bounds import QuotaBounds

Port = Annotated[int, Meta(gt=0, lt=65536)]
PositiveNumber = Annotated[float, Meta(gt=0)]


class MachineListen(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Listen addresses of a process as ``host:port``; empty for servers that it does not run."""

    callers: str = ""
    ready: str = ""
    control: str = ""
    rpc: str


class MachineBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Time bounds that the deployment guarantees.

    Attributes:
        stop_grace_s: Seconds between a request to stop and the forced kill.
        drain_ms: Milliseconds until a leaving runner gets no new work from any gateway.
        status_s: Seconds for which a finished batch job stays readable.
        in_force_ms: Milliseconds until an accepted route change is in force at all gateways.
        quota_window_s: Length in seconds of the periods in which tenants' limits are checked.
        quota_overshoot: Share beyond a tenant's limit that is tolerated in such a period.
        quota_slack: Number of requests beyond that which is tolerated.
        refuse_stale_keys: Refuse all API keys while the newest keys are not known for
            ``revoke_ms``. Otherwise a gateway that is cut off serves the keys that it knows.
        revoke_ms: Milliseconds until a removed key must be refused everywhere, if
            ``refuse_stale_keys`` is set.
    """

    stop_grace_s: PositiveNumber = 8.0
    drain_ms: PositiveNumber = 2000.0
    status_s: PositiveNumber = 120.0
    in_force_ms: PositiveNumber = 2000.0
    quota_window_s: PositiveNumber = 5.0
    quota_overshoot: Annotated[float, Meta(ge=0)] = 0.0
    quota_slack: Annotated[float, Meta(ge=0)] = 0.0
    refuse_stale_keys: bool = False
    revoke_ms: PositiveNumber = 5000.0

    def quota(self) -> QuotaBounds:
        """Return the tolerance of tenants' limits."""
        # A gateway listens before it loads its code, and reads its address from these settings.
        from leverjunction.quota.bounds import QuotaBounds

        return QuotaBounds(
            window_s=self.quota_window_s,
            overshoot=self.quota_overshoot,
            slack=self.quota_slack,
        )

    def max_key_age_s(self) -> float:
        """Return the age of the route table from which no API key is accepted, in seconds."""
        return self.revoke_ms / 1000 if self.refuse_stale_keys else math.inf


class MachineElections(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Election timing of a consensus group; must be the same on all its machines.

    Without a leader no command is accepted, and each change of leader takes about the shortest
    timeout. The timeout must exceed pauses of a process that is alive, such as CPU throttling by a
    quota or a slow disk sync.

    Attributes:
        heartbeat_s: Maximum interval between messages of a leader, in seconds.
        timeout_min_s: Minimum election timeout, in seconds.
        timeout_max_s: Maximum election timeout, in seconds.
    """

    heartbeat_s: PositiveNumber = 0.15
    timeout_min_s: PositiveNumber = 0.4
    timeout_max_s: PositiveNumber = 0.8

    def __post_init__(self) -> None:
        if not self.heartbeat_s * 2 <= self.timeout_min_s < self.timeout_max_s:
            raise ValueError("expected 2 * heartbeat_s <= timeout_min_s < timeout_max_s")


class MachinePolicies(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Feature switches for comparing a deployment with and without a policy.

    Attributes:
        hold_late_requests: Gateways hold online requests that cannot meet their target now.
        tell_online_loads: Gateways report their online requests to the leader of batch work.
        spread_requests: Gateways account for requests that others sent since loads were measured.
        read_ahead: Gateways read on from back ends while callers lag, within a share of memory.
        batch_by_rate: Batch work is planned and placed by how fast back ends work.
        weigh_rates: Gateways allow for how fast each back end works.
        fair_tenants: While a service is short of slots, gateways put requests beyond their
            tenant's share last.
    """

    hold_late_requests: bool = True
    tell_online_loads: bool = True
    spread_requests: bool = True
    read_ahead: bool = True
    batch_by_rate: bool = True
    weigh_rates: bool = True
    fair_tenants: bool = True


class MachineConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configuration of one process.

    Attributes:
        name: Unique name of the machine.
        zone: Zone that it runs in.
        listen: Listen addresses.
        seeds: Addresses of control processes; only the host is used, with ``rpc_seed_port``.
        rpc_seed_port: Port of the control processes' internal RPC.
        data_folder: Folder for persistent state; None on a machine without a disk.
        first_start: True only when the whole system starts for the first time.
        losses: Number of machines whose disks may be lost at the same time.
        memory_mb: Memory limit of the process, in MB.
        bounds: Time bounds that the deployment guarantees.
        elections: Election timing of its consensus groups.
        policies: Feature switches of policies.
        metrics_port: Port for metrics; 0 disables them.
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
    """Read and validate a configuration file.

    Returns:
        The configuration, or a failure that names the file, the key and the expected value.
    """
    document = read_document(path)
    if isinstance(document, Failure):
        return document
    try:
        return msgspec.convert(document, MachineConfig)
    except msgspec.ValidationError as error:
        return bad_file(path, _explain(str(error), document))


def _explain(message: str, document: dict[str, object]) -> str:
    """Rewrite ``Expected `int`, got `str` - at `$.losses` `` as a message starting with the key."""
    expected, _, location = message.partition(" - at ")
    expected = expected[:1].lower() + expected[1:].replace("`", "")
    key = location.strip("`").removeprefix("$").removeprefix(".")
    if not key:
        return expected
    got = "" if ", got " in expected else _describe_actual(key, document)
    return f"key {key}: {expected}{got}"


def _describe_actual(key: str, document: dict[str, object]) -> str:
    """Return ``, got VALUE`` for a scalar at a dotted key, or an empty string without one."""
    value: object = document
    for part in key.split("."):
        if not isinstance(value, dict) or part not in value:
            return ""
        value = value[part]
    return "" if isinstance(value, dict) else f", got {value!r}"
