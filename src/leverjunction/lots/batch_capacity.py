"""How much batch work a service's back ends may have beside their online requests. Pure.

Online load comes in bursts of seconds, with lulls between them that are worth filling. Batch always
leaves a reserve for the next arrivals: as many as came lately in the time that it takes to give
way, up to the most online requests that the service had lately. That time is short for requests
that gateways tell of, and ten times as long for those that only a back end's report shows. As they
come, batch is parked, and the reserve is kept ahead of them. Gateways send online requests where
there is room, so the service as a whole must have it. Batch never waits in a back end's queue,
where an online request would wait behind it.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 8.0
"""How far back the online peak is looked for; longer than the pauses between bursts."""

UNSEEN_PEAK_SHARE = 0.6
"""Share of the slots that online is taken to need while it was watched for less than the window,
as after a change of leader: a lull would otherwise be filled just before the next burst.
"""

REACTION_S = 0.2
"""Time in which batch gives way to what reports show: a reading's interval and its lag, a step of
the runner, and the end of the runs that are parked.
"""

TOLD_REACTION_S = 0.03
"""Time in which batch gives way to what a gateway has just told: its way, and the end of the runs
that are parked. The pause between two words comes on top.
"""

UNTOLD_MARGIN_SLOTS = 1
"""Slots for each back end that stay free at any moment while no gateway tells of its requests."""

MOST_RISE_SHARE_PER_S = 1.75
"""Share of the slots that online requests may take in a second while it is not known how fast they
come: a third of them in the time in which batch gives way to what reports show.
"""

RESERVE_SHARE = 0.35
"""Share of the slots that is kept for the next arrivals at most."""

TOLD_LAG_S = 0.3
"""A report may still count a request whose end a gateway has told already: its age and the interval
of readings.
"""

BUCKET_S = 0.25
"""Peaks are kept for each such interval, however often something is told."""

FLOOR_SHARE = 1 / 8
"""Share of the slots that batch may have without a reserve, as long as they are free now."""

ARRIVALS_SHARE = 1 / 3
"""Of the peak: at most so much of it arrives in the reaction time, as requests last for longer."""

SLACK_RUNS = 2
"""Runs beyond what is allowed before any is parked: readings waver."""

STALE_S = 1.5
"""Without a reading for so long nothing is added."""


class Peak:
    """The most of a figure within a time; changes may come often."""

    __slots__ = ("_buckets", "_for_s")

    def __init__(self, for_s: float) -> None:
        self._for_s = for_s
        self._buckets: deque[tuple[float, int]] = deque()

    def note(self, now_s: float, figure: int) -> None:
        """Take the figure of this moment."""
        if self._buckets and now_s - self._buckets[-1][0] < BUCKET_S:
            begun_s, most = self._buckets[-1]
            self._buckets[-1] = (begun_s, max(most, figure))
        else:
            self._buckets.append((now_s, figure))
        while self._buckets[0][0] <= now_s - self._for_s - BUCKET_S:
            self._buckets.popleft()

    def most(self, now_s: float) -> int:
        """Return the most that was noted lately."""
        from_s = now_s - self._for_s - BUCKET_S
        return max((most for begun_s, most in self._buckets if begun_s > from_s), default=0)


class RiseWatch:
    """By how much a figure rose lately within the time that it takes to react.

    Attributes:
        reaction_s: That time.
    """

    __slots__ = ("_levels", "_rises", "reaction_s")

    def __init__(self, reaction_s: float) -> None:
        self.reaction_s = reaction_s
        self._levels: deque[tuple[float, int]] = deque()
        self._rises = Peak(WINDOW_S)

    def note(self, now_s: float, level: int) -> None:
        """Take the figure of this moment."""
        # The one before the reaction time stood until then.
        while len(self._levels) > 1 and self._levels[1][0] <= now_s - self.reaction_s:
            self._levels.popleft()
        least = min((known for _, known in self._levels), default=level)
        self._rises.note(now_s, max(0, level - least))
        self._levels.append((now_s, level))

    def restart(self) -> None:
        """Forget the level, not the rises: another source tells it from now on."""
        self._levels.clear()

    def most(self, now_s: float) -> int:
        """Return the largest rise in a reaction time."""
        return self._rises.most(now_s)


class RunnerCapacity:
    """What is known of one back end's load.

    Attributes:
        slots: Requests that it works on at a time.
        own: Batch runs of this process there.
        told: Online requests there that gateways tell of.
        untold: Online requests that its last report shows beyond those.
    """

    __slots__ = (
        "_begun",
        "_ended",
        "_read_online",
        "_read_s",
        "_told_peak",
        "own",
        "slots",
        "told",
        "untold",
    )

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.own = 0
        self.told = 0
        self.untold = 0
        self._read_online = 0
        self._told_peak = Peak(TOLD_LAG_S)
        self._read_s = float("-inf")
        self._begun = 0
        self._ended = 0

    @property
    def online(self) -> int:
        """Online requests there."""
        return self.told + self.untold

    def started(self) -> None:
        """Note a batch run that begins."""
        self.own += 1
        self._begun += 1

    def ended(self) -> None:
        """Note the end of a batch run."""
        self.own -= 1
        self._ended += 1

    def tell(self, online: int, now_s: float) -> None:
        """Take the online requests that gateways tell of."""
        if online != self.told:
            # The level that ends now stood until now.
            self._told_peak.note(now_s, self.told)
            self.told = online
        self._told_peak.note(now_s, online)

    def read(self, running: int, waiting: int, now_s: float) -> None:
        """Take a reading of all requests there, online and batch together."""
        # A reading is a little old: runs begun since the last one are perhaps not in it, and
        # runs ended since then perhaps still are. Between the two bounds, online is taken to be
        # what it was.
        total = running + waiting
        least = max(0, total - self.own - self._ended)
        most = max(least, total - self.own + self._begun)
        self._read_online = min(max(self._read_online, least), most)
        known = max(self.told, self._told_peak.most(now_s))
        self.untold = max(0, self._read_online - known)
        self._begun = self._ended = 0
        self._read_s = now_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether the last reading is too old to go by."""
        return now_s - self._read_s > STALE_S

    def excess(self, now_s: float) -> int:
        """Return how many batch runs stand in the way of online requests here."""
        if self.is_stale(now_s):
            return 0
        return max(0, min(self.own, self.online + self.own - self.slots))

    def free(self, now_s: float) -> int:
        """Return how many batch runs fit beside what is there now."""
        if self.is_stale(now_s):
            return 0
        return max(0, self.slots - self.online - self.own)


class OccupiedSlot:
    """One batch run's slot at a back end; it is freed once, however often that is asked."""

    __slots__ = ("_room",)

    def __init__(self, room: RunnerCapacity) -> None:
        self._room: RunnerCapacity | None = room
        room.started()

    def free(self) -> None:
        """Note the end of the run."""
        if self._room is not None:
            self._room.ended()
            self._room = None


class ServiceCapacity:
    """All back ends of one service.

    Attributes:
        seats: What is known of each, by its id.
        held: Online requests that wait at gateways.
        tellers: Gateways that tell of their online requests.
    """

    __slots__ = (
        "_first_s",
        "_peak",
        "_peak_seen",
        "_rise_seen",
        "_sources",
        "_told_rise",
        "_untold_rise",
        "held",
        "seats",
        "tellers",
    )

    def __init__(self) -> None:
        self.seats: dict[str, RunnerCapacity] = {}
        self.held = 0
        self.tellers = 0
        self._sources = (0, 0)
        self._peak = Peak(WINDOW_S)
        self._told_rise = RiseWatch(TOLD_REACTION_S)
        self._untold_rise = RiseWatch(REACTION_S)
        self._peak_seen = 0
        self._rise_seen = 0
        self._first_s: float | None = None

    def seat(self, key: str, slots: int) -> RunnerCapacity:
        """Return a back end's part, new if it is not known."""
        if key not in self.seats:
            self.seats[key] = RunnerCapacity(slots)
        return self.seats[key]

    def read(self, now_s: float) -> list[tuple[str, RunnerCapacity]]:
        """Return the back ends whose reading is recent, with their ids."""
        return [(key, seat) for key, seat in self.seats.items() if not seat.is_stale(now_s)]

    def keep(self, keys: frozenset[str]) -> None:
        """Forget back ends that are gone."""
        self.seats = {key: seat for key, seat in self.seats.items() if key in keys}

    def hear(self, tellers: int, interval_s: float, held: int) -> None:
        """Take what gateways tell of the whole service.

        Args:
            tellers: Gateways that tell.
            interval_s: Pause between two words of one.
            held: Online requests that wait there.
        """
        self.tellers = tellers
        self.held = held
        self._told_rise.reaction_s = TOLD_REACTION_S + interval_s

    def note(self, now_s: float) -> None:
        """Take the sum of what is known now into the peak and the fastest rise."""
        if self._first_s is None:
            self._first_s = now_s
        read = self._read(now_s)
        sources = (len(read), self.tellers)
        if sources != self._sources:
            # What one more gateway or back end tells has not arrived just now.
            self._sources = sources
            self._told_rise.restart()
            self._untold_rise.restart()
        told = sum(seat.told for seat in read) + self.held
        untold = sum(seat.untold for seat in read)
        self._peak.note(now_s, told + untold)
        self._told_rise.note(now_s, told)
        self._untold_rise.note(now_s, untold)
        self._peak_seen = self._peak.most(now_s)
        self._rise_seen = self._told_rise.most(now_s) + self._untold_rise.most(now_s)

    def allowance(self, now_s: float) -> int:
        """Return how many batch runs may be added to the service as a whole."""
        return max(0, self._most(now_s) - self._own(now_s))

    def excess(self, now_s: float) -> int:
        """Return how many batch runs should be parked."""
        if not self._read(now_s):
            # Nothing is known: what runs may go on.
            return 0
        over = self._own(now_s) - self._most(now_s)
        return over if over > SLACK_RUNS else 0

    def _own(self, now_s: float) -> int:
        # Runs at a back end that is not read take no slot of those that are: counted here, they
        # kept the others empty for as long as it was silent.
        return sum(seat.own for seat in self._read(now_s))

    def _most(self, now_s: float) -> int:
        """Return how many batch runs the service may have now."""
        read = self._read(now_s)
        slots = sum(seat.slots for seat in read)
        online = sum(seat.online for seat in read) + self.held
        free = slots - online
        margin = 0 if self.tellers else len(read) * UNTOLD_MARGIN_SLOTS
        wanted = min(self._most_online(slots, now_s) - online, self._reserve(slots, now_s))
        floor = min(free - margin, int(slots * FLOOR_SHARE))
        # Slots of the margin serve the next arrivals as well as any other.
        return max(free - max(margin, wanted), floor, 0)

    def figures(self, now_s: float) -> tuple[int, int, int, int]:
        """Return allowance, online peak, online now and slots, for a person."""
        read = self._read(now_s)
        slots = sum(seat.slots for seat in read)
        online = sum(seat.online for seat in read)
        return self.allowance(now_s), self._most_online(slots, now_s), online, slots

    def _read(self, now_s: float) -> list[RunnerCapacity]:
        return [seat for _, seat in self.read(now_s)]

    def _most_online(self, slots: int, now_s: float) -> int:
        if self._is_watched(now_s):
            return self._peak_seen
        return max(self._peak_seen, round(slots * UNSEEN_PEAK_SHARE))

    def _reserve(self, slots: int, now_s: float) -> int:
        most = round(slots * RESERVE_SHARE)
        if not self._is_watched(now_s):
            return min(most, round(slots * MOST_RISE_SHARE_PER_S * self._reaction_s()))
        # Readings waver, so a rise alone would overstate what can come.
        return min(self._rise_seen, round(self._peak_seen * ARRIVALS_SHARE), most)

    def _reaction_s(self) -> float:
        """Return the time in which batch gives way here."""
        return self._told_rise.reaction_s if self.tellers else REACTION_S

    def _is_watched(self, now_s: float) -> bool:
        """Return whether online requests were seen for long enough to know their bursts."""
        return self._first_s is not None and now_s - self._first_s >= WINDOW_S
