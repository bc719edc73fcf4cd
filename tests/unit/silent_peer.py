"""Test support: peers that accept connections and never answer, and peers that answer."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Self

from leverjunction.registry.cluster import CLUSTER_KEY
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer

BACKLOG = 512


class SilentPeer(AbstractContextManager["SilentPeer"]):
    """A peer as a stopped process leaves it: the kernel accepts connections, nothing answers.

    Attributes:
        address: ``host:port`` of the peer.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(BACKLOG)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self._socket.close()


class AnsweringPeer(AbstractContextManager["AnsweringPeer"]):
    """A peer whose RPC server passes each call of some kinds to a function.

    Attributes:
        address: ``host:port`` of the peer.
    """

    def __init__(
        self, answer: Callable[[Envelope], bytes], kinds: tuple[MessageKind, ...], threads: int = 16
    ) -> None:
        endpoint = RpcEndpoint(CLUSTER_KEY, 1)
        for kind in kinds:
            endpoint.register(kind, lambda envelope, _peer: answer(envelope))
        self._server = RpcServer("127.0.0.1", 0, endpoint, threads)
        self._server.start()
        self.address = self._server.address

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self._server.stop()
