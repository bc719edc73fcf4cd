"""A gateway that stood still asks its hub before it sends: runners may be leaving by now."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.unit.gateway_support import CHAT, Fleet
from tests.unit.test_batch_harvester import World

from leverjunction.batch.harvester import Harvester

pytestmark = pytest.mark.usefixtures("extended_poll_timeout")
STOOD_S = 5.0
HELD_S = 0.3


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def stand_still(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> threading.Event:
    """Have the gateway find that it stood still; its hub answers once the event is set."""
    clock = fleet.gateway.clock
    now_s = clock.monotonic_s
    fleet.hub.answers.clear()
    monkeypatch.setattr(clock, "monotonic_s", lambda: now_s() + STOOD_S)
    return fleet.hub.answers


def test_requests_wait_for_the_hub_after_a_standstill(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Six requests began at a runner 3.6 to 5.8 s after it was to get no more.

    All processes of the fleet had stood still for 5 s; the gateways went on with what they had
    known before, until a hub gave out its view again.
    """
    answers = stand_still(fleet, monkeypatch)
    fleet.hub.leaving = {"e1"}
    statuses: list[int] = []
    callers = [
        threading.Thread(target=lambda: statuses.append(fleet.post(CHAT).status)) for _ in range(6)
    ]
    for caller in callers:
        caller.start()
    time.sleep(HELD_S)
    assert fleet.started() == 0
    answers.set()
    for caller in callers:
        caller.join()
    assert statuses == [200] * 6
    assert [len(engine.started) for engine in fleet.engines] == [0, 6]
    told = fleet.gateway.counters.registry.get_sample_value("leverjunction_standstills_total")
    assert told == 1


def test_without_a_hub_requests_are_sent_after_a_while(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    stand_still(fleet, monkeypatch)
    assert fleet.post(CHAT).status == 200


class Doubt:
    """Whether a gateway's view is in doubt."""

    def __init__(self) -> None:
        self.is_there = True

    def __call__(self) -> bool:
        return self.is_there


def test_no_item_is_run_while_the_view_is_in_doubt() -> None:
    world, doubt = World(), Doubt()
    world.harvester.stop()
    world.harvester = Harvester(
        world.control,
        world.engines,
        world.clock,
        random.Random(3),
        "gateway-1",
        is_in_doubt=doubt,
    )
    try:
        world.submit(4)
        world.start()
        time.sleep(HELD_S)
        assert world.engines.calls == []
        doubt.is_there = False
        assert world.wait_job(lambda view: view.done == 4).discarded == 0
    finally:
        world.engines.release()
        world.harvester.stop()
