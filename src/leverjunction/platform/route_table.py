"""The platform's form of a route table."""

from __future__ import annotations

import msgspec

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.routes.types import (
    EngineSpec,
    RequestLimits,
    Route,
    RouteClass,
    RouteTable,
    ServiceSpec,
    WeightedService,
)
from leverjunction.untrusted import read_json

_KINDS = {
    "idempotent": RouteClass.REPEATABLE,
    "non_idempotent": RouteClass.ONCE,
    "streaming": RouteClass.STREAM,
    "batch": RouteClass.BATCH,
}


STREAM_GAP_LEAST_MS = 2000.0
STREAM_GAP_TARGETS = 4.0
STREAM_GAP_PAUSES = 8.0
"""Callers leave a stream after a gap of two seconds, or so many target latencies, or so many of the
longest pauses that are in time, whichever is longest; also before its first event.
"""


class _Form(msgspec.Struct, rename="pascal", kw_only=True):
    """Base of the forms: the platform's fields are the product's in Pascal case."""


class _SplitForm(_Form):
    service: str
    weight: int


class _RouteForm(_Form):
    name: str
    hostname: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_SplitForm] = []
    max_attempts: int = 1
    session_affinity: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0
    due_ms: float = 0.0
    max_wait_s: float = 0.0


class _EngineForm(_Form):
    slots: int = 1
    kv_capacity_tokens: int = 0


class _ServiceForm(_Form):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: _EngineForm | None = None


class _LimitsForm(_Form):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _TableForm(_Form):
    version: int
    routes: list[_RouteForm]
    services: list[_ServiceForm]
    limits: _LimitsForm = msgspec.field(default_factory=_LimitsForm)


_DECODER = msgspec.json.Decoder(_TableForm)


def read_table(body: bytes) -> RouteTable | Failure:
    """Read a whole table; what it means is checked by ``routes.check_table``."""
    form = read_json(body, _DECODER)
    if isinstance(form, Failure):
        return _unreadable(form.reason)
    try:
        return RouteTable(
            version=form.version,
            routes=tuple(_route(route) for route in form.routes),
            services=tuple(_service(service) for service in form.services),
            limits=RequestLimits(**msgspec.structs.asdict(form.limits)),
        )
    except KeyError as error:
        return _unreadable(f"no route is of kind {error}")


def _unreadable(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=f"the table cannot be read: {reason}",
        step=Step.PARSING,
    )


def _route(form: _RouteForm) -> Route:
    split = [
        WeightedService(service=part.service, weight=part.weight) for part in form.traffic_split
    ]
    services = split or [WeightedService(service=form.service, weight=1)]
    return Route(
        name=form.name,
        host=form.hostname.lower(),
        prefix=form.path_prefix,
        kind=_KINDS[form.route_kind],
        timeout_ms=form.timeout_ms,
        target_ms=form.target_latency_ms,
        priority=form.priority,
        services=tuple(services),
        max_attempts=form.max_attempts,
        resumable=form.resumable,
        affinity=form.session_affinity,
        head_within_ms=_head_within_ms(form),
        due_ms=form.due_ms,
        give_up_s=form.max_wait_s,
    )


def _head_within_ms(form: _RouteForm) -> float:
    if _KINDS[form.route_kind] is not RouteClass.STREAM:
        return 0.0
    return max(
        STREAM_GAP_LEAST_MS,
        STREAM_GAP_TARGETS * form.target_latency_ms,
        STREAM_GAP_PAUSES * form.gap_aim_ms,
    )


def _service(form: _ServiceForm) -> ServiceSpec:
    engine = None
    if form.engine is not None:
        engine = EngineSpec(slots=form.engine.slots, kv_tokens=form.engine.kv_capacity_tokens)
    return ServiceSpec(
        name=form.name,
        health_path=form.health_path,
        max_connections=form.max_connections,
        engine=engine,
    )
