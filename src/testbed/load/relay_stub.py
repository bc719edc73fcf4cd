"""Cheap stub engine and stub hub for the relay bench.

The engine sends one small SSE event a stream and interval, with its send time in it; one thread
serves all streams, so that the stub is not what limits the bench.
"""

from __future__ import annotations

import heapq
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from leverjunction.backends.types import LoadReport
from leverjunction.gateway.http_server import HANDOVER_KEY, ClientConnection, StreamingServer
from leverjunction.wire.codec import encode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import ExchangeReply, ExchangeRequest, RunnerState, SettingRow
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

MODEL = "bench"
SERVICE = "bench"
ZONE = "z1"
REGION = "r1"
TENANT = "bench"
STUB_THREADS = 64
EVENT = (
    b'id: %d\ndata: {"id":"x","object":"chat.completion.chunk","created":0,"model":"bench",'
    b'"choices":[{"index":0,"delta":{"content":" t=%d;"},"finish_reason":null}]}\n\n'
)
END = b"data: [DONE]\n\n"

StartResponse = Callable[..., Any]


class _Stream:
    def __init__(self, client: ClientConnection, end_s: float) -> None:
        self.client = client
        self.end_s = end_s
        self.count = 0

    def send(self, data: bytes) -> None:
        framed = b"%x\r\n%b\r\n" % (len(data), data) if self.client.chunked else data
        self.client.connection.send(framed)


class StubEngine:
    """Serves streams of ``seconds`` with an event every ``interval_s``, at spread phases."""

    def __init__(self, interval_s: float, seconds: float) -> None:
        self._interval_s = interval_s
        self._seconds = seconds
        self._lock = threading.Lock()
        self._due: list[tuple[float, int, _Stream]] = []
        self._opened = 0
        self.server = StreamingServer("127.0.0.1", 0, self._app, STUB_THREADS, "stub")

    @property
    def address(self) -> str:
        """``host:port``; known once started."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen and send, in threads."""
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def _app(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        headers = [
            ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
            ("X-Attempt", environ.get("HTTP_X_ATTEMPT", "")),
        ]
        if environ["REQUEST_METHOD"] != "POST":
            body = encode(_idle_report())
            start("200 OK", [*headers, ("Content-Length", str(len(body)))])
            return [body]
        environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
        environ[HANDOVER_KEY].handover = self._take
        start("200 OK", [*headers, ("Content-Type", "text/event-stream")])
        return []

    def _take(self, client: ClientConnection) -> None:
        client.connection.setblocking(True)
        client.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now_s = time.monotonic()
        with self._lock:
            self._opened += 1
            number = self._opened
            stream = _Stream(client, now_s + self._seconds)
            # The golden ratio spreads the phases evenly, however many streams there are.
            phase_s = (number * 0.6180339887) % 1.0 * self._interval_s
            heapq.heappush(self._due, (now_s + phase_s, number, stream))

    def _tick(self) -> None:
        while True:
            with self._lock:
                wait_s = self._due[0][0] - time.monotonic() if self._due else 0.005
            if wait_s > 0:
                time.sleep(min(wait_s, 0.005))
                continue
            with self._lock:
                due_s, number, stream = heapq.heappop(self._due)
            if self._send(stream):
                with self._lock:
                    heapq.heappush(self._due, (due_s + self._interval_s, number, stream))

    def _send(self, stream: _Stream) -> bool:
        """Send a stream's next event; returns False when it is over."""
        try:
            if time.monotonic() >= stream.end_s:
                stream.send(END)
                stream.client.release(False)
                return False
            stream.count += 1
            stream.send(EVENT % (stream.count, time.monotonic_ns()))
        except OSError:
            stream.client.release(False)
            return False
        return True


class StubHub:
    """Answers exchanges with one runner and settings that limit nothing."""

    def __init__(self, cluster_key: bytes, engine_address: str, key_hash: str) -> None:
        self._engine_address = engine_address
        self._rows = [SettingRow(path, value, 1) for path, value in _settings(key_hash).items()]
        endpoint = RpcEndpoint(cluster_key, 1)
        endpoint.register(MessageKind.EXCHANGE, self._exchange)
        self.server = RpcServer("127.0.0.1", 0, endpoint, threads=4)

    def _exchange(self, envelope: Envelope, _peer: str) -> bytes:
        request = msgspec.json.decode(envelope.body, type=ExchangeRequest)
        runner = RunnerState(
            runner_id="stub",
            address=self._engine_address,
            zone=ZONE,
            service=SERVICE,
            models=[MODEL],
        )
        return encode_reply(
            ExchangeReply(
                settings_version=1,
                settings=self._rows if request.settings_version < 1 else [],
                view_version=1,
                hub_incarnation=1,
                full_view=True,
                gateways=[request.gateway],
                gone_gateways=[],
                runners=[runner],
                gone_runners=[],
                digests=[],
                lost_lease_ids=[],
                cancelled_jobs=[],
                hubs=[],
                quorum_age_s=0.0,
            )
        )


def _settings(key_hash: str) -> dict[str, object]:
    return {
        "defaults/serving/max_running_per_runner": 1_000_000,
        "defaults/serving/deadline_s": 600.0,
        "defaults/limits/requests_per_s": 1_000_000.0,
        "defaults/limits/burst": 1_000_000,
        "defaults/limits/concurrency": 1_000_000,
        f"services/{SERVICE}/models/{MODEL}/version": "1",
        f"tenants/{TENANT}/api_key_hashes": [key_hash],
    }


def _idle_report() -> LoadReport:
    return LoadReport(
        as_of_ms=0,
        incarnation=1,
        running=0,
        waiting=0,
        batch_running=0,
        batch_waiting=0,
        kv_blocks_used=0,
        kv_blocks_total=1,
        step_ms=1.0,
        models=[MODEL],
    )
