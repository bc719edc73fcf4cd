"""How much batch work a service's back ends may have beside their online requests. Pure.

Online load comes in bursts of seconds and batch runs last for seconds, so a run that is started in
a lull is still there in the next burst. Room is therefore kept for the most online requests that
the service had lately, not for those of the moment. Gateways send online requests where there is
room, so it is the service as a whole that must have it. Batch never waits in a back end's queue,
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

MARGIN_SLOTS = 1
"""Slots of each back end that batch leaves free at any moment."""

FLOOR_SHARE = 1 / 6
"""Share of the slots that batch may have whatever the peak was, as long as they are free now."""

STALE_S = 1.5
"""Without a reading for so long nothing is added."""


class SeatRoom:
    """What is known of one back end's load.

    Attributes:
        slots: Requests that it works on at a time.
        own: Batch runs of this process there.
        online: Online requests there when it was read last.
    """

    __slots__ = ("_read_s", "_since_read", "online", "own", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.own = 0
        self.online = 0
        self._read_s = float("-inf")
        self._since_read = 0

    def started(self) -> None:
        """Note a batch run that begins."""
        self.own += 1
        self._since_read += 1

    def ended(self) -> None:
        """Note the end of a batch run."""
        self.own -= 1

    def told(self, running: int, waiting: int, now_s: float) -> None:
        """Take a reading of all requests there, online and batch together."""
        # Runs begun since the last reading are perhaps not in this one, which is a little old.
        batch = max(0, self.own - self._since_read)
        self._since_read = 0
        self.online = max(0, running + waiting - batch)
        self._read_s = now_s

    def is_stale(self, now_s: float) -> bool:
        """Return whether the last reading is too old to go by."""
        return now_s - self._read_s > STALE_S

    def free(self, now_s: float) -> int:
        """Return how many batch runs fit beside what is there now."""
        if self.is_stale(now_s):
            return 0
        return max(0, self.slots - MARGIN_SLOTS - self.online - self.own)


class ServiceRoom:
    """All back ends of one service.

    Attributes:
        seats: What is known of each, by its id.
    """

    __slots__ = ("_first_s", "_online", "seats")

    def __init__(self) -> None:
        self.seats: dict[str, SeatRoom] = {}
        self._online: deque[tuple[float, int]] = deque()
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
        """Take the sum of the latest readings into the peak."""
        if self._first_s is None:
            self._first_s = now_s
        self._online.append((now_s, sum(seat.online for seat in self._read(now_s))))
        while self._online[0][0] < now_s - WINDOW_S:
            self._online.popleft()

    def allowance(self, now_s: float) -> int:
        """Return how many batch runs may be added to the service as a whole."""
        read = self._read(now_s)
        slots = sum(seat.slots for seat in read)
        room = slots - len(read) * MARGIN_SLOTS - self._peak(slots, now_s)
        most = max(room, int(slots * FLOOR_SHARE))
        return max(0, most - sum(seat.own for seat in self.seats.values()))

    def figures(self, now_s: float) -> tuple[int, int, int, int]:
        """Return allowance, online peak, online now and slots, for a person."""
        read = self._read(now_s)
        slots = sum(seat.slots for seat in read)
        online = sum(seat.online for seat in read)
        return self.allowance(now_s), self._peak(slots, now_s), online, slots

    def _read(self, now_s: float) -> list[SeatRoom]:
        return [seat for seat in self.seats.values() if not seat.is_stale(now_s)]

    def _peak(self, slots: int, now_s: float) -> int:
        seen = max((count for _, count in self._online), default=0)
        watched_s = now_s - self._first_s if self._first_s is not None else 0.0
        if watched_s >= WINDOW_S:
            return seen
        return max(seen, round(slots * UNSEEN_PEAK_SHARE))
