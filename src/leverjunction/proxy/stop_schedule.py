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

STOP_MARGIN_S = 0.7
"""Part of the grace period that is reserved for the last answers and for closing."""


class StopSchedule:
    """Times of a planned stop, in monotonic seconds; infinite until it is requested.

    Attributes:
        accept_until_s: When the first request is refused because of the stop.
        answer_by_s: When each request that is in progress must have its answer.
    """

    __slots__ = ("accept_until_s", "answer_by_s")

    def __init__(self) -> None:
        self.accept_until_s = self.answer_by_s = math.inf

    @property
    def has_begun(self) -> bool:
        """Whether a stop was requested."""
        return self.answer_by_s != math.inf

    def begin(self, requested_s: float, grace_s: float) -> None:
        """Set the times.

        Args:
            requested_s: When the stop was requested.
            grace_s: Seconds from then until the process is killed.
        """
        self.answer_by_s = requested_s + max(0.0, grace_s - STOP_MARGIN_S)
        self.accept_until_s = min(requested_s + ACCEPT_AFTER_STOP_S, self.answer_by_s)

    def refuses(self, arrived_s: float, run_s: float = 0.0) -> bool:
        """Return whether a request is refused because of the stop.

        Args:
            arrived_s: When it had arrived.
            run_s: Expected time from sending it to the end of its answer, in seconds.
        """
        return arrived_s >= self.accept_until_s or arrived_s + run_s > self.answer_by_s


__all__ = ["ACCEPT_AFTER_STOP_S", "STOP_MARGIN_S", "StopSchedule"]
