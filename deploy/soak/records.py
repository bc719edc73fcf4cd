"""What a soak has seen, and which promises that breaks. Pure: no input or output."""

from __future__ import annotations

import threading
import time
from collections import Counter

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK = 200
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


class LotRecord:
    """One batch job and what its client got.

    Attributes:
        lot_id: Its id.
        items: Number of its items.
        accepted: It got a 202.
        statuses: Statuses of all its tries.
        listed: Item, state and text at each position, as first read.
        changed: Positions that were read differently later.
        bad: Items that no runner can do.
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
        "deaf_at",
        "ended_s",
        "ending",
        "items",
        "listed",
        "lot_id",
        "statuses",
        "whole_at",
    )

    def __init__(self, lot_id: str, items: int, bad: frozenset[str] = frozenset()) -> None:
        self.lot_id = lot_id
        self.items = items
        self.bad = bad
        self.accepted = False
        self.accepted_s = 0.0
        self.ending = False
        self.ended_s: float | None = None
        self.whole_at: set[str] = set()
        self.deaf_at: set[str] = set()
        self.statuses: list[int] = []
        self.listed: list[tuple[str, str, str]] = []
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
        """Return how many of its items are not listed yet, as far as was read."""
        return self.items - len(self.listed)

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


class Records:
    """All that was seen; safe between threads.

    Attributes:
        online: Online requests and their ends.
        lots: Batch jobs.
        acknowledged: Times and numbers of configurations.
        older_reads: Configurations that were read back though newer ones were in force.
        own_faults: Errors of the soak itself.
        seen_broken: Promises that were seen broken while faults struck.
        notes: What is told, but no broken promise.
        struck: How often each kind of fault struck.
        blows: A line for each, with its wall times.
        most_open: Most items that were open at once.
        under_way: Samples of the runs of items that were under way.
        report_s: How long a runner took to tell its load.
        rest_s: Time in calm until all was at its end.
    """

    def __init__(self) -> None:
        self.online: list[OnlineRecord] = []
        self.lots: list[LotRecord] = []
        self.acknowledged: list[tuple[float, int]] = []
        self.older_reads: list[str] = []
        self.own_faults: list[str] = []
        self.seen_broken: list[str] = []
        self.notes: list[str] = []
        self.struck: Counter[str] = Counter()
        self.blows: list[str] = []
        self.most_open = 0
        self.under_way: list[int] = []
        self.report_s: list[float] = []
        self.rest_s = 0.0
        self.lock = threading.Lock()

    def blow(self, kind: str, began_s: float, ended_s: float) -> None:
        """Take a fault that has struck, with wall times."""
        with self.lock:
            self.struck[kind] += 1
            self.blows.append(f"{_clock(began_s)} to {_clock(ended_s)} {kind}")

    def answered(self, record: OnlineRecord) -> None:
        """Take an online request's end."""
        with self.lock:
            self.online.append(record)

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
    for lot in records.lots:
        broken += _of_lot(lot, executions, whole_text)
    return broken


def _clock(wall_s: float) -> str:
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
    if len(ids) != lot.items and lot.owed:
        broken.append(f"{name} lists {len(ids)} of {lot.items} items")
    if lot.changed:
        broken.append(f"{name} changed at positions {lot.changed}")
    spoilt = [
        item
        for item, state, text in lot.listed
        if (state != "done" or text != whole_text) and not (item in lot.bad and state == "dead")
    ]
    if lot.deaf_at:
        broken.append(f"{name} could not be read at {sorted(lot.deaf_at)}")
    if spoilt:
        broken.append(f"{name} has items that are not whole: {spoilt}")
    return broken
