"""A gateway that was suspended waits for current registry state before it handles requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from random import Random
from typing import Any

import pytest
from tests.unit.proxy_support import ZONE, Proxy
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import WHOLE_TEXT, OneStore, submit
from tests.unit.test_lots_versions import snapshot

from leverjunction.clock import SystemClock
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.registry.records import RunnerRecord
from leverjunction.routes import RouteIndex, RouteTable
from testbed.routed import SERVICE, RawReply, RunnerStandIn, make_table

PATHS = ("/once/x", "/repeatable/x", "/stream/x")
HELD_S = 0.3


@pytest.fixture
def leaving() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-1") as runner:
        yield runner


@pytest.fixture
def staying() -> Iterator[RunnerStandIn]:
    with RunnerStandIn("i-2") as runner:
        yield runner


@pytest.mark.parametrize("path", PATHS)
def test_a_request_after_a_suspension_waits_for_the_current_back_ends(
    leaving: RunnerStandIn, staying: RunnerStandIn, path: str
) -> None:
    """With the state from before, it went to a back end that had left during the suspension."""
    with Proxy(make_table(), [leaving]) as proxy:
        proxy.is_in_doubt = True
        replies: list[RawReply] = []
        caller = threading.Thread(target=lambda: replies.append(proxy.ask(path)))
        caller.start()
        time.sleep(HELD_S)
        assert leaving.seen == []
        record = RunnerRecord(
            runner_id=staying.runner_id,
            service=SERVICE,
            address=staying.address,
            zone=ZONE,
            slots=4,
        )
        proxy.call(lambda: proxy.balancer.replace([record]))
        proxy.is_in_doubt = False
        caller.join()
    assert [reply.status for reply in replies] == [200]
    assert leaving.seen == []


class PauseBeforeSend:
    """Simulates one suspension of the process, between the choice of a back end and the send."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, moment: str, pause: Callable[[], None]
    ) -> None:
        self._pause = pause
        self._is_choosing = True
        self.happened = threading.Event()
        open_request, acquire = Sender._open, RunnerPool.acquire

        async def open_after_pause(sender: Sender, dispatch: Any) -> Any:
            self._is_choosing = False
            if moment == "chosen":
                self._pause_once()
            return await open_request(sender, dispatch)

        async def acquire_and_pause(pool: RunnerPool, *args: Any) -> Any:
            connection = await acquire(pool, *args)
            if moment == "connecting" and not self._is_choosing:
                self._pause_once()
            return connection

        monkeypatch.setattr(Sender, "_open", open_after_pause)
        monkeypatch.setattr(RunnerPool, "acquire", acquire_and_pause)

    def _pause_once(self) -> None:
        if not self.happened.is_set():
            self._pause()
            self.happened.set()


@pytest.mark.parametrize("moment", ["chosen", "connecting"])
@pytest.mark.parametrize("path", PATHS)
def test_a_request_is_not_sent_to_a_back_end_chosen_before_a_suspension(
    leaving: RunnerStandIn,
    staying: RunnerStandIn,
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    moment: str,
) -> None:
    """It was sent to a back end that had left during the suspension."""
    with Proxy(make_table(), [leaving]) as proxy:

        def pause() -> None:
            proxy.is_in_doubt = True
            proxy.pause_end_s = 5.0

        paused = PauseBeforeSend(monkeypatch, moment, pause)
        replies: list[RawReply] = []
        caller = threading.Thread(target=lambda: replies.append(proxy.ask(path)))
        caller.start()
        assert paused.happened.wait(5.0)
        time.sleep(HELD_S)
        assert leaving.seen == []
        proxy.call(lambda: proxy.replace_runners([staying]))
        proxy.is_in_doubt = False
        caller.join()
    assert [reply.status for reply in replies] == [200]
    assert leaving.seen == []
    assert len(staying.seen) == 1


@pytest.mark.parametrize("moment", ["chosen", "connecting"])
def test_an_item_is_not_sent_to_a_back_end_chosen_before_a_suspension(
    monkeypatch: pytest.MonkeyPatch, moment: str
) -> None:
    """It was sent to a back end that had left during the suspension."""
    store = OneStore()
    is_in_doubt = threading.Event()
    ends_s = [0.0]

    def pause() -> None:
        is_in_doubt.set()
        ends_s.append(5.0)

    paused = PauseBeforeSend(monkeypatch, moment, pause)
    with ExitStack() as stack:
        leaving = stack.enter_context(RunnerStandIn("i-1", "stream"))
        staying = stack.enter_context(RunnerStandIn("i-2", "stream"))
        lots = LotsRunner(
            store,
            "z",
            PlatformDialect(),
            SystemClock(),
            Random(1),
            is_in_doubt=is_in_doubt.is_set,
            last_pause_end_s=lambda: ends_s[-1],
        )
        store.runner = lots
        lots.set_registry(snapshot([leaving]))
        lots.start()
        stack.callback(lots.stop)
        submit(store, 1)
        assert paused.happened.wait(5.0)
        time.sleep(HELD_S)
        assert leaving.seen == []
        lots.set_registry(snapshot([staying], 2))
        is_in_doubt.clear()
        wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
        assert (len(leaving.seen), len(staying.seen)) == (0, 1)


def test_an_item_is_placed_by_a_state_that_is_not_older_than_the_check() -> None:
    """A reply between the reading of the state and the check let an item use the old state."""
    store = OneStore()
    has_replied = threading.Event()
    with ExitStack() as stack:
        leaving = stack.enter_context(RunnerStandIn("i-1", "stream"))
        staying = stack.enter_context(RunnerStandIn("i-2", "stream"))

        def receive_reply_and_end_doubt() -> bool:
            if lots._queue.runs and lots._loads.has_capacity(SERVICE) and not has_replied.is_set():
                lots.set_registry(snapshot([staying], 2))
                has_replied.set()
            return not has_replied.is_set()

        lots = LotsRunner(
            store,
            "z",
            PlatformDialect(),
            SystemClock(),
            Random(1),
            is_in_doubt=receive_reply_and_end_doubt,
        )
        store.runner = lots
        lots.set_registry(snapshot([leaving]))
        lots.start()
        stack.callback(lots.stop)
        submit(store, 1)
        wait_until(lambda: store.results() == {"item-0": ("done", WHOLE_TEXT)})
        assert leaving.seen == []


def test_a_route_that_was_added_during_the_suspension_is_served(staying: RunnerStandIn) -> None:
    """The route table from before the suspension didn't contain it, so the request was rejected."""
    with Proxy(RouteTable(version=1), [staying]) as proxy:
        proxy.is_in_doubt = True
        replies: list[RawReply] = []
        caller = threading.Thread(target=lambda: replies.append(proxy.ask(PATHS[0])))
        caller.start()
        time.sleep(HELD_S)
        proxy.call(lambda: proxy.forwarder.set_table(RouteIndex(make_table(version=2))))
        proxy.is_in_doubt = False
        caller.join()
    assert [reply.status for reply in replies] == [200]


def test_a_request_waits_no_longer_than_its_deadline(staying: RunnerStandIn) -> None:
    with Proxy(make_table(), [staying]) as proxy:
        proxy.is_in_doubt = True
        reply = proxy.ask(PATHS[0], Leverjunction_Deadline_Ms="300")
    assert reply.status == 503, "no back end was tried"
    assert staying.seen == []
