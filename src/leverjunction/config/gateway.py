"""Configuration of a gateway process."""

from __future__ import annotations

from pydantic import Field

from leverjunction.config.common import ProcessConfig


class GatewayConfig(ProcessConfig):
    """A gateway: callers' HTTP, routing and batch harvest. Needs no durable data."""

    hubs: list[str] = Field(
        min_length=1, description="RPC addresses of control processes, own zone first"
    )
    request_threads: int = Field(default=256, ge=4, description="CherryPy worker threads")
    exchange_interval_s: float = Field(default=1.0, gt=0)
    max_body_bytes: int = Field(default=8 * 1024 * 1024, gt=0)
