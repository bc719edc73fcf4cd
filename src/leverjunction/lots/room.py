"""How much batch work a back end may have beside its online requests. Pure.

Online load comes in bursts of seconds and batch runs last for seconds, so a run that is started in
a lull is still there in the next burst. Room is therefore kept for the most online requests that
were seen lately, not for those of the moment; batch never waits in a back end's queue, where an
online request would wait behind it.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 8.0
"""How far back the online peak is looked for; longer than the pauses between bursts."""

MARGIN_SLOTS = 1
FLOOR_DIVISOR = 6
"""A sixth of the slots is given to batch whatever the peak was, as long as it is free now."""

UNSEEN_PEAK_SHARE = 0.6
"""Share of the slots that online is taken to need while it was watched for less than the window,
as after a change of leader: a lull would otherwise be filled just before the next burst.
"""

STALE_S = 1.5
"""Without a reading for so long nothing is added."""


class BatchRoom:
    """What is known of one back end's load.

    Attributes:
        slots: Requests that it works on at a time.
        own: Batch runs of this process there.
    """

    __slots__ = ("_first_s", "_online", "_online_now", "_read_s", "_since_read", "own", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.own = 0
        self._online: deque[tuple[float, int]] = deque()
        self._online_now = 0
        self._read_s = float("-inf")
        self._since_read = 0
        self._first_s: float | None = None

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
        self._online_now = max(0, running + waiting - batch)
        self._read_s = now_s
        if self._first_s is None:
            self._first_s = now_s
        self._online.append((now_s, self._online_now))
        while self._online[0][0] < now_s - WINDOW_S:
            self._online.popleft()

    def is_stale(self, now_s: float) -> bool:
        """Return whether the last reading is too old to go by."""
        return now_s - self._read_s > STALE_S

    def free(self, now_s: float) -> int:
        """Return how many batch runs may be added now."""
        if self.is_stale(now_s):
            return 0
        now_free = self.slots - MARGIN_SLOTS - self._online_now - self.own
        peak = self._peak(now_s)
        cap = max(self.slots - MARGIN_SLOTS - peak, self.slots // FLOOR_DIVISOR, 1)
        return max(0, min(now_free, cap - self.own))

    def _peak(self, now_s: float) -> int:
        seen = max((count for _, count in self._online), default=0)
        watched_s = now_s - self._first_s if self._first_s is not None else 0.0
        if watched_s >= WINDOW_S:
            return seen
        return max(seen, round(self.slots * UNSEEN_PEAK_SHARE))
