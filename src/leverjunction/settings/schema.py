"""Schema of the settings tree, validated by pydantic; unknown keys are refused.

Serving settings inherit along ``defaults`` -> ``regions/R`` -> ``regions/R/zones/Z`` ->
``services/S`` -> ``services/S/models/M`` -> ``services/S/models/M/adapters/A``. Each of these may
have a ``serving`` block and inherits the leaves that it does not set (``settings.inheritance``).
The limits of tenants inherit from ``defaults`` in the same way.
"""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", allow_inf_nan=False)


class Serving(_Strict):
    """Serving settings; None means that the value is inherited from the parent."""

    interference: float | None = Field(
        default=None, ge=0, le=10, description="allowed growth of step time by batch, 0.05 is 5%"
    )
    deadline_s: float | None = Field(default=None, gt=0, description="whole online request")
    queue_timeout_s: float | None = Field(default=None, gt=0)
    max_queue: int | None = Field(default=None, ge=0, description="requests queued per gateway")
    max_running_per_runner: int | None = Field(default=None, ge=1)
    retry_budget_ratio: float | None = Field(default=None, ge=0, le=1)
    max_attempts: int | None = Field(default=None, ge=1)
    prefix_weight: float | None = Field(default=None, ge=0)
    online_priority: int | None = Field(default=None, ge=0, le=9)
    batch_priority: int | None = Field(default=None, ge=0, le=9)
    batch_max_running: int | None = Field(default=None, ge=0)
    batch_floor: int | None = Field(default=None, ge=0)
    batch_max_lost_runs: int | None = Field(
        default=None, ge=3, le=100, description="runs of an item that may lose their runner"
    )


class TenantLimits(_Strict):
    """Limits of a tenant; None means that the value is inherited from ``defaults``."""

    requests_per_s: float | None = Field(default=None, gt=0)
    burst: int | None = Field(default=None, ge=1)
    concurrency: int | None = Field(default=None, ge=1)
    max_job_items: int | None = Field(default=None, ge=1)


class Defaults(_Strict):
    """Default settings, from which all others inherit."""

    serving: Serving = Serving()
    limits: TenantLimits = TenantLimits()


class Zone(_Strict):
    """A zone of a region."""

    serving: Serving = Serving()


class Region(_Strict):
    """A region with its zones."""

    serving: Serving = Serving()
    zones: dict[str, Zone] = {}


class Adapter(_Strict):
    """An adapter of a model."""

    version: str = Field(default="1", min_length=1)
    serving: Serving = Serving()


class Model(_Strict):
    """A model of a service: its desired version and the number of runners that load it."""

    version: str = Field(default="1", min_length=1)
    replicas: int = Field(default=0, ge=0, description="0: on every runner of the service")
    serving: Serving = Serving()
    adapters: dict[str, Adapter] = {}


class Service(_Strict):
    """A service: a pool of runners that serve its models."""

    serving: Serving = Serving()
    models: dict[str, Model] = {}
    draining_runners: list[str] = Field(default=[], description="runners to take out of service")


class Tenant(_Strict):
    """A tenant: hashes of its API keys, limits, and the services it may call."""

    api_key_hashes: list[str] = Field(min_length=1, description="SHA-256 of each key, in hex")
    limits: TenantLimits = TenantLimits()
    services: list[str] = Field(default=[], description="empty: all services")


class BatchClass(_Strict):
    """A class of batch jobs."""

    deadline_s: float = Field(default=86400.0, gt=0)
    weight: float = Field(default=1.0, gt=0)
    results_retention_s: float = Field(
        default=604_800.0, gt=0, description="how long results stay readable after the job's end"
    )


class SettingsTree(_Strict):
    """The whole settings tree."""

    defaults: Defaults = Defaults()
    regions: dict[str, Region] = {}
    services: dict[str, Service] = {}
    tenants: dict[str, Tenant] = {}
    batch_classes: dict[str, BatchClass] = {}
