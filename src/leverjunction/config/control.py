"""Configuration of a control process."""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from leverjunction.config.common import ProcessConfig


class ControlPeer(BaseModel):
    """A control process of the cluster."""

    model_config = ConfigDict(extra="forbid")

    name: str
    rpc_address: str = Field(description="host:port of its internal RPC")
    zone: str


class ControlConfig(ProcessConfig):
    """A control process: consensus replica, zone hub and placement."""

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
