"""What operators and gateways of a simulated seeded deployment saw; the checkers read only this."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from leverjunction.routes import RouteClass
from testbed.simulation.history import Span


@dataclass(frozen=True)
class Acknowledged:
    """A route table that an operator was told is accepted."""

    version: int
    at_s: float
    by: str


@dataclass(frozen=True)
class InForce:
    """A gateway put a version in force.

    Attributes:
        gateway: Its name.
        incarnation: Number of its start.
        version: Version of the table.
        at_s: When.
        routes: Names of the table's routes.
    """

    gateway: str
    incarnation: int
    version: int
    at_s: float
    routes: tuple[str, ...] = ()


@dataclass(frozen=True)
class Read:
    """An operator read the route table back at one machine."""

    machine: str
    called_s: float
    version: int


@dataclass(frozen=True)
class Asked:
    """A caller's request and what became of it.

    Attributes:
        request_id: Its id.
        gateway: Name of the gateway.
        route: Name of the route, whether it exists or not.
        kind: How often it may run.
        at_s: When it was sent.
        ended_s: When its answer ended, or the caller gave up.
        status: Status of the answer; 0 for none.
        is_whole: The answer came to its end, and is the one to this request.
        says_not_run: The answer says that no back end has run it.
    """

    request_id: str
    gateway: str
    route: str
    kind: RouteClass
    at_s: float
    ended_s: float
    status: int
    is_whole: bool
    says_not_run: bool


@dataclass(frozen=True)
class Run:
    """A back end began to work on a request.

    Attributes:
        request_id: The request.
        back_end: Name of the back end's machine.
        start: Number of its start.
        at_s: When.
        gateway: Gateway that sent it.
    """

    request_id: str
    back_end: str
    start: int
    at_s: float
    gateway: str


@dataclass(frozen=True)
class StreamTry:
    """One request for a stream, or for the rest of it.

    Attributes:
        gateway: Gateway that was asked.
        at_s: When.
        is_refused: The gateway answered with a status other than success, or not at all.
        events: Number and version of each event that came.
        is_answered: An answer came, whatever its status.
        ended_s: When the first event of it came, or else when it ended.
    """

    gateway: str
    at_s: float
    is_refused: bool
    events: tuple[tuple[int, str], ...]
    is_answered: bool = True
    ended_s: float = 0.0


@dataclass(frozen=True)
class Streamed:
    """A stream over all tries of its caller.

    Attributes:
        request_id: Id of the first try.
        tries: The tries, oldest first.
        is_whole: The last event came.
    """

    request_id: str
    tries: tuple[StreamTry, ...]
    is_whole: bool

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and version of each event, in the order in which they came."""
        return [event for one in self.tries for event in one.events]


@dataclass(frozen=True)
class BackEndStart:
    """A start of a back end.

    Attributes:
        back_end: Name of its machine.
        version: Version of its software.
        at_s: When.
    """

    back_end: str
    version: str
    at_s: float


@dataclass(frozen=True)
class PlannedStop:
    """A gateway was asked to stop, and ended.

    Attributes:
        gateway: Its name.
        asked_s: When it was asked.
        ended_s: When its process ended.
        is_killed: It had not ended by itself within the grace period.
    """

    gateway: str
    asked_s: float
    ended_s: float
    is_killed: bool = False


@dataclass(frozen=True)
class Worked:
    """A back end's whole work on a request, up to its end or the loss of the connection.

    Attributes:
        request_id: The request.
        back_end: Name of the back end's machine.
        begin_s: When it began.
        end_s: When it ended.
    """

    request_id: str
    back_end: str
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class Strike:
    """A fault that struck.

    Attributes:
        kind: What went wrong.
        at_s: When.
    """

    kind: str
    at_s: float


@dataclass(frozen=True)
class ResumptionLogged:
    """What a gateway logged of a stream that a caller resumes.

    Attributes:
        gateway: Its name.
        at_s: When.
        reason: Where the origin is known from, or why it is not.
    """

    gateway: str
    at_s: float
    reason: str


@dataclass
class SeededHistory:
    """Record of one run.

    Attributes:
        acknowledged: Accepted tables.
        in_force: What gateways put in force.
        reads: What machines answered to reads.
        started: When each life of a gateway began, by gateway and incarnation.
        asked: Callers' requests.
        asked_at_stops: Requests of callers who keep a gateway busy through a planned stop.
        read: When a gateway had read a whole request, by its id.
        worked: Work of back ends that were not silent.
        runs: Work that back ends began.
        left: When a control process acknowledged that a back end leaves, by name and start.
        stops: Planned stops of gateways.
        streams: Streams that callers take up again.
        back_end_starts: Starts of back ends.
        strikes: Faults that struck, oldest first.
        resumptions: What gateways logged of streams that callers resume.
        back_end_disturbed: Back ends that a fault had in its hands, by name.
        back_end_hindered: Of these the times in which one was silent or slow: nothing broke off.
        control_disturbed: Control processes that a fault had in its hands, by name.
        gateway_disturbed: The same for gateways.
        gateway_frozen: Of these the standstills: what a gateway does after one is its own doing.
        gateway_stopping: Of these the planned stops.
        faults: Faults that struck.
        counts: Calls by outcome.
        ended_s: End of the run.
    """

    acknowledged: list[Acknowledged] = field(default_factory=list)
    in_force: list[InForce] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    started: dict[tuple[str, int], float] = field(default_factory=dict)
    asked: list[Asked] = field(default_factory=list)
    asked_at_stops: list[Asked] = field(default_factory=list)
    read: dict[str, float] = field(default_factory=dict)
    worked: list[Worked] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    left: dict[tuple[str, int], float] = field(default_factory=dict)
    stops: list[PlannedStop] = field(default_factory=list)
    streams: list[Streamed] = field(default_factory=list)
    back_end_starts: list[BackEndStart] = field(default_factory=list)
    strikes: list[Strike] = field(default_factory=list)
    resumptions: list[ResumptionLogged] = field(default_factory=list)
    back_end_disturbed: dict[str, list[Span]] = field(default_factory=dict)
    back_end_hindered: dict[str, list[Span]] = field(default_factory=dict)
    control_disturbed: dict[str, list[Span]] = field(default_factory=dict)
    gateway_disturbed: dict[str, list[Span]] = field(default_factory=dict)
    gateway_frozen: dict[str, list[Span]] = field(default_factory=dict)
    gateway_stopping: dict[str, list[Span]] = field(default_factory=dict)
    faults: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    ended_s: float = 0.0

    def newest_acknowledged(self, until_s: float) -> int:
        """Return the highest version acknowledged up to a moment, 0 before the first."""
        return max((one.version for one in self.acknowledged if one.at_s <= until_s), default=0)

    def version_at(self, gateway: str, moment_s: float) -> int:
        """Return the version in force at a gateway at a moment."""
        held = [
            one.version for one in self.in_force if one.gateway == gateway and one.at_s <= moment_s
        ]
        return held[-1] if held else 0
