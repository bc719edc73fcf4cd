"""Operators of route tables: changes in bursts, sent again elsewhere, and read back."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from leverjunction.errors import Failure
from leverjunction.registry.commands import StoredTableVersion, TableSource
from leverjunction.routes import Route, RouteClass
from testbed.routed import make_route, make_table
from testbed.simulation.fiber import Fibers
from testbed.simulation.seeded.control_port import Ask, ControlPort
from testbed.simulation.seeded.history import Acknowledged, Read, SeededHistory

PAUSE_S = 0.3
LULL_S = 4.0
LULL_SHARE = 0.05
READ_SHARE = 0.4
RESEND_SHARE = 0.1
INVALID_SHARE = 0.3
INVALID_AHEAD = 1000
"""Versions by which an invalid table is ahead: accepted by mistake it would prevail."""

RESUMABLE_PREFIX = "/resumable/"
LONG_ROUTE = "long"
LONG_PREFIX = "/long/"
LONG_TIMEOUT_S = 8.0
RIVAL = "rival"
INVALID = "invalid"


@dataclass(frozen=True)
class OperatorPlace:
    """What an operator works with.

    Attributes:
        port: Control processes as its machine calls them.
        fibers: Fibers of the run.
        history: Takes what it sees.
        generator: Draws.
    """

    port: ControlPort
    fibers: Fibers
    history: SeededHistory
    generator: random.Random


class Operator(ABC):
    """Calls control processes from a fiber of its own machine."""

    def __init__(self, place: OperatorPlace) -> None:
        self._machine = place.port.machine
        self._port = place.port
        self._fibers = place.fibers
        self._history = place.history
        self._random = place.generator

    def start(self) -> None:
        """Begin to work."""
        self._fibers.spawn(self._machine, self._work)

    @abstractmethod
    def _work(self) -> None:
        """Call control processes, without end."""

    def _any_control(self) -> str:
        return self._random.choice(self._port.names())

    def _call(self, name: str, what: str, ask: Ask) -> object:
        """Call a control process over its platform port; blocks the operator's fiber."""
        result = self._port.call(name, ask)
        failed = isinstance(result, Failure)
        self._history.counts[f"{what}_{'failed' if failed else 'answered'}"] += 1
        return result


class TableOperator(Operator):
    """Sends table after table, each under a higher version.

    Attributes:
        version: Version that it has sent last.
        dropped: Names of routes that the next tables do not have.
    """

    def __init__(
        self,
        place: OperatorPlace,
        routes: int,
        added_routes: int = 0,
        has_streams: bool = False,
        has_long: bool = False,
    ) -> None:
        super().__init__(place)
        self.version = 0
        self.dropped: set[str] = set()
        self._routes = (
            *_routes(routes),
            *([resumable_route()] if has_streams else []),
            *([long_route()] if has_long else []),
        )
        self._added_routes = added_routes

    def _work(self) -> None:
        while True:
            self._change()
            if self._random.random() < READ_SHARE:
                self._read()
            lull = self._random.random() < LULL_SHARE
            self._fibers.sleep(self._machine, self._random.random() * LULL_S if lull else PAUSE_S)

    def _change(self) -> None:
        """Send the next table until a machine accepts it."""
        self.version += 1
        version = self.version
        while not self._put(version):
            self._fibers.sleep(self._machine, PAUSE_S / 3)
        if self._random.random() < RESEND_SHARE:
            # The acknowledgement was lost on its way: the same again, perhaps elsewhere.
            self._put(version)

    def _put(self, version: int) -> bool:
        name = self._any_control()
        routes = [route for route in self._routes if route.name not in self.dropped]
        table = make_table(*routes, *self._added(version), version=version)
        held = self._call(name, "put", lambda node: node.put_table(table, str(version)))
        # A machine that holds a later version acknowledges an earlier one too.
        if not isinstance(held, StoredTableVersion) or held.version < version:
            return False
        at_s = self._machine.monotonic_s()
        self._history.acknowledged.append(Acknowledged(version, at_s, name))
        return True

    def newest_accepted(self) -> Sequence[int]:
        """Return the versions whose added routes are in each accepted table for a while yet."""
        newest = max((one.version for one in self._history.acknowledged), default=0)
        return range(max(1, newest - self._added_routes // 3), newest + 1)

    def _added(self, version: int) -> tuple[Route, ...]:
        """Return the routes that the last versions have added, one each."""
        first = max(1, version - self._added_routes + 1)
        return tuple(added_route(number) for number in range(first, version + 1))

    def _read(self) -> None:
        name = self._any_control()
        called_s = self._machine.monotonic_s()
        source = self._call(name, "read", lambda node: node.table_source())
        if isinstance(source, TableSource):
            self._history.reads.append(Read(name, called_s, source.version))


class RivalOperator(Operator):
    """Sends other tables under another operator's versions, and tables that are invalid."""

    def __init__(self, place: OperatorPlace, rivalled: TableOperator) -> None:
        super().__init__(place)
        self._rivalled = rivalled

    def _work(self) -> None:
        while True:
            if self._random.random() < INVALID_SHARE:
                self._send_invalid()
            else:
                self._send_other()
            self._fibers.sleep(self._machine, self._random.random() * PAUSE_S * 2)

    def _send_other(self) -> None:
        # The version that the other one sends next: either of the two may come first.
        version = self._rivalled.version + self._random.randrange(2)
        table = make_table(make_route(RouteClass.ONCE, name="rival"), version=max(1, version))
        self._call(self._any_control(), "rival", lambda node: node.put_table(table, RIVAL))

    def _send_invalid(self) -> None:
        route = make_route(RouteClass.ONCE, name=INVALID)
        table = make_table(route, route, version=self._rivalled.version + INVALID_AHEAD)
        self._call(self._any_control(), INVALID, lambda node: node.put_table(table, INVALID))


def added_route(version: int) -> Route:
    """Return the route that a version adds."""
    return make_route(RouteClass.REPEATABLE, name=f"added-{version}", prefix=f"/added-{version}/")


def resumable_route() -> Route:
    """Return the route of the streams that callers take up again."""
    return make_route(
        RouteClass.STREAM,
        name="resumable",
        prefix=RESUMABLE_PREFIX,
        resumable=True,
        timeout_ms=5000.0,
    )


def long_route() -> Route:
    """Return the route of streams of several seconds that are not taken up again."""
    return make_route(
        RouteClass.STREAM, name=LONG_ROUTE, prefix=LONG_PREFIX, timeout_ms=LONG_TIMEOUT_S * 1000
    )


def _routes(count: int) -> tuple[Route, ...]:
    """Return one route of each kind in turn, each with a place of its own."""
    kinds = list(RouteClass)
    return tuple(
        make_route(kinds[n % len(kinds)], name=f"route-{n}", prefix=f"/route-{n}/")
        for n in range(count)
    )
