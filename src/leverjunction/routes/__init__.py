"""Route table: maps the host and path of a request to a service and its delivery rules."""

from leverjunction.routes.checks import check_table
from leverjunction.routes.matching import RouteIndex
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

__all__ = [
    "EngineSpec",
    "RateLimit",
    "RequestLimits",
    "Route",
    "RouteClass",
    "RouteIndex",
    "RouteTable",
    "ServiceSpec",
    "Tenant",
    "WeightedService",
    "check_table",
]
