"""Server of the internal RPC, with one POST endpoint on Cheroot (the HTTP server of CherryPy)."""

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
"""Idle connections kept open. With Cheroot's default of 10 every call would reconnect."""

SERVER_NAME = "rpc"
"""Value of the ``Server`` header. It is short, as every exchange, once a second, carries it."""

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class RpcEndpoint:
    """Dispatches authenticated envelopes to the handler of their message kind.

    It is served by ``RpcServer``, or mounted at ``/rpc`` of a CherryPy application.
    Handlers are called by the server's worker threads.
    """

    _cp_config = {"request.process_request_body": False, "tools.trailing_slash.on": False}

    def __init__(self, cluster_key: bytes, incarnation: int) -> None:
        self._cluster_key = cluster_key
        self._incarnation = incarnation
        self._handlers: dict[MessageKind, RpcHandler] = {}

    def register(self, kind: MessageKind, handler: RpcHandler) -> None:
        """Register the handler of messages of ``kind``."""
        self._handlers[kind] = handler

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def index(self) -> bytes:
        """Handle a call as part of a CherryPy application."""
        peer = str(cherrypy.request.remote.ip)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        length = int(cherrypy.request.headers.get("Content-Length") or 0)
        if not 0 < length <= MAX_ENVELOPE_BYTES:
            raise cherrypy.HTTPError(413 if length > 0 else 400)
        data = cherrypy.request.rfile.read(length)
        if len(data) < length:
            raise cherrypy.HTTPError(400, "the body is shorter than announced")
        return self.dispatch(data, peer)

    def wsgi_app(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle a call as a WSGI application, without CherryPy's overhead per request."""
        if environ["REQUEST_METHOD"] != "POST" or environ["PATH_INFO"].rstrip("/") != RPC_PATH:
            return _reject(start_response, "404 Not Found")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_ENVELOPE_BYTES:
            return _reject(start_response, "413 Content Too Large")
        if length <= 0:
            # With a negative length the read would be unbounded, until the peer closes.
            return _reject(start_response, "400 Bad Request")
        data = environ["wsgi.input"].read(length)
        if len(data) < length:
            return _reject(start_response, "400 Bad Request")
        reply = self.dispatch(data, str(environ.get("REMOTE_ADDR", "")))
        start_response("200 OK", [("Content-Length", str(len(reply)))])
        return [reply]

    def dispatch(self, data: bytes, peer: str) -> bytes:
        """Verify an encoded envelope, run its handler and return the encoded reply."""
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
                    execution=Execution.NOT_RUN,
                )
            )
        try:
            return handler(envelope, peer)
        except Exception as error:
            # An exception must not close the connection, which other calls use as well.
            logger.exception("handler of {} failed", envelope.kind.name)
            return encode_reply(
                Failure(
                    kind=FailureKind.INTERNAL,
                    reason=f"handler of {envelope.kind.name} failed: {error}",
                    step=Step.RESPONDING,
                    peer=peer,
                    execution=_execution_after_error(envelope.kind),
                )
            )


class RpcServer(HttpServer):
    """Serves an ``RpcEndpoint`` on its own port.

    Args:
        host: IP number to listen on.
        port: Port to listen on; 0 binds a free port, see ``address``.
        endpoint: Endpoint that handles the calls.
        threads: Number of calls served concurrently.
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


_READS = frozenset(
    {
        MessageKind.QUERY,
        MessageKind.FORWARDED_QUERY,
        MessageKind.LOCAL_QUERY,
        MessageKind.RECENT_QUERY,
        MessageKind.STATUS,
        MessageKind.REPLICA_IDENTITY,
        MessageKind.MACHINE_LIST,
        MessageKind.REGISTRY_WATCH,
        MessageKind.REGISTRY_HEARD,
        MessageKind.REGISTRY_VIEWS,
        MessageKind.FIND_ORIGIN,
        MessageKind.FIND_ORIGINS,
        MessageKind.OPEN_ITEMS,
    }
)
"""Calls that change nothing, however far they came."""


def _execution_after_error(kind: MessageKind) -> Execution:
    return Execution.NOT_RUN if kind in _READS else Execution.UNKNOWN


def _reject(start_response: StartResponse, status: str) -> Iterable[bytes]:
    start_response(status, [("Content-Length", "0")])
    return []
