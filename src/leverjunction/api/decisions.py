"""Operators' API of the decision log: ``/operator/decisions`` and its event stream."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import cherrypy

from leverjunction.api.auth import authenticate_operator
from leverjunction.api.errors import error_response
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.online import new_request_id
from leverjunction.observability.decisions import DecisionRing
from leverjunction.wire.codec import encode

KEEP_ALIVE_COMMENT = b":\n\n"
RETRY_AFTER_S = 5.0
MAX_FOLLOWERS = 8
"""Maximum number of open decision streams. Each occupies a request thread, and some threads must
stay free for probes and refusals."""


class DecisionsApi:
    """Serves the recent decisions of a gateway to operators.

    Args:
        ring: Ring buffer of the recent decisions.
        token: The operators' bearer token, or None to refuse every request.
    """

    def __init__(self, ring: DecisionRing, token: str | None) -> None:
        self._ring = ring
        self._token = token
        self._lock = threading.Lock()
        self._followers = 0

    @cherrypy.expose
    def index(self, request: str = "", service: str = "") -> bytes:
        """List the buffered decisions of a request or a service, oldest first, as a JSON array."""
        refusal = authenticate_operator(cherrypy.request, self._token)
        if refusal is not None:
            return error_response(refusal, new_request_id())
        cherrypy.response.headers["Content-Type"] = "application/json"
        return encode(self._ring.find(request, service))

    @cherrypy.expose
    def stream(self, request: str = "", service: str = "") -> bytes | Iterator[bytes]:
        """Stream new decisions as server-sent events with one JSON object each."""
        refusal = authenticate_operator(cherrypy.request, self._token)
        if refusal is not None:
            return error_response(refusal, new_request_id())
        with self._lock:
            if self._followers >= MAX_FOLLOWERS:
                return error_response(_too_many_followers(), new_request_id())
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        cherrypy.response.stream = True
        return self._events(request, service)

    def _events(self, request: str, service: str) -> Iterator[bytes]:
        # Counted here, not in stream(): the finally block of a generator that never started does
        # not run, so its follower would never be subtracted.
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


def _too_many_followers() -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason=f"{MAX_FOLLOWERS} clients already follow this gateway's decisions; close one first",
        step=Step.ADMISSION,
        retry_after_s=RETRY_AFTER_S,
        execution=Execution.NOT_RUN,
    )
