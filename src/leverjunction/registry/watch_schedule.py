"""Chooses timeouts and pauses for the polling of control processes.

Normally one call is held at a control process until the registry changes. After a failed call a
change may have been missed, so the next processes are called one by one without holding. The failed
call and those that follow together stay below the time in which a change must be in force.

This module does no I/O; callers pass in how long calls took.
"""

from __future__ import annotations

from random import Random

import msgspec

from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry.commands import WatchReply
from leverjunction.registry.records import FleetView, MemberRole

WAIT_MS = 900
CALL_TIMEOUT_S = 1.3
"""Timeout of a held call; longer than ``WAIT_MS``, the time for which the reply may be held."""

QUICK_TIMEOUT_S = 0.35
"""Timeout of a call that is not held: two unresponsive processes in a row cost 1.65 s."""

FIRST_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1
FULL_PAUSE_S = 0.4
"""Pause after a process that holds too many calls. Where all are full, followers poll by it; it is
well below the time in which a change must be in force.
"""

_NO_REPLY = frozenset({FailureKind.TIMEOUT, FailureKind.UNREACHABLE})


class WatchOptions(msgspec.Struct, frozen=True):
    """Options of one poll.

    Attributes:
        wait_ms: Longest time for which the reply may be held, in milliseconds.
        timeout_s: Timeout of the call, in seconds.
    """

    wait_ms: int
    timeout_s: float


class WatchSchedule:
    """Chooses the options of the next poll by the outcomes of earlier ones.

    Args:
        random: Varies the pauses between failed calls.
    """

    __slots__ = ("_has_failed", "_random", "_timeouts")

    def __init__(self, random: Random) -> None:
        self._random = random
        self._has_failed = False
        self._timeouts = 0

    def next_options(
        self, has_state: bool, processes: int, *, at_once: bool = False
    ) -> WatchOptions:
        """Return the options of the next poll.

        Args:
            has_state: Whether the caller has any state of the registry.
            processes: Number of known control processes.
            at_once: Whether the reply must not be held, because requests wait for it.
        """
        if not has_state:
            return WatchOptions(0, FIRST_TIMEOUT_S)
        if not (self._has_failed or at_once):
            return WatchOptions(WAIT_MS, CALL_TIMEOUT_S)
        # If every process timed out, they may be slow rather than down: large replies to many
        # processes that start at the same time.
        is_quick = self._timeouts <= processes
        return WatchOptions(0, QUICK_TIMEOUT_S if is_quick else CALL_TIMEOUT_S)

    def record_success(self) -> None:
        """Record a valid reply."""
        self._has_failed = False
        self._timeouts = 0

    def record_failure(self, failure: Failure, lasted_s: float) -> float:
        """Record a failed call and return the pause before the next call, in seconds.

        Args:
            failure: Failure that the process returned, or why it could not be reached.
            lasted_s: Duration of the call in seconds; it is subtracted from the pause.
        """
        self._has_failed = True
        if failure.kind in _NO_REPLY:
            self._timeouts += 1
        is_full = failure.kind is FailureKind.OVERLOADED
        pause_s = (FULL_PAUSE_S if is_full else RETRY_PAUSE_S) * self._random.uniform(0.5, 1.5)
        return max(0.0, pause_s - lasted_s)


def near_first(hubs: list[str], view: FleetView, zone: str) -> list[str]:
    """Return control processes with those of a zone first, otherwise in their order.

    Args:
        hubs: RPC addresses of control processes.
        view: Tells their zones.
        zone: Zone of the caller; empty if it is not known.
    """
    near = {
        member.address
        for member in view.members
        if member.role is MemberRole.CONTROL and zone and member.zone == zone
    }
    return sorted(hubs, key=lambda hub: hub not in near)


def check_not_behind(reply: WatchReply, table_version: int, revision: int) -> Failure | None:
    """Return a failure if the replying process has older state than the caller, else None.

    Args:
        reply: Reply of a control process.
        table_version: Version of the caller's route table, -1 for none.
        revision: Revision of the caller's view, -1 for none.
    """
    has_no_versions = reply.table_version < 0
    if has_no_versions or (reply.table_version >= table_version and reply.revision >= revision):
        return None
    return Failure(
        kind=FailureKind.STALE,
        reason=(
            f"it has table {reply.table_version} and revision {reply.revision}, older than "
            f"{table_version} and {revision} here"
        ),
        step=Step.EXCHANGING,
        execution=Execution.NOT_RUN,
    )
