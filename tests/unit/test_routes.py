"""Tests the validation of route tables and the choice of a request's route."""

from __future__ import annotations

import time
from random import Random

import msgspec
import pytest

from leverjunction.api_keys import EMPTY_KEY_HASH, hash_key
from leverjunction.errors import Failure
from leverjunction.routes import (
    RateLimit,
    Route,
    RouteClass,
    RouteIndex,
    RouteTable,
    ServiceSpec,
    Tenant,
    WeightedService,
    check_table,
)
from leverjunction.routes.matching import draw_service


def route(name: str = "r", host: str = "h", prefix: str = "/a/", **changes: object) -> Route:
    fields: dict[str, object] = dict(
        name=name,
        host=host,
        prefix=prefix,
        kind=RouteClass.REPEATABLE,
        timeout_ms=100.0,
        target_ms=50.0,
        priority=0,
        services=(WeightedService(service="s", weight=1),),
        max_attempts=2,
    )
    fields.update(changes)
    return Route(**fields)  # type: ignore[arg-type]


def table(*routes: Route, version: int = 1) -> RouteTable:
    service = ServiceSpec(name="s", health_path="/", max_connections=10)
    return RouteTable(version=version, routes=routes, services=(service,))


def split(*weights: int) -> tuple[WeightedService, ...]:
    return tuple(WeightedService(service="s", weight=weight) for weight in weights)


@pytest.mark.parametrize(
    ("bad", "message"),
    [
        (table(route(), version=0), "version 0"),
        (table(route(services=(WeightedService(service="x", weight=1),))), "unknown service 'x'"),
        (table(route("one"), route("two")), "same host and prefix as route 'one'"),
        (table(route(services=split(0, 0))), "weights sum to 0"),
        (table(route(services=split(-1, 2))), "negative weight"),
        (table(route(timeout_ms=0.0)), "timeout of 0 ms"),
        (table(route(prefix="/a")), "begin and end with a slash"),
        (table(route(services=())), "names no service"),
    ],
)
def test_an_invalid_table_is_refused_with_its_problem(bad: RouteTable, message: str) -> None:
    failure = check_table(bad)
    assert isinstance(failure, Failure)
    assert message in failure.reason


def test_a_valid_table_is_accepted() -> None:
    assert check_table(table(route(), route("two", prefix="/a/b/"))) is None


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/x", "short"),
        ("H:8080", "/a/x", "short"),
        ("h", "/a/b/x", "long"),
        ("h", "/a/bx", "short"),
        ("h", "/c/", None),
        ("other", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host: str, path: str, name: str | None) -> None:
    index = RouteIndex(table(route("short"), route("long", prefix="/a/b/")))
    found = index.find(host, path)
    assert (found.name if found else None) == name


def test_requests_of_a_split_route_are_shared_by_weight() -> None:
    parts = (
        WeightedService(service="a", weight=90),
        WeightedService(service="b", weight=10),
        WeightedService(service="c", weight=0),
    )
    random = Random(1)
    drawn = [draw_service(route(services=parts), random) for _ in range(3000)]
    assert 0.88 < drawn.count("a") / 3000 < 0.92
    assert drawn.count("c") == 0


def tenants_table(*tenants: Tenant) -> RouteTable:
    return msgspec.structs.replace(table(route()), tenants=tenants)


def tenant(name: str, *keys: str, **changes: object) -> Tenant:
    return Tenant(name=name, key_hashes=tuple(hash_key(key) for key in keys), **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("tenants", "message"),
    [
        ([tenant("a", "k1", "k2"), tenant("b", "k2")], "tenants 'a' and 'b' share a key"),
        ([tenant("a", "k1"), tenant("a", "k2")], "tenant 'a' is listed twice"),
        ([tenant("a", "")], "tenant 'a' has an empty key"),
        ([tenant("")], "tenant name ''"),
        ([tenant("a b")], "tenant name 'a b'"),
        ([tenant("a", limit=RateLimit(per_s=-1.0))], "tenant 'a': a rate of -1"),
        ([tenant("a", limit=RateLimit(burst=float("nan")))], "tenant 'a': a burst of nan"),
    ],
)
def test_invalid_tenants_are_refused_without_naming_a_key(
    tenants: list[Tenant], message: str
) -> None:
    failure = check_table(tenants_table(*tenants))
    assert isinstance(failure, Failure)
    assert message in failure.reason
    assert hash_key("k2") not in failure.reason


def test_a_tenant_may_list_a_key_twice() -> None:
    assert check_table(tenants_table(tenant("a", "k", "k"), tenant("b", "l"))) is None


def test_a_tenant_is_found_by_each_of_its_keys() -> None:
    index = RouteIndex(tenants_table(tenant("a", "k1", "k2"), tenant("b", "k3")))
    found = [index.tenant_of_key(hash_key(key)) for key in ("k1", "k2", "k3", "k4", "")]
    assert [item and item.name for item in found] == ["a", "a", "b", None, None]
    assert index.tenant_of_key(EMPTY_KEY_HASH) is None
    assert index.has_tenants
    assert not RouteIndex(table(route())).has_tenants


def test_a_table_with_thousands_of_tenants_is_indexed_quickly() -> None:
    tenants = [tenant(f"t{number}", f"a{number}", f"b{number}") for number in range(5_600)]
    many = tenants_table(*tenants)
    started_s = time.perf_counter()
    assert check_table(many) is None
    index = RouteIndex(many)
    assert time.perf_counter() - started_s < 0.5
    found = index.tenant_of_key(hash_key("b5599"))
    assert found is not None and found.name == "t5599"
