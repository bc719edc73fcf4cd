"""HTTP API of the gateway: invalid, slow and oversized requests, keys, logs, probes, decisions."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from loguru import logger
from tests.unit.gateway_support import (
    API_KEY,
    CHAT,
    MODEL,
    OPERATOR_TOKEN,
    SERVICE,
    TEXT,
    WAIT_S,
    Fleet,
    wait_until,
)

from leverjunction.api import decisions
from leverjunction.backends.types import CHAT_PATH

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")

MAX_BODY_BYTES = 100_000
VALID_HEAD = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer {API_KEY}\r\n"
FAR_FUTURE_S = 1_000_000.0
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path_factory.mktemp("gateway"))
    yield fleet
    fleet.stop()


def connect(fleet: Fleet) -> socket.socket:
    host, port = fleet.gateway.http_address.split(":")
    return socket.create_connection((host, int(port)), timeout=WAIT_S)


def exchange(fleet: Fleet, data: bytes, *, close_write: bool = False) -> tuple[int, bytes, bytes]:
    """Send raw bytes and return the status, head and body of the response."""
    with connect(fleet) as connection:
        connection.sendall(data)
        if close_write:
            connection.shutdown(socket.SHUT_WR)
        return read_response(connection)


def read_response(connection: socket.socket) -> tuple[int, bytes, bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        assert piece, f"the response head is incomplete: {data!r}"
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")]
    length = int(lengths[0].split(b":")[1]) if lengths else 0
    while len(body) < length:
        piece = connection.recv(65536)
        assert piece, "the response body is incomplete"
        body += piece
    return int(head.split()[1]), head, body


def error_of(body: bytes) -> dict[str, Any]:
    error: dict[str, Any] = json.loads(body)["error"]
    return error


def assert_serves(fleet: Fleet) -> None:
    response = fleet.post(CHAT)
    assert json.loads(response.data)["choices"][0]["message"]["content"] == TEXT


@pytest.mark.parametrize(
    ("body", "status", "text"),
    [
        (b"{", 400, "JSON"),
        (b"[]", 400, ""),
        (b'{"model": "triage"}', 400, "messages"),
        (b'{"model": 5, "messages": []}', 400, "model"),
        (b"\xff\xfe", 400, ""),
        (json.dumps(CHAT | {"model": "none"}).encode(), 404, "none"),
        (b"x" * (MAX_BODY_BYTES + 1), 413, str(MAX_BODY_BYTES)),
    ],
)
def test_invalid_bodies_are_refused_and_not_run(
    fleet: Fleet, body: bytes, status: int, text: str
) -> None:
    before = fleet.started()
    response = fleet.post(body)
    error = error_of(response.data)
    assert response.status == status
    assert (error["execution"], error["peer"]) == ("not_run", "")
    assert text in error["message"]
    assert error["request_id"] == response.headers["X-Request-Id"]
    assert fleet.started() == before
    assert_serves(fleet)


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: many\r\n\r\n",
        "Content-Length: -5\r\n\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: other\r\n\r\n",
        "no colon\r\n\r\n",
    ],
)
def test_invalid_heads_are_refused(fleet: Fleet, head: str) -> None:
    before = fleet.started()
    status, _, _ = exchange(fleet, (VALID_HEAD + head).encode() + b"{}", close_write=True)
    assert status in (400, 411, 501)
    assert fleet.started() == before
    assert_serves(fleet)


def test_a_chunked_body_above_the_size_limit_is_refused(fleet: Fleet) -> None:
    piece = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"
    data = (VALID_HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode() + piece * 20 + b"0\r\n\r\n"
    status, _, body = exchange(fleet, data)
    assert (status, error_of(body)["code"]) == (413, "too_large")


def test_a_chunked_body_is_served(fleet: Fleet) -> None:
    body = json.dumps(CHAT).encode()
    head = (VALID_HEAD + "Transfer-Encoding: chunked\r\n\r\n").encode()
    status, _, response = exchange(fleet, head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
    assert status == 200
    assert json.loads(response)["choices"][0]["message"]["content"] == TEXT


def test_an_incomplete_body_is_refused(fleet: Fleet) -> None:
    data = (VALID_HEAD + "Content-Length: 100\r\n\r\n").encode() + b'{"model"'
    status, _, body = exchange(fleet, data, close_write=True)
    assert status == 400
    assert "8 of 100 bytes" in error_of(body)["message"]


def test_a_half_closed_caller_gets_its_response(fleet: Fleet) -> None:
    body = json.dumps(CHAT).encode()
    head = (VALID_HEAD + f"Content-Length: {len(body)}\r\n\r\n").encode()
    status, _, response = exchange(fleet, head + body, close_write=True)
    assert status == 200
    assert TEXT in response.decode()


@pytest.mark.parametrize("sent", ["POST /v1/ch", VALID_HEAD + "Content-Length: 100\r\n\r\n{"])
def test_slow_clients_are_aborted_without_effect_on_others(fleet: Fleet, sent: str) -> None:
    guard = fleet.gateway.http_server.guard
    with connect(fleet) as slow:
        slow.sendall(sent.encode())
        wait_until(lambda: len(guard._due_s) > 0, "the request is being read")
        assert_serves(fleet)
        wait_until(lambda: guard.check(time.monotonic() + FAR_FUTURE_S) > 0, "it is aborted")
        slow.settimeout(WAIT_S)
        response = slow.recv(65536)
    assert response == b"" or b" 400 " in response.split(b"\r\n")[0]
    assert_serves(fleet)


def test_a_request_without_a_key_is_refused_before_its_body_is_read(fleet: Fleet) -> None:
    head = f"POST {CHAT_PATH} HTTP/1.1\r\nHost: g\r\nContent-Length: 5000\r\n\r\n"
    with connect(fleet) as connection:
        connection.sendall(head.encode())
        status, _, body = read_response(connection)
    assert (status, error_of(body)["step"]) == (401, "authentication")


def test_keys_and_requests_do_not_appear_in_logs(
    fleet: Fleet, capfd: pytest.CaptureFixture[str], caplog: pytest.LogCaptureFixture
) -> None:
    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(str(message)), level="TRACE")
    try:
        fleet.post(CHAT)
        fleet.post(CHAT, Authorization="Bearer a-wrong-key")
        fleet.post(b"{")
        fleet.http.request("GET", f"{fleet.url}/nothing/here")
        fleet.http.request("GET", f"{fleet.url}/operator/decisions", headers=OPERATOR)
    finally:
        logger.remove(sink)
    captured = capfd.readouterr()
    written = captured.out + captured.err + caplog.text + "".join(lines)
    for secret in (API_KEY, "a-wrong-key", OPERATOR_TOKEN):
        assert secret not in written
    assert "HTTP/1.1" not in written
    assert CHAT_PATH not in written


def test_an_error_in_a_handler_reveals_no_key(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fail(*_arguments: object) -> None:
        raise RuntimeError("an error raised by the test")

    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(str(message)), level="TRACE", diagnose=False)
    monkeypatch.setattr(fleet.gateway.online, "serve", fail)
    try:
        response = fleet.post(CHAT)
    finally:
        logger.remove(sink)
    assert (response.status, error_of(response.data)["execution"]) == (500, "unknown")
    assert "an error raised by the test" not in response.data.decode()
    assert "an error raised by the test" in "".join(lines)
    # CherryPy logs through the standard library's logging module.
    assert API_KEY not in caplog.text + "".join(lines)


def test_probes_and_metrics(fleet: Fleet) -> None:
    fleet.post(CHAT)
    assert fleet.http.request("GET", f"{fleet.url}/health").status == 200
    assert fleet.http.request("GET", f"{fleet.url}/ready").data == b"ready\n"
    text = fleet.http.request("GET", f"{fleet.url}/metrics").data.decode()
    assert f'leverjunction_usable_runners{{service="{SERVICE}"}} 2.0' in text
    assert f'leverjunction_requests_total{{service="{SERVICE}",status="200"}}' in text
    assert "leverjunction_first_byte_seconds_bucket" in text
    assert "leverjunction_relayed_bytes_total" in text


def test_unknown_paths_and_methods_return_the_error_body(fleet: Fleet) -> None:
    response = fleet.http.request("GET", f"{fleet.url}{CHAT_PATH}")
    assert (response.status, error_of(response.data)["execution"]) == (405, "not_run")
    response = fleet.http.request("GET", f"{fleet.url}/v2/none")
    assert (response.status, error_of(response.data)["code"]) == (404, "not_found")


def test_decisions_of_a_request_can_be_queried(fleet: Fleet) -> None:
    response = fleet.post(CHAT | {"model": "none"})
    request_id = response.headers["X-Request-Id"]
    url = f"{fleet.url}/operator/decisions"
    assert fleet.http.request("GET", url).status == 401
    found = fleet.http.request("GET", url, fields={"request": request_id}, headers=OPERATOR)
    [record] = json.loads(found.data)
    assert (record["outcome"], record["step"]) == ("refused", "parsing")


def test_decisions_are_streamed_as_they_are_made(fleet: Fleet) -> None:
    url = f"{fleet.url}/operator/decisions/stream"
    stream = fleet.http.request("GET", url, headers=OPERATOR, preload_content=False)
    first = threading.Event()
    seen: list[dict[str, Any]] = []

    def read() -> None:
        for line in stream:
            first.set()
            if line.startswith(b"data: "):
                seen.append(json.loads(line[6:]))
                return

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    assert first.wait(WAIT_S)
    response = fleet.post(CHAT | {"model": "none"})
    reader.join(WAIT_S)
    stream.close()
    assert [record["request_id"] for record in seen] == [response.headers["X-Request-Id"]]


def test_the_number_of_decision_followers_is_limited(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(decisions, "MAX_FOLLOWERS", 1)
    url = f"{fleet.url}/operator/decisions/stream"

    followers: list[urllib3.BaseHTTPResponse] = []

    def follow() -> urllib3.BaseHTTPResponse:
        return fleet.http.request("GET", url, headers=OPERATOR, preload_content=False)

    def can_follow() -> bool:
        # The server detects a disconnected follower when it cannot write the next record to it.
        fleet.post(CHAT | {"model": "none"})
        response = follow()
        if response.status != 200:
            response.close()
            return False
        followers.append(response)
        return True

    wait_until(can_follow, "followers of earlier tests no longer count")
    assert followers[0].read1(1) == b":"
    refused = follow()
    assert (refused.status, refused.headers["Retry-After"]) == (503, "5")
    assert error_of(refused.data)["execution"] == "not_run"
    followers[0].close()
    wait_until(can_follow, "the disconnected follower no longer counts")
    followers[1].close()


def test_models_lists_the_models_that_a_tenant_may_call(fleet: Fleet) -> None:
    headers = {"Authorization": f"Bearer {API_KEY}"}
    listed = json.loads(fleet.http.request("GET", f"{fleet.url}/v1/models", headers=headers).data)
    assert [item["id"] for item in listed["data"]] == [MODEL]
    one = fleet.http.request("GET", f"{fleet.url}/v1/models/{MODEL}", headers=headers)
    assert json.loads(one.data)["owned_by"] == SERVICE
    none = fleet.http.request("GET", f"{fleet.url}/v1/models/none", headers=headers)
    assert (none.status, error_of(none.data)["execution"]) == (404, "not_run")


def test_a_long_idempotency_key_is_refused(fleet: Fleet) -> None:
    response = fleet.post(CHAT, **{"Idempotency-Key": "k" * 257})
    assert (response.status, error_of(response.data)["code"]) == (400, "bad_request")


def test_the_data_folder_contains_no_key(fleet: Fleet) -> None:
    folder: Path = fleet.gateway.config.data_folder
    assert all(API_KEY.encode() not in file.read_bytes() for file in folder.iterdir())
