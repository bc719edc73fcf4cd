"""Tests that a stream that breaks again elsewhere is found by its first attempt.

The header fields are written out, as callers of the platform send them.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.proxy_support import Proxy
from tests.unit.test_proxy_contract import RESUMABLE, make_full_table
from tests.unit.test_proxy_versions import CUT, NEW, OLD, start_runners

from leverjunction.registry.origins import OriginSource, Resumption, StreamOrigin
from testbed.routed import SERVICE, RawReply, RunnerStandIn


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


class Shared:
    """A directory that several gateways use."""

    is_recording = True
    told_bases: dict[str, str] = {}

    def __init__(self) -> None:
        self.streams: dict[int, StreamOrigin] = {}

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        self.streams.update(streams)

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        self.streams[stream] = origin
        return True

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        origin = self.streams.get(stream)
        source = OriginSource.NOBODY_KNOWS if origin is None else OriginSource.DIRECTORY
        return Resumption(origin, source)


def ask(proxy: Proxy, **headers: str) -> RawReply:
    caller = proxy.caller()
    own = {"Host": "app.example", "Leverjunction-Deadline-Ms": "2000"}
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    reply = caller.ask("POST", RESUMABLE, {**own, **named})
    caller.close()
    return reply


def start_fleet(stack: ExitStack) -> tuple[Shared, list[Proxy], list[RunnerStandIn]]:
    runners = start_runners(stack, OLD, NEW)
    directory = Shared()
    proxies = [stack.enter_context(Proxy(make_full_table(), runners, directory)) for _ in range(3)]
    return directory, proxies, runners


@pytest.mark.parametrize("name", ["Resumes", "resumes", "RESUMES"])
def test_a_stream_that_breaks_at_two_gateways_goes_on_by_its_first_attempt(
    stack: ExitStack, name: str
) -> None:
    directory, (first, second, third), runners = start_fleet(stack)
    for runner in runners:
        runner.then(CUT, CUT)
    assert not ask(first, Leverjunction_Request_Id="a").complete
    (began,) = (runner for runner in runners if runner.seen)
    (other,) = (runner for runner in runners if not runner.seen)
    again = {"Last_Event_Id": "2", name: "a"}
    began.then(CUT, CUT)
    assert not ask(second, Leverjunction_Request_Id="b", **again).complete
    # What the first gateway reported is forgotten; the second one has reported the stream since.
    assert len(directory.streams) == 1
    directory.streams.clear()
    began.then(CUT, CUT)
    assert not ask(second, Leverjunction_Request_Id="c", **again).complete
    assert set(directory.streams.values()) == {StreamOrigin(SERVICE, began.version)}
    reply = ask(third, Leverjunction_Request_Id="d", **again)
    assert (reply.status, reply.complete) == (200, True)
    assert not other.seen


def test_an_attempt_that_only_resumed_a_stream_is_not_the_one_that_began_it(
    stack: ExitStack,
) -> None:
    directory, (first, second, third), runners = start_fleet(stack)
    for runner in runners:
        runner.then(CUT, CUT)
    assert not ask(first, Leverjunction_Request_Id="a").complete
    for runner in runners:
        runner.then(CUT, CUT)
    ask(second, Leverjunction_Request_Id="b", Last_Event_Id="2", Resumes="a")
    assert len(directory.streams) == 1
    assert ask(third, Leverjunction_Request_Id="c", Last_Event_Id="2", Resumes="b").status == 503
