"""Streams that break, lose their caller or hit an internal error of the gateway."""

from __future__ import annotations

import gc
import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from cheroot.server import HTTPRequest
from tests.unit.gateway_support import (
    API_KEY,
    CHAT,
    TEXT,
    WAIT_S,
    WORDS,
    Fleet,
    StubEngine,
    wait_until,
)

from leverjunction.backends.client import EngineClient
from leverjunction.backends.sse import SseParser
from leverjunction.backends.stream import EngineStream
from leverjunction.backends.types import CHAT_PATH, EngineCall
from leverjunction.errors import Failure
from leverjunction.gateway.relay_stream import RelayStream

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")

STREAM = CHAT | {"stream": True}
DONE = b"[DONE]"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def events_of(response: urllib3.BaseHTTPResponse) -> list[bytes]:
    return [event.data for event in SseParser().feed(response.data)]


def text_of(events: list[bytes]) -> str:
    chunks = [json.loads(data) for data in events if data != DONE]
    return "".join(
        chunk["choices"][0]["delta"]["content"] for chunk in chunks if "choices" in chunk
    )


def error_of(events: list[bytes]) -> dict[str, Any]:
    error: dict[str, Any] = json.loads(events[-1])["error"]
    return error


def assert_all_closed(fleet: Fleet) -> None:
    """Check that no stream, tenant slot or send is left open."""
    assert fleet.gateway.relay.wait_idle(WAIT_S)
    assert fleet.open_streams() == 0
    wait_until(lambda: open_sends(fleet) == 0, "all sends are closed")


def open_sends(fleet: Fleet) -> int:
    ledger = fleet.gateway.pool._ledger
    return sum(ledger.open_count(engine.name) for engine in fleet.engines)


def test_a_broken_stream_is_resumed_at_the_last_event(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.break_after = 4
    events = events_of(fleet.post(STREAM))
    assert text_of(events) == TEXT
    assert events[-1] == DONE
    assert [after for engine in fleet.engines for after in engine.resumed] == ["4"]
    assert fleet.started() == 1
    assert_all_closed(fleet)


def test_a_stream_that_cannot_be_resumed_is_continued_on_another_runner(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.forget_streams = True
    broken = fleet.engines[0]
    broken.break_after = 5
    fleet.engines[1].status = 503
    fleet.engines[1].start_seen.clear()
    broken.block_from = 3
    broken.proceed.clear()
    response = fleet.http.request(
        "POST",
        f"{fleet.url}{CHAT_PATH}",
        body=json.dumps(STREAM),
        headers={"Authorization": f"Bearer {API_KEY}"},
        preload_content=False,
    )
    fleet.engines[1].status = 200
    broken.proceed.set()
    assert text_of(events_of(response)) == TEXT
    continued = [body for body in fleet.engines[1].started if "continue_text" in body]
    assert [body["continue_text"] for body in continued] == [" ".join(WORDS[:5])]
    assert "continued" in {decision.outcome for decision in fleet.decisions()}
    assert_all_closed(fleet)


def test_a_request_that_must_not_be_repeated_ends_with_an_error_event(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.break_after = 4
        engine.forget_streams = True
    events = events_of(fleet.post(STREAM, **{"X-Repeat": "never"}))
    error = error_of(events)
    assert text_of(events[:-1]) == " ".join(WORDS[:4])
    assert (error["execution"], error["step"]) == ("ran", "relaying")
    assert error["peer"] in {engine.address for engine in fleet.engines}
    assert fleet.started() == 1
    assert_all_closed(fleet)


def test_a_stream_whose_connection_cannot_be_detached_is_repaired(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = EngineStream.detach
    faults = iter([OSError("injected by the test")])

    def detach(stream: EngineStream) -> object:
        for fault in faults:
            raise fault
        return original(stream)

    monkeypatch.setattr(EngineStream, "detach", detach)
    assert text_of(events_of(fleet.post(STREAM))) == TEXT
    assert_all_closed(fleet)


def test_an_internal_error_of_the_relay_ends_one_stream_with_an_error_event(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = RelayStream.complete_events

    def fail(_stream: RelayStream, _data: bytes) -> bytes:
        raise ValueError("injected by the test")

    monkeypatch.setattr(RelayStream, "complete_events", fail)
    error = error_of(events_of(fleet.post(STREAM)))
    assert (error["code"], error["execution"]) == ("internal", "ran")
    assert_all_closed(fleet)
    monkeypatch.setattr(RelayStream, "complete_events", original)
    assert text_of(events_of(fleet.post(STREAM))) == TEXT


def test_a_failed_write_of_the_response_head_leaves_nothing_open(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = HTTPRequest.send_headers

    def fail(request: HTTPRequest) -> None:
        if any(b"event-stream" in value for _name, value in request.outheaders) and (
            request.server is fleet.gateway.http_server
        ):
            raise ConnectionResetError("the caller disconnected")
        original(request)

    monkeypatch.setattr(HTTPRequest, "send_headers", fail)
    with pytest.raises(urllib3.exceptions.HTTPError):
        fleet.post(STREAM)
    assert_all_closed(fleet)
    wait_until(
        lambda: any(engine.cancelled for engine in fleet.engines), "the request is cancelled"
    )


def test_a_disconnected_caller_cancels_its_request(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.block_from = 3
        engine.proceed.clear()
    connection = raw_request(fleet, STREAM)
    assert b"w2" in read_until(connection, b"w2")
    connection.close()
    wait_until(
        lambda: any(engine.cancelled for engine in fleet.engines), "the request is cancelled"
    )
    for engine in fleet.engines:
        engine.proceed.set()
    assert_all_closed(fleet)
    assert "cancelled" in {decision.outcome for decision in fleet.decisions()}


def test_a_half_closed_connection_receives_the_complete_response(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.block_from = 3
        engine.proceed.clear()
    connection = raw_request(fleet, STREAM)
    read_until(connection, b"w2")
    connection.shutdown(socket.SHUT_WR)
    for engine in fleet.engines:
        engine.proceed.set()
    assert DONE in read_until(connection, b"0\r\n\r\n")
    assert not any(engine.cancelled for engine in fleet.engines)


def test_detach_returns_a_socket_that_survives_the_response_object() -> None:
    engine = StubEngine("e1")
    engine.block_from = 2
    engine.proceed.clear()
    client = EngineClient()
    stream = client.open(
        EngineCall(
            address=engine.address,
            request_id="r1",
            attempt=1,
            path=CHAT_PATH,
            body=json.dumps(STREAM).encode(),
            priority=5,
            timeout_s=10.0,
            raw_stream=True,
        )
    )
    assert not isinstance(stream, Failure)
    detached = stream.detach()
    del stream
    client.close()
    gc.collect()
    engine.proceed.set()
    detached.connection.settimeout(WAIT_S)
    data = detached.first_bytes
    while chunk_bytes := detached.connection.recv(65536):
        data += chunk_bytes
    detached.connection.close()
    engine.stop()
    assert text_of([event.data for event in SseParser().feed(data)]) == TEXT


def raw_request(fleet: Fleet, body: object) -> socket.socket:
    data = json.dumps(body).encode()
    host, port = fleet.gateway.http_address.split(":")
    connection = socket.create_connection((host, int(port)), timeout=WAIT_S)
    head = (
        f"POST {CHAT_PATH} HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer {API_KEY}\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    connection.sendall(head.encode() + data)
    return connection


def read_until(connection: socket.socket, marker: bytes) -> bytes:
    data = b""
    while marker not in data:
        chunk_bytes = connection.recv(65536)
        if not chunk_bytes:
            return data
        data += chunk_bytes
    return data
