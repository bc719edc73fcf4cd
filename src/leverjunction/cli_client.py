"""HTTP client of the operators' API, on urllib3: one address after the other, typed replies."""

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

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
FIRST_READ_TIMEOUT_S = 1.0
"""Silence of an address after which the next one is asked, as long as there is another: a frozen
process still takes connections. Only when all were silent are they given the whole time.
"""
RETRY_FOR_S = 10.0
RETRY_PAUSE_S = 0.3
STREAM_SILENCE_S = 60.0
_SSE_DATA = b"data:"
_SUCCESS = range(200, 300)

TRY_NEXT = frozenset(
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
"""Failures after which another process, or the same one a little later, may answer."""


def read_secret(path: str, meaning: str) -> str | Failure:
    """Return the secret that a file holds, without surrounding white space."""
    if not path:
        return _bad(f"no file given for the {meaning}")
    try:
        secret = Path(path).read_text(encoding="utf8").strip()
    except OSError as error:
        return _bad(f"{path}: {meaning} cannot be read: {error.strerror}")
    return secret or _bad(f"{path}: {meaning} is empty")


def _bad(reason: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.CONFIGURATION)


class OperatorClient:
    """Calls the operators' API of control processes, or of one gateway.

    Every call may be repeated: reads change nothing, changes carry a change id, cancelling is
    idempotent. So a call goes on to the next address, and round again, until ``retry_for_s``.
    """

    def __init__(
        self,
        addresses: list[str],
        token: str,
        retry_for_s: float | None = None,
        tell: Callable[[str], None] | None = None,
    ) -> None:
        """Use ``host:port`` addresses, tried in order, and a bearer token.

        Args:
            addresses: Processes that may answer.
            token: The operators' token.
            retry_for_s: How long to try again, ``RETRY_FOR_S`` by default.
            tell: Told, once a call, why it takes longer.
        """
        self._addresses = list(addresses)
        self._token = token
        self._retry_for_s = RETRY_FOR_S if retry_for_s is None else retry_for_s
        self._tell = tell
        self._pool = urllib3.PoolManager(retries=False)

    def get(
        self, path: str, reply_type: type[T], parameters: Mapping[str, str] | None = None
    ) -> T | Failure:
        """Read a typed reply."""
        return self._until_answered("GET", path, reply_type, b"", parameters or {})

    def post(self, path: str, message: msgspec.Struct | None, reply_type: type[T]) -> T | Failure:
        """Send a typed message and read a typed reply."""
        body = b"{}" if message is None else encode(message)
        return self._until_answered("POST", path, reply_type, body, {})

    def _until_answered(
        self,
        method: str,
        path: str,
        reply_type: type[T],
        body: bytes,
        parameters: Mapping[str, str],
    ) -> T | Failure:
        give_up_s = steady_s() + self._retry_for_s
        read_timeout_s = FIRST_READ_TIMEOUT_S if len(self._addresses) > 1 else READ_TIMEOUT_S
        told = False
        while True:
            failure: Failure = _bad("no address given, use --control host:port")
            for address in list(self._addresses):
                reply = self._call(address, method, path, body, parameters, read_timeout_s)
                if not isinstance(reply, Failure):
                    return decode(reply, reply_type, address)
                failure = reply
                if failure.kind not in TRY_NEXT:
                    return failure
                if failure.kind is FailureKind.UNREACHABLE:
                    self._ask_last(address)
            read_timeout_s = READ_TIMEOUT_S
            if steady_s() >= give_up_s or not self._addresses:
                return failure
            if self._tell is not None and not told:
                told = True
                self._tell(f"{failure.reason}: trying again for {self._retry_for_s:.0f} s")
            time.sleep(RETRY_PAUSE_S)

    def _ask_last(self, address: str) -> None:
        """Remember that an address did not answer: the next call begins with another."""
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
            return unreachable(address, error)
        if response.status in _SUCCESS:
            return response.data
        return failure_of(response.status, response.data, address)

    def events(self, path: str, parameters: Mapping[str, str]) -> Iterator[bytes | Failure]:
        """Yield the data of each server-sent event of the first address, until it ends."""
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
                yield failure_of(response.status, response.read(), address)
                return
            yield from _event_data(response)
        except urllib3.exceptions.HTTPError as error:
            yield unreachable(address, error)


def _event_data(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    while chunk := response.read1():
        *lines, pending = (pending + chunk).split(b"\n")
        for line in lines:
            if line.startswith(_SSE_DATA):
                yield line[len(_SSE_DATA) :].strip()


def unreachable(address: str, error: urllib3.exceptions.HTTPError) -> Failure:
    """Return the failure of a call without an answer; it ran nothing if it never connected."""
    exceptions = urllib3.exceptions
    if isinstance(error, exceptions.NameResolutionError):
        reason = f"cannot connect to {address}: its host name is not known"
    elif isinstance(error, exceptions.NewConnectionError):
        # Before its base class, the timeout.
        reason = f"cannot connect to {address}: nothing listens there"
    elif isinstance(error, exceptions.ConnectTimeoutError):
        reason = f"cannot connect to {address} within {CONNECT_TIMEOUT_S:.0f} s"
    elif isinstance(error, exceptions.ReadTimeoutError):
        reason = f"no answer from {address} in time"
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


def failure_of(status: int, body: bytes, address: str) -> Failure:
    """Return the failure that an error answer carries."""
    decoded = decode(body, ErrorBody, address)
    if isinstance(decoded, Failure):
        return Failure(
            kind=_kind_of_status(status),
            reason=f"{address} answered HTTP {status}: {body[:200].decode(errors='replace')}",
            step=Step.RESPONDING,
            peer=address,
            execution=Execution.UNKNOWN,
        )
    error = decoded.error
    known = error.code in list(FailureKind)
    return Failure(
        kind=FailureKind(error.code) if known else _kind_of_status(status),
        reason=error.message,
        step=Step(error.step) if error.step in list(Step) else Step.RESPONDING,
        peer=error.peer or address,
        execution=error.execution,
    )


def _kind_of_status(status: int) -> FailureKind:
    by_status = {
        400: FailureKind.BAD_REQUEST,
        401: FailureKind.UNAUTHENTICATED,
        403: FailureKind.FORBIDDEN,
        404: FailureKind.NOT_FOUND,
        410: FailureKind.EXPIRED,
        409: FailureKind.CONFLICT,
        503: FailureKind.OVERLOADED,
    }
    return by_status.get(status, FailureKind.INTERNAL)
