"""Streams that callers resume beside a burst of new ones, in virtual time.

The product's admission gate and balancer stand before emulated back ends of two versions. Half of
the back ends crash and half of the gateways start again; the callers of broken streams and of
refused new ones come back to any gateway.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from random import Random
from typing import Any

import msgspec

from leverjunction.proxy.admission import Ticket
from leverjunction.proxy.admission_gate import RELEASE_INTERVAL_S, AdmissionGate
from leverjunction.proxy.balancer import Balancer
from leverjunction.proxy.dialect import EngineLoad
from leverjunction.proxy.prompt import PREFILL_TOKENS_PER_MS, Prompt
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.registry.records import RunnerRecord
from testbed.placement.back_ends import BackEnd, EngineRun
from testbed.placement.virtual_loop import VirtualLoop
from testbed.placement.work_rate import EVEN, WorkRate

SERVICE = "s"
SLOTS = 8
QUEUE = 8
"""Requests that a back end queues; it rejects further ones, and tells its load."""
WAY_S = 0.002
AIM_S = 0.5
DEADLINE_S = 6.0
PATIENCE_S = 4.0
RUN_S = 1.5
READ_S = 0.1
RETRIES = 3
CRASH_S = 6.0
DOWN_S = 1.0
LENGTH_S = 10.0
WINDOW_S = 3.0
MAX_DECLINES = 4
PIECE_S = 0.02
"""Time for which a back end reads one prompt before it reads a piece of the next."""


class Shares(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the streams around the crash.

    Attributes:
        resumed: Streams that broke and were taken up again.
        went_on: Share of them that had a further event.
        new: New streams that came within ``WINDOW_S`` after the crash.
        began: Share of them that had a first event.
        unjudged: Attempts of resumed streams that a gateway refused at once, with time left, before
            it knew a run time.
    """

    resumed: int
    went_on: float
    new: int
    began: float
    unjudged: int


class Play(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of a play.

    Attributes:
        overload: New streams in multiples of what all slots can serve.
        versions: Version of each back end.
        by_version: Whether gateways tell the admission gate the version of a resumed stream.
        refuses_resumed: Share of the resumed attempts that they refuse at once.
        told_slots: Slots that back ends tell; memory for no more than ``slots`` requests. None if
            they tell ``slots``.
        crash_share: Share of the back ends, and of the gateways, that end.
        lost: Number of the first version's back ends that end and do not start again, while all
            connections of all gateways are reset; None for the crash of ``crash_share``.
        slots: Slots of each back end.
        patience_s: Time after which a caller gives an attempt up.
        run_s: Mean time of a run.
        read_s: Range of the time for a prompt, of which a back end reads several in turns; None for
            prompts that are read at no cost for others.
        left_s: Range of the time that callers of broken streams have left; None for the whole.
        seed: Seed of all that is drawn.
    """

    overload: float = 1.5
    versions: tuple[str, ...] = ("v1", "v1", "v1", "v2", "v2", "v2")
    gateways: int = 8
    told_slots: int | None = None
    by_version: bool = True
    refuses_resumed: float = 0.0
    crash_share: float = 0.5
    lost: int | None = None
    slots: int = SLOTS
    patience_s: float = PATIENCE_S
    run_s: float = RUN_S
    read_s: tuple[float, float] | None = None
    left_s: tuple[float, float] | None = None
    seed: int = 1


class _Server:
    """One place for back ends, which start anew after a crash."""

    def __init__(self, name: str, version: str, play: Play) -> None:
        self.name, self.version, self.starts = name, version, 0
        self._slots, self._told_slots = play.slots, play.told_slots or play.slots
        self.is_lost = False
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.is_up = True
        self.crashed = asyncio.get_running_loop().create_future()
        self._reader = asyncio.Lock()
        self.back_end = BackEnd(self.record.runner_id, self._slots, WorkRate(EVEN, 0, Random(1)))

    def crash(self) -> None:
        self.is_up = False
        self.crashed.set_result(None)

    @property
    def record(self) -> RunnerRecord:
        return RunnerRecord(
            runner_id=f"{self.name}.{self.starts}",
            service=SERVICE,
            address=f"{self.name}:1",
            zone="z",
            slots=self._told_slots,
            version=self.version,
        )

    def load(self) -> EngineLoad:
        load = self.back_end.load()
        return EngineLoad(load.running, load.waiting, self._told_slots)

    async def read(self, prompt_s: float) -> None:
        """Read a prompt in pieces, in turns with the others."""
        while prompt_s > 0:
            async with self._reader:
                await self.back_end.work(min(PIECE_S, prompt_s))
            prompt_s -= PIECE_S

    async def until_crash(self, work: Awaitable[Any], until_s: float) -> bool:
        """Wait for work; return False if the back end crashes or the time is up before."""
        task = asyncio.ensure_future(work)
        left_s = until_s - asyncio.get_running_loop().time()
        await asyncio.wait(
            {task, self.crashed}, timeout=max(0.0, left_s), return_when=asyncio.FIRST_COMPLETED
        )
        is_done = task.done() and not self.crashed.done()
        task.cancel()
        return is_done


class _Stream:
    """A caller's stream, over all its attempts."""

    def __init__(self, now_s: float, run_s: float, read_s: float) -> None:
        self.began_s: float | None = None
        self.read_s, self.until_s = read_s, now_s + DEADLINE_S
        self.came_s, self.left_s = now_s, run_s
        self.version: str | None = None
        self.broke_s: float | None = None
        self.went_on = False
        self.is_over = False


class _Unread:
    """A prompt that was sent to a back end, until its first event comes."""

    def __init__(self, runner: TrackedRunner, read_s: float) -> None:
        self._runner, self._prefill_ms = runner, read_s * 1000
        runner.pending_prefill_ms += self._prefill_ms

    def end(self) -> None:
        self._runner.pending_prefill_ms -= self._prefill_ms
        self._prefill_ms = 0.0


class _Gateway:
    """Admission and balancer of one gateway, as the forwarder and the sender use them."""

    def __init__(self, servers: dict[str, _Server], random: Random, play: Play) -> None:
        self._loop = asyncio.get_running_loop()
        self._servers, self._random = servers, random
        self._by_version, self._refuses_resumed = play.by_version, play.refuses_resumed
        self._patience_s = play.patience_s
        self._reads_in_turns = play.read_s is not None
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.unjudged = 0
        self.restart()

    def restart(self) -> None:
        """Start anew: what the gateway knew of loads is gone, and its requests end."""
        self.reset()
        self.balancer = Balancer("z", self._random)
        self.learn()
        self.gate = AdmissionGate(self.balancer, self)  # type: ignore[arg-type]

    def reset(self) -> None:
        """Lose all connections to callers."""
        self.ended.set_result(None) if not self.ended.done() else None
        self.ended = self._loop.create_future()

    def learn(self) -> None:
        """Hear of the back ends from the registry."""
        servers = self._servers.values()
        self.balancer.replace(server.record for server in servers if not server.is_lost)

    async def read_load(self, runner: TrackedRunner) -> EngineLoad | None:
        await asyncio.sleep(WAY_S)
        server = self._servers[runner.record.address.split(":")[0]]
        if not server.is_up or server.record.runner_id != runner.record.runner_id:
            return None
        load = server.load()
        await asyncio.sleep(WAY_S)
        runner.report_load(load, self._loop.time())
        return load

    def _ticket(self, stream: _Stream, now_s: float) -> Ticket:
        patient_s = now_s + self._patience_s
        run_s = self.balancer.mean_run_s(SERVICE) or 0.0
        if stream.version is None or not self._by_version:
            last_s = min(stream.until_s - run_s, patient_s)
            return Ticket(now_s, now_s + AIM_S, last_s, stream.read_s)
        last_s = min(stream.until_s, patient_s)
        return Ticket(now_s, now_s + AIM_S, last_s, stream.read_s, version=stream.version)

    async def serve(self, stream: _Stream) -> float:
        """Serve one attempt; return the seconds after which its caller comes back."""
        now_s = self._loop.time()
        balancer, gate = self.balancer, self.gate
        if stream.version is not None and self._random.random() < self._refuses_resumed:
            return self._random.uniform(0.2, 0.3)
        ticket = self._ticket(stream, now_s)
        refusal = await gate.enter(SERVICE, ticket)
        if refusal is not None:
            is_at_once = self._loop.time() == now_s and not ticket.is_expired(now_s)
            is_unjudged = is_at_once and balancer.mean_run_s(SERVICE) is None
            self.unjudged += is_unjudged and ticket.version is not None
            return (refusal.retry_after_s or 0.0) * self._random.uniform(1.0, 1.5)
        while not await self._send(stream, balancer):
            await asyncio.sleep(RELEASE_INTERVAL_S)
            is_over = self._loop.time() >= stream.until_s
            waits_again = self._by_version and stream.version is not None
            if not waits_again or is_over or balancer is not self.balancer:
                break
            refusal = await gate.enter_again(SERVICE, ticket)
            if refusal is not None:
                return (refusal.retry_after_s or 0.0) * self._random.uniform(1.0, 1.5)
        return self._random.uniform(0.0, 0.1)

    async def _send(self, stream: _Stream, balancer: Balancer) -> bool:
        """Send a stream; return False if no back end took it."""
        tried: set[str] = set()
        for _ in range(MAX_DECLINES):
            now_s = self._loop.time()
            prompt = Prompt((), round(stream.read_s * 1000 * PREFILL_TOKENS_PER_MS))
            prompt = Prompt((), 500) if not self._reads_in_turns else prompt
            choice = balancer.choose(SERVICE, prompt, tried, now_s, stream.version)
            if choice is None or now_s >= stream.until_s:
                return False
            runner = choice.runner
            tried.add(runner.record.start)
            server = self._servers[runner.record.address.split(":")[0]]
            unread = _Unread(runner, stream.read_s)
            runner.own_requests += 1
            try:
                await asyncio.sleep(WAY_S)
                if not server.is_up or server.record.runner_id != runner.record.runner_id:
                    balancer.failed(runner, self._loop.time())
                    continue
                load = server.load()
                if load.waiting >= QUEUE:
                    runner.report_load(load, self._loop.time())
                    continue
                await self._run(stream, server, runner, balancer, unread)
            finally:
                unread.end()
                runner.own_requests -= 1
            return True
        return False

    async def _run(
        self,
        stream: _Stream,
        server: _Server,
        runner: TrackedRunner,
        balancer: Balancer,
        unread: _Unread,
    ) -> None:
        back_end = server.back_end
        run = back_end.come(is_batch=False)
        patient_s = min(stream.until_s, self._loop.time() + self._patience_s)
        try:
            if not await self._read(server, run, patient_s, stream.read_s):
                return
            unread.end()
            now_s = self._loop.time()
            runner.report_load(server.load(), now_s)
            balancer.succeeded(runner, now_s)
            if stream.began_s is None:
                stream.began_s, stream.version = now_s, server.version
            elif stream.broke_s is not None:
                stream.went_on = True
            stream.is_over = await server.until_crash(back_end.work(stream.left_s), stream.until_s)
            if stream.is_over:
                balancer.record_run(SERVICE, self._loop.time() - now_s + stream.read_s)
            elif self._loop.time() >= stream.until_s:
                stream.is_over = True
        finally:
            back_end.leave(run)

    async def _read(self, server: _Server, run: EngineRun, until_s: float, read_s: float) -> bool:
        """Wait for a slot and for the first event; return whether it came in time."""
        work = server.read if self._reads_in_turns else server.back_end.work
        return await server.until_crash(
            asyncio.shield(run.began), until_s
        ) and await server.until_crash(work(read_s), until_s)


class _Scene:
    def __init__(self, play: Play) -> None:
        self._play = play
        self._random = Random(play.seed)
        self._streams: list[_Stream] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Shares:
        play, random, loop = self._play, self._random, asyncio.get_running_loop()
        self._servers = {
            f"b{number}": _Server(f"b{number}", version, play)
            for number, version in enumerate(play.versions)
        }
        self._gateways = [
            _Gateway(self._servers, Random(random.random()), play) for _ in range(play.gateways)
        ]
        loop.call_at(CRASH_S, self._strike if play.lost is None else self._lose)
        mean_read_s = READ_S if play.read_s is None else sum(play.read_s) / 2
        per_s = play.overload * len(play.versions) * play.slots / (play.run_s + mean_read_s)
        while loop.time() < LENGTH_S:
            await asyncio.sleep(random.expovariate(per_s if loop.time() > 2.0 else per_s / 3))
            task = loop.create_task(self._caller(random.uniform(0.6, 1.4) * play.run_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        return self._shares()

    def _strike(self) -> None:
        loop = asyncio.get_running_loop()
        count = round(len(self._servers) * self._play.crash_share)
        crashed = list(self._servers.values())[:: len(self._servers) // count][:count]
        for server in crashed:
            server.crash()
            loop.call_later(DOWN_S, server.start)
        loop.call_later(DOWN_S + 0.2, lambda: [gateway.learn() for gateway in self._gateways])
        for gateway in self._gateways[: round(len(self._gateways) * self._play.crash_share)]:
            gateway.restart()

    def _lose(self) -> None:
        first = self._play.versions[0]
        servers = [server for server in self._servers.values() if server.version == first]
        for server in servers[: self._play.lost]:
            server.is_lost = True
            server.crash()
        for gateway in self._gateways:
            gateway.learn()
            gateway.reset()

    async def _caller(self, run_s: float) -> None:
        loop = asyncio.get_running_loop()
        read_s = READ_S if self._play.read_s is None else self._random.uniform(*self._play.read_s)
        stream = _Stream(loop.time(), run_s, read_s)
        self._streams.append(stream)
        for _ in range(1 + RETRIES):
            if stream.began_s is not None and stream.broke_s is None:
                stream.broke_s = loop.time()
                if self._play.left_s is not None:
                    stream.until_s = loop.time() + self._random.uniform(*self._play.left_s)
            gateway = self._random.choice(self._gateways)
            attempt = loop.create_task(gateway.serve(stream))
            await asyncio.wait({attempt, gateway.ended}, return_when=asyncio.FIRST_COMPLETED)
            back_s = 0.1 if not attempt.done() else attempt.result()
            attempt.cancel()
            if stream.is_over or loop.time() + back_s >= stream.until_s:
                return
            await asyncio.sleep(back_s)

    def _shares(self) -> Shares:
        resumed = [stream for stream in self._streams if stream.broke_s is not None]
        new = [each for each in self._streams if CRASH_S <= each.came_s <= CRASH_S + WINDOW_S]
        return Shares(
            resumed=len(resumed),
            went_on=sum(stream.went_on for stream in resumed) / max(1, len(resumed)),
            new=len(new),
            began=sum(stream.began_s is not None for stream in new) / max(1, len(new)),
            unjudged=sum(gateway.unjudged for gateway in self._gateways),
        )


def shares(play: Play) -> Shares:
    """Play in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_Scene(play).run())
