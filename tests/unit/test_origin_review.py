"""Tests of interleavings around the origins of streams: late reports, views and answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.proxy_support import Proxy
from tests.unit.test_proxy_contract import RESUMABLE, make_full_table
from tests.unit.test_proxy_versions import VIEW_AGE_S, Recording, know, start_runners
from tests.unit.test_registry_origins import (
    NEW,
    OLD,
    SERVICE,
    Gateway,
    SilentControl,
    member,
    view,
)

from leverjunction.proxy.forwarding import ORIGIN_NOT_RECORDED
from leverjunction.proxy.quarantine import is_lost_run
from leverjunction.proxy.stream_origins import FIND_TIMEOUT_S, VIEW_LAG_S, StreamOrigins
from leverjunction.registry.origin_finder import OriginFinder
from leverjunction.registry.origin_questions import Lookup, OriginQuestions
from leverjunction.registry.origin_reporter import (
    HOLDERS,
    MAX_WAITING,
    OriginReporter,
    rank_holders,
)
from leverjunction.registry.origins import (
    STREAM_LIFETIME_S,
    FoundOrigins,
    OriginSource,
    OriginsStored,
    Resumption,
)
from leverjunction.registry.version_history import VersionHistory
from leverjunction.routes import RouteClass
from testbed.routed import make_route, make_table

VOUCHING = FoundOrigins(base_versions={SERVICE: "v1"}, kept_s=STREAM_LIFETIME_S, controls=4)
ONE_VERSION = FoundOrigins(only_versions={SERVICE: "v1"}, kept_s=STREAM_LIFETIME_S)


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


def test_an_unrecorded_stream_of_a_newer_version_sends_no_event_on_its_last_attempt(
    stack: ExitStack,
) -> None:
    """Control processes that did not store its origin vouch for the base version."""
    directory = Recording()
    directory.will_record = False
    runners = start_runners(stack, "v1", "v1.1")
    resumable = make_route(
        RouteClass.STREAM,
        name="resumable",
        prefix="/resumable/",
        resumable=True,
        timeout_ms=5000.0,
        max_attempts=1,
    )
    proxy = stack.enter_context(Proxy(make_table(resumable), runners[:1], directory))
    know(proxy, runners)
    time.sleep(VIEW_AGE_S)
    sent = {}
    for number in range(10):
        name = f"r{number}"
        reply = proxy.ask(RESUMABLE, Leverjunction_Request_Id=name)
        sent[name] = reply.body if reply.status == 200 else b""
    newer = {item.headers["leverjunction-request-id"] for item in runners[1].seen}
    assert newer
    assert [name for name in newer if sent[name]] == []


@pytest.mark.parametrize("away_s", [STREAM_LIFETIME_S + 1, STREAM_LIFETIME_S + VIEW_LAG_S - 1])
def test_a_version_that_comes_back_is_no_base_version_at_gateways_only(away_s: float) -> None:
    """A gateway does not wait for the base version's streams; control processes vouch for it."""
    control = VersionHistory()
    gateway = VersionHistory(STREAM_LIFETIME_S + VIEW_LAG_S, STREAM_LIFETIME_S - VIEW_LAG_S)
    for now_s, known in (
        (0.0, view("v1")),
        (1.0, view("v1.1")),
        (1.0 + away_s, view("v1", "v1.1")),
        (100.0 + away_s, view("v1", "v1.1")),
    ):
        for history in (control, gateway):
            history.confirm(now_s)
            history.update(known, now_s)
            history.confirm(now_s)
    now_s = 100.0 + away_s
    assert gateway.base_version(SERVICE, now_s) in (None, control.base_version(SERVICE, now_s))


def test_a_gateway_that_was_cut_off_does_not_take_the_newer_version_for_the_base_version() -> None:
    control = VersionHistory()
    gateway = VersionHistory(STREAM_LIFETIME_S + VIEW_LAG_S, STREAM_LIFETIME_S - VIEW_LAG_S)
    for history in (control, gateway):
        for now_s, known in ((0.0, view("v1")), (1.0, view("v1.1"))):
            history.update(known, now_s)
            history.confirm(now_s)
        history.confirm(50.0)
    back = view("v1", "v1.1")
    control.update(back, 55.0)
    control.confirm(55.0)
    # The gateway hears of it when it has contact again.
    control.confirm(75.0)
    gateway.update(back, 75.0)
    gateway.confirm(75.0)
    assert control.base_version(SERVICE, 75.0) == "v1"
    assert gateway.base_version(SERVICE, 75.0) in (None, "v1")


class Clock:
    """Stands in for the time of a loop."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def time(self) -> float:
        return self.now_s


def test_a_gateway_that_is_cut_off_still_records_streams_of_a_newer_version() -> None:
    """A version that has ended for it may have come back."""

    async def run() -> None:
        directory = Recording()
        age_s = 0.0
        origins = StreamOrigins(directory, lambda: age_s, 2.0)
        origins._loop = clock = Clock()  # type: ignore[assignment]
        origins.update(view("v1"))
        clock.now_s = 1.0
        origins.update(view("v1.1"))
        clock.now_s = 50.0
        assert await origins.began(1, NEW)
        assert directory.recorded == [NEW]
        age_s = 30.0
        clock.now_s = 80.0
        await origins.began(2, NEW)
        assert directory.recorded == [NEW, NEW]

    asyncio.run(run())


def test_a_stream_that_begins_anew_is_no_run_that_its_back_end_broke_off() -> None:
    assert not is_lost_run(ORIGIN_NOT_RECORDED)


def test_a_control_process_that_was_removed_still_counts_for_what_it_recorded() -> None:
    """An origin was recorded at a and b of four; a is gone, and b has not answered yet."""
    questions = OriginQuestions()
    lookup = Lookup(7, SERVICE)
    questions.begin(lookup, ("b", "c", "d"))
    for peer in "bcd":
        questions.next_question(peer)
    assert questions.answered("c", VOUCHING) == {}
    assert questions.answered("d", VOUCHING) == {}
    assert questions.answered("b", FoundOrigins(origins={7: NEW}))[lookup].origin == NEW


def make_reporter() -> OriginReporter:
    return OriginReporter(None, lambda: (), dict, lambda *_stored: None, 0.02)  # type: ignore[arg-type]


def test_a_full_queue_takes_the_later_origin_of_a_stream() -> None:
    reporter = make_reporter()
    reporter.report(dict.fromkeys(range(MAX_WAITING), NEW))
    reporter.report({7: OLD})
    assert reporter._waiting[7] == OLD


def test_a_caller_that_goes_away_does_not_break_the_recording_of_another(
    stack: ExitStack,
) -> None:
    """Two attempts of one stream wait; the first one's caller disconnects."""

    async def run() -> None:
        controls = [SilentControl(stack), SilentControl(stack)]
        gateway = Gateway(stack, controls)  # type: ignore[arg-type]
        first = asyncio.ensure_future(gateway.record(7, NEW))
        second = asyncio.ensure_future(gateway.record(7, NEW))
        await asyncio.sleep(0.05)
        first.cancel()
        await asyncio.sleep(0.05)
        for address in ("a:1", "b:1"):
            gateway.client._stored(address, [7], OriginsStored(incarnation=1))
        assert await second
        assert gateway.client.is_recording

    asyncio.run(run())


class FailingOnce:
    """An RPC client of which the first call raises."""

    def __init__(self) -> None:
        self.calls = 0

    def call(self, *_arguments: object, **_options: object) -> FoundOrigins:
        self.calls += 1
        if self.calls == 1:
            raise OSError("too many open files")
        return FoundOrigins(origins={8: NEW})


def test_a_question_that_ends_with_an_error_is_not_the_last_one() -> None:
    async def run() -> None:
        finder = OriginFinder(FailingOnce(), lambda: ["a:1"])  # type: ignore[arg-type]
        assert (await finder.find(7, SERVICE, FIND_TIMEOUT_S)).origin is None
        assert (await finder.find(8, SERVICE, FIND_TIMEOUT_S)).origin == NEW
        finder.stop()

    asyncio.run(run())


@pytest.mark.parametrize("silent", [1, 2, 3])
def test_reporters_whose_control_processes_are_silent_use_different_ones_of_the_others(
    silent: int,
) -> None:
    """An origin is recorded once two different ones have stored it."""
    controls = [member(number, "abc"[number % 3]) for number in range(6)]
    for gateway in (f"front-{number}" for number in range(20)):
        ranked = [rank_holders(gateway, controls, number) for number in range(HOLDERS)]
        avoided = {order[0] for order in ranked[:silent]}
        used = {next(item for item in order if item not in avoided) for order in ranked}
        assert len(used) == HOLDERS, gateway


class KnowsTheBase(Recording):
    """A directory in which nobody knows the stream, and all vouch for the base version."""

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        return Resumption(OLD, OriginSource.BASE_VERSION, answered=3, asked=3)


def test_a_caller_that_names_no_attempt_is_not_taken_for_one_of_the_base_version(
    stack: ExitStack,
) -> None:
    """What began its stream is recorded under an id that it does not tell."""
    runners = start_runners(stack, "v1", "v1.1")
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], KnowsTheBase()))
    know(proxy, runners)
    reply = proxy.ask(RESUMABLE, Leverjunction_Request_Id="again", Last_Event_Id="2")
    assert reply.status == 503
    assert not any(runner.seen for runner in runners)
