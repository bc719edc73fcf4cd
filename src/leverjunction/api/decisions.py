"""Operators' view of decisions: ``/operator/decisions`` and its stream."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import cherrypy

from leverjunction.api.auth import authenticate_operator
from leverjunction.api.errors import error_response
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.gateway.online import new_request_id
from leverjunction.observability.decisions import DecisionRing
from leverjunction.wire.codec import encode

KEEP_ALIVE_COMMENT = b":\n\n"
RETRY_AFTER_S = 5.0
MAX_FOLLOWERS = 8
"""Each follower holds a request thread, and some must stay free for probes and refusals."""


class DecisionsApi:
    """Serves the ring of decisions to holders of the operators' token."""

    def __init__(self, ring: DecisionRing, token: str | None) -> None:
        self._ring = ring
        self._token = token
        self._lock = threading.Lock()
        self._followers = 0

    @cherrypy.expose
    def index(self, request: str = "", service: str = "") -> bytes:
        """List kept decisions of a request or a service, oldest first, as a JSON array."""
        refusal = authenticate_operator(cherrypy.request, self._token)
        if refusal is not None:
            return error_response(refusal, new_request_id())
        cherrypy.response.headers["Content-Type"] = "application/json"
        return encode(self._ring.find(request, service))

    @cherrypy.expose
    def stream(self, request: str = "", service: str = "") -> bytes | Iterator[bytes]:
        """Send new decisions as server-sent events, one JSON object each."""
        refusal = authenticate_operator(cherrypy.request, self._token)
        if refusal is not None:
            return error_response(refusal, new_request_id())
        with self._lock:
            if self._followers >= MAX_FOLLOWERS:
                return error_response(_too_many(), new_request_id())
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        cherrypy.response.stream = True
        return self._events(request, service)

    def _events(self, request: str, service: str) -> Iterator[bytes]:
        # Counted here and not above: a generator that was never started is not closed either.
        with self._lock:
            self._followers += 1
        try:
            yield KEEP_ALIVE_COMMENT
            for decision in self._ring.follow(request, service):
                if decision is None:
                    yield KEEP_ALIVE_COMMENT
                else:
                    yield b"data: %b\n\n" % encode(decision)
        finally:
            with self._lock:
                self._followers -= 1


def _too_many() -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"{MAX_FOLLOWERS} others follow this gateway's decisions; end one of them first",
        step=Step.ADMISSION,
        retry_after_s=RETRY_AFTER_S,
    )
