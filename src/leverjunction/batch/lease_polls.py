"""Schedule of a gateway's polls of the job groups for leases.

Hubs report which services have pending items in which group. A report may be late or lost, so it
determines only how often a group is polled: often where work is reported, rarely where none is
reported, and at the default rate in a group that the hub knows nothing about.

The module does no I/O; time and the random source are passed in.
"""

from __future__ import annotations

import random as random_module
from collections.abc import Iterable

import msgspec

from leverjunction.wire.messages import PendingWork

EMPTY_POLL_S = 0.5
MAX_EMPTY_POLL_S = 2.0
"""Interval between polls of a group that returned nothing: the initial and the maximum value.

The interval grows by the initial value with each empty poll and is jittered down by up to half.
Most jobs arrive in bursts 10 s apart, so a maximum near 10 s would leave the fleet idle for much of
that time.
"""

SAFETY_POLL_S = 30.0
"""Interval between polls where no work is reported, jittered down by up to half.

It bounds the delay after a lost report.
"""


class PollTarget(msgspec.Struct, frozen=True):
    """One service in one job group, polled on its own schedule."""

    group: str
    service: str


class PollSchedule:
    """Time of the next poll of each target. Not thread-safe.

    Args:
        random: Source of the jitter.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._known_groups: set[str] = set()
        self._pending: set[PollTarget] = set()
        self._next_poll_s: dict[PollTarget, float] = {}
        self._empty_polls: dict[PollTarget, int] = {}
        self._with_items: set[PollTarget] = set()

    def update(self, work: Iterable[PendingWork]) -> bool:
        """Replace the reported work.

        Targets that have work newly reported, and targets in groups that the hub no longer knows
        about, become due immediately.

        Args:
            work: All pending work that the hub knows about.

        Returns:
            Whether any target has work newly reported.
        """
        entries = list(work)
        known_groups = {entry.group for entry in entries}
        pending_targets = {
            PollTarget(entry.group, service) for entry in entries for service in entry.services
        }
        forgotten_groups = self._known_groups - known_groups
        new_targets = pending_targets - self._pending
        for target in list(self._next_poll_s):
            if target in new_targets or target.group in forgotten_groups:
                del self._next_poll_s[target]
                self._empty_polls.pop(target, None)
        self._known_groups = known_groups
        self._pending = pending_targets
        return bool(new_targets)

    def is_due(self, target: PollTarget, now_s: float) -> bool:
        """Return whether a target may be polled now."""
        return now_s >= self._next_poll_s.get(target, 0.0)

    def record_items(self, target: PollTarget) -> None:
        """Record that a poll returned items: the target is due again immediately."""
        self._with_items.add(target)
        self._empty_polls.pop(target, None)
        self._next_poll_s.pop(target, None)

    def record_empty(self, target: PollTarget, now_s: float, *, is_unanswered: bool) -> None:
        """Record that a poll returned nothing, and schedule the next one.

        Args:
            target: The target that was polled.
            now_s: Monotonic time of the poll in seconds.
            is_unanswered: Whether the reply to a grant is missing. Its items may already be leased
                to this gateway and would wait until the lease expires, so the next poll is soon.
        """
        self._with_items.discard(target)
        polls = self._empty_polls.get(target, 0) + 1
        self._empty_polls[target] = polls
        if is_unanswered:
            mean_s = EMPTY_POLL_S
        elif target.group not in self._known_groups or target in self._pending:
            mean_s = min(EMPTY_POLL_S * polls, MAX_EMPTY_POLL_S)
        else:
            mean_s = SAFETY_POLL_S
        self._next_poll_s[target] = now_s + mean_s * self._random.uniform(0.5, 1.0)

    def is_idle(self, groups: Iterable[str]) -> bool:
        """Return whether there is no sign of work, so that checks may be rare.

        There are signs of work if any target has reported work or returned items in its last poll,
        or if the hub knows nothing about one of ``groups``.
        """
        if self._pending or self._with_items:
            return False
        return self._known_groups.issuperset(groups)
