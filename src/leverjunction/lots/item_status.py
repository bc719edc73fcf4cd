"""Why an open item does not run now: one reason from a closed set. Decides nothing. Pure.

That a store does not lead is no item's matter: it has no items to tell of.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.run_trace import UNREADABLE
from leverjunction.routes.matching import RouteIndex


class Reason(StrEnum):
    """Why an item does not run, or that it does."""

    NOT_TAKEN_IN = "not_taken_in"
    """The group has it open, and the runner of its leader does not know it."""

    NO_TABLE = "no_table"
    NO_ROUTE = "no_route"
    NO_BACK_END = "no_back_end"
    EJECTED = "ejected"
    """Back ends may have room, and each of them is left alone for a while after a failure."""

    NOT_READ = "load_not_read"
    """No back end of the service has told its load lately."""

    NO_ROOM = "no_room"
    WAITS_TURN = "waits_turn"
    """There is room: it is started at one of the next steps."""

    UNREADABLE = "unreadable"
    """Its body or its events cannot be read from the group."""

    RUNS = "runs"
    PAUSES = "pauses"
    """Its last run ended a moment ago, and it waits before the next one."""

    STOPS = "stops"
    """Its run is being parked."""

    RESULT_WAITS = "result_waits"
    """It has ended, and the group does not have that yet."""

    TASK_LEFT = "task_left"
    """Its run is over and was not given back. Never expected."""


class ServiceAvailability:
    """What decides on a service's room.

    Attributes:
        known: Back ends that take new work.
        sound: Those that are not ejected.
        read: Those of them that told their load lately.
        allowance: Runs that may be added to the service as a whole.
        free: Most free slots at one sound back end.
        free_ejected: Most free slots at one that is ejected.
    """

    __slots__ = ("allowance", "free", "free_ejected", "known", "not_ejected", "with_recent_load")

    def __init__(
        self,
        *,
        known: int = 0,
        not_ejected: int = 0,
        with_recent_load: int = 0,
        allowance: int = 0,
        free: int = 0,
        free_ejected: int = 0,
    ) -> None:
        self.known = known
        self.not_ejected = not_ejected
        self.with_recent_load = with_recent_load
        self.allowance = allowance
        self.free = free
        self.free_ejected = free_ejected

    @property
    def startable_runs(self) -> int:
        """Runs that may be started at once at the best back end."""
        return max(0, min(self.allowance, self.free))

    def reason(self) -> Reason:
        """Return what an item of this service waits for."""
        if not self.known:
            return Reason.NO_BACK_END
        if not self.not_ejected:
            return Reason.EJECTED
        if not self.with_recent_load:
            return Reason.NOT_READ
        if self.startable_runs:
            return Reason.WAITS_TURN
        only_ejected = self.allowance > 0 and self.free_ejected > 0
        return Reason.EJECTED if only_ejected else Reason.NO_ROOM

    def __str__(self) -> str:
        return (
            f"{self.allowance} may be added, {self.free} free at the best back end;"
            f" {self.known} back ends, {self.not_ejected} not ejected, {self.with_recent_load} read"
        )


class ItemStatus:
    """Why an item does not run.

    Attributes:
        reason: Why.
        key: The same as a plain string: an enumeration's member takes long to hash.
        service: Service that it waits for, None if it does not wait for one.
        name: Its name.
    """

    __slots__ = ("key", "reason", "service", "service_name")

    def __init__(
        self, reason: Reason, service: ServiceAvailability | None = None, service_name: str = ""
    ) -> None:
        self.reason = reason
        self.key = reason.value
        self.service = service
        self.service_name = service_name


_NO_TABLE = ItemStatus(Reason.NO_TABLE)
_NO_ROUTE = ItemStatus(Reason.NO_ROUTE)
_UNREADABLE = ItemStatus(Reason.UNREADABLE)
_RUNS = ItemStatus(Reason.RUNS)
_PAUSES = ItemStatus(Reason.PAUSES)
_STOPS = ItemStatus(Reason.STOPS)
_RESULT_WAITS = ItemStatus(Reason.RESULT_WAITS)
_TASK_LEFT = ItemStatus(Reason.TASK_LEFT)
_CLOSEST_TO_START = (
    Reason.WAITS_TURN,
    Reason.NO_ROOM,
    Reason.EJECTED,
    Reason.NOT_READ,
    Reason.NO_BACK_END,
)
"""Of several services, the one where least is missing tells why."""


class StatusClassifier:
    """The standings of one moment: each route is looked at once.

    Args:
        index: The route table, None before the first.
        service: Tells of a service.
        has_result: Tells whether an item has ended that the group still has as open.
    """

    __slots__ = ("_by_route", "_has_result", "_index", "_service")

    def __init__(
        self,
        index: RouteIndex | None,
        service: Callable[[str], ServiceAvailability],
        has_result: Callable[[ItemRun], bool],
    ) -> None:
        self._index = index
        self._service = service
        self._has_result = has_result
        self._by_route: dict[int, ItemStatus] = {}

    def classify(self, run: ItemRun) -> ItemStatus:
        """Return why an item does not run now."""
        if self._has_result(run):
            return _RESULT_WAITS
        if run.trace.end is not None and run.trace.end in UNREADABLE:
            return _UNREADABLE
        if run.task is not None:
            return _task_status(run)
        if self._index is None:
            return _NO_TABLE
        route = run.route(self._index)
        if route is None:
            return _NO_ROUTE
        known = self._by_route.get(id(route))
        if known is None:
            names = [part.service for part in route.services]
            known = self._by_route[id(route)] = self._service_status(names)
        return known

    def startable_runs(self, runs: Iterable[ItemRun]) -> int:
        """Return how many of these could be started at once at the best back end, task or not."""
        if self._index is None:
            return 0
        routes = {id(route): route for run in runs if (route := run.route(self._index))}
        names = {part.service for route in routes.values() for part in route.services}
        return max(
            (self._service(service_name).startable_runs for service_name in names), default=0
        )

    def _service_status(self, names: list[str]) -> ItemStatus:
        each = [(service_name, self._service(service_name)) for service_name in names]
        service_name, service = min(
            each, key=lambda pair: _CLOSEST_TO_START.index(pair[1].reason())
        )
        return ItemStatus(service.reason(), service, service_name)


def _task_status(run: ItemRun) -> ItemStatus:
    if run.task is not None and run.task.done():
        return _TASK_LEFT
    if run.trace.end is not None:
        return _PAUSES
    return _STOPS if run.parking else _RUNS
