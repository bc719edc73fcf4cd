"""Tests that callers are identified by key, through a gateway's real ports."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest
from tests.unit.proxy_support import Proxy

from leverjunction.api_keys import hash_key
from leverjunction.routes import RateLimit, RouteClass, RouteIndex, RouteTable, Tenant
from testbed import platform_words as words
from testbed.routed import RunnerStandIn, make_route, make_table

PATH = "/repeatable/x"
STREAM = "/resumable/x"
PUBLIC = "/public/x"
TENANT = words.TENANT.lower()
KEY = words.API_KEY.lower()
LIMIT = RateLimit(per_s=1.0, burst=3.0)


def make_tenants_table(*tenants: Tenant) -> RouteTable:
    table = make_table(
        make_route(RouteClass.REPEATABLE),
        make_route(RouteClass.STREAM, name="resumable", prefix="/resumable/", resumable=True),
        make_route(RouteClass.REPEATABLE, name="public", prefix="/public/", is_public=True),
    )
    return msgspec.structs.replace(table, tenants=tenants)


def tenant(name: str, *keys: str, **changes: object) -> Tenant:
    return Tenant(name=name, key_hashes=tuple(hash_key(key) for key in keys), **changes)  # type: ignore[arg-type]


@pytest.fixture
def runner() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def proxy(runner: RunnerStandIn) -> Iterator[Proxy]:
    table = make_tenants_table(
        tenant("acme", "key-1", "key-2"), tenant("small", "key-3", limit=LIMIT)
    )
    with Proxy(table, [runner]) as proxy:
        yield proxy


def test_a_back_end_learns_the_tenant_and_not_the_key(proxy: Proxy, runner: RunnerStandIn) -> None:
    for key in ("key-1", "key-2"):
        fields = {"Leverjunction_Key": key, "Leverjunction_Tenant": "somebody"}
        assert proxy.ask(PATH, **fields).status == 200
    for seen in runner.seen:
        assert seen.headers[TENANT] == "acme"
        assert KEY not in seen.headers
    assert len(runner.seen) == 2


@pytest.mark.parametrize("key", ["wrong-key", "", "k" * 300, None])
def test_without_a_valid_key_nothing_runs(
    proxy: Proxy, runner: RunnerStandIn, key: str | None
) -> None:
    fields = {} if key is None else {"Leverjunction_Key": key}
    reply = proxy.ask(PATH, **fields)
    assert reply.status == 401
    assert not key or key.encode() not in reply.body
    assert not runner.seen


@pytest.mark.parametrize(("key", "name"), [(None, None), ("unknown", None), ("key-1", "acme")])
def test_a_public_route_needs_no_key(
    proxy: Proxy, runner: RunnerStandIn, key: str | None, name: str | None
) -> None:
    fields = {"Leverjunction_Tenant": "somebody"}
    if key is not None:
        fields["Leverjunction_Key"] = key
    assert proxy.ask(PUBLIC, **fields).status == 200
    assert runner.seen[0].headers.get(TENANT) == name


def test_an_unknown_key_is_not_refused_for_good_by_an_old_table(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    proxy.table_age_s = 5.0
    reply = proxy.ask(PATH, Leverjunction_Key="unknown")
    assert reply.status == 503
    assert proxy.ask(PATH, Leverjunction_Key="key-1").status == 200
    assert len(runner.seen) == 1


def test_a_removed_key_is_refused_on_an_open_connection(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    caller = proxy.caller()
    fields = {
        "Host": "app.example",
        "Leverjunction-Request-Id": "r1",
        "Leverjunction-Key": "key-2",
    }
    assert caller.ask("POST", PATH, fields, b"ask").status == 200
    table = make_tenants_table(tenant("acme", "key-1"))
    proxy.call(lambda: proxy.forwarder.set_table(RouteIndex(table)))
    assert caller.ask("POST", PATH, fields, b"ask").status == 401
    caller.close()
    assert len(runner.seen) == 1


def test_a_continued_stream_keeps_its_tenant(runner: RunnerStandIn) -> None:
    with RunnerStandIn("i-2") as second:
        table = make_tenants_table(tenant("acme", "key-1"))
        with Proxy(table, [runner, second]) as proxy:
            for each in (runner, second):
                each.then("stream cut in an event", "stream")
            reply = proxy.ask(STREAM, Leverjunction_Key="key-1")
            assert reply.status == 200
            seen = [*runner.seen, *second.seen]
            assert len(seen) >= 2
            assert {item.headers[TENANT] for item in seen} == {"acme"}


def test_requests_beyond_the_limit_are_told_when_to_return(
    proxy: Proxy, runner: RunnerStandIn
) -> None:
    replies = [proxy.ask(PATH, Leverjunction_Key="key-3") for _ in range(8)]
    statuses = [reply.status for reply in replies]
    assert statuses.count(200) == len(runner.seen) < 8
    assert set(statuses) == {200, 429}
    refused = next(reply for reply in replies if reply.status == 429)
    assert 0 < float(refused.headers["retry-after"]) <= 10
    assert proxy.ask(PATH, Leverjunction_Key="key-1").status == 200, "another tenant"


def test_an_allowance_comes_back_when_nothing_ran(runner: RunnerStandIn) -> None:
    table = make_tenants_table(tenant("small", "key-3", limit=LIMIT))
    with Proxy(table, []) as proxy:
        statuses = [proxy.ask(PATH, Leverjunction_Key="key-3").status for _ in range(8)]
        assert statuses == [503] * 8
