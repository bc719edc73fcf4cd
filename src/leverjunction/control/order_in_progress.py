"""The state of a placement order from planning to completion. Pure: the time is passed in."""

from __future__ import annotations

import msgspec
from loguru import logger

from leverjunction.backends.types import LoadReport
from leverjunction.control.messages import PendingOrder, RunnerReading
from leverjunction.control.placement import WantedOrder, engine_model_name, is_done
from leverjunction.wire.messages import PlacementStamp

SEND_LIMIT_S = 30.0
"""An order that could not be delivered for this long is dropped and planned again."""

LOAD_LIMIT_S = 900.0
"""An order that is not done after this long is dropped and planned again."""

SILENT_LIMIT_S = 30.0
"""An order to a runner that has been unreachable for this long is dropped and planned again, so
that a dead runner that is still listed does not occupy a load slot until ``LOAD_LIMIT_S``. Equal to
``SEND_LIMIT_S``. A later order has a higher fence, so an engine that was only disconnected refuses
the delayed order.
"""


class OrderInProgress(msgspec.Struct, kw_only=True):
    """An order of the current leader's term, and its progress.

    Attributes:
        pending: The order and the runner to which it is sent.
        started_s: Monotonic time at which it was planned or taken over, in seconds.
        announced: Stamp of the first placement record that contains it, which a majority of hubs
            must have before it is sent; None before that record exists.
        sent: Whether the engine has accepted it.
        last_reached_s: Monotonic time at which the runner was last reached, in seconds; 0 if it has
            not been reached since the order was accepted.
    """

    pending: PendingOrder
    started_s: float
    announced: PlacementStamp | None = None
    sent: bool = False
    last_reached_s: float = 0.0

    @property
    def engine_model_name(self) -> str:
        """The name under which engines list the model or adapter to change."""
        return engine_model_name(self.pending.order.model, self.pending.order.adapter)

    def targets_other_incarnation(self, report: RunnerReading | LoadReport) -> bool:
        """Return whether the order was planned for another incarnation of the engine.

        A restarted engine has lost its highest fence, and serves the models that it loaded at its
        start. An order that waited for a withdrawal at the previous incarnation would change a
        model that is in use.

        Args:
            report: What the engine now reports.
        """
        planned = self.pending.incarnation
        return planned != 0 and report.incarnation != planned

    def has_ended(self, reading: RunnerReading | None, now_s: float) -> bool:
        """Return whether the order is done, was lost with an engine restart, or timed out.

        Args:
            reading: The best reading of the runner; None if there is none.
            now_s: Monotonic time in seconds.
        """
        pending = self.pending
        age_s = now_s - self.started_s
        if reading is not None and reading.reachable and self.targets_other_incarnation(reading):
            logger.info("placement: {} restarted; order dropped", pending.runner_id)
            return True
        if not self.sent:
            return age_s > SEND_LIMIT_S
        if age_s > LOAD_LIMIT_S:
            logger.warning("placement: {} timed out after {:.0f} s", pending, age_s)
            return True
        if reading is None or not reading.reachable:
            silent_s = now_s - max(self.last_reached_s, self.started_s)
            if silent_s > SILENT_LIMIT_S:
                logger.warning(
                    "placement: {} dropped: runner silent for {:.0f} s", pending, silent_s
                )
            return silent_s > SILENT_LIMIT_S
        self.last_reached_s = now_s
        return is_done(_to_wanted_order(pending), reading.models, reading.versions)


def _to_wanted_order(pending: PendingOrder) -> WantedOrder:
    order = pending.order
    return WantedOrder(
        runner_id=pending.runner_id,
        action=order.action,
        model=order.model,
        adapter=order.adapter,
        version=order.version,
    )


__all__ = ["OrderInProgress"]
