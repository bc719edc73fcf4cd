"""Bounded JSON lines on items: all name lot and item, so that ``grep ITEM`` tells its history."""

from __future__ import annotations

import msgspec

from leverjunction.clock import Clock
from leverjunction.lots import metrics
from leverjunction.proxy.journal import LineWriter

INTERVAL_S = 5.0
LINES_PER_INTERVAL = 20
"""Of one kind (event and reason): all items of a usual job."""

FREQUENT_LINES = 4
"""Of a kind that a backlog and its giving way bring: a few items tell what hundreds wait for."""

FREQUENT_KINDS = frozenset(
    {"waits no_room", "waits waits_turn", "moves_on runs", "run_started", "run_ended parked"}
)


class ItemLine(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One line on an item or a lot.

    Attributes:
        at_ms: When, by the wall clock.
        event: ``lot_taken_in``, ``run_started``, ``run_ended``, ``waits``, ``moves_on``,
            ``recorded``, ``record_refused``, ``left_out``.
        lot: Its lot.
        item: The item.
        items: The items of a lot, the first ones of a large one.
        reason: Why it does not run, or how its run ended.
        detail: What decided that.
        figure: Runs that may be started at the best back end of its service.
        since_ms: For how long this reason has stood, or its run took.
        quiet_ms: Time since its last event, or since it was taken in.
        service: Service that it waits for.
        runner_id: Back end of its last run.
        runs: Runs that this store started.
        parts: Pieces of the answer that came in the last one.
        events: Events of the item that the group has.
        tries: Commands that were sent with its result.
        table: Version of the route table.
        term: Term of the group's leader.
        index: Index that the group had applied.
        count: How many items, or lines that were left out.
    """

    event: str
    at_ms: int = 0
    lot: str = ""
    item: str = ""
    items: tuple[str, ...] = ()
    reason: str = ""
    detail: str = ""
    figure: int | None = None
    since_ms: int | None = None
    quiet_ms: int | None = None
    service: str = ""
    runner_id: str = ""
    runs: int = 0
    parts: int = 0
    events: int = 0
    tries: int = 0
    table: int = 0
    term: int = 0
    index: int = 0
    count: int = 0


class LineBudget:
    """A few lines of each kind in an interval. Pure: the time is passed in.

    Attributes:
        left_out: Lines of each kind that were left out.
    """

    __slots__ = ("_started_s", "_taken", "left_out")

    def __init__(self) -> None:
        self._started_s = float("-inf")
        self._taken: dict[str, int] = {}
        self.left_out: dict[str, int] = {}

    def allows(self, kind: str) -> bool:
        """Return whether one more line of a kind may be written."""
        limit = FREQUENT_LINES if kind in FREQUENT_KINDS else LINES_PER_INTERVAL
        return self._taken.get(kind, 0) < limit

    def take(self, kind: str) -> bool:
        """Return whether one more line of a kind may be written; if not it is counted."""
        if not self.allows(kind):
            self.left_out[kind] = self.left_out.get(kind, 0) + 1
            return False
        self._taken[kind] = self._taken.get(kind, 0) + 1
        return True

    def renew(self, now_s: float) -> dict[str, int]:
        """Begin an interval if the last one is over; return what was left out in that."""
        if now_s - self._started_s < INTERVAL_S:
            return {}
        self._started_s = now_s
        left_out, self.left_out = self.left_out, {}
        self._taken.clear()
        return left_out


class ItemLineWriter:
    """Writes them; used by one thread."""

    __slots__ = ("_budget", "_clock", "_writer")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budget = LineBudget()
        self._writer: LineWriter | None = None

    def allows(self, event: str, reason: str) -> bool:
        """Return whether one more such line may be written."""
        return self._budget.allows(_kind(event, reason))

    def write(self, line: ItemLine) -> None:
        """Write a line if its kind's bound allows; count it if not."""
        if self._budget.take(_kind(line.event, line.reason)):
            self._write(line)

    def left_out(self, event: str, reason: str, count: int) -> None:
        """Note how many items have no such line now."""
        self._budget.left_out[_kind(event, reason)] = count

    def renew(self, now_s: float) -> None:
        """Say how many lines were left out, once an interval is over."""
        for kind, count in self._budget.renew(now_s).items():
            metrics.LINES_LEFT_OUT.labels(kind).inc(count)
            self._write(ItemLine(event="left_out", reason=kind, count=count))

    def _write(self, line: ItemLine) -> None:
        if self._writer is None:
            self._writer = LineWriter(metrics.LINES_LOST)
        line.at_ms = self._clock.wall_ms()
        self._writer.put(msgspec.json.encode(line))


def _kind(event: str, reason: str) -> str:
    return f"{event} {reason}".rstrip()


def ms(duration_s: float) -> int:
    """Return seconds as whole milliseconds."""
    return round(duration_s * 1000)
