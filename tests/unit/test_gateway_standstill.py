"""A gateway whose process was paused waits for a view from its hub before it sends requests.

During the pause (a standstill), runners may have begun to leave.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from prometheus_client import CollectorRegistry
from tests.unit.gateway_support import CHAT, SERVICE, Fleet, wait_until
from tests.unit.test_batch_harvester import World

from leverjunction.backends.client import EngineClient
from leverjunction.backends.head_wait import AbortableConnection
from leverjunction.batch.harvester import Harvester
from leverjunction.gateway.runner_pool import RunnerPool

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


def list_as_leaving(fleet: Fleet, name: str) -> None:
    """Mark one engine as leaving, and wait until the gateway knows."""
    fleet.hub.leaving = {name}
    runners = fleet.gateway.view
    wait_until(
        lambda: (
            {item.runner_id for item in runners.snapshot.runners.values() if item.leaving} == {name}
        ),
        "the gateway knows of the leaving engine",
    )


def run_once_before(
    monkeypatch: pytest.MonkeyPatch, owner: type, method: str, action: Callable[[], None]
) -> threading.Event:
    """Call ``action`` before the next call of a method by a request thread of the gateway."""
    original = getattr(owner, method)
    is_done = threading.Event()

    def call(*args: Any, **kwargs: Any) -> Any:
        if threading.current_thread().name.startswith("CP Server") and not is_done.is_set():
            is_done.set()
            action()
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, method, call)
    return is_done


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        (RunnerPool, "choose"),
        (RunnerPool, "record_send"),
        (EngineClient, "open"),
        (AbortableConnection, "connect"),
        (AbortableConnection, "endheaders"),
    ],
)
def test_a_request_is_not_sent_by_a_choice_from_before_a_standstill(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, owner: type, method: str
) -> None:
    """A pause between the choice and the send must not let the request begin at a leaving runner.

    All processes of a fleet were paused for 5 s. A request of which a gateway had chosen the runner
    before was sent 57 ms after the pause, 2.6 s after the runner's last allowed start.
    """
    list_as_leaving(fleet, "e2")

    def pause() -> None:
        simulate_pause(fleet, monkeypatch)
        fleet.hub.leaving = {"e1"}

    paused = run_once_before(monkeypatch, owner, method, pause)
    statuses: list[int] = []
    body = CHAT | {"stream": True}
    caller = threading.Thread(target=lambda: statuses.append(fleet.post(body).status))
    caller.start()
    wait_until(paused.is_set, "the request is about to be sent")
    time.sleep(HOLD_S)
    assert fleet.started() == 0
    fleet.hub.may_reply.set()
    caller.join()
    assert statuses == [200]
    assert [len(engine.started) for engine in fleet.engines] == [0, 1]
    wait_until(lambda: fleet.open_streams() == 0, "the stream has ended")
    for runner_id in ("e1", "e2"):
        assert fleet.gateway.pool.open_sends(runner_id) == 0


def test_a_queued_request_is_not_sent_by_a_view_from_before_a_standstill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slot that became free during a pause must not let a queued request use the old view."""
    serving = f"services/{SERVICE}/serving"
    rows: dict[str, object] = {
        f"{serving}/max_running_per_runner": 1,
        f"{serving}/queue_timeout_s": 60.0,
    }
    fleet = Fleet(tmp_path, rows)
    try:
        list_as_leaving(fleet, "e2")
        leaving, staying = fleet.engines
        leaving.proceed.clear()
        statuses: list[int] = []
        callers = [
            threading.Thread(target=lambda: statuses.append(fleet.post(CHAT).status))
            for _ in range(2)
        ]
        callers[0].start()
        wait_until(lambda: len(leaving.started) == 1, "the first request runs")
        callers[1].start()
        registry = fleet.gateway.counters.registry
        wait_until(
            lambda: registry.get_sample_value("leverjunction_queued_requests") == 1,
            "the second request is queued",
        )
        simulate_pause(fleet, monkeypatch)
        fleet.hub.leaving = {"e1"}
        leaving.proceed.set()
        time.sleep(HOLD_S)
        assert len(leaving.started) == 1
        fleet.hub.may_reply.set()
        for caller in callers:
            caller.join()
        assert statuses == [200, 200]
        assert [len(leaving.started), len(staying.started)] == [1, 1]
    finally:
        fleet.stop()


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


def test_no_batch_item_is_sent_by_a_check_from_before_a_standstill() -> None:
    """A pause between the last check and the send must not let an item begin at its runner."""
    world = World()
    world.harvester.stop()
    registry = CollectorRegistry()
    pause_ends_s = iter([-1.0, 5.0])
    world.harvester = Harvester(
        world.control,
        world.engines,
        world.clock,
        random.Random(3),
        "gateway-1",
        registry,
        last_pause_end_s=lambda: next(pause_ends_s, 5.0),
    )
    try:
        world.submit(1)
        world.start()
        assert world.wait_job(lambda view: view.done == 1).discarded == 0
        assert len(world.engines.calls) == 1
        ends = registry.get_sample_value("leverjunction_batch_ends_total", {"end": "not_run"})
        assert ends == 1
    finally:
        world.engines.release()
        world.harvester.stop()
