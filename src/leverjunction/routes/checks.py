"""Checks of a route table before it is accepted."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.routes.types import Route, RouteTable

Check = Callable[[RouteTable], Iterator[str]]
"""Yields what is wrong with a table, one sentence each."""

CHECKS: list[Check] = []


def _check(check: Check) -> Check:
    CHECKS.append(check)
    return check


def check_table(table: RouteTable) -> Failure | None:
    """Return BAD_REQUEST with all that is wrong with a table, or None."""
    faults = [fault for check in CHECKS for fault in check(table)]
    if not faults:
        return None
    return Failure(kind=FailureKind.BAD_REQUEST, reason="; ".join(faults), step=Step.CONFIGURATION)


@_check
def _version_is_positive(table: RouteTable) -> Iterator[str]:
    if table.version < 1:
        yield f"version {table.version}: expected a whole number above 0"


@_check
def _services_exist(table: RouteTable) -> Iterator[str]:
    known = {service.name for service in table.services}
    for route in table.routes:
        if not route.services:
            yield f"{_named(route)} names no service"
        for part in route.services:
            if part.service not in known:
                yield f"{_named(route)} names the unknown service {part.service!r}"


@_check
def _services_are_unique(table: RouteTable) -> Iterator[str]:
    seen: set[str] = set()
    for service in table.services:
        if service.name in seen:
            yield f"service {service.name!r} stands twice"
        seen.add(service.name)


@_check
def _places_are_unique(table: RouteTable) -> Iterator[str]:
    seen: dict[tuple[str, str], str] = {}
    for route in table.routes:
        place = (route.host, route.prefix)
        if place in seen:
            yield f"{_named(route)} has the host and prefix of route {seen[place]!r}"
        seen[place] = route.name


@_check
def _prefixes_are_paths(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield f"{_named(route)}: prefix {route.prefix!r} must begin and end with a slash"


@_check
def _weights_sum_above_zero(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if any(part.weight < 0 for part in route.services):
            yield f"{_named(route)} has a negative weight"
        elif route.services and sum(part.weight for part in route.services) <= 0:
            yield f"{_named(route)}: its weights sum to 0"


@_check
def _timeouts_are_positive(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if route.timeout_ms <= 0:
            yield f"{_named(route)}: a timeout of {route.timeout_ms:g} ms, expected above 0"


def _named(route: Route) -> str:
    return f"route {route.name!r}"
