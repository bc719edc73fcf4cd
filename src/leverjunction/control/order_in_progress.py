"""An order of the process that leads placement, from its plan to its end. Pure."""

from __future__ import annotations

import msgspec
from loguru import logger

from leverjunction.backends.types import LoadReport
from leverjunction.control.messages import PendingOrder, RunnerReading
from leverjunction.control.placement import WantedOrder, engine_model_name, is_done
from leverjunction.wire.messages import PlacementStamp

SEND_LIMIT_S = 30.0
"""An order that could not be delivered for this long is dropped and planned anew."""

LOAD_LIMIT_S = 900.0
"""A load that is not done after this long is dropped and planned anew."""

SILENT_LIMIT_S = 30.0
"""An order to a runner that nobody has reached for this long is dropped and planned anew, so that a
dead one that stays listed does not hold a place for loads until ``LOAD_LIMIT_S``. As long as for
one that could not be delivered. A later order has a higher fence, so an engine that was only cut
off refuses what is late.
"""


class OrderInProgress(msgspec.Struct, kw_only=True):
    """An order of this leader's term, and how far it is.

    Attributes:
        pending: What is ordered, and of whom.
        began_s: When it was planned or taken over.
        told: From when on most hubs have to know it; None before it was told.
        sent: Whether the engine has accepted it.
        reached_s: When the runner was last known to be reached, since it began.
    """

    pending: PendingOrder
    began_s: float
    told: PlacementStamp | None = None
    sent: bool = False
    reached_s: float = 0.0

    @property
    def engine_model_name(self) -> str:
        """The name under which engines list what is to change."""
        return engine_model_name(self.pending.order.model, self.pending.order.adapter)

    def is_for_another_life(self, word: RunnerReading | LoadReport) -> bool:
        """Return whether the engine that gives its word is not the one that this was planned for.

        One that started again has the fences of before no longer, and serves what it loaded at its
        start: an order that waited for a withdrawal in its life before would meet requests.
        """
        planned = self.pending.incarnation
        return planned != 0 and word.incarnation != planned

    def is_over(self, reading: RunnerReading | None, now_s: float) -> bool:
        """Return whether it is done, lost with a restart of the engine, or out of time.

        Args:
            reading: The best reading of the runner; None without any.
            now_s: Monotonic time in seconds.
        """
        pending = self.pending
        age_s = now_s - self.began_s
        if reading is not None and reading.reachable and self.is_for_another_life(reading):
            logger.info("placement: {} started again, its order ends", pending.runner_id)
            return True
        if not self.sent:
            return age_s > SEND_LIMIT_S
        if age_s > LOAD_LIMIT_S:
            logger.warning("placement: {} is not done after {:.0f} s", pending, age_s)
            return True
        if reading is None or not reading.reachable:
            silent_s = now_s - max(self.reached_s, self.began_s)
            if silent_s > SILENT_LIMIT_S:
                logger.warning("placement: {} is silent for {:.0f} s", pending, silent_s)
            return silent_s > SILENT_LIMIT_S
        self.reached_s = now_s
        return is_done(_wanted_of(pending), reading.models, reading.versions)


def _wanted_of(pending: PendingOrder) -> WantedOrder:
    order = pending.order
    return WantedOrder(
        runner_id=pending.runner_id,
        action=order.action,
        model=order.model,
        adapter=order.adapter,
        version=order.version,
    )


__all__ = ["OrderInProgress"]
