"""Reads the prefix cache events of owned runners, in one thread per runner."""

from __future__ import annotations

import threading

from leverjunction.backends.cache_events import CacheEventReader
from leverjunction.backends.client import EngineClient
from leverjunction.errors import Failure
from leverjunction.gateway.runner_pool import RunnerPool
from leverjunction.observability.counters import GatewayCounters
from leverjunction.wire.messages import RunnerState

RECONNECT_S = 1.0


class CacheFeed:
    """Runs one reader of cache events for each owned runner and passes the events to the pool.

    Args:
        engines: Client of the engines.
        pool: Receives the events.
        counters: Metrics of the gateway.
    """

    def __init__(self, engines: EngineClient, pool: RunnerPool, counters: GatewayCounters) -> None:
        self._engines = engines
        self._pool = pool
        self._counters = counters
        self._lock = threading.Lock()
        self._stops: dict[tuple[str, str], threading.Event] = {}

    def update(self, owned: list[RunnerState]) -> None:
        """Start and stop readers so that exactly the runners in ``owned`` are read."""
        current = {(runner.runner_id, runner.address) for runner in owned}
        with self._lock:
            for key in set(self._stops) - current:
                self._stops.pop(key).set()
            for key in current - set(self._stops):
                stop = self._stops[key] = threading.Event()
                threading.Thread(
                    target=self._read_events, args=(*key, stop), name=f"cache-{key[0]}", daemon=True
                ).start()

    def _read_events(self, runner_id: str, address: str, stop: threading.Event) -> None:
        # Each connection starts with a snapshot, so a reconnect recovers from a gap in the events.
        while not stop.is_set():
            self._read_until_gap(runner_id, address, stop)
            stop.wait(RECONNECT_S)

    def _read_until_gap(self, runner_id: str, address: str, stop: threading.Event) -> None:
        reader = CacheEventReader.open(self._engines, address)
        if isinstance(reader, Failure):
            return
        for event in reader.events():
            if stop.is_set():
                break
            if not self._pool.observe_cache(runner_id, event):
                self._counters.cache_event_gaps.inc()
                break
        reader.close()
