"""Results and failed runs that the group does not have yet."""

from __future__ import annotations

import asyncio

from loguru import logger

from leverjunction.consensus.api import ReplicatedGroup
from leverjunction.errors import Failure
from leverjunction.lots.commands import (
    ItemFailure,
    ItemResult,
    ItemState,
    OpenItem,
    Recorded,
    RecordRuns,
    encode_command,
)
from leverjunction.wire.codec import decode_reply

PROPOSE_TIMEOUT_S = 1.5


class Outbox:
    """Kept until the group has them; used by one event loop."""

    __slots__ = ("_failures", "_group", "_results")

    def __init__(self, group: ReplicatedGroup) -> None:
        self._group = group
        self._results: dict[tuple[str, str], ItemResult] = {}
        self._failures: list[ItemFailure] = []

    @property
    def is_empty(self) -> bool:
        """Whether the group has all."""
        return not self._results and not self._failures

    def has_result(self, item: OpenItem) -> bool:
        """Return whether an item has ended, though the group may not know yet."""
        return (item.lot_id, item.item_id) in self._results

    def clear(self) -> None:
        """Forget all: another store leads the group."""
        self._results.clear()
        self._failures.clear()

    def done(self, item: OpenItem, text: str) -> None:
        """Take the whole output of an item."""
        self._put(item, ItemState.DONE, text)

    def dead(self, item: OpenItem, reason: str) -> None:
        """Take an item that is given up."""
        logger.info("item {} of lot {} is given up: {}", item.item_id, item.lot_id, reason)
        self._put(item, ItemState.DEAD, "")

    def failed(self, item: OpenItem) -> None:
        """Take a run that failed at a back end."""
        self._failures.append(ItemFailure(lot_id=item.lot_id, item_id=item.item_id))

    async def record(self) -> None:
        """Replicate what is here; what could not be is kept for the next time."""
        if self.is_empty:
            return
        results = tuple(self._results.values())
        failures = tuple(self._failures)
        command = encode_command(RecordRuns(results=results, failures=failures))
        loop = asyncio.get_running_loop()
        raw = await loop.run_in_executor(None, self._group.propose, command, PROPOSE_TIMEOUT_S)
        reply = raw if isinstance(raw, Failure) else decode_reply(raw, Recorded)
        if isinstance(reply, Failure):
            logger.warning("results are not recorded yet: {}", reply.reason)
            return
        for result in results:
            self._results.pop((result.lot_id, result.item_id), None)
        del self._failures[: len(failures)]

    def _put(self, item: OpenItem, state: ItemState, text: str) -> None:
        self._results[item.lot_id, item.item_id] = ItemResult(
            lot_id=item.lot_id, item_id=item.item_id, state=state, text=text
        )
