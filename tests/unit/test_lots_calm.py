"""Open items run soon after what kept all of them back is over, without another event."""

from __future__ import annotations

import time

import pytest
from tests.unit import test_lots_runner as runner_tests
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import OneStore, report_online, submit

from leverjunction.lots.runner import LotsRunner
from leverjunction.proxy.attempt import Sender
from testbed.routed import RunnerStandIn

store = runner_tests.store
back_end = runner_tests.back_end
runner = runner_tests.runner

ITEMS = 8
KEPT_BACK_S = 2.0
RESUMED_S = 6.0


async def _unread(_sender: Sender, _runner: object) -> None:
    return None


async def _failing(_sender: Sender, _runner: object) -> None:
    raise RuntimeError("not now")


@pytest.mark.parametrize("read_load", [_unread, _failing], ids=["no reply", "error"])
@pytest.mark.usefixtures("runner")
def test_items_run_soon_after_the_load_of_back_ends_is_read_again(
    store: OneStore, back_end: RunnerStandIn, monkeypatch: pytest.MonkeyPatch, read_load: object
) -> None:
    with monkeypatch.context() as silent:
        silent.setattr(Sender, "read_load", read_load)
        submit(store, ITEMS)
        time.sleep(KEPT_BACK_S)
        assert not back_end.seen
    wait_until(lambda: len(store.results()) == ITEMS, RESUMED_S)


def test_items_run_soon_after_the_registry_is_no_longer_in_doubt(
    store: OneStore, back_end: RunnerStandIn, runner: LotsRunner
) -> None:
    runner._is_in_doubt = lambda: True
    submit(store, ITEMS)
    time.sleep(KEPT_BACK_S)
    assert not back_end.seen
    runner._is_in_doubt = lambda: False
    wait_until(lambda: len(store.results()) == ITEMS, RESUMED_S)


@pytest.mark.usefixtures("runner")
def test_items_run_soon_after_the_gateways_whose_requests_took_all_slots_are_gone(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    # A store without batch work ignores reports.
    back_end.then("stream that stops")
    submit(store, 1, "first")
    wait_until(lambda: len(back_end.seen) == 1)
    _report_full(KEPT_BACK_S / 4)
    submit(store, ITEMS)
    _report_full(KEPT_BACK_S)
    assert not store.results()
    wait_until(lambda: len(store.results()) == ITEMS, RESUMED_S)


def _report_full(for_s: float) -> None:
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        report_online(8)
        time.sleep(0.05)
