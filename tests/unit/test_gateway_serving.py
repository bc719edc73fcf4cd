"""Integration tests of a gateway with stub engines and a stub hub, over real sockets."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from pathlib import Path

import openai
import pytest
from tests.unit.gateway_support import (
    CHAT,
    MESSAGES,
    MODEL,
    TEXT,
    WAIT_S,
    Fleet,
    StubEngine,
    StubHub,
    start_gateway,
)

from leverjunction.backends.types import HeldRequest

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def stream_text(client: openai.OpenAI) -> str:
    stream = client.chat.completions.create(model=MODEL, messages=MESSAGES, stream=True)
    return "".join(chunk.choices[0].delta.content or "" for chunk in stream)


def test_the_unmodified_openai_client_works(fleet: Fleet) -> None:
    client = fleet.client()
    whole = client.chat.completions.create(model=MODEL, messages=MESSAGES)
    assert whole.choices[0].message.content == TEXT
    assert stream_text(client) == TEXT
    assert [model.id for model in client.models.list()] == [MODEL]
    assert {body["priority"] for engine in fleet.engines for body in engine.started} == {"8"}


def test_connection_serves_the_next_request_after_a_stream(fleet: Fleet) -> None:
    for _ in range(3):
        response = fleet.post(CHAT | {"stream": True})
        assert response.status == 200
        assert response.data.endswith(b"data: [DONE]\n\n")
    assert fleet.http.connection_from_url(fleet.url).num_connections == 1


def test_a_stream_survives_garbage_collection(fleet: Fleet) -> None:
    for engine in fleet.engines:
        engine.block_from = 3
        engine.proceed.clear()
    stream = fleet.client().chat.completions.create(model=MODEL, messages=MESSAGES, stream=True)
    pieces = [next(stream).choices[0].delta.content for _ in range(3)]
    gc.collect()
    for engine in fleet.engines:
        engine.proceed.set()
    pieces += [chunk.choices[0].delta.content for chunk in stream]
    assert "".join(pieces) == TEXT
    assert [engine.resumed for engine in fleet.engines] == [[], []]


def test_a_gateway_cancels_the_batch_requests_of_its_previous_incarnation(tmp_path: Path) -> None:
    engine = StubEngine("e1")
    engine.held = [HeldRequest("left-behind", "g1/1/repeat"), HeldRequest("not-batch", "other")]
    hub = StubHub([engine])
    gateway = start_gateway(tmp_path, [hub.address])
    assert engine.cancel_seen.wait(WAIT_S)
    gateway.stop()
    engine.stop()
    hub.stop()
    assert set(engine.cancelled) == {"left-behind"}
