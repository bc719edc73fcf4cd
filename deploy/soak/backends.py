"""The runners of a soak: stand-ins behind relays, each with a heart that beats."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

import words
from owners import Owners
from relay import Relay
from resuming import Service
from stop_callers import run_of
from stop_records import StopRun

from testbed.routed import RunnerStandIn, Seen

BEAT_S = 0.4
LEAST_SLOTS = 8
MOST_SLOTS = 19
VERSIONS = ("v1", "v1.1")
"""Versions of the software, of which each start of a runner draws one."""
"""Slots of a runner, as on the deployment of the incident."""

RECENT_REQUESTS = 100
KEPT_BYTES = 200
NOT_RUN = "not run"
ANSWERED_TWICE = (NOT_RUN, "not run, again late", "not run, again with the next")
"""Refusals of a runner, some of which come a second time."""

REFUSED_SHARE = 0.6
ENDS_AFTER_S = 0.03
"""From the arrival of a deadly request to the end of its runner: it has begun by then."""

MS_PER_S = 1000
REBORN_S = 1.5
"""From such an end to the next start under the same id."""

Control = Callable[[str, str, bytes], bytes | None]
"""Calls control processes by method, path and body until one takes it."""


class RunnersShape:
    """What the runners of a soak are.

    Attributes:
        versions: Versions of the software, of which each start draws one.
        slots: Requests that each works on at once; 0 to draw it.
        keeps_versions: Whether the successor of a runner has its version.
    """

    __slots__ = ("keeps_versions", "slots", "versions")

    def __init__(
        self, versions: Sequence[str] = VERSIONS, slots: int = 0, keeps_versions: bool = False
    ) -> None:
        self.versions = versions
        self.slots = slots
        self.keeps_versions = keeps_versions


class Run:
    """One run of an item, as a runner saw it.

    Attributes:
        item_id: What was run.
        store: Process that asked for it, as far as it is known.
        runner_id: Where it ran.
        began_s: When it came, in monotonic seconds.
        ended_s: When it ended, None while it is under way.
        whole: Whether the runner wrote all of its answer.
        is_taken: Whether the runner did not refuse it.
    """

    __slots__ = ("began_s", "ended_s", "is_taken", "item_id", "runner_id", "store", "whole")

    def __init__(self, item_id: str, store: str, runner_id: str, seen: Seen) -> None:
        self.item_id = item_id
        self.store = store
        self.runner_id = runner_id
        self.began_s = seen.began_s
        self.ended_s = seen.ended_s
        self.whole = seen.whole
        self.is_taken = not seen.behaviour.startswith(NOT_RUN)


class Crash:
    """The end of a runner under a request.

    Attributes:
        request_id: The request that ended it.
        runner_id: Id of the runner.
        at_s: When it ended, in monotonic seconds.
    """

    __slots__ = ("at_s", "request_id", "runner_id")

    def __init__(self, request_id: str, runner_id: str, at_s: float) -> None:
        self.request_id = request_id
        self.runner_id = runner_id
        self.at_s = at_s


class MortalStandIn(RunnerStandIn):
    """A stand-in whose process ends soon after it began a deadly request.

    Args:
        runner_id: Its id.
        slots: Requests that it works on at once.
        version: Version of its software.
        ended: Called, by a thread of its own, when it is to end.

    Attributes:
        begun: Deadly requests that it began; the first one ends it.
        refusals: Draws the requests that it refuses; None to take all.
    """

    def __init__(self, runner_id: str, slots: int, version: str, ended: Callable[[], None]) -> None:
        super().__init__(runner_id, usual="by path", slots=slots, version=version)
        self._ended = ended
        self.begun: list[Seen] = []
        self.refusals: Random | None = None

    def _behaviour_for(self, seen: Seen) -> str:
        # All that came is kept until the end, but for the most of large bodies.
        seen.body = seen.body[:KEPT_BYTES]
        chosen = super()._behaviour_for(seen)
        refusals = self.refusals
        if chosen == self.usual and refusals and refusals.random() < REFUSED_SHARE:
            return refusals.choice(ANSWERED_TWICE)
        if not seen.body.startswith(words.DEADLY) or chosen != self.usual:
            return chosen
        self.begun.append(seen)
        if len(self.begun) == 1:
            threading.Timer(ENDS_AFTER_S, self._ended).start()
        return "silent"


class Runner:
    """One start of a runner behind its relay.

    Args:
        runner_id: Its id.
        service: What it serves.
        slots: Requests that it works on at once.
        version: Version of its software.
        owners: Know who connects.
        ended: Called when it ends under a request.

    Attributes:
        harmed_s: Moments at which something was done to its connections, in wall seconds.
        ended_s: When it ended under a request, in monotonic seconds; None while it did not.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        slots: int,
        version: str,
        owners: Owners,
        ended: Callable[[Runner], None],
    ) -> None:
        self.ended_s: float | None = None
        self.harmed_s: list[float] = []
        self._left_s: float | None = None
        self.born_ms = int(time.time() * 1000)
        self.stand_in = MortalStandIn(runner_id, slots, version, lambda: ended(self))
        self.stand_in.__enter__()
        self.relay = Relay(self.stand_in.address, owners.note)
        self._owners = owners
        self.service = service
        self.state = "ready"
        self._has_crashed = False
        self._sequence = 0
        self._ending = threading.Event()
        self._thread: threading.Thread | None = None

    def beat(self, control: Control) -> None:
        """Tell of itself from now on, until it ends."""
        self._thread = threading.Thread(target=self._beat, args=(control,), daemon=True)
        self._thread.start()

    def silence(self) -> None:
        """Tell of itself no more."""
        self._left_s = self._left_s or time.time()
        self._ending.set()

    def drain(self) -> None:
        """Tell that it takes no new work."""
        self._left_s = self._left_s or time.time()
        self.state = "draining"

    def served(self) -> Service:
        """Return when it served."""
        return Service(
            self.stand_in.version, self.born_ms / MS_PER_S, self._left_s, self.harmed_s[:]
        )

    @property
    def has_crashed(self) -> bool:
        """Whether it has ended without a word."""
        return self._has_crashed

    def crash(self) -> None:
        """End without a word: nobody listens at its address any more."""
        self._has_crashed = True
        self.silence()
        self.relay.close()

    def deadly(self, body: bytes) -> list[float]:
        """Return when it began requests whose bodies begin so, in monotonic seconds."""
        own = self._own(self.stand_in.seen[:])
        return [seen.began_s for seen in own if seen.body.startswith(body)]

    def executions(self) -> list[str]:
        """Return the ids that it ran; those sent to another one, or refused, are left out."""
        own = self._own(self.stand_in.seen[:])
        return [_id_of(seen) for seen in own if not seen.behaviour.startswith(NOT_RUN)]

    def working(self) -> list[str]:
        """Return the ids that it works on now."""
        return [_id_of(seen) for seen in self._own(self.stand_in.held[:])]

    def longest_wait_s(self) -> float:
        """Return the longest time for which a request waited for a slot, in seconds."""
        now_s = time.monotonic()
        slotted = (seen for seen in self.stand_in.seen[:] if seen.behaviour == self.stand_in.usual)
        waits = ((seen.placed_s or seen.ended_s or now_s) - seen.began_s for seen in slotted)
        return max(waits, default=0.0)

    def runs(self) -> list[Run]:
        """Return its runs of items."""
        own = self.stand_in.runner_id
        return [
            Run(_id_of(seen), self._store_of(seen), own, seen)
            for seen in self._own(self.stand_in.seen[:])
            if seen.target.startswith(words.BATCH_FOLDER)
        ]

    def stop_runs(self) -> list[StopRun]:
        """Return the requests that it did not decline, as planned stops are judged by them."""
        own = self._own(self.stand_in.seen[:])
        taken = [seen for seen in own if not seen.behaviour.startswith(NOT_RUN)]
        return [run_of(seen, has_broken_off=self._has_crashed) for seen in taken]

    def deadly_runs(self) -> list[tuple[str, float]]:
        """Return the deadly requests that it began, with their times in monotonic seconds."""
        return [(_id_of(seen), seen.began_s) for seen in self.stand_in.begun[:]]

    def latest_run(self) -> tuple[float, str]:
        """Return when the latest run of an item came whose store is known, and that store."""
        for seen in reversed(self.stand_in.seen[-RECENT_REQUESTS:]):
            store = self._store_of(seen)
            if store and seen.target.startswith(words.BATCH_FOLDER):
                return seen.began_s, store
        return 0.0, ""

    def close(self) -> None:
        """End it and its relay."""
        self.silence()
        if self._thread is not None:
            self._thread.join()
        self.relay.close()
        self.stand_in.__exit__()

    def _store_of(self, seen: Seen) -> str:
        return self._owners.of(self.relay.ends.get(seen.peer, (0, 0)))

    def _own(self, requests: list[Seen]) -> list[Seen]:
        own = self.stand_in.runner_id
        return [seen for seen in requests if seen.headers.get(words.EXPECTED_RUNNER, own) == own]

    def _beat(self, control: Control) -> None:
        path = words.BEAT_PATH + self.stand_in.runner_id
        while not self._ending.wait(BEAT_S):
            self._sequence += 1
            slots = self.stand_in.slots
            address = self.relay.address
            version = self.stand_in.version
            body = words.beat(
                address, self._sequence, self.service, slots, self.state, self.born_ms, version
            )
            control("POST", path, body)


class Backends:
    """All runners, those that were replaced included; used by any thread.

    Args:
        count: Runners at any moment; every other one serves the side service.
        seed: Draws their slots.
        control: Takes their beats.
        owners: Know who connects to them.
        shape: What they are.
    """

    def __init__(
        self, count: int, seed: int, control: Control, owners: Owners, shape: RunnersShape
    ) -> None:
        self._shape = shape
        self._random = Random(f"{seed} runners")
        self._versions = Random(f"{seed} versions")
        self._control = control
        self._owners = owners
        self._lock = threading.Lock()
        self.gone: list[Runner] = []
        self._crashes: list[Crash] = []
        self._made = 0
        self._released = 0
        self._arriving: list[Runner] = []
        self._closing = False
        self.now = [self._make(number) for number in range(count)]

    def start(self) -> None:
        """Have all tell of themselves."""
        for runner in self.now:
            runner.beat(self._control)

    def replace(self, number: int) -> None:
        """End a runner without a word and start another one in its place."""
        with self._lock:
            old = self.now[number]
            old.silence()
            old.relay.silent_to = old.relay.silent_from = True
            old.relay.reset()
            self._succeed(number)

    def refuse(self, random: Random, for_s: float) -> None:
        """Have all runners refuse most requests for a time, and answer many of these twice."""
        refusing = [runner.stand_in for runner in self.now]
        for stand_in in refusing:
            stand_in.refusals = Random(random.random())
        time.sleep(for_s)
        for stand_in in refusing:
            stand_in.refusals = None

    def reborn(self, number: int, pause_s: float) -> None:
        """End a runner without a word; after a pause it starts again under its id."""
        with self._lock:
            old = self.now[number]
            old.crash()
        time.sleep(pause_s)
        with self._lock:
            if self.now[number] is old:
                self._succeed(number, old.stand_in.runner_id)

    def deadly(self, body: bytes) -> list[float]:
        """Return when any runner began requests whose bodies begin so, oldest first."""
        return sorted(began_s for runner in self.all() for began_s in runner.deadly(body))

    def _ended(self, runner: Runner) -> None:
        runner.ended_s = time.monotonic()
        with self._lock:
            number = self.now.index(runner) if runner in self.now else None
            if number is not None and not runner.has_crashed:
                stand_in = runner.stand_in
                request_id = _id_of(stand_in.begun[0])
                crash = Crash(request_id, stand_in.runner_id, runner.ended_s)
                self._crashes.append(crash)
        if number is not None and not self._closing:
            self.reborn(number, REBORN_S)

    def leave(self, number: int, drain_s: float) -> None:
        """Let a runner leave as planned: it drains, says so, and another one takes its place."""
        with self._lock:
            old = self.now[number]
            old.drain()
        time.sleep(drain_s)
        with self._lock:
            if self.now[number] is not old:
                return
            old.silence()
            path = words.LEAVE_PATH + old.stand_in.runner_id
            self._control("POST", path, words.farewell(old.born_ms))
            self._succeed(number)

    def all(self) -> list[Runner]:
        """Return all that there ever were."""
        with self._lock:
            return [*self.gone, *self._arriving, *self.now]

    def executions(self) -> Counter[str]:
        """Return how often each id was run."""
        return Counter(item for runner in self.all() for item in runner.executions())

    def stop_runs(self) -> list[StopRun]:
        """Return all requests that runners did not decline."""
        return [run for runner in self.all() for run in runner.stop_runs()]

    def longest_wait_s(self) -> float:
        """Return the longest time for which a request waited for a slot, in seconds."""
        return max(runner.longest_wait_s() for runner in self.all())

    def runs(self, *, refused: bool = True) -> list[Run]:
        """Return all runs of items, with those that were refused or without."""
        return [run for runner in self.all() for run in runner.runs() if refused or run.is_taken]

    def working(self) -> set[str]:
        """Return the ids that any runner works on now."""
        return {item for runner in self.all() for item in runner.working()}

    def slots(self) -> int:
        """Return the slots of all that are there."""
        return sum(runner.stand_in.slots for runner in self.now)

    def crashes(self) -> list[Crash]:
        """Return the ends of runners under requests, oldest first."""
        with self._lock:
            return list(self._crashes)

    def deadly_runs(self) -> list[tuple[str, float]]:
        """Return the deadly requests that runners began, with their times, oldest first."""
        runs = [run for runner in self.all() for run in runner.deadly_runs()]
        return sorted(runs, key=lambda run: run[1])

    def latest_store(self) -> str:
        """Return the store that asked for the latest run of an item, empty if none is known."""
        return max(runner.latest_run() for runner in self.now)[1]

    def heal(self) -> None:
        """Let all relays carry again."""
        for runner in self.now:
            runner.relay.heal()

    def close(self) -> None:
        """End all."""
        self._closing = True
        for runner in self.all():
            runner.silence()
        for runner in self.all():
            runner.close()
        self._owners.close()

    def release(self, numbers: Sequence[int], overlap_s: float, drain_s: float) -> str:
        """Start runners of a further version; those in whose place they come leave later.

        Args:
            numbers: Numbers of the runners that leave.
            overlap_s: Time from the starts until the others drain.
            drain_s: Time for which they drain.

        Returns:
            The version.
        """
        with self._lock:
            self._released += 1
            version = f"{VERSIONS[0]}.{self._released}"
            arriving = {number: self._make(number, version=version) for number in numbers}
            self._arriving += arriving.values()
        for runner in arriving.values():
            runner.beat(self._control)
        time.sleep(overlap_s)
        with self._lock:
            for number in numbers:
                self.now[number].drain()
        time.sleep(drain_s)
        for number, runner in arriving.items():
            with self._lock:
                old, self.now[number] = self.now[number], runner
                self.gone.append(old)
                self._arriving.remove(runner)
                old.silence()
            path = words.LEAVE_PATH + old.stand_in.runner_id
            self._control("POST", path, words.farewell(old.born_ms))
        return version

    def served(self) -> list[Service]:
        """Return when runners of streams that may be resumed served."""
        return [runner.served() for runner in self.all() if runner.service == words.SERVICE]

    def look(self) -> None:
        """Note whose connections are harmed now."""
        for runner in self.now:
            if runner.relay.is_harmed:
                runner.harmed_s.append(time.time())

    def _make(self, number: int, runner_id: str = "", version: str = "") -> Runner:
        self._made += 1
        runner_id = runner_id or f"i-{self._made}"
        slots = self._shape.slots or self._random.randint(LEAST_SLOTS, MOST_SLOTS)
        service = words.SERVICES[number % len(words.SERVICES)]
        version = version or self._versions.choice(self._shape.versions)
        return Runner(runner_id, service, slots, version, self._owners, self._ended)

    def _succeed(self, number: int, runner_id: str = "") -> None:
        self.gone.append(self.now[number])
        kept = self.now[number].stand_in.version if self._shape.keeps_versions else ""
        new = self._make(number, runner_id, kept)
        self.now[number] = new
        new.beat(self._control)


def _id_of(seen: Seen) -> str:
    return seen.headers.get(words.REQUEST_ID.lower(), "")
