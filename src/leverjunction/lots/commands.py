"""Commands and queries of the replicated group that stores lots.

A lot is a batch job of opaque items; each item is one HTTP request to a back end.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from leverjunction.registry.origins import StreamOrigin


class ItemState(StrEnum):
    """Final state of an item: its output is complete (``DONE``) or it was given up (``DEAD``)."""

    DONE = "done"
    DEAD = "dead"


class LotItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item as it was submitted.

    Attributes:
        item_id: Unique within the lot; also the id of the request that runs the item.
        path: Path of that request.
        headers: Header fields of that request.
        body: Body of that request.
        tokens: Upper bound of prompt and answer tokens together.
    """

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class SubmitLot(msgspec.Struct, frozen=True, kw_only=True, tag="submit_lot"):
    """Command to store a lot. A lot whose id is already stored is left unchanged.

    Attributes:
        lot_id: Id under which the lot is stored (``ownership.stored_id``).
        host: Host of the lot's route, sent as the host of its items' requests.
        path: Path of the request that submitted the lot.
        max_attempts: Number of failed runs after which an item is given up.
        give_up_s: Seconds after acceptance from which an item may be given up; 0 for never.
        due_ms: Milliseconds after acceptance within which all items are due.
        items: The items, at least one.
        route: Name of the lot's route; empty in commands of older versions.
        max_queued_tokens: Tokens that the open items of one tenant may have on the route, these
            included; 0 for no limit.
    """

    lot_id: str
    host: str
    path: str
    max_attempts: int
    give_up_s: float
    due_ms: float
    items: tuple[LotItem, ...]
    route: str = ""
    max_queued_tokens: int = 0


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one item.

    Attributes:
        lot_id: The item's lot.
        item_id: The item.
        state: Final state of the item.
        text: Output of a completed item, without the events that are recorded already.
        start: Number of events that are recorded already.
        count: Number of events in ``text``.
    """

    lot_id: str
    item_id: str
    state: ItemState
    text: str = ""
    start: int = 0
    count: int = 0


class ItemProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Events of an unfinished item, recorded so that another store can continue after them.

    Attributes:
        lot_id: The item's lot.
        item_id: The item.
        start: Number of events that are recorded already.
        count: Number of events in ``text``.
        last_id: Id of the last event in ``text``.
        text: Data of the events, separated by line feeds.
        origin: What began the item's output; None in commands of older versions. Of all parts of an
            output, that of the first one counts.
    """

    lot_id: str
    item_id: str
    start: int
    count: int
    last_id: str
    text: str
    origin: StreamOrigin | None = None


class ItemFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A failed run of an item at a back end.

    Attributes:
        lot_id: The item's lot.
        item_id: The item.
        failures: Number of failed runs of the item so far, this one included, so that repeating the
            command changes nothing. 0 in commands of older versions, which add one.
    """

    lot_id: str
    item_id: str
    failures: int = 0


class RecordRuns(msgspec.Struct, frozen=True, kw_only=True, tag="record_runs"):
    """Command to store results (the first per item), failed runs and progress of unfinished items.

    Attributes:
        results: Results of items that ended.
        failures: Failed runs.
        progress: New events of unfinished items.
        repeats: True when the command may repeat events of an earlier command of unknown outcome.
            Each part is then accepted or rejected on its own. Commands of older versions lack this
            field and are applied without these rules, as those versions did.
    """

    results: tuple[ItemResult, ...] = ()
    failures: tuple[ItemFailure, ...] = ()
    progress: tuple[ItemProgress, ...] = ()
    repeats: bool = False


class EndLot(msgspec.Struct, frozen=True, tag="end_lot"):
    """Command to end a lot at the caller's request: open items are dropped, results are kept."""

    lot_id: str


class ForgetLots(msgspec.Struct, frozen=True, tag="forget_lots"):
    """Command to delete lots that are complete or ended.

    Attributes:
        before_ms: Only lots accepted before this time of the leader's clock are deleted.
    """

    before_ms: int


class ReadResults(msgspec.Struct, frozen=True, tag="read_results"):
    """Query for a page of results.

    Attributes:
        lot_id: The lot.
        after: Position of the first result to return.
        most_bytes: Bound on the text of the page; one result is returned even if it is longer.
    """

    lot_id: str
    after: int
    most_bytes: int


class ReadBody(msgspec.Struct, frozen=True, tag="read_body"):
    """Query for the body of an item that has no result yet."""

    lot_id: str
    item_id: str


class ReadProgress(msgspec.Struct, frozen=True, tag="read_progress"):
    """Query for the number of recorded events of an item."""

    lot_id: str
    item_id: str


class ReadRefused(msgspec.Struct, frozen=True, kw_only=True, tag="read_refused"):
    """Query for the results and progress that would be rejected now.

    Recorded events are only appended to, so a part that is rejected now is rejected later too.
    """

    results: tuple[ItemResult, ...] = ()
    progress: tuple[ItemProgress, ...] = ()


class ReadOpenKeys(msgspec.Struct, frozen=True, tag="read_open_keys"):
    """Query for the keys of all open items (items that are still to be run)."""


class ReadOpenItems(msgspec.Struct, frozen=True, tag="read_open_items"):
    """Query for the open items of one lot, or of all lots when the id is empty, without bodies."""

    lot_id: str = ""


LotCommand = SubmitLot | RecordRuns | EndLot | ForgetLots
LotQuery = ReadResults | ReadBody | ReadProgress | ReadRefused | ReadOpenKeys | ReadOpenItems


def encode_command(command: LotCommand) -> bytes:
    """Encode a command as MessagePack: in JSON its binary bodies would be a third longer."""
    return msgspec.msgpack.encode(command)


class LotAccepted(msgspec.Struct, frozen=True):
    """Reply to ``SubmitLot`` and ``EndLot``: the command was applied to this lot."""

    lot_id: str


class Recorded(msgspec.Struct, frozen=True):
    """Reply to ``RecordRuns`` and ``ForgetLots``.

    Attributes:
        count: Number of parts (results, failures, progress) accepted, or of lots deleted.
        rejected: Keys (lot id and item id) of the items whose part was rejected.
    """

    count: int
    rejected: tuple[tuple[str, str], ...] = ()


class RecordedProgress(msgspec.Struct, frozen=True):
    """Reply to ``ReadProgress``: number of recorded events, the id of the last one, and what began
    the output, None if that was not recorded.
    """

    count: int = 0
    last_id: str = ""
    origin: StreamOrigin | None = None


class ResultsPage(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to ``ReadResults``.

    Attributes:
        total: Number of items in the lot.
        results: Results from the requested position on.
    """

    total: int
    results: tuple[ItemResult, ...]


class ItemBody(msgspec.Struct, frozen=True):
    """Reply to ``ReadBody``."""

    body: bytes


class OpenItem(msgspec.Struct, frozen=True, kw_only=True):
    """One open item, with the settings of its lot.

    The fields are those of ``SubmitLot`` and ``LotItem``, and three more.

    Attributes:
        accepted_ms: Time at which the lot was accepted, by the clock of the leader at that time.
        failures: Number of runs that have failed at a back end so far.
        events: Number of recorded events of its output so far.
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
    events: int = 0


class OpenItems(msgspec.Struct, frozen=True):
    """Reply to ``ReadOpenItems``, ordered by the time at which the items are due."""

    items: tuple[OpenItem, ...]


class RefusedItems(msgspec.Struct, frozen=True):
    """Reply to ``ReadRefused``: keys (lot id and item id) of the items that would be rejected."""

    keys: tuple[tuple[str, str], ...]


class OpenKeys(msgspec.Struct, frozen=True):
    """Reply to ``ReadOpenKeys``: keys (lot id and item id) of the open items."""

    keys: tuple[tuple[str, str], ...]
