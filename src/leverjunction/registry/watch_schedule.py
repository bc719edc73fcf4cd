"""How a follower of the registry asks control processes. Pure.

One call is held at a control process until something is newer. After a silence others are asked
one by one without holding, since a change may have been missed: their sum with the silence that
was waited for stays below the time in which a change is to be in force.
"""

from __future__ import annotations

from random import Random

import msgspec

from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.registry.commands import WatchReply

WAIT_MS = 900
CALL_TIMEOUT_S = 1.3
"""Above the time for which an answer may be held."""

QUICK_TIMEOUT_S = 0.35
"""For an answer that is not held: two silent processes in a row cost 1.65 s."""

FIRST_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1

_SILENCE = frozenset({FailureKind.TIMEOUT, FailureKind.UNREACHABLE})


class WatchOptions(msgspec.Struct, frozen=True):
    """How the next question is put.

    Attributes:
        wait_ms: For how long the answer may be held.
        timeout_s: Longest wait for the answer.
    """

    wait_ms: int
    timeout_s: float


class WatchSchedule:
    """What the next question looks like, by what became of those before."""

    __slots__ = ("_random", "_silences", "_unanswered")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._unanswered = False
        self._silences = 0

    def next_options(
        self, has_state: bool, processes: int, *, at_once: bool = False
    ) -> WatchOptions:
        """Return how to ask.

        Args:
            has_state: The asker has had a state before.
            processes: Control processes that are known.
            at_once: Somebody waits for the answer, whether there is news or not.
        """
        if not has_state:
            return WatchOptions(0, FIRST_TIMEOUT_S)
        if not (self._unanswered or at_once):
            return WatchOptions(WAIT_MS, CALL_TIMEOUT_S)
        # All in a row may be slow, not silent: large answers to many processes that start at once.
        is_quick = self._silences <= processes
        return WatchOptions(0, QUICK_TIMEOUT_S if is_quick else CALL_TIMEOUT_S)

    def record_success(self) -> None:
        """Note an answer that can be relied on."""
        self._unanswered = False
        self._silences = 0

    def record_failure(self, failure: Failure, lasted_s: float) -> float:
        """Note that a process is of no use now; return the pause before the next, in seconds.

        Args:
            failure: What it answered, or that it did not.
            lasted_s: How long that took; it counts as a part of the pause.
        """
        self._unanswered = True
        if failure.kind in _SILENCE:
            self._silences += 1
        pause_s = RETRY_PAUSE_S * self._random.uniform(0.5, 1.5)
        return max(0.0, pause_s - lasted_s)


def check_not_behind(reply: WatchReply, table_version: int, revision: int) -> Failure | None:
    """Return a failure if an answer comes from a process that knows less than the asker."""
    says_nothing = reply.table_version < 0
    if says_nothing or (reply.table_version >= table_version and reply.revision >= revision):
        return None
    return Failure(
        kind=FailureKind.STALE,
        reason=(
            f"it has table {reply.table_version} and revision {reply.revision}, "
            f"here are {table_version} and {revision}"
        ),
        step=Step.EXCHANGING,
    )
