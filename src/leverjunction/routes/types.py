"""Values of a route table. A table is replaced whole, by number; the highest number wins."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RouteClass(StrEnum):
    """How often a request of a route may run, and how its answer comes."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(msgspec.Struct, frozen=True, kw_only=True):
    """One part of a split route.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other parts' weights.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route.

    Attributes:
        name: Unique name, for logs.
        host: Host that requests name, without a port, lower case.
        prefix: Path prefix; begins and ends with a slash.
        kind: Class of repetition and form of the answer.
        timeout_ms: Longest time that a request is held.
        target_ms: Latency that is aimed at.
        priority: Rank, 0 is the most urgent.
        services: Where requests go; several for a split route.
        max_attempts: Back ends that one request may run on.
        resumable: A stream may be continued on another back end.
        affinity: Requests with the same prompt parts are kept together.
        head_within_ms: Callers of a stream leave when its first event has not come by then; 0 where
            only the request's own deadline counts.
        due_ms: Batch: time in which all items are due.
        give_up_s: Batch: time after which an item may be given up.
    """

    name: str
    host: str
    prefix: str
    kind: RouteClass
    timeout_ms: float
    target_ms: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    resumable: bool = False
    affinity: bool = False
    head_within_ms: float = 0.0
    due_ms: float = 0.0
    give_up_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteClass.REPEATABLE or (
            self.kind is RouteClass.STREAM and self.resumable
        )


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a service's model engines.

    Attributes:
        slots: Requests in one batch of an engine.
        kv_tokens: Tokens that an engine's memory holds.
    """

    slots: int
    kv_tokens: int


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One service.

    Attributes:
        name: Its name.
        health_path: Path of the back ends' health check.
        max_connections: Connections that one back end takes from all gateways together.
        engine: Set when its back ends are model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what callers send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """A whole table; version 0 is the empty one from before the first."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: RequestLimits = RequestLimits()
