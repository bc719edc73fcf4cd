"""Callers of the relay bench: many open streams, read by one selector loop."""

from __future__ import annotations

import re
import selectors
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3

from leverjunction.backends.stream import DetachedSocket, EngineStream
from leverjunction.backends.types import CHAT_PATH

OPEN_THREADS = 32
READ_BYTES = 65536
SENT_NS = re.compile(rb"t=(\d+);")
NS_PER_MS = 1_000_000


class Readings(msgspec.Struct, frozen=True, kw_only=True):
    """Latencies of the tokens read in the measured window, in milliseconds, and its length."""

    latencies_ms: list[float]
    window_s: float


class Callers:
    """Opens ``count`` streams at ``address`` and measures how late their tokens come."""

    def __init__(self, address: str, api_key: str, model: str, count: int) -> None:
        self._address = address
        self._body = msgspec.json.encode(
            {"model": model, "stream": True, "messages": [{"role": "user", "content": "go"}]}
        )
        self._headers = {
            "Authorization": f"Bearer {api_key}",
            "Content-Type": "application/json",
            "X-Request-Id": "bench",
            "X-Attempt": "1",
        }
        self._pool = urllib3.PoolManager(num_pools=4, maxsize=count, retries=False)
        self._sockets: list[DetachedSocket] = []
        with ThreadPoolExecutor(OPEN_THREADS) as threads:
            self._sockets = list(threads.map(lambda _index: self._open(), range(count)))

    def _open(self) -> DetachedSocket:
        response = self._pool.request(
            "POST",
            f"http://{self._address}{CHAT_PATH}",
            body=self._body,
            headers=self._headers,
            preload_content=False,
        )
        if response.status != 200:
            raise RuntimeError(f"HTTP {response.status}: {response.data[:300]!r}")
        return EngineStream(response, self._address).detach()

    def measure(self, window_s: float) -> Readings:
        """Read all streams for ``window_s`` and return how late their tokens came."""
        selector = selectors.DefaultSelector()
        for item in self._sockets:
            selector.register(item.connection, selectors.EVENT_READ)
        latencies: list[float] = []
        started_s = time.monotonic()
        while time.monotonic() - started_s < window_s:
            for key, _mask in selector.select(0.05):
                data = key.fileobj.recv(READ_BYTES)  # type: ignore[union-attr]
                now_ns = time.monotonic_ns()
                if not data:
                    selector.unregister(key.fileobj)
                latencies += [(now_ns - int(sent)) / NS_PER_MS for sent in SENT_NS.findall(data)]
        spent_s = time.monotonic() - started_s
        selector.close()
        return Readings(latencies_ms=latencies, window_s=spent_s)

    def close(self) -> None:
        """Close all streams."""
        for item in self._sockets:
            item.connection.close()
