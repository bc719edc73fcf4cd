"""Configuration of a control process."""

from __future__ import annotations

from pathlib import Path
from typing import Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from leverjunction.config.common import Address, ProcessConfig


class ControlPeer(BaseModel):
    """A control process of the cluster, possibly this one."""

    model_config = ConfigDict(extra="forbid")

    name: str
    rpc_address: Address = Field(description="host:port of its internal RPC")
    zone: str
    region: str = Field(
        default="",
        description="region of its zone; voters of a group are spread over regions first",
    )


class ControlConfig(ProcessConfig):
    """Configuration of a control process: consensus replica, zone hub and placement."""

    peers: list[ControlPeer] = Field(
        min_length=1, description="all control processes, this one included"
    )
    root_voters: list[str] = Field(
        default=[],
        description="names of the first voters of group root; empty: chosen as for job groups",
    )
    replicas_per_group: int = Field(
        default=5, ge=1, description="voters of a group when there are more peers than that"
    )
    job_groups: int = Field(default=2, ge=1, description="number of jobs-N groups")
    operator_token_file: Path = Field(description="file holding the operators' bearer token")
    machine_list_url: str = Field(description="URL of the platform's machine list")
    machine_list_interval_s: float = Field(default=0.5, gt=0)
    election_timeout_s: float = Field(default=0.6, gt=0)
    heartbeat_interval_s: float = Field(default=0.1, gt=0)
    placement_interval_s: float = Field(default=1.0, gt=0)
    max_loads_at_once: int = Field(
        default=4, ge=1, description="weight loads in progress in the whole cluster"
    )

    @model_validator(mode="after")
    def _check_peers(self) -> Self:
        names = [peer.name for peer in self.peers]
        if len(set(names)) < len(names):
            raise ValueError(f"each name once in peers, got {', '.join(sorted(names))}")
        unknown = sorted({self.name, *self.root_voters} - set(names))
        if unknown:
            missing = ", ".join(unknown)
            raise ValueError(
                f"peers to name this process and every root voter: {missing} not in peers"
            )
        if self.heartbeat_interval_s >= self.election_timeout_s:
            raise ValueError("heartbeat_interval_s below election_timeout_s")
        return self
