"""What a gateway may still begin after it was asked to stop. No I/O; the time is passed in.

A request that is passed on is cut if the process ends before its answer does, and one that may run
only once is then lost. So a request is refused, which it can be without harm until a back end has
it, unless its whole answer is expected before the process ends.
"""

from __future__ import annotations

import math

ACCEPT_AFTER_STOP_S = 3.0
"""Time after a stop request during which requests are accepted as usual.

The platform directs callers here until it has polled the readiness port twice.
"""

USUAL_RUN_UNTIL_S = 2.5
"""Time after a stop request until which the usual run of a request decides whether it is begun.

After that its deadline does: the signal may be handled late, so that the last requests are in fact
later than ``ACCEPT_AFTER_STOP_S``, from which on none may be cut.
"""

STOP_MARGIN_S = 0.7
"""Part of the grace period that is reserved for the last answers and for closing."""


class StopSchedule:
    """Times of a planned stop, in monotonic seconds; infinite until it is requested.

    Attributes:
        requested_s: When the stop was requested.
        accept_until_s: From then on all requests are refused.
        answer_by_s: When each request that is in progress must have its answer.
    """

    __slots__ = ("accept_until_s", "answer_by_s", "requested_s")

    def __init__(self) -> None:
        self.requested_s = self.accept_until_s = self.answer_by_s = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether a stop was requested."""
        return self.requested_s != math.inf

    def begin(self, requested_s: float, grace_s: float) -> None:
        """Set the times.

        Args:
            requested_s: When the stop was requested.
            grace_s: Seconds from then until the process is killed.
        """
        self.requested_s = requested_s
        self.answer_by_s = requested_s + max(0.0, grace_s - STOP_MARGIN_S)
        self.accept_until_s = min(requested_s + ACCEPT_AFTER_STOP_S, self.answer_by_s)

    def refuses(self, arrived_s: float) -> bool:
        """Return whether a request that arrived at a time is refused, whatever it takes."""
        return arrived_s >= self.accept_until_s

    def may_cut(self, now_s: float, run_s: float, deadline_s: float) -> bool:
        """Return whether a request that is begun now may be cut by the end of the process.

        Args:
            now_s: Current time.
            run_s: Usual time from sending it to the end of its answer, in seconds.
            deadline_s: When its caller gives up.
        """
        if self.refuses(now_s) or now_s + run_s > self.answer_by_s:
            return True
        is_late = now_s >= self.requested_s + USUAL_RUN_UNTIL_S
        return is_late and deadline_s > self.answer_by_s


__all__ = ["ACCEPT_AFTER_STOP_S", "STOP_MARGIN_S", "USUAL_RUN_UNTIL_S", "StopSchedule"]
