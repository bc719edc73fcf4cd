"""Tests of a gateway's batch work while one of its engines stands still."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec
from tests.unit.batch_support import FakeEngines
from tests.unit.gateway_support import wait_until
from tests.unit.test_batch_harvester import RUNNER, World

from leverjunction.backends.client import CANCEL_TIMEOUT_S
from leverjunction.backends.types import HeldRequest
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.messages import RunnerState

SILENT = [
    msgspec.structs.replace(RUNNER, runner_id=f"s{number}", address=f"silent:{number}")
    for number in range(3)
]
ITEMS_EACH = 12
"""More items of all silent engines together than there are threads for cancels."""


NO_RESPONSE = Failure(
    kind=FailureKind.BACKEND_FAILED,
    reason="no response",
    step=Step.RESPONDING,
    execution=Execution.UNKNOWN,
)


class SomeSilent(FakeEngines):
    """Engines of which some take requests, and answer no cancel.

    Attributes:
        unanswered: Number of cancels at silent engines.
    """

    def __init__(self) -> None:
        super().__init__()
        self.unanswered = 0

    def open_at(self, runner: RunnerState) -> int:
        """Return the number of open requests at an engine."""
        with self.changed:
            return sum(call.address == runner.address for call in self._open.values())

    def held_requests(self, address: str) -> list[HeldRequest] | Failure:
        if address.startswith("silent"):
            time.sleep(CANCEL_TIMEOUT_S)
            return NO_RESPONSE
        with self.changed:
            calls = list(self._open.values())
        return [HeldRequest(call.request_id, call.owner) for call in calls]

    def cancel(self, address: str, request_id: str) -> Failure | None:
        if address.startswith("silent"):
            with self.changed:
                self.unanswered += 1
            time.sleep(CANCEL_TIMEOUT_S)
            return NO_RESPONSE
        return super().cancel(address, request_id)


def test_batch_work_yields_at_once_while_another_engine_is_silent(
    paused_s: Callable[[], float],
) -> None:
    """Guards against cancels that queue behind those for an engine that stands still.

    The failure: batch work yielded to online requests at an engine that stood still. Its cancels
    kept all threads for a second each, and batch work elsewhere went on beside online requests.
    """
    world = World()
    engines = world.engines = SomeSilent()
    world.harvester._engines = engines
    world.serving = msgspec.structs.replace(world.serving, batch_max_running=ITEMS_EACH)
    engines.held = True
    world.submit(ITEMS_EACH * (len(SILENT) + 1))
    world.start([RUNNER, *SILENT])
    engines.wait_open(ITEMS_EACH * (len(SILENT) + 1))
    try:
        for runner in SILENT:
            world.harvester.online_arrived(runner.runner_id)
        wait_until(lambda: engines.unanswered >= len(SILENT), "cancels at silent engines")
        time.sleep(CANCEL_TIMEOUT_S / 5)
        paused_before_s, started_s = paused_s(), time.monotonic()
        world.harvester.online_arrived(RUNNER.runner_id)
        wait_until(lambda: engines.open_at(RUNNER) == 0, "the batch work yields")
        took_s = time.monotonic() - started_s - (paused_s() - paused_before_s)
    finally:
        engines.release()
        world.harvester.stop()
    assert took_s < CANCEL_TIMEOUT_S / 2
