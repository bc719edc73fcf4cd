"""Load reports between a gateway and the leader of batch work, over real sockets."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterator

import pytest
from loguru import logger

from leverjunction.lots.load_listener import LoadListener
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.load_socket import LoadSocket
from leverjunction.proxy.online_loads import MIN_REPORT_INTERVAL_S
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.records import RunnerRecord

HOST = f"127.{20 + os.getpid() % 200}.251.1"
STORE = f"{HOST}:19081"
GATEWAY = f"{HOST}:19082"
KEY = b"key"


def runner(own: int) -> TrackedRunner:
    record = RunnerRecord(runner_id="i1", service="s", address="a:1", zone="z", slots=8)
    made = TrackedRunner(record)
    made.own_requests = own
    return made


async def wait_until(condition: Callable[[], bool], timeout_s: float = 3.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def warnings() -> Iterator[list[str]]:
    """Collect log lines at level WARNING and above."""
    logged: list[str] = []
    handler = logger.add(logged.append, level="WARNING")
    yield logged
    logger.remove(handler)


class Pair:
    """Socket of a gateway and listener of a store."""

    def __init__(self, gateway_key: bytes = KEY) -> None:
        self.has_work = True
        self.reports = 0
        self.totals = {"i1": 5}
        self.others: dict[str, int] = {}
        self.lag_s = -1.0
        self.order = BackEndOrder(["i1", "i2"])
        self.listener = LoadListener(
            KEY,
            lambda: self.has_work,
            self._report_received,
            lambda: self.totals,
            lambda: self.order,
        )
        self.known = self.order
        self.port = LoadSocket(
            "g", gateway_key, 7, lambda: (STORE,), lambda: self.known, self._on_other_loads
        )

    def _report_received(self) -> None:
        self.reports += 1

    def _on_other_loads(self, others: dict[str, int], lag_s: float) -> None:
        self.others = others
        self.lag_s = lag_s

    async def __aenter__(self) -> Pair:
        await self.listener.start(STORE)
        await self.port.start(GATEWAY)
        return self

    async def __aexit__(self, *_error: object) -> None:
        self.port.stop()
        self.listener.close()
        await asyncio.sleep(0)


def test_a_change_is_reported_to_the_leader_at_once() -> None:
    async def scenario() -> None:
        async with Pair() as pair:
            await wait_until(lambda: pair.listener.loads.gateway_count == 1)
            await asyncio.sleep(0.05)
            started_s = asyncio.get_running_loop().time()
            pair.port.runner_changed(runner(2))
            pair.port.held_changed("s", 3)
            await wait_until(lambda: pair.listener.loads.at_back_end("i1") == 2)
            assert asyncio.get_running_loop().time() - started_s < 0.2
            await wait_until(lambda: pair.listener.loads.waiting("s") == 3)
            pair.port.runner_changed(runner(0))
            await wait_until(lambda: pair.listener.loads.at_back_end("i1") == 0)

    asyncio.run(scenario())


def test_a_gateway_receives_the_loads_of_the_others() -> None:
    async def scenario() -> None:
        async with Pair() as pair:
            await wait_until(lambda: pair.others == {"i1": 5})
            assert pair.lag_s == pytest.approx(MIN_REPORT_INTERVAL_S / 2, abs=MIN_REPORT_INTERVAL_S)
            pair.port.runner_changed(runner(2))
            await wait_until(lambda: pair.others == {"i1": 3}, 0.5)
            pair.totals = {"i1": 9}
            await wait_until(lambda: pair.others == {"i1": 7}, 0.5)

    asyncio.run(scenario())


def test_a_row_in_another_order_is_ignored() -> None:
    """A row contains no names: decoded in another order, it would give the loads of others."""

    async def scenario() -> None:
        async with Pair() as pair:
            pair.known = BackEndOrder(["i1", "i2", "i3"])
            await wait_until(lambda: pair.listener.loads.gateway_count == 1)
            await asyncio.sleep(0.2)
            assert pair.others == {}
            pair.order = pair.known
            await wait_until(lambda: pair.others == {"i1": 5})

    asyncio.run(scenario())


def test_changes_are_not_reported_to_a_store_without_batch_work() -> None:
    async def scenario() -> None:
        async with Pair() as pair:
            pair.has_work = False
            pair.port.runner_changed(runner(1))
            await asyncio.sleep(0.2)
            assert pair.reports == 0
            pair.has_work = True
            await wait_until(lambda: pair.listener.loads.at_back_end("i1") == 1)

    asyncio.run(scenario())


def test_reports_with_another_key_are_ignored() -> None:
    async def scenario() -> None:
        async with Pair(gateway_key=b"another") as pair:
            await asyncio.sleep(0.3)
            assert (pair.reports, pair.listener.loads.gateway_count) == (0, 0)

    asyncio.run(scenario())


def test_a_listener_without_its_port_logs_a_warning(warnings: list[str]) -> None:
    async def scenario() -> None:
        async with Pair() as pair:
            second = LoadListener(KEY, lambda: True, lambda: None, dict, lambda: pair.order)
            await second.start(STORE)
            assert second.loads.gateway_count == 0
            second.close()
            await wait_until(lambda: pair.listener.loads.gateway_count == 1)

    asyncio.run(scenario())
    assert any("cannot receive load updates of gateways" in line for line in warnings)


def test_broadcasts_go_on_after_an_error(
    monkeypatch: pytest.MonkeyPatch, warnings: list[str]
) -> None:
    """One error ended the broadcasts for good: gateways report their changes only while asked."""

    async def scenario() -> None:
        async with Pair() as pair:
            await wait_until(lambda: pair.others == {"i1": 5})
            with monkeypatch.context() as failing:
                failing.setattr(BackEndOrder, "pack", None)
                await wait_until(lambda: bool(warnings))
                await asyncio.sleep(0.2)
            pair.totals = {"i1": 9}
            await wait_until(lambda: pair.others == {"i1": 9})

    asyncio.run(scenario())
    assert len(warnings) == 1, "one line for errors in a row"


def test_reports_go_on_after_an_error() -> None:
    """One error ended the reports for good: its requests were counted for 1.2 s more."""

    async def scenario() -> None:
        async with Pair() as pair:
            send = pair.port._send
            failed: list[bool] = []

            def fail_once(*arguments: object) -> None:
                if not failed:
                    failed.append(True)
                    raise ValueError("not now")
                send(*arguments)  # type: ignore[arg-type]

            pair.port._send = fail_once  # type: ignore[method-assign]
            await wait_until(lambda: bool(failed))
            pair.reports = 0
            await wait_until(lambda: pair.reports >= 2)

    asyncio.run(scenario())
