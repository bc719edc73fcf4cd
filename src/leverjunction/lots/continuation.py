"""Decides where an item with some output goes on, or that it begins anew. Performs no I/O.

Parts of an output that different versions of the back ends' software wrote do not fit together.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from leverjunction.lots.item_run import ItemRun
from leverjunction.proxy.balancer import Balancer
from leverjunction.registry.version_history import VersionHistory
from leverjunction.routes.types import Route

VERSION_PATIENCE_S = 4.0
"""Time for which an item waits for a back end of its version while others have room."""

UNKNOWN = "several versions may have written its output"


class Placing:
    """Where an item may run next.

    Attributes:
        service: Service that it is sent to.
        starts: Starts that may run it; None for all of the service.
    """

    __slots__ = ("service", "starts")

    def __init__(self, service: str, starts: Collection[str] | None = None) -> None:
        self.service = service
        self.starts = starts

    def may_use(self, start: str) -> bool:
        """Return whether a start may run the item."""
        return self.starts is None or start in self.starts


class Continuation:
    """Places items with some output at the version that began it.

    Args:
        balancer: Knows the back ends.
        history: Knows the versions of each service.
    """

    __slots__ = ("_balancer", "_history")

    def __init__(self, balancer: Balancer, history: VersionHistory) -> None:
        self._balancer = balancer
        self._history = history

    def place(self, run: ItemRun, route: Route, draw: Callable[[Route], str]) -> Placing:
        """Return where an item may run; its output is discarded if it can go on nowhere.

        Args:
            run: The item, with the events that the group has recorded.
            route: Its route.
            draw: Chooses the service of an item without output.
        """
        if not run.stream.has_events:
            return Placing(draw(route))
        origin = run.stream.origin
        if origin is None:
            service = draw(route)
            if len(self._history.ever(service)) > 1:
                run.begin_anew(UNKNOWN)
            return Placing(service)
        # Not ``available(service, version)``: a silent back end may be all that it offers.
        available = self._balancer.available(origin.service)
        runners = [runner for runner in available if runner.record.version == origin.version]
        is_routed = any(part.service == origin.service for part in route.services)
        if not runners or not is_routed:
            run.begin_anew(f"no back end of version {origin.version!r} of {origin.service} is left")
            return Placing(draw(route))
        if len(runners) == len(available):
            return Placing(origin.service)
        return Placing(origin.service, {runner.record.start for runner in runners})

    def live_versions(self, service: str) -> set[str]:
        """Return the versions of a service's back ends."""
        return {runner.record.version for runner in self._balancer.available(service)}

    def wait(self, run: ItemRun, now_s: float) -> None:
        """Record that no back end of an item's version can take it, while others may.

        After ``VERSION_PATIENCE_S`` the item begins anew.
        """
        if run.wants_version_s is None:
            run.wants_version_s = now_s
        elif now_s - run.wants_version_s > VERSION_PATIENCE_S:
            run.begin_anew("the back ends of its version have no room")


__all__ = ["Continuation", "Placing"]
