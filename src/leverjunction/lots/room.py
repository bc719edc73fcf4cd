"""How much batch work a service's back ends may have beside their online requests. Pure.

Online load comes in bursts of seconds, with lulls between them that are worth filling, but a burst
is there sooner than a reading tells of it. So batch always leaves a reserve for the next arrivals:
as many as came lately in the time that it takes to give way, up to the most online requests that
the service had lately. As they come, batch is parked, and the reserve is kept ahead of them.
Gateways send online requests where there is room, so the service as a whole must have it. Batch
never waits in a back end's queue, where an online request would wait behind it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

WINDOW_S = 8.0
"""How far back the online peak is looked for; longer than the pauses between bursts."""

UNSEEN_PEAK_SHARE = 0.6
"""Share of the slots that online is taken to need while it was watched for less than the window,
as after a change of leader: a lull would otherwise be filled just before the next burst.
"""

MARGIN_SLOTS = 1
"""Slots of each back end that batch leaves free at any moment."""

REACTION_S = 0.2
"""Time in which batch gives way: a reading's interval and its lag, a step of the runner, and the
end of the runs that are parked.
"""

RESERVE_SHARE = 0.35
"""Share of the slots that is kept for the next arrivals while it is not known how fast online
requests come; never more than that.
"""

FLOOR_SHARE = 1 / 8
"""Share of the slots that batch may have without a reserve, as long as they are free now."""

ARRIVALS_SHARE = 1 / 3
"""Of the peak: at most so much of it arrives in the reaction time, as requests last for longer."""

SLACK_RUNS = 2
"""Runs beyond what is allowed before any is parked: readings waver."""

STALE_S = 1.5
"""Without a reading for so long nothing is added."""


class SeatRoom:
    """What is known of one back end's load.

    Attributes:
        slots: Requests that it works on at a time.
        own: Batch runs of this process there.
        online: Online requests there when it was read last.
    """

    __slots__ = ("_begun", "_ended", "_read_s", "online", "own", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.own = 0
        self.online = 0
        self._read_s = float("-inf")
        self._begun = 0
        self._ended = 0

    def started(self) -> None:
        """Note a batch run that begins."""
        self.own += 1
        self._begun += 1

    def ended(self) -> None:
        """Note the end of a batch run."""
        self.own -= 1
        self._ended += 1

    def told(self, running: int, waiting: int, now_s: float) -> None:
        """Take a reading of all requests there, online and batch together."""
        # A reading is a little old: runs begun since the last one are perhaps not in it, and
        # runs ended since then perhaps still are. Between the two bounds, online is taken to be
        # what it was.
        total = running + waiting
        least = max(0, total - self.own - self._ended)
        most = max(least, total - self.own + self._begun)
        self.online = min(max(self.online, least), most)
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
        return max(0, self.slots - MARGIN_SLOTS - self.online - self.own)


class OnlineLevel:
    """Online requests at all back ends of a service at one moment.

    Attributes:
        at_s: When it was noted.
        online: How many there were.
        rise: How many more than at the least moment of the reaction time before.
    """

    __slots__ = ("at_s", "online", "rise")

    def __init__(self, at_s: float, online: int, rise: int) -> None:
        self.at_s = at_s
        self.online = online
        self.rise = rise


class ServiceRoom:
    """All back ends of one service.

    Attributes:
        seats: What is known of each, by its id.
    """

    __slots__ = ("_first_s", "_levels", "_peak_seen", "_rise_seen", "seats")

    def __init__(self) -> None:
        self.seats: dict[str, SeatRoom] = {}
        self._levels: deque[OnlineLevel] = deque()
        self._peak_seen = 0
        self._rise_seen = 0
        self._first_s: float | None = None

    def seat(self, key: str, slots: int) -> SeatRoom:
        """Return a back end's part, new if it is not known."""
        if key not in self.seats:
            self.seats[key] = SeatRoom(slots)
        return self.seats[key]

    def keep(self, keys: frozenset[str]) -> None:
        """Forget back ends that are gone."""
        self.seats = {key: seat for key, seat in self.seats.items() if key in keys}

    def note(self, now_s: float) -> None:
        """Take the sum of the latest readings into the peak and the fastest rise."""
        if self._first_s is None:
            self._first_s = now_s
        online = sum(seat.online for seat in self._read(now_s))
        rise = online - min(self._since(now_s - REACTION_S), default=online)
        self._levels.append(OnlineLevel(now_s, online, max(0, rise)))
        while self._levels[0].at_s < now_s - WINDOW_S:
            self._levels.popleft()
        self._peak_seen = max(level.online for level in self._levels)
        self._rise_seen = max(level.rise for level in self._levels)

    def _since(self, from_s: float) -> Iterator[int]:
        """Return the levels from a moment on, the newest first; the last one stood then."""
        for level in reversed(self._levels):
            yield level.online
            if level.at_s <= from_s:
                return

    def allowance(self, now_s: float) -> int:
        """Return how many batch runs may be added to the service as a whole."""
        return max(0, self._most(now_s) - self._own())

    def excess(self, now_s: float) -> int:
        """Return how many batch runs should be parked."""
        if not self._read(now_s):
            # Nothing is known: what runs may go on.
            return 0
        over = self._own() - self._most(now_s)
        return over if over > SLACK_RUNS else 0

    def _own(self) -> int:
        return sum(seat.own for seat in self.seats.values())

    def _most(self, now_s: float) -> int:
        """Return how many batch runs the service may have now."""
        read = self._read(now_s)
        slots = sum(seat.slots for seat in read)
        online = sum(seat.online for seat in read)
        free = slots - online
        margin = len(read) * MARGIN_SLOTS
        wanted = min(self._peak(slots, now_s) - online, self._reserve(slots, now_s))
        floor = min(free - margin, int(slots * FLOOR_SHARE))
        # Slots of the margin serve the next arrivals as well as any other.
        return max(free - max(margin, wanted), floor, 0)

    def figures(self, now_s: float) -> tuple[int, int, int, int]:
        """Return allowance, online peak, online now and slots, for a person."""
        read = self._read(now_s)
        slots = sum(seat.slots for seat in read)
        online = sum(seat.online for seat in read)
        return self.allowance(now_s), self._peak(slots, now_s), online, slots

    def _read(self, now_s: float) -> list[SeatRoom]:
        return [seat for seat in self.seats.values() if not seat.is_stale(now_s)]

    def _peak(self, slots: int, now_s: float) -> int:
        if self._is_watched(now_s):
            return self._peak_seen
        return max(self._peak_seen, round(slots * UNSEEN_PEAK_SHARE))

    def _reserve(self, slots: int, now_s: float) -> int:
        most = round(slots * RESERVE_SHARE)
        if not self._is_watched(now_s):
            return most
        # Readings waver, so a rise alone would overstate what can come.
        return min(self._rise_seen, round(self._peak_seen * ARRIVALS_SHARE), most)

    def _is_watched(self, now_s: float) -> bool:
        """Return whether online requests were seen for long enough to know their bursts."""
        return self._first_s is not None and now_s - self._first_s >= WINDOW_S
