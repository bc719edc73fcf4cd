"""Parses the platform's JSON route table."""

from __future__ import annotations

import msgspec

from leverjunction.api_keys import hash_key
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.routes.types import (
    EngineSpec,
    RateLimit,
    RequestLimits,
    Route,
    RouteClass,
    RouteTable,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from leverjunction.untrusted import read_json

_ROUTE_KINDS = {
    "idempotent": RouteClass.REPEATABLE,
    "non_idempotent": RouteClass.ONCE,
    "streaming": RouteClass.STREAM,
    "batch": RouteClass.BATCH,
}


MIN_STREAM_GAP_MS = 2000.0
STREAM_GAP_TARGETS = 4.0
STREAM_GAP_PAUSES = 8.0
"""Callers disconnect from a stream after the longest of three gaps, also before its first event.

These are two seconds, a multiple of the route's target latency, and a multiple of the longest pause
between events that the route aims for.
"""


class _Payload(msgspec.Struct, rename="pascal", kw_only=True):
    """Base class of JSON objects whose field names are those of the attributes in Pascal case."""


class _SplitPayload(_Payload):
    service: str
    weight: int


class _RoutePayload(_Payload):
    name: str
    hostname: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_SplitPayload] = []
    max_attempts: int = 1
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    due_ms: float = 0.0
    max_wait_s: float = 0.0
    public: bool = False
    max_queued_tokens: int | None = None


class _EnginePayload(_Payload):
    slots: int = 1
    kv_capacity_tokens: int = 0


class _ServicePayload(_Payload):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: _EnginePayload | None = None


class _LimitsPayload(_Payload):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _TenantPayload(_Payload):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float | None = None
    burst: float | None = None


class _TablePayload(_Payload):
    version: int
    routes: list[_RoutePayload]
    services: list[_ServicePayload]
    limits: _LimitsPayload = msgspec.field(default_factory=_LimitsPayload)
    tenants: list[_TenantPayload] | None = None


_DECODER = msgspec.json.Decoder(_TablePayload)


def read_table(body: bytes) -> RouteTable | Failure:
    """Parse a complete table; ``routes.check_table`` validates its contents."""
    payload = read_json(body, _DECODER)
    if isinstance(payload, Failure):
        return _invalid(payload.reason)
    try:
        return RouteTable(
            version=payload.version,
            routes=tuple(_route(route) for route in payload.routes),
            services=tuple(_service(service) for service in payload.services),
            limits=RequestLimits(**msgspec.structs.asdict(payload.limits)),
            tenants=tuple(_tenant(tenant) for tenant in payload.tenants or ()),
        )
    except KeyError as error:
        return _invalid(f"unknown route kind {error}")


def _invalid(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"the table cannot be read: {reason}",
        step=Step.PARSING,
        execution=Execution.NOT_RUN,
    )


def _route(payload: _RoutePayload) -> Route:
    split = [
        WeightedService(service=part.service, weight=part.weight) for part in payload.traffic_split
    ]
    services = split or [WeightedService(service=payload.service, weight=1)]
    return Route(
        name=payload.name,
        host=payload.hostname.lower(),
        prefix=payload.path_prefix,
        kind=_ROUTE_KINDS[payload.route_kind],
        timeout_ms=payload.timeout_ms,
        target_ms=payload.target_latency_ms,
        priority=payload.priority,
        services=tuple(services),
        max_attempts=payload.max_attempts,
        resumable=payload.resumable,
        affinity=payload.session_affinity,
        head_within_ms=_head_within_ms(payload),
        due_ms=payload.due_ms,
        give_up_s=payload.max_wait_s,
        is_public=payload.public,
        max_queued_tokens=payload.max_queued_tokens or 0,
    )


def _head_within_ms(payload: _RoutePayload) -> float:
    if _ROUTE_KINDS[payload.route_kind] is not RouteClass.STREAM:
        return 0.0
    return max(
        MIN_STREAM_GAP_MS,
        STREAM_GAP_TARGETS * payload.target_latency_ms,
        STREAM_GAP_PAUSES * payload.gap_aim_ms,
    )


def _tenant(payload: _TenantPayload) -> Tenant:
    return Tenant(
        name=payload.name,
        key_hashes=tuple(hash_key(key) for key in payload.api_keys),
        priority=payload.priority,
        limit=RateLimit(per_s=payload.rate_per_s or 0.0, burst=payload.burst or 0.0),
    )


def _service(payload: _ServicePayload) -> ServiceSpec:
    engine = None
    if payload.engine is not None:
        engine = EngineSpec(slots=payload.engine.slots, kv_tokens=payload.engine.kv_capacity_tokens)
    return ServiceSpec(
        name=payload.name,
        health_path=payload.health_path,
        max_connections=payload.max_connections,
        engine=engine,
    )
