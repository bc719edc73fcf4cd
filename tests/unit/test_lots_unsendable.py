"""An item that cannot be sent must cost the store and its back ends almost nothing.

Guards against four logged errors a second for each such item, and as many new connections. A lot
was accepted whose item has a header value or a path that HTTP/1.1 cannot carry. That was not
checked on acceptance, and the run raised an error before the pause that follows a run, so it was
started again at each ranking until its time limit passed: 11 runs and 12 new connections in 3 s.
"""

from __future__ import annotations

import time

import pytest
from tests.unit import test_lots_runner as runner_tests
from tests.unit.test_lots_runner import OneStore

from leverjunction.lots.attempts import Attempts
from leverjunction.lots.commands import LotItem, SubmitLot, encode_command
from testbed.routed import HOST, RunnerStandIn

store = runner_tests.store
back_end = runner_tests.back_end
runner = runner_tests.runner


@pytest.mark.usefixtures("runner")
def test_an_item_that_cannot_be_sent_is_not_tried_without_a_pause(
    store: OneStore, back_end: RunnerStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    attempts: list[float] = []
    attempt = Attempts.attempt

    async def counted(self: Attempts, run: object, runner: object) -> bool:
        attempts.append(time.monotonic())
        return await attempt(self, run, runner)  # type: ignore[arg-type]

    monkeypatch.setattr(Attempts, "attempt", counted)
    item = LotItem(
        item_id="item-0", path="/batch/x", headers=(("X-Note", "a\nb"),), body=b"b", tokens=9
    )
    lot = SubmitLot(
        lot_id="lot",
        host=HOST,
        path="/batch/lot",
        max_attempts=3,
        give_up_s=600.0,
        due_ms=20_000.0,
        items=(item,),
    )
    store.propose(encode_command(lot), 1.0)
    time.sleep(3.0)
    assert len(attempts) <= 6
    assert back_end.accepted <= 4
