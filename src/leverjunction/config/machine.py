"""Settings file of a process that learns its peers from seeds."""

from __future__ import annotations

from pathlib import Path
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

SEED_HELP = "host:port of the internal RPC of control processes"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class MachineListen(_Section):
    """Addresses that a process listens on, ``host:port``; empty for what it does not serve."""

    callers: str = ""
    ready: str = ""
    control: str = ""
    rpc: str


class MachineBounds(_Section):
    """Times that the deployment promises.

    Attributes:
        stop_grace_s: Time between being asked to stop and being killed.
        drain_ms: Time in which a leaving runner gets no new work anywhere.
        status_s: Time for which an ended batch job stays readable.
    """

    stop_grace_s: float = Field(default=8.0, gt=0)
    drain_ms: float = Field(default=2000.0, gt=0)
    status_s: float = Field(default=120.0, gt=0)


class MachineElections(_Section):
    """Times of a consensus group; alike on all its machines.

    While nobody leads, nothing can be accepted, and each change of leader costs about the shortest
    timeout. It must outlast pauses of a process that is not dead: a quota of its core, a slow sync.

    Attributes:
        heartbeat_s: Longest pause between two messages of a leader.
        timeout_min_s: Shortest silence after which a replica campaigns.
        timeout_max_s: Longest silence after which it does.
    """

    heartbeat_s: float = Field(default=0.15, gt=0)
    timeout_min_s: float = Field(default=0.4, gt=0)
    timeout_max_s: float = Field(default=0.8, gt=0)

    @model_validator(mode="after")
    def _in_order(self) -> Self:
        if not self.heartbeat_s * 2 <= self.timeout_min_s < self.timeout_max_s:
            raise ValueError("twice heartbeat_s at most timeout_min_s, that below timeout_max_s")
        return self


class MachineConfig(_Section):
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
        metrics_port: Port of the figures, 0 for none.
    """

    name: str
    zone: str
    listen: MachineListen
    seeds: tuple[str, ...] = Field(min_length=1)
    rpc_seed_port: int = Field(gt=0, lt=65536)
    data_folder: Path | None = None
    first_start: bool = False
    losses: int = Field(default=1, ge=0)
    memory_mb: int = Field(default=256, gt=0)
    bounds: MachineBounds = MachineBounds()
    elections: MachineElections = MachineElections()
    metrics_port: int = Field(default=0, ge=0, lt=65536)

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the RPC addresses of the seeds."""
        hosts = [seed.partition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.rpc_seed_port}" for host in hosts)
