"""Chooses the back end of a request. Pure: the clock and the generator are passed in.

What a back end tells of its load is some requests old, and other gateways send to it too. So its
load is what it told last, less what this gateway had there then, fading with age; plus what this
gateway has there now.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from random import Random

import xxhash

from leverjunction.proxy.admission import Prospect
from leverjunction.proxy.dialect import EngineLoad, PromptPart
from leverjunction.proxy.spread import Place, Steps, draw, shares
from leverjunction.registry.records import RunnerRecord, RunnerState

LOAD_FADES_S = 3.0
"""Time in which what others have at a back end fades to a third, as far as this gateway knows."""

READ_TOKENS_PER_MS = 80.0
"""Speed at which an engine reads a prompt: what a part that it holds already saves."""

BUSY_COST_MS = 6.0
"""Cost of each request that already runs at a back end."""

QUEUED_COST_MS = 250.0
"""Cost of each request beyond the back end's slots."""

DELAY_WEIGHT = 0.2
"""Of the newest head in the running average of a back end's delay."""

DELAY_FADES_S = 4.0
DELAY_COST = 0.5
"""Cost of each millisecond by which a back end's heads were late: slow ones get less."""

LONG_READ_MS = 200.0
"""A prompt that takes so long to read is long: requests behind it would be late."""

LONG_SEEN_S = 20.0
READER_SHARE = 1 / 3
READERS_FROM = 3
"""Back ends that a service must have for some of them to be readers."""

READER_COST_MS = 30.0
"""Cost of a reader for other requests, which may find it reading: five requests' worth."""

OTHER_ZONE_COST_MS = 4.0
SUSPECT_COST_MS = 400.0
"""Cost of a back end that has just failed once."""

SUSPICION_FADES_S = 4.0
"""Time in which the suspicion of a back end fades to a third: it is then tried again."""

SUSPICION_MOST = 5.0
TRUSTED_SHARE = 0.5
"""What an answer leaves of the suspicion: one that fails every other request stays suspect."""

SHARED_TOKENS_MIN = 512
"""Shorter shared parts are read faster than it takes to keep them together."""

SHARED_FOR_S = 0.4
"""How long the leader's word goes before what answers tell: some of its words may be lost."""

KNOWN_S = 0.5
"""A load that was told longer ago holds no request back: sending one tells what it is now."""

FIRST_RUN_S = 1.0
"""Time that a slot is taken, while no request has ended here."""

BURST_FACTOR = 2.0
"""Requests that come for each that the loads tell of: these are from before a burst. In time of
165 gateways' requests in bursts of five times the lull: 0.968 with 1, 0.984 with 2 (emulator, means
of three seeds).
"""

RUN_WEIGHT = 0.1
"""Of the newest request in the running average of the time that a slot is taken."""

EJECT_FIRST_S = 0.5
EJECT_MOST_S = 8.0


class Prompt:
    """What matters of a prompt for the choice.

    Attributes:
        parts: Its parts, in order; the last one is the request's own.
        tokens: Its length.
    """

    __slots__ = ("parts", "tokens")

    def __init__(self, parts: tuple[PromptPart, ...], tokens: int) -> None:
        self.parts = parts
        self.tokens = tokens

    @property
    def read_ms(self) -> float:
        """Time to read it whole."""
        return self.tokens / READ_TOKENS_PER_MS

    @property
    def is_long(self) -> bool:
        """Whether requests behind it would be late."""
        return self.read_ms >= LONG_READ_MS

    @property
    def shared_tokens(self) -> int:
        """Tokens that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])


class RunnerSeat:
    """What this gateway knows of one back end.

    Attributes:
        record: Its record in the registry.
        own: Requests of this gateway that it works on.
        reading_ms: Time to read the prompts of those whose answers have not begun.
        others: Requests of others, as of ``told_s``.
        told_s: When it last told its load.
        slots: Requests that it can work on.
        ejected_until_s: Until then it gets no work as long as there is another.
    """

    __slots__ = (
        "_delay_ms",
        "_delayed_s",
        "_lag_s",
        "_shared_s",
        "_suspected_s",
        "_suspicion",
        "ejected_until_s",
        "others",
        "own",
        "reading_ms",
        "record",
        "slots",
        "told_s",
    )

    def __init__(self, record: RunnerRecord) -> None:
        self.record = record
        self.own = 0
        self.reading_ms = 0.0
        self.others = 0.0
        self.told_s = 0.0
        self.slots = max(1, record.slots)
        self.ejected_until_s = 0.0
        self._delay_ms = 0.0
        self._delayed_s = 0.0
        self._shared_s = float("-inf")
        self._lag_s = 0.0
        self._suspicion = 0.0
        self._suspected_s = 0.0

    def unseen(self, now_s: float, run_s: float) -> float:
        """Return how many requests of others have probably come since it told its load.

        As many begin as end: in the time of a run, as many as it has, and more in a burst.
        """
        age_s = min(now_s - self.told_s + self._lag_s, run_s)
        return self.others * BURST_FACTOR * age_s / run_s

    def load(self, now_s: float) -> float:
        """Return the requests that it probably has, running and waiting."""
        return self.own + self.others * math.exp((self.told_s - now_s) / LOAD_FADES_S)

    def answered(self, head_s: float, tokens_in: int, now_s: float) -> None:
        """Take the time to an answer's head; reading the prompt is not counted as delay."""
        delay_ms = max(0.0, head_s * 1000 - tokens_in / READ_TOKENS_PER_MS)
        known_ms = self.delay_ms(now_s)
        self._delay_ms = known_ms + (delay_ms - known_ms) * DELAY_WEIGHT
        self._delayed_s = now_s

    def delay_ms(self, now_s: float) -> float:
        """Return by how much its heads were late lately; forgotten when it is not asked."""
        return self._delay_ms * math.exp((self._delayed_s - now_s) / DELAY_FADES_S)

    def suspicion(self, now_s: float) -> float:
        """Return how much it is mistrusted: 1 right after a failure that came alone, then less."""
        return self._suspicion * math.exp((self._suspected_s - now_s) / SUSPICION_FADES_S)

    def failed(self, now_s: float) -> None:
        """Leave it alone for a while, longer each time."""
        self._suspicion = min(SUSPICION_MOST, self.suspicion(now_s) + 1)
        self._suspected_s = now_s
        pause_s = min(EJECT_MOST_S, EJECT_FIRST_S * 2 ** (self._suspicion - 1))
        self.ejected_until_s = max(self.ejected_until_s, now_s + pause_s)

    def succeeded(self, now_s: float) -> None:
        """Trust it more, unless the answer is to a request from before its last failure."""
        if now_s >= self.ejected_until_s:
            self._suspicion = self.suspicion(now_s) * TRUSTED_SHARE
            self._suspected_s = now_s

    def told(self, load: EngineLoad, now_s: float) -> None:
        """Take the load that came with an answer of a request that is still counted here."""
        if load.slots:
            self.slots = load.slots
        if now_s - self._shared_s <= SHARED_FOR_S:
            # What it tells counts batch work too, which gives way.
            return
        self.others = max(0.0, load.running + load.waiting - self.own)
        self.told_s = now_s
        self._lag_s = 0.0

    def shared(self, online: int, now_s: float, lag_s: float = 0.0) -> None:
        """Take the online requests that other gateways have here, as the leader of batch tells.

        Args:
            online: Their number.
            now_s: Monotonic time.
            lag_s: How old what gateways have told the leader is on average.
        """
        self.others = online
        self.told_s = self._shared_s = now_s
        self._lag_s = lag_s


class Choice:
    """A chosen back end.

    Attributes:
        seat: The back end.
        load: Requests that it probably had.
        candidates: Back ends that were weighed.
    """

    __slots__ = ("candidates", "load", "seat")

    def __init__(self, seat: RunnerSeat, load: float, candidates: int) -> None:
        self.seat = seat
        self.load = load
        self.candidates = candidates


class Balancer:
    """All back ends, by service. Used by one thread only."""

    __slots__ = ("_by_service", "_long_s", "_random", "_readers", "_run_s", "_seats", "_zone")

    def __init__(self, zone: str, random: Random) -> None:
        self._zone = zone
        self._random = random
        self._seats: dict[str, RunnerSeat] = {}
        self._by_service: dict[str, list[RunnerSeat]] = {}
        self._readers: frozenset[str] = frozenset()
        self._long_s: dict[str, float] = {}
        self._run_s: dict[str, float] = {}

    def replace(self, records: Iterable[RunnerRecord]) -> None:
        """Take the registry's records; what is known of a runner that stays is kept."""
        seats: dict[str, RunnerSeat] = {}
        by_service: dict[str, list[RunnerSeat]] = {}
        for record in records:
            seat = self._seats.get(record.runner_id) or RunnerSeat(record)
            seat.record = record
            seats[record.runner_id] = seat
            by_service.setdefault(record.service, []).append(seat)
        self._seats = seats
        self._by_service = by_service
        self._readers = frozenset(
            key for service, members in by_service.items() for key in _readers_of(service, members)
        )

    def seats(self, service: str) -> list[RunnerSeat]:
        """Return the back ends of a service that take new work."""
        known = self._by_service.get(service, [])
        ready = [seat for seat in known if seat.record.state is RunnerState.READY]
        # Silence may be a fault of the path to the control processes alone.
        return ready or [seat for seat in known if seat.record.state is RunnerState.SILENT]

    def choose(
        self,
        service: str,
        prompt: Prompt,
        avoided: Collection[str],
        now_s: float,
    ) -> Choice | None:
        """Return the cheapest back end, None when there is none.

        Args:
            service: Service of the request.
            prompt: Its prompt.
            avoided: Ids of back ends that were tried already.
            now_s: Monotonic time.
        """
        seats = [seat for seat in self.seats(service) if seat.record.runner_id not in avoided]
        if not seats:
            return None
        sound = [seat for seat in seats if seat.ejected_until_s <= now_s] or seats
        if prompt.is_long:
            self._long_s[service] = now_s
        home = self._home_of(prompt, sound)
        best = self._draw(sound, home, prompt, now_s)
        return Choice(best, best.load(now_s), len(sound))

    def _draw(self, seats: list[RunnerSeat], home: str, prompt: Prompt, now_s: float) -> RunnerSeat:
        """Return a back end: gateways that see the same loads must not all choose the same."""
        unseen = self._unseen(seats, now_s)
        places = [
            Place(
                self._cost_ms(seat, home, prompt, now_s),
                seat.slots - seat.load(now_s),
            )
            for seat in seats
        ]
        weights = shares(places, unseen, Steps(BUSY_COST_MS, QUEUED_COST_MS))
        return seats[draw(weights, self._random)]

    def _unseen(self, seats: list[RunnerSeat], now_s: float) -> float:
        """Return how many requests others have probably sent since the loads were true."""
        run_s = self._run_s.get(seats[0].record.service) or FIRST_RUN_S
        return sum(seat.unseen(now_s, run_s) for seat in seats)

    def shared(self, others: Mapping[str, int], now_s: float, lag_s: float = 0.0) -> None:
        """Take the online requests of other gateways at all back ends that are named."""
        for runner_id, online in others.items():
            seat = self._seats.get(runner_id)
            if seat is not None:
                seat.shared(online, now_s, lag_s)

    def ran(self, service: str, run_s: float) -> None:
        """Take the time for which a request had a slot; waiting in a queue is not counted."""
        known_s = self._run_s.get(service, run_s)
        self._run_s[service] = known_s + (run_s - known_s) * RUN_WEIGHT

    def run_s(self, service: str) -> float | None:
        """Return the usual time for which a request has a slot; None before the first."""
        return self._run_s.get(service)

    def prospect(self, service: str, now_s: float) -> Prospect | None:
        """Return what one more request would meet; None while that is not known.

        It is not while no request has ended yet, or when the back end that seems to have most room
        has not told its load lately.
        """
        run_s = self._run_s.get(service)
        seats = [seat for seat in self.seats(service) if seat.ejected_until_s <= now_s]
        if run_s is None or not seats:
            return None
        best = min(seats, key=lambda seat: seat.load(now_s) - seat.slots)
        if now_s - best.told_s > KNOWN_S:
            return None
        return Prospect(
            queue=best.load(now_s) + 1 - best.slots,
            slots=best.slots,
            run_s=run_s,
            backlog=sum(max(0.0, seat.load(now_s) - seat.slots) for seat in seats),
            capacity=sum(seat.slots for seat in seats),
        )

    def failed(self, seat: RunnerSeat, now_s: float) -> None:
        """Note that a back end did not do what it should."""
        seat.failed(now_s)

    def succeeded(self, seat: RunnerSeat, now_s: float) -> None:
        """Note that a back end answered."""
        seat.succeeded(now_s)

    def _cost_ms(
        self,
        seat: RunnerSeat,
        home: str,
        prompt: Prompt,
        now_s: float,
    ) -> float:
        load = seat.load(now_s)
        cost_ms = load * BUSY_COST_MS + max(0.0, load + 1 - seat.slots) * QUEUED_COST_MS
        if seat.record.zone != self._zone:
            cost_ms += OTHER_ZONE_COST_MS
        if home and seat.record.runner_id != home:
            cost_ms += prompt.shared_tokens / READ_TOKENS_PER_MS
        cost_ms += seat.reading_ms
        reads = seat.record.runner_id in self._readers
        if prompt.is_long and not reads:
            # What comes after it there waits until it is read.
            cost_ms += prompt.read_ms
        elif reads and not prompt.is_long and self._reads_long(seat.record.service, now_s):
            cost_ms += READER_COST_MS
        cost_ms += seat.delay_ms(now_s) * DELAY_COST
        return cost_ms + seat.suspicion(now_s) * SUSPECT_COST_MS

    def _reads_long(self, service: str, now_s: float) -> bool:
        """Return whether a service has had long prompts lately; others need no readers."""
        return now_s - self._long_s.get(service, float("-inf")) <= LONG_SEEN_S

    def _home_of(self, prompt: Prompt, seats: list[RunnerSeat]) -> str:
        """Return the back end on which requests with the same large shared part are kept together.

        Rendezvous hashing: all gateways choose the same one, and few move when back ends come
        and go. Long prompts have theirs among the readers, others elsewhere.
        """
        if prompt.shared_tokens < SHARED_TOKENS_MIN:
            return ""
        key = max(prompt.parts[:-1], key=lambda part: part.tokens).key
        ids = [seat.record.runner_id for seat in seats]
        fitting = [item for item in ids if (item in self._readers) is prompt.is_long]
        return max(fitting or ids, key=lambda item: _rank(key, item))


def _readers_of(service: str, seats: list[RunnerSeat]) -> list[str]:
    """Return the back ends that read long prompts; all gateways choose the same ones.

    No gateway knows what the others have just sent. With long prompts anywhere, any short request
    may find itself behind one; so they are kept to a third of the back ends, which get less of
    the rest.
    """
    ids = [seat.record.runner_id for seat in seats]
    if len(ids) < READERS_FROM:
        return []
    ranked = sorted(ids, key=lambda item: _rank(service, item), reverse=True)
    return ranked[: max(1, round(len(ids) * READER_SHARE))]


def _rank(key: str, runner_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{runner_id}".encode())
