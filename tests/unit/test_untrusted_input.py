"""Tests that malformed input from other processes is refused or ignored, without side effects.

Failures these tests guard against: a token count of "inf" raised an exception and left the request
without a response, as did JSON nested a hundred thousand levels deep in a call to a control
process. A back end whose address had no port, or whose id had a line feed, was accepted, and each
request sent to it raised. One malformed entry of the machine list hid all others.
"""

from __future__ import annotations

import io
import json
import math
from typing import Any

import h11
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from leverjunction.backends.machine_list import read_machine_list
from leverjunction.errors import Failure
from leverjunction.lots.item_stream import ItemStream
from leverjunction.platform.control_calls import ControlCalls
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.events import EventSplitter
from leverjunction.registry.records import RunnerRecord
from leverjunction.wire.envelope import decode_envelope

EXAMPLES = settings(
    max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow], database=None
)
DEEPLY_NESTED = b"[" * 100_000
HUGE_NUMBER = "9" * 400

arbitrary_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=10**18),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=40),
    st.sampled_from(["", "a\r\nX: y", "a/b", "é", "x" * 100_000, "host", "a:0", "a:99999", ":1"]),
    st.lists(st.integers(), max_size=3),
    st.dictionaries(st.text(max_size=5), st.integers(), max_size=3),
)
VALID_HEARTBEAT = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
    "born": 1_700_000_000_000,
}


class RecordingNode:
    """Stands in for the registry node and records the calls."""

    def __init__(self) -> None:
        self.heard: list[RunnerRecord] = []
        self.left: list[tuple[str, int]] = []

    def handle_heartbeat(self, record: RunnerRecord) -> Failure | None:
        self.heard.append(record)
        return None

    def handle_leave(self, runner_id: str, born_ms: int = 0) -> Failure | None:
        self.left.append((runner_id, born_ms))
        return None


def call(node: RecordingNode, path: str, body: bytes) -> int:
    environ: dict[str, Any] = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    statuses: list[str] = []
    ControlCalls(node)(environ, lambda status, _headers: statuses.append(status))  # type: ignore[arg-type]
    return int(statuses[0].split()[0])


def assert_usable(record: RunnerRecord) -> None:
    """Fail if the use of a record would raise an exception."""
    host, _, port = record.address.rpartition(":")
    assert host
    assert 0 < int(port) < 65_536
    assert 0 < record.slots <= 100_000
    headers = PlatformDialect().forwarded_headers([(b"Host", b"a")], 100.0, record.runner_id, "")
    h11.Connection(h11.CLIENT).send(h11.Request(method=b"GET", target=b"/", headers=headers))
    assert len(record.start) < 300


@EXAMPLES
@given(st.dictionaries(st.sampled_from([*VALID_HEARTBEAT, "Other"]), arbitrary_values, max_size=4))
def test_a_heartbeat_yields_a_usable_record_or_is_refused(changes: dict[str, object]) -> None:
    node = RecordingNode()
    body = json.dumps({**VALID_HEARTBEAT, **changes}).encode()
    status = call(node, "/api/Instances.Heartbeat/i-1", body)
    assert status in (200, 400)
    assert bool(node.heard) is (status == 200)
    for record in node.heard:
        assert_usable(record)


@EXAMPLES
@given(st.binary(max_size=60))
def test_arbitrary_bytes_are_refused(body: bytes) -> None:
    for path in ("/api/Instances.Heartbeat/i-1", "/api/Config.Replace"):
        assert call(RecordingNode(), path, body) == 400


@pytest.mark.parametrize(
    "body",
    [
        DEEPLY_NESTED,
        b'{"x":' + DEEPLY_NESTED,
        b'{"born":' + HUGE_NUMBER.encode() + b"}",
        b'{"Slots":NaN}',
    ],
)
def test_deeply_nested_json_and_huge_numbers_are_refused(body: bytes) -> None:
    for path in ("Instances.Heartbeat/i-1", "Instances.Leave/i-1", "Config.Replace"):
        assert call(RecordingNode(), "/api/" + path, body) == 400
    assert PlatformDialect().read_load(body) is None


@pytest.mark.parametrize(
    ("runner_id", "is_accepted"),
    [("i-1", True), ("", False), ("a b", False), ("a\r\nX: y", False), ("x" * 100_000, False)],
)
def test_runner_ids_that_a_header_cannot_carry_are_refused(
    runner_id: str, is_accepted: bool
) -> None:
    node = RecordingNode()
    body = json.dumps(VALID_HEARTBEAT).encode()
    status = call(node, "/api/Instances.Heartbeat/" + runner_id, body)
    assert (status == 200) is is_accepted is bool(node.heard)


FIELDS = [
    b"Leverjunction-Deadline-Ms",
    b"Leverjunction-Token-Count",
    b"Leverjunction-Prompt-Prefix",
    b"Leverjunction-Instance-Load",
    b"Keep-Alive",
    b"Last-Event-Id",
    b"Leverjunction-Request-Id",
]
malformed_fields = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [b"inf", b"-inf,nan", b"1e999,1e999", b"a:inf", b"inf,inf,inf", b"timeout=inf", b"-1,-1,-1"]
    ),
    st.just(HUGE_NUMBER.encode() + b"," + HUGE_NUMBER.encode()),
)


@EXAMPLES
@given(st.lists(st.tuples(st.sampled_from(FIELDS), malformed_fields), max_size=6))
def test_malformed_header_fields_count_as_absent(
    headers: list[tuple[bytes, bytes]],
) -> None:
    dialect = PlatformDialect()
    metadata = dialect.read_request(headers)
    assert metadata.deadline_ms is None or 0 <= metadata.deadline_ms < math.inf
    assert 0 <= metadata.tokens_in <= 10**9
    assert all(0 <= part.tokens <= 10**9 for part in metadata.parts)
    response = dialect.read_response(headers)
    assert response.keep_alive_s is None or 0 <= response.keep_alive_s < math.inf
    if response.load is not None:
        assert min(response.load.running, response.load.waiting, response.load.slots) >= 0
        assert max(response.load.running, response.load.waiting, response.load.slots) <= 10**6


@EXAMPLES
@given(
    st.dictionaries(st.sampled_from(["Running", "Waiting", "born"]), arbitrary_values, max_size=3)
)
def test_malformed_load_reports_are_ignored(fields: dict[str, object]) -> None:
    load = PlatformDialect().read_load(json.dumps(fields).encode())
    assert load is None or 0 <= load.running + load.waiting <= 2 * 10**6


@EXAMPLES
@given(st.lists(st.binary(max_size=40), max_size=5))
def test_arbitrary_streams_yield_event_ids_that_can_be_sent(pieces: list[bytes]) -> None:
    splitter, item = EventSplitter(), ItemStream()
    for piece in pieces:
        splitter.feed(piece)
        item.feed(piece)
    for last_id in (splitter.last_id, item.last_id):
        headers = PlatformDialect().forwarded_headers([(b"Host", b"a")], 100.0, "i-1", last_id)
        h11.Connection(h11.CLIENT).send(h11.Request(method=b"GET", target=b"/", headers=headers))


@EXAMPLES
@given(st.binary(max_size=200))
def test_arbitrary_datagrams_are_refused(data: bytes) -> None:
    assert isinstance(decode_envelope(data, b"key", "peer"), Failure)


VALID_MACHINE = {
    "id": "m-1",
    "address": "10.0.0.1:80",
    "zone": "z",
    "service": "s",
    "state": "live",
    "incarnation": 1,
}


@EXAMPLES
@given(
    st.lists(
        st.one_of(
            arbitrary_values,
            st.dictionaries(st.sampled_from(list(VALID_MACHINE)), arbitrary_values).map(
                lambda changes: {**VALID_MACHINE, "id": "m-2", **changes}
            ),
        ),
        max_size=4,
    )
)
def test_a_malformed_entry_of_the_machine_list_hides_no_other(entries: list[object]) -> None:
    text = json.dumps({"as_of_ms": 1, "machines": [VALID_MACHINE, *entries]})
    listed = read_machine_list(text.encode())
    assert not isinstance(listed, Failure)
    assert listed.machines[0].id == "m-1"
