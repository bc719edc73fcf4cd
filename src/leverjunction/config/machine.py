"""Settings file of a process that learns its peers from seeds."""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

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
    metrics_port: int = Field(default=0, ge=0, lt=65536)

    def seed_addresses(self) -> tuple[str, ...]:
        """Return the RPC addresses of the seeds."""
        hosts = [seed.partition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.rpc_seed_port}" for host in hosts)
