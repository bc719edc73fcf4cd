"""Rate-limited JSON lines about items.

Each line names its lot and item, so ``grep ITEM`` shows an item's history.
"""

from __future__ import annotations

import msgspec

from leverjunction.clock import Clock
from leverjunction.lots import metrics
from leverjunction.proxy.decision_log import LineWriter

INTERVAL_S = 5.0
LINES_PER_INTERVAL = 20
"""Most lines of one kind, that is, event and reason, in an interval: enough for all items of a
typical job.
"""

FREQUENT_LINES = 4
"""Most lines in an interval of the kinds that a backlog causes, where a few items stand for
hundreds.
"""

FREQUENT_KINDS = frozenset(
    {
        "ended in_time",
        "ended late",
        "waits no_room",
        "waits waits_turn",
        "moves_on runs",
        "run_started",
        "run_ended parked",
    }
)
"""Kinds that are frequent while there is a backlog and its runs yield to online requests."""


class ItemLine(msgspec.Struct, omit_defaults=True, kw_only=True):
    """One line about an item or a lot.

    Attributes:
        at_ms: Wall-clock time in milliseconds.
        event: ``lot_taken_in``, ``run_started``, ``run_ended``, ``waits``, ``moves_on``,
            ``recorded``, ``record_refused``, ``ended`` or ``left_out``.
        lot: Id of the lot.
        item: Id of the item.
        items: Ids of a lot's items, only the first ones of a large lot.
        reason: Why the item does not run, or how its run ended.
        detail: What caused that.
        ends: What ends it.
        ends_in_ms: Time until then at the latest, if nothing else happens.
        under_way_ms: Age of the command without a reply, for an item whose result waits.
        figure: Runs that may be started at the best back end of the service.
        since_ms: How long the reason has applied, or how long the run took.
        quiet_ms: Time since the item's last event, or since it became known here.
        service: Service that the item waits for.
        runner_id: Back end of the item's last run.
        runs: Runs that this store started.
        parts: Parts of the response that arrived in the last run.
        events: Events of the item that the group has.
        tries: Commands that were sent with the item's result.
        table: Version of the route table.
        term: Term of the group's leader.
        index: Log index that the group had applied.
        count: Number of items, or of lines that were left out.
        age_ms: Time from acceptance to the end of the item.
        due_ms: Time from acceptance within which the item was due.
        before_ms: Time before the first run by this store.
        running_ms: Time that its runs took.
        parked_ms: Time between its runs.
    """

    event: str
    at_ms: int = 0
    lot: str = ""
    item: str = ""
    items: tuple[str, ...] = ()
    reason: str = ""
    detail: str = ""
    figure: int | None = None
    ends: str = ""
    ends_in_ms: int | None = None
    under_way_ms: int | None = None
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
    age_ms: int | None = None
    due_ms: int | None = None
    before_ms: int | None = None
    running_ms: int | None = None
    parked_ms: int | None = None


class LineBudget:
    """Limits the lines of each kind in an interval. Pure: the time is passed in.

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
        """Count one more line of a kind; return whether it may be written."""
        if not self.allows(kind):
            self.left_out[kind] = self.left_out.get(kind, 0) + 1
            return False
        self._taken[kind] = self._taken.get(kind, 0) + 1
        return True

    def renew(self, now_s: float) -> dict[str, int]:
        """Start an interval if the last one is over; return the lines that were left out in it."""
        if now_s - self._started_s < INTERVAL_S:
            return {}
        self._started_s = now_s
        left_out, self.left_out = self.left_out, {}
        self._taken.clear()
        return left_out


class ItemLineWriter:
    """Writes lines about items within a budget. It belongs to one thread."""

    __slots__ = ("_budget", "_clock", "_writer")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budget = LineBudget()
        self._writer: LineWriter | None = None

    def allows(self, event: str, reason: str) -> bool:
        """Return whether one more line with this event and reason may be written."""
        return self._budget.allows(_kind(event, reason))

    def write(self, line: ItemLine) -> None:
        """Write a line if the budget of its kind allows it, else count it as left out."""
        if self._budget.take(_kind(line.event, line.reason)):
            self._write(line)

    def left_out(self, event: str, reason: str, count: int) -> None:
        """Set how many items have no line with this event and reason."""
        self._budget.left_out[_kind(event, reason)] = count

    def renew(self, now_s: float) -> None:
        """Write how many lines were left out, once an interval is over."""
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
    """Return a duration in seconds as whole milliseconds."""
    return round(duration_s * 1000)
