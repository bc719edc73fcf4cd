"""Suspect items run apart from others, whatever the order of events."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random

from leverjunction.lots.attempts import Attempts
from leverjunction.lots.commands import ItemBody, OpenItem, RecordedProgress
from leverjunction.lots.crash_limits import APART_CRASHES, CrashLimits, Suspicion
from leverjunction.lots.isolation import Isolation
from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.load_watch import LoadWatch
from leverjunction.lots.placement import Placement
from leverjunction.platform.headers import PlatformDialect
from leverjunction.proxy.attempt import Sender
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.caller_request import CallerRequest, request_content
from leverjunction.proxy.runner_pool import RunnerPool
from leverjunction.quarantine.records import SuspectList, SuspectRecord
from leverjunction.quarantine.request_key import prompt_key
from leverjunction.registry.records import RunnerRecord
from leverjunction.wire.codec import encode_reply
from testbed.routed import SERVICE

LOT = (("lot", "lot"),)
HEADERS = (
    ("Leverjunction-Model", "m"),
    ("Leverjunction-Token-Count", "100,10"),
    ("Leverjunction-Prompt-Prefix", "aa:60,bb:40"),
)


def item(name: str, lot: str = "lot", headers: tuple[tuple[str, str], ...] = ()) -> ItemRun:
    return ItemRun(
        OpenItem(
            lot_id=lot,
            item_id=name,
            host="h.example",
            path="/v1/chat/completions",
            headers=headers,
            tokens=9,
            max_attempts=3,
            give_up_s=60.0,
            due_ms=60_000.0,
            accepted_ms=0,
            failures=0,
        )
    )


def record(number: int = 0, service: str = SERVICE) -> RunnerRecord:
    return RunnerRecord(
        runner_id=f"{service}-{number}", service=service, address="127.0.0.1:9", zone="z", slots=12
    )


def request(run: ItemRun, body: bytes) -> CallerRequest:
    headers = [(name.encode(), value.encode()) for name, value in run.item.headers]
    headers.append((b"Host", b"h.example"))
    made = CallerRequest(b"POST", run.item.path.encode(), headers, body, 0.0)
    made.metadata = PlatformDialect().read_request(headers)
    made.is_item = True
    return made


def begin(
    isolation: Isolation,
    run: ItemRun,
    start: str,
    placement: Placement,
    other_requests: int = 0,
) -> None:
    run.placement = placement
    run.assign_to(start)
    run.task = asyncio.get_running_loop().create_task(asyncio.sleep(60))
    isolation.started(run, other_requests)
    run.mark_sent(asyncio.get_running_loop().time())


def lose(isolation: Isolation, run: ItemRun, at: RunnerRecord, proven: bool = True) -> None:
    """Break off a run early, as ``Attempts`` reports it."""
    isolation.run_lost(run)
    isolation.quarantine.run_lost(
        request(run, run.item.item_id.encode()), "r", run.item.item_id, at, ran_on=False
    )
    if proven:
        isolation.quarantine.not_listening(at)


def watch(count: int, busy: Callable[[int], int] = lambda _: 0) -> LoadWatch:
    balancer = Balancer("z", Random(1))
    balancer.replace([record(number) for number in range(count)])
    loads = LoadWatch(
        Sender(RunnerPool(), balancer, PlatformDialect()), balancer, "z", lambda: None
    )
    now_s = asyncio.get_running_loop().time()
    for number, runner in enumerate(balancer.available(SERVICE)):
        loads.capacity_at(runner).record_sample(busy(number), 0, now_s)
    return loads


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(main())


def test_a_run_that_crashed_soon_after_its_first_output_is_not_proven_by_the_pause_after_it() -> (
    None
):
    """The task pauses for 0.3 s after the loss, longer than a harmful run goes on."""

    async def scenario() -> None:
        isolation = Isolation(None)
        for number in range(APART_CRASHES + 4):
            run, back_end = item(f"bad-{number}"), record(number)
            begin(isolation, run, back_end.start, Placement.APART)
            run.note_output(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)
            lose(isolation, run, back_end)
            assert isolation._limits._origins[LOT[0]].count(asyncio.get_running_loop().time())
            await asyncio.sleep(0.27)  # RETRY_PAUSE_S is 0.3
            isolation.update()
            assert run.task is not None
            run.task = None
        # Seven crashes, each of them apart.
        assert isolation.placement(item("next")) is Placement.HELD

    play(scenario)


class Store:
    """Answers the two queries of an attempt."""

    def __init__(self, body: bytes) -> None:
        self.replies = [encode_reply(ItemBody(body)), encode_reply(RecordedProgress(0, ""))]

    def query_local(self, _query: bytes) -> bytes:
        return self.replies.pop(0)


def test_an_item_apart_for_its_lot_does_not_run_under_a_verdict_that_is_found_only_then() -> None:
    """A twin that has never run has no ``suspect_key``: its pause and the verdict are not asked."""

    async def scenario() -> None:
        isolation = Isolation(None)
        twin = item("twin", headers=HEADERS)
        content = request_content(request(twin, b"x"))
        verdict = SuspectRecord(
            key=prompt_key(content), starts=tuple("abcdef"), verdicts=2, route="r"
        )
        isolation.quarantine.replace([], SuspectList(revision=1, suspects=(verdict,)))
        for number in range(APART_CRASHES):
            isolation._limits.crashed(
                ("lot", f"bad-{number}"), LOT, f"s{number}", Suspicion("k", 1), 1e9, apart=False
            )
        isolation._loop = asyncio.get_running_loop()
        now_s = isolation._loop.time()
        for starts in isolation._limits._origins[LOT[0]].crashes.values():
            for start in starts:
                starts[start] = now_s
        assert isolation.placement(twin) is Placement.APART
        sent: list[object] = []

        class Recorder:
            async def send(self, dispatch: object) -> object:
                sent.append(dispatch)
                raise RuntimeError("sent")

        attempts = Attempts(Store(b"x"), Recorder(), PlatformDialect(), None, isolation)  # type: ignore[arg-type]
        balancer = Balancer("z", Random(1))
        balancer.replace([record()])
        runner = balancer.available(SERVICE)[0]
        begin(isolation, twin, runner.record.start, Placement.APART)
        with contextlib.suppress(RuntimeError):
            await attempts.attempt(twin, runner)
        assert isolation._suspicion(twin).exhausted_pause_s > 0
        assert not sent, "sent although the request is refused for the second time"

    play(scenario)


def test_a_run_beside_online_requests_does_not_count_as_apart() -> None:
    """Else crashes by an online caller's requests hold a sound lot for a minute."""

    async def scenario() -> None:
        isolation = Isolation(None)
        loads = watch(2, lambda _: 5)  # five online requests at each back end
        run = item("sound")
        run.suspect_key = "k"
        run.placement = Placement.APART
        assert isolation.pick_runner(run, SERVICE, loads) is None
        assert run.wants_idle_s is not None
        run.wants_idle_s -= 6.0
        runner = isolation.pick_runner(run, SERVICE, loads)
        assert runner is not None
        begin(isolation, run, runner.record.start, Placement.APART, other_requests=5)
        lose(isolation, run, runner.record)
        assert isolation._limits._origins[LOT[0]].apart_s == float("-inf")

    play(scenario)


def test_two_back_ends_that_hang_do_not_stop_a_lot() -> None:
    """They answer load samples and have free slots, but their runs give no output."""

    async def scenario() -> None:
        isolation = Isolation(None)
        loads = watch(9)
        hung = [record(number).start for number in (0, 1)]
        for number in range(6):
            begin(isolation, item(f"i{number}"), hung[number % 2], Placement.SHARED)
        for unproven in isolation._unproven._runs.values():
            unproven.started_s -= 5.0
        isolation.update()
        usable = loads.pick_runner(SERVICE, lambda start: isolation.may_share(item("next"), start))
        assert usable is not None, "seven sound back ends, and the lot waits for 10 s, then 20 s"

    play(scenario)


def test_a_lost_run_is_run_with_care_until_its_crash_is_proved_or_not() -> None:
    """The registry's proof takes up to 6 s; the item is offered again after 0.3 s."""

    async def scenario() -> None:
        isolation = Isolation(None)
        run = item("bad")
        sent = 0
        for number in range(8):
            if isolation.placement(run) is Placement.HELD:
                break
            begin(isolation, run, record(number).start, isolation.placement(run))
            sent += 1
            lose(isolation, run, record(number), proven=False)
            run.task = None
            isolation.update()
        assert sent <= 3, f"{sent} runs, none with care, before the first proof"

    play(scenario)


def test_a_crash_proved_late_does_not_count_for_an_item_that_was_answered_meanwhile() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        for number in range(APART_CRASHES):
            run = item(f"sound-{number}")
            begin(isolation, run, record(number).start, Placement.SHARED)
            lose(isolation, run, record(number), proven=False)
            run.task = None
            isolation.update()
            begin(isolation, run, record(8).start, Placement.SHARED)
            isolation.run_answered(run)  # done
            run.task = None
            isolation.update()
        for number in range(APART_CRASHES):
            isolation.quarantine.not_listening(record(number))  # the registry reports silence
        assert isolation.placement(item("other")) is Placement.SHARED

    play(scenario)


def test_one_service_does_not_keep_the_back_end_of_another_from_being_drained() -> None:
    async def scenario() -> None:
        isolation = Isolation(None)
        balancer = Balancer("z", Random(1))
        balancer.replace([record(n, s) for s in ("a", "b") for n in range(2)])
        loads = LoadWatch(
            Sender(RunnerPool(), balancer, PlatformDialect()), balancer, "z", lambda: None
        )
        for service in ("a", "b"):
            for runner in balancer.available(service):
                loads.capacity_at(runner).record_sample(3, 0, asyncio.get_running_loop().time())
        isolation.pick_runner(item("x"), "a", loads)
        waiting = item("y")
        for _ in range(4):
            isolation.update()
            isolation.pick_runner(waiting, "b", loads)
        assert isolation._draining["b"][0].startswith("b-")

    play(scenario)


def test_a_record_of_a_long_lived_caller_does_not_grow_with_its_age() -> None:
    limits = CrashLimits()
    origin = (("lot", "x"), ("caller", "h", "r", "secret"))
    for second in range(0, 3600, 30):
        for number in range(12):
            limits.crashed(
                ("lot", f"{second}-{number}"),
                origin,
                f"s{second}",
                Suspicion(f"k{second}-{number}", 2 if number == 0 else 1),
                float(second),
                apart=False,
            )
        limits.expire(float(second))
    record_ = limits._origins[origin[1]]
    kept = sum(len(starts) for starts in record_.crashes.values())
    strong = len(limits._strong[origin[1]])
    assert kept <= 36
    assert strong <= 3


def test_a_run_whose_end_is_noticed_late_has_not_gone_on_for_long() -> None:
    """Guards against a harmful item whose crashes count as late ones while this process is busy."""
    run = item("bad")
    run.mark_sent(0.0)
    run.note_output(1.0)
    run.note_output(1.03)
    assert not run.has_run_on
    assert run.is_proven(1.5)
    run.note_output(1.5)
    assert run.has_run_on
