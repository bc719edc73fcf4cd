"""HTTP interface of the stand-in engine (``docs/BACKENDS.md``), as a CherryPy application."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import TypeVar

import cherrypy
import msgspec

from testbed.engine.executions import ExecutionLog
from testbed.engine.faults import AnswerFault, AnswerFaults, FaultKind
from testbed.engine.openai_bodies import (
    DONE_EVENT,
    OpenAiRequest,
    is_finished,
    sse_event,
    to_engine_request,
    whole_answer,
)
from testbed.engine.runtime import EngineRuntime, LiveRequest
from testbed.engine.types import EngineOrder, Submission

T = TypeVar("T")

WAIT_SLICE_S = 1.0
ANSWER_TIMEOUT_S = 600.0
CACHE_POLL_S = 0.1
DEFAULT_PRIORITY = 5
RETRY_AFTER_S = 1

_REFUSALS = {
    Submission.FULL: (429, "too many requests are waiting"),
    Submission.LEAVING: (503, "this engine is leaving"),
    Submission.MODEL_NOT_LOADED: (404, "model is not loaded"),
}


class EngineApi:
    """Root of the application. Called by CherryPy's worker threads."""

    def __init__(self, runtime: EngineRuntime, log: ExecutionLog) -> None:
        faults = AnswerFaults()
        self.v1 = _V1(runtime, faults)
        self.cache = _Cache(runtime)
        self.testbed = _Testbed(runtime, faults)
        self._runtime = runtime
        self._log = log

    @cherrypy.expose
    def load(self) -> bytes:
        """Serve the load report."""
        return _json(self._runtime.load_report())

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer 200 when the engine takes work."""
        if self._runtime.load_report().leaving:
            return _error(503, "this engine is leaving")
        return b"{}"

    @cherrypy.expose
    def executions(self) -> bytes:
        """List every execution, for checkers."""
        return _json(self._log.all())

    @cherrypy.expose
    def orders(self) -> bytes:
        """Take a fenced order."""
        order = _read(EngineOrder)
        if isinstance(order, bytes):
            return order
        answer = self._runtime.order(order)
        cherrypy.response.status = 202 if answer.accepted else 409
        return _json({"fence": answer.fence})

    @cherrypy.expose
    def kv(self, block: str) -> bytes:
        """Export (GET) or import (PUT) the KV cache of a prefix."""
        if cherrypy.request.method == "PUT":
            blocks = _read(list[str])
            if isinstance(blocks, bytes):
                return blocks
            self._runtime.import_blocks(blocks)
            return b"{}"
        chain = self._runtime.cached_chain(block)
        return _json(chain) if chain else _error(404, "this prefix is not cached")


class _V1:
    """``/v1/...``."""

    def __init__(self, runtime: EngineRuntime, faults: AnswerFaults) -> None:
        self.chat = _Chat(runtime, faults)
        self._runtime = runtime
        self._faults = faults

    @cherrypy.expose
    def completions(self) -> bytes | Iterator[bytes]:
        """Answer a text completion."""
        return _complete(self._runtime, self._faults, is_chat=False)

    @cherrypy.expose
    def requests(self, request_id: str = "", stream: str = "") -> bytes | Iterator[bytes]:
        """List owned requests (GET), cancel one (DELETE), or resume a stream (GET .../stream)."""
        if not request_id:
            return _json({"requests": self._runtime.held_requests()})
        if cherrypy.request.method == "DELETE":
            self._runtime.cancel(request_id)
            return b"{}"
        live = self._runtime.find(request_id)
        if live is None or stream != "stream":
            return _error(404, "this request is not known any more")
        after = int(cherrypy.request.headers.get("Last-Event-ID", "0"))
        return _stream(live, live.is_chat, after, None)


class _Chat:
    """``/v1/chat/...``."""

    def __init__(self, runtime: EngineRuntime, faults: AnswerFaults) -> None:
        self._runtime = runtime
        self._faults = faults

    @cherrypy.expose
    def completions(self) -> bytes | Iterator[bytes]:
        """Answer a chat completion."""
        return _complete(self._runtime, self._faults, is_chat=True)


class _Cache:
    """``/cache/...``."""

    def __init__(self, runtime: EngineRuntime) -> None:
        self._runtime = runtime

    @cherrypy.expose
    def events(self, snapshot: str = "") -> Iterator[bytes]:
        """Stream cache events, opened by a snapshot when that is asked for."""
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        return self._events(bool(snapshot))

    events._cp_config = {"response.stream": True}

    def _events(self, with_snapshot: bool) -> Iterator[bytes]:
        first = self._runtime.cache_snapshot()
        if with_snapshot:
            yield _sse(first)
        sequence = first.sequence
        while True:
            for event in self._runtime.cache_events(sequence):
                sequence = event.sequence
                yield _sse(event)
            yield b":\n\n"  # keeps the connection checked, so that a gone reader is noticed
            time.sleep(CACHE_POLL_S)


class _Testbed:
    """``/testbed/...``: control of the stand-in by tests."""

    def __init__(self, runtime: EngineRuntime, faults: AnswerFaults) -> None:
        self._runtime = runtime
        self._faults = faults

    @cherrypy.expose
    def faults(self) -> bytes:
        """Add a fault (POST), clear all (DELETE), or count those that have struck (GET)."""
        if cherrypy.request.method == "DELETE":
            self._faults.clear()
        if cherrypy.request.method == "POST":
            fault = _read(AnswerFault)
            if isinstance(fault, bytes):
                return fault
            self._faults.add(fault)
        return _json(self._faults.struck())

    @cherrypy.expose
    def leave(self) -> bytes:
        """Refuse new requests from here on."""
        self._runtime.set_leaving()
        return b"{}"


def _complete(
    runtime: EngineRuntime, faults: AnswerFaults, *, is_chat: bool
) -> bytes | Iterator[bytes]:
    body = _read(OpenAiRequest)
    if isinstance(body, bytes):
        return body
    headers = cherrypy.request.headers
    request = to_engine_request(
        body,
        headers.get("X-Request-Id", ""),
        int(headers.get("X-Attempt", "1")),
        int(headers.get("X-Priority", DEFAULT_PRIORITY)),
        headers.get("X-Owner", ""),
    )
    fault = faults.take()
    if fault is not None and fault.kind is FaultKind.REFUSED:
        return _error(503, "refused by a fault")
    live = runtime.submit(request, is_chat)
    if isinstance(live, Submission):
        return _error(*_REFUSALS[live])
    _strike(fault)
    if body.stream:
        return _stream(live, is_chat, live.continued, fault)
    if not live.wait_finished(ANSWER_TIMEOUT_S):
        return _error(504, "the answer took too long")
    answer = whole_answer(live, is_chat)
    return _broken_off(answer) if fault and fault.kind is FaultKind.BROKEN else answer


def _strike(fault: AnswerFault | None) -> None:
    if fault is None:
        return
    if fault.kind is FaultKind.LATE:
        time.sleep(fault.delay_s)
    elif fault.kind is FaultKind.CROSSED:
        cherrypy.response.headers["X-Request-Id"] = "another-request"


def _broken_off(answer: bytes) -> Iterator[bytes]:
    """Send half of an answer under the length of the whole."""
    cherrypy.response.stream = True
    cherrypy.response.headers["Content-Length"] = str(len(answer))
    return _half(answer)


def _half(answer: bytes) -> Iterator[bytes]:
    yield answer[: len(answer) // 2]
    raise ConnectionError("broken off by a fault")


def _stream(
    live: LiveRequest, is_chat: bool, after: int, fault: AnswerFault | None
) -> Iterator[bytes]:
    cherrypy.response.stream = True
    cherrypy.response.headers["Content-Type"] = "text/event-stream"
    limit = fault.after_tokens if fault and fault.kind is FaultKind.BROKEN else None
    return _events(live, is_chat, after, limit)


def _events(live: LiveRequest, is_chat: bool, after: int, limit: int | None) -> Iterator[bytes]:
    position = 0
    sent = 0
    while True:
        emissions = live.tokens_after(position, WAIT_SLICE_S)
        position += len(emissions)
        for emission in emissions:
            if limit is not None and sent >= limit:
                raise ConnectionError("broken off by a fault")
            if emission.index > after or is_finished(emission):
                yield sse_event(live, emission, is_chat)
                sent += 1
        if emissions and is_finished(emissions[-1]):
            yield DONE_EVENT
            return


def _read(kind: type[T]) -> T | bytes:
    """Decode the request's JSON body, or return the body of a 400."""
    try:
        return msgspec.json.decode(cherrypy.request.body.fp.read(), type=kind)
    except msgspec.MsgspecError as error:
        return _error(400, str(error))


def _json(value: object) -> bytes:
    return msgspec.json.encode(value)


def _error(status: int, message: str) -> bytes:
    cherrypy.response.status = status
    if status in (429, 503):
        cherrypy.response.headers["Retry-After"] = str(RETRY_AFTER_S)
    return _json({"error": {"message": message, "type": "engine_error", "code": status}})


def _sse(value: object) -> bytes:
    return b"data: %s\n\n" % _json(value)
