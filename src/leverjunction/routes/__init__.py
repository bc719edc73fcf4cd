"""Route table: which service answers a host and path, by which rules."""

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
