"""Tests that a stream holds the events of one version of the back ends' software only."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from tests.unit.proxy_support import Proxy
from tests.unit.test_proxy_contract import (
    RESUMABLE,
    WHOLE_STREAM,
    make_full_table,
    wait_until,
)

from leverjunction.registry.origins import OriginSource, Resumption, StreamOrigin
from leverjunction.registry.version_leases import CONTROL_LEASE_S, SharedRevisions
from testbed.routed import SERVICE, RunnerStandIn

OLD, NEW = "v1", "v1.1"
CUT = "stream cut in an event"


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


def start_runners(stack: ExitStack, *versions: str) -> list[RunnerStandIn]:
    return [
        stack.enter_context(RunnerStandIn(f"i-{number}", "stream", version=version))
        for number, version in enumerate(versions)
    ]


def start_proxy(stack: ExitStack, runners: list[RunnerStandIn]) -> Proxy:
    proxy = stack.enter_context(Proxy(make_full_table(), runners))
    return proxy


def know(proxy: Proxy, runners: list[RunnerStandIn]) -> None:
    """Have a proxy know these back ends from now on."""
    known: list[bool] = []

    def replace() -> None:
        proxy.replace_runners(runners)
        known.append(True)

    proxy.call(replace)
    assert wait_until(lambda: bool(known))


def versions_of(runners: list[RunnerStandIn], request_id: str) -> set[str]:
    """Return the versions that ran a request, given by the id that the back ends saw."""
    return {
        runner.version
        for runner in runners
        for seen in runner.seen
        if seen.headers["leverjunction-request-id"] == request_id
    }


def test_a_broken_stream_does_not_go_on_at_another_version_in_the_same_answer(
    stack: ExitStack,
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, runners)
    for runner in runners:
        runner.then(CUT)
    assert proxy.ask(RESUMABLE).status == 200
    assert len(versions_of(runners, "r1")) == 1


def test_a_broken_stream_goes_on_at_a_back_end_of_its_own_version(stack: ExitStack) -> None:
    runners = start_runners(stack, OLD, OLD, NEW, NEW)
    proxy = start_proxy(stack, runners)
    for number in range(6):
        for runner in runners:
            runner._next.clear()
            runner.then(CUT)
        # Whoever gets the first run cuts it; a second one at another back end would be cut too.
        request_id = f"r{number}"
        caller = proxy.caller()
        reply = caller.ask(
            "POST",
            RESUMABLE,
            {
                "Host": "app.example",
                "Leverjunction-Request-Id": request_id,
                "Leverjunction-Deadline-Ms": "2000",
            },
        )
        caller.close()
        assert reply.status == 200
        assert len(versions_of(runners, request_id)) == 1, request_id


def test_a_stream_without_any_event_begins_anew_at_any_version(stack: ExitStack) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, runners)
    for runner in runners:
        runner.then("no answer")
    runners[0].then("stream")
    runners[1]._next.clear()
    runners[1].then("stream")
    reply = proxy.ask(RESUMABLE)
    assert (reply.status, reply.body, reply.complete) == (200, WHOLE_STREAM, True)


def test_a_stream_taken_up_again_goes_on_at_its_version_only(stack: ExitStack) -> None:
    """The first gateway still knows it."""
    old, new = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, [old])
    old.then(CUT, CUT)
    assert not proxy.ask(RESUMABLE, Leverjunction_Request_Id="first").complete
    know(proxy, [old, new])
    for number in range(8):
        reply = proxy.ask(
            RESUMABLE,
            Leverjunction_Request_Id=f"again-{number}",
            Resumes="first",
            Last_Event_Id="2",
        )
        assert (reply.status, reply.complete) == (200, True)
    assert not new.seen


def test_a_stream_of_whose_version_nothing_is_left_is_refused_for_good(stack: ExitStack) -> None:
    old, new = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, [old])
    old.then(CUT, CUT)
    assert not proxy.ask(RESUMABLE, Leverjunction_Request_Id="first").complete
    know(proxy, [new])
    reply = proxy.ask(
        RESUMABLE,
        Leverjunction_Request_Id="again",
        Resumes="first",
        Last_Event_Id="2",
    )
    assert reply.status == 503
    assert "retry-after" not in reply.headers
    assert not new.seen


@pytest.mark.parametrize("resumes", ["", "of-nobody", "x" * 4096, '"\\u0000'])
def test_a_stream_of_unknown_origin_is_refused_while_several_versions_serve(
    stack: ExitStack, resumes: str
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, runners)
    reply = proxy.ask(RESUMABLE, Resumes=resumes, Last_Event_Id="2")
    assert reply.status == 503
    assert not any(runner.seen for runner in runners)


def test_a_stream_of_unknown_origin_goes_on_where_there_is_one_version(stack: ExitStack) -> None:
    runners = start_runners(stack, OLD, OLD)
    proxy = start_proxy(stack, runners)
    reply = proxy.ask(RESUMABLE, Resumes="of-nobody", Last_Event_Id="2")
    assert (reply.status, reply.complete) == (200, True)


def test_a_version_that_has_just_ended_may_have_begun_a_stream(stack: ExitStack) -> None:
    old, new = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, [old, new])
    know(proxy, [new])
    reply = proxy.ask(RESUMABLE, Resumes="of-nobody", Last_Event_Id="2")
    assert reply.status == 503


def test_an_attempt_of_another_path_tells_nothing_of_a_stream(stack: ExitStack) -> None:
    old, new = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, [old, new])
    assert proxy.ask(RESUMABLE, Leverjunction_Request_Id="first").complete
    reply = proxy.ask(
        RESUMABLE + "other",
        Leverjunction_Request_Id="again",
        Resumes="first",
        Last_Event_Id="2",
    )
    assert reply.status == 503


def test_a_gateway_that_is_cut_off_does_not_take_the_version_it_knows_for_the_only_one(
    stack: ExitStack,
) -> None:
    runners = start_runners(stack, OLD, OLD)
    proxy = start_proxy(stack, runners)
    for age_s, status in ((1.9, 200), (2.1, 503)):
        proxy.table_age_s = age_s
        reply = proxy.ask(RESUMABLE, Resumes=f"nobody-{age_s}", Last_Event_Id="2")
        assert reply.status == status


class Answering:
    """A directory that gives one answer to every question."""

    def __init__(self, source: OriginSource) -> None:
        self._answer = Resumption(None, source, answered=2, asked=3)

    is_recording = True
    told_bases: dict[str, str] = {}

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        pass

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        return True

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        return self._answer


@pytest.mark.parametrize("source", [OriginSource.NO_ANSWER, OriginSource.NOBODY_KNOWS])
def test_only_a_question_that_was_not_answered_is_worth_another_try(
    stack: ExitStack, source: OriginSource
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners, Answering(source)))
    reply = proxy.ask(RESUMABLE, Resumes="first", Last_Event_Id="2")
    assert reply.status == 503
    assert ("retry-after" in reply.headers) == (source is OriginSource.NO_ANSWER)
    assert not any(runner.seen for runner in runners)


@pytest.mark.parametrize(
    ("source", "status", "is_worth_a_retry"),
    [
        (OriginSource.NO_ANSWER, 503, True),
        (OriginSource.RESTARTED, 503, False),
        (OriginSource.NOBODY_KNOWS, 503, False),
        (OriginSource.BASE_VERSION, 503, False),
    ],
)
def test_a_caller_that_names_no_attempt_is_refused_for_good_once_all_have_answered(
    stack: ExitStack, source: OriginSource, status: int, is_worth_a_retry: bool
) -> None:
    """Only a control process that knows a single version can help it."""
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners, Answering(source)))
    reply = proxy.ask(RESUMABLE, Last_Event_Id="2")
    assert reply.status == status
    assert ("retry-after" in reply.headers) == is_worth_a_retry
    assert not any(runner.seen for runner in runners)


VIEW_AGE_S = 2.1
"""Longer than the age up to which the proxy trusts its view."""


class Recording:
    """A directory that records after a time, or not at all."""

    def __init__(self, delay_s: float = 0.0, *, is_recording: bool = True) -> None:
        self._delay_s = delay_s
        self.is_recording = is_recording
        self.told_bases: dict[str, str] = {}
        self.will_record = True
        self.recorded: list[StreamOrigin] = []

    def report(self, streams: dict[int, StreamOrigin]) -> None:
        pass

    async def record(self, stream: int, origin: StreamOrigin) -> bool:
        await asyncio.sleep(self._delay_s)
        self.recorded.append(origin)
        self.is_recording = self.is_recording and self.will_record
        return self.will_record

    async def find(self, stream: int, service: str, timeout_s: float) -> Resumption:
        return Resumption(None, OriginSource.NO_ANSWER)


def start_with_base(stack: ExitStack, directory: Recording) -> tuple[Proxy, list[RunnerStandIn]]:
    """Return a proxy that saw the old version alone, and a back end of each version."""
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], directory))
    know(proxy, runners)
    time.sleep(VIEW_AGE_S)
    return proxy, runners


def test_no_event_of_a_newer_version_is_sent_before_its_origin_is_recorded(
    stack: ExitStack,
) -> None:
    directory = Recording(delay_s=0.2)
    proxy, (_, new) = start_with_base(stack, directory)
    times: dict[str, float] = {}
    for number in range(10):
        began_s = time.monotonic()
        name = f"r{number}"
        reply = proxy.ask(RESUMABLE, Leverjunction_Request_Id=name)
        assert (reply.body, reply.complete) == (WHOLE_STREAM, True)
        times[name] = time.monotonic() - began_s
    at_new = {seen.headers["leverjunction-request-id"] for seen in new.seen}
    assert 0 < len(at_new) < 10
    assert all((taken_s >= 0.2) == (name in at_new) for name, taken_s in times.items())
    assert directory.recorded == [StreamOrigin(SERVICE, NEW)] * len(at_new)


def test_streams_begin_at_the_base_version_while_origins_are_not_recorded(
    stack: ExitStack,
) -> None:
    proxy, (_, new) = start_with_base(stack, Recording(is_recording=False))
    for number in range(10):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"r{number}").complete
    assert not new.seen


def test_a_stream_whose_origin_is_not_recorded_sends_no_event(stack: ExitStack) -> None:
    """The next ones begin at the base version."""
    directory = Recording()
    directory.will_record = False
    proxy, (_, new) = start_with_base(stack, directory)
    replies = [proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"r{item}") for item in range(10)]
    refused = [reply for reply in replies if reply.status != 200]
    assert [reply.status for reply in refused] == [502]
    assert len(new.seen) == 1
    assert all(reply.body == WHOLE_STREAM for reply in replies if reply.status == 200)


def test_a_gateway_that_has_just_started_begins_streams_at_the_base_version_it_is_told(
    stack: ExitStack,
) -> None:
    directory = Recording(is_recording=False)
    directory.told_bases = {SERVICE: OLD}
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners, directory))
    for number in range(10):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"r{number}").complete
    assert not runners[1].seen


def test_streams_begin_at_a_version_that_all_gateways_know(stack: ExitStack) -> None:
    """Another gateway may not have heard of the second version, and take the first for the only."""
    runners = start_runners(stack, OLD, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:2], Recording()))
    know(proxy, runners)
    for number in range(10):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"early-{number}").complete
    assert not runners[2].seen
    time.sleep(VIEW_AGE_S)
    for number in range(20):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"late-{number}").complete
    assert runners[2].seen


ALL_KNOW = SharedRevisions(controls=0, gateways=0, are_held=True)


def fill(proxy: Proxy, runner: RunnerStandIn) -> None:
    """Have a proxy know that all slots of a back end are taken."""
    known: list[bool] = []

    def replace() -> None:
        now_s = asyncio.get_running_loop().time()
        proxy.balancer.set_other_loads({runner.runner_id: 8}, now_s)
        known.append(True)

    proxy.call(replace)
    assert wait_until(lambda: bool(known))


def test_a_version_with_few_back_ends_left_does_not_take_all_streams(stack: ExitStack) -> None:
    runners = start_runners(stack, OLD, NEW, NEW, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    proxy.shared = ALL_KNOW
    know(proxy, runners)
    for number in range(20):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"r{number}").complete
    assert any(runner.seen for runner in runners[1:])


def test_new_streams_do_not_wait_for_a_full_version_while_another_is_free(
    stack: ExitStack,
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    proxy.shared = ALL_KNOW
    know(proxy, runners)
    fill(proxy, runners[0])
    assert proxy.ask(RESUMABLE).complete
    assert runners[1].seen
    assert not runners[0].seen


def test_no_stream_is_joined_by_a_gateway_that_missed_a_version_of_most_back_ends(
    stack: ExitStack,
) -> None:
    """It would take a stream of the new version for one of the version that it knows."""
    runners = start_runners(stack, OLD, NEW, NEW, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    know(proxy, runners)
    for number in range(20):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"r{number}").complete
    assert not any(runner.seen for runner in runners[1:])


def test_no_stream_is_joined_by_a_gateway_that_missed_a_version_while_the_other_is_full(
    stack: ExitStack,
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    know(proxy, runners)
    fill(proxy, runners[0])
    proxy.ask(RESUMABLE)
    assert not runners[1].seen


def test_no_stream_is_joined_by_a_gateway_that_missed_a_version_after_a_failed_attempt(
    stack: ExitStack,
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    know(proxy, runners)
    runners[0].then("no answer")
    proxy.ask(RESUMABLE)
    assert not runners[1].seen


def test_a_version_is_used_at_once_where_no_back_end_of_the_former_one_is_left(
    stack: ExitStack,
) -> None:
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    know(proxy, runners[1:])
    assert proxy.ask(RESUMABLE).complete


def test_a_version_that_a_control_process_may_not_know_is_held_back_for_its_lease(
    stack: ExitStack,
) -> None:
    """That process tells gateways that the former version is the only one."""
    runners = start_runners(stack, OLD, NEW)
    proxy = stack.enter_context(Proxy(make_full_table(), runners[:1], Recording()))
    proxy.shared = SharedRevisions()
    know(proxy, runners)
    time.sleep(VIEW_AGE_S)
    for number in range(10):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"held-{number}").complete
    assert not runners[1].seen
    time.sleep(CONTROL_LEASE_S - VIEW_AGE_S)
    for number in range(10):
        assert proxy.ask(RESUMABLE, Leverjunction_Request_Id=f"used-{number}").complete
    assert runners[1].seen
