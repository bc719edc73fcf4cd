"""Configuration of a gateway process."""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from leverjunction.config.common import Address, ProcessConfig


class GatewayConfig(ProcessConfig):
    """Configuration of a gateway, which serves callers over HTTP and sends batch work.

    A gateway needs no durable data.
    """

    hubs: list[Address] = Field(
        min_length=1, description="RPC addresses of control processes, own zone first"
    )
    request_threads: int = Field(default=256, ge=4, description="CherryPy worker threads")
    exchange_interval_s: float = Field(default=1.0, gt=0)
    max_body_bytes: int = Field(default=8 * 1024 * 1024, gt=0)
    operator_token_file: Path | None = Field(
        default=None, description="file holding the operators' bearer token; none: no operator API"
    )
    drain_timeout_s: float = Field(
        default=120.0, gt=0, description="longest wait for open requests at a planned stop"
    )
