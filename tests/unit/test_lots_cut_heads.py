"""Items whose back ends stop within the heads of their answers: such a run is no result.

It ends neither as done nor as a failure that counts, and never as an item that cannot be done.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.unit import test_lots_runner as runner_tests
from tests.unit.seeded_support import wait_until
from tests.unit.test_lots_runner import WHOLE_TEXT, OneStore, submit

from testbed.routed import RunnerStandIn
from testbed.routed.behaviours import BEHAVIOURS
from testbed.routed.exchange import Exchange

store = runner_tests.store
back_end = runner_tests.back_end
runner = runner_tests.runner

FIELDS = "Leverjunction-Request-Id: %s\r\nLeverjunction-Server-Stamp: stamp\r\n"
CUT_HEADS = {
    "in the status": "HTTP/1.1 20",
    "after the status": "HTTP/1.1 200",
    "after a length of 0": f"HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 0\r\n",
    "in a length": f"HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 0",
    "before the coding": f"HTTP/1.1 200 OK\r\n{FIELDS}",
    "before the empty line": f"HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r",
    "before the first chunk": f"HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n",
    "in the size of a chunk": f"HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n1",
    "in the last size": f"HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n0",
    "HTTP/1.0": f"HTTP/1.0 200 OK\r\n{FIELDS}",
    "after an interim one": f"HTTP/1.1 103 Hints\r\n{FIELDS}\r\nHTTP/1.1 200 OK\r\n{FIELDS}",
    "a failure": f"HTTP/1.1 500 Fault\r\n{FIELDS}Content-Length: 0\r\n",
    "before a body that ends with the connection": f"HTTP/1.1 200 OK\r\n{FIELDS}\r\n",
    "never to be done": f"HTTP/1.1 422 Bad\r\n{FIELDS}Content-Length: 0\r\n",
}


CUTS = 3
"""As many as failed runs after which an item is given up."""


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize(
    ("name", "by_reset"),
    [*((name, False) for name in CUT_HEADS), ("in a length", True), ("a failure", True)],
)
def test_an_item_runs_again_after_heads_that_were_cut(
    store: OneStore, back_end: RunnerStandIn, name: str, by_reset: bool
) -> None:
    async def send(exchange: Exchange) -> None:
        request_id = exchange.seen.headers["leverjunction-request-id"]
        exchange.raw(CUT_HEADS[name].replace("%s", request_id).encode())
        await exchange.flush()
        if by_reset:
            await asyncio.sleep(0.01)
            exchange.reset()
        else:
            exchange.close()

    BEHAVIOURS["cut head of an item"] = send
    back_end.then(*["cut head of an item"] * CUTS)
    submit(store, 1)
    wait_until(lambda: bool(store.results()), 12.0)
    del BEHAVIOURS["cut head of an item"]
    assert store.results() == {"item-0": ("done", WHOLE_TEXT)}
    assert len(back_end.seen) == CUTS + 1


@pytest.mark.usefixtures("runner")
def test_an_item_that_is_continued_is_not_done_by_an_end_before_any_further_event(
    store: OneStore, back_end: RunnerStandIn
) -> None:
    back_end.then("stream without length, reset", "stream without length, ends before an event")
    submit(store, 1)
    wait_until(lambda: bool(store.results()), 12.0)
    assert store.results() == {"item-0": ("done", WHOLE_TEXT)}
