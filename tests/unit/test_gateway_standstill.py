"""A gateway whose process was paused waits for a view from its hub before it sends requests.

During the pause (a standstill), runners may have begun to leave.
"""

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
PAUSE_S = 5.0
HOLD_S = 0.3


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


def simulate_pause(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> threading.Event:
    """Make the gateway detect a pause of its process; its hub replies once the event is set."""
    clock = fleet.gateway.clock
    now_s = clock.monotonic_s
    fleet.hub.may_reply.clear()
    monkeypatch.setattr(clock, "monotonic_s", lambda: now_s() + PAUSE_S)
    return fleet.hub.may_reply


def test_requests_wait_for_the_hub_after_a_standstill(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests must not be routed by a view that is older than a pause of the process.

    All processes of a fleet were paused for 5 s. Until a hub sent its view again, the gateways used
    the old one: six requests began on a leaving runner 3.6 to 5.8 s after its last allowed start.
    """
    may_reply = simulate_pause(fleet, monkeypatch)
    fleet.hub.leaving = {"e1"}
    statuses: list[int] = []
    callers = [
        threading.Thread(target=lambda: statuses.append(fleet.post(CHAT).status)) for _ in range(6)
    ]
    for caller in callers:
        caller.start()
    time.sleep(HOLD_S)
    assert fleet.started() == 0
    may_reply.set()
    for caller in callers:
        caller.join()
    assert statuses == [200] * 6
    assert [len(engine.started) for engine in fleet.engines] == [0, 6]
    standstills = fleet.gateway.counters.registry.get_sample_value(
        "leverjunction_standstills_total"
    )
    assert standstills == 1


def test_without_a_hub_requests_are_sent_after_a_timeout(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    simulate_pause(fleet, monkeypatch)
    assert fleet.post(CHAT).status == 200


class ViewDoubt:
    """Stub for ``is_in_doubt``: whether a gateway's view may be outdated."""

    def __init__(self) -> None:
        self.is_in_doubt = True

    def __call__(self) -> bool:
        return self.is_in_doubt


def test_no_batch_item_runs_while_the_view_may_be_outdated() -> None:
    world, doubt = World(), ViewDoubt()
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
        time.sleep(HOLD_S)
        assert world.engines.calls == []
        doubt.is_in_doubt = False
        assert world.wait_job(lambda view: view.done == 4).discarded == 0
    finally:
        world.engines.release()
        world.harvester.stop()
