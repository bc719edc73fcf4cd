"""What a soak has seen, and which promises that breaks. Pure: no input or output."""

from __future__ import annotations

import threading
import time
from collections import Counter

from stop_records import PlannedStop, StopRequest

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK = 200
LOT_CRASHES = 6
"""Runners that one job may end in its first minute, however many of its items are deadly."""

ITEM_RUNS = 6
"""Runs of one deadly item in its first minute: three that show it to be the cause, and a few more.
"""

LATER_ITEM_RUNS = 1
"""Runs of it in each further minute."""

FIRST_S = 60.0
WATCHED_S = 1.5 * FIRST_S
"""Time after its 202 within which the first minute of a job with deadly items ends, which begins
with the first end of a runner.
"""

APPLY_S = 2.0
"""Time in which an acknowledged configuration is in force and read everywhere."""


class OnlineRecord:
    """One request and what its caller got."""

    __slots__ = ("body", "complete", "kind", "request_id", "status", "target")

    def __init__(
        self, request_id: str, kind: str, target: str, status: int, complete: bool, body: bytes
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.target = target
        self.status = status
        self.complete = complete
        self.body = body


class StreamTry:
    """One request for a stream, or for the rest of it.

    Attributes:
        at_s: When it was sent, in wall seconds.
        ended_s: When its first event came, as far as is known, or when it ended without one.
        events: Events that came.
        counts: Whether events came, or the gateway was well all the time.
    """

    __slots__ = ("at_s", "counts", "ended_s", "events")

    def __init__(self, at_s: float, ended_s: float, events: int, counts: bool) -> None:
        self.at_s = at_s
        self.ended_s = ended_s
        self.events = events
        self.counts = counts


class StreamRecord:
    """A stream over all tries of its caller.

    Attributes:
        name: Its path, which no other stream has.
        first_id: Id of the try that brought its first event.
        events: Number of each event that came, and the version that wrote it.
        resumed: Tries to take it up again that were answered.
        refused: Tries to take it up again that were refused.
        is_whole: Whether its last event came.
        tries: All tries, oldest first.
    """

    __slots__ = ("events", "first_id", "is_whole", "name", "refused", "resumed", "tries")

    def __init__(self, name: str) -> None:
        self.name = name
        self.first_id = ""
        self.events: list[tuple[int, str]] = []
        self.resumed = 0
        self.refused = 0
        self.is_whole = False
        self.tries: list[StreamTry] = []

    def took(self, status: int, body: bytes, events: int) -> None:
        """Add what came of one try.

        Args:
            status: Status of the answer, 0 for none.
            body: As much of its body as came.
            events: Number of the last event of the whole stream.
        """
        if self.events and status:
            self.resumed += status == OK
            self.refused += status != OK
        if status != OK:
            return
        for block in body.decode().split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in block.split("\n"))
            self.events.append((int(fields["id"]), fields["data"].rpartition(" ")[2]))
        self.is_whole = bool(self.events) and self.events[-1][0] >= events

    def broken(self) -> list[str]:
        """Return a line for each broken promise."""
        versions = sorted({version for _, version in self.events})
        numbers = [number for number, _ in self.events]
        lines = []
        if len(versions) > 1:
            lines.append(f"stream {self.name} holds events of {versions}, first {self.first_id}")
        if numbers != list(range(1, len(numbers) + 1)):
            lines.append(f"stream {self.name} has the events {numbers}")
        return lines


class LotRecord:
    """One batch job and what its client got.

    Attributes:
        lot_id: Its id.
        items: Number of its items.
        accepted: It got a 202.
        statuses: Statuses of all its tries.
        listed: Item, state and text at each position, as first read.
        listed_s: When each item was first read, in monotonic seconds.
        changed: Positions that were read differently later.
        bad: Items that no runner can do.
        deadly: Items that end each runner which begins them.
        ending: An end of it was sent: what is open then may stay so.
        ended_s: When its end was acknowledged, in monotonic seconds; None while it wasn't.
        accepted_s: When the 202 came.
        whole_at: Gateways that gave all of it from the start, in calm.
        deaf_at: Gateways that gave no such page.
    """

    __slots__ = (
        "accepted",
        "accepted_s",
        "bad",
        "changed",
        "deadly",
        "deaf_at",
        "ended_s",
        "ending",
        "items",
        "listed",
        "listed_s",
        "lot_id",
        "statuses",
        "whole_at",
    )

    def __init__(
        self,
        lot_id: str,
        items: int,
        bad: frozenset[str] = frozenset(),
        deadly: frozenset[str] = frozenset(),
    ) -> None:
        self.lot_id = lot_id
        self.items = items
        self.bad = bad
        self.deadly = deadly
        self.accepted = False
        self.accepted_s = 0.0
        self.ending = False
        self.ended_s: float | None = None
        self.whole_at: set[str] = set()
        self.deaf_at: set[str] = set()
        self.statuses: list[int] = []
        self.listed: list[tuple[str, str, str]] = []
        self.listed_s: dict[str, float] = {}
        self.changed: list[int] = []

    @property
    def owed(self) -> bool:
        """Whether all its items have to come to their ends."""
        return self.accepted and not self.ending

    @property
    def unsure(self) -> bool:
        """Whether it may have been taken without its client's knowledge."""
        return not self.accepted and any(item not in NOT_RUN_STATUSES for item in self.statuses)

    @property
    def open_count(self) -> int:
        """Return how many of its items are not listed yet, as far as was read.

        Deadly items don't count: they are open until their time limit has passed.
        """
        listed = {item for item, _, _ in self.listed}
        return self.items - len(self.listed) - len(self.deadly - listed)

    def is_watched(self, now_s: float) -> bool:
        """Return whether it has deadly items and is to show how many runners they end.

        Its client doesn't end it meanwhile: that would end the runs of its deadly items.

        Args:
            now_s: Current time in monotonic seconds.
        """
        return bool(self.deadly) and now_s - self.accepted_s < WATCHED_S

    def accept(self) -> None:
        """Take its 202."""
        self.accepted = True
        self.accepted_s = time.monotonic()

    def read(self, first: int, results: list[tuple[str, str, str]]) -> None:
        """Take a page of results that begins at a position."""
        for position, result in enumerate(results, first):
            if position < len(self.listed):
                if self.listed[position] != result:
                    self.changed.append(position)
            elif position == len(self.listed):
                self.listed.append(result)
                self.listed_s.setdefault(result[0], time.monotonic())


class Records:
    """All that was seen; safe between threads.

    Attributes:
        online: Online requests and their ends.
        lots: Batch jobs.
        streams: Streams that were taken up again where they broke off.
        acknowledged: Times and numbers of configurations.
        older_reads: Configurations that were read back though newer ones were in force.
        own_faults: Errors of the soak itself.
        seen_broken: Promises that were seen broken while faults struck.
        notes: What is told, but no broken promise.
        calm_notes: How long open items had no run in calm.
        struck: How often each kind of fault struck.
        blows: A line for each, with its wall times.
        strikes: Kind of each, and when it began, in wall seconds.
        began_s: Start of the soak, in wall seconds.
        most_open: Most items that were open at once.
        under_way: Samples of the runs of items that were under way.
        report_s: How long a runner took to tell its load.
        stops: Planned stops of gateways that nothing else struck.
        stop_requests: Requests of callers that keep their connections through planned stops.
        rest_s: Time in calm until all was at its end.
        beside_deadly_s: Time from then on until that was so of jobs with deadly items.
    """

    def __init__(self) -> None:
        self.online: list[OnlineRecord] = []
        self.lots: list[LotRecord] = []
        self.streams: list[StreamRecord] = []
        self.acknowledged: list[tuple[float, int]] = []
        self.older_reads: list[str] = []
        self.own_faults: list[str] = []
        self.seen_broken: list[str] = []
        self.notes: list[str] = []
        self.calm_notes: list[str] = []
        self.struck: Counter[str] = Counter()
        self.blows: list[str] = []
        self.strikes: list[tuple[str, float]] = []
        self.began_s = time.time()
        self.most_open = 0
        self.under_way: list[int] = []
        self.report_s: list[float] = []
        self.stops: list[PlannedStop] = []
        self.stop_requests: list[StopRequest] = []
        self.rest_s = 0.0
        self.beside_deadly_s = 0.0
        self.lock = threading.Lock()

    def blow(self, kind: str, began_s: float, ended_s: float) -> None:
        """Take a fault that has struck, with wall times."""
        with self.lock:
            self.struck[kind] += 1
            self.strikes.append((kind, began_s))
            self.blows.append(f"{clock(began_s)} to {clock(ended_s)} {kind}")

    def answered(self, record: OnlineRecord) -> None:
        """Take an online request's end."""
        with self.lock:
            self.online.append(record)

    def streamed(self, record: StreamRecord) -> None:
        """Take a stream, whole or given up."""
        with self.lock:
            self.streams.append(record)

    def configured(self, version: int, now_s: float) -> None:
        """Take the acknowledgement of a configuration."""
        with self.lock:
            self.acknowledged.append((now_s, version))

    def read_back(self, version: int, asked_s: float, where: str) -> None:
        """Take a configuration that was read back by a call sent at ``asked_s``."""
        with self.lock:
            due = [item for at_s, item in self.acknowledged if at_s + APPLY_S < asked_s]
            if due and version < max(due):
                self.older_reads.append(f"{where} read {version} after {max(due)}")


def broken_promises(records: Records, executions: Counter[str], whole_text: str) -> list[str]:
    """Return a line for each broken promise.

    Args:
        records: What callers and operators saw.
        executions: How often runners ran each id.
        whole_text: Text of a whole item.
    """
    broken = [f"the soak itself: {fault}" for fault in records.own_faults]
    broken += records.older_reads
    broken += records.seen_broken
    for record in records.online:
        broken += _of_request(record, executions[record.request_id])
    for stream in records.streams:
        broken += stream.broken()
    for lot in records.lots:
        broken += _of_lot(lot, executions, whole_text)
    return broken


def first_ends(lots: list[LotRecord], crashes: list[tuple[str, float]]) -> dict[str, float]:
    """Return when each batch job first ended a runner, by its id.

    Args:
        lots: Batch jobs.
        crashes: Requests under which runners ended, and when, oldest first.
    """
    lot_of = {item: lot.lot_id for lot in lots for item in lot.deadly}
    found: dict[str, float] = {}
    for item, at_s in crashes:
        if item in lot_of:
            found.setdefault(lot_of[item], at_s)
    return found


def broken_limits(
    lots: list[LotRecord], crashes: list[tuple[str, float]], runs: list[tuple[str, float]]
) -> list[str]:
    """Return a line for each batch job or item that ended too many runners.

    Args:
        lots: Batch jobs.
        crashes: Requests under which runners ended, and when, oldest first.
        runs: Deadly requests that runners began, and when, oldest first.
    """
    broken = []
    first_s = first_ends(lots, crashes)
    for lot in lots:
        until_s = first_s.get(lot.lot_id, 0.0) + FIRST_S
        early = [item for item, at_s in crashes if item in lot.deadly and at_s <= until_s]
        if len(early) > LOT_CRASHES:
            broken.append(f"lot {lot.lot_id} ended {len(early)} runners in its first minute")
        for item in sorted(lot.deadly):
            broken += _of_deadly_item(item, [at_s for name, at_s in runs if name == item])
    return broken


def _of_deadly_item(item: str, began_s: list[float]) -> list[str]:
    if not began_s:
        return []
    minutes = int((began_s[-1] - began_s[0]) // FIRST_S)
    early = sum(1 for at_s in began_s if at_s <= began_s[0] + FIRST_S)
    if early <= ITEM_RUNS and len(began_s) <= ITEM_RUNS + LATER_ITEM_RUNS * minutes:
        return []
    return [f"item {item} began {early} runs in its first minute, {len(began_s)} in all"]


def clock(wall_s: float) -> str:
    """Return a wall time as it stands in logs."""
    return time.strftime("%H:%M:%S", time.localtime(wall_s)) + f".{int(wall_s % 1 * 1000):03d}"


def _of_request(record: OnlineRecord, runs: int) -> list[str]:
    name = f"request {record.request_id} ({record.kind})"
    broken = []
    if record.kind == "once" and runs > 1:
        broken.append(f"{name} ran {runs} times")
    if record.status in NOT_RUN_STATUSES and record.complete and record.kind == "once" and runs:
        broken.append(f"{name} ran, though it was answered {record.status}")
    if record.status == OK and record.complete and not _is_whole(record):
        broken.append(f"{name} got {record.body[:60]!r}")
    return broken


def _is_whole(record: OnlineRecord) -> bool:
    if record.kind == "stream":
        return record.body.count(b"\n\n") == record.body.count(b"id: ") == 5
    return record.body == b"answer to " + record.target.encode()


def _of_lot(lot: LotRecord, executions: Counter[str], whole_text: str) -> list[str]:
    name = f"lot {lot.lot_id}"
    ids = [item for item, _, _ in lot.listed]
    if not lot.accepted:
        promised = bool(lot.statuses) and all(item in NOT_RUN_STATUSES for item in lot.statuses)
        ran = [item for item in executions if item.startswith(f"{lot.lot_id}.")]
        return [f"{name} ran, though all its tries were refused"] if promised and ran else []
    broken = []
    if len(set(ids)) != len(ids):
        broken.append(f"{name} lists an item twice")
    if lot.open_count and lot.owed:
        broken.append(f"{name} lists {len(ids)} of {lot.items} items")
    if lot.changed:
        broken.append(f"{name} changed at positions {lot.changed}")
    spoilt = [
        item
        for item, state, text in lot.listed
        if (state != "done" or text != whole_text)
        and not (item in lot.bad | lot.deadly and state == "dead")
    ]
    done = sorted(item for item, state, _ in lot.listed if item in lot.deadly and state == "done")
    if done:
        broken.append(f"{name} lists deadly items as done: {done}")
    if lot.deaf_at:
        broken.append(f"{name} could not be read at {sorted(lot.deaf_at)}")
    if spoilt:
        broken.append(f"{name} has items that are not whole: {spoilt}")
    return broken
