"""A hollow runner: answers the engine protocol's small calls, and runs nothing."""

from __future__ import annotations

import json
import random as random_module
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

StartResponse = Callable[..., Any]

EVENT_KEEPALIVE_S = 5.0
EVENT_STREAM_S = 60.0
KV_BLOCKS_TOTAL = 4096
MAX_RUNNING = 64
SERVER_THREADS = 3
ECHOED_HEADERS = (("HTTP_X_REQUEST_ID", "X-Request-Id"), ("HTTP_X_ATTEMPT", "X-Attempt"))


class HollowRunner:
    """WSGI application of one hollow runner; an idle one reports no work."""

    def __init__(
        self,
        runner_id: str,
        models: list[str],
        random: random_module.Random,
        is_idle: bool = False,
    ) -> None:
        self.runner_id = runner_id
        self.calls = 0
        self._models = list(models)
        self._random = random
        self._incarnation = time.time_ns() // 1_000_000
        self._max_running = 0 if is_idle else MAX_RUNNING
        self._running = min(self._max_running, random.randrange(MAX_RUNNING))
        self._lock = threading.Lock()

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        self.calls += 1
        headers = [(name, environ[key]) for key, name in ECHOED_HEADERS if key in environ]
        match environ["PATH_INFO"]:
            case "/load":
                return _json(start, headers, "200 OK", self._load())
            case "/health":
                return _json(start, headers, "200 OK", {"status": "ok"})
            case "/v1/requests":
                return _json(start, headers, "200 OK", {"requests": []})
            case "/orders":
                order = json.loads(environ["wsgi.input"].read())
                return _json(start, headers, "202 Accepted", self._obey(order))
            case "/cache/events":
                start("200 OK", [*headers, ("Content-Type", "text/event-stream")])
                return _silent_events()
            case _:
                return _json(start, headers, "404 Not Found", {"error": "hollow runner"})

    def _load(self) -> dict[str, object]:
        with self._lock:
            step = self._random.choice((-2, -1, 0, 1, 2))
            self._running = min(self._max_running, max(0, self._running + step))
            return {
                "as_of_ms": time.time_ns() // 1_000_000,
                "incarnation": self._incarnation,
                "running": self._running,
                "waiting": 0,
                "batch_running": self._running // 2,
                "batch_waiting": 0,
                "kv_blocks_used": self._running * KV_BLOCKS_TOTAL // MAX_RUNNING,
                "kv_blocks_total": KV_BLOCKS_TOTAL,
                "step_ms": 30.0,
                "models": list(self._models),
                "versions": dict.fromkeys(self._models, "1"),
                "leaving": False,
            }

    def _obey(self, order: dict[str, Any]) -> dict[str, object]:
        adapter = order.get("adapter") or ""
        name = f"{order.get('model')}:{adapter}" if adapter else str(order.get("model"))
        with self._lock:
            if order.get("action") == "load" and name not in self._models:
                self._models.append(name)
            if order.get("action") == "unload" and name in self._models:
                self._models.remove(name)
        return {"order_id": order.get("order_id", "")}


def _json(
    start: StartResponse, headers: list[tuple[str, str]], status: str, body: dict[str, object]
) -> list[bytes]:
    data = json.dumps(body).encode("utf8")
    start(
        status,
        [*headers, ("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
    )
    return [data]


def _silent_events() -> Iterable[bytes]:
    """Hold an event stream open without events, for a limited time."""
    ends_s = time.monotonic() + EVENT_STREAM_S
    while time.monotonic() < ends_s:
        yield b": keepalive\n\n"
        time.sleep(EVENT_KEEPALIVE_S)


def start_server(runner: HollowRunner) -> wsgi.Server:
    """Serve a hollow runner on a free port of its own; the caller stops the server."""
    server = wsgi.Server(("127.0.0.1", 0), runner, numthreads=SERVER_THREADS)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server
