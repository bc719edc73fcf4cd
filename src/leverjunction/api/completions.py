"""Completions API for callers: ``/v1/chat/completions`` and ``/v1/completions``."""

from __future__ import annotations

from collections.abc import Callable

import cherrypy

from leverjunction.api.auth import authenticate
from leverjunction.api.errors import error_response, stopping_failure
from leverjunction.backends.types import CHAT_PATH, COMPLETION_PATH
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.gateway.http_server import HANDOVER_KEY, body_is_read, refuse_body
from leverjunction.gateway.inflight import InflightRequests
from leverjunction.gateway.online import (
    SSE_TYPE,
    CallerRequest,
    OnlineService,
    RelayedResponse,
    ServeResult,
    new_request_id,
)
from leverjunction.settings.resolved import ResolvedSettings

NEVER = "never"
MAX_KEY_CHARACTERS = 256
BUSY_RETRY_AFTER_S = 1.0


class CompletionsApi:
    """Handlers of chat and text completions. CherryPy calls them from its worker threads.

    Args:
        service: Serves the completions.
        settings: Returns the resolved settings that are in force.
        inflight: Limits and counts the requests in flight.
        max_body_bytes: Largest request body that is accepted.
    """

    def __init__(
        self,
        service: OnlineService,
        settings: Callable[[], ResolvedSettings],
        inflight: InflightRequests,
        max_body_bytes: int,
    ) -> None:
        self._service = service
        self._settings = settings
        self._inflight = inflight
        self._max_body_bytes = max_body_bytes

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def chat(self) -> bytes:
        """Serve a chat completion."""
        return self._serve(CHAT_PATH)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def text(self) -> bytes:
        """Serve a text completion."""
        return self._serve(COMPLETION_PATH)

    def _serve(self, path: str) -> bytes:
        request_id = new_request_id()
        with self._inflight.track() as accepted:
            if not accepted:
                stopping = self._inflight.stopping
                return self._refuse(stopping_failure() if stopping else _busy(), request_id)
            tenant = authenticate(cherrypy.request, self._settings())
            if isinstance(tenant, Failure):
                return self._refuse(tenant, request_id)
            headers = cherrypy.request.headers
            key = headers.get("Idempotency-Key", "")
            if len(key) > MAX_KEY_CHARACTERS:
                reason = f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters"
                return self._refuse(_bad_request(reason), request_id)
            body = self._read_body()
            if isinstance(body, Failure):
                return self._refuse(body, request_id)
            result = self._service.serve(
                CallerRequest(
                    request_id=request_id,
                    tenant=tenant,
                    path=path,
                    body=body,
                    idempotency_key=key,
                    never_repeat=headers.get("X-Repeat", "").strip().lower() == NEVER,
                )
            )
            return _respond(result, request_id)

    def _read_body(self) -> bytes | Failure:
        """Read the request body, up to ``max_body_bytes``.

        The slow-client guard of the server limits how long reading may take.
        """
        request = cherrypy.request
        length = _declared_bytes(request.headers.get("Content-Length"))
        if isinstance(length, Failure):
            return length
        if length is not None and length > self._max_body_bytes:
            return self._too_large()
        body: bytes = request.rfile.read(self._max_body_bytes + 1)
        body_is_read(request.wsgi_environ)
        if len(body) > self._max_body_bytes:
            return self._too_large()
        if length is not None and len(body) < length:
            return _bad_request(
                f"the body ended after {len(body)} of {length} bytes, or arrived too slowly"
            )
        return body

    def _refuse(self, failure: Failure, request_id: str) -> bytes:
        refuse_body(cherrypy.request.wsgi_environ)
        return error_response(failure, request_id)

    def _too_large(self) -> Failure:
        return Failure(
            kind=FailureKind.TOO_LARGE,
            reason=f"the body is larger than {self._max_body_bytes} bytes",
            step=Step.PARSING,
            execution=Execution.NOT_RUN,
        )


def _busy() -> Failure:
    return Failure(
        kind=FailureKind.OVERLOADED,
        reason="all request threads of this gateway are in use; send the request to another one",
        step=Step.ADMISSION,
        retry_after_s=BUSY_RETRY_AFTER_S,
        execution=Execution.NOT_RUN,
    )


def _declared_bytes(header: str | None) -> int | Failure | None:
    """Return the length in ``Content-Length``, or None when the header is absent."""
    if header is None:
        return None
    # int() alone would also accept signs, spaces and underscores.
    if not (header.isascii() and header.isdigit()):
        return _bad_request(f"Content-Length {header!r} is not a number of bytes")
    return int(header)


def _bad_request(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.PARSING, execution=Execution.NOT_RUN
    )


def _respond(result: ServeResult, request_id: str) -> bytes:
    if isinstance(result, Failure):
        return error_response(result, request_id)
    response = cherrypy.response
    response.headers["X-Request-Id"] = request_id
    if isinstance(result, RelayedResponse):
        response.headers["Content-Type"] = SSE_TYPE
        response.headers["Cache-Control"] = "no-cache"
        response.stream = True
        slot = cherrypy.request.wsgi_environ[HANDOVER_KEY]
        slot.abandon = result.abandon
        slot.handover = result.handover
        return b""
    response.status = result.status
    response.headers["Content-Type"] = result.content_type
    return result.body
