"""A small route table for tests and trials."""

from __future__ import annotations

from leverjunction.routes.types import (
    Route,
    RouteClass,
    RouteTable,
    ServiceSpec,
    WeightedService,
)

HOST = "app.example"
SERVICE = "pool"


def make_route(kind: RouteClass, **changes: object) -> Route:
    """Return a route under ``/KIND/``; ``changes`` replace single fields."""
    fields: dict[str, object] = {
        "name": kind.value,
        "host": HOST,
        "prefix": f"/{kind.value}/",
        "kind": kind,
        "timeout_ms": 2000.0,
        "target_ms": 200.0,
        "priority": 0,
        "services": (WeightedService(service=SERVICE, weight=1),),
        "max_attempts": 2,
    }
    fields.update(changes)
    return Route(**fields)  # type: ignore[arg-type]


def make_table(*routes: Route, version: int = 1) -> RouteTable:
    """Return a table of these routes, or of one of each kind."""
    chosen = routes or tuple(make_route(kind) for kind in RouteClass)
    service = ServiceSpec(name=SERVICE, health_path="/health", max_connections=100)
    return RouteTable(version=version, routes=chosen, services=(service,))
