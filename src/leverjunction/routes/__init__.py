"""Route table: maps the host and path of a request to a service and its delivery rules."""

from leverjunction.routes.checks import check_table
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import (
    EngineSpec,
    RequestLimits,
    Route,
    RouteClass,
    RouteTable,
    ServiceSpec,
    WeightedService,
)

__all__ = [
    "EngineSpec",
    "RequestLimits",
    "Route",
    "RouteClass",
    "RouteIndex",
    "RouteTable",
    "ServiceSpec",
    "WeightedService",
    "check_table",
]
