"""Data types of a route table.

A table is only ever replaced as a whole; the one with the highest version is in force.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RouteClass(StrEnum):
    """How often a request may run, and in which form its response is delivered."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(msgspec.Struct, frozen=True, kw_only=True):
    """Service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the other weights of the route.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for the requests to a host and path prefix.

    Attributes:
        name: Unique name, used in logs.
        host: Host name of the requests in lower case, without a port.
        prefix: Path prefix that begins and ends with a slash.
        kind: How often a request may run, and the form of its response.
        timeout_ms: Longest time until the complete response, in milliseconds.
        target_ms: Target latency in milliseconds.
        priority: Rank, where 0 is the most urgent.
        services: Services that receive the requests; several for a split route.
        max_attempts: Number of back ends on which one request may run.
        resumable: A stream may be continued on another back end.
        affinity: Requests with the same prompt parts go to the same back end where possible.
        head_within_ms: Time after which callers of a stream disconnect if they have received no
            event, in milliseconds; 0 if only the request's own deadline applies.
        due_ms: For batch routes, time in which all items are due, in milliseconds.
        give_up_s: For batch routes, time after which an item may be given up, in seconds.
        is_public: Callers need no key, also where the table has tenants.
        max_queued_tokens: For batch routes, tokens that one tenant may have waiting at all stores
            together; 0 for no limit.
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
    is_public: bool = False
    max_queued_tokens: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteClass.REPEATABLE or (
            self.kind is RouteClass.STREAM and self.resumable
        )


class EngineSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a service's model engines.

    Attributes:
        slots: Requests that an engine processes in one batch.
        kv_tokens: Capacity of an engine's key-value cache, in tokens.
    """

    slots: int
    kv_tokens: int


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A service, which is run by several back ends.

    Attributes:
        name: Unique name.
        health_path: Path of the back ends' health check.
        max_connections: Connections that one back end accepts from all gateways together.
        engine: Properties of its model engines; None if its back ends are no model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the requests of callers.

    Attributes:
        max_header_bytes: Maximum size of a request's head.
        max_body_bytes: Maximum size of a request's body.
        header_timeout_ms: Longest time from the first byte of a request's head to its end.
        idle_timeout_ms: Longest time without a request on a connection, and longest time from the
            head of a request to the end of its body.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class RateLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit on the requests of one tenant over all gateways: a token bucket.

    Attributes:
        per_s: Requests per second on average; 0 for no limit.
        burst: Requests beyond that rate, in any period.
    """

    per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.per_s > 0


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant, on whose behalf callers send requests.

    Attributes:
        name: Unique name; back ends receive it with each request.
        key_hashes: Hashes of its API keys (``api_keys.hash_key``). The keys themselves are kept
            only in the text that the operator wrote.
        priority: Rank among the tenants, where 0 is the most urgent.
        limit: Limit on its requests; items of batch jobs do not count.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    priority: int = 0
    limit: RateLimit = RateLimit()


class RouteTable(msgspec.Struct, frozen=True, kw_only=True):
    """A complete route table; version 0 is the empty table before the first one is received.

    Attributes:
        version: Version; the highest one is in force.
        routes: The routes.
        services: The services that they lead to.
        limits: Limits on the size and duration of requests.
        tenants: The tenants. If there are any, callers need a key except on public routes.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    limits: RequestLimits = RequestLimits()
    tenants: tuple[Tenant, ...] = ()
