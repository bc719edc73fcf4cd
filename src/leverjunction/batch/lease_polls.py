"""When a gateway asks a job group for a lease. Pure: time and randomness are passed in.

Hubs tell which services have pending items in which group. Such a word may be late or lost, so it
decides only how often is asked: soon and often where work is said to be, seldom where there is
none, and as without any word in a group that the hub knows nothing of.
"""

from __future__ import annotations

import random as random_module
from collections.abc import Iterable

import msgspec

from leverjunction.wire.messages import PendingWork

EMPTY_POLL_S = 0.5
MAX_EMPTY_POLL_S = 2.0
"""A group without work is asked again after this, longer each time, spread by half. Most jobs come
in heaps 10 s apart, so a longest wait near that would leave the fleet idle for much of it."""

SAFETY_POLL_S = 30.0
"""Where no work is said to be is asked this seldom, spread by half, in case the word was lost."""


class Place(msgspec.Struct, frozen=True):
    """One service in one job group."""

    group: str
    service: str


class PollSchedule:
    """Next poll of each place. Not safe between threads by itself."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._known_groups: set[str] = set()
        self._pending: set[Place] = set()
        self._next_poll_s: dict[Place, float] = {}
        self._empty_polls: dict[Place, int] = {}
        self._giving: set[Place] = set()

    def told(self, work: Iterable[PendingWork]) -> bool:
        """Take the whole of what the hub knows; returns whether something is to be asked now."""
        news = list(work)
        known = {one.group for one in news}
        pending = {Place(one.group, service) for one in news for service in one.services}
        forgotten = self._known_groups - known
        fresh = pending - self._pending
        for place in list(self._next_poll_s):
            if place in fresh or place.group in forgotten:
                del self._next_poll_s[place]
                self._empty_polls.pop(place, None)
        self._known_groups = known
        self._pending = pending
        return bool(fresh)

    def is_due(self, place: Place, now_s: float) -> bool:
        """Return whether a place may be asked now."""
        return now_s >= self._next_poll_s.get(place, 0.0)

    def had_items(self, place: Place) -> None:
        """Note that a place gave items: it may be asked again at once."""
        self._giving.add(place)
        self._empty_polls.pop(place, None)
        self._next_poll_s.pop(place, None)

    def was_empty(self, place: Place, now_s: float, *, is_unanswered: bool) -> None:
        """Note that a place gave nothing.

        Args:
            place: The place that was asked.
            now_s: Time at which it was asked.
            is_unanswered: Whether the answer to a grant is missing: its items may be leased to
                this gateway already, and would wait for the end of the lease.
        """
        self._giving.discard(place)
        polls = self._empty_polls.get(place, 0) + 1
        self._empty_polls[place] = polls
        if is_unanswered:
            mean_s = EMPTY_POLL_S
        elif place.group not in self._known_groups or place in self._pending:
            mean_s = min(EMPTY_POLL_S * polls, MAX_EMPTY_POLL_S)
        else:
            mean_s = SAFETY_POLL_S
        self._next_poll_s[place] = now_s + mean_s * self._random.uniform(0.5, 1.0)

    def is_quiet(self, groups: Iterable[str]) -> bool:
        """Return whether no work is at hand or said to be in any of these groups."""
        if self._pending or self._giving:
            return False
        return self._known_groups.issuperset(groups)
