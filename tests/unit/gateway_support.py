"""Helpers of the gateway tests: a stub engine and a stub hub that listen on free ports."""

from __future__ import annotations

import hashlib
import json
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import openai
import pytest
import urllib3
from cheroot import wsgi

from leverjunction.backends.types import HeldRequest, HeldRequests, LoadReport
from leverjunction.batch.commands import Claim, ClaimRequest, FinishClaim
from leverjunction.clock import steady_s
from leverjunction.config.common import ListenConfig
from leverjunction.config.gateway import GatewayConfig
from leverjunction.control.membership import GATEWAY_TIMEOUT_S
from leverjunction.gateway import owner
from leverjunction.gateway.runtime import GatewayRuntime
from leverjunction.observability.decisions import Decision
from leverjunction.wire.codec import encode, encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.messages import (
    ExchangeReply,
    ExchangeRequest,
    GatewayState,
    RunnerDigest,
    RunnerState,
    SettingRow,
)
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

CLUSTER_KEY = b"key-of-the-tests"
API_KEY = "caller-key"
OPERATOR_TOKEN = "operator-token"
MODEL = "triage"
SERVICE = "llm"
WORDS = [f"w{index}" for index in range(12)]
TEXT = " ".join(WORDS)
MESSAGES = [{"role": "user", "content": "why did it crash"}]
CHAT = {"model": MODEL, "messages": MESSAGES}
WAIT_S = 30.0
FROZEN_S = 120.0


@pytest.fixture
def extended_poll_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Extend the poll timeout, so that a busy machine does not make a stub engine look unhealthy.

    The timeout is patched per test: a change for the whole process also affected the simulator's
    tests that ran later in the same process.
    """
    monkeypatch.setattr(owner, "POLL_TIMEOUT_S", WAIT_S)


class StubEngine:
    """An engine that generates ``WORDS``; tests change its public attributes to make it misbehave.

    Attributes:
        status: HTTP status of generation requests; one other than 200 rejects the request.
        break_after: Number of tokens after which the next stream is broken off, once.
        forget_streams: True if streams cannot be resumed.
        wrong_echo: True if responses carry another request's id.
        proceed: Event without which no token is sent.
        block_from: Index of the first token that waits for ``proceed``.
        freeze_on_request: True if the engine stops responding at its next generation request.
        unfreeze: Event that ends the freeze.
        held: Requests that the engine reports as its own.
        started: Bodies of the generation requests, with their priority.
        resumed: Last event ids of the requests to resume a stream.
        cancelled: Ids of the cancelled requests.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.status = 200
        self.break_after: int | None = None
        self.forget_streams = False
        self.wrong_echo = False
        self.proceed = threading.Event()
        self.proceed.set()
        self.block_from = 0
        self.started: list[dict[str, Any]] = []
        self.resumed: list[str] = []
        self.cancelled: list[str] = []
        self.cancel_seen = threading.Event()
        self.start_seen = threading.Event()
        self.leaving = False
        self.held: list[HeldRequest] = []
        self.freeze_on_request = False
        self.unfreeze = threading.Event()
        self._is_frozen = False
        self._server = wsgi.Server(("127.0.0.1", 0), self._app, numthreads=24)
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        self.proceed.set()
        self.unfreeze.set()
        self._server.shutdown_timeout = 0
        self._server.stop()

    def _app(self, environ: dict[str, Any], start: Callable[..., Any]) -> Any:
        path = environ["PATH_INFO"]
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        attempt = environ.get("HTTP_X_ATTEMPT", "")
        echo = "another" if self.wrong_echo and path.startswith("/v1/c") else request_id
        headers = [("X-Request-Id", echo), ("X-Attempt", attempt)]
        if self._is_frozen:
            self.unfreeze.wait(FROZEN_S)
        if path == "/load":
            return self._answer(start, headers, encode(self._report()))
        if path == "/cache/events":
            return self._answer(start, headers, b"", "404 Not Found")
        if path == "/v1/requests":
            return self._answer(start, headers, encode(HeldRequests(self.held)))
        if environ["REQUEST_METHOD"] == "DELETE":
            self.cancelled.append(path.split("/")[3])
            self.cancel_seen.set()
            return self._answer(start, headers, b"{}")
        if path.endswith("/stream"):
            return self._resume(environ, start, headers)
        body = json.loads(environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"])))
        self.started.append(body | {"priority": environ.get("HTTP_X_PRIORITY")})
        self.start_seen.set()
        if self.freeze_on_request:
            self._is_frozen = True
            self.unfreeze.wait(FROZEN_S)
        if self.status != 200:
            return self._answer(start, headers, b'{"error": "no"}', f"{self.status} Refused")
        done = len(body.get("continue_text", "").split())
        if body.get("stream"):
            start("200 OK", [*headers, ("Content-Type", "text/event-stream")])
            return self._tokens(done, numbered_from=0)
        self.proceed.wait(WAIT_S)
        content = " ".join(WORDS)
        whole = {
            "id": "x",
            "object": "chat.completion",
            "created": 0,
            "model": MODEL,
            "choices": [
                {
                    "index": 0,
                    "finish_reason": "stop",
                    "message": {"role": "assistant", "content": content},
                }
            ],
        }
        return self._answer(start, headers, json.dumps(whole).encode())

    def _resume(self, environ: dict[str, Any], start: Callable[..., Any], headers: Any) -> Any:
        if self.forget_streams:
            return self._answer(start, headers, b"{}", "404 Not Found")
        after = environ.get("HTTP_LAST_EVENT_ID", "")
        self.resumed.append(after)
        start("200 OK", [*headers, ("Content-Type", "text/event-stream")])
        return self._tokens(int(after), numbered_from=int(after))

    def _tokens(self, done: int, numbered_from: int) -> Iterator[bytes]:
        break_after, self.break_after = self.break_after, None
        yield b": open\n\n"
        for count, index in enumerate(range(done, len(WORDS))):
            if index >= self.block_from:
                self.proceed.wait(WAIT_S)
            if break_after is not None and count >= break_after:
                raise ConnectionResetError("broken off by the test")
            finish = "stop" if index == len(WORDS) - 1 else None
            word = WORDS[index] if index == 0 else f" {WORDS[index]}"
            yield sse_chunk(numbered_from + count + 1, word, finish)
        yield b"data: [DONE]\n\n"

    def _answer(
        self, start: Callable[..., Any], headers: Any, body: bytes, status: str = "200 OK"
    ) -> list[bytes]:
        start(
            status,
            [
                *headers,
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _report(self) -> LoadReport:
        return LoadReport(
            as_of_ms=1,
            incarnation=1,
            running=0,
            waiting=0,
            batch_running=0,
            batch_waiting=0,
            kv_blocks_used=0,
            kv_blocks_total=100,
            step_ms=1.0,
            models=[MODEL],
            leaving=self.leaving,
        )


def sse_chunk(number: int, word: str, finish: str | None = None) -> bytes:
    chunk = {
        "id": "x",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": MODEL,
        "choices": [{"index": 0, "delta": {"content": word}, "finish_reason": finish}],
    }
    return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()


class StubHub:
    """A hub whose view lists the given engines and which keeps claims in memory.

    Like a real hub it lists each gateway that it has heard from, until that has been silent for
    ``GATEWAY_TIMEOUT_S``, and passes on the load digests of the runners that others own.

    Attributes:
        may_reply: Event without which exchanges block.
        requests: Exchange requests that were received.
        claims: Claims by tenant and key.
        commands: Proposed commands.
        leaving: Names of the engines that are listed as leaving.
    """

    def __init__(self, engines: list[StubEngine], rows: dict[str, object] | None = None) -> None:
        self.engines = engines
        self.version = 1
        self.rows = default_rows() | (rows or {})
        self.requests: list[ExchangeRequest] = []
        self._gateways: dict[str, tuple[GatewayState, float]] = {}
        self._digests: dict[str, tuple[str, RunnerDigest]] = {}
        self.may_reply = threading.Event()
        self.may_reply.set()
        self.leaving: set[str] = set()
        self.claims: dict[tuple[str, str], Claim] = {}
        self.commands: list[object] = []
        self._lock = threading.Lock()
        endpoint = RpcEndpoint(CLUSTER_KEY, 7)
        endpoint.register(MessageKind.EXCHANGE, self._exchange)
        endpoint.register(MessageKind.PROPOSE, self._propose)
        self._server = RpcServer("127.0.0.1", 0, endpoint, threads=8)
        self._server.start()

    @property
    def address(self) -> str:
        return self._server.address

    def stop(self) -> None:
        self.may_reply.set()
        self._server.stop()

    def _exchange(self, envelope: Envelope, _peer: str) -> bytes:
        request = msgspec.json.decode(envelope.body, type=ExchangeRequest)
        self.may_reply.wait(WAIT_S)
        self.requests.append(request)
        gateways, digests = self._heard_from(request)
        rows = [SettingRow(path, value, self.version) for path, value in self.rows.items()]
        return encode_reply(
            ExchangeReply(
                settings_version=self.version,
                settings=rows if request.settings_version < self.version else [],
                view_version=len(self.requests),
                hub_incarnation=7,
                full_view=True,
                gateways=gateways,
                gone_gateways=[],
                runners=[self._runner(engine) for engine in self.engines],
                gone_runners=[],
                digests=digests,
                lost_lease_ids=[],
                cancelled_jobs=[],
                hubs=[self.address],
                quorum_age_s=0.0,
            )
        )

    def _heard_from(
        self, request: ExchangeRequest
    ) -> tuple[list[GatewayState], list[RunnerDigest]]:
        now_s = steady_s()
        sender = request.gateway.gateway_id
        with self._lock:
            self._gateways[sender] = (request.gateway, now_s)
            for digest in request.digests:
                self._digests[digest.runner_id] = (sender, digest)
            gateways = [
                state
                for state, heard_s in self._gateways.values()
                if now_s - heard_s <= GATEWAY_TIMEOUT_S
            ]
            digests = [digest for owner, digest in self._digests.values() if owner != sender]
        return gateways, digests

    def _runner(self, engine: StubEngine) -> RunnerState:
        return RunnerState(
            runner_id=engine.name,
            address=engine.address,
            zone="z1",
            service=SERVICE,
            leaving=engine.name in self.leaving,
            models=[MODEL],
        )

    def _propose(self, envelope: Envelope, _peer: str) -> bytes:
        command = msgspec.json.decode(envelope.body, type=ClaimRequest | FinishClaim)
        with self._lock:
            self.commands.append(command)
            return encode_reply(self._apply(command))

    def _apply(self, command: ClaimRequest | FinishClaim) -> Claim:
        key = (command.tenant, command.key)
        if isinstance(command, ClaimRequest):
            known = self.claims.get(key)
            if known is not None:
                return msgspec.structs.replace(known, granted=False)
            self.claims[key] = Claim(
                granted=True,
                content_hash=command.content_hash,
                attempt_id=command.attempt_id,
                finished=False,
                status_code=0,
                body="",
            )
            return self.claims[key]
        claim = self.claims[key]
        if command.not_run:
            return self.claims.pop(key)
        self.claims[key] = msgspec.structs.replace(
            claim, finished=True, status_code=command.status_code, body=command.body
        )
        return self.claims[key]


def default_rows() -> dict[str, object]:
    return {
        f"services/{SERVICE}/models/{MODEL}/version": "1",
        "regions/r1/zones/z1/serving/deadline_s": 30.0,
        "tenants/acme/api_key_hashes": [hashlib.sha256(API_KEY.encode()).hexdigest()],
    }


def start_gateway(
    folder: Path, hubs: list[str], *, name: str = "g1", max_body_bytes: int = 100_000
) -> GatewayRuntime:
    key_file = folder / "cluster.key"
    key_file.write_bytes(CLUSTER_KEY)
    token_file = folder / "operator.token"
    token_file.write_text(OPERATOR_TOKEN)
    runtime = GatewayRuntime(
        GatewayConfig(
            name=name,
            region="r1",
            zone="z1",
            listen=ListenConfig(http_port=0, rpc_port=0),
            cluster_key_file=key_file,
            data_folder=folder / name,
            hubs=hubs,
            request_threads=16,
            exchange_interval_s=0.05,
            max_body_bytes=max_body_bytes,
            operator_token_file=token_file,
            drain_timeout_s=20.0,
        )
    )
    runtime.start()
    return runtime


def wait_until(condition: Callable[[], bool], expectation: str) -> None:
    """Wait until another thread makes a condition true; fails the test after ``WAIT_S``."""
    pause = threading.Event()
    for _ in range(int(WAIT_S / 0.01)):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError(f"timed out after {WAIT_S} s: {expectation}")


class Fleet:
    """Two stub engines, a stub hub and a gateway.

    Args:
        folder: Folder for the gateway's files.
        rows: Settings in addition to the default ones.
        engines: The engines, None for two plain ones.
    """

    def __init__(
        self,
        folder: Path,
        rows: dict[str, object] | None = None,
        engines: list[StubEngine] | None = None,
    ) -> None:
        self.engines = engines or [StubEngine("e1"), StubEngine("e2")]
        self.hub = StubHub(self.engines, rows)
        self.gateway = start_gateway(folder, [self.hub.address])
        self.http = urllib3.PoolManager(retries=False)
        wait_until(lambda: self.gateway.not_ready() is None, "gateway is ready")

    @property
    def url(self) -> str:
        return f"http://{self.gateway.http_address}"

    def client(self) -> openai.OpenAI:
        return openai.OpenAI(base_url=f"{self.url}/v1", api_key=API_KEY, max_retries=0)

    def post(self, body: object, **headers: str) -> urllib3.BaseHTTPResponse:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        sent = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
        return self.http.request(
            "POST", f"{self.url}/v1/chat/completions", body=data, headers=sent | headers
        )

    def started(self) -> int:
        return sum(len(engine.started) for engine in self.engines)

    def decisions(self) -> list[Decision]:
        return self.gateway.ring.find()

    def open_streams(self) -> float:
        value = self.gateway.counters.registry.get_sample_value("leverjunction_open_streams")
        assert value is not None
        return value

    def stop(self) -> None:
        for engine in self.engines:
            engine.proceed.set()
        self.gateway.stop()
        for engine in self.engines:
            engine.stop()
        self.hub.stop()
