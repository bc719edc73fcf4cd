"""Requests and uploads in progress at a planned stop of a gateway each get a whole answer."""

from __future__ import annotations

import http.client
import json
import threading
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest
from tests.unit.batch_support import LocalControl
from tests.unit.gateway_support import API_KEY, MODEL, Fleet, wait_until

from leverjunction.clock import SystemClock

ANSWER_S = 8.0
DRAIN_S = 1.0
LINE = json.dumps(
    {
        "custom_id": "c",
        "method": "POST",
        "url": "/v1/completions",
        "body": {"model": MODEL, "prompt": "x"},
    }
).encode()


@pytest.fixture
def fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    started = Fleet(tmp_path)
    monkeypatch.setattr(
        started.gateway.control, "propose", LocalControl(SystemClock().wall_ms).propose
    )
    yield started
    started.stop()


@pytest.fixture
def threads() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(4) as pool:
        yield pool


def drain_and_stop(fleet: Fleet) -> bool:
    drained = fleet.gateway.drain()
    fleet.gateway.stop()
    return drained


def begin_upload(fleet: Fleet, body: bytes) -> http.client.HTTPConnection:
    """Send the head and the first half of a job's upload."""
    caller = http.client.HTTPConnection(fleet.gateway.http_address, timeout=ANSWER_S)
    caller.putrequest("POST", "/v1/batches?completion_window=24h")
    caller.putheader("Authorization", f"Bearer {API_KEY}")
    caller.putheader("Content-Type", "application/jsonl")
    caller.putheader("Content-Length", str(len(body)))
    caller.endheaders()
    caller.send(body[: len(body) // 2])
    return caller


def wait_for_stop(fleet: Fleet) -> None:
    wait_until(lambda: fleet.gateway.http_server.is_stopping, "the stop begins")
    threading.Event().wait(DRAIN_S / 2)


def test_a_job_that_is_still_uploading_at_a_stop_is_accepted(
    fleet: Fleet, threads: ThreadPoolExecutor
) -> None:
    caller = begin_upload(fleet, LINE)
    threading.Event().wait(0.3)
    stopped = threads.submit(drain_and_stop, fleet)
    wait_for_stop(fleet)
    # Longer than the server's own patience with calls in progress.
    threading.Event().wait(6.0)
    caller.send(LINE[len(LINE) // 2 :])
    response = caller.getresponse()
    assert (response.status, json.loads(response.read())["object"]) == (200, "batch")
    assert stopped.result()


def test_a_job_whose_upload_outlasts_the_drain_is_refused_and_not_run(
    fleet: Fleet, threads: ThreadPoolExecutor
) -> None:
    fleet.gateway.config = fleet.gateway.config.model_copy(update={"drain_timeout_s": DRAIN_S})
    caller = begin_upload(fleet, LINE)
    threading.Event().wait(0.3)
    stopped = threads.submit(drain_and_stop, fleet)
    response = caller.getresponse()
    assert response.status == 503
    assert json.loads(response.read())["error"]["execution"] == "not_run"
    assert not stopped.result()


def test_a_job_that_comes_after_the_stop_is_refused_and_not_run(
    fleet: Fleet, threads: ThreadPoolExecutor
) -> None:
    caller = begin_upload(fleet, LINE)
    threading.Event().wait(0.3)
    stopped = threads.submit(drain_and_stop, fleet)
    wait_for_stop(fleet)
    response = begin_upload(fleet, LINE).getresponse()
    assert response.status == 503
    assert json.loads(response.read())["error"]["execution"] == "not_run"
    caller.send(LINE[len(LINE) // 2 :])
    assert caller.getresponse().status == 200
    assert stopped.result()


@pytest.mark.parametrize("stream", [False, True])
def test_a_request_whose_back_end_outlasts_the_drain_gets_an_answer(
    fleet: Fleet, threads: ThreadPoolExecutor, stream: bool
) -> None:
    fleet.gateway.config = fleet.gateway.config.model_copy(update={"drain_timeout_s": DRAIN_S})
    for engine in fleet.engines:
        engine.freeze_on_request = stream
        engine.proceed.clear()
    body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "stream": stream}
    answer: Future[object] = threads.submit(fleet.post, body)
    try:
        wait_until(lambda: fleet.started() == 1, "a back end has the request")
        stopped = threads.submit(drain_and_stop, fleet)
        response = answer.result(ANSWER_S)
        assert not stopped.result(ANSWER_S)
        assert response.status == 504  # type: ignore[attr-defined]
        assert response.json()["error"]["execution"] == "unknown"  # type: ignore[attr-defined]
        assert fleet.started() == 1
    finally:
        for engine in fleet.engines:
            engine.proceed.set()
            engine.unfreeze.set()


def test_a_stream_that_outlasts_the_drain_ends_with_an_error(
    fleet: Fleet, threads: ThreadPoolExecutor
) -> None:
    fleet.gateway.config = fleet.gateway.config.model_copy(update={"drain_timeout_s": DRAIN_S})
    for engine in fleet.engines:
        engine.block_from = 1
        engine.proceed.clear()
    body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "stream": True}
    answer = threads.submit(fleet.post, body)
    try:
        wait_until(lambda: fleet.open_streams() == 1, "the stream is open")
        stopped = threads.submit(drain_and_stop, fleet)
        data = answer.result(ANSWER_S).data
        assert not stopped.result(ANSWER_S)
        assert b'"error"' in data
        assert b"[DONE]" not in data
    finally:
        for engine in fleet.engines:
            engine.proceed.set()
