"""Commands and queries of the group that keeps lots (batch jobs of opaque items)."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class ItemState(StrEnum):
    """How an item ended."""

    DONE = "done"
    DEAD = "dead"


class LotItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item as it was submitted.

    Attributes:
        item_id: Unique in its lot; also the id of the request that runs it.
        path: Path of that request.
        headers: Its header fields.
        body: Its body.
        tokens: Prompt and longest answer together.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class SubmitLot(msgspec.Struct, frozen=True, kw_only=True, tag="submit_lot"):
    """Take a lot; one with the same id that is here already is left as it is.

    Attributes:
        lot_id: The caller's id.
        host: Host of its route; its items' requests name it.
        path: Path that it was sent to.
        max_attempts: Failed runs after which an item is given up.
        give_up_s: Time after which an item may be given up.
        due_ms: Time in which all items are due.
        items: At least one.
    """

    lot_id: str
    host: str
    path: str
    max_attempts: int
    give_up_s: float
    due_ms: float
    items: tuple[LotItem, ...]


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """How one item ended.

    Attributes:
        text: Its output when it is done, without the events that the group has already.
        start: Number of events that the group has already.
        count: Number of events in ``text``.
    """

    lot_id: str
    item_id: str
    state: ItemState
    text: str = ""
    start: int = 0
    count: int = 0


class ItemProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Events of an item that is not done yet: another store goes on behind them.

    Attributes:
        start: Number of events that the group has already.
        count: Number of events in ``text``.
        last_id: Id of the last one of them.
        text: Their data, separated by line feeds.
    """

    lot_id: str
    item_id: str
    start: int
    count: int
    last_id: str
    text: str


class ItemFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A run of an item failed at a back end.

    Attributes:
        failures: Its failed runs so far, this one included: the same however often it is sent. 0
            in commands of older processes, which count one more.
    """

    lot_id: str
    item_id: str
    failures: int = 0


class RecordRuns(msgspec.Struct, frozen=True, kw_only=True, tag="record_runs"):
    """List results, first ones only, count failed runs, and keep what unfinished ones have.

    Attributes:
        repeats: Events may be among them that an earlier command of unknown outcome has brought
            already, and each part is taken or refused by itself. Commands of older processes lack
            it and are applied as they were then.
    """

    results: tuple[ItemResult, ...] = ()
    failures: tuple[ItemFailure, ...] = ()
    progress: tuple[ItemProgress, ...] = ()
    repeats: bool = False


class EndLot(msgspec.Struct, frozen=True, tag="end_lot"):
    """The caller ends a lot: nothing of it runs any more, what is listed stays."""

    lot_id: str


class ForgetLots(msgspec.Struct, frozen=True, tag="forget_lots"):
    """Drop lots that are complete or ended and older than a time of the leader's clock."""

    before_ms: int


class ReadResults(msgspec.Struct, frozen=True, tag="read_results"):
    """Read results from a position on; at least one if there is any."""

    lot_id: str
    after: int
    most_bytes: int


class ReadBody(msgspec.Struct, frozen=True, tag="read_body"):
    """Read the body of an item that is not listed yet."""

    lot_id: str
    item_id: str


class ReadProgress(msgspec.Struct, frozen=True, tag="read_progress"):
    """Read how many events of an item the group has."""

    lot_id: str
    item_id: str


class ReadRefused(msgspec.Struct, frozen=True, kw_only=True, tag="read_refused"):
    """Read which results and progress would be refused now.

    Events here are only added to, so what does not follow on them never will.
    """

    results: tuple[ItemResult, ...] = ()
    progress: tuple[ItemProgress, ...] = ()


class ReadOpenKeys(msgspec.Struct, frozen=True, tag="read_open_keys"):
    """Read which items are to be run."""


class ReadOpenItems(msgspec.Struct, frozen=True, tag="read_open_items"):
    """Read what is to be run of one lot, or of all of them, without the bodies."""

    lot_id: str = ""


LotCommand = SubmitLot | RecordRuns | EndLot | ForgetLots
LotQuery = ReadResults | ReadBody | ReadProgress | ReadRefused | ReadOpenKeys | ReadOpenItems


def encode_command(command: LotCommand) -> bytes:
    """Return a command's bytes; bodies are binary, so text would make them a third longer."""
    return msgspec.msgpack.encode(command)


class LotAccepted(msgspec.Struct, frozen=True):
    """Reply to ``SubmitLot`` and ``EndLot``."""

    lot_id: str


class Recorded(msgspec.Struct, frozen=True):
    """Reply to ``RecordRuns`` and ``ForgetLots``.

    Attributes:
        count: How many rows changed.
        rejected: Items (lot and item) whose events did not follow on those that the group has.
    """

    count: int
    rejected: tuple[tuple[str, str], ...] = ()


class RecordedProgress(msgspec.Struct, frozen=True):
    """Reply to ``ReadProgress``: number of events, and the id of the last one."""

    count: int = 0
    last_id: str = ""


class ResultsPage(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to ``ReadResults``: items of the lot, and results from the position asked for on."""

    total: int
    results: tuple[ItemResult, ...]


class ItemBody(msgspec.Struct, frozen=True):
    """Reply to ``ReadBody``."""

    body: bytes


class OpenItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item that is to be run.

    Attributes:
        accepted_ms: When its lot was accepted, by the then leader's clock.
        failures: Runs that failed at a back end so far.
    """

    lot_id: str
    item_id: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    tokens: int
    max_attempts: int
    give_up_s: float
    due_ms: float
    accepted_ms: int
    failures: int


class OpenItems(msgspec.Struct, frozen=True):
    """Reply to ``ReadOpenItems``, the ones that are due first in front."""

    items: tuple[OpenItem, ...]


class Refused(msgspec.Struct, frozen=True):
    """Reply to ``ReadRefused``: lot and item of each."""

    keys: tuple[tuple[str, str], ...]


class OpenKeys(msgspec.Struct, frozen=True):
    """Reply to ``ReadOpenKeys``: lot and item of each."""

    keys: tuple[tuple[str, str], ...]
