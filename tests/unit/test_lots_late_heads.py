"""Guards against an item that never ends because its back ends send their first event late.

The first event takes longer everywhere than the longest accepted silence, as with a full queue or a
long prompt at a slow back end, and each run is cut at the same second. The accepted silence doubled
only up to a fixed 10 s, although a run may take 60 s. With all limits at a tenth and a response
head after 1.2 s, an item had 9 runs in 12 s and was never done.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.unit import test_lots_runner as runner_tests
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import WHOLE_TEXT, OneStore, submit

from leverjunction.lots import lost_runs
from leverjunction.lots.attempts import RUN_TIMEOUT_S
from testbed.routed import RunnerStandIn
from testbed.routed.behaviours import behaviour
from testbed.routed.exchange import Exchange

store = runner_tests.store
back_end = runner_tests.back_end
runner = runner_tests.runner

FIRST_EVENT_S = 12.0


@behaviour("late head")
async def _late_head(exchange: Exchange) -> None:
    await asyncio.sleep(FIRST_EVENT_S / 10)
    exchange.head(200, [*exchange.headers(), ("Content-Type", "text/event-stream")])
    for event in exchange.events():
        exchange.data(event)
    exchange.end()


def test_the_silence_that_is_borne_grows_until_a_slow_run_ends() -> None:
    borne_s = [lost_runs.silence_s(20_000.0, silent) for silent in range(20)]
    assert max(borne_s) > FIRST_EVENT_S, f"at most {max(borne_s)} s of {RUN_TIMEOUT_S}"


@pytest.mark.usefixtures("runner")
def test_an_item_whose_first_event_always_comes_late_ends(
    store: OneStore, back_end: RunnerStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All limits are a tenth, to save time: the response head comes after 1.2 s, not 12."""
    monkeypatch.setattr(lost_runs, "MAX_SILENCE_S", 6.0)
    monkeypatch.setattr(lost_runs, "MAX_FIRST_SILENCE_S", 1.0)
    monkeypatch.setattr(lost_runs, "MIN_SILENCE_S", 0.2)
    monkeypatch.setattr(lost_runs, "SILENCE_DUE_SHARE", 0.02)
    back_end.usual = "late head"
    submit(store, 1)
    wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)}, 12.0)
