"""WSGI application for the platform's HTTP calls to a control process.

Runners report to it that they are alive or leave; the operator replaces the route table and
retires runners.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated, Any

import msgspec
from cheroot.errors import MaxSizeExceeded
from cheroot.server import SizeCheckWrapper
from loguru import logger

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.platform.route_table import read_table
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.untrusted import is_address, is_name, note_unreadable, read_json

StartResponse = Callable[[str, list[tuple[str, str]]], object]
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of the framing of a chunked body."""

READ_BYTES = 64 * 1024
TOO_LARGE_STATUS = 413
UNAVAILABLE_STATUS = 503
_STATUS_BY_KIND = {
    FailureKind.BAD_REQUEST: 400,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.TOO_LARGE: TOO_LARGE_STATUS,
}
_RUNNER_STATES = {"ready": RunnerState.READY, "draining": RunnerState.LEAVING}


MAX_SLOTS = 100_000
"""Maximum of concurrent requests that a runner may report.

A larger number is an error, and would attract all requests to that runner.
"""

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _HeartbeatPayload(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(gt=0, le=MAX_SLOTS)]
    state: str
    sequence: WholeNumber = 0
    version: str = ""
    born: UnixMs = msgspec.field(default=0, name="born")
    """Time at which the runner started, in Unix milliseconds; the only lower-case field name."""


class _LeavePayload(msgspec.Struct):
    born: UnixMs = 0


_HEARTBEAT_DECODER = msgspec.json.Decoder(_HeartbeatPayload)
_LEAVE_DECODER = msgspec.json.Decoder(_LeavePayload)


class _RetirementPayload(msgspec.Struct, rename="pascal"):
    state: str


Response = tuple[int, bytes]
Handler = Callable[["ControlCalls", str, bytes], Response]
_HANDLERS: dict[tuple[str, str], Handler] = {}


def _handler(method: str, path: str) -> Callable[[Handler], Handler]:
    """Register the handler of a method and path; a path that ends with a slash takes a name."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[method, path] = handler
        return handler

    return register


class ControlCalls:
    """WSGI application that answers the platform's calls.

    Args:
        node: Registry node of this control process.
    """

    def __init__(self, node: RegistryNode) -> None:
        self.node = node

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        status, body = self._respond(environ)
        start_response(
            f"{status} {'OK' if status < 300 else 'Refused'}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _respond(self, environ: dict[str, Any]) -> Response:
        path = environ["PATH_INFO"]
        folder, _, name = path.rpartition("/")
        method = environ["REQUEST_METHOD"]
        handler = _HANDLERS.get((method, path)) or _HANDLERS.get((method, folder + "/"))
        if handler is None:
            return 404, b"{}"
        body = read_body(environ)
        if body is None:
            return TOO_LARGE_STATUS, b"{}"
        if _is_cut_short(environ, body):
            return UNAVAILABLE_STATUS, b"{}"
        return handler(self, name, body)


def read_body(environ: dict[str, Any]) -> bytes | None:
    """Return the body of a request, None if it is too large."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return None
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return _read_chunks(environ["wsgi.input"])
    return bytes(environ["wsgi.input"].read(length)) if length > 0 else b""


def _is_cut_short(environ: dict[str, Any], body: bytes) -> bool:
    """Return whether the server stopped reading a body, or its caller left.

    What came of it says nothing of the call.
    """
    return not environ.get("HTTP_TRANSFER_ENCODING") and len(body) < int(
        environ.get("CONTENT_LENGTH") or 0
    )


def _read_chunks(source: Any) -> bytes | None:
    """Return a chunked body, None if it is too large."""
    # Cheroot bounds neither the body nor a line with the size of a chunk.
    source.maxlen = MAX_BODY_BYTES + MAX_FRAMING_BYTES
    source.rfile = SizeCheckWrapper(source.rfile, source.maxlen)
    body = bytearray()
    try:
        while piece := source.read(READ_BYTES):
            body += piece
    except MaxSizeExceeded:
        logger.warning("refused a chunked body after {} bytes: too large", len(body))
        return None
    except OSError as error:
        # Cheroot raises one without a number for a chunk beyond the limit.
        if isinstance(error, TimeoutError) or error.errno is not None:
            raise
        logger.warning("refused a chunked body after {} bytes: {}", len(body), error)
        return None
    return bytes(body) if len(body) <= MAX_BODY_BYTES else None


def _failure_response(failure: Failure) -> Response:
    status = _STATUS_BY_KIND.get(failure.kind, UNAVAILABLE_STATUS)
    return status, msgspec.json.encode({"Error": failure.reason})


def _result_response(failure: Failure | None) -> Response:
    return (200, b"{}") if failure is None else _failure_response(failure)


@_handler("POST", "/api/Config.Replace")
def _replace_table(calls: ControlCalls, _name: str, body: bytes) -> Response:
    table = read_table(body)
    if isinstance(table, Failure):
        return _failure_response(table)
    accepted = calls.node.put_table(table, body.decode("utf8"))
    if isinstance(accepted, Failure):
        logger.warning(
            "route table version {} was not accepted: {}", table.version, accepted.reason
        )
        return _failure_response(accepted)
    return 200, b"{}"


@_handler("GET", "/api/Config.Get")
def _get_table(calls: ControlCalls, _name: str, _body: bytes) -> Response:
    source = calls.node.table_source()
    if isinstance(source, Failure):
        return _failure_response(source)
    if not source.source:
        return UNAVAILABLE_STATUS, b"{}"
    return 200, source.source.encode()


@_handler("POST", "/api/Instances.Heartbeat/")
def _heartbeat(calls: ControlCalls, name: str, body: bytes) -> Response:
    record = _parse_heartbeat(name, body)
    if isinstance(record, Failure):
        note_unreadable("heartbeat", name, record.reason)
        return _failure_response(record)
    return _result_response(calls.node.handle_heartbeat(record))


def _parse_heartbeat(name: str, body: bytes) -> RunnerRecord | Failure:
    """Return the runner record of a heartbeat, or why the heartbeat is invalid."""
    payload = read_json(body, _HEARTBEAT_DECODER)
    if isinstance(payload, Failure):
        return payload
    state = _RUNNER_STATES.get(payload.state)
    if state is None:
        return _invalid("a state that is not known")
    if not (is_name(name) and is_name(payload.service) and is_name(payload.zone)):
        return _invalid("an id, a service or a zone that is no name")
    if payload.version and not is_name(payload.version):
        return _invalid("a version that is no name")
    if not is_address(payload.address):
        return _invalid("an address that is not HOST:PORT")
    return RunnerRecord(
        runner_id=name,
        service=payload.service,
        address=payload.address,
        zone=payload.zone,
        slots=payload.slots,
        state=state,
        sequence=payload.sequence,
        born_ms=payload.born,
        version=payload.version,
    )


@_handler("POST", "/api/Instances.Leave/")
def _leave(calls: ControlCalls, name: str, body: bytes) -> Response:
    payload = _parse_leave(name, body)
    if isinstance(payload, Failure):
        note_unreadable("farewell", name, payload.reason)
        return _failure_response(payload)
    return _result_response(calls.node.handle_leave(name, payload.born))


def _parse_leave(name: str, body: bytes) -> _LeavePayload | Failure:
    if not is_name(name):
        return _invalid("an id that is no name")
    return read_json(body or b"{}", _LEAVE_DECODER)


def _invalid(reason: str) -> Failure:
    return Failure(
        kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.DECODING, execution=Execution.NOT_RUN
    )


@_handler("POST", "/api/Retire.Start/")
def _start_retirement(calls: ControlCalls, name: str, _body: bytes) -> Response:
    return _result_response(calls.node.start_retirement(name))


@_handler("GET", "/api/Retire.Get/")
def _get_retirement(calls: ControlCalls, name: str, _body: bytes) -> Response:
    is_done = calls.node.is_retired(name)
    if isinstance(is_done, Failure):
        return _failure_response(is_done)
    return 200, msgspec.json.encode(_RetirementPayload("done" if is_done else "running"))
