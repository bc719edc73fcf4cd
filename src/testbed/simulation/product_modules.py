"""Puts virtual threads, sockets, time and randomness under the product's modules for one run."""

from __future__ import annotations

import importlib
import random
import sys
import threading as real_threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace
from unittest import mock

from testbed.simulation.scheduler import Scheduler
from testbed.simulation.virtual_sockets import VirtualSelectors, VirtualSocketModule
from testbed.simulation.virtual_threads import VirtualThreading

HARVEST_TICK_S = 0.15
LEASE_CHECK_S = 0.25
LOAD_POLL_S = 0.5
CHUNK_ITEMS = 4
"""Coarser than the product's, so that a run is cheap; the order of events stays the same kind."""

_PREFIXES = ("leverjunction.batch.", "leverjunction.gateway.", "leverjunction.registry.")
"""The modules in which names of the standard library are replaced."""

_CONSTANTS: dict[str, dict[str, object]] = {
    "leverjunction.api.batches_upload": {"CHUNK_ITEMS": CHUNK_ITEMS},
    "leverjunction.batch.harvester": {"TICK_S": HARVEST_TICK_S},
    "leverjunction.batch.lease_fetcher": {"CHECK_INTERVAL_S": LEASE_CHECK_S},
    "leverjunction.gateway.owner": {"POLL_INTERVAL_S": LOAD_POLL_S},
}


@contextmanager
def product_on_fibers(
    threading: VirtualThreading, scheduler: Scheduler, generator: random.Random
) -> Iterator[None]:
    """Replace what the gateway's and the batch modules import from the standard library."""
    substitutes: dict[str, object] = {
        "threading": threading,
        "ThreadPoolExecutor": threading.ThreadPoolExecutor,
        "selectors": VirtualSelectors(threading),
        "socket": VirtualSocketModule(),
        "steady_s": lambda: scheduler.now_s,
        "uuid": SimpleNamespace(uuid4=lambda: _identifier(generator)),
        "random": SimpleNamespace(Random=lambda: random.Random(generator.getrandbits(64))),
    }
    with ExitStack() as stack:
        for name in sorted(sys.modules):
            if not name.startswith(_PREFIXES):
                continue
            module = sys.modules[name]
            for attribute, substitute in substitutes.items():
                if hasattr(module, attribute):
                    real = getattr(module, attribute)
                    chosen = _ForRun(threading.fibers.threads, substitute, real)
                    stack.enter_context(mock.patch.object(module, attribute, chosen))
        # Addresses of objects differ from run to run; the harvester breaks ties by them.
        runs = importlib.import_module("leverjunction.batch.harvest_state")
        numbers = _ForRun(threading.fibers.threads, _Numbers(), id)
        stack.enter_context(mock.patch.object(runs, "id", numbers, create=True))
        for name, constants in _CONSTANTS.items():
            importlib.import_module(name)
            for attribute, value in constants.items():
                stack.enter_context(mock.patch.object(sys.modules[name], attribute, value))
        yield


class _ForRun:
    """A substitute for the threads of a run, the real thing for all others of the process.

    Threads that an earlier run of the product left behind would draw ids and random numbers of
    this one, whose history then differs from that of the same seed elsewhere.
    """

    def __init__(self, threads: set[int], substitute: object, real: object) -> None:
        self._threads = threads
        self._substitute = substitute
        self._real = real

    def __getattr__(self, name: str) -> object:
        return getattr(self._chosen(), name)

    def __call__(self, *arguments: object, **named: object) -> object:
        chosen = self._chosen()
        assert callable(chosen)
        return chosen(*arguments, **named)

    def _chosen(self) -> object:
        is_of_run = real_threading.get_ident() in self._threads
        return self._substitute if is_of_run else self._real


class _Numbers:
    """Stands in for ``id``: numbers objects in the order in which they are first seen."""

    def __init__(self) -> None:
        self._last = 0

    def __call__(self, thing: object) -> int:
        number = thing.__dict__.get("simulated_id")
        if number is None:
            self._last += 1
            number = thing.__dict__["simulated_id"] = self._last
        return int(number)


def _identifier(generator: random.Random) -> SimpleNamespace:
    return SimpleNamespace(hex=f"{generator.getrandbits(128):032x}")
