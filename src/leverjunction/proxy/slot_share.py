"""How long a request would queue, by the share of all slots that its gateway may use.

Load pattern: bursts beyond the slots that reach many gateways, of requests that are due within less
than a run. Each gateway sees loads that are a tenth of a second old. If it goes by the least loaded
back end, it always finds one that seems to have room, and so does every other gateway: the requests
queue at the back ends, first come, first served, and all of them are late.

A gateway knows exactly how many requests it has at back ends itself. While all slots are taken, it
therefore sends only as many as its share of the slots, in proportion to its share of all requests
that are running, queued or held. The others are held, where they delay nobody, until a request of
this gateway ends or there is room again.

Performs no I/O.
"""

from __future__ import annotations

SHARE_MARGIN = 0.85
"""Part of its share that a gateway uses. Requests are not spread evenly over back ends: with all
slots in use some would queue while slots are free elsewhere.
"""

ROOM_FACTOR = 2.0
"""Requests of other gateways that are allowed for, as a multiple of those that have probably been
sent since the loads were measured, before slots count as free for any gateway.
"""

LULL_SHARE = 0.9
"""Part of the slots below which so many are in use that held requests are sent soon."""


class FleetLoad:
    """Requests to one service at all gateways and back ends, as one gateway knows them.

    Attributes:
        slots: Slots of all back ends.
        back_ends: Number of back ends.
        running: Requests at back ends, running or queued.
        unreported: Requests that other gateways have probably sent since these were counted.
        held: Requests that gateways hold.
        own_running: Requests of this gateway at back ends.
        own_held: Requests that this gateway holds.
    """

    __slots__ = (
        "back_ends",
        "held",
        "own_held",
        "own_running",
        "running",
        "slots",
        "unreported",
    )

    def __init__(
        self,
        *,
        slots: int,
        back_ends: int,
        running: float,
        unreported: float,
        held: int,
        own_running: int,
        own_held: int,
    ) -> None:
        self.slots = slots
        self.back_ends = back_ends
        self.running = running
        self.unreported = unreported
        self.held = held
        self.own_running = own_running
        self.own_held = own_held

    def queue(self) -> float:
        """Return the requests that must end at a back end before one more of this gateway starts.

        Negative if there is room for it.
        """
        expected = self.running + ROOM_FACTOR * self.unreported
        common = (expected + 1 - self.slots) / self.back_ends
        return min(common, self._own_queue())

    def _own_queue(self) -> float:
        own = self.own_running + self.own_held
        demand = max(1.0, self.running + self.held, own)
        share = max(0.5, SHARE_MARGIN * self.slots * own / demand)
        slots_each = self.slots / self.back_ends
        return (self.own_running + 1 - share) / share * slots_each


def held_for_want_of_slots(held: int, running: int, slots: int) -> int:
    """Return for how many of the held requests batch work has to leave its slots.

    While online requests alone take nearly all slots, gateways hold the others until some of these
    end. Slots that batch left to them then would stay idle.

    Args:
        held: Requests that gateways hold.
        running: Online requests at back ends.
        slots: Slots of all back ends.
    """
    return held if running <= LULL_SHARE * slots else 0


__all__ = ["LULL_SHARE", "FleetLoad", "held_for_want_of_slots"]
