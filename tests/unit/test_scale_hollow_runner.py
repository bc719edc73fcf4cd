"""A hollow runner answers what a real owner gateway asks of its runners all the time."""

from __future__ import annotations

import random
from collections.abc import Iterator

import pytest

from leverjunction.backends.client import EngineClient
from leverjunction.backends.types import LoadReport
from testbed.scale.hollow_runner import HollowRunner, start_server


@pytest.fixture
def address() -> Iterator[str]:
    server = start_server(HollowRunner("r1", ["m"], random.Random(1)))
    host, port = server.bind_addr[:2]
    yield f"{host}:{port}"
    server.stop()


def test_a_hollow_runner_answers_load_and_held_requests(address: str) -> None:
    engines = EngineClient()
    assert isinstance(engines.load(address), LoadReport)
    assert engines.held_requests(address) == []
    engines.close()
