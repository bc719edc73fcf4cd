"""The runners of a soak: stand-ins behind relays, each with a heart that beats."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from random import Random

import words
from owners import Owners
from relay import Relay

from testbed.routed import RunnerStandIn, Seen

BEAT_S = 0.4
LEAST_SLOTS = 8
MOST_SLOTS = 19
"""Slots of a runner, as on the deployment of the incident."""

RECENT_REQUESTS = 100

Control = Callable[[str, str, bytes], bytes | None]
"""Calls control processes by method, path and body until one takes it."""


class Run:
    """One run of an item, as a runner saw it.

    Attributes:
        item_id: What was run.
        store: Process that asked for it, as far as it is known.
        runner_id: Where it ran.
        began_s: When it came, in monotonic seconds.
        ended_s: When it ended, None while it is under way.
        whole: Whether the runner wrote all of its answer.
    """

    __slots__ = ("began_s", "ended_s", "item_id", "runner_id", "store", "whole")

    def __init__(self, item_id: str, store: str, runner_id: str, seen: Seen) -> None:
        self.item_id = item_id
        self.store = store
        self.runner_id = runner_id
        self.began_s = seen.began_s
        self.ended_s = seen.ended_s
        self.whole = seen.whole


class Runner:
    """One start of a runner behind its relay.

    Args:
        runner_id: Its id.
        service: What it serves.
        slots: Requests that it works on at once.
        owners: Know who connects.
    """

    def __init__(self, runner_id: str, service: str, slots: int, owners: Owners) -> None:
        self.stand_in = RunnerStandIn(runner_id, usual="by path", slots=slots)
        self.stand_in.__enter__()
        self.relay = Relay(self.stand_in.address, owners.note)
        self._owners = owners
        self.service = service
        self.state = "ready"
        self._sequence = 0
        self._ending = threading.Event()
        self._thread: threading.Thread | None = None

    def beat(self, control: Control) -> None:
        """Tell of itself from now on, until it ends."""
        self._thread = threading.Thread(target=self._beat, args=(control,), daemon=True)
        self._thread.start()

    def silence(self) -> None:
        """Tell of itself no more."""
        self._ending.set()

    def executions(self) -> list[str]:
        """Return the ids that it ran, those sent to another one left out."""
        return [_id_of(seen) for seen in self._own(self.stand_in.seen[:])]

    def working(self) -> list[str]:
        """Return the ids that it works on now."""
        return [_id_of(seen) for seen in self._own(self.stand_in.held[:])]

    def runs(self) -> list[Run]:
        """Return its runs of items."""
        own = self.stand_in.runner_id
        return [
            Run(_id_of(seen), self._store_of(seen), own, seen)
            for seen in self._own(self.stand_in.seen[:])
            if seen.target.startswith(words.BATCH_FOLDER)
        ]

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
            body = words.beat(address, self._sequence, self.service, slots, self.state)
            control("POST", path, body)


class Backends:
    """All runners, those that were replaced included; used by any thread.

    Args:
        count: Runners at any moment; every other one serves the side service.
        seed: Draws their slots.
        control: Takes their beats.
        owners: Know who connects to them.
    """

    def __init__(self, count: int, seed: int, control: Control, owners: Owners) -> None:
        self._random = Random(f"{seed} runners")
        self._control = control
        self._owners = owners
        self._lock = threading.Lock()
        self.gone: list[Runner] = []
        self._made = 0
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

    def leave(self, number: int, drain_s: float) -> None:
        """Let a runner leave as planned: it drains, says so, and another one takes its place."""
        with self._lock:
            old = self.now[number]
            old.state = "draining"
        time.sleep(drain_s)
        with self._lock:
            if self.now[number] is not old:
                return
            old.silence()
            self._control("POST", words.LEAVE_PATH + old.stand_in.runner_id, b"")
            self._succeed(number)

    def all(self) -> list[Runner]:
        """Return all that there ever were."""
        with self._lock:
            return [*self.gone, *self.now]

    def executions(self) -> Counter[str]:
        """Return how often each id was run."""
        return Counter(item for runner in self.all() for item in runner.executions())

    def runs(self) -> list[Run]:
        """Return all runs of items."""
        return [run for runner in self.all() for run in runner.runs()]

    def working(self) -> set[str]:
        """Return the ids that any runner works on now."""
        return {item for runner in self.all() for item in runner.working()}

    def slots(self) -> int:
        """Return the slots of all that are there."""
        return sum(runner.stand_in.slots for runner in self.now)

    def latest_store(self) -> str:
        """Return the store that asked for the latest run of an item, empty if none is known."""
        return max(runner.latest_run() for runner in self.now)[1]

    def heal(self) -> None:
        """Let all relays carry again."""
        for runner in self.now:
            runner.relay.heal()

    def close(self) -> None:
        """End all."""
        for runner in self.all():
            runner.silence()
        for runner in self.all():
            runner.close()
        self._owners.close()

    def _make(self, number: int) -> Runner:
        self._made += 1
        runner_id = f"i-{self._made}"
        slots = self._random.randint(LEAST_SLOTS, MOST_SLOTS)
        service = words.SERVICES[number % len(words.SERVICES)]
        return Runner(runner_id, service, slots, self._owners)

    def _succeed(self, number: int) -> None:
        self.gone.append(self.now[number])
        new = self._make(number)
        self.now[number] = new
        new.beat(self._control)


def _id_of(seen: Seen) -> str:
    return seen.headers.get(words.REQUEST_ID.lower(), "")
