"""Replicated state machine that stores lots and the results of their items.

A lot is a batch job of opaque items: each item is one HTTP request whose output is kept as text.
State is stored in SQLite tables, written in the transaction that applies the log entry. Invariants:

* The open items of one tenant on one route have no more tokens than the limit that was in force
  when the last of their lots was submitted. An item is open until it has a result.
* Submitting a lot is idempotent: a lot whose id is already stored is left unchanged.
* The first result of an item is final and keeps its position; later results are ignored.
* A lot that has ended accepts no more results.
* Events of unfinished items are stored so that the next leader can continue the item
  (``progress_rows``).
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from functools import partial

import msgspec
from loguru import logger

from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.schema import create_missing_tables, decode_failure
from leverjunction.consensus.store_faults import is_environment_error
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.lots import commands, progress_rows
from leverjunction.lots.commands import ItemResult, ItemState
from leverjunction.lots.ownership import owner_of
from leverjunction.wire.codec import encode, encode_reply

_TABLES = """
CREATE TABLE IF NOT EXISTS sm_lot (
    lot TEXT PRIMARY KEY, host TEXT NOT NULL, max_attempts INTEGER NOT NULL,
    give_up_s REAL NOT NULL, due_ms REAL NOT NULL, accepted_ms INTEGER NOT NULL,
    ended INTEGER NOT NULL, total INTEGER NOT NULL, listed INTEGER NOT NULL
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sm_lot_item (
    lot TEXT NOT NULL, item TEXT NOT NULL, place INTEGER NOT NULL, path TEXT NOT NULL,
    headers BLOB NOT NULL, tokens INTEGER NOT NULL, failures INTEGER NOT NULL,
    PRIMARY KEY (lot, item)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sm_lot_body (
    lot TEXT NOT NULL, item TEXT NOT NULL, body BLOB NOT NULL, PRIMARY KEY (lot, item)
);
CREATE TABLE IF NOT EXISTS sm_lot_result (
    lot TEXT NOT NULL, position INTEGER NOT NULL, item TEXT NOT NULL, state TEXT NOT NULL,
    text TEXT NOT NULL, PRIMARY KEY (lot, position)
) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sm_lot_queue (
    tenant TEXT NOT NULL, route TEXT NOT NULL, lot TEXT NOT NULL, PRIMARY KEY (tenant, route, lot)
) WITHOUT ROWID;
"""
_OPEN_ITEMS = """
SELECT i.lot, i.item, l.host, i.path, i.headers, i.tokens, l.max_attempts, l.give_up_s, l.due_ms,
    l.accepted_ms, i.failures, coalesce(
        (SELECT max(p.start + p.count) FROM sm_lot_part p WHERE p.lot = i.lot AND p.item = i.item),
        0
    )
FROM sm_lot_item i JOIN sm_lot l ON l.lot = i.lot
WHERE l.ended = 0 AND (?1 = '' OR i.lot = ?1)
ORDER BY l.accepted_ms + l.due_ms, i.lot, i.place
"""
_QUEUED_TOKENS = """
SELECT coalesce(sum(i.tokens), 0) FROM sm_lot_queue q JOIN sm_lot_item i ON i.lot = q.lot
WHERE q.tenant = ? AND q.route = ?
"""
_COMMANDS = msgspec.msgpack.Decoder(commands.LotCommand)
_QUERIES = msgspec.json.Decoder(commands.LotQuery)
_HEADERS = msgspec.json.Decoder(tuple[tuple[str, str], ...])


class LotsStateMachine:
    """State machine of the lots group (implements ``consensus.api.StateMachine``).

    Attributes:
        open_items_changed: Set when a command may have changed the set of open items. The listener
            for applied commands clears it.
    """

    __slots__ = ("open_items_changed",)

    def __init__(self) -> None:
        self.open_items_changed = False

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create the tables if they are missing."""
        create_missing_tables(connection, _TABLES)
        create_missing_tables(connection, progress_rows.SCHEMA)

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Apply one committed command and return its encoded reply."""
        try:
            decoded = _COMMANDS.decode(command)
        except msgspec.MsgspecError as error:
            return encode_reply(decode_failure("lots", error, Step.APPLYING))
        if isinstance(decoded, commands.SubmitLot):
            reply: msgspec.Struct = _submit_lot(connection, context, decoded)
        elif isinstance(decoded, commands.RecordRuns):
            reply = _record_runs(connection, decoded)
        elif isinstance(decoded, commands.EndLot):
            reply = _end_lot(connection, decoded)
        else:
            reply = _delete_old_lots(connection, decoded)
        if _changes_open_items(decoded):
            self.open_items_changed = True
        return encode_reply(reply)

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Answer a read and return its encoded reply."""
        try:
            decoded = _QUERIES.decode(query)
        except msgspec.MsgspecError as error:
            return encode_reply(decode_failure("lots", error, Step.QUERYING))
        if isinstance(decoded, commands.ReadResults):
            return encode_reply(_read_results(connection, decoded))
        if isinstance(decoded, commands.ReadBody):
            return encode_reply(_read_body(connection, decoded))
        if isinstance(decoded, commands.ReadProgress):
            return encode_reply(
                progress_rows.recorded_progress(connection, decoded.lot_id, decoded.item_id)
            )
        if isinstance(decoded, commands.ReadRefused):
            return encode_reply(_read_refused(connection, decoded))
        if isinstance(decoded, commands.ReadOpenKeys):
            return encode_reply(_read_open_keys(connection))
        return encode_reply(_read_open_items(connection, decoded.lot_id))


def _changes_open_items(command: commands.LotCommand) -> bool:
    """Return whether a command may change the set of open items; progress and failures do not."""
    return not isinstance(command, commands.RecordRuns) or bool(command.results)


def _submit_lot(
    connection: sqlite3.Connection, context: ApplyContext, lot: commands.SubmitLot
) -> commands.LotAccepted | Failure:
    existing = connection.execute("SELECT 1 FROM sm_lot WHERE lot = ?", (lot.lot_id,)).fetchone()
    if existing is not None:
        return commands.LotAccepted(lot.lot_id)
    refusal = _queue_refusal(connection, lot)
    if refusal is not None:
        return refusal
    if lot.route:
        connection.execute(
            "INSERT INTO sm_lot_queue VALUES (?, ?, ?)",
            (owner_of(lot.lot_id), lot.route, lot.lot_id),
        )
    connection.execute(
        "INSERT INTO sm_lot VALUES (?, ?, ?, ?, ?, ?, 0, ?, 0)",
        (
            lot.lot_id,
            lot.host,
            lot.max_attempts,
            lot.give_up_s,
            lot.due_ms,
            context.wall_ms,
            len(lot.items),
        ),
    )
    for place, item in enumerate(lot.items):
        connection.execute(
            "INSERT INTO sm_lot_item VALUES (?, ?, ?, ?, ?, ?, 0)",
            (lot.lot_id, item.item_id, place, item.path, encode(item.headers), item.tokens),
        )
        connection.execute(
            "INSERT INTO sm_lot_body VALUES (?, ?, ?)", (lot.lot_id, item.item_id, item.body)
        )
    return commands.LotAccepted(lot.lot_id)


def _queue_refusal(connection: sqlite3.Connection, lot: commands.SubmitLot) -> Failure | None:
    """Return why a lot does not fit into its tenant's queue, None if it does."""
    if not lot.max_queued_tokens:
        return None
    tenant = owner_of(lot.lot_id)
    (queued,) = connection.execute(_QUEUED_TOKENS, (tenant, lot.route)).fetchone()
    wanted = sum(item.tokens for item in lot.items)
    if queued + wanted <= lot.max_queued_tokens:
        return None
    return Failure(
        kind=FailureKind.RATE_LIMITED,
        reason=(
            f"tenant {tenant!r} has {queued} tokens queued on route {lot.route!r}; {wanted} more "
            f"exceed its limit of {lot.max_queued_tokens}"
        ),
        step=Step.ADMISSION,
        execution=Execution.NOT_RUN,
    )


def _record_runs(connection: sqlite3.Connection, runs: commands.RecordRuns) -> commands.Recorded:
    count = 0
    rejected: list[tuple[str, str]] = []
    for part in runs.progress:
        if not _is_open(connection, part.lot_id, part.item_id):
            continue
        append_progress = partial(progress_rows.append, connection, part, runs.repeats)
        if _apply_part(connection, append_progress, runs):
            count += 1
        else:
            rejected.append((part.lot_id, part.item_id))
    for result in runs.results:
        if not _is_open(connection, result.lot_id, result.item_id):
            continue
        insert_result = partial(_insert_result, connection, result, runs.repeats)
        if _apply_part(connection, insert_result, runs):
            count += 1
        else:
            rejected.append((result.lot_id, result.item_id))
    for failure in runs.failures:
        count += _count_failure(connection, failure)
    return commands.Recorded(count, tuple(rejected))


def _apply_part(
    connection: sqlite3.Connection, apply_one: Callable[[], bool], runs: commands.RecordRuns
) -> bool:
    """Apply one item's part of a command and return whether it was accepted.

    A part that raises is rolled back and rejected.

    Args:
        connection: Open inside the transaction of the log entry.
        apply_one: Applies the part and returns whether it was accepted.
        runs: The command that contains the part.

    Raises:
        Exception: The database itself failed, or the command was written before parts were
            isolated (``repeats`` is false).
    """
    if not runs.repeats:
        return apply_one()
    connection.execute("SAVEPOINT part")
    try:
        accepted = apply_one()
    except Exception as error:
        if is_environment_error(error):
            # A fault of this replica's database: other replicas may accept the part.
            raise
        # Without the savepoint one bad part would fail the whole command, and the sender would
        # repeat the same parts without end.
        logger.exception("rejected one item's part of a record_runs command: applying it failed")
        connection.execute("ROLLBACK TO part")
        accepted = False
    connection.execute("RELEASE part")
    return accepted


def _is_open(connection: sqlite3.Connection, lot_id: str, item_id: str) -> bool:
    """Return whether an item is still to be run; its row is deleted with its result or its lot."""
    row = connection.execute(
        "SELECT 1 FROM sm_lot_item WHERE lot = ? AND item = ?", (lot_id, item_id)
    ).fetchone()
    return row is not None


def _count_failure(connection: sqlite3.Connection, failure: commands.ItemFailure) -> int:
    """Store the number of failed runs of an open item; return how many rows changed."""
    # The command carries the total, not an increment, because a command whose outcome is unknown
    # is sent again. Commands without a total (0) come from older versions and add one.
    cursor = connection.execute(
        "UPDATE sm_lot_item SET failures = CASE WHEN ?1 THEN max(failures, ?1) ELSE failures + 1"
        " END WHERE lot = ?2 AND item = ?3",
        (failure.failures, failure.lot_id, failure.item_id),
    )
    return cursor.rowcount


def _insert_result(connection: sqlite3.Connection, result: ItemResult, repeats: bool) -> bool:
    """Store the result of an open item; return whether it continues the recorded events."""
    text = progress_rows.full_output(connection, result, repeats)
    if text is None:
        return False
    key = (result.lot_id, result.item_id)
    connection.execute("DELETE FROM sm_lot_item WHERE lot = ? AND item = ?", key)
    connection.execute("DELETE FROM sm_lot_body WHERE lot = ? AND item = ?", key)
    progress_rows.delete_item(connection, *key)
    connection.execute(
        "INSERT INTO sm_lot_result SELECT lot, listed, ?, ?, ? FROM sm_lot WHERE lot = ?",
        (result.item_id, result.state.value, text, result.lot_id),
    )
    connection.execute("UPDATE sm_lot SET listed = listed + 1 WHERE lot = ?", (result.lot_id,))
    return True


def _end_lot(
    connection: sqlite3.Connection, end: commands.EndLot
) -> commands.LotAccepted | Failure:
    cursor = connection.execute("UPDATE sm_lot SET ended = 1 WHERE lot = ?", (end.lot_id,))
    if cursor.rowcount == 0:
        return _lot_not_found(end.lot_id, Step.APPLYING)
    # No item of the lot will run again, so the bodies are not needed.
    connection.execute("DELETE FROM sm_lot_body WHERE lot = ?", (end.lot_id,))
    connection.execute("DELETE FROM sm_lot_item WHERE lot = ?", (end.lot_id,))
    progress_rows.delete_lot(connection, end.lot_id)
    return commands.LotAccepted(end.lot_id)


def _delete_old_lots(
    connection: sqlite3.Connection, command: commands.ForgetLots
) -> commands.Recorded:
    rows = connection.execute(
        "SELECT lot FROM sm_lot WHERE accepted_ms < ? AND (ended = 1 OR listed = total)",
        (command.before_ms,),
    ).fetchall()
    for (lot,) in rows:
        for table in ("sm_lot", "sm_lot_item", "sm_lot_body", "sm_lot_result", "sm_lot_queue"):
            connection.execute(f"DELETE FROM {table} WHERE lot = ?", (lot,))
        progress_rows.delete_lot(connection, lot)
    return commands.Recorded(len(rows))


def _read_results(
    connection: sqlite3.Connection, query: commands.ReadResults
) -> commands.ResultsPage | Failure:
    lot = connection.execute("SELECT total FROM sm_lot WHERE lot = ?", (query.lot_id,)).fetchone()
    if lot is None:
        return _lot_not_found(query.lot_id, Step.QUERYING)
    results: list[ItemResult] = []
    size_bytes = 0
    for item, state, text in connection.execute(
        "SELECT item, state, text FROM sm_lot_result WHERE lot = ? AND position >= ?"
        " ORDER BY position",
        (query.lot_id, query.after),
    ):
        size_bytes += len(text)
        if results and size_bytes > query.most_bytes:
            break
        results.append(
            ItemResult(lot_id=query.lot_id, item_id=item, state=ItemState(state), text=text)
        )
    return commands.ResultsPage(total=lot[0], results=tuple(results))


def _read_body(
    connection: sqlite3.Connection, query: commands.ReadBody
) -> commands.ItemBody | Failure:
    row = connection.execute(
        "SELECT body FROM sm_lot_body WHERE lot = ? AND item = ?", (query.lot_id, query.item_id)
    ).fetchone()
    if row is None:
        return _lot_not_found(f"{query.lot_id}, item {query.item_id}", Step.QUERYING)
    return commands.ItemBody(row[0])


def _read_refused(
    connection: sqlite3.Connection, parts: commands.ReadRefused
) -> commands.RefusedItems:
    candidates: list[commands.ItemProgress | ItemResult] = [*parts.progress, *parts.results]
    keys = {
        (part.lot_id, part.item_id): None
        for part in candidates
        if _is_open(connection, part.lot_id, part.item_id)
        and not progress_rows.is_acceptable(connection, part)
    }
    return commands.RefusedItems(tuple(keys))


def _read_open_keys(connection: sqlite3.Connection) -> commands.OpenKeys:
    # Ending a lot deletes its item rows, so no filter on the lot is needed.
    return commands.OpenKeys(tuple(connection.execute("SELECT lot, item FROM sm_lot_item")))


def _read_open_items(connection: sqlite3.Connection, lot_id: str) -> commands.OpenItems:
    items = [
        commands.OpenItem(
            lot_id=lot,
            item_id=item,
            host=host,
            path=path,
            headers=_HEADERS.decode(headers),
            tokens=tokens,
            max_attempts=max_attempts,
            give_up_s=give_up_s,
            due_ms=due_ms,
            accepted_ms=accepted_ms,
            failures=failures,
            events=events,
        )
        for (
            lot,
            item,
            host,
            path,
            headers,
            tokens,
            max_attempts,
            give_up_s,
            due_ms,
            accepted_ms,
            failures,
            events,
        ) in connection.execute(_OPEN_ITEMS, (lot_id,))
    ]
    return commands.OpenItems(tuple(items))


def _lot_not_found(name: str, step: Step) -> Failure:
    return Failure(
        kind=FailureKind.NOT_FOUND,
        reason=f"there is no lot {name}",
        step=step,
        execution=Execution.NOT_RUN,
    )
