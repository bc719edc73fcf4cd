"""Sends outcomes of items, and reports about runs, to the job groups in batches.

Each batch is sent again until it is committed.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.batch.commands import (
    CompletedItems,
    CompleteItems,
    ItemResult,
    LostRunner,
    ProvenRun,
)
from leverjunction.batch.directory import GroupClient
from leverjunction.clock import steady_s
from leverjunction.errors import Execution, Failure, FailureKind, Step

FLUSH_INTERVAL_S = 0.1
MAX_RESULTS = 200
MAX_BYTES = 1_000_000
PROPOSE_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.5

SentItem = ItemResult | LostRunner | ProvenRun
"""An outcome of an item, or a report about a run."""

Committed = Callable[[str, list[ItemResult], CompletedItems], None]
"""Called after a commit with the lease id, the committed outcomes and the reply."""


class ResultSenders:
    """One sender per job group, so that a group without a leader does not delay the others.

    Args:
        control: Client of the control processes.
        committed: Called after each commit, from the thread of a sender.
    """

    def __init__(self, control: GroupClient, committed: Committed) -> None:
        self._control = control
        self._committed = committed
        self._lock = threading.Lock()
        self._senders: dict[str, ResultSender] = {}

    def put(self, group: str, lease_id: str, item: SentItem) -> None:
        """Queue an outcome or a report, and start the sender of its group if there is none."""
        with self._lock:
            sender = self._senders.get(group)
            if sender is None:
                sender = self._senders[group] = ResultSender(self._control, self._committed)
                sender.start()
        sender.put(group, lease_id, item)

    def pending(self) -> int:
        """Return the number of outcomes that are not committed yet."""
        return sum(sender.pending() for sender in self._all_senders())

    def stop(self, timeout_s: float) -> None:
        """Send the queued outcomes and end the threads; waits at most ``timeout_s`` in total."""
        deadline_s = steady_s() + timeout_s
        senders = self._all_senders()
        for sender in senders:
            sender.begin_stop()
        for sender in senders:
            sender.join(max(0.0, deadline_s - steady_s()))

    def _all_senders(self) -> list[ResultSender]:
        with self._lock:
            return list(self._senders.values())


class ResultSender:
    """Proposes ``CompleteItems`` for one job group in a thread of its own.

    Outcomes stay queued until they are committed. Sending an outcome twice is harmless, because
    only the first committed outcome of an item counts.

    Args:
        control: Client of the control processes.
        committed: Called after each commit, from the sender's thread.
    """

    def __init__(self, control: GroupClient, committed: Committed) -> None:
        self._control = control
        self._committed = committed
        self._queued: dict[tuple[str, str], list[SentItem]] = {}
        self._changed = threading.Condition()
        self._stopping = False
        self._sending = 0
        self._failing = False
        self._thread = threading.Thread(target=self._run, name="batch-results", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, group: str, lease_id: str, item: SentItem) -> None:
        """Queue an outcome or a report."""
        with self._changed:
            self._queued.setdefault((group, lease_id), []).append(item)
            self._changed.notify_all()

    def pending(self) -> int:
        """Return the number of outcomes that are not committed yet."""
        with self._changed:
            return self._sending + sum(len(items) for items in self._queued.values())

    def begin_stop(self) -> None:
        """Make the thread end as soon as all queued outcomes are committed."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def join(self, timeout_s: float) -> None:
        """Wait for the end of the thread, at most ``timeout_s`` seconds."""
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queued and not self._stopping:
                    self._changed.wait()
                if not self._queued and self._stopping:
                    return
                if not self._stopping:
                    # Wait briefly, so that outcomes that follow share one entry of the log.
                    self._changed.wait(FLUSH_INTERVAL_S)
                group, lease_id, items = self._take()
                self._sending = len(items)
            try:
                self._send(group, lease_id, items)
            except Exception as error:
                # No unexpected error may lose outcomes; sending them again is harmless.
                logger.exception("sending batch results to group {} failed", group)
                self._requeue(group, lease_id, items, _internal_failure(error))

    def _take(self) -> tuple[str, str, list[SentItem]]:
        """Remove and return a batch of outcomes of the lease that was queued first."""
        (group, lease_id), items = next(iter(self._queued.items()))
        size = 0
        count = 0
        for item in items[:MAX_RESULTS]:
            size += len(item.body) if isinstance(item, ItemResult) else 0
            count += 1
            if size >= MAX_BYTES:
                break
        del self._queued[(group, lease_id)]
        if items[count:]:
            self._queued[(group, lease_id)] = items[count:]
        return group, lease_id, items[:count]

    def _send(self, group: str, lease_id: str, items: list[SentItem]) -> None:
        results = [item for item in items if isinstance(item, ItemResult)]
        command = CompleteItems(
            lease_id,
            results,
            lost_runners=[item for item in items if isinstance(item, LostRunner)],
            proven_runs=[item for item in items if isinstance(item, ProvenRun)],
        )
        reply = self._control.propose(group, command, CompletedItems, PROPOSE_TIMEOUT_S)
        if isinstance(reply, Failure):
            self._requeue(group, lease_id, items, reply)
            return
        if self._failing:
            logger.info("batch results are being committed again")
        self._failing = False
        with self._changed:
            self._sending = 0
        self._committed(lease_id, results, reply)

    def _requeue(self, group: str, lease_id: str, items: list[SentItem], failure: Failure) -> None:
        if not self._failing:
            logger.warning("batch results not committed, will retry: {}", failure.reason)
        self._failing = True
        with self._changed:
            self._sending = 0
            later = self._queued.get((group, lease_id), [])
            self._queued[(group, lease_id)] = items + later
            self._changed.wait(RETRY_PAUSE_S)


def _internal_failure(error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.INTERNAL,
        reason=repr(error),
        step=Step.PROPOSING,
        execution=Execution.UNKNOWN,
    )
