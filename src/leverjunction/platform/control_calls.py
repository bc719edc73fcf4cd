"""The platform's calls to a control process: runners and the operator (WSGI)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated, Any

import msgspec
from loguru import logger

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.platform.route_table import read_table
from leverjunction.registry.node import RegistryNode
from leverjunction.registry.records import RunnerRecord, RunnerState
from leverjunction.untrusted import is_address, is_name, note_unreadable, read_json

StartResponse = Callable[[str, list[tuple[str, str]]], object]
MAX_BODY_BYTES = 8 * 1024 * 1024
UNSURE = 503
_STATUS = {
    FailureKind.BAD_REQUEST: 400,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.TOO_LARGE: 413,
}
_STATES = {"ready": RunnerState.READY, "draining": RunnerState.LEAVING}


SLOTS_MOST = 100_000
"""Requests at a time at one runner; more is a mistake, and would draw all work there."""

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _BeatForm(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(gt=0, le=SLOTS_MOST)]
    state: str
    sequence: WholeNumber = 0
    born: UnixMs = msgspec.field(default=0, name="born")
    """When the runner started, in Unix milliseconds; the only field in lower case."""


class _LeaveForm(msgspec.Struct):
    born: UnixMs = 0


_BEATS = msgspec.json.Decoder(_BeatForm)
_LEAVES = msgspec.json.Decoder(_LeaveForm)


class _StateForm(msgspec.Struct, rename="pascal"):
    state: str


Answer = tuple[int, bytes]
Call = Callable[["ControlCalls", str, bytes], Answer]
_CALLS: dict[tuple[str, str], Call] = {}


def _call(method: str, path: str) -> Callable[[Call], Call]:
    """Register a call; a path that ends with a slash takes a name after it."""

    def register(call: Call) -> Call:
        _CALLS[method, path] = call
        return call

    return register


class ControlCalls:
    """WSGI application of the platform's calls."""

    def __init__(self, node: RegistryNode) -> None:
        self.node = node

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Answer one call."""
        status, body = self._answer(environ)
        start_response(
            f"{status} {'OK' if status < 300 else 'Refused'}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        path = environ["PATH_INFO"]
        folder, _, name = path.rpartition("/")
        method = environ["REQUEST_METHOD"]
        call = _CALLS.get((method, path)) or _CALLS.get((method, folder + "/"))
        if call is None:
            return 404, b"{}"
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_BODY_BYTES:
            return 413, b"{}"
        if environ.get("HTTP_TRANSFER_ENCODING"):
            body = environ["wsgi.input"].read()
        else:
            body = environ["wsgi.input"].read(length) if length > 0 else b""
        return call(self, name, body)


def _refused(failure: Failure) -> Answer:
    status = _STATUS.get(failure.kind, UNSURE)
    return status, msgspec.json.encode({"Error": failure.reason})


def _outcome(failure: Failure | None) -> Answer:
    return (200, b"{}") if failure is None else _refused(failure)


@_call("POST", "/api/Config.Replace")
def _replace(calls: ControlCalls, _name: str, body: bytes) -> Answer:
    table = read_table(body)
    if isinstance(table, Failure):
        return _refused(table)
    held = calls.node.put_table(table, body.decode("utf8"))
    if isinstance(held, Failure):
        logger.warning("route table {} is not taken: {}", table.version, held.reason)
        return _refused(held)
    return 200, b"{}"


@_call("GET", "/api/Config.Get")
def _get(calls: ControlCalls, _name: str, _body: bytes) -> Answer:
    source = calls.node.table_source()
    if isinstance(source, Failure):
        return _refused(source)
    if not source.source:
        return UNSURE, b"{}"
    return 200, source.source.encode()


@_call("POST", "/api/Instances.Heartbeat/")
def _heartbeat(calls: ControlCalls, name: str, body: bytes) -> Answer:
    record = _read_beat(name, body)
    if isinstance(record, Failure):
        note_unreadable("heartbeat", name, record.reason)
        return _refused(record)
    return _outcome(calls.node.runner_heard(record))


def _read_beat(name: str, body: bytes) -> RunnerRecord | Failure:
    """Return the record that a heartbeat tells, or why it names no runner to use."""
    form = read_json(body, _BEATS)
    if isinstance(form, Failure):
        return form
    state = _STATES.get(form.state)
    if state is None:
        return _unreadable("a state that is not known")
    if not (is_name(name) and is_name(form.service) and is_name(form.zone)):
        return _unreadable("an id, a service or a zone that is no name")
    if not is_address(form.address):
        return _unreadable("an address that is not HOST:PORT")
    return RunnerRecord(
        runner_id=name,
        service=form.service,
        address=form.address,
        zone=form.zone,
        slots=form.slots,
        state=state,
        sequence=form.sequence,
        born_ms=form.born,
    )


@_call("POST", "/api/Instances.Leave/")
def _leave(calls: ControlCalls, name: str, body: bytes) -> Answer:
    form = _read_farewell(name, body)
    if isinstance(form, Failure):
        note_unreadable("farewell", name, form.reason)
        return _refused(form)
    return _outcome(calls.node.runner_left(name, form.born))


def _read_farewell(name: str, body: bytes) -> _LeaveForm | Failure:
    if not is_name(name):
        return _unreadable("an id that is no name")
    return read_json(body or b"{}", _LEAVES)


def _unreadable(reason: str) -> Failure:
    return Failure(kind=FailureKind.BAD_REQUEST, reason=reason, step=Step.DECODING)


@_call("POST", "/api/Retire.Start/")
def _retire(calls: ControlCalls, name: str, _body: bytes) -> Answer:
    return _outcome(calls.node.start_retirement(name))


@_call("GET", "/api/Retire.Get/")
def _retired(calls: ControlCalls, name: str, _body: bytes) -> Answer:
    done = calls.node.is_retired(name)
    if isinstance(done, Failure):
        return _refused(done)
    return 200, msgspec.json.encode(_StateForm("done" if done else "running"))
