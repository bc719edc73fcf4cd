"""Classifies why an open item does not run at present. Decides nothing. Pure.

Every open item of a leading store has exactly one reason from a closed set. Stores that do not lead
have no items to classify; while they know no leader, all items that they have wait for one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum

from leverjunction.lots.item_run import ItemRun
from leverjunction.lots.placement import Placement
from leverjunction.lots.run_trace import UNREADABLE
from leverjunction.routes.matching import RouteIndex


class Reason(StrEnum):
    """Why an item does not run, or that it does run."""

    NOT_TAKEN_IN = "not_taken_in"
    """The group has the item as open, but the runner of its leader does not know it."""

    NO_LEADER = "no_leader"
    """The group has no known leader; told by stores that do not lead."""

    NO_TABLE = "no_table"
    NO_ROUTE = "no_route"
    NO_BACK_END = "no_back_end"
    EJECTED = "ejected"
    """The only back ends with capacity are ejected, that is, avoided for a while after failures."""

    NOT_READ = "load_not_read"
    """No back end of the service has a recent load sample."""

    NO_ROOM = "no_room"
    WAITS_TURN = "waits_turn"
    """There is capacity, and the item is started in one of the next steps."""

    HELD = "held"
    """The item is not run for a while, because it or its lot has crashed back ends."""

    WAITS_IDLE = "waits_for_idle_back_end"
    """The item may crash its back end, and waits for one where nothing else runs."""

    IN_DOUBT = "in_doubt"
    """The store was suspended and has not heard from the registry since, so it starts no run."""

    UNREADABLE = "unreadable"
    """The item's body or its recorded events cannot be read from the group."""

    RUNS = "runs"
    PAUSES = "pauses"
    """The item's last run has just ended, and it pauses before the next one."""

    STOPS = "stops"
    """The item's run is being parked."""

    RESULT_WAITS = "result_waits"
    """The item has ended, but the group has not recorded its result yet."""

    TASK_LEFT = "task_left"
    """The task of the item's run has ended but was never cleaned up. This is not expected to
    happen.
    """


class ServiceAvailability:
    """The figures that decide whether runs of a service can start.

    Attributes:
        known: Back ends that accept new work.
        not_ejected: Known back ends that are not ejected.
        with_recent_load: Back ends among these that have a recent load sample.
        allowance: Runs that may be added to the service as a whole.
        free: Largest number of free slots at a back end that is not ejected.
        free_ejected: Largest number of free slots at an ejected back end.
        ejected_until_s: When the first ejection ends, in monotonic seconds; None without any.
    """

    __slots__ = (
        "allowance",
        "ejected_until_s",
        "free",
        "free_ejected",
        "known",
        "not_ejected",
        "with_recent_load",
    )

    def __init__(
        self,
        *,
        known: int = 0,
        not_ejected: int = 0,
        with_recent_load: int = 0,
        allowance: int = 0,
        free: int = 0,
        free_ejected: int = 0,
        ejected_until_s: float | None = None,
    ) -> None:
        self.known = known
        self.not_ejected = not_ejected
        self.with_recent_load = with_recent_load
        self.allowance = allowance
        self.free = free
        self.free_ejected = free_ejected
        self.ejected_until_s = ejected_until_s

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
        """Return the figures as text for a log line."""
        return (
            f"{self.allowance} may be added, {self.free} free at the best back end;"
            f" {self.known} back ends, {self.not_ejected} not ejected,"
            f" {self.with_recent_load} with recent load"
        )


class ItemStatus:
    """Why an item does not run, or that it does run.

    Attributes:
        reason: The reason.
        key: Value of the reason as a plain string, since enum members are slow to hash.
        service: Figures of the service that the item waits for, None if it waits for no service.
        service_name: Name of that service, empty if it waits for no service.
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
_HELD = ItemStatus(Reason.HELD)
_WAITS_IDLE = ItemStatus(Reason.WAITS_IDLE)
_IN_DOUBT = ItemStatus(Reason.IN_DOUBT)
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
"""Order in which the reason of one service is preferred where a route leads to several: the service
closest to starting a run comes first.
"""


class StatusClassifier:
    """Classifies items at one moment, examining each route only once.

    Args:
        index: Route table, None before the first one was received.
        service: Returns the figures of a service, by its name.
        has_result: Returns whether an item has ended that the group still has as open.
        is_in_doubt: Whether the store starts no run, because the registry may have changed while
            it was suspended.
    """

    __slots__ = ("_by_route", "_has_result", "_index", "_is_in_doubt", "_service")

    def __init__(
        self,
        index: RouteIndex | None,
        service: Callable[[str], ServiceAvailability],
        has_result: Callable[[ItemRun], bool],
        is_in_doubt: bool = False,
    ) -> None:
        self._index = index
        self._is_in_doubt = is_in_doubt
        self._service = service
        self._has_result = has_result
        self._by_route: dict[int, ItemStatus] = {}

    def classify(self, run: ItemRun) -> ItemStatus:
        """Return the current status of an item."""
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
        if run.placement is not Placement.SHARED:
            # How an item may run is not decided anew while the store is in doubt.
            if self._is_in_doubt:
                return _IN_DOUBT
            return _HELD if run.placement is Placement.HELD else _WAITS_IDLE
        known = self._by_route.get(id(route))
        if known is None:
            names = [part.service for part in route.services]
            known = self._service_status(names)
            if self._is_in_doubt and known.reason is Reason.WAITS_TURN:
                known = _IN_DOUBT
            self._by_route[id(route)] = known
        return known

    def startable_runs(self, runs: Iterable[ItemRun]) -> int:
        """Return how many of these items the best back end could start now, running or not."""
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
