"""Small GETs over kept connections, without a general HTTP client's work for each call.

Load readings are the most frequent call of an idle fleet. Over urllib3 one costs its caller 0.7 to
1.1 ms of processor time, nearly all of it spent on generality: header objects, retries, redirects.
Only answers of a stated length are read here; ``UnusualAnswerError`` leaves the others to a general
client.
"""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Mapping

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
MAX_KEPT = 2048
"""Connections kept, one an address: enough for all runners of the largest fleet planned."""

_HEAD_END = b"\r\n\r\n"


class UnusualAnswerError(Exception):
    """The answer is valid HTTP perhaps, but not of the plain kind that is read here."""


class PlainAnswer(msgspec.Struct, frozen=True):
    """Whole answer; the names of ``headers`` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class KeptConnections:
    """Keeps one idle connection an address. Safe to share between threads."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._kept: dict[str, socket.socket] = {}

    def get(
        self, address: str, path: str, headers: Mapping[str, str], timeout_s: float
    ) -> PlainAnswer | Failure:
        """Send a GET and return its whole answer; never repeated by itself.

        Args:
            address: ``host:port``.
            path: Path and query.
            headers: Headers beside ``Host``.
            timeout_s: Time for all of it.

        Returns:
            The answer, whatever its status; or a failure of step CONNECTING (nothing was
            received) or RESPONDING.

        Raises:
            UnusualAnswerError: The answer has no stated length; its connection is closed.
        """
        deadline_s = time.monotonic() + timeout_s
        connection = self._take(address)
        if connection is None:
            try:
                connection = _connect(address, min(self._connect_timeout_s, timeout_s))
            except OSError as error:
                return _unreachable(address, error)
        try:
            connection.settimeout(max(deadline_s - time.monotonic(), 0.001))
            connection.sendall(_request(address, path, headers))
            answer = _read_answer(connection, deadline_s)
        except (OSError, ValueError) as error:
            connection.close()
            return _no_answer(address, error)
        except UnusualAnswerError:
            connection.close()
            raise
        if answer.headers.get("connection", "").lower() == "close":
            connection.close()
        else:
            self._keep(address, connection)
        return answer

    def drop(self, address: str) -> None:
        """Close the idle connection to an address: what it carries cannot be trusted."""
        with self._lock:
            connection = self._kept.pop(address, None)
        if connection is not None:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            kept = list(self._kept.values())
            self._kept.clear()
        for connection in kept:
            connection.close()

    def _take(self, address: str) -> socket.socket | None:
        """Return an idle connection that its peer has not closed."""
        with self._lock:
            connection = self._kept.pop(address, None)
        if connection is None or not _is_readable(connection):
            return connection
        # Closed by the peer, or it sent something that nobody asked for.
        connection.close()
        return None

    def _keep(self, address: str, connection: socket.socket) -> None:
        with self._lock:
            surplus = self._kept.pop(address, None)
            if surplus is None and len(self._kept) >= MAX_KEPT:
                # The oldest: the machine of that address is probably gone.
                surplus = self._kept.pop(next(iter(self._kept)))
            self._kept[address] = connection
        if surplus is not None:
            surplus.close()


def _connect(address: str, timeout_s: float) -> socket.socket:
    host, _, port = address.rpartition(":")
    try:
        return socket.create_connection((host.strip("[]"), int(port)), timeout_s)
    except ValueError as error:
        raise OSError(f"not an address: {address!r}") from error


def _is_readable(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


def _request(address: str, path: str, headers: Mapping[str, str]) -> bytes:
    lines = [f"GET {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _read_answer(connection: socket.socket, deadline_s: float) -> PlainAnswer:
    data = b""
    while (head_bytes := data.find(_HEAD_END)) < 0:
        if len(data) > MAX_HEAD_BYTES:
            raise ValueError("the head of the answer is too long")
        data += _receive(connection, deadline_s)
    status, headers = _parse_head(data[:head_bytes])
    body_bytes = _body_length(status, headers)
    body = data[head_bytes + len(_HEAD_END) :]
    while len(body) < body_bytes:
        body += _receive(connection, deadline_s)
    if len(body) > body_bytes:
        raise ValueError("the answer is longer than it says")
    return PlainAnswer(status, headers, body)


def _receive(connection: socket.socket, deadline_s: float) -> bytes:
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        raise TimeoutError("timed out")
    connection.settimeout(left_s)
    data = connection.recv(READ_BYTES)
    if not data:
        raise ConnectionError("the connection ended before the answer")
    return data


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the headers; of a header that is repeated, the last value."""
    first, *lines = head.decode("latin-1").split("\r\n")
    version, _, rest = first.partition(" ")
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise ValueError(f"not an HTTP answer: {first[:40]!r}")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if version == "HTTP/1.0":
        headers["connection"] = "close"
    return int(rest[:3]), headers


def _body_length(status: int, headers: Mapping[str, str]) -> int:
    stated = headers.get("content-length")
    if stated is None or "transfer-encoding" in headers or status < 200:
        raise UnusualAnswerError
    length = int(stated) if stated.isdecimal() else -1
    if not 0 <= length <= MAX_BODY_BYTES:
        raise ValueError(f"a body of {stated} bytes")
    return length


def _unreachable(address: str, error: OSError) -> Failure:
    return Failure(
        kind=FailureKind.UNREACHABLE,
        reason=f"no connection to the back end: {error}",
        step=Step.CONNECTING,
        peer=address,
    )


def _no_answer(address: str, error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.BACKEND_FAILED,
        reason=f"no answer from the back end: {error}",
        step=Step.RESPONDING,
        peer=address,
        execution=Execution.UNKNOWN,
    )
