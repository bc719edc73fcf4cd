"""Items go on soon after a step of the runner that a pause of its process prolonged."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import OneStore, back_end, runner, store, submit

from leverjunction.lots import runner as runner_module
from leverjunction.lots.runner import LotsRunner
from testbed.routed import RunnerStandIn
from testbed.routed.behaviours import BEHAVIOURS
from testbed.routed.exchange import Exchange

__all__ = ["back_end", "runner", "store"]

PAUSE_S = 1.0
RESUMED_S = 6.0


async def _broken_off(exchange: Exchange) -> None:
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    exchange.data(exchange.events()[0])
    await exchange.flush()
    await asyncio.sleep(2 * PAUSE_S)
    exchange.reset()


@pytest.mark.usefixtures("runner")
def test_runs_broken_off_after_a_stalled_ranking_are_continued_soon(
    store: OneStore, back_end: RunnerStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against waiting twenty times as long as the process stood still in a ranking.

    A ranking that takes long is used for longer, since it costs the event loop's time. A pause of
    the process in it counted too: after 1 s the items whose runs broke off waited for 20 s, with
    all slots free, as they were running at the time of that ranking.
    """
    BEHAVIOURS["broken off late"] = _broken_off
    back_end.then("broken off late", "broken off late")
    submit(store, 2)
    wait_until(lambda: len(back_end.seen) == 2)
    mark_crowded_out = runner_module.mark_crowded_out
    paused: list[bool] = []

    def pause_once(*arguments: object) -> None:
        if not paused:
            paused.append(True)
            time.sleep(PAUSE_S)
        mark_crowded_out(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(runner_module, "mark_crowded_out", pause_once)
    wait_until(lambda: len(store.results()) == 2, RESUMED_S)
    assert paused


@pytest.mark.usefixtures("runner")
def test_open_items_are_read_again_soon_after_a_read_that_waited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 50 s without a read, after one that waited for 1 s for a slow sync."""
    read_open = LotsRunner._read_open
    reads: list[float] = []

    def wait_once(runner: LotsRunner) -> bool:
        reads.append(time.monotonic())
        if len(reads) == 1:
            time.sleep(PAUSE_S)
        return read_open(runner)

    monkeypatch.setattr(LotsRunner, "_read_open", wait_once)
    wait_until(lambda: len(reads) == 2, RESUMED_S)
