"""HTTP client of the operator API, with typed replies and failover between addresses."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import TypeVar

import msgspec
import urllib3

from leverjunction.api.errors import ErrorBody
from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.wire.codec import decode, encode
from leverjunction.wire.whole_heads import new_pool_manager

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
FIRST_READ_TIMEOUT_S = 1.0
"""Read timeout of the first round when there are several addresses.

A frozen process still accepts connections, so the next address is tried early. When none has
responded, later rounds use READ_TIMEOUT_S.
"""
RETRY_FOR_S = 10.0
RETRY_PAUSE_S = 0.3
STREAM_SILENCE_S = 60.0
_SSE_DATA = b"data:"
_SUCCESS = range(200, 300)

RETRYABLE_KINDS = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.NOT_LISTENING,
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.STALE,
        FailureKind.STOPPING,
        FailureKind.TIMEOUT,
        FailureKind.OVERLOADED,
        FailureKind.OUTCOME_UNKNOWN,
    }
)
"""Kinds of failure after which another process, or the same one later, may respond."""


def read_secret(path: str, description: str) -> str | Failure:
    """Read a secret from a file, without surrounding white space.

    ``description`` names the secret in failures.
    """
    if not path:
        return _bad_request(f"no file given for the {description}")
    try:
        secret = Path(path).read_text(encoding="utf8").strip()
    except OSError as error:
        return _bad_request(f"{path}: {description} cannot be read: {error.strerror}")
    return secret or _bad_request(f"{path}: {description} is empty")


def _bad_request(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST,
        reason=reason,
        step=Step.CONFIGURATION,
        execution=Execution.NOT_RUN,
    )


class OperatorClient:
    """Calls the operator API of control processes, or of one gateway.

    Every call is safe to repeat: reads change nothing, changes carry a change id and cancelling is
    idempotent. A call therefore tries all addresses in turn, again and again for ``retry_for_s``.
    """

    def __init__(
        self,
        addresses: list[str],
        token: str,
        retry_for_s: float | None = None,
        on_retry: Callable[[str], None] | None = None,
    ) -> None:
        """Create a client for ``host:port`` addresses, tried in order.

        Args:
            addresses: Addresses of the processes to call.
            token: Operator token, sent as a bearer token.
            retry_for_s: Time in seconds during which calls are retried, default ``RETRY_FOR_S``.
            on_retry: Called at most once per call, with the reason for retrying.
        """
        self._addresses = list(addresses)
        self._token = token
        self._retry_for_s = RETRY_FOR_S if retry_for_s is None else retry_for_s
        self._on_retry = on_retry
        self._pool = new_pool_manager()

    def get(
        self, path: str, reply_type: type[T], parameters: Mapping[str, str] | None = None
    ) -> T | Failure:
        """Send a GET request; return the decoded reply, or the last failure."""
        return self._call_with_retries("GET", path, reply_type, b"", parameters or {})

    def post(self, path: str, message: msgspec.Struct | None, reply_type: type[T]) -> T | Failure:
        """Send a message by POST; return the decoded reply, or the last failure."""
        body = b"{}" if message is None else encode(message)
        return self._call_with_retries("POST", path, reply_type, body, {})

    def _call_with_retries(
        self,
        method: str,
        path: str,
        reply_type: type[T],
        body: bytes,
        parameters: Mapping[str, str],
    ) -> T | Failure:
        deadline_s = steady_s() + self._retry_for_s
        read_timeout_s = FIRST_READ_TIMEOUT_S if len(self._addresses) > 1 else READ_TIMEOUT_S
        reported = False
        while True:
            failure: Failure = _bad_request("no address given, use --control host:port")
            for address in list(self._addresses):
                reply = self._call(address, method, path, body, parameters, read_timeout_s)
                if not isinstance(reply, Failure):
                    return decode(reply, reply_type, address)
                failure = reply
                if failure.kind not in RETRYABLE_KINDS:
                    return failure
                if failure.kind is FailureKind.UNREACHABLE:
                    self._move_to_end(address)
            read_timeout_s = READ_TIMEOUT_S
            if steady_s() >= deadline_s or not self._addresses:
                return failure
            if self._on_retry is not None and not reported:
                reported = True
                self._on_retry(f"{failure.reason}: retrying for {self._retry_for_s:.0f} s")
            time.sleep(RETRY_PAUSE_S)

    def _move_to_end(self, address: str) -> None:
        """Move an address that did not respond to the end, so that the next call tries it last."""
        self._addresses.remove(address)
        self._addresses.append(address)

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        parameters: Mapping[str, str],
        read_timeout_s: float,
    ) -> bytes | Failure:
        headers = {"Authorization": f"Bearer {self._token}", "Content-Type": "application/json"}
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                fields=dict(parameters) if method == "GET" else None,
                body=body if method == "POST" else None,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            return connection_failure(address, error)
        if response.status in _SUCCESS:
            return response.data
        return failure_from_response(response.status, response.data, address)

    def events(self, path: str, parameters: Mapping[str, str]) -> Iterator[bytes | Failure]:
        """Yield the data of each server-sent event from the first address until the stream ends.

        If the stream cannot be opened or breaks, the last item is the failure.
        """
        address = self._addresses[0]
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}{path}",
                fields=dict(parameters),
                headers={"Authorization": f"Bearer {self._token}"},
                preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=STREAM_SILENCE_S),
            )
            if response.status not in _SUCCESS:
                yield failure_from_response(response.status, response.read(), address)
                return
            yield from _event_data(response)
        except urllib3.exceptions.HTTPError as error:
            yield connection_failure(address, error)


def _event_data(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    while chunk := response.read1():
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            if line.startswith(_SSE_DATA):
                yield line[len(_SSE_DATA) :].strip()


def connection_failure(address: str, error: urllib3.exceptions.HTTPError) -> Failure:
    """Convert an HTTP client error into a failure; execution is NOT_RUN if it never connected."""
    exceptions = urllib3.exceptions
    if isinstance(error, exceptions.NameResolutionError):
        reason = f"cannot connect to {address}: its host name cannot be resolved"
    elif isinstance(error, exceptions.NewConnectionError):
        # Checked first, since it is a subclass of ConnectTimeoutError.
        reason = f"cannot connect to {address}: nothing listens there"
    elif isinstance(error, exceptions.ConnectTimeoutError):
        reason = f"cannot connect to {address} within {CONNECT_TIMEOUT_S:.0f} s"
    elif isinstance(error, exceptions.ReadTimeoutError):
        reason = f"no response from {address} before the timeout"
    else:
        reason = f"the connection to {address} broke ({type(error).__name__})"
    sent = not isinstance(error, exceptions.NewConnectionError | exceptions.ConnectTimeoutError)
    return Failure(
        kind=FailureKind.UNREACHABLE,
        reason=reason,
        step=Step.RESPONDING if sent else Step.CONNECTING,
        peer=address,
        execution=Execution.UNKNOWN if sent else Execution.NOT_RUN,
    )


def failure_from_response(status: int, body: bytes, address: str) -> Failure:
    """Return the failure described by an error response."""
    decoded = decode(body, ErrorBody, address)
    if isinstance(decoded, Failure):
        return Failure(
            kind=_failure_kind_for_status(status),
            reason=f"{address} answered HTTP {status}: {body[:200].decode(errors='replace')}",
            step=Step.RESPONDING,
            peer=address,
            execution=Execution.UNKNOWN,
        )
    error = decoded.error
    known = error.code in list(FailureKind)
    return Failure(
        kind=FailureKind(error.code) if known else _failure_kind_for_status(status),
        reason=error.message,
        step=Step(error.step) if error.step in list(Step) else Step.RESPONDING,
        peer=error.peer or address,
        execution=error.execution,
    )


def _failure_kind_for_status(status: int) -> FailureKind:
    kind_by_status = {
        400: FailureKind.BAD_REQUEST,
        401: FailureKind.UNAUTHENTICATED,
        403: FailureKind.FORBIDDEN,
        404: FailureKind.NOT_FOUND,
        410: FailureKind.EXPIRED,
        409: FailureKind.CONFLICT,
        503: FailureKind.OVERLOADED,
    }
    return kind_by_status.get(status, FailureKind.INTERNAL)
