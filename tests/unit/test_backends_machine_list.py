"""The machine list client with valid and invalid responses, and without a server."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import pytest
from cheroot import wsgi

from leverjunction.backends.machine_list import MachineList, MachineListClient, MachineState
from leverjunction.errors import FailureKind, is_failure

VALID_LIST = (
    b'{"as_of_ms": 5, "machines": [{"id": "r1", "address": "127.0.0.1:9", "zone": "a",'
    b' "service": "llm", "state": "leaving", "incarnation": 3}]}'
)


@pytest.fixture
def serve() -> Iterator[Callable[[str, bytes], str]]:
    servers: list[tuple[wsgi.Server, threading.Thread]] = []

    def start(status: str, body: bytes) -> str:
        def app(environ: object, start_response: Callable[..., object]) -> list[bytes]:
            start_response(status, [("Content-Length", str(len(body)))])
            return [body]

        server = wsgi.Server(("127.0.0.1", 0), app, numthreads=1)
        server.prepare()
        thread = threading.Thread(target=server.serve)
        thread.start()
        servers.append((server, thread))
        return f"http://127.0.0.1:{server.bind_addr[1]}/machines"

    yield start
    for server, thread in servers:
        server.stop()
        thread.join()


def test_reads_the_list(serve: Callable[[str, bytes], str]) -> None:
    listed = MachineListClient(serve("200 OK", VALID_LIST)).read()
    assert isinstance(listed, MachineList)
    assert listed.machines[0].state is MachineState.LEAVING


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        ("500 Internal Server Error", b"", FailureKind.UNREACHABLE),
        ("200 OK", b"<html>", FailureKind.CORRUPT),
        ("200 OK", b'{"as_of_ms": 5}', FailureKind.CORRUPT),
    ],
)
def test_invalid_responses(
    serve: Callable[[str, bytes], str], status: str, body: bytes, expected: FailureKind
) -> None:
    listed = MachineListClient(serve(status, body)).read()
    assert is_failure(listed)
    assert listed.kind is expected


def test_an_entry_with_an_unknown_state_is_reported_as_unreadable(
    serve: Callable[[str, bytes], str],
) -> None:
    listed = MachineListClient(serve("200 OK", VALID_LIST.replace(b"leaving", b"napping"))).read()
    assert isinstance(listed, MachineList)
    assert listed.machines == []
    assert len(listed.unreadable) == 1


def test_an_unreachable_server() -> None:
    listed = MachineListClient("http://127.0.0.1:1/machines").read()
    assert is_failure(listed)
    assert listed.kind is FailureKind.UNREACHABLE
