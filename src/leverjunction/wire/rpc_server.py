"""Server side of the internal RPC: one POST endpoint, served by CherryPy's own HTTP server."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import cherrypy
from loguru import logger

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import (
    MAX_ENVELOPE_BYTES,
    Envelope,
    MessageKind,
    decode_envelope,
    encode_envelope,
)
from leverjunction.wire.http_thread import HttpServer, HttpServerOptions
from leverjunction.wire.rpc_client import RPC_PATH

RpcHandler = Callable[[Envelope, str], bytes]
"""Handles an authenticated envelope from a peer address and returns an encoded reply body."""

IDLE_TIMEOUT_S = 10

LISTEN_BACKLOG = 512
KEEP_ALIVE_CONNECTIONS = 4096
"""Idle connections kept open; cheroot's own default of 10 would reconnect on every call."""

SERVER_NAME = "rpc"
"""Sent with each reply; short, as each byte of an exchange is paid once a second."""

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class RpcEndpoint:
    """Dispatches authenticated envelopes to one handler a message kind.

    Serve it with ``RpcServer``, or mount an instance at ``/rpc`` of a CherryPy application.
    Handlers are called by the server's worker threads.
    """

    _cp_config = {"request.process_request_body": False, "tools.trailing_slash.on": False}

    def __init__(self, cluster_key: bytes, incarnation: int) -> None:
        self._cluster_key = cluster_key
        self._incarnation = incarnation
        self._handlers: dict[MessageKind, RpcHandler] = {}

    def register(self, kind: MessageKind, handler: RpcHandler) -> None:
        """Serve messages of ``kind`` with ``handler``."""
        self._handlers[kind] = handler

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def index(self) -> bytes:
        """Serve one call below a CherryPy application."""
        peer = str(cherrypy.request.remote.ip)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        if not 0 < length <= MAX_ENVELOPE_BYTES:
            raise cherrypy.HTTPError(413 if length > 0 else 400)
        data = cherrypy.request.rfile.read(length)
        if len(data) < length:
            raise cherrypy.HTTPError(400, "the body ended early")
        return self.dispatch(data, peer)

    def wsgi_app(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one call as a WSGI application, without CherryPy's work per request."""
        if environ["REQUEST_METHOD"] != "POST" or environ["PATH_INFO"].rstrip("/") != RPC_PATH:
            return _refuse(start_response, "404 Not Found")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_ENVELOPE_BYTES:
            return _refuse(start_response, "413 Content Too Large")
        if length <= 0:
            # A negative length would read until the peer closes, without a bound.
            return _refuse(start_response, "400 Bad Request")
        data = environ["wsgi.input"].read(length)
        if len(data) < length:
            return _refuse(start_response, "400 Bad Request")
        reply = self.dispatch(data, str(environ.get("REMOTE_ADDR", "")))
        start_response("200 OK", [("Content-Length", str(len(reply)))])
        return [reply]

    def dispatch(self, data: bytes, peer: str) -> bytes:
        """Check an encoded envelope, run its handler and return the encoded reply."""
        envelope = decode_envelope(data, self._cluster_key, peer)
        body = (
            encode_reply(envelope) if isinstance(envelope, Failure) else self._run(envelope, peer)
        )
        reply = Envelope(kind=MessageKind.REPLY, incarnation=self._incarnation, body=body)
        return encode_envelope(reply, self._cluster_key)

    def _run(self, envelope: Envelope, peer: str) -> bytes:
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            return encode_reply(
                Failure(
                    kind=FailureKind.NOT_FOUND,
                    reason=f"this process does not serve {envelope.kind.name}",
                    step=Step.DECODING,
                    peer=peer,
                )
            )
        try:
            return handler(envelope, peer)
        except Exception as error:
            # A fault in one handler must not close the connection that others share.
            logger.exception("handler of {} failed", envelope.kind.name)
            return encode_reply(
                Failure(
                    kind=FailureKind.INTERNAL,
                    reason=f"handler of {envelope.kind.name} failed: {error}",
                    step=Step.RESPONDING,
                    peer=peer,
                    execution=_after_a_fault(envelope.kind),
                )
            )


class RpcServer(HttpServer):
    """Serves an endpoint on its own port.

    Args:
        host: IP number to listen on.
        port: Port; 0 picks a free one, see ``address``.
        endpoint: What to serve.
        threads: Calls served at once.
    """

    def __init__(self, host: str, port: int, endpoint: RpcEndpoint, threads: int = 16) -> None:
        options = HttpServerOptions(
            name="rpc-server",
            server_name=SERVER_NAME,
            threads=threads,
            backlog=LISTEN_BACKLOG,
            idle_timeout_s=IDLE_TIMEOUT_S,
            keep_alive_connections=KEEP_ALIVE_CONNECTIONS,
        )
        super().__init__(host, port, endpoint.wsgi_app, options)


def _after_a_fault(kind: MessageKind) -> Execution:
    return Execution.UNKNOWN if kind is MessageKind.PROPOSE else Execution.NOT_RUN


def _refuse(start_response: StartResponse, status: str) -> Iterable[bytes]:
    start_response(status, [("Content-Length", "0")])
    return []
