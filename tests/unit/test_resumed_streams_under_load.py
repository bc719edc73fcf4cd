"""Tests that resumed streams go on under load: only the back ends of one version may run them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from contextlib import ExitStack
from random import Random

import msgspec
import pytest
from tests.unit.proxy_support import Proxy
from tests.unit.resumed_load_support import Play, Shares, shares
from tests.unit.test_proxy_contract import RESUMABLE
from tests.unit.test_proxy_versions import CUT, NEW, OLD, know, start_proxy, start_runners

from leverjunction.proxy.admission import AdmissionQueue, Decision, LoadEstimate, Ticket
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_request import CallerRequest
from leverjunction.proxy.dialect import EngineLoad, RequestMetadata
from leverjunction.proxy.prompt import Prompt
from leverjunction.proxy.routed_request import RoutedRequest
from leverjunction.registry.origins import StreamOrigin
from leverjunction.registry.records import RunnerRecord
from leverjunction.routes import RouteClass
from testbed.routed import RawReply, RunnerStandIn, make_route

NOW_S = 100.0
SLOTS = 8
RUN_S = 1.0
DECLINED = "not run"

OLD_ALONE = ("v1",) * 6
EVEN = ("v1", "v1", "v1", "v2", "v2", "v2")
TWO_OF_SIX = ("v1", "v1", "v2", "v2", "v2", "v2")


def estimate(queue: float, backlog: float = 0.0) -> LoadEstimate:
    return LoadEstimate(queue, SLOTS, RUN_S, backlog, SLOTS)


def new(rank: tuple[int, int] = (0, 0), target_in_s: float = 0.3) -> Ticket:
    return Ticket(NOW_S, NOW_S + target_in_s, NOW_S + 2.0, 0.05, rank)


def resumed(rank: tuple[int, int] = (0, 0), version: str = OLD) -> Ticket:
    return Ticket(NOW_S, NOW_S + 0.5, NOW_S + 2.0, 0.05, rank, version=version)


@pytest.fixture
def stack() -> Iterator[ExitStack]:
    with ExitStack() as entered:
        yield entered


def two_versions(old_load: int, new_load: int, run_s: float | None = RUN_S) -> Balancer:
    """Return the balancer of a service with a back end of each version."""
    balancer = Balancer("z", Random(1))
    balancer.replace(
        RunnerRecord(
            runner_id=version, service="s", address="a:1", zone="z", slots=SLOTS, version=version
        )
        for version in (OLD, NEW)
    )
    if run_s is not None:
        balancer.record_run("s", run_s)
    for runner in balancer.available("s"):
        load = old_load if runner.record.version == OLD else new_load
        runner.report_load(EngineLoad(min(load, SLOTS), max(0, load - SLOTS), SLOTS), NOW_S)
    return balancer


def test_the_load_for_a_resumed_stream_is_that_of_its_versions_back_ends() -> None:
    balancer = two_versions(old_load=14, new_load=1)
    loads = [balancer.estimate_load("s", NOW_S, version) for version in (None, OLD, NEW)]
    assert [load.queue for load in loads if load is not None] == [-6, 7, -6]
    assert [load.capacity for load in loads if load is not None] == [16, 8, 8]


def test_a_resumed_stream_is_sent_before_new_requests_of_its_rank() -> None:
    queue = AdmissionQueue(NOW_S)
    tickets = [new(target_in_s=0.1), new(), resumed()]
    for ticket in tickets:
        assert queue.admit(ticket, estimate(18), NOW_S) is Decision.HOLD
    assert queue.pop_next(estimate(0), NOW_S) is tickets[2]
    assert queue.pop_next(estimate(0), NOW_S) is tickets[0]


def test_a_request_of_a_higher_rank_is_sent_before_a_resumed_stream() -> None:
    queue = AdmissionQueue(NOW_S)
    tickets = [resumed(rank=(0, 1)), new(rank=(0, 0))]
    for ticket in tickets:
        assert queue.admit(ticket, estimate(18), NOW_S) is Decision.HOLD
    assert queue.pop_next(estimate(0), NOW_S) is tickets[1]


def test_a_resumed_stream_joins_a_queue_in_which_new_requests_would_be_late() -> None:
    queue = AdmissionQueue(NOW_S)
    assert queue.admit(new(), estimate(9), NOW_S) is Decision.HOLD
    assert queue.admit(resumed(), estimate(9), NOW_S) is Decision.SEND


def test_a_resumed_stream_is_not_refused_for_lack_of_a_lull() -> None:
    """Symptom: "no back end can answer in time; 0 requests are held", 1 ms after it came."""
    queue = AdmissionQueue(NOW_S - 10.0)
    assert queue.admit(new(), estimate(9), NOW_S) is Decision.REFUSE
    assert queue.admit(resumed(), estimate(18), NOW_S) is Decision.HOLD
    assert queue.admit(resumed(), estimate(40, backlog=40), NOW_S) is Decision.REFUSE


def test_a_stream_of_a_full_version_does_not_keep_others_from_free_back_ends() -> None:
    loads = {None: estimate(-3), NEW: estimate(-3), OLD: estimate(30)}
    queue = AdmissionQueue(NOW_S)
    tickets = [resumed(version=OLD), new(), resumed(version=NEW)]
    for ticket in tickets:
        assert queue.admit(ticket, estimate(18), NOW_S) is Decision.HOLD
    popped = [
        queue.pop_next(loads[None], NOW_S, estimate_of=lambda ticket: loads[ticket.version])
        for _ in tickets
    ]
    assert popped == [tickets[2], tickets[1], None]


def test_without_resumed_streams_decisions_are_as_before() -> None:
    """The digest is that of the decisions before resumed streams were told apart."""
    random = Random(72)
    queue, now_s, decisions = AdmissionQueue(0.0), 0.0, list[str]()
    for number in range(4000):
        now_s += random.expovariate(60)
        load = random.choice([None, *[estimate(random.uniform(-4, 14)) for _ in range(9)]])
        ticket = Ticket(
            now_s,
            now_s + random.uniform(0.1, 0.6),
            now_s + random.uniform(0.7, 3.0),
            0.05,
            (random.randrange(2), random.randrange(3)),
            content=lambda number=number: str(number),  # type: ignore[misc]
        )
        decisions.append(queue.admit(ticket, load, now_s).value)
        decisions += [f"expired {each.content()}" for each in queue.pop_expired(now_s)]
        sent = queue.pop_next(load, now_s)
        decisions.append("none" if sent is None else sent.content())
    assert {"send", "hold", "refuse"} <= set(decisions)
    digest = hashlib.sha256(" ".join(decisions).encode()).hexdigest()
    assert digest[:16] == "43169244c3773aa5"


def test_a_gateway_that_has_just_started_does_not_send_all_that_comes_back_at_once() -> None:
    """Symptom: all callers of a killed gateway came back, and were sent on before any load was
    known: the back ends read prompts of new streams while resumed ones waited behind them.
    """
    balancer = Balancer("z", Random(1))
    balancer.replace(
        RunnerRecord(
            runner_id=version, service="s", address="a:1", zone="z", slots=SLOTS, version=version
        )
        for version in (OLD, NEW)
    )
    runners = balancer.available("s")
    queue = AdmissionQueue(NOW_S)
    for runner in runners:
        assert queue.admit(new(), balancer.estimate_load("s", NOW_S), NOW_S) is Decision.SEND
        runner.own_requests += 1
        runner.pending_prefill_ms += 200.0
    assert queue.admit(new(), balancer.estimate_load("s", NOW_S), NOW_S) is Decision.HOLD
    load = balancer.estimate_load("s", NOW_S, OLD)
    assert queue.admit(resumed(), load, NOW_S) is Decision.SEND
    runners[0].pending_prefill_ms = 0.0
    runners[0].report_load(EngineLoad(1, 0, SLOTS), NOW_S)
    assert queue.pop_next(balancer.estimate_load("s", NOW_S), NOW_S) is not None


def test_a_service_whose_back_ends_tell_no_load_is_sent_requests_once_one_has_finished() -> None:
    balancer = Balancer("z", Random(1))
    balancer.replace([RunnerRecord(runner_id="i", service="s", address="a:1", zone="z", slots=8)])
    balancer.available("s")[0].pending_prefill_ms = 200.0
    assert balancer.estimate_load("s", NOW_S) is not None
    balancer.record_run("s", RUN_S)
    assert balancer.estimate_load("s", NOW_S) is None


def ask(proxy: Proxy, **headers: str) -> RawReply:
    own = {"Host": "app.example", "Leverjunction-Deadline-Ms": "2000"}
    caller = proxy.caller()
    try:
        return caller.ask("POST", RESUMABLE, {**own, **headers})
    finally:
        caller.close()


def break_stream(stack: ExitStack) -> tuple[Proxy, RunnerStandIn, RunnerStandIn]:
    """Return a proxy whose stream broke at the first of two back ends of different versions."""
    old, newer = start_runners(stack, OLD, NEW)
    proxy = start_proxy(stack, [old])
    old.then(CUT, CUT)
    ask(proxy, **{"Leverjunction-Request-Id": "first"})
    know(proxy, [old, newer])
    return proxy, old, newer


def resume(proxy: Proxy) -> RawReply:
    return ask(
        proxy,
        **{"Leverjunction-Request-Id": "again", "Last-Event-Id": "2", "Resumes": "first"},
    )


def test_a_resumed_stream_goes_on_though_its_versions_back_ends_are_full_at_first(
    stack: ExitStack,
) -> None:
    proxy, old, newer = break_stream(stack)
    old.then(*[DECLINED] * 6)
    reply = resume(proxy)
    assert (reply.status, reply.complete) == (200, True)
    assert not newer.seen


MOST_SENDS = 32
"""Sends of one stream within its 2 s."""


def test_a_resumed_stream_that_is_always_declined_is_not_sent_again_and_again(
    stack: ExitStack,
) -> None:
    """Its back end reports a load that does not tell why it declines."""
    proxy, old, _newer = break_stream(stack)
    old.then(*[DECLINED] * 400)
    before = len(old.seen)
    reply = resume(proxy)
    assert reply.status == 503
    assert 2 <= len(old.seen) - before <= MOST_SENDS


def keeps_promise(play: Shares) -> bool:
    """Return whether resumed streams go on at least half as often as new ones begin."""
    return play.resumed < 12 or play.went_on >= play.began / 2


@pytest.mark.parametrize("versions", [EVEN, TWO_OF_SIX, OLD_ALONE], ids=["even", "two", "one"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_resumed_streams_go_on_at_least_half_as_often_as_new_ones_begin(
    versions: tuple[str, ...], seed: int
) -> None:
    play = shares(Play(overload=2.5, versions=versions, seed=seed))
    assert play.resumed >= 12
    assert keeps_promise(play), play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_play_tells_gateways_that_take_resumed_streams_for_new_ones(seed: int) -> None:
    play = Play(overload=4.0, versions=TWO_OF_SIX, seed=seed)
    aware, blind = shares(play), shares(msgspec.structs.replace(play, by_version=False))
    assert keeps_promise(aware)
    assert blind.went_on < aware.went_on / 2, blind


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_play_finds_gateways_that_refuse_most_resumed_streams(seed: int) -> None:
    play = shares(Play(overload=4.0, versions=TWO_OF_SIX, refuses_resumed=0.95, seed=seed))
    assert not keeps_promise(play), play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_resumed_streams_go_on_where_memory_is_short_before_slots(seed: int) -> None:
    """Symptom: prompts of 17,000 tokens waited for memory beside free slots, and streams that went
    to such a back end had no event until their callers left.
    """
    play = shares(Play(overload=1.5, told_slots=2 * SLOTS - 1, seed=seed))
    assert keeps_promise(play), play
    assert play.began >= 0.75, play


@pytest.mark.parametrize("versions", [EVEN, TWO_OF_SIX], ids=["even", "two"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_resumed_stream_is_not_refused_by_an_assumed_run_time(
    versions: tuple[str, ...], seed: int
) -> None:
    """Symptom: refused 1 ms after it came to a gateway that had just started, with 1 s left."""
    short = {"left_s": (0.3, 1.6), "run_s": 0.4, "read_s": (0.005, 0.05)}
    play = shares(Play(overload=2.5, versions=versions, seed=seed, **short))  # type: ignore[arg-type]
    assert play.resumed >= 12
    assert play.unjudged == 0, play
    assert keeps_promise(play), play


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_resumed_streams_that_return_together_are_not_begun_in_vain(seed: int) -> None:
    """Symptom: all broken streams of a version were sent to its last back ends, which read their
    prompts in turns, had no event for any until the callers left, and began anew at each try.

    The three back ends left can read half of these prompts in a third of the callers' 6 s.
    """
    play = shares(
        Play(
            overload=0.22,
            versions=("v1",) * 6 + ("v2",) * 4,
            slots=19,
            lost=3,
            run_s=4.0,
            read_s=(0.2, 0.3),
            patience_s=1.5,
            seed=seed,
        )
    )
    assert play.resumed >= 12
    assert keeps_promise(play), play


@pytest.mark.parametrize(
    ("run_s", "expected"),
    [(None, Decision.SEND), (RUN_S, Decision.REFUSE)],
    ids=["assumed", "known"],
)
def test_a_resumed_stream_joins_a_queue_of_unknown_wait(
    run_s: float | None, expected: Decision
) -> None:
    load = two_versions(14, 14, run_s).estimate_load("s", NOW_S, OLD)
    assert load is not None
    assert load.wait_s > 0.5
    stream = Ticket(NOW_S, NOW_S + 0.5, NOW_S + 0.6, 0.05, version=OLD)
    assert AdmissionQueue(NOW_S).admit(stream, load, NOW_S) is expected
    assert AdmissionQueue(NOW_S).admit(new(), load, NOW_S) is Decision.HOLD


def loaded(versions: tuple[str, ...], *loads: EngineLoad) -> Balancer:
    """Return a balancer whose back ends have just told these loads."""
    balancer = Balancer("z", Random(1))
    balancer.replace(
        RunnerRecord(
            runner_id=f"i{n}", service="s", address="a:1", zone="z", slots=19, version=version
        )
        for n, version in enumerate(versions)
    )
    balancer.record_run("s", RUN_S)
    for runner, load in zip(balancer.available("s"), loads, strict=True):
        runner.report_load(load, NOW_S)
    return balancer


SHORT_OF_MEMORY = EngineLoad(running=10, waiting=5, slots=19)


def test_beside_a_second_version_requests_that_wait_for_memory_are_a_queue() -> None:
    balancer = loaded((OLD, NEW), SHORT_OF_MEMORY, SHORT_OF_MEMORY)
    for version in (None, OLD):
        load = balancer.estimate_load("s", NOW_S, version)
        assert load is not None
        assert (load.queue, load.slots) == (6, 10)


def test_with_one_version_the_load_for_new_requests_is_as_before() -> None:
    balancer = loaded((OLD, OLD), SHORT_OF_MEMORY, SHORT_OF_MEMORY)
    load = balancer.estimate_load("s", NOW_S)
    assert load is not None
    assert (load.queue, load.slots) == (-3, 19)


def test_a_resumed_stream_goes_where_none_waits_for_memory() -> None:
    calm = EngineLoad(running=16, waiting=0, slots=19)
    balancer = loaded((OLD, OLD, NEW), SHORT_OF_MEMORY, calm, calm)
    chosen = [balancer.choose("s", Prompt((), 500), (), NOW_S, OLD) for _ in range(20)]
    assert {choice.runner.record.runner_id for choice in chosen if choice is not None} == {"i1"}


def test_late_heads_of_other_streams_do_not_have_a_resumed_one_refused() -> None:
    """Symptom: refused 31 ms after it came, with no request held, and 1 s left: recent heads had
    taken that long.
    """
    route = make_route(RouteClass.STREAM)
    metadata = RequestMetadata(tokens_in=8500)
    caller = CallerRequest(b"POST", b"/streaming/x", [], b"", 0.0)
    routed = RoutedRequest(caller, metadata, route, "s", 1, 2.0)
    assert routed.head_latency_s(1.1) == 1.1
    routed.origin = StreamOrigin("s", OLD)
    assert routed.head_latency_s(1.1) == pytest.approx(0.1, rel=0.2)
    assert routed.head_latency_s(0.02) == 0.02
