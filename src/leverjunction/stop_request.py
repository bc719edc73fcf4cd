"""Notes when a process was asked to stop, also while it still loads its code.

The time until the forced kill is counted from the signal, so a process that learns of it only once
it serves would expect more time than it has.

Imports nothing of the product that takes long to load.
"""

from __future__ import annotations

import signal
from types import FrameType

from leverjunction.clock import steady_s
from leverjunction.listener import STOP_SIGNALS


class StopRequest:
    """The first stop signal of this process, from ``listen`` on.

    Attributes:
        requested_s: When it came, in monotonic seconds; None before.
    """

    __slots__ = ("requested_s",)

    def __init__(self) -> None:
        self.requested_s: float | None = None

    def listen(self) -> None:
        """Handle the stop signals; call it on the main thread."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    def note(self, at_s: float) -> None:
        """Note a signal that another handler has received, with its time in monotonic seconds."""
        if self.requested_s is None:
            self.requested_s = at_s

    def _note(self, _number: int, _frame: FrameType | None) -> None:
        self.note(steady_s())


__all__ = ["StopRequest"]
