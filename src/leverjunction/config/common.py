"""Configuration shared by gateway and control processes."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

HIGHEST_PORT = 65535


def _validate_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > HIGHEST_PORT:
        raise ValueError("host:port")
    return text


Address = Annotated[str, AfterValidator(_validate_address)]
"""``host:port`` of another process."""


class ListenConfig(BaseModel):
    """IP address and ports that a process listens on."""

    model_config = ConfigDict(extra="forbid")

    host: str = Field(default="127.0.0.1", description="IP address to listen on")
    http_port: int = Field(ge=0, le=65535, description="callers' or operators' HTTP port")
    rpc_port: int = Field(ge=0, le=65535, description="internal RPC port")


class LogConfig(BaseModel):
    """Logging configuration of a process."""

    model_config = ConfigDict(extra="forbid")

    level: Literal["TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL"] = Field(
        default="INFO", description="loguru level"
    )
    json_lines: bool = Field(default=False, description="one JSON object a line")


class ProcessConfig(BaseModel):
    """Configuration common to all processes."""

    model_config = ConfigDict(extra="forbid")

    name: str = Field(min_length=1, description="unique name of this process")
    region: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: ListenConfig
    cluster_key_file: Path = Field(description="file holding the cluster's shared secret")
    data_folder: Path = Field(description="folder for this process's files")
    log: LogConfig = LogConfig()
