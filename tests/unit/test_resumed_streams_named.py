"""Tests that a stream is found by the header in which callers name its first attempt.

The header fields are written out, as callers of the platform send them.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.test_proxy_contract import RESUMABLE
from tests.unit.test_proxy_versions import CUT, NEW, OLD, know, start_proxy, start_runners


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


def test_a_stream_named_in_resumes_goes_on_beside_a_second_version(stack: ExitStack) -> None:
    old, new = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, [old])
    old.then(CUT, CUT)
    caller = proxy.caller()
    own = {"Host": "app.example", "Leverjunction-Deadline-Ms": "2000"}
    caller.ask("POST", RESUMABLE, {**own, "Leverjunction-Request-Id": "first"})
    caller.close()
    know(proxy, [old, new])
    caller = proxy.caller()
    again = {"Leverjunction-Request-Id": "again", "Last-Event-Id": "2", "Resumes": "first"}
    reply = caller.ask("POST", RESUMABLE, {**own, **again})
    caller.close()
    assert (reply.status, reply.complete) == (200, True)
    assert not new.seen
