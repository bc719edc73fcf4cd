"""Words of other writers: unreadable ones name nothing to use, and hide or end nothing else.

A caller that said "inf" tokens ended the handling of its request with an error here, without an
answer; a word nested a hundred thousand deep did the same to a control process's call. A back end
that gave an address without a port, or an id with a line feed, was listed, and each request that
was sent to it raised. Of the machine list one entry that could not be read hid all others.
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
DEEP = b"[" * 100_000
HUGE = "9" * 400

odd_values = st.one_of(
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
SOUND_BEAT = {
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


class Node:
    """Takes what the calls make of words."""

    def __init__(self) -> None:
        self.heard: list[RunnerRecord] = []
        self.left: list[tuple[str, int]] = []

    def runner_heard(self, record: RunnerRecord) -> Failure | None:
        self.heard.append(record)
        return None

    def runner_left(self, runner_id: str, born_ms: int = 0) -> Failure | None:
        self.left.append((runner_id, born_ms))
        return None


def call(node: Node, path: str, body: bytes) -> int:
    environ: dict[str, Any] = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    told: list[str] = []
    ControlCalls(node)(environ, lambda status, _headers: told.append(status))  # type: ignore[arg-type]
    return int(told[0].split()[0])


def assert_usable(record: RunnerRecord) -> None:
    """Fail if a record would raise where back ends are used."""
    host, _, port = record.address.rpartition(":")
    assert host
    assert 0 < int(port) < 65_536
    assert 0 < record.slots <= 100_000
    headers = PlatformDialect().forwarded_headers([(b"Host", b"a")], 100.0, record.runner_id, "")
    h11.Connection(h11.CLIENT).send(h11.Request(method=b"GET", target=b"/", headers=headers))
    assert len(record.start) < 300


@EXAMPLES
@given(st.dictionaries(st.sampled_from([*SOUND_BEAT, "Other"]), odd_values, max_size=4))
def test_a_word_of_a_back_end_names_one_to_use_or_nothing(changes: dict[str, object]) -> None:
    node = Node()
    body = json.dumps({**SOUND_BEAT, **changes}).encode()
    status = call(node, "/api/Instances.Heartbeat/i-1", body)
    assert status in (200, 400)
    assert bool(node.heard) is (status == 200)
    for record in node.heard:
        assert_usable(record)


@EXAMPLES
@given(st.binary(max_size=60))
def test_bytes_that_are_no_word(body: bytes) -> None:
    for path in ("/api/Instances.Heartbeat/i-1", "/api/Config.Replace"):
        assert call(Node(), path, body) == 400


@pytest.mark.parametrize(
    "body", [DEEP, b'{"x":' + DEEP, b'{"born":' + HUGE.encode() + b"}", b'{"Slots":NaN}']
)
def test_words_beyond_any_size(body: bytes) -> None:
    for path in ("Instances.Heartbeat/i-1", "Instances.Leave/i-1", "Config.Replace"):
        assert call(Node(), "/api/" + path, body) == 400
    assert PlatformDialect().read_load(body) is None


@pytest.mark.parametrize(
    ("runner_id", "is_named"),
    [("i-1", True), ("", False), ("a b", False), ("a\r\nX: y", False), ("x" * 100_000, False)],
)
def test_ids_that_can_be_sent(runner_id: str, is_named: bool) -> None:
    node = Node()
    body = json.dumps(SOUND_BEAT).encode()
    status = call(node, "/api/Instances.Heartbeat/" + runner_id, body)
    assert (status == 200) is is_named is bool(node.heard)


FIELDS = [
    b"Leverjunction-Deadline-Ms",
    b"Leverjunction-Token-Count",
    b"Leverjunction-Prompt-Prefix",
    b"Leverjunction-Instance-Load",
    b"Keep-Alive",
    b"Last-Event-Id",
    b"Leverjunction-Request-Id",
]
odd_fields = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [b"inf", b"-inf,nan", b"1e999,1e999", b"a:inf", b"inf,inf,inf", b"timeout=inf", b"-1,-1,-1"]
    ),
    st.just(HUGE.encode() + b"," + HUGE.encode()),
)


@EXAMPLES
@given(st.lists(st.tuples(st.sampled_from(FIELDS), odd_fields), max_size=6))
def test_odd_fields_of_callers_and_back_ends_count_as_absent(
    headers: list[tuple[bytes, bytes]],
) -> None:
    dialect = PlatformDialect()
    facts = dialect.read_request(headers)
    assert facts.deadline_ms is None or 0 <= facts.deadline_ms < math.inf
    assert 0 <= facts.tokens_in <= 10**9
    assert all(0 <= part.tokens <= 10**9 for part in facts.parts)
    answer = dialect.read_response(headers)
    assert answer.keep_alive_s is None or 0 <= answer.keep_alive_s < math.inf
    if answer.load is not None:
        assert min(answer.load.running, answer.load.waiting, answer.load.slots) >= 0
        assert max(answer.load.running, answer.load.waiting, answer.load.slots) <= 10**6


@EXAMPLES
@given(st.dictionaries(st.sampled_from(["Running", "Waiting", "born"]), odd_values, max_size=3))
def test_odd_reports(fields: dict[str, object]) -> None:
    load = PlatformDialect().read_load(json.dumps(fields).encode())
    assert load is None or 0 <= load.running + load.waiting <= 2 * 10**6


@EXAMPLES
@given(st.lists(st.binary(max_size=40), max_size=5))
def test_odd_streams(pieces: list[bytes]) -> None:
    splitter, item = EventSplitter(), ItemStream()
    for piece in pieces:
        splitter.feed(piece)
        item.feed(piece)
    for last_id in (splitter.last_id, item.last_id):
        headers = PlatformDialect().forwarded_headers([(b"Host", b"a")], 100.0, "i-1", last_id)
        h11.Connection(h11.CLIENT).send(h11.Request(method=b"GET", target=b"/", headers=headers))


@EXAMPLES
@given(st.binary(max_size=200))
def test_odd_datagrams(data: bytes) -> None:
    assert isinstance(decode_envelope(data, b"key", "peer"), Failure)


SOUND_MACHINE = {
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
            odd_values,
            st.dictionaries(st.sampled_from(list(SOUND_MACHINE)), odd_values).map(
                lambda changes: {**SOUND_MACHINE, "id": "m-2", **changes}
            ),
        ),
        max_size=4,
    )
)
def test_an_entry_that_cannot_be_read_hides_no_other(entries: list[object]) -> None:
    text = json.dumps({"as_of_ms": 1, "machines": [SOUND_MACHINE, *entries]})
    listed = read_machine_list(text.encode())
    assert not isinstance(listed, Failure)
    assert listed.machines[0].id == "m-1"
