"""Client of the internal RPC, which sends a POST request per call over pooled connections."""

from __future__ import annotations

from typing import Any, TypeVar

import urllib3
from urllib3.util import SKIP_HEADER

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.bounded_bodies import MIN_BYTES_PER_S, read_body
from leverjunction.wire.codec import decode_reply, encode, unknown_outcome
from leverjunction.wire.envelope import (
    MAX_ENVELOPE_BYTES,
    Envelope,
    MessageKind,
    decode_envelope,
    encode_envelope,
)
from leverjunction.wire.whole_heads import WholeHeadConnection, new_pool_manager

T = TypeVar("T")

RPC_PATH = "/rpc"
CONNECT_TIMEOUT_S = 0.5
DEFAULT_TIMEOUT_S = 2.0
CONNECTIONS_PER_PEER = 8
MIN_LINK_BYTES_PER_S = MIN_BYTES_PER_S
"""Rate of the slowest supported link; timeouts of large bodies follow from it."""

_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
"""Omits headers that no peer reads, since every exchange, once a second, carries them."""


def send_timeout_s(size_bytes: int) -> float:
    """Return the time limit for sending a body of ``size_bytes`` to a peer, in seconds."""
    return CONNECT_TIMEOUT_S + size_bytes / MIN_LINK_BYTES_PER_S


class _Connection(WholeHeadConnection):
    """A connection whose send timeout depends on the size of the body.

    urllib3 sends with the connect timeout (0.5 s here) or with the read timeout of the previous
    call, so every large body over a slow link would be cut off.
    """

    _send_timeout_s = CONNECT_TIMEOUT_S

    def connect(self) -> None:
        super().connect()
        self._set_send_timeout()

    def request(self, method: str, url: str, body: Any = None, *rest: Any, **options: Any) -> None:
        self._send_timeout_s = send_timeout_s(len(body))
        self._set_send_timeout()
        super().request(method, url, body, *rest, **options)

    def _set_send_timeout(self) -> None:
        if self.sock is not None:
            self.sock.settimeout(self._send_timeout_s)


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class RpcClient:
    """Calls other processes of the cluster. Safe to share between threads.

    It never retries, since only the caller knows whether a call may be repeated.
    """

    def __init__(self, cluster_key: bytes, incarnation: int) -> None:
        self._cluster_key = cluster_key
        self._incarnation = incarnation
        self._pool = new_pool_manager(
            _ConnectionPool, num_pools=512, maxsize=CONNECTIONS_PER_PEER, block=False
        )

    def call(
        self,
        peer: str,
        kind: MessageKind,
        message: object,
        result_type: type[T],
        *,
        group: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> T | Failure:
        """Send a typed message to ``peer`` (``host:port``) and wait for its typed reply.

        Returns:
            The result, a failure that the peer returned, or a failure of this client: of step
            SENDING or CONNECTING if the peer received nothing, RESPONDING if it may have executed
            the call.
        """
        body = self.call_raw(peer, kind, encode(message), group=group, timeout_s=timeout_s)
        if isinstance(body, Failure):
            return body
        return decode_reply(body, result_type, peer)

    def call_raw(
        self,
        peer: str,
        kind: MessageKind,
        body: bytes,
        *,
        group: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> bytes | Failure:
        """Send an encoded message to ``peer`` and return the encoded body of the reply."""
        envelope = Envelope(kind=kind, group=group, incarnation=self._incarnation, body=body)
        encoded = encode_envelope(envelope, self._cluster_key)
        if len(encoded) > MAX_ENVELOPE_BYTES:
            return _too_large(peer, len(encoded))
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        try:
            response = self._pool.request(
                "POST",
                f"http://{peer}{RPC_PATH}",
                body=encoded,
                headers=_HEADERS,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
            data = read_body(response, MAX_ENVELOPE_BYTES, timeout_s)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            return _unreachable(peer, e)
        except urllib3.exceptions.HTTPError as error:
            return _no_reply(peer, error)
        except OSError as error:
            # Reading in pieces does not wrap the errors of the socket.
            return _no_reply(peer, error)
        if response.status != 200:
            return _no_reply(peer, f"HTTP status {response.status}")
        reply = decode_envelope(data, self._cluster_key, peer)
        return unknown_outcome(reply) if isinstance(reply, Failure) else reply.body

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.clear()


def _too_large(peer: str, size_bytes: int) -> Failure:
    return Failure(
        kind=FailureKind.TOO_LARGE,
        reason=f"message of {size_bytes} bytes exceeds the limit of {MAX_ENVELOPE_BYTES}",
        step=Step.SENDING,
        peer=peer,
        execution=Execution.NOT_RUN,
    )


def _unreachable(peer: str, error: Exception) -> Failure:
    refused = isinstance(error.__cause__, ConnectionRefusedError)
    return Failure(
        kind=FailureKind.NOT_LISTENING if refused else FailureKind.UNREACHABLE,
        reason=f"no connection: {error}",
        step=Step.CONNECTING,
        peer=peer,
        execution=Execution.NOT_RUN,
    )


def _no_reply(peer: str, error: object) -> Failure:
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason=f"no valid reply: {error}",
        step=Step.RESPONDING,
        peer=peer,
        execution=Execution.UNKNOWN,
    )
