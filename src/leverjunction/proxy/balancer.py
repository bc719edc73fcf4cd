"""Chooses the back end of a request. Pure: the clock and the generator are passed in."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from random import Random

from leverjunction.proxy.admission import Prospect
from leverjunction.proxy.affinity import home_of, readers_of
from leverjunction.proxy.load_row import BackEndOrder
from leverjunction.proxy.prompt import PREFILL_TOKENS_PER_MS, Prompt
from leverjunction.proxy.tracked_runner import TrackedRunner
from leverjunction.proxy.water_filling import Place, Steps, draw, shares
from leverjunction.registry.records import RunnerRecord, RunnerState

BUSY_COST_MS = 6.0
"""Cost of each request that already runs at a back end."""

QUEUED_COST_MS = 250.0
"""Cost of each request beyond the back end's slots."""

DELAY_COST = 0.5
"""Cost of each millisecond by which a back end's heads were late: slow ones get less."""

LONG_SEEN_S = 20.0
READER_COST_MS = 30.0
"""Cost of a reader for other requests, which may find it reading: five requests' worth."""

OTHER_ZONE_COST_MS = 4.0
SUSPECT_COST_MS = 400.0
"""Cost of a back end that has just failed once."""

WEIGHED_MOST = 64
"""Back ends that are weighed for a request. With 1,200 a choice takes 1.0 ms of processor time, 6.1
with all of them weighed (0.2 with 45). The best of so many is among the best 5 in 100 of all, but
for one time in 27.
"""

KNOWN_S = 0.5
"""A load that was told longer ago holds no request back: sending one tells what it is now."""

FIRST_RUN_S = 1.0
"""Time that a slot is taken, while no request has ended here."""

RUN_WEIGHT = 0.1
"""Of the newest request in the running average of the time that a slot is taken."""


class Choice:
    """A chosen back end.

    Attributes:
        seat: The back end.
        load: Requests that it probably had.
        candidates: Back ends that were weighed.
    """

    __slots__ = ("candidates", "load", "runner")

    def __init__(self, runner: TrackedRunner, load: float, candidates: int) -> None:
        self.runner = runner
        self.load = load
        self.candidates = candidates


class Balancer:
    """All back ends, by service. Used by one thread only.

    Args:
        zone: Zone of this process.
        random: Draws.
        spread: Whether to allow for what others have sent; else the cheapest back end is chosen.

    Attributes:
        order: All of them, as rows of loads have them.
    """

    __slots__ = (
        "_by_service",
        "_long_s",
        "_random",
        "_readers",
        "_run_s",
        "_runners",
        "_spread",
        "_zone",
        "order",
    )

    def __init__(self, zone: str, random: Random, spread: bool = True) -> None:
        self._zone = zone
        self._spread = spread
        self._random = random
        self._runners: dict[str, TrackedRunner] = {}
        self.order = BackEndOrder(())
        self._by_service: dict[str, list[TrackedRunner]] = {}
        self._readers: frozenset[str] = frozenset()
        self._long_s: dict[str, float] = {}
        self._run_s: dict[str, float] = {}

    def replace(self, records: Iterable[RunnerRecord]) -> None:
        """Take the registry's records; only of starts that stay is kept what is known of them."""
        runners: dict[str, TrackedRunner] = {}
        by_service: dict[str, list[TrackedRunner]] = {}
        for record in records:
            runner = self._runners.get(record.start) or TrackedRunner(record)
            runner.record = record
            runners[record.start] = runner
            by_service.setdefault(record.service, []).append(runner)
        self._runners = runners
        self.order = BackEndOrder(runners)
        self._by_service = by_service
        self._readers = frozenset(
            key
            for service, members in by_service.items()
            for key in readers_of(service, _ids(members))
        )

    def available(self, service: str) -> list[TrackedRunner]:
        """Return the back ends of a service that take new work."""
        known = self._by_service.get(service, [])
        ready = [runner for runner in known if runner.record.state is RunnerState.READY]
        # Silence may be a fault of the path to the control processes alone.
        return ready or [runner for runner in known if runner.record.state is RunnerState.SILENT]

    def choose(
        self,
        service: str,
        prompt: Prompt,
        avoided: Collection[str],
        now_s: float,
    ) -> Choice | None:
        """Draw a back end, mostly a cheap one; None when there is none.

        Args:
            service: Service of the request.
            prompt: Its prompt.
            avoided: Starts of back ends that were tried already.
            now_s: Monotonic time.
        """
        runners = [
            runner for runner in self.available(service) if runner.record.start not in avoided
        ]
        if not runners:
            return None
        sound = [runner for runner in runners if runner.ejected_until_s <= now_s] or runners
        if prompt.is_long:
            self._long_s[service] = now_s
        home = home_of(prompt, _ids(sound), self._readers)
        best = self._draw(self._sample(sound, home), home, prompt, now_s)
        return Choice(best, best.load(now_s), len(sound))

    def choose_quiet(self, service: str, avoided: Collection[str], now_s: float) -> Choice | None:
        """Return the back end with fewest requests, for one that may end it; None without any.

        Args:
            service: Service of the request.
            avoided: Starts of back ends that are taken only if there is no other.
            now_s: Monotonic time.
        """
        runners = self.available(service)
        sound = [runner for runner in runners if runner.ejected_until_s <= now_s] or runners
        free = [runner for runner in sound if runner.record.start not in avoided] or sound
        if not free:
            return None
        best = min(free, key=lambda runner: (runner.load(now_s), self._random.random()))
        return Choice(best, best.load(now_s), len(free))

    def _sample(self, runners: list[TrackedRunner], home: str) -> list[TrackedRunner]:
        """Return the back ends that are weighed: of very many some, and the prompt's own one."""
        if len(runners) <= WEIGHED_MOST:
            return runners
        drawn = self._random.sample(runners, WEIGHED_MOST)
        own = [
            runner for runner in runners if runner.record.runner_id == home and runner not in drawn
        ]
        return drawn + own

    def _draw(
        self, runners: list[TrackedRunner], home: str, prompt: Prompt, now_s: float
    ) -> TrackedRunner:
        """Return a back end: gateways that see the same loads must not all choose the same."""
        unseen = self._unseen(runners, now_s)
        places = [
            Place(
                self._cost_ms(runner, home, prompt, now_s),
                runner.slots - runner.load(now_s),
            )
            for runner in runners
        ]
        if not self._spread:
            return min(zip(runners, places, strict=True), key=lambda pair: pair[1].cost_ms)[0]
        weights = shares(places, unseen, Steps(BUSY_COST_MS, QUEUED_COST_MS))
        return runners[draw(weights, self._random)]

    def _unseen(self, runners: list[TrackedRunner], now_s: float) -> float:
        """Return how many requests others have probably sent since the loads were true."""
        run_s = self._run_s.get(runners[0].record.service) or FIRST_RUN_S
        return sum(runner.unseen(now_s, run_s) for runner in runners)

    def set_other_loads(self, others: Mapping[str, int], now_s: float, lag_s: float = 0.0) -> None:
        """Take the online requests of other gateways at all back ends that are named."""
        for start, online in others.items():
            runner = self._runners.get(start)
            if runner is not None:
                runner.set_other_load(online, now_s, lag_s)

    def record_run(self, service: str, run_s: float) -> None:
        """Take the time for which a request had a slot; waiting in a queue is not counted."""
        known_s = self._run_s.get(service, run_s)
        self._run_s[service] = known_s + (run_s - known_s) * RUN_WEIGHT

    def mean_run_s(self, service: str) -> float | None:
        """Return the usual time for which a request has a slot; None before the first."""
        return self._run_s.get(service)

    def prospect(self, service: str, now_s: float) -> Prospect | None:
        """Return what one more request would meet; None while that is not known.

        It is not while no request has ended yet, or when the back end that seems to have most room
        has not told its load lately.
        """
        run_s = self._run_s.get(service)
        runners = [runner for runner in self.available(service) if runner.ejected_until_s <= now_s]
        if run_s is None or not runners:
            return None
        best = min(runners, key=lambda runner: runner.load(now_s) - runner.slots)
        if now_s - best.load_updated_s > KNOWN_S:
            return None
        return Prospect(
            queue=best.load(now_s) + 1 - best.slots,
            slots=best.slots,
            run_s=run_s,
            backlog=sum(max(0.0, runner.load(now_s) - runner.slots) for runner in runners),
            capacity=sum(runner.slots for runner in runners),
        )

    def failed(self, runner: TrackedRunner, now_s: float) -> None:
        """Note that a back end did not do what it should."""
        runner.failed(now_s)

    def succeeded(self, runner: TrackedRunner, now_s: float) -> None:
        """Note that a back end answered."""
        runner.succeeded(now_s)

    def _cost_ms(
        self,
        runner: TrackedRunner,
        home: str,
        prompt: Prompt,
        now_s: float,
    ) -> float:
        load = runner.load(now_s)
        cost_ms = load * BUSY_COST_MS + max(0.0, load + 1 - runner.slots) * QUEUED_COST_MS
        if runner.record.zone != self._zone:
            cost_ms += OTHER_ZONE_COST_MS
        if home and runner.record.runner_id != home:
            cost_ms += prompt.shared_tokens / PREFILL_TOKENS_PER_MS
        cost_ms += runner.pending_prefill_ms
        reads = runner.record.runner_id in self._readers
        if prompt.is_long and not reads:
            # What comes after it there waits until it is read.
            cost_ms += prompt.prefill_ms
        elif reads and not prompt.is_long and self._reads_long(runner.record.service, now_s):
            cost_ms += READER_COST_MS
        cost_ms += runner.delay_ms(now_s) * DELAY_COST
        return cost_ms + runner.suspicion(now_s) * SUSPECT_COST_MS

    def _reads_long(self, service: str, now_s: float) -> bool:
        """Return whether a service has had long prompts lately; others need no readers."""
        return now_s - self._long_s.get(service, float("-inf")) <= LONG_SEEN_S


def _ids(runners: list[TrackedRunner]) -> list[str]:
    return [runner.record.runner_id for runner in runners]
