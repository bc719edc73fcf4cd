"""Operators' view of decisions: ``/operator/decisions`` and its stream."""

from __future__ import annotations

from collections.abc import Iterator

import cherrypy

from leverjunction.api.auth import authenticate_operator
from leverjunction.api.errors import error_response
from leverjunction.gateway.online import new_request_id
from leverjunction.observability.decisions import DecisionRing
from leverjunction.wire.codec import encode

KEEP_ALIVE_COMMENT = b":\n\n"


class DecisionsApi:
    """Serves the ring of decisions to holders of the operators' token."""

    def __init__(self, ring: DecisionRing, token: str | None) -> None:
        self._ring = ring
        self._token = token

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
        cherrypy.response.headers["Content-Type"] = "text/event-stream"
        cherrypy.response.stream = True
        return self._events(request, service)

    def _events(self, request: str, service: str) -> Iterator[bytes]:
        yield KEEP_ALIVE_COMMENT
        for decision in self._ring.follow(request, service):
            if decision is None:
                yield KEEP_ALIVE_COMMENT
            else:
                yield b"data: %b\n\n" % encode(decision)
