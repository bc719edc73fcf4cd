"""Tests the platform adapter: header fields, route tables and batch items."""

from __future__ import annotations

import json

import pytest

from leverjunction.api_keys import hash_key
from leverjunction.errors import Failure
from leverjunction.platform import gateway_calls
from leverjunction.platform.headers import PlatformDialect
from leverjunction.platform.route_table import read_table
from leverjunction.routes import RouteClass, RouteTable, check_table

TABLE = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Hostname": "App.Example",
            "PathPrefix": "/a/",
            "RouteKind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 300,
            "Priority": 1,
            "TrafficSplit": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}],
            "MaxAttempts": 1,
            "Resumable": True,
            "Later": "an unknown field",
        },
        {
            "Name": "r2",
            "Hostname": "app.example",
            "PathPrefix": "/b/",
            "RouteKind": "batch",
            "TimeoutMs": 30000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": "s1",
            "MaxAttempts": 3,
            "DueMs": 20000,
            "MaxWaitS": 60,
        },
    ],
    "Services": [
        {
            "Name": "s1",
            "HealthPath": "/health",
            "MaxConnections": 200,
            "Engine": {"Slots": 12, "KvCapacityTokens": 147261},
        },
        {"Name": "s2", "HealthPath": "/health", "MaxConnections": 100},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


def test_a_route_table_is_translated_completely() -> None:
    table = read_table(json.dumps(TABLE).encode())
    assert isinstance(table, RouteTable)
    assert check_table(table) is None
    first, second = table.routes
    assert (table.version, first.host, first.kind) == (7, "app.example", RouteClass.STREAM)
    assert [(part.service, part.weight) for part in first.services] == [("s1", 90), ("s2", 10)]
    assert (first.resumable, first.repeatable, second.repeatable) == (True, True, False)
    assert (second.kind, second.due_ms, second.give_up_s) == (RouteClass.BATCH, 20000, 60)
    assert table.services[0].engine is not None
    assert table.services[0].engine.slots == 12
    assert table.limits.idle_timeout_ms == 15000


@pytest.mark.parametrize(
    "change",
    [
        {"Version": "seven"},
        {"Routes": None},
        {"Routes": [{"Name": "r"}]},
        {"Routes": [{**TABLE["Routes"][0], "RouteKind": "other"}]},  # type: ignore[index]
    ],
)
def test_a_malformed_table_is_refused(change: dict[str, object]) -> None:
    assert isinstance(read_table(json.dumps({**TABLE, **change}).encode()), Failure)


def test_a_truncated_table_is_refused() -> None:
    assert isinstance(read_table(json.dumps(TABLE).encode()[:-9]), Failure)


def test_request_headers_are_parsed() -> None:
    metadata = PlatformDialect().read_request(
        [
            (b"leverjunction-request-id", b"9c41"),
            (b"Leverjunction-Deadline-Ms", b"8000"),
            (b"Leverjunction-Token-Count", b"1460,80"),
            (b"Leverjunction-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410"),
            (b"Last-Event-Id", b"7"),
        ]
    )
    assert (metadata.request_id, metadata.deadline_ms, metadata.last_event_id) == (
        "9c41",
        8000.0,
        "7",
    )
    assert (metadata.tokens_in, metadata.tokens_out) == (1460, 80)
    assert [(part.key, part.tokens) for part in metadata.parts] == [
        ("5c1e07a2", 800),
        ("91bd3f06", 410),
    ]


@pytest.mark.parametrize("value", [b"", b"soon", b"-5", b"nan;"])
def test_a_malformed_deadline_counts_as_absent(value: bytes) -> None:
    metadata = PlatformDialect().read_request([(b"Leverjunction-Deadline-Ms", value)])
    assert metadata.deadline_ms is None


def test_headers_of_a_request_to_a_back_end() -> None:
    headers = [(b"Host", b"h"), (b"leverjunction-deadline-ms", b"9"), (b"last-event-id", b"1")]
    sent = PlatformDialect().forwarded_headers(headers, 123.9, "i-1", "")
    assert sent == [
        (b"Host", b"h"),
        (b"last-event-id", b"1"),
        (b"Leverjunction-Deadline-Ms", b"123"),
        (b"Leverjunction-Expect-Instance", b"i-1"),
    ]
    continued = PlatformDialect().forwarded_headers(headers, 5.0, "i-1", "4")
    assert (b"Last-Event-Id", b"4") in continued
    assert (b"last-event-id", b"1") not in continued


def test_response_headers_are_parsed() -> None:
    response = PlatformDialect().read_response(
        [
            (b"Leverjunction-Request-Id", b"9c41"),
            (b"Leverjunction-Server-Stamp", b"x"),
            (b"Leverjunction-Instance-Load", b"3,1,8"),
            (b"Keep-Alive", b"timeout=5, max=10"),
            (b"Connection", b"Close"),
        ]
    )
    assert (response.request_id, response.signed, response.not_run) == ("9c41", True, False)
    assert response.load is not None
    assert (response.load.running, response.load.waiting, response.load.slots) == (3, 1, 8)
    assert (response.keep_alive_s, response.closes) == (5.0, True)


@pytest.mark.parametrize("value", [b"", b"3,1", b"3,x,8", b"busy"])
def test_a_malformed_load_counts_as_absent(value: bytes) -> None:
    response = PlatformDialect().read_response([(b"Leverjunction-Instance-Load", value)])
    assert response.load is None


def test_headers_of_the_proxys_own_response() -> None:
    assert PlatformDialect().own_response_headers("9c41", 0.25) == [
        (b"Leverjunction-Request-Id", b"9c41"),
        (b"Retry-After", b"0.250"),
    ]
    assert PlatformDialect().own_response_headers("", None) == []


@pytest.mark.parametrize(
    ("path", "headers", "sendable"),
    [
        ("/batch/1?q=2", {"X-Note": "a b\tc"}, True),
        ("/batch/1", {"X-Note": "a\nb"}, False),
        ("/batch/1", {"X\rNote": "a"}, False),
        ("/batch/1 HTTP/1.1", {}, False),
        ("batch", {}, False),
        ("", {}, False),
    ],
)
def test_an_item_that_http_cannot_carry_is_recognized(
    path: str, headers: dict[str, str], sendable: bool
) -> None:
    item = gateway_calls._ItemPayload(id="i", path=path, headers=headers, body=b"", tokens=1)
    assert gateway_calls._is_sendable(item) is sendable


TENANTS = [
    {"Name": "t1", "ApiKeys": ["k1", "k2"], "Priority": 1, "RatePerS": 99, "Burst": 50},
    {"Name": "t2", "ApiKeys": []},
]


def test_tenants_are_translated_without_their_keys() -> None:
    routes = [{**TABLE["Routes"][0], "Public": True}, {**TABLE["Routes"][1], "MaxQueuedTokens": 9}]  # type: ignore[index]
    table = read_table(json.dumps({**TABLE, "Routes": routes, "Tenants": TENANTS}).encode())
    assert isinstance(table, RouteTable)
    assert check_table(table) is None
    first, second = table.tenants
    assert (first.name, first.priority, first.limit.per_s, first.limit.burst) == ("t1", 1, 99, 50)
    assert first.key_hashes == (hash_key("k1"), hash_key("k2"))
    assert (second.key_hashes, second.limit.is_limited) == ((), False)
    assert [route.is_public for route in table.routes] == [True, False]
    assert [route.max_queued_tokens for route in table.routes] == [0, 9]


@pytest.mark.parametrize("tenants", [[{"ApiKeys": ["k"]}], [{"Name": "t", "RatePerS": "many"}], 7])
def test_malformed_tenants_are_refused(tenants: object) -> None:
    assert isinstance(read_table(json.dumps({**TABLE, "Tenants": tenants}).encode()), Failure)


KEY = b"Leverjunction-Key"


@pytest.mark.parametrize(
    ("headers", "problem"),
    [
        ([(KEY, b"")], "empty or longer"),
        ([(KEY, b"k" * 257)], "empty or longer"),
        ([(KEY, b"k\xe9")], "not ASCII"),
        ([(KEY, b"k"), (b"leverjunction-key", b"k")], "several"),
    ],
)
def test_a_malformed_key_is_told_from_none(
    headers: list[tuple[bytes, bytes]], problem: str
) -> None:
    key = PlatformDialect().read_request(headers).key
    assert key is not None
    assert problem in key.problem
    assert key.key_hash == ""
    assert PlatformDialect().read_request([]).key is None


def test_a_key_is_known_by_its_hash_only() -> None:
    metadata = PlatformDialect().read_request([(KEY, b" k1 ")])
    assert metadata.key is not None
    assert (metadata.key.key_hash, metadata.key.problem) == (hash_key("k1"), "")
    assert metadata.tenant == ""


def test_a_back_end_gets_the_tenant_and_never_the_key() -> None:
    headers = [(KEY, b"k1"), (b"leverjunction-tenant", b"somebody"), (b"Host", b"h")]
    sent = PlatformDialect().forwarded_headers(headers, 5.0, "i-1", "", "t1")
    assert [item for item in sent if item[0].lower() == b"leverjunction-tenant"] == [
        (b"Leverjunction-Tenant", b"t1")
    ]
    assert not [item for item in sent if item[0].lower() == KEY.lower()]
    without = PlatformDialect().forwarded_headers(headers, 5.0, "i-1", "")
    assert not [item for item in without if item[0].lower() == b"leverjunction-tenant"]
