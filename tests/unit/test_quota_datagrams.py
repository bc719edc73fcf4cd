"""Limits of tenants between gateways and stores that may lead, over real sockets."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from random import Random

import pytest
from loguru import logger

from leverjunction.lots.load_listener import LoadListener
from leverjunction.lots.quota_owner import QuotaOwner
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.load_socket import LoadSocket
from leverjunction.proxy.quota_link import QuotaLink
from leverjunction.quota.bounds import QuotaBounds
from leverjunction.quota.ledger import TAKEOVER_WAIT_S
from leverjunction.quota.local_limiter import CONTACT_S, LocalLimiter
from leverjunction.routes.matching import RouteIndex
from leverjunction.routes.types import RateLimit, RouteTable, Tenant

HOST = f"127.{20 + os.getpid() % 200}.252.1"
STORES = (f"{HOST}:19091", f"{HOST}:19092")
GATEWAYS = (f"{HOST}:19093", f"{HOST}:19094")
KEY = b"key"
BOUNDS = QuotaBounds(window_s=5.0, slack=4.0)
ACME = Tenant(name="acme", limit=RateLimit(per_s=1.0, burst=10.0))
NO_BACK_ENDS = BackEndOrder(())


async def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class Store:
    """Datagram endpoint of a store, which leads or does not."""

    def __init__(self, address: str) -> None:
        self.leads = False
        self.address = address
        self.owner = QuotaOwner(BOUNDS, lambda: self.leads)
        self.listener = LoadListener(
            KEY, lambda: False, lambda: None, dict, lambda: NO_BACK_ENDS, self.owner
        )

    def lead(self, leads: bool) -> None:
        self.leads = leads
        if leads:
            self.owner.set_table(RouteIndex(RouteTable(version=1, tenants=(ACME,))))
        else:
            self.owner.clear()


class Gateway:
    """Limiter of a gateway with its datagram endpoint."""

    def __init__(self, name: str, address: str, has_tenants: bool = True) -> None:
        self.address = address
        self.limiter = LocalLimiter(Random(1), BOUNDS)
        link = QuotaLink(name, self.limiter, lambda: has_tenants)
        self.port = LoadSocket(
            name,
            KEY,
            1,
            lambda: STORES,
            lambda: NO_BACK_ENDS,
            lambda _others, _lag_s: None,
            quota=link,
        )

    def is_in_contact(self) -> bool:
        return self.limiter.is_in_contact(asyncio.get_running_loop().time())

    def admit(self, count: int) -> int:
        now_s = asyncio.get_running_loop().time()
        return sum(self.limiter.admit(ACME, now_s) is None for _ in range(count))


class Fleet:
    """Two stores and two gateways."""

    def __init__(self, has_tenants: bool = True) -> None:
        self.stores = [Store(address) for address in STORES]
        self.gateways = [
            Gateway(f"g{number}", address, has_tenants) for number, address in enumerate(GATEWAYS)
        ]

    async def __aenter__(self) -> Fleet:
        for store in self.stores:
            await store.listener.start(store.address)
        for gateway in self.gateways:
            await gateway.port.start(gateway.address)
        return self

    async def __aexit__(self, *_error: object) -> None:
        for gateway in self.gateways:
            gateway.port.stop()
        for store in self.stores:
            store.listener.close()
        await asyncio.sleep(0)

    async def in_contact(self) -> None:
        await wait_until(lambda: all(gateway.is_in_contact() for gateway in self.gateways))


def test_what_one_gateway_admits_is_missing_at_the_others() -> None:
    async def scenario() -> None:
        async with Fleet() as fleet:
            first, second = fleet.gateways
            fleet.stores[0].lead(True)
            await fleet.in_contact()
            # The bucket fills up from what a new owner starts with.
            await asyncio.sleep(2.0)
            taken = first.admit(30)
            await asyncio.sleep(0.5)
            assert taken >= 10
            assert second.admit(30) <= 1

    asyncio.run(scenario())


def test_gateways_find_the_next_owner() -> None:
    async def scenario() -> None:
        async with Fleet() as fleet:
            fleet.stores[0].lead(True)
            await fleet.in_contact()
            fleet.stores[0].lead(False)
            await asyncio.sleep(CONTACT_S + 0.2)
            assert not any(gateway.is_in_contact() for gateway in fleet.gateways)
            fleet.stores[1].lead(True)
            started_s = asyncio.get_running_loop().time()
            await fleet.in_contact()
            assert asyncio.get_running_loop().time() - started_s < TAKEOVER_WAIT_S + 1.0

    asyncio.run(scenario())


def test_without_tenants_nothing_is_reported() -> None:
    async def scenario() -> None:
        async with Fleet(has_tenants=False) as fleet:
            fleet.stores[0].lead(True)
            await asyncio.sleep(TAKEOVER_WAIT_S + 0.8)
            assert not any(gateway.is_in_contact() for gateway in fleet.gateways)

    asyncio.run(scenario())


def test_an_error_does_not_end_the_reports(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        async with Fleet() as fleet:
            fleet.stores[0].lead(True)
            gateway = fleet.gateways[0]
            whole = gateway.limiter.report
            failures = iter([True])

            def fail_once(*args: object, **named: object) -> object:
                if next(failures, False):
                    raise RuntimeError("broken")
                return whole(*args, **named)  # type: ignore[arg-type]

            monkeypatch.setattr(LocalLimiter, "report", lambda _self, *a, **n: fail_once(*a, **n))
            await wait_until(gateway.is_in_contact)

    logged: list[str] = []
    handler = logger.add(logged.append, level="ERROR")
    asyncio.run(scenario())
    logger.remove(handler)
    assert any("reporting the use of tenants' limits failed" in line for line in logged)
