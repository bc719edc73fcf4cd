"""Server side of the internal RPC: a CherryPy application with one POST endpoint."""

from __future__ import annotations

from collections.abc import Callable

import cherrypy

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind, decode_envelope, encode_envelope

RpcHandler = Callable[[Envelope, str], bytes]
"""Handles an authenticated envelope from a peer address and returns an encoded reply body."""


class RpcEndpoint:
    """Dispatches authenticated envelopes to one handler a message kind.

    Mount an instance at ``/rpc``. Called by CherryPy's worker threads.
    """

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
        """Serve one call."""
        peer = str(cherrypy.request.remote.ip)
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        return self.dispatch(cherrypy.request.body.fp.read(), peer)

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
        return handler(envelope, peer)
