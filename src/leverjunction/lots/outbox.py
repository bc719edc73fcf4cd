"""Results, failed runs and progress that wait to be recorded by the replicated lots group."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from typing import TypeVar

from loguru import logger

from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Failure
from leverjunction.lots.commands import (
    ItemFailure,
    ItemProgress,
    ItemResult,
    ItemState,
    ReadRefused,
    Recorded,
    RecordRuns,
    RefusedItems,
    encode_command,
)
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.record_trace import RecordTrace
from leverjunction.wire.codec import decode_reply, encode

Part = TypeVar("Part", ItemResult, ItemProgress)

PROPOSE_TIMEOUT_S = 1.5

PROGRESS_INTERVAL_S = 0.5
"""Interval at which events of unfinished items are recorded. At most this much of each run is lost
when another store has to continue it.
"""


COMMAND_TEXT_BYTES = 1024 * 1024
"""Text after which a command takes no further part. What accumulates in a long stall is split into
several commands, each far below the size limit of a message between replicas.
"""


class _SentProgress:
    """Progress of an item in a command whose reply is awaited.

    The output may be discarded meanwhile, and another run of the item begin: what becomes of the
    command concerns the output that it contains, not the one that stands there by then.

    Attributes:
        run: The item.
        stream: Its output at the time.
        count: How many of its events the command contains, from the first unrecorded one.
    """

    __slots__ = ("count", "run", "stream")

    def __init__(self, run: ItemRun, count: int) -> None:
        self.run = run
        self.stream = run.stream
        self.count = count

    def restart(self) -> None:
        """Restart the item from its recorded events, unless its output was discarded already."""
        if self.run.stream is self.stream:
            self.run.restart()


class Outbox:
    """Keeps results and failed runs until the group has recorded them, and records progress.

    Use it from one event loop only.

    Args:
        group: The replicated group that records them.
        trace: Observer of the commands sent, for metrics and log lines.
    """

    __slots__ = ("_epoch", "_failures", "_group", "_progress_sent_s", "_results", "_trace")

    def __init__(self, group: ReplicatedGroup, trace: RecordTrace | None = None) -> None:
        self._group = group
        self._trace = trace or RecordTrace()
        self._results: dict[ItemKey, tuple[ItemRun, ItemState]] = {}
        self._failures: dict[ItemKey, ItemFailure] = {}
        self._progress_sent_s = float("-inf")
        self._epoch = 0
        """Incremented when leadership is lost: replies to commands sent before that are ignored."""

    @property
    def is_empty(self) -> bool:
        """Whether no result and no failed run waits to be recorded."""
        return not self._results and not self._failures

    @property
    def pending_results(self) -> int:
        """Number of results that wait to be recorded."""
        return len(self._results)

    def has_result(self, run: ItemRun) -> bool:
        """Return whether an item has a result that waits to be recorded."""
        return run.key in self._results

    def clear(self) -> None:
        """Drop everything, because another store leads the group."""
        self._results.clear()
        self._failures.clear()
        self._epoch += 1
        self._trace.clear()

    def retain(self, keys: frozenset[ItemKey]) -> None:
        """Drop what belongs to items that are no longer open.

        The group has recorded their results, perhaps without a reply that said so.

        Args:
            keys: Keys of all open items.
        """
        for key in self._results.keys() - keys:
            del self._results[key]
        for key in self._failures.keys() - keys:
            del self._failures[key]

    def complete(self, run: ItemRun) -> None:
        """Add the result of an item whose output is complete."""
        self._results[run.key] = (run, ItemState.DONE)

    def give_up(self, run: ItemRun, reason: str) -> None:
        """Add the result of an item that is given up.

        Args:
            run: The item.
            reason: Why it is given up, for the log.
        """
        lot_id, item_id = run.key
        logger.info("giving up item {} of lot {}: {}", item_id, lot_id, reason)
        self._results[run.key] = (run, ItemState.DEAD)

    def add_failure(self, run: ItemRun) -> None:
        """Add a run that failed at a back end."""
        lot_id, item_id = run.key
        self._failures[run.key] = ItemFailure(lot_id=lot_id, item_id=item_id, failures=run.failures)

    async def record(self, runs: Iterable[ItemRun]) -> None:
        """Send a command with the waiting results and failures, and with progress that is due.

        Whatever the group does not record is kept and sent again with the next command.

        Args:
            runs: All open items, whose progress is recorded too when it is due.
        """
        progress = self._due_progress(runs)
        if self.is_empty and not progress:
            return
        results = tuple(
            _within_limit(_item_result(run, state) for run, state in self._results.values())
        )
        failures = tuple(self._failures.values())
        progress_bytes = COMMAND_TEXT_BYTES - sum(len(result.text) for result in results)
        parts = tuple(_within_limit((_item_progress(run) for run in progress), progress_bytes))
        command = RecordRuns(
            results=results,
            failures=failures,
            progress=parts,
            # A command of unknown outcome may have been applied, and its parts are sent again.
            repeats=True,
        )
        sent = [_SentProgress(run, part.count) for run, part in zip(progress, parts, strict=False)]
        epoch = self._epoch
        self._trace.begin(command)
        reply = await self._propose(command)
        self._trace.returned(reply)
        if epoch != self._epoch:
            return
        if isinstance(reply, Failure):
            logger.warning("cannot record results and progress yet: {}", reply.reason)
            await self._restart_refused(ReadRefused(results=results, progress=parts), sent)
            return
        self._remove_recorded_failures(failures)
        self._remove_recorded(results, sent, frozenset(reply.rejected))

    async def _restart_refused(self, parts: ReadRefused, sent: list[_SentProgress]) -> None:
        """Restart items whose parts the group would reject now, from the events it has recorded.

        Called when a command failed or timed out. While commits take longer than the proposal
        timeout, no reply says that a part was rejected. Without this query an item whose result is
        rejected would never run again, and its result would be sent without end.

        Args:
            parts: Results and progress of the command.
            sent: Progress of the command.
        """
        epoch = self._epoch
        loop = asyncio.get_running_loop()
        raw = await loop.run_in_executor(None, self._group.query_local, encode(parts))
        refused = decode_reply(raw, RefusedItems)
        if isinstance(refused, Failure):
            logger.warning("cannot read which parts the group would reject: {}", refused.reason)
            return
        if epoch != self._epoch or not refused.keys:
            return
        logger.info("restarting {} items from their recorded events", len(refused.keys))
        keys = frozenset(refused.keys)
        for item in sent:
            if item.run.key in keys:
                item.restart()
        self._restart_ended(parts.results, keys)

    async def _propose(self, command: RecordRuns) -> Recorded | Failure:
        body = encode_command(command)
        loop = asyncio.get_running_loop()
        raw = await loop.run_in_executor(None, self._group.propose, body, PROPOSE_TIMEOUT_S)
        return raw if isinstance(raw, Failure) else decode_reply(raw, Recorded)

    def _remove_recorded_failures(self, failures: tuple[ItemFailure, ...]) -> None:
        for failure in failures:
            key = (failure.lot_id, failure.item_id)
            # The entry differs when another run of the item has failed in the meantime.
            if self._failures.get(key) == failure:
                del self._failures[key]

    def _remove_recorded(
        self,
        results: tuple[ItemResult, ...],
        sent: list[_SentProgress],
        rejected: frozenset[ItemKey],
    ) -> None:
        """Remove what the group has recorded; restart items whose parts it rejected.

        Args:
            results: Results of the command.
            sent: Progress of the command.
            rejected: Keys of the items whose part was rejected.
        """
        for item in sent:
            if item.run.key in rejected:
                item.restart()
            else:
                item.stream.mark_recorded(item.count)
        self._restart_ended(results, rejected)
        for result in results:
            self._results.pop((result.lot_id, result.item_id), None)

    def _restart_ended(self, results: tuple[ItemResult, ...], refused: frozenset[ItemKey]) -> None:
        """Discard rejected results and run their items again."""
        for result in results:
            key = (result.lot_id, result.item_id)
            if key in refused and key in self._results:
                run, _ = self._results.pop(key)
                run.restart()

    def _due_progress(self, runs: Iterable[ItemRun]) -> list[ItemRun]:
        """Return the unfinished items with new events, none before the interval is over."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._progress_sent_s < PROGRESS_INTERVAL_S:
            return []
        self._progress_sent_s = now_s
        unfinished = [
            run
            for run in runs
            if run.stream.count
            and run.progress_loaded
            and not run.stream.replaces
            and not self.has_result(run)
        ]
        # Longest first: if not all fit into one command, the items that would lose most are sent.
        return sorted(unfinished, key=lambda run: run.stream.count, reverse=True)


def _within_limit(parts: Iterable[Part], text_bytes: int = COMMAND_TEXT_BYTES) -> Iterator[Part]:
    """Yield parts until their text reaches a limit; the part that crosses it is included.

    Args:
        parts: Results or progress.
        text_bytes: The limit.
    """
    for part in parts:
        if text_bytes <= 0:
            return
        text_bytes -= len(part.text)
        yield part


def _item_progress(run: ItemRun) -> ItemProgress:
    lot_id, item_id = run.key
    stream = run.stream
    return ItemProgress(
        lot_id=lot_id,
        item_id=item_id,
        start=stream.recorded,
        count=stream.count,
        last_id=stream.last_id,
        text=stream.text(),
        origin=stream.origin,
    )


def _item_result(run: ItemRun, state: ItemState) -> ItemResult:
    lot_id, item_id = run.key
    if state is ItemState.DEAD:
        return ItemResult(lot_id=lot_id, item_id=item_id, state=state)
    stream = run.stream
    return ItemResult(
        lot_id=lot_id,
        item_id=item_id,
        state=state,
        text=stream.text(),
        start=stream.recorded,
        count=stream.count,
    )
