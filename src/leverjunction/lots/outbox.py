"""Results, failed runs and progress that the group does not have yet."""

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
    Refused,
    encode_command,
)
from leverjunction.lots.item_run import ItemKey, ItemRun
from leverjunction.lots.record_trace import RecordTrace
from leverjunction.wire.codec import decode_reply, encode

Part = TypeVar("Part", ItemResult, ItemProgress)

PROPOSE_TIMEOUT_S = 1.5

PROGRESS_INTERVAL_S = 0.5
"""How often the events of unfinished items are recorded: so much of each run is lost at most when
another store has to go on with it.
"""


COMMAND_BYTES = 1024 * 1024
"""Text in one command, and the part that passes it: what gathers in a long stall goes in several,
each far below what a message between replicas may have.
"""


class Outbox:
    """Kept until the group has them; used by one event loop."""

    __slots__ = ("_ended", "_failures", "_group", "_lead", "_progress_s", "_trace")

    def __init__(self, group: ReplicatedGroup, trace: RecordTrace | None = None) -> None:
        self._group = group
        self._trace = trace or RecordTrace()
        self._ended: dict[ItemKey, tuple[ItemRun, ItemState]] = {}
        self._failures: dict[ItemKey, ItemFailure] = {}
        self._progress_s = float("-inf")
        self._lead = 0
        """Changes with each loss of the lead: an answer that comes later concerns nothing here."""

    @property
    def is_empty(self) -> bool:
        """Whether the group has all results and failures."""
        return not self._ended and not self._failures

    @property
    def waiting(self) -> int:
        """Number of results that the group does not have yet."""
        return len(self._ended)

    def has_result(self, run: ItemRun) -> bool:
        """Return whether an item has ended, though the group may not know yet."""
        return run.key in self._ended

    def clear(self) -> None:
        """Forget all: another store leads the group."""
        self._ended.clear()
        self._failures.clear()
        self._lead += 1
        self._trace.clear()

    def keep(self, keys: frozenset[ItemKey]) -> None:
        """Forget what is not open any more: the group has it, though perhaps no answer said so."""
        for key in self._ended.keys() - keys:
            del self._ended[key]
        for key in self._failures.keys() - keys:
            del self._failures[key]

    def done(self, run: ItemRun) -> None:
        """Take an item whose output is whole."""
        self._ended[run.key] = (run, ItemState.DONE)

    def dead(self, run: ItemRun, reason: str) -> None:
        """Take an item that is given up."""
        lot_id, item_id = run.key
        logger.info("item {} of lot {} is given up: {}", item_id, lot_id, reason)
        self._ended[run.key] = (run, ItemState.DEAD)

    def failed(self, run: ItemRun) -> None:
        """Take a run that failed at a back end."""
        lot_id, item_id = run.key
        self._failures[run.key] = ItemFailure(lot_id=lot_id, item_id=item_id, failures=run.failures)

    async def record(self, runs: Iterable[ItemRun]) -> None:
        """Replicate what is here; what could not be is kept for the next time.

        Args:
            runs: All open items, for their progress.
        """
        progress = self._progress(runs)
        if self.is_empty and not progress:
            return
        results = tuple(_bounded(_result(run, state) for run, state in self._ended.values()))
        failures = tuple(self._failures.values())
        left = COMMAND_BYTES - sum(len(result.text) for result in results)
        parts = tuple(_bounded((_progress(run) for run in progress), left))
        command = RecordRuns(
            results=results,
            failures=failures,
            progress=parts,
            # What could not be recorded may have been, and comes again.
            repeats=True,
        )
        sent = [(run, part.count) for run, part in zip(progress, parts, strict=False)]
        lead = self._lead
        self._trace.begin(command)
        reply = await self._propose(command)
        self._trace.returned(reply)
        if lead != self._lead:
            return
        if isinstance(reply, Failure):
            logger.warning("results are not recorded yet: {}", reply.reason)
            await self._go_on_refused(ReadRefused(results=results, progress=parts), progress)
            return
        self._settle_failures(failures)
        self._settle(results, sent, frozenset(reply.rejected))

    async def _go_on_refused(self, parts: ReadRefused, sent: list[ItemRun]) -> None:
        """Have items go on from what the group has if it refuses what they bring.

        While commits outlast their proposers no answer tells of it: an item whose result was
        refused was never run again, its result sent without end.
        """
        lead = self._lead
        loop = asyncio.get_running_loop()
        raw = await loop.run_in_executor(None, self._group.query_local, encode(parts))
        refused = decode_reply(raw, Refused)
        if isinstance(refused, Failure):
            logger.warning("what the group refuses is not known: {}", refused.reason)
            return
        if lead != self._lead or not refused.keys:
            return
        logger.info("{} items go on from what the group has", len(refused.keys))
        keys = frozenset(refused.keys)
        for run in sent:
            if run.key in keys:
                run.restart()
        self._restart_ended(parts.results, keys)

    async def _propose(self, command: RecordRuns) -> Recorded | Failure:
        body = encode_command(command)
        loop = asyncio.get_running_loop()
        raw = await loop.run_in_executor(None, self._group.propose, body, PROPOSE_TIMEOUT_S)
        return raw if isinstance(raw, Failure) else decode_reply(raw, Recorded)

    def _settle_failures(self, failures: tuple[ItemFailure, ...]) -> None:
        for failure in failures:
            key = (failure.lot_id, failure.item_id)
            # Another run may have failed meanwhile.
            if self._failures.get(key) == failure:
                del self._failures[key]

    def _settle(
        self,
        results: tuple[ItemResult, ...],
        sent: list[tuple[ItemRun, int]],
        rejected: frozenset[ItemKey],
    ) -> None:
        """Note what the group has now; what it rejected goes on from what it has."""
        for run, count in sent:
            if run.key in rejected:
                run.restart()
            else:
                run.stream.note_recorded(count)
        self._restart_ended(results, rejected)
        for result in results:
            self._ended.pop((result.lot_id, result.item_id), None)

    def _restart_ended(self, results: tuple[ItemResult, ...], refused: frozenset[ItemKey]) -> None:
        """Have items whose results were refused run again."""
        for result in results:
            key = (result.lot_id, result.item_id)
            if key in refused and key in self._ended:
                run, _ = self._ended.pop(key)
                run.restart()

    def _progress(self, runs: Iterable[ItemRun]) -> list[ItemRun]:
        """Return the unfinished items whose new events are to be recorded now."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._progress_s < PROGRESS_INTERVAL_S:
            return []
        self._progress_s = now_s
        waiting = [
            run
            for run in runs
            if run.stream.count and run.progress_loaded and not self.has_result(run)
        ]
        # Should there be too much for one command, those come first that would lose most.
        return sorted(waiting, key=lambda run: run.stream.count, reverse=True)


def _bounded(parts: Iterable[Part], most_bytes: int = COMMAND_BYTES) -> Iterator[Part]:
    """Yield parts until their text passes a bound."""
    for part in parts:
        if most_bytes <= 0:
            return
        most_bytes -= len(part.text)
        yield part


def _progress(run: ItemRun) -> ItemProgress:
    lot_id, item_id = run.key
    stream = run.stream
    return ItemProgress(
        lot_id=lot_id,
        item_id=item_id,
        start=stream.recorded,
        count=stream.count,
        last_id=stream.last_id,
        text=stream.text(),
    )


def _result(run: ItemRun, state: ItemState) -> ItemResult:
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
