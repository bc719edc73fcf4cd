"""Limits of crashes by batch items: orders of events in which they hold too much or too little."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from msgspec import structs
from tests.unit.test_lots_isolation import begin, item, lose, play, record, request, watch

from leverjunction.lots.crash_limits import (
    ALONE_CRASHES,
    APART_CRASHES,
    MAX_ORIGIN_CRASHES,
    SOUND_PER_RUN,
    WINDOW_S,
    CrashLimits,
    Origin,
    Suspicion,
)
from leverjunction.lots.crash_rates import RATE_WINDOW_S, CrashRates
from leverjunction.lots.isolation import STRONG_IDLE_PATIENCE_S, Isolation
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.load_watch import LoadWatch
from leverjunction.lots.placement import Placement
from leverjunction.lots.runner import LotsRunner
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.admission import AdmissionQueue, Decision, Ticket
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_request import request_content
from leverjunction.proxy.quarantine import Quarantine
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.quarantine.crash_detector import PROOF_TIMEOUT_S
from leverjunction.quarantine.prompt_parts import part_key
from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import request_key
from leverjunction.registry.follower import Snapshot
from leverjunction.registry.records import FleetView, RunnerState
from leverjunction.routes import RouteClass
from testbed.routed import SERVICE, make_route, make_table

LOT: tuple[Origin, ...] = (("lot", "lot"),)
OTHER: tuple[Origin, ...] = (("lot", "other"),)
SOUND = Suspicion()
MAX_REST_S = 20.0


def crash_alone(isolation: Isolation, run: ItemRun, number: int, ago_s: float = 0.0) -> None:
    """Crash a back end in an item's run apart, and move the times of the crash to the past."""
    begin(isolation, run, record(number).start, Placement.APART)
    lose(isolation, run, record(number))
    run.task = None
    isolation.update()
    run.crashed_s -= ago_s
    limits = isolation._limits
    for times in (limits._crashed_s, limits._strong_crashed_s):
        for key in times:
            times[key] -= ago_s


def pass_time(isolation: Isolation, seconds: float) -> None:
    for apart in isolation._apart.values():
        apart.started_s -= seconds
    for unproven in isolation._unproven._runs.values():
        unproven.started_s -= seconds
    isolation.update()


# Strong suspects that take turns


def test_a_strong_suspect_without_a_back_end_holds_none_of_another_service_back() -> None:
    """Only the first of them in the ranking may run; it may wait for a back end for ever."""

    async def scenario() -> None:
        isolation = Isolation(None)
        loads = watch(9)
        stuck, other = item("stuck", "lot-a"), item("other", "lot-b")
        crash_alone(isolation, stuck, 1, ago_s=50.0)
        crash_alone(isolation, other, 2, ago_s=40.0)
        placed = False
        for _ in range(20):
            isolation.rank_suspects([stuck, other])
            if isolation.placement(stuck) is Placement.APART:
                assert isolation.pick_runner(stuck, "service without back ends", loads) is None
            if isolation.placement(other) is Placement.APART:
                placed |= isolation.pick_runner(other, SERVICE, loads) is not None
            isolation.update()
        assert placed, "held in each of 20 rankings, with nine idle back ends"

    play(scenario)


def test_a_request_that_no_crash_counts_against_is_no_strong_suspect() -> None:
    """A twin's complete response, or expiry, clears the request but not the mark of the item."""
    assert not Suspicion("k", 0, crashed_alone=True).is_strong


def test_an_item_whose_request_was_cleared_takes_no_turn() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        cleared, bad = item("cleared", "lot-a"), item("bad", "lot-b")
        crash_alone(isolation, cleared, 1, ago_s=50.0)
        crash_alone(isolation, bad, 2, ago_s=40.0)
        # The same request got a complete response in another lot, so nothing counts against it.
        isolation.quarantine.answered(request(cleared, b"cleared"))
        assert isolation.placement(cleared) is Placement.SHARED
        isolation.rank_suspects([cleared, bad])
        assert isolation.placement(bad) is Placement.APART

    play(scenario)


def test_a_strong_suspect_keeps_its_time_of_waiting_while_others_crash() -> None:
    """Its service has no idle back end; those of another one crash more often than it waits."""

    async def scenario() -> None:
        isolation = Isolation(None)
        loads = watch(3, lambda _: 3)
        run = item("waits")
        crash_alone(isolation, run, 1, ago_s=40.0)
        placed = False
        for number in range(8):
            isolation.rank_suspects([run])
            assert isolation.placement(run) is Placement.APART
            placed |= isolation.pick_runner(run, SERVICE, loads) is not None
            # Seven seconds later, an item of another lot crashes a back end for the first time.
            if run.wants_idle_s is not None:
                run.wants_idle_s -= 7.0
            crash_alone(isolation, item(f"new-{number}", f"lot-{number}"), 10 + number)
            isolation.placement(run)
            for start in isolation._limits._strong_crashed_s:
                isolation._limits._strong_crashed_s[start] -= 6.0
            isolation.update()
        assert placed, f"no back end in 56 s, with a patience of {STRONG_IDLE_PATIENCE_S:.0f} s"

    play(scenario)


# Runs apart without any output


def test_a_lot_with_few_crashes_left_risks_them_only_where_nothing_else_runs() -> None:
    """Guards against a lot that is never held, since each of its crashes happens beside others."""

    async def scenario() -> None:
        isolation = Isolation(None)
        loads = watch(2, lambda _: 5)  # five online requests at each back end
        runs = [item(f"bad-{number}") for number in range(ALONE_CRASHES)]
        for number, run in enumerate(runs):
            begin(isolation, run, record(number).start, Placement.SHARED, other_requests=5)
            lose(isolation, run, record(number))
            run.task = None
        suspect = runs[0]
        suspect.placement = Placement.APART
        assert isolation.pick_runner(suspect, SERVICE, loads) is None
        assert suspect.wants_idle_s is not None
        suspect.wants_idle_s -= WINDOW_S
        assert isolation.pick_runner(suspect, SERVICE, loads) is None

    play(scenario)


def test_items_that_crash_after_a_silent_second_are_held_like_those_that_crash_at_once() -> None:
    """A long prompt, or a queue at a busy back end, comes before the first output."""

    async def scenario() -> None:
        isolation = Isolation(None)
        sent = 0
        for number in range(20):
            run = item(f"bad-{number}")
            placement = isolation.placement(run)
            if placement is Placement.HELD:
                break
            begin(isolation, run, record(number).start, placement)
            sent += 1
            pass_time(isolation, 1.2)
            lose(isolation, run, record(number))
            run.task = None
            isolation.update()
        assert sent <= MAX_ORIGIN_CRASHES, f"{sent} crashes of one lot in 24 s"

    play(scenario)


def test_an_item_that_crashed_a_back_end_after_a_silent_second_alone_is_known_to_be_the_cause() -> (
    None
):
    async def scenario() -> None:
        isolation = Isolation(None)
        run = item("bad")
        begin(isolation, run, record(1).start, Placement.APART)
        pass_time(isolation, 1.2)
        lose(isolation, run, record(1))
        assert run.alone_starts

    play(scenario)


# Causes


def test_an_item_that_is_acquitted_gives_back_the_crashes_it_was_taken_for() -> None:
    """A harmful item's crash was dropped for it, as back ends failed by themselves under it."""

    async def scenario() -> None:
        isolation = Isolation(None)
        bad, sound = item("bad", "bad lot"), item("sound", "sound lot")
        for run in (bad, sound):
            begin(isolation, run, record(0).start, Placement.SHARED, other_requests=1)
        for run in (bad, sound):
            lose(isolation, run, record(0))
            run.task = None
        for number in (1, 2):
            crash_alone(isolation, sound, number)
        begin(isolation, sound, record(3).start, Placement.APART)
        isolation.run_answered(sound)
        sound.task = None
        isolation.update()
        known = isolation._limits._origins.get(("lot", "bad lot"))
        assert known is not None
        assert known.count(asyncio.get_running_loop().time()) == 1

    play(scenario)


def test_a_sound_item_whose_back_end_an_online_request_crashes_does_not_free_another_lot() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        sound = item("sound", "sound lot")
        bad = [item(f"bad-{number}", "bad lot") for number in range(MAX_ORIGIN_CRASHES)]
        begin(isolation, sound, record(0).start, Placement.SHARED)
        begin(isolation, bad[0], record(0).start, Placement.SHARED, other_requests=1)
        lose(isolation, sound, record(0))
        lose(isolation, bad[0], record(0))
        bad[0].task = sound.task = None
        for number in range(1, MAX_ORIGIN_CRASHES):
            crash_alone(isolation, bad[number], number)
        assert isolation.placement(item("next", "bad lot")) is Placement.HELD
        # An online request that arrived after the item's start crashes this one.
        crash_alone(isolation, sound, 9)
        assert isolation.placement(item("next", "bad lot")) is Placement.HELD

    play(scenario)


def tell_of(isolation: Isolation, crashed: dict[str, tuple[int, ...]]) -> None:
    """Have the registry report under which keys of requests which back ends crashed."""
    suspects = tuple(
        SuspectRecord(key=key, starts=tuple(record(number).start for number in numbers), verdicts=1)
        for key, numbers in crashed.items()
    )
    table = make_table(make_route(RouteClass.BATCH))
    isolation.set_registry(Snapshot(table, FleetView(), SuspectList(revision=1, suspects=suspects)))


def lot_that_is_held(isolation: Isolation) -> list[ItemRun]:
    """Return the items of a lot beside which as many back ends crashed as it may crash."""
    runs = [item(f"item-{number}") for number in range(MAX_ORIGIN_CRASHES)]
    for number, run in enumerate(runs):
        crash_alone(isolation, run, number)
    assert isolation.placement(item("next")) is Placement.HELD
    return runs


PARTS = [part_key(("r", "secret", name)) for name in ("a", "b")]


@pytest.mark.parametrize("keys", [PARTS, ["online-1", "online-2"]], ids=["parts", "requests"])
def test_a_lot_is_not_held_for_crashes_by_online_requests_that_are_refused(keys: list[str]) -> None:
    """They came to back ends at which items of the lot had just begun alone."""

    async def scenario() -> None:
        isolation = Isolation(None)
        lot_that_is_held(isolation)
        tell_of(isolation, {keys[0]: (0, 1, 2), keys[1]: (3, 4, 5)})
        assert isolation.placement(item("next")) is not Placement.HELD
        # A complete response clears the first one.
        tell_of(isolation, {keys[1]: (3, 4, 5)})
        crash_alone(isolation, item("bad-1"), 11)
        crash_alone(isolation, item("bad-2"), 12)
        assert isolation.placement(item("next")) is not Placement.HELD
        crash_alone(isolation, item("bad-3"), 13)
        assert isolation.placement(item("next")) is Placement.HELD

    play(scenario)


def test_a_lot_is_held_for_crashes_that_no_refused_online_request_explains() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        runs = lot_that_is_held(isolation)
        online = "online"
        # Too few crashes for a verdict; then the request of one of the items.
        tell_of(isolation, {online: (0, 1)})
        assert isolation.placement(item("next")) is Placement.HELD
        own = request_key(request_content(request(runs[0], runs[0].item.item_id.encode())))
        tell_of(isolation, {own: (0, 1, 2)})
        assert isolation.placement(item("next")) is Placement.HELD
        # An item crashes another back end, at which the online request did not run.
        tell_of(isolation, {online: (0, 1, 2)})
        assert isolation.placement(item("next")) is not Placement.HELD
        for run, number in zip(runs[:3], (11, 12, 13), strict=True):
            crash_alone(isolation, run, number)
        known = isolation._limits._origins[("lot", "lot")]
        count = isolation._limits._count(known, asyncio.get_running_loop().time())
        assert count == MAX_ORIGIN_CRASHES + 3

    play(scenario)


def test_sound_items_that_ran_alone_in_a_power_failure_run_again_soon() -> None:
    """One crash alone makes each a strong suspect, and the pause grows with their number."""
    limits = CrashLimits()
    limits.back_ends = 100
    for number in range(APART_CRASHES):
        limits.crashed(("lot", "x"), LOT, f"x{number}", Suspicion("x", 1), 0.0, apart=False)
    suspicions = [
        Suspicion(f"k{number}", 1, own_crashes=1, own_crashed_s=5.0, crashed_alone=True)
        for number in range(3)
    ]
    for number, suspicion in enumerate(suspicions):
        limits.crashed(("lot", f"s{number}"), LOT, f"s{number}", suspicion, 5.0, apart=True)
    at_s = 5.0 + MAX_REST_S
    assert limits.placement(LOT, suspicions[0], at_s) is Placement.APART


UNLUCKY_S = [0.0, 1.0, 4.0, 19.0, 34.0, 49.0, 115.0]
"""When back ends crashed while they ran one item that is not the cause."""


@pytest.mark.parametrize(
    ("crashes", "verdicts", "rest_s"),
    [(6, 1, MAX_REST_S), (7, 1, WINDOW_S), (6, 2, WINDOW_S), (7, 4, WINDOW_S)],
)
def test_an_item_under_which_many_back_ends_crashed_is_placed_again_in_calm(
    crashes: int, verdicts: int, rest_s: float
) -> None:
    """It was held for as long as the verdict lasts, which doubles with each further one."""
    limits = CrashLimits()
    limits.back_ends = 12
    for number, at_s in enumerate(UNLUCKY_S[:crashes]):
        lost = Suspicion("k", number + 1, own_crashes=number + 1, own_crashed_s=at_s)
        limits.crashed(("lot", "unlucky"), LOT, f"s{number}", lost, at_s, apart=number > 1)
    end_s = UNLUCKY_S[crashes - 1]
    unlucky = Suspicion(
        "k",
        crashes,
        verdicts,
        is_refused=True,
        own_crashes=crashes,
        own_crashed_s=end_s,
        crashed_alone=True,
    )
    assert limits.placement(LOT, unlucky, end_s + 1.0) is Placement.HELD
    assert limits.placement(LOT, unlucky, end_s + rest_s) is Placement.APART


def test_the_sound_items_of_a_lot_are_placed_again_in_calm_after_a_series_of_crashes() -> None:
    """Back ends crashed for reasons of their own, six of them beside items of the lot."""
    limits = CrashLimits()
    limits.back_ends = 12
    for number in range(MAX_ORIGIN_CRASHES):
        unlucky = Suspicion(f"k{number}", 1, own_crashes=1, own_crashed_s=float(number))
        item = ("lot", f"unlucky-{number}")
        limits.crashed(item, LOT, f"s{number}", unlucky, float(number), apart=number > 1)
    end_s = MAX_ORIGIN_CRASHES - 1.0
    assert limits.placement(LOT, SOUND, end_s + MAX_REST_S) is not Placement.HELD


def test_the_first_crash_of_an_item_alone_narrows_its_lot() -> None:
    """It says as much about the rest of the lot as a first crash beside others."""
    limits = CrashLimits()
    for number in range(APART_CRASHES):
        limits.crashed(("lot", "x"), LOT, f"x{number}", Suspicion("x", 1), 0.0, apart=False)
    for number in range(2 * SOUND_PER_RUN):
        limits.proven(("lot", f"sound-{number}"), LOT)
    bad = Suspicion("bad", 1, own_crashes=1, own_crashed_s=1.0, crashed_alone=True)
    limits.crashed(("lot", "bad"), LOT, "y", bad, 1.0, apart=True)
    limits.started(SOUND, LOT)
    assert limits.placement(LOT, SOUND, 2.0) is Placement.HELD


def test_the_sound_items_of_a_caller_are_not_kept_for_ever() -> None:
    limits = CrashLimits()
    origins = (("caller", "h", "r", "secret"),)
    for number in range(200):
        now_s = 10.0 * number
        bad = Suspicion(f"k{number}", 1, own_crashes=1, own_crashed_s=now_s, crashed_alone=True)
        limits.crashed(("lot", f"bad-{number}"), origins, f"s{number}", bad, now_s, apart=True)
        for sound in range(10):
            limits.proven(("lot", f"sound-{number}-{sound}"), origins)
        limits.expire(now_s)
    assert len(limits._origins[origins[0]].sound) <= 10 * WINDOW_S


# Proofs that come late, and a change of leader


def test_a_lot_runs_with_care_while_its_crashes_are_not_proved() -> None:
    """If a whole host is lost, only the registry proves it, up to six seconds later."""

    async def scenario() -> None:
        isolation = Isolation(None)
        sent = 0
        for number in range(30):
            run = item(f"bad-{number}")
            placement = isolation.placement(run)
            if placement is Placement.HELD:
                break
            if placement is Placement.SHARED and not isolation.may_share(run, record(number).start):
                break
            begin(isolation, run, record(number).start, placement)
            sent += 1
            lose(isolation, run, record(number), proven=False)
            run.task = None
            isolation.update()
        assert sent <= MAX_ORIGIN_CRASHES, f"{sent} back ends lost before the first proof"

    play(scenario)


def adopted(isolation: Isolation, runs: list[ItemRun], starts: list[str]) -> None:
    records = tuple(
        SuspectRecord(
            key=request_key(request_content(request(run, run.item.item_id.encode()))),
            starts=(start,),
            route="r",
            request_id=run.item.item_id,
        )
        for run, start in zip(runs, starts, strict=True)
    )
    isolation.quarantine.replace([], SuspectList(revision=1, suspects=records))
    isolation.adopt(runs)


def test_a_new_leader_holds_a_lot_that_has_crashed_as_many_back_ends_as_it_may() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        runs = [item(f"bad-{number}") for number in range(MAX_ORIGIN_CRASHES)]
        adopted(isolation, runs, [record(number).start for number in range(MAX_ORIGIN_CRASHES)])
        assert isolation.placement(item("next")) is Placement.HELD

    play(scenario)


def test_a_leader_that_returns_still_knows_which_item_was_the_cause() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        bad, sound = item("bad", "bad lot"), item("sound", "sound lot")
        for run in (bad, sound):
            begin(isolation, run, record(0).start, Placement.SHARED, other_requests=1)
        for run in (bad, sound):
            lose(isolation, run, record(0))
            run.task = None
        for number in (1, 2):
            crash_alone(isolation, bad, number)
        assert not isolation._own_crashes(sound)
        isolation.clear()
        again = item("sound", "sound lot")
        adopted(isolation, [again], [record(0).start])
        assert not isolation._own_crashes(again)

    play(scenario)


# Starts that return, and back ends that are kept free


def test_a_back_end_that_was_silent_for_a_while_is_used_again() -> None:
    """With all suspects cleared, or no item sent, nothing removes the note of its crash."""

    async def scenario() -> None:
        isolation = Isolation(None)
        back_end, run = record(0), item("sound")
        isolation.quarantine.replace([back_end], SuspectList(revision=1, suspects=()))
        begin(isolation, run, back_end.start, Placement.SHARED)
        lose(isolation, run, back_end, proven=False)
        run.task = None
        silent = structs.replace(back_end, state=RunnerState.SILENT)
        isolation.quarantine.replace([silent], SuspectList(revision=2, suspects=()))
        assert not isolation.may_share(item("next", "other"), back_end.start)
        isolation.quarantine.replace([back_end], SuspectList(revision=3, suspects=()))
        ended_s = isolation.quarantine._crash_detector._ended_s
        ended_s[back_end.start] -= PROOF_TIMEOUT_S + 1.0
        isolation.update()
        assert isolation.may_share(item("next", "other"), back_end.start)

    play(scenario)


def test_a_broken_connection_long_after_a_silence_is_no_evidence() -> None:
    """The notes of crashed starts are removed only while there are suspects."""

    async def scenario() -> None:
        quarantine = Quarantine()
        back_end = record(0)
        none = SuspectList(revision=1, suspects=())
        quarantine.replace([back_end], none)
        first = request(item("first"), b"first")
        quarantine.run_lost(first, "r", "first", back_end, ran_on=False)
        quarantine.replace([structs.replace(back_end, state=RunnerState.SILENT)], none)
        quarantine.answered(first)
        quarantine.replace([back_end], none)
        quarantine._crash_detector._ended_s[back_end.start] -= 3600.0
        later = request(item("later"), b"later")
        assert not quarantine.find(later)
        quarantine.run_lost(later, "r", "later", back_end, ran_on=False)
        assert not quarantine.find(later)

    play(scenario)


def test_a_back_end_that_crashed_is_no_longer_the_one_kept_free() -> None:
    """Else no other one becomes idle while items wait, and they run beside others in the end."""

    async def scenario() -> None:
        isolation = Isolation(None)
        balancer = Balancer("z", Random(1))
        balancer.replace([record(number) for number in range(3)])
        loads = LoadWatch(
            Sender(RunnerPool(), balancer, PlatformDialect()), balancer, "z", lambda: None
        )
        now_s = asyncio.get_running_loop().time()
        for runner in balancer.available(SERVICE):
            loads.capacity_at(runner).record_sample(3, 0, now_s)
        waiting = item("waiting")
        waiting.suspect_key = "k"
        assert isolation.pick_runner(waiting, SERVICE, loads) is None
        kept = isolation._draining[SERVICE][0]
        balancer.replace([record(n) for n in range(3) if record(n).start != kept])
        loads.retain(frozenset(runner.record.start for runner in balancer.available(SERVICE)))
        isolation.update()
        isolation.pick_runner(waiting, SERVICE, loads)
        assert isolation._draining[SERVICE][0] != kept

    play(scenario)


@pytest.mark.parametrize("reserved", [False, True], ids=["free", "reserved"])
def test_the_only_back_end_of_a_service_takes_online_requests_while_it_is_kept_free(
    reserved: bool,
) -> None:
    async def scenario() -> None:
        loads = watch(1)
        start = record(0).start
        totals = loads.online({start} if reserved else ())
        balancer = Balancer("z", Random(1))
        balancer.replace([record(0)])
        now_s = 100.0
        balancer.record_run(SERVICE, 8.0)
        balancer.set_other_loads(totals, now_s)
        # A request that the leader has not heard of yet.
        balancer.available(SERVICE)[0].own_requests += 1
        ticket = Ticket(now_s, now_s + 1.0, now_s + 2.0, 0.1)
        decision = AdmissionQueue(now_s).admit(
            ticket, balancer.estimate_load(SERVICE, now_s), now_s
        )
        assert decision is Decision.SEND

    play(scenario)


# Crashes that others explain


class Later:
    """A loop whose time is ahead."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def time(self) -> float:
        return asyncio.get_running_loop().time() + self._seconds


def crash_elsewhere(isolation: Isolation, count: int, ago_s: float) -> None:
    """Crash back ends without items of ours, spread over ten seconds."""
    now_s = asyncio.get_running_loop().time()
    isolation._rates.back_ends[""] = 12
    for number in range(count):
        isolation._rates.crashed(f"elsewhere-{number}", now_s - ago_s + 10.0 * number / count)


def crash_beside(isolation: Isolation, run: ItemRun, number: int, took_s: float) -> None:
    """Crash a back end in an item's run beside others, begun some seconds before."""
    begin(isolation, run, record(number).start, Placement.SHARED, other_requests=3)
    isolation._early_runs[run.key] = (run, asyncio.get_running_loop().time() - took_s)
    lose(isolation, run, record(number))
    run.task = None
    isolation.update()


def test_items_beside_explained_crashes_stay_free_when_the_crashes_are_a_minute_old() -> None:
    """Those that still wait then, all at once, would be tried one after the other."""

    async def scenario() -> None:
        isolation, run = Isolation(None), item("sound")
        crash_elsewhere(isolation, 30, ago_s=10.0)
        for number in (1, 2):
            crash_beside(isolation, run, number, took_s=2.0)
        assert isolation.placement(run) is Placement.SHARED
        isolation._loop = Later(RATE_WINDOW_S + 1.0)  # type: ignore[assignment]
        isolation.update()
        assert isolation.placement(run) is Placement.SHARED

    play(scenario)


def test_many_suspects_run_again_in_calm_after_a_series_of_crashes_elsewhere_too() -> None:
    """Their turns were longer than accepted items may be held in calm."""
    rates = CrashRates()
    limits = CrashLimits(rates)
    for number in range(4):
        rates.crashed(f"elsewhere-{number}", 100.0 + 3.0 * number)
    suspicions = [
        Suspicion(f"k{number}", 2, own_crashes=2, own_crashed_s=110.0) for number in range(3)
    ]
    for number, suspicion in enumerate(suspicions):
        for start in (f"a{number}", f"b{number}"):
            rates.crashed(start, 110.0)
            limits.crashed(("lot", f"s{number}"), LOT, start, suspicion, 110.0, apart=False)
    assert not rates.explain(LOT[0], limits._origins[LOT[0]].starts, 111.0)
    assert limits.placement(LOT, suspicions[0], 124.0) is Placement.HELD
    assert limits.placement(LOT, suspicions[0], 125.0) is Placement.APART


def test_one_item_that_looks_harmful_does_not_hold_its_lot_after_a_series_of_crashes() -> None:
    """Two back ends crashed by chance soon after it began, as others crashed elsewhere."""
    rates = CrashRates()
    limits = CrashLimits(rates)
    for number in range(4):
        rates.crashed(f"elsewhere-{number}", 100.0 + 3.0 * number)
    for number in range(MAX_ORIGIN_CRASHES):
        at_s = 100.0 + 3.0 * number
        # The first two crashes are those of one item.
        name = f"s{max(1, number)}"
        lost = Suspicion(name, 1 + (number == 1), own_crashes=1, crashes_at_once=number == 1)
        rates.crashed(f"a{number}", at_s)
        limits.crashed(("lot", name), LOT, f"a{number}", lost, at_s, apart=True)
    assert limits.placement(LOT, SOUND, 129.0) is Placement.HELD
    assert limits.placement(LOT, SOUND, 130.0) is Placement.APART


def test_a_sound_item_of_an_earlier_leader_does_not_crash_at_once_by_its_first_run_here() -> None:
    """Its earlier runs have no times here, so only the crashes of this one may be compared."""

    async def scenario() -> None:
        isolation, run = Isolation(None), item("sound")
        key = request_key(request_content(request(run, b"sound")))
        starts = tuple(f"{SERVICE}-{number}@1" for number in (4, 5, 6))
        known = SuspectRecord(key=key, starts=starts, request_id="sound")
        view = FleetView(runners=tuple(record(number) for number in range(12)))
        isolation.set_registry(Snapshot(make_table(), view, SuspectList(suspects=(known,))))
        isolation.adopt([run])
        crash_beside(isolation, run, 1, took_s=0.9)
        assert len(run.crashed_starts) == 4
        assert not isolation._evidence(run).crashes_at_once

    play(scenario)


def test_jobs_with_the_same_harmful_request_do_not_explain_each_other() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        isolation._rates.back_ends[""] = 12
        runs = [item("same", f"lot-{number}") for number in range(6)]
        for number, run in enumerate(runs):
            crash_beside(isolation, run, number, took_s=0.3)
        assert isolation.quarantine.crashes(runs[0].suspect_key) == len(runs)
        assert all(isolation.placement(run) is not Placement.SHARED for run in runs)

    play(scenario)


def test_the_time_until_the_next_run_does_not_count_for_a_run_stopped_before_its_first_step() -> (
    None
):
    """It would make the rate of crashes beside a harmful item, and that of its job, small."""

    async def scenario() -> None:
        isolation, run = Isolation(None), item("stopped")
        begin(isolation, run, record(1).start, Placement.SHARED)
        run.stop()
        run.task = None
        isolation.update()
        isolation._loop = Later(30.0)  # type: ignore[assignment]
        begin(isolation, run, record(2).start, Placement.SHARED)
        isolation.run_ended(run)
        assert isolation._rates._time_s(("item", *run.key), 0.0) < 1.0

    play(scenario)


def test_items_that_a_new_leader_reads_only_after_a_failed_read_are_adopted_too() -> None:
    """What is known of their crashes would be lost, and with it what explains them."""
    early, late = item("early"), item("late")
    adopted: list[list[ItemRun]] = []
    leader = SimpleNamespace(
        _is_adopted=False,
        _applied_snapshot=object(),
        _read_failing=True,
        _queue=SimpleNamespace(runs={early.key: early}),
        _isolation=SimpleNamespace(adopt=lambda runs, _wall_ms: adopted.append(list(runs))),
        _clock=SimpleNamespace(wall_ms=lambda: 0),
    )
    LotsRunner._adopt_suspects(leader)  # type: ignore[arg-type]
    leader._read_failing = False
    leader._queue.runs[late.key] = late
    for _ in range(2):
        LotsRunner._adopt_suspects(leader)  # type: ignore[arg-type]
    assert adopted == [[early], [early, late]]


def test_crashes_that_are_adopted_twice_count_once() -> None:
    async def scenario() -> None:
        isolation, run = Isolation(None), item("known")
        key = request_key(request_content(request(run, b"known")))
        starts = tuple(f"{SERVICE}-{number}@1" for number in (4, 5, 6))
        known = SuspectRecord(key=key, starts=starts, request_id="known")
        view = FleetView(runners=tuple(record(number) for number in range(12)))
        isolation.set_registry(Snapshot(make_table(), view, SuspectList(suspects=(known,))))
        counts = []
        for _ in range(2):
            isolation.adopt([run])
            counts.append(
                isolation._limits._origins[LOT[0]].count(asyncio.get_running_loop().time())
            )
        assert counts == [3, 3]

    play(scenario)
