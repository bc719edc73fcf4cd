"""Test support: processes of a seeded deployment as objects in one process, on loopback addresses.

In a seeded deployment, machines find each other through a configured list of seed addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import shutil
import threading
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec

from leverjunction.clock import SystemClock
from leverjunction.config.machine import (
    MachineBounds,
    MachineConfig,
    MachineElections,
    MachineListen,
)
from leverjunction.lots.node import LotsNode
from leverjunction.platform.gateway_calls import make_gateway_calls
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.process import ProxyNode
from leverjunction.registry.node import RegistryNode
from testbed.platform_words import READY_PATH
from testbed.routed import RawCaller

FIRST_NET = 20
NETS = 200
_FLEETS = itertools.count(1)
RPC_PORT = 19071
SEEDS = 3
STORE_HOSTS = 100
GATEWAY_HOSTS = 150
CALLERS_PORT = 19072
READY_PORT = 19073

ELECTIONS = MachineElections(heartbeat_s=0.2, timeout_min_s=0.6, timeout_max_s=1.2)
"""Longer than the defaults: many nodes share one interpreter on a machine that may be busy."""


def wait_until(condition: Callable[[], object], timeout_s: float = 15.0) -> None:
    """Wait for a condition; fail the test if it does not come true within ``timeout_s``."""
    until_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until_s, "the condition did not come true in time"
        time.sleep(0.05)


class GatewayThread:
    """Gateway that runs its event loop in a separate thread.

    Attributes:
        address: ``host:port`` on which the gateway accepts requests.
    """

    def __init__(self, config: MachineConfig) -> None:
        self._config = config
        self.address = config.listen.callers
        self._loop = asyncio.new_event_loop()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        assert self._started.wait(10), "the gateway does not listen"

    def stop(self) -> None:
        """Stop the event loop without a graceful shutdown, as a kill would."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def is_ready(self) -> bool:
        """Return whether the gateway reports that it has a route table."""
        caller = RawCaller(self._config.listen.ready)
        try:
            return caller.ask("GET", READY_PATH, {"Host": "any"}).status == 200
        finally:
            caller.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        node = self._loop.run_until_complete(self._start())
        self._started.set()
        self._loop.run_forever()
        node.close()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _start(self) -> ProxyNode:
        node = ProxyNode(self._config, PlatformDialect(), READY_PATH, make_gateway_calls)
        await node.start()
        return node


class SeededFleet:
    """Processes of one deployment, by machine name; data folders stay when a process stops.

    Attributes:
        net: First three numbers of the fleet's loopback addresses.
        controls: Running control processes.
        stores: Running store processes.
        gateways: Running gateways.
    """

    def __init__(self, folder: Path, bounds: MachineBounds | None = None) -> None:
        self._bounds = bounds or MachineBounds()
        # Each fleet of each test process has its own loopback addresses, for parallel tests.
        self.net = f"127.{FIRST_NET + os.getpid() % NETS}.{next(_FLEETS)}"
        self._folder = folder
        self.controls: dict[str, RegistryNode] = {}
        self.stores: dict[str, LotsNode] = {}
        self.gateways: dict[str, GatewayThread] = {}
        self._failed: list[RegistryNode] = []

    def start_control(self, number: int, *, first: bool = True) -> RegistryNode:
        name = f"core-{number}"
        config = self._config(name, f"{self.net}.{number}", first)
        node = RegistryNode(config, SystemClock(), Random())
        assert node.start() is None
        self.controls[name] = node
        return node

    def try_to_start_control(self, number: int) -> None:
        """Start a control process whose start may fail; it is not added to ``controls``."""
        config = self._config(f"core-{number}", f"{self.net}.{number}", True)
        node = RegistryNode(config, SystemClock(), Random())
        self._failed.append(node)
        with contextlib.suppress(OSError):
            node.start()

    def start_store(self, number: int, *, first: bool = True) -> LotsNode:
        name = f"store-{number}"
        config = self._config(name, self.store_address(number).partition(":")[0], first)
        node = LotsNode(config, PlatformDialect(), SystemClock(), Random())
        assert node.start() is None
        self.stores[name] = node
        return node

    def start_gateway(self, number: int) -> GatewayThread:
        name = f"front-{number}"
        host = f"{self.net}.{GATEWAY_HOSTS + number}"
        listen = MachineListen(
            rpc=f"{host}:{RPC_PORT}", callers=f"{host}:{CALLERS_PORT}", ready=f"{host}:{READY_PORT}"
        )
        config = msgspec.structs.replace(self._config(name, host, False), listen=listen)
        self.gateways[name] = GatewayThread(config)
        return self.gateways[name]

    def control_addresses(self) -> list[str]:
        """Return the RPC addresses of the running control processes."""
        return [f"{self.net}.{name.rpartition('-')[2]}:{RPC_PORT}" for name in self.controls]

    def store_address(self, number: int) -> str:
        """Return the RPC address of a store machine."""
        return f"{self.net}.{STORE_HOSTS + number}:{RPC_PORT}"

    def forget_disk(self, name: str) -> None:
        """Delete the data folder of a stopped machine."""
        shutil.rmtree(self._folder / name)

    def stop(self) -> None:
        for gateway in self.gateways.values():
            gateway.stop()
        for node in (*self.stores.values(), *self.controls.values(), *self._failed):
            node.stop()

    def leader(self) -> RegistryNode | None:
        """Return the control process that leads the registry, None without exactly one leader."""
        leading = [node for node in self.controls.values() if node.leads()]
        return leading[0] if len(leading) == 1 else None

    def _config(self, name: str, host: str, first: bool) -> MachineConfig:
        return MachineConfig(
            name=name,
            zone=f"z{name[-1]}",
            listen=MachineListen(rpc=f"{host}:{RPC_PORT}"),
            seeds=tuple(f"{self.net}.{number}:1" for number in range(1, SEEDS + 1)),
            rpc_seed_port=RPC_PORT,
            data_folder=str(self._folder / name),
            first_start=first,
            elections=ELECTIONS,
            bounds=self._bounds,
        )
