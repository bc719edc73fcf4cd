"""Returns outcomes to the job groups in batches, each until it is committed."""

from __future__ import annotations

import threading
from collections.abc import Callable

from loguru import logger

from leverjunction.batch.commands import CompletedItems, CompleteItems, ItemResult
from leverjunction.batch.directory import GroupClient
from leverjunction.clock import steady_s
from leverjunction.errors import Failure, FailureKind, Step

FLUSH_INTERVAL_S = 0.1
MAX_RESULTS = 200
MAX_BYTES = 1_000_000
PROPOSE_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.5

Committed = Callable[[str, list[ItemResult], CompletedItems], None]
"""Called with the lease id, the outcomes sent and the reply, after the commit."""


class ResultSenders:
    """A sender for each job group, so that one without a leader holds up no other's outcomes."""

    def __init__(self, control: GroupClient, committed: Committed) -> None:
        self._control = control
        self._committed = committed
        self._lock = threading.Lock()
        self._senders: dict[str, ResultSender] = {}

    def put(self, group: str, lease_id: str, result: ItemResult) -> None:
        """Queue an outcome."""
        with self._lock:
            sender = self._senders.get(group)
            if sender is None:
                sender = self._senders[group] = ResultSender(self._control, self._committed)
                sender.start()
        sender.put(group, lease_id, result)

    def pending(self) -> int:
        """Return how many outcomes are not committed yet."""
        return sum(sender.pending() for sender in self._all())

    def stop(self, timeout_s: float) -> None:
        """Send what is queued, for at most ``timeout_s`` altogether, and end the threads."""
        deadline_s = steady_s() + timeout_s
        senders = self._all()
        for sender in senders:
            sender.begin_stop()
        for sender in senders:
            sender.join(max(0.0, deadline_s - steady_s()))

    def _all(self) -> list[ResultSender]:
        with self._lock:
            return list(self._senders.values())


class ResultSender:
    """One thread that proposes ``CompleteItems``. Outcomes stay queued until they are committed.

    The first committed outcome of an item wins, so sending one again is harmless.
    """

    def __init__(self, control: GroupClient, committed: Committed) -> None:
        self._control = control
        self._committed = committed
        self._queued: dict[tuple[str, str], list[ItemResult]] = {}
        self._changed = threading.Condition()
        self._stopping = False
        self._sending = 0
        self._failing = False
        self._thread = threading.Thread(target=self._run, name="batch-results", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, group: str, lease_id: str, result: ItemResult) -> None:
        """Queue an outcome."""
        with self._changed:
            self._queued.setdefault((group, lease_id), []).append(result)
            self._changed.notify_all()

    def pending(self) -> int:
        """Return how many outcomes are not committed yet."""
        with self._changed:
            return self._sending + sum(len(results) for results in self._queued.values())

    def begin_stop(self) -> None:
        """Let the thread end once all that is queued is committed."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def join(self, timeout_s: float) -> None:
        """Wait for the thread's end."""
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
                    # Outcomes that end within a moment of each other share one log entry.
                    self._changed.wait(FLUSH_INTERVAL_S)
                group, lease_id, results = self._take()
                self._sending = len(results)
            try:
                self._send(group, lease_id, results)
            except Exception as error:
                # Outcomes must survive any fault; sending one again changes nothing.
                logger.exception("sending outcomes to {} failed", group)
                self._requeue(group, lease_id, results, _fault(error))

    def _take(self) -> tuple[str, str, list[ItemResult]]:
        """Take one batch of one lease, oldest lease first."""
        (group, lease_id), results = next(iter(self._queued.items()))
        size = 0
        count = 0
        for result in results[:MAX_RESULTS]:
            size += len(result.body)
            count += 1
            if size >= MAX_BYTES:
                break
        del self._queued[(group, lease_id)]
        if results[count:]:
            self._queued[(group, lease_id)] = results[count:]
        return group, lease_id, results[:count]

    def _send(self, group: str, lease_id: str, results: list[ItemResult]) -> None:
        reply = self._control.propose(
            group, CompleteItems(lease_id, results), CompletedItems, PROPOSE_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            self._requeue(group, lease_id, results, reply)
            return
        if self._failing:
            logger.info("results are committed again")
        self._failing = False
        with self._changed:
            self._sending = 0
        self._committed(lease_id, results, reply)

    def _requeue(
        self, group: str, lease_id: str, results: list[ItemResult], failure: Failure
    ) -> None:
        if not self._failing:
            logger.warning("results are not committed, will try on: {}", failure.reason)
        self._failing = True
        with self._changed:
            self._sending = 0
            later = self._queued.get((group, lease_id), [])
            self._queued[(group, lease_id)] = results + later
            self._changed.wait(RETRY_PAUSE_S)


def _fault(error: Exception) -> Failure:
    return Failure(kind=FailureKind.INTERNAL, reason=repr(error), step=Step.PROPOSING)
