"""Validates a route table before it is accepted."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from leverjunction.api_keys import EMPTY_KEY_HASH
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.routes.types import Route, RouteTable
from leverjunction.untrusted import is_name

Check = Callable[[RouteTable], Iterator[str]]
"""Yields one sentence for each problem that it finds in a table."""

CHECKS: list[Check] = []


def _register(check: Check) -> Check:
    CHECKS.append(check)
    return check


def check_table(table: RouteTable) -> Failure | None:
    """Return None for a valid table, or a BAD_REQUEST failure that names all its problems."""
    problems = [problem for check in CHECKS for problem in check(table)]
    if not problems:
        return None
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason="; ".join(problems),
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )


@_register
def _version_is_positive(table: RouteTable) -> Iterator[str]:
    if table.version < 1:
        yield f"version {table.version}: expected a whole number above 0"


@_register
def _services_exist(table: RouteTable) -> Iterator[str]:
    known = {service.name for service in table.services}
    for route in table.routes:
        if not route.services:
            yield f"{_describe(route)} names no service"
        for part in route.services:
            if part.service not in known:
                yield f"{_describe(route)} names the unknown service {part.service!r}"


@_register
def _services_are_unique(table: RouteTable) -> Iterator[str]:
    seen: set[str] = set()
    for service in table.services:
        if service.name in seen:
            yield f"service {service.name!r} is listed twice"
        seen.add(service.name)


@_register
def _hosts_and_prefixes_are_unique(table: RouteTable) -> Iterator[str]:
    seen: dict[tuple[str, str], str] = {}
    for route in table.routes:
        key = (route.host, route.prefix)
        if key in seen:
            yield f"{_describe(route)} has the same host and prefix as route {seen[key]!r}"
        seen[key] = route.name


@_register
def _prefixes_are_paths(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield f"{_describe(route)}: prefix {route.prefix!r} must begin and end with a slash"


@_register
def _weights_sum_above_zero(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if any(part.weight < 0 for part in route.services):
            yield f"{_describe(route)} has a negative weight"
        elif route.services and sum(part.weight for part in route.services) <= 0:
            yield f"{_describe(route)}: the weights sum to 0"


@_register
def _timeouts_are_positive(table: RouteTable) -> Iterator[str]:
    for route in table.routes:
        if route.timeout_ms <= 0:
            yield f"{_describe(route)}: a timeout of {route.timeout_ms:g} ms, expected above 0"


@_register
def _tenants_have_unique_names(table: RouteTable) -> Iterator[str]:
    seen: set[str] = set()
    for tenant in table.tenants:
        if not is_name(tenant.name):
            yield f"tenant name {tenant.name!r}: expected printable ASCII without spaces"
        if tenant.name in seen:
            yield f"tenant {tenant.name!r} is listed twice"
        seen.add(tenant.name)


@_register
def _keys_belong_to_one_tenant(table: RouteTable) -> Iterator[str]:
    owners: dict[str, str] = {}
    for tenant in table.tenants:
        for key_hash in tenant.key_hashes:
            if key_hash == EMPTY_KEY_HASH:
                yield f"tenant {tenant.name!r} has an empty key"
            owner = owners.setdefault(key_hash, tenant.name)
            if owner != tenant.name:
                yield f"tenants {owner!r} and {tenant.name!r} share a key"


@_register
def _limits_are_not_negative(table: RouteTable) -> Iterator[str]:
    for tenant in table.tenants:
        for name, value in (("rate", tenant.limit.per_s), ("burst", tenant.limit.burst)):
            if not 0 <= value < math.inf:
                yield f"tenant {tenant.name!r}: a {name} of {value:g}, expected 0 or more"
    for route in table.routes:
        if route.max_queued_tokens < 0:
            yield f"{_describe(route)}: {route.max_queued_tokens} queued tokens, expected 0 or more"


def _describe(route: Route) -> str:
    return f"route {route.name!r}"
